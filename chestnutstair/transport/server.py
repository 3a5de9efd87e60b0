"""HTTP servers with limits on size and time, and their lifecycle."""

import errno
import json
import logging
import queue
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any

import cheroot.wsgi
from prometheus_client import Gauge

from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.transport.arrival import RequestScan
from chestnutstair.transport.connection_table import ConnectionTable, LimitLog
from chestnutstair.transport.connections import Connection
from chestnutstair.transport.reaper import SocketReaper
from chestnutstair.transport.request_body import RequestBody

__all__ = [
    "BODY_READ_KEY",
    "HttpServer",
    "Refusal",
    "ServerSettings",
    "build_server",
    "render_reason",
    "split_address",
]

logger = logging.getLogger(__name__)

WAITING = Gauge(
    "chestnutstair_waiting_requests",
    "Whole requests that wait for a thread.",
    ["server"],
)
BUSY = Gauge(
    "chestnutstair_busy_threads", "Threads that serve a request.", ["server"]
)

# Key of the WSGI environment for the function that the application calls once
# it has read the body.
BODY_READ_KEY = "chestnutstair.read_done"
# One thread in so many may read a request that is too large to be buffered.
READER_SHARE = 8
UNSENT_POLL_SECONDS = 0.05
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
ACCEPT_RETRY_SECONDS = 0.05
ACCEPT_WAIT_SECONDS = 0.05

Refusal = tuple[tuple[tuple[str, str], ...], bytes]
RefusalRenderer = Callable[[str, str], Refusal]


@dataclass(frozen=True)
class ServerSettings:
    """Limits of one HTTP server.

    - `threads`: number of threads; each serves one request at a time.
    - `backlog`: how many connections may wait to be accepted.
    - `connections`: how many connections may be open. For one more, one that
      waits for a request is closed: of the remote address that has the most
      of them, the one that has waited longest. If none waits, the new one is
      accepted once another has its answer. At the limit none stays open after
      its answer.
    - `waiting_requests`: how many requests may wait for a thread; further
      ones are answered with 503.
    - `header_bytes`, `body_bytes`: maximum size of a request's headers and
      body.
    - `framing_bytes`: maximum size of all that surrounds the data of a body
      in chunks: sizes, extensions and trailers.
    - `buffer_bytes`: largest request that is received as a whole before a
      thread serves it. While a thread reads a larger one from its client, so
      may at most an eighth of the threads.
    - `held_bytes`: bytes of requests that no thread serves yet, and of
      answers that their clients have not read, for all connections together.
      Beyond it, one that waits is closed, chosen as for `connections`.
    - `receive_bytes`: how much the system receives on a connection ahead of
      the server; Linux doubles it.
    - `idle_seconds`: how long a connection may send nothing.
    - `read_seconds`: how long a request may take to arrive, or to be served
      if the application does not report that it has read the body.
    - `stop_seconds`: how long a stop waits for requests in flight.
    """

    __pydantic_config__ = STRICT

    threads: int = 8
    backlog: int = 128
    connections: int = 512
    waiting_requests: int = 512
    header_bytes: int = 32 * 1024
    body_bytes: int = 16 * 1024 * 1024
    framing_bytes: int = 256 * 1024
    buffer_bytes: int = 128 * 1024
    held_bytes: int = 16 * 1024 * 1024
    receive_bytes: int = 32 * 1024
    idle_seconds: int = 10
    read_seconds: float = 20.0
    stop_seconds: int = 10

    @property
    def readers(self) -> int:
        """Return how many threads may read requests from their clients."""
        return max(1, self.threads // READER_SHARE)


def render_reason(status: str, reason: str) -> Refusal:
    """Return the headers and body of a refusal, as JSON."""
    body = json.dumps({"reason": reason or status}).encode()
    return (("Content-Type", "application/json"),), body


class _Gateway(cheroot.wsgi.Gateway_10):
    """Lets the application close the connection and report a read body."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Add the function that the application calls after reading the body.

        The function ends the time limit on reading the request. Errors of
        reading the body become those of `RequestBody`.
        """
        environ = super().get_environ()
        connection = self.req.conn
        reaper = connection.server.reaper
        environ[BODY_READ_KEY] = partial(reaper.discard, connection.socket)
        limit = connection.server.max_request_body_size
        environ["wsgi.input"] = RequestBody(environ["wsgi.input"], limit)
        return environ

    def start_response(self, status, headers, exc_info=None):  # type: ignore[no-untyped-def]
        """Start the answer, and obey its `Connection: close` header."""
        if ("Connection", "close") in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


class _Listener(socket.socket):
    """Accepts connections while there is room for one.

    `wait_for_room` waits for a moment until one more may be open, and returns
    whether it may. `make_room` frees a descriptor if none is left.
    """

    wait_for_room: Callable[[], bool]
    make_room: Callable[[], None]

    def accept(self) -> Any:
        """Accept a connection; raises BlockingIOError if there is no room.

        cheroot then tries again once it has served other connections.
        """
        if not self.wait_for_room():
            raise BlockingIOError(errno.EAGAIN, "too many connections")
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in NO_DESCRIPTORS:
                raise
            self.make_room()
            raise BlockingIOError(errno.EAGAIN, str(error)) from error


class _BoundedServer(cheroot.wsgi.Server):
    """A server whose threads do not wait for clients to send."""

    ConnectionClass = Connection
    # cheroot sets these when it begins to listen.
    _connections: Any
    socket: Any

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        application: Any,
        settings: ServerSettings,
        clock: Clock,
        render_refusal: RefusalRenderer,
    ) -> None:
        super().__init__(
            address,
            application,
            numthreads=settings.threads,
            max=settings.threads,
            request_queue_size=settings.backlog,
            timeout=settings.idle_seconds,
            shutdown_timeout=settings.stop_seconds,
            accepted_queue_size=settings.waiting_requests,
            accepted_queue_timeout=0,
        )
        self.gateway = _Gateway
        self.max_request_header_size = settings.header_bytes
        self.max_request_body_size = settings.body_bytes
        self.build_scan = partial(
            RequestScan,
            settings.header_bytes,
            settings.body_bytes,
            settings.buffer_bytes,
        )
        self.render_refusal = render_refusal
        self.line_bytes = settings.header_bytes + settings.framing_bytes
        self.unbuffered_bytes = self.line_bytes + settings.body_bytes
        self._receive_bytes = settings.receive_bytes
        self.clock = clock
        self.read_seconds = settings.read_seconds
        self.reaper = SocketReaper(clock)
        self.table = ConnectionTable(
            LimitLog(name, clock),
            name,
            settings.connections,
            settings.held_bytes,
        )
        WAITING.labels(name).set_function(lambda: self.requests.qsize)
        BUSY.labels(name).set_function(self._count_busy)
        self._readers = threading.BoundedSemaphore(settings.readers)

    @classmethod
    def prepare_socket(cls, *args: Any, **kwargs: Any) -> _Listener:
        """Return the socket to listen on."""
        sock = super().prepare_socket(*args, **kwargs)
        return _Listener(fileno=sock.detach())

    def bind(self, family: int, type: int, proto: int = 0) -> Any:
        """Bind the socket; accepted connections inherit its buffer size."""
        sock = super().bind(family, type, proto)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
        )
        return sock

    def prepare(self) -> None:
        """Listen, and start the threads."""
        super().prepare()
        self.socket.wait_for_room = self._wait_for_room_to_accept
        self.socket.make_room = self._make_room

    def _count_busy(self) -> int:
        return int(self.requests.max - self.requests.idle)

    def _wait_for_room_to_accept(self) -> bool:
        return self.table.wait_for_room(ACCEPT_WAIT_SECONDS)

    def _make_room(self) -> None:
        if not self.table.make_room():
            self.clock.sleep(ACCEPT_RETRY_SECONDS)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether a connection stays open after its answer.

        At the limit none does, so that each client gets its turn.
        """
        return bool(self.ready) and not self.table.is_full()

    def process_conn(self, conn: Connection) -> None:
        """Receive from a connection, and serve its request once it is whole.

        Called by the loop that waits for clients: for a new connection, and
        for one whose client has sent something or has room for more.
        """
        reader = conn.reader
        if conn.last_used is None and not self.table.admit(conn):
            self._refuse(conn, "connections")
        elif not self.table.contains(conn):
            conn.close()
        elif conn.writer.unsent:
            self._send_rest(conn)
        elif not reader.has_data() and not reader.receive():
            conn.close()
        elif reader.has_data():
            self._serve(conn)
        else:
            self._wait_for_request(conn)

    def put_conn(self, conn: Connection) -> None:
        """Take back a connection whose request a thread has served."""
        conn.reader.begin_request()
        if not self.ready:
            conn.send_all()
            conn.close()
        elif conn.writer.unsent:
            self._wait_for_room(conn)
        elif conn.reader.has_data():
            self._serve(conn)
        else:
            self._wait_for_request(conn)

    def _send_rest(self, conn: Connection) -> None:
        unsent = conn.writer.unsent
        if not conn.send_rest():
            conn.close()
            return
        if conn.writer.unsent < unsent:
            self.table.note_progress(conn)
        if conn.writer.unsent:
            self._wait_for_room(conn)
        elif conn.reader.has_data():
            self._serve(conn)
        else:
            self._wait_for_request(conn)

    def _wait_for_request(self, conn: Connection) -> None:
        """Let the loop receive the next bytes of the connection."""
        reader = conn.reader
        self.table.wait(conn, reader.size)
        self._connections.put(conn)
        if reader.size:
            # The loop closes it when it was not used for `timeout`.
            latest = reader.began_at + self.read_seconds - self.timeout
            conn.last_used = min(conn.last_used, latest)

    def _wait_for_room(self, conn: Connection) -> None:
        """Let the loop send the next bytes of an answer."""
        self.table.wait(conn, conn.writer.unsent)
        conn.last_used = time.time()
        # cheroot itself waits only for connections that can be read.
        self._connections._selector.register(
            conn.socket.fileno(), selectors.EVENT_WRITE, data=conn
        )

    def _serve(self, conn: Connection) -> None:
        self.table.enqueue(conn, conn.reader.size)
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn, "waiting_requests")

    def _refuse(self, conn: Connection, limit: str) -> None:
        self.table.report(limit)
        conn.refuse()
        conn.close()

    @contextmanager
    def admit_reader(self) -> Iterator[bool]:
        """Yield whether one more thread may read from its client."""
        admitted = self._readers.acquire(blocking=False)
        if not admitted:
            self.table.report("readers")
        try:
            yield admitted
        finally:
            if admitted:
                self._readers.release()

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log what cheroot reports."""
        # Errors of single connections are the clients' affair.
        known = level if level >= logging.WARNING else logging.DEBUG
        logger.log(min(known, logging.INFO), msg, exc_info=traceback)

    def stop(self) -> None:
        """Stop serving, then stop the reaper.

        Clients that are reading an answer get the rest of it first.
        """
        deadline = Deadline.after(self.clock, self.shutdown_timeout)
        while self.table.has_unsent() and not deadline.has_passed(self.clock):
            self.clock.sleep(UNSENT_POLL_SECONDS)
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
    name: str = "http",
    render_refusal: RefusalRenderer = render_reason,
) -> cheroot.wsgi.Server:
    """Return a server for the WSGI application, not yet listening.

    `name` is the label of its metrics. `render_refusal` returns the headers
    and body of an answer that refuses a request before the application gets
    it, from the answer's status line and the reason.
    """
    return _BoundedServer(
        name, address, application, settings, clock, render_refusal
    )


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
