"""HTTP servers and how they start and stop."""

import logging
import threading
from dataclasses import dataclass
from typing import Any

from cheroot import wsgi

from chestnutstair.state.codec import STRICT

__all__ = ["HttpServer", "ServerSettings", "build_server", "split_address"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ServerSettings:
    """Bounds of one HTTP server.

    `threads` serve one request each; `backlog` connections wait to be
    accepted and `queued` accepted ones for a thread; `header_bytes` and
    `body_bytes` are the largest taken; `idle_seconds` is how long a
    connection may be silent; `stop_seconds` is how long a stop waits for
    requests in flight.
    """

    __pydantic_config__ = STRICT

    threads: int = 8
    backlog: int = 128
    queued: int = 128
    header_bytes: int = 32 * 1024
    body_bytes: int = 16 * 1024 * 1024
    idle_seconds: int = 10
    stop_seconds: int = 10


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `IP:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def build_server(
    address: str, application: Any, settings: ServerSettings
) -> wsgi.Server:
    """Return a server for the WSGI application, not yet listening."""
    server = wsgi.Server(
        split_address(address),
        application,
        numthreads=settings.threads,
        max=settings.threads,
        request_queue_size=settings.backlog,
        timeout=settings.idle_seconds,
        shutdown_timeout=settings.stop_seconds,
        accepted_queue_size=settings.queued,
    )
    server.max_request_header_size = settings.header_bytes
    server.max_request_body_size = settings.body_bytes
    return server


class HttpServer:
    """Runs a server on its own thread."""

    def __init__(self, name: str, server: wsgi.Server) -> None:
        self._server = server
        self._thread = threading.Thread(
            target=server.serve, name=name, daemon=True
        )

    def start(self) -> None:
        """Bind the address and accept connections.

        Raises OSError if the address can not be bound.
        """
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Accept no more and wait for the requests in flight."""
        if self._thread.is_alive():
            self._server.stop()
            self._thread.join()
