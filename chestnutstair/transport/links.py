"""One outgoing stream to a peer, reopened when it fails."""

import asyncio
import contextlib
import logging
import random
import threading
import time
from collections import deque
from dataclasses import dataclass

from grpclib.client import Channel, Stream
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from prometheus_client import Counter

from chestnutstair.protocol.peer_grpc import PeerStub
from chestnutstair.protocol.peers import Envelope
from chestnutstair.state.codec import STRICT

__all__ = ["MESSAGE_BYTES", "MESSAGE_COUNT", "LinkSettings", "PeerLink"]

logger = logging.getLogger(__name__)

MESSAGE_COUNT = Counter(
    "chestnutstair_peer_messages_total",
    "Messages between daemons, by kind, and what became of them.",
    ["kind", "fate"],
)
MESSAGE_BYTES = Counter(
    "chestnutstair_peer_bytes_total",
    "Bytes of messages between daemons, without framing.",
    ["direction"],
)
LINK_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


@dataclass(frozen=True)
class LinkSettings:
    """Limits of one stream to a peer.

    - `connect_seconds`: timeout of connecting and opening the stream.
    - `send_seconds`: timeout of sending one message.
    - `keepalive_seconds`: interval between HTTP/2 pings.
    - `keepalive_limit_seconds`: timeout of the answer to a ping; after it
      the connection is closed.
    - `idle_seconds`: a stream that need not stay open is closed after this
      time without a new message.
    - `backoff_min_seconds`, `backoff_max_seconds`: first and longest pause
      before reconnecting. The pause doubles each time, and is multiplied by
      a random factor of 0.5 to 1.5. It is reset to the first after a stream
      that lasted longer than twice the pause.
    - `queue_messages`, `queue_bytes`: limits of the queued messages; a
      message beyond them is dropped.
    """

    __pydantic_config__ = STRICT

    connect_seconds: float = 2.0
    send_seconds: float = 5.0
    keepalive_seconds: float = 8.0
    keepalive_limit_seconds: float = 4.0
    idle_seconds: float = 30.0
    backoff_min_seconds: float = 0.1
    backoff_max_seconds: float = 3.0
    queue_messages: int = 256
    queue_bytes: int = 8 * 1024 * 1024


def _build_configuration(settings: LinkSettings) -> Configuration:
    """Return a configuration that closes unresponsive connections.

    TCP alone detects a cut link only after minutes of retransmission.
    """
    return Configuration(
        _keepalive_time=settings.keepalive_seconds,
        _keepalive_timeout=settings.keepalive_limit_seconds,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=(
            settings.keepalive_seconds / 2
        ),
    )


class PeerLink:
    """Sends queued messages to one address, in order, at most once."""

    def __init__(
        self,
        address: str,
        metadata: dict[str, str],
        settings: LinkSettings,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.address = address
        self.stays_open = False  # even when idle
        self._metadata = metadata
        self._settings = settings
        self._loop = loop
        self._lock = threading.Lock()
        self._queue: deque[Envelope] = deque()
        self._queued_bytes = 0
        self._message_queued = asyncio.Event()
        self._used_at = time.monotonic()

    def enqueue(self, envelope: Envelope) -> bool:
        """Queue the message; return False if the queue is full.

        May be called on any thread.
        """
        size = len(envelope.body)
        with self._lock:
            if (
                len(self._queue) >= self._settings.queue_messages
                or self._queued_bytes + size > self._settings.queue_bytes
            ):
                return False
            self._queue.append(envelope)
            self._queued_bytes += size
            self._used_at = time.monotonic()
        self._loop.call_soon_threadsafe(self._message_queued.set)
        return True

    def is_idle(self) -> bool:
        """Return whether the stream may be closed as idle."""
        unused = time.monotonic() - self._used_at
        return not self.stays_open and unused > self._settings.idle_seconds

    async def run(self) -> None:
        """Keep the stream open until it is idle, reconnecting as needed."""
        backoff = self._settings.backoff_min_seconds
        while not self.is_idle():
            connected_at = time.monotonic()
            try:
                await self._run_stream()
            except LINK_ERRORS as error:
                logger.debug("peer %s: %s", self.address, error)
                self._drop_queued()
            if time.monotonic() - connected_at > backoff * 2:
                backoff = self._settings.backoff_min_seconds
            await asyncio.sleep(backoff * random.uniform(0.5, 1.5))
            backoff = min(backoff * 2, self._settings.backoff_max_seconds)

    async def _run_stream(self) -> None:
        host, _, port = self.address.rpartition(":")
        channel = Channel(
            host.strip("[]"),
            int(port),
            config=_build_configuration(self._settings),
        )
        try:
            method = PeerStub(channel).Hold
            async with method.open(metadata=self._metadata) as stream:
                async with asyncio.timeout(self._settings.connect_seconds):
                    await stream.send_request()
                await self._send_queued(stream)
        finally:
            channel.close()

    async def _send_queued(self, stream: Stream) -> None:
        while not self.is_idle():
            envelope = self._dequeue()
            if envelope is None:
                await self._wait_for_message()
                continue
            async with asyncio.timeout(self._settings.send_seconds):
                await stream.send_message(envelope)
            MESSAGE_COUNT.labels(envelope.kind, "sent").inc()
            MESSAGE_BYTES.labels("sent").inc(len(envelope.body))
        await stream.end()

    def _dequeue(self) -> Envelope | None:
        with self._lock:
            if not self._queue:
                self._message_queued.clear()
                return None
            envelope = self._queue.popleft()
            self._queued_bytes -= len(envelope.body)
            return envelope

    def _drop_queued(self) -> None:
        # Queued messages are outdated by the time the next stream opens.
        with self._lock:
            for envelope in self._queue:
                MESSAGE_COUNT.labels(envelope.kind, "dropped").inc()
            self._queue.clear()
            self._queued_bytes = 0

    async def _wait_for_message(self) -> None:
        # Not asyncio.wait_for, which can swallow a cancellation.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.idle_seconds):
                await self._message_queued.wait()
