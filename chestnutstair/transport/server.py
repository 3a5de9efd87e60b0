"""HTTP servers with limits on size and time, and their lifecycle."""

import logging
import threading
from dataclasses import dataclass
from functools import partial
from typing import Any

import cheroot.server
import cheroot.wsgi

from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.transport.reaper import SocketReaper

__all__ = [
    "BODY_READ_KEY",
    "HttpServer",
    "ServerSettings",
    "build_server",
    "split_address",
]

logger = logging.getLogger(__name__)

# Key of the WSGI environment for the function that the application calls once
# it has read the body.
BODY_READ_KEY = "chestnutstair.read_done"


@dataclass(frozen=True)
class ServerSettings:
    """Limits of one HTTP server.

    - `threads`: number of threads; each serves one request at a time.
    - `backlog`: how many connections may wait to be accepted, and how many
      are kept alive.
    - `header_bytes`, `body_bytes`: maximum size of a request's headers and
      body; 0 means no limit here.
    - `idle_seconds`: how long a connection may send nothing.
    - `read_seconds`: how long a request may take to arrive, or to be served
      if the application does not report that it has read the body.
    - `stop_seconds`: how long a stop waits for requests in flight.
    """

    __pydantic_config__ = STRICT

    threads: int = 8
    backlog: int = 128
    header_bytes: int = 32 * 1024
    body_bytes: int = 16 * 1024 * 1024
    idle_seconds: int = 10
    read_seconds: float = 20.0
    stop_seconds: int = 10


class _Gateway(cheroot.wsgi.Gateway_10):
    """Lets the application close the connection and report a read body."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Add the function that the application calls after reading the body.

        The function ends the time limit on reading the request.
        """
        environ = super().get_environ()
        connection = self.req.conn
        reaper = connection.server.reaper
        environ[BODY_READ_KEY] = partial(reaper.discard, connection.socket)
        return environ

    def start_response(self, status, headers, exc_info=None):  # type: ignore[no-untyped-def]
        """Start the answer, and obey its `Connection: close` header."""
        if ("Connection", "close") in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


class _Connection(cheroot.server.HTTPConnection):
    """A connection whose requests must each be read by a deadline."""

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        server = self.server
        deadline = Deadline.after(server.clock, server.read_seconds)
        server.reaper.add(self.socket, deadline)
        try:
            return bool(super().communicate())
        finally:
            server.reaper.discard(self.socket)


class _BoundedServer(cheroot.wsgi.Server):
    """A server that limits the total time of reading each request."""

    ConnectionClass = _Connection

    def __init__(  # type: ignore[no-untyped-def]
        self, *args, clock: Clock, read_seconds: float, **kwargs
    ) -> None:
        super().__init__(*args, **kwargs)
        self.gateway = _Gateway
        self.clock = clock
        self.read_seconds = read_seconds
        self.reaper = SocketReaper(clock)

    def stop(self) -> None:
        """Stop serving, then stop the reaper."""
        super().stop()
        self.reaper.stop()


def split_address(address: str) -> tuple[str, int]:
    """Split `IP:port` into host, without brackets, and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def build_server(
    address: tuple[str, int],
    application: Any,
    settings: ServerSettings,
    clock: Clock,
) -> cheroot.wsgi.Server:
    """Return a server for the WSGI application, not yet listening."""
    server = _BoundedServer(
        address,
        application,
        numthreads=settings.threads,
        max=settings.threads,
        request_queue_size=settings.backlog,
        timeout=settings.idle_seconds,
        shutdown_timeout=settings.stop_seconds,
        clock=clock,
        read_seconds=settings.read_seconds,
    )
    server.max_request_header_size = settings.header_bytes
    server.max_request_body_size = settings.body_bytes
    server.keep_alive_conn_limit = settings.backlog
    return server


class HttpServer:
    """Runs a server on its own thread."""

    def __init__(self, name: str, server: cheroot.wsgi.Server) -> None:
        self._server = server
        self._thread = threading.Thread(
            target=server.serve, name=name, daemon=True
        )

    def start(self) -> None:
        """Bind the address and accept connections.

        Raises OSError if the address cannot be bound.
        """
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections and wait for requests in flight."""
        if self._thread.is_alive():
            self._server.stop()
            self._thread.join()
