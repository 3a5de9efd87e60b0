"""The open connections of a server, within limits."""

import contextlib
import logging
import socket
import threading
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from prometheus_client import Counter as CounterMetric
from prometheus_client import Gauge

from chestnutstair.state.deadline import Clock

__all__ = [
    "HELD_BYTES",
    "OPEN",
    "ConnectionTable",
    "LimitLog",
    "OpenConnection",
    "WaitingConnections",
]

logger = logging.getLogger(__name__)

OPEN = Gauge("chestnutstair_connections", "Open connections.", ["server"])
HELD_BYTES = Gauge(
    "chestnutstair_held_bytes",
    "Bytes of requests that no thread serves yet, and of unsent answers.",
    ["server"],
)
CLOSED = CounterMetric(
    "chestnutstair_connections_closed",
    "Connections closed to keep a limit on clients.",
    ["server", "limit"],
)
UNREAD_BYTES = Gauge(
    "chestnutstair_unread_bytes",
    "Bytes that the system has received and the server has not read.",
    ["server"],
)
PAUSES = CounterMetric(
    "chestnutstair_accept_pauses",
    "Waits with accepting, as all connections were being served.",
    ["server"],
)

LOG_INTERVAL_SECONDS = 1.0


class OpenConnection(Protocol):
    """What the table has to know of a connection."""

    remote_addr: Any
    socket: Any

    @property
    def unsent(self) -> int:
        """Return how many bytes of answers wait for the client."""

    def count_unread(self) -> int:
        """Return how many bytes wait in the system's buffer."""


class LimitLog:
    """Counts connections closed to keep a limit; logs once a second."""

    def __init__(self, server: str, clock: Clock) -> None:
        self._server = server
        self._clock = clock
        self._next_at: dict[str, float] = {}  # by limit

    def report(
        self, limit: str, describe: Callable[[], dict[str, Any]] = dict
    ) -> None:
        """Count a connection that was closed.

        `describe` returns further fields of the log line, if one is written.
        """
        CLOSED.labels(self._server, limit).inc()
        now = self._clock.read_monotonic()
        if now >= self._next_at.get(limit, now):
            self._next_at[limit] = now + LOG_INTERVAL_SECONDS
            logger.warning(
                "connection closed to keep a limit on clients",
                extra={
                    "server": self._server,
                    "limit": limit,
                    **describe(),
                },
            )


class WaitingConnections:
    """Connections that wait for their clients, in the order of giving way.

    Those of the client with the most of them come first, and of one client
    those that have waited longest. A client is a remote address.
    """

    def __init__(self) -> None:
        self._by_client: dict[Any, OrderedDict[OpenConnection, None]] = {}
        # Clients by how many of their connections wait.
        self._by_count: dict[int, OrderedDict[Any, None]] = {}

    def __bool__(self) -> bool:
        """Return whether any connection waits."""
        return bool(self._by_client)

    def __contains__(self, connection: OpenConnection) -> bool:
        """Return whether a connection waits."""
        return connection in self._by_client.get(connection.remote_addr, ())

    def __iter__(self) -> Iterator[OpenConnection]:
        """Yield the connections, the first to give way first."""
        for count in sorted(self._by_count, reverse=True):
            for client in self._by_count[count]:
                yield from self._by_client[client]

    def add(self, connection: OpenConnection) -> None:
        """Add a connection; one that waits already keeps its place."""
        if connection not in self:
            client = connection.remote_addr
            waiting = self._by_client.setdefault(client, OrderedDict())
            waiting[connection] = None
            self._move(client, len(waiting) - 1, len(waiting))

    def discard(self, connection: OpenConnection) -> None:
        """Remove a connection, if it waits."""
        if connection in self:
            client = connection.remote_addr
            waiting = self._by_client[client]
            del waiting[connection]
            if not waiting:
                del self._by_client[client]
            self._move(client, len(waiting) + 1, len(waiting))

    def _move(self, client: Any, old_count: int, new_count: int) -> None:
        if old_count:
            del self._by_count[old_count][client]
            if not self._by_count[old_count]:
                del self._by_count[old_count]
        if new_count:
            clients = self._by_count.setdefault(new_count, OrderedDict())
            clients[client] = None


class ConnectionTable:
    """The open connections of a server, and what it holds for them.

    `connections` is how many may be open, `held_bytes` how many bytes may be
    held for all of them: of requests that no thread serves yet, and of
    answers that have not been sent.
    """

    def __init__(
        self, log: LimitLog, server: str, connections: int, held_bytes: int
    ) -> None:
        self._log = log
        self._connections = connections
        self._held_bytes = held_bytes
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._open: set[OpenConnection] = set()
        self._sizes: dict[OpenConnection, int] = {}  # bytes held
        self._held = 0  # their sum
        self._waiting = WaitingConnections()
        OPEN.labels(server).set_function(lambda: len(self._open))
        HELD_BYTES.labels(server).set_function(lambda: self._held)
        UNREAD_BYTES.labels(server).set_function(self.count_unread)
        self._pauses = PAUSES.labels(server)

    def is_full(self) -> bool:
        """Return whether as many connections are open as may be."""
        return len(self._open) >= self._connections

    def contains(self, connection: OpenConnection) -> bool:
        """Return whether a connection has not been closed for another."""
        return connection in self._open

    def wait_for_room(self, seconds: float) -> bool:
        """Wait until one more connection may be open; return whether it may.

        At the limit that is the case if one waits for its client, as it can
        be closed. Otherwise threads are needed for all of them.
        """
        with self._lock:
            if not self._has_room():
                self._pauses.inc()
            return self._changed.wait_for(self._has_room, seconds)

    def _has_room(self) -> bool:
        return len(self._open) < self._connections or bool(self._waiting)

    def admit(self, connection: OpenConnection) -> bool:
        """Add a new connection; return whether it may stay.

        At the limit, one that waits for its client is closed for it: an
        ordinary client sends its request at once.
        """
        with self._lock:
            self._open.add(connection)
            if len(self._open) <= self._connections:
                return True
            return self._shed("connections", 0)

    def wait(self, connection: OpenConnection, size: int) -> None:
        """Note that a connection waits for its client, and what it holds.

        A connection that waits already keeps its place.
        """
        with self._lock:
            if connection in self._open:
                self._waiting.add(connection)
                self._hold(connection, size)
                self._changed.notify()

    def enqueue(self, connection: OpenConnection, size: int) -> None:
        """Note that a connection waits for a thread, and what it holds."""
        with self._lock:
            self._waiting.discard(connection)
            if connection in self._open:
                self._hold(connection, size)

    def note_progress(self, connection: OpenConnection) -> None:
        """Let a connection be the last of its client's that wait."""
        with self._lock:
            if connection in self._waiting:
                self._waiting.discard(connection)
                self._waiting.add(connection)

    def release(self, connection: OpenConnection) -> None:
        """Note that nothing is held for a connection any more."""
        with self._lock:
            self._held -= self._sizes.pop(connection, 0)

    def forget(self, connection: OpenConnection) -> None:
        """Remove a connection that has been closed."""
        self.release(connection)
        with self._lock:
            self._waiting.discard(connection)
            self._open.discard(connection)
            self._changed.notify()

    def count_unread(self) -> int:
        """Return how many bytes wait in the system's buffers."""
        with self._lock:
            connections = list(self._open)
        return sum(connection.count_unread() for connection in connections)

    def report(self, limit: str) -> None:
        """Count a connection that the server closes to keep a limit."""
        with self._lock:
            self._log.report(limit, self._describe_largest)

    def _describe_largest(self) -> dict[str, Any]:
        """Return the client with the most connections, and what it holds.

        The connection that is closed may be of another client.
        """
        clients = Counter(item.remote_addr for item in self._open)
        if not clients:
            return {}
        client, count = clients.most_common(1)[0]
        held = sum(
            size
            for item, size in self._sizes.items()
            if item.remote_addr == client
        )
        return {
            "largest_client": client,
            "client_connections": count,
            "client_held_bytes": held,
        }

    def has_unsent(self) -> bool:
        """Return whether a client has not read its whole answer."""
        with self._lock:
            return any(item.unsent for item in self._waiting)

    def make_room(self) -> bool:
        """Close a connection that waits for its client, for a descriptor.

        Returns whether there was any.
        """
        with self._lock:
            return self._shed("descriptors", 0)

    def _hold(self, connection: OpenConnection, size: int) -> None:
        self._held += size - self._sizes.get(connection, 0)
        self._sizes[connection] = size
        while self._held > self._held_bytes:
            if not self._shed("held_bytes", 1):
                return

    def _shed(self, limit: str, least_bytes: int) -> bool:
        """Close the first connection to give way, if any waits."""
        for connection in self._waiting:
            if self._sizes.get(connection, 0) >= least_bytes:
                break
        else:
            return False
        self._log.report(limit, self._describe_largest)
        self._waiting.discard(connection)
        self._held -= self._sizes.pop(connection, 0)
        self._open.discard(connection)
        # The server's loop wakes up for it, and closes it.
        with contextlib.suppress(OSError):
            connection.socket.shutdown(socket.SHUT_RDWR)
        return True
