"""Sends requests to targets over HTTP with urllib3."""

import http.client
import socket
import threading
from collections.abc import Collection, Iterable
from dataclasses import dataclass

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
from chestnutstair.state.deadline import Clock
from chestnutstair.state.fleet import Vm
from chestnutstair.transport.reaper import SocketReaper

__all__ = ["HttpTargetClient", "TargetSettings"]

HOP_HEADERS = frozenset(
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
    """Limits of the exchange with one target."""

    __pydantic_config__ = STRICT

    connect_seconds: float = 1.0
    answer_bytes: int = 16 * 1024 * 1024


class _Answer(http.client.HTTPResponse):
    """An answer whose socket is shut down if more than it was sent."""

    def __init__(self, sock: socket.socket, *args, **kwargs) -> None:  # type: ignore[no-untyped-def]
        super().__init__(sock, *args, **kwargs)
        self._reader = self.fp
        self._sock = sock

    def _close_conn(self) -> None:
        if self._holds_more():
            self._sock.shutdown(socket.SHUT_RDWR)
        super()._close_conn()  # type: ignore[misc]

    def _holds_more(self) -> bool:
        timeout = self._sock.gettimeout()
        self._sock.setblocking(False)
        try:
            return bool(self._reader.peek(1))
        except OSError:
            return False
        finally:
            self._sock.settimeout(timeout)


class _Connection(HTTPConnection):
    """A connection that notices more than one answer to a request."""

    response_class = _Answer


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def _keep_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS
    )


class HttpTargetClient(TargetClient):
    """One bounded pool of connections for each target.

    Nothing is sent twice and no redirect is followed. A connection whose
    answer was late, short or too long is closed, so that no later request
    can read what belongs to an earlier one.
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
        """Send the request once and wait for the answer or the deadline."""
        pool = self._find_pool(vm.address, connection_limit)
        left = request.deadline.measure_left(self._clock)
        if left <= 0:
            return Err(NotSentFailure(vm.name, "deadline"))
        headers = urllib3.HTTPHeaderDict(_keep_headers(request.headers))
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
                    connect=min(left, self._settings.connect_seconds),
                    read=left,
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
        """Close the idle connections to all other addresses."""
        with self._lock:
            gone = [key for key in self._pools if key not in addresses]
            pools = [self._pools.pop(key)[1] for key in gone]
        for pool in pools:
            pool.close()

    def _find_pool(self, address: str, limit: int) -> _Pool:
        with self._lock:
            found = self._pools.get(address)
            if found is not None and found[0] == limit:
                return found[1]
            if found is not None:
                found[1].close()
            host, _, port = address.rpartition(":")
            pool = _Pool(host, int(port), maxsize=limit, block=True)
            self._pools[address] = (limit, pool)
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
        answer = Answer(
            response.status,
            _keep_headers(response.headers.items()),
            body,
        )
        leaving = response.headers.get("X-Leaving", "").lower() == "true"
        return Ok(TargetAnswer(answer, _read_ran(response), leaving))

    def _find_problem(
        self, request: Request, response: urllib3.BaseHTTPResponse
    ) -> str:
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
    claimed = response.headers.get("X-Ran", "").lower()
    if claimed in (Ran.NO, Ran.YES):
        return Ran(claimed)
    return Ran.UNKNOWN if response.status >= 500 else Ran.YES
