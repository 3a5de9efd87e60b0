"""Sends requests to targets over HTTP with urllib3."""

import http.client
import logging
import socket
import threading
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import partial

import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
)

from chestnutstair.coordination.request import Answer, Ran, Request
from chestnutstair.coordination.target import (
    LostAnswerFailure,
    NotSentFailure,
    TargetAnswer,
    TargetClient,
    TargetFailure,
)
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Vm
from chestnutstair.transport.reaper import SocketReaper

__all__ = ["HttpTargetClient", "TargetSettings"]

logger = logging.getLogger(__name__)

# Headers that are not copied between caller and target: those of one
# connection, and those that this daemon sets or reads itself.
UNFORWARDED_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-leaving",
        "x-ran",
        "x-request-id",
    )
)
BODILESS_STATUSES = (204, 304)
CHUNK_BYTES = 65536


@dataclass(frozen=True)
class TargetSettings:
    """Limits of the exchange with one target.

    - `connect_seconds`: timeout of connecting.
    - `idle_seconds`: a connection that was idle for longer is not reused,
      as the target may be closing it.
    - `answer_bytes`: maximum size of an answer's body.
    """

    __pydantic_config__ = STRICT

    connect_seconds: float = 1.0
    idle_seconds: float = 5.0
    answer_bytes: int = 16 * 1024 * 1024


class _Response(http.client.HTTPResponse):
    """An answer; its socket is shut down if unread bytes follow it."""

    def __init__(  # type: ignore[no-untyped-def]
        self, sock: socket.socket, *args, reaper: SocketReaper, **kwargs
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self._reader = self.fp
        self._sock = sock
        self._reaper = reaper

    def _close_conn(self) -> None:
        self._reaper.discard(self._sock)
        if self._has_unread_bytes():
            logger.info(
                "closing a connection with unread bytes after the answer"
            )
            self._sock.shutdown(socket.SHUT_RDWR)
        super()._close_conn()  # type: ignore[misc]

    def _has_unread_bytes(self) -> bool:
        timeout = self._sock.gettimeout()
        try:
            self._sock.setblocking(False)
            return bool(self._reader.peek(1))
        except OSError:
            return False
        finally:
            self._sock.settimeout(timeout)


class _Connection(HTTPConnection):
    """A connection on which every exchange ends by its deadline.

    urllib3 sets `timeout` to the remaining seconds before each request.
    """

    def __init__(  # type: ignore[no-untyped-def]
        self,
        *args,
        reaper: SocketReaper,
        clock: Clock,
        settings: TargetSettings,
        **kwargs,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.response_class = partial(_Response, reaper=reaper)  # type: ignore[assignment]
        self._reaper = reaper
        self._clock = clock
        self._settings = settings
        self._used_at = 0.0

    def connect(self) -> None:
        """Connect within `connect_seconds`, or the remaining time if less."""
        exchange_timeout = self.timeout
        self.timeout = min(
            exchange_timeout or 0.0, self._settings.connect_seconds
        )
        try:
            super().connect()
        finally:
            self.timeout = exchange_timeout

    def request(self, *args, **kwargs) -> None:  # type: ignore[no-untyped-def]
        """Send a request; reconnect first after `idle_seconds` without use."""
        deadline = Deadline.after(self._clock, self.timeout or 0.0)
        idle = self._clock.read_monotonic() - self._used_at
        if self.sock is not None and idle > self._settings.idle_seconds:
            self.close()
        if self.sock is None:
            self.connect()
        self._used_at = deadline.at
        self.sock.settimeout(deadline.get_remaining_seconds(self._clock))
        self._reaper.add(self.sock, deadline)
        super().request(*args, **kwargs)

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Wait for the status and headers of the answer."""
        response = super().getresponse()
        self._used_at = self._clock.read_monotonic()
        return response

    def close(self) -> None:
        """Close the connection and cancel its deadline."""
        if self.sock is not None:
            self._reaper.discard(self.sock)
        super().close()


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def _filter_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in UNFORWARDED_HEADERS
    )


class HttpTargetClient(TargetClient):
    """Sends requests through one limited connection pool per target.

    Requests are not retried, and redirects are not followed. A connection
    whose answer was late, incomplete or too long is closed, so that no later
    request can read bytes that belong to an earlier one.
    """

    def __init__(
        self,
        clock: Clock,
        settings: TargetSettings,
        reaper: SocketReaper,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._reaper = reaper
        self._lock = threading.Lock()
        self._pools: dict[str, tuple[int, _Pool]] = {}

    def send(
        self, vm: Vm, connection_limit: int, request: Request
    ) -> Result[TargetAnswer, TargetFailure]:
        """Send the request once; wait for the answer or the deadline."""
        pool = self._get_pool(vm.address, connection_limit)
        remaining = request.deadline.get_remaining_seconds(self._clock)
        if remaining <= 0:
            return Err(NotSentFailure(vm.name, "deadline"))
        headers = urllib3.HTTPHeaderDict(_filter_headers(request.headers))
        headers["X-Request-Id"] = request.id
        try:
            response = pool.urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=headers,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    total=remaining, connect=remaining, read=remaining
                ),
                pool_timeout=0,
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, EmptyPoolError) as error:
            return Err(NotSentFailure(vm.name, type(error).__name__))
        except urllib3.exceptions.ConnectTimeoutError:
            return Err(NotSentFailure(vm.name, "connect timeout"))
        except (HTTPError, OSError, ValueError) as error:
            return Err(LostAnswerFailure(vm.name, type(error).__name__))
        return self._read_answer(vm, request, response)

    def retain(self, addresses: Collection[str]) -> None:
        """Close the idle connections to all addresses but these."""
        with self._lock:
            unused = [key for key in self._pools if key not in addresses]
            pools = [self._pools.pop(key)[1] for key in unused]
        for pool in pools:
            pool.close()

    def _get_pool(self, address: str, connection_limit: int) -> _Pool:
        with self._lock:
            entry = self._pools.get(address)
            if entry is not None and entry[0] == connection_limit:
                return entry[1]
            if entry is not None:
                entry[1].close()
            host, _, port = address.rpartition(":")
            pool = _Pool(
                host,
                int(port),
                maxsize=connection_limit,
                block=True,
                reaper=self._reaper,
                clock=self._clock,
                settings=self._settings,
            )
            self._pools[address] = (connection_limit, pool)
            return pool

    def _read_answer(
        self,
        vm: Vm,
        request: Request,
        response: urllib3.BaseHTTPResponse,
    ) -> Result[TargetAnswer, TargetFailure]:
        problem = self._find_problem(request, response)
        body = b""
        if not problem:
            try:
                body = self._read_body(request, response)
            except (HTTPError, OSError, ValueError) as error:
                problem = type(error).__name__
        if problem:
            response.close()
            return Err(LostAnswerFailure(vm.name, problem))
        headers = _filter_headers(response.headers.items())
        length = response.headers.get("Content-Length")
        if request.method == "HEAD" and length is not None:
            headers = (*headers, ("Content-Length", length))
        answer = Answer(response.status, headers, body)
        leaving = response.headers.get("X-Leaving", "").lower() == "true"
        return Ok(TargetAnswer(answer, _read_ran(response), leaving))

    def _find_problem(
        self, request: Request, response: urllib3.BaseHTTPResponse
    ) -> str:
        if response.status < 200:
            return "interim answer"
        echoed = response.headers.get("X-Request-Id", request.id)
        if echoed != request.id:
            return "answer to another request"
        delimited = (
            request.method == "HEAD"
            or response.status in BODILESS_STATUSES
            or "Content-Length" in response.headers
            or response.headers.get("Transfer-Encoding", "").lower()
            == "chunked"
        )
        return "" if delimited else "answer without a length"

    def _read_body(
        self, request: Request, response: urllib3.BaseHTTPResponse
    ) -> bytes:
        parts = []
        size = 0
        while part := response.read(CHUNK_BYTES, decode_content=False):
            size += len(part)
            if size > self._settings.answer_bytes:
                raise ValueError("answer too large")
            if request.deadline.has_passed(self._clock):
                raise TimeoutError
            parts.append(part)
        response.release_conn()
        return b"".join(parts)


def _read_ran(response: urllib3.BaseHTTPResponse) -> Ran:
    reported = response.headers.get("X-Ran", "").lower()
    if reported in (Ran.NO, Ran.YES):
        return Ran(reported)
    return Ran.UNKNOWN if response.status >= 500 else Ran.YES
