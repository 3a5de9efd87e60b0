"""A client of the platform's HTTP interface."""

import socket
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeVar

import urllib3
from prometheus_client import Counter
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    LocationValueError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from chestnutstair.coordination.platform import (
    ConflictFailure,
    PlatformFailure,
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.protocol.platform import (
    PARTY_HEADER,
    ZONE_HEADER,
    RefusalAnswer,
)
from chestnutstair.state.codec import STRICT, decode_json, encode_json
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.transport.kept_connections import KeptConnections

__all__ = [
    "PlatformClient",
    "PlatformClientSettings",
    "check_status",
    "connect_to_address",
    "map_conflict_to_refusal",
]

T = TypeVar("T")

# A linger time of 0 s: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Headers that the library adds by default and no service reads.
UNSENT_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}

SERVICE_CALLS = Counter(
    "chestnutstair_platform_calls", "Calls to the platform.", ["service"]
)
SERVICE_BYTES = Counter(
    "chestnutstair_platform_bytes",
    "Bytes of bodies exchanged with the platform.",
    ["direction"],
)

CallFailure = ConflictFailure | PlatformFailure


@dataclass(frozen=True)
class PlatformClientSettings:
    """Connections of one client.

    - `connections`: maximum number of open connections.
    - `resets`: whether closing a connection resets it. A reset discards the
      unsent data of an abandoned call, which could otherwise arrive later,
      when an interrupted link works again.
    """

    __pydantic_config__ = STRICT

    connections: int = 8
    resets: bool = False


class _SingleSendConnection(HTTPConnection):
    """Sends the headers and the body of a request in one piece.

    The base class sends them one after the other, each with system calls of
    its own and in a packet of its own, which wakes the other side twice.

    Connects anew before a request if it may have gone silent.
    """

    _pieces: list[bytes] | None = None

    def __init__(
        self, *args: Any, kept_connections: KeptConnections, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self._kept_connections = kept_connections
        self._answered = 0

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Return the response to the request."""
        response = super().getresponse()
        self._answered = self._kept_connections.take_number()
        return response

    def request(self, *args: Any, **options: Any) -> None:
        """Send a request."""
        if self._kept_connections.may_be_silent(self._answered):
            self.close()
        pieces: list[bytes] = []
        self._pieces = pieces
        try:
            super().request(*args, **options)
        finally:
            self._pieces = None
        super().send(b"".join(pieces))

    def send(self, data: Any) -> None:
        """Keep a piece of a request until the request is complete."""
        if self._pieces is None:
            super().send(data)
        else:
            self._pieces.append(data)


class PlatformClient:
    """Makes calls with a deadline and returns errors as failures."""

    def __init__(
        self,
        base_url: str,
        party: str,
        zone: str,
        clock: Clock,
        settings: PlatformClientSettings = PlatformClientSettings(),
    ) -> None:
        self._clock = clock
        options = list(HTTPConnection.default_socket_options)
        if settings.resets:
            options.append(
                (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            )
        self._kept_connections = KeptConnections()
        self._pool = urllib3.connection_from_url(
            base_url,
            kept_connections=self._kept_connections,
            maxsize=settings.connections,
            block=True,
            retries=False,
            headers={
                **UNSENT_HEADERS,
                **{
                    name: value
                    for name, value in (
                        (PARTY_HEADER, party),
                        (ZONE_HEADER, zone),
                    )
                    if value
                },
            },
            socket_options=options,
        )
        self._pool.ConnectionCls = _SingleSendConnection
        self._bytes_sent = SERVICE_BYTES.labels("sent")
        self._bytes_received = SERVICE_BYTES.labels("received")

    def query(
        self,
        answer_type: Any,
        method: str,
        path: str,
        deadline: Deadline,
        call: Any,
    ) -> Result[Any, PlatformFailure]:
        """Make a call without side effects and decode its answer.

        The call changes nothing, so an unknown outcome is returned as
        UnavailableFailure.
        """
        body = None if call is None else encode_json(call)
        answer = self.send(method, path, body, deadline)
        match answer.and_then(check_status):
            case Ok(data):
                decoded = decode_json(answer_type, data)
                return decoded.map_err(
                    lambda _: UnavailableFailure("unreadable answer")
                )
            case Err(UnknownOutcomeFailure(reason)):
                return Err(UnavailableFailure(reason))
            case failed:
                return map_conflict_to_refusal(failed)

    def command(
        self, path: str, call: Any, deadline: Deadline
    ) -> Result[None, CallFailure]:
        """Make a call with side effects, which answers with no data."""
        answer = self.send("POST", path, encode_json(call), deadline)
        return answer.and_then(check_status).map(lambda _: None)

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        deadline: Deadline,
        headers: Mapping[str, str] | None = None,
    ) -> Result[urllib3.BaseHTTPResponse, PlatformFailure]:
        """Send a request and return its answer, whatever its status.

        `headers` are sent in addition to those of every call.
        """
        remaining = deadline.get_remaining_seconds(self._clock)
        if remaining <= 0:
            return Err(UnavailableFailure("the deadline has passed"))
        SERVICE_CALLS.labels(path.split("/")[1]).inc()
        self._bytes_sent.inc(len(body or b""))
        began = self._kept_connections.take_number()
        try:
            answer = self._pool.urlopen(
                method,
                path,
                body=body,
                headers={**self._pool.headers, **(headers or {})},
                timeout=urllib3.Timeout(total=remaining),
                pool_timeout=remaining,  # type: ignore[arg-type]
            )
        except (
            NewConnectionError,
            ConnectTimeoutError,
            EmptyPoolError,
            LocationValueError,
        ) as error:
            return Err(UnavailableFailure(str(error)))
        except ReadTimeoutError as error:
            self._kept_connections.record_silence(began)
            return Err(UnknownOutcomeFailure(str(error)))
        except (HTTPError, ValueError, OverflowError) as error:
            # The latter two for what cannot be put into a request, such as a
            # line break in a header. Whether something was sent is not known.
            return Err(UnknownOutcomeFailure(str(error)))
        self._bytes_received.inc(len(answer.data))
        return Ok(answer)


def connect_to_address(
    address: str, clock: Clock, settings: PlatformClientSettings
) -> Result[PlatformClient, UnavailableFailure]:
    """Return a client of the server at `host:port`, as named by others."""
    try:
        client = PlatformClient(f"http://{address}", "", "", clock, settings)
    except ValueError as error:
        return Err(UnavailableFailure(f"unusable address: {error!r}"))
    return Ok(client)


def check_status(
    answer: urllib3.BaseHTTPResponse,
) -> Result[bytes, CallFailure]:
    """Return the body, or the failure that the status stands for."""
    if answer.status == HTTPStatus.OK:
        return Ok(answer.data)
    refusal = decode_json(RefusalAnswer, answer.data).unwrap_or(
        RefusalAnswer(f"status {answer.status}")
    )
    if answer.status == HTTPStatus.CONFLICT:
        return Err(ConflictFailure(refusal.rows))
    if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return Err(UnavailableFailure(refusal.reason))
    if HTTPStatus.BAD_REQUEST <= answer.status < 500:
        return Err(RefusedFailure(refusal.reason))
    return Err(UnknownOutcomeFailure(refusal.reason))


def map_conflict_to_refusal(
    outcome: Result[T, CallFailure],
) -> Result[T, PlatformFailure]:
    """Turn a conflict, which these calls cannot cause, into a refusal."""
    match outcome:
        case Ok(value):
            return Ok(value)
        case Err(ConflictFailure()):
            return Err(RefusedFailure("conflict"))
        case Err(UnavailableFailure() as failure):
            return Err(failure)
        case Err(UnknownOutcomeFailure() as failure):
            return Err(failure)
        case Err(RefusedFailure() as failure):
            return Err(failure)
    raise AssertionError(outcome)
