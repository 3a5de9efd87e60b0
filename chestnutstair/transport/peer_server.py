"""A gRPC server for other daemons that keeps limits on what they hold."""

import asyncio
import gc
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from grpclib.config import Configuration
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock
from chestnutstair.transport.connection_table import (
    HELD_BYTES,
    OPEN,
    LimitLog,
)

__all__ = ["FrameScan", "PeerConnections", "PeerServer", "PeerServerSettings"]

SERVER = "peers"  # label of the metrics

GARBAGE_BYTES = 8 * 1024 * 1024
PREFACE_BYTES = 24  # sent by clients before their first frame
FRAME_HEAD_BYTES = 9
FRAME_LENGTH_BYTES = 3  # the length begins the head
MAX_FRAME_BYTES = 16 * 1024  # unless a server announces more

Address = tuple[Any, ...]  # of a connection's other end


@dataclass(frozen=True)
class PeerServerSettings:
    """Limits of the server for other daemons.

    - `connections`: how many connections may be open. For one more, the one
      that has been without a message for longest is closed.
    - `message_bytes`: how much may arrive on a connection without completing
      a message, and how much may wait to be sent on it. Beyond it the
      connection is closed.
    - `held_bytes`: how much may have arrived on all connections together
      without completing a message. Beyond it the connection that has been
      without a message for longest is closed.
    - `window_bytes`: how much a daemon may send ahead of what was read.
    """

    __pydantic_config__ = STRICT

    connections: int = 256
    message_bytes: int = 1024 * 1024
    held_bytes: int = 16 * 1024 * 1024
    window_bytes: int = 128 * 1024


class PeerConnections:
    """The open connections, and the bytes of messages that are incomplete.

    Used on the event loop's thread only.
    """

    def __init__(self, settings: PeerServerSettings, clock: Clock) -> None:
        self._settings = settings
        self._log = LimitLog(SERVER, clock)
        # Those without a message for longest come first.
        self._transports: OrderedDict[Address, asyncio.Transport] = (
            OrderedDict()
        )
        self._held: dict[Address, int] = {}
        self._total = 0
        self._garbage = 0  # bytes that closed connections held
        self._served: set[Address] = set()  # have a stream
        OPEN.labels(SERVER).set_function(lambda: len(self._transports))
        HELD_BYTES.labels(SERVER).set_function(lambda: self._total)

    def admit(self, address: Address, transport: asyncio.Transport) -> None:
        """Add a connection; at the limit another one is closed for it."""
        if len(self._transports) >= self._settings.connections:
            self._close(next(iter(self._transports)), "connections")
        self._transports[address] = transport
        self._held[address] = 0

    def hold(self, address: Address, size: int) -> bool:
        """Note bytes that have arrived; return whether they may be kept."""
        if address not in self._transports:
            return False  # it is being closed
        self._held[address] += size
        self._total += size
        waiting = self._transports[address].get_write_buffer_size()
        if max(self._held[address], waiting) > self._settings.message_bytes:
            self._close(address, "message_bytes")
        while self._total > self._settings.held_bytes:
            self._close(self._find_longest(), "held_bytes")
        return address in self._transports

    def release(self, address: Address) -> None:
        """Note that a message is complete."""
        if address in self._transports:
            self._total -= self._held[address]
            self._held[address] = 0
            self._transports.move_to_end(address)

    def refuse(self, address: Address) -> None:
        """Close a connection whose frames or messages are malformed."""
        if address in self._transports:
            self._close(address, "malformed")

    def forget(self, address: Address) -> None:
        """Remove a connection."""
        self._transports.pop(address, None)
        size = self._held.pop(address, 0)
        self._total -= size
        self._collect(size)

    def _collect(self, size: int) -> None:
        """Free what closed connections hold.

        Objects of h2 and grpclib refer to each other, so that it would stay
        in memory until the next garbage collection.
        """
        self._garbage += size
        if self._garbage > GARBAGE_BYTES:
            self._garbage = 0
            gc.collect()

    @contextmanager
    def serve(self, address: Address) -> Iterator[bool]:
        """Yield whether a new stream is the only one of its connection.

        Messages of several streams would be incomplete at the same time.
        """
        is_only = address not in self._served
        self._served.add(address)
        try:
            yield is_only
        finally:
            if is_only:
                self._served.discard(address)

    def _find_longest(self) -> Address:
        return next(
            address for address in self._transports if self._held[address]
        )

    def _close(self, address: Address, limit: str) -> None:
        transport = self._transports[address]
        self.forget(address)
        self._log.report(limit)
        transport.abort()


class FrameScan:
    """Finds frames that are too large, of which h2 buffers all bytes first."""

    def __init__(self) -> None:
        self._left = PREFACE_BYTES  # until the next frame begins
        self._head = b""  # what has arrived of a frame's head

    def check(self, data: bytes) -> bool:
        """Follow what has arrived; return whether all frames are allowed."""
        position = 0
        while True:
            skipped = min(self._left, len(data) - position)
            self._left -= skipped
            position += skipped
            if position == len(data):
                return True
            end = position + FRAME_HEAD_BYTES - len(self._head)
            self._head += data[position:end]
            if len(self._head) < FRAME_HEAD_BYTES:
                return True
            position = end
            self._left = int.from_bytes(self._head[:FRAME_LENGTH_BYTES])
            self._head = b""
            if self._left > MAX_FRAME_BYTES:
                return False


class _PeerProtocol(H2Protocol):
    """A connection that counts what arrives."""

    def __init__(
        self, protocol: H2Protocol, connections: PeerConnections
    ) -> None:
        super().__init__(protocol.handler, protocol.config, protocol.h2_config)
        self._connections = connections
        self._address: Address = ()
        self._scan = FrameScan()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._address = transport.get_extra_info("peername")
        self._connections.admit(self._address, transport)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Process what has arrived, unless it is too much."""
        if not self._scan.check(data):
            self._connections.refuse(self._address)
        elif self._connections.hold(self._address, len(data)):
            super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection."""
        self._connections.forget(self._address)
        super().connection_lost(exc)


class PeerServer(Server):
    """A gRPC server whose connections keep limits."""

    def __init__(
        self,
        service: Any,
        connections: PeerConnections,
        settings: PeerServerSettings,
    ) -> None:
        super().__init__(
            [service],
            config=Configuration(
                http2_connection_window_size=settings.window_bytes,
                http2_stream_window_size=settings.window_bytes,
            ),
        )
        self._connections = connections

    def _protocol_factory(self) -> H2Protocol:
        return _PeerProtocol(super()._protocol_factory(), self._connections)
