"""The HTTP server of all stand-ins, on 127.0.0.1."""

import errno
import logging
import signal
import socket
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote

from cheroot.server import HTTPConnection
from cheroot.wsgi import Server

from chestnutstair.state.codec import encode_json

__all__ = [
    "HOST",
    "Answer",
    "Application",
    "Request",
    "WebServer",
    "WebServerSettings",
    "answer_json",
    "break_connection",
    "catch_stop_signals",
    "reserve_port",
]

logger = logging.getLogger(__name__)

HOST = "127.0.0.1"
REQUEST_QUEUE_SIZE = 1024  # listen backlog
MAX_IDLE_CONNECTIONS = 4096  # kept open between requests
IDLE_SECONDS = 60  # timeout of idle connections
POLL_SECONDS = 0.2  # of the loop that accepts connections


@dataclass(frozen=True)
class Request:
    """A decoded request."""

    method: str
    path: tuple[str, ...]  # parts between the slashes
    query: Mapping[str, str]
    headers: Mapping[str, str]  # names in lower case
    body: bytes


@dataclass(frozen=True)
class Answer:
    """An HTTP answer."""

    status: HTTPStatus = HTTPStatus.OK
    body: bytes = b"{}"
    headers: Mapping[str, str] = field(default_factory=dict)
    # If set, only this many bytes of the body are sent before the connection
    # closes.
    sent_bytes: int | None = None


class Application(ABC):
    """Answers requests; called by several threads at once."""

    @abstractmethod
    def answer(self, request: Request) -> Answer:
        """Return the answer, or call `break_connection` to send none."""


@dataclass(frozen=True)
class WebServerSettings:
    """Limits of a web server."""

    threads: int = 32  # that run the application
    connections: int = 1024  # further connections are closed at once


def answer_json(value: Any, status: HTTPStatus = HTTPStatus.OK) -> Answer:
    """Return an answer with the value encoded as JSON."""
    return Answer(status, encode_json(value))


def break_connection() -> None:
    """Close the connection of the current request without an answer.

    Raises ConnectionResetError, which makes the server close it.
    """
    raise ConnectionResetError(errno.ECONNRESET, "closed by an injected fault")


def reserve_port(port: int = 0) -> socket.socket:
    """Return a socket that reserves the port until it is closed.

    The socket never listens: a server of this process may bind the same
    port, and connections are refused while no server does.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, port))
    return reservation


def catch_stop_signals() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set.

    Called before the address is printed: whoever reads it may send a signal
    at once, whose default action would end the process with an error.
    """
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    return stopped


class _CountedConnection(HTTPConnection):
    """A connection that notifies its server when it closes."""

    def close(self) -> None:
        super().close()
        self.server.forget_connection(self)


class _LimitedServer(Server):
    """A server that immediately closes connections over a limit."""

    ConnectionClass = _CountedConnection
    expiration_interval = POLL_SECONDS
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    connection_limit = 0

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._open: set[HTTPConnection] = set()
        self._open_lock = threading.Lock()
        self.closed_count = 0

    def process_conn(self, conn: HTTPConnection) -> None:
        """Serve the connection; close it if it is new and over the limit."""
        with self._open_lock:
            over_limit = (
                conn not in self._open
                and len(self._open) >= self.connection_limit
            )
            if not over_limit:
                self._open.add(conn)
        if over_limit:
            self.closed_count += 1
            conn.close()
        else:
            super().process_conn(conn)

    def forget_connection(self, conn: HTTPConnection) -> None:
        """Remove a closed connection from the count of open ones."""
        with self._open_lock:
            self._open.discard(conn)

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log the library's messages, with INFO as the highest level."""
        logger.log(min(level, logging.INFO), msg, exc_info=traceback)


def _read_request(environ: Mapping[str, Any]) -> Request:
    parts = environ["PATH_INFO"].strip("/").split("/")
    return Request(
        environ["REQUEST_METHOD"],
        tuple(unquote(part) for part in parts),
        dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        },
        environ["wsgi.input"].read(),
    )


def _send_part(body: bytes) -> Iterator[bytes]:
    yield body
    break_connection()


class WebServer:
    """Serves an application; may be restarted on the same port."""

    def __init__(
        self,
        application: Application,
        port: int = 0,
        settings: WebServerSettings = WebServerSettings(),
    ) -> None:
        self._application = application
        self._settings = settings
        self._port = port
        self._server: _LimitedServer | None = None
        self._thread: threading.Thread | None = None
        self._closed_count = 0

    @property
    def address(self) -> str:
        """The listen address as `IP:port`, known after the first start."""
        return f"{HOST}:{self._port}"

    def count_closed(self) -> int:
        """Return how many connections exceeded the limit and were closed."""
        server = self._server
        return self._closed_count + (server.closed_count if server else 0)

    def start(self) -> None:
        """Listen on the port and serve in background threads."""
        server = _LimitedServer(
            (HOST, self._port),
            self._run_application,
            numthreads=self._settings.threads,
            request_queue_size=REQUEST_QUEUE_SIZE,
            timeout=IDLE_SECONDS,
            shutdown_timeout=0,
        )
        server.connection_limit = self._settings.connections
        server.prepare()
        self._port = server.bind_addr[1]
        self._server = server
        self._thread = threading.Thread(target=server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        server, self._server = self._server, None
        if server is None or self._thread is None:
            return
        server.stop()
        self._thread.join()
        self._closed_count += server.closed_count

    def _run_application(
        self, environ: Mapping[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        answer = self._application.answer(_read_request(environ))
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(answer.body)),
            **answer.headers,
        }
        status = f"{answer.status.value} {answer.status.phrase}"
        start_response(status, list(headers.items()))
        if answer.sent_bytes is not None:
            return _send_part(answer.body[: answer.sent_bytes])
        return [answer.body]
