"""gRPC streams between daemons.

One server receives messages; one asyncio task per peer sends them.
"""

import asyncio
import logging
import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from google.protobuf.message import DecodeError
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream
from result import Err, Ok

from chestnutstair.coordination.messenger import M, Message, PeerLinks
from chestnutstair.protocol.peer_grpc import PeerBase
from chestnutstair.protocol.peer_pb2 import Receipt
from chestnutstair.protocol.peers import (
    Envelope,
    MessageKinds,
    build_message_kinds,
    decode_envelope,
    encode_message,
)
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import SystemClock
from chestnutstair.transport.links import (
    MESSAGE_BYTES,
    MESSAGE_COUNT,
    LinkSettings,
    PeerLink,
)
from chestnutstair.transport.peer_server import (
    PeerConnections,
    PeerServer,
    PeerServerSettings,
)

__all__ = ["PeerNetwork", "PeerService", "PeerSettings"]

logger = logging.getLogger(__name__)

Handler = Callable[[str, Any], None]


@dataclass(frozen=True)
class PeerSettings:
    """Address of the peer server, and limits of the streams."""

    __pydantic_config__ = STRICT

    host: str = "127.0.0.1"
    port: int = 0  # 0 picks a free port
    # An incoming stream without a message for this long is closed.
    silence_seconds: float = 60.0
    link: LinkSettings = field(default_factory=LinkSettings)
    server: PeerServerSettings = field(default_factory=PeerServerSettings)


class PeerService(PeerBase):
    """The gRPC service: receives messages and calls their handlers."""

    def __init__(
        self,
        kinds: MessageKinds,
        silence_seconds: float,
        connections: PeerConnections,
    ) -> None:
        self._kinds = kinds
        self._silence_seconds = silence_seconds
        self._connections = connections
        self._handlers: dict[type[Message], list[Handler]] = {}

    def add_handler(self, kind: type[Message], handler: Handler) -> None:
        """Register a handler for messages of one class.

        It is called on the event loop's thread.
        """
        self._handlers.setdefault(kind, []).append(handler)

    async def Hold(self, stream: Stream) -> None:  # noqa: N802
        """Receive messages until the peer ends the stream or times out."""
        assert stream.peer is not None
        address = stream.peer.addr()
        with self._connections.serve(address) as is_only:
            if is_only:
                await self._receive(stream, address)

    async def _receive(self, stream: Stream, address: Any) -> None:
        sender = str((stream.metadata or {}).get("sender", ""))
        try:
            while True:
                async with asyncio.timeout(self._silence_seconds):
                    envelope = await stream.recv_message()
                self._connections.release(address)
                if envelope is None:
                    await stream.send_message(Receipt())
                    return
                self._dispatch(sender, envelope)
        except (
            TimeoutError,
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
        ) as error:
            logger.debug("stream from %s ended: %s", sender, error)
        except (AssertionError, DecodeError, NotImplementedError):
            # grpclib raises them for messages that are cut off, malformed or
            # compressed.
            self._connections.refuse(address)

    def _dispatch(self, sender: str, envelope: Envelope) -> None:
        MESSAGE_COUNT.labels(envelope.kind, "received").inc()
        MESSAGE_BYTES.labels("received").inc(len(envelope.body))
        match decode_envelope(self._kinds, envelope):
            case Err(failure):
                logger.warning(
                    "cannot decode a message from %s: %s", sender, failure
                )
            case Ok(message):
                for handler in self._handlers.get(type(message), ()):
                    self._call_handler(handler, sender, message)

    def _call_handler(
        self, handler: Handler, sender: str, message: Message
    ) -> None:
        try:
            handler(sender, message)
        except Exception:
            # An error in a handler must not end the stream for later messages.
            logger.exception("handler of %s failed", type(message).__name__)


class PeerNetwork(PeerLinks):
    """Exchanges messages with other daemons.

    It runs an event loop on a thread of its own. Handlers run on that
    thread and must not block.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        kinds: Iterable[type[Message]],
        settings: PeerSettings | None = None,
    ) -> None:
        self._settings = settings or PeerSettings()
        self._metadata = {"sender": name, "incarnation": incarnation}
        self._connections = PeerConnections(
            self._settings.server, SystemClock()
        )
        self._service = PeerService(
            build_message_kinds(kinds),
            self._settings.silence_seconds,
            self._connections,
        )
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="peers", daemon=True
        )
        self._lock = threading.Lock()
        self._addresses: dict[str, str] = {}
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[PeerLink, asyncio.Task[None]] = {}
        self._server: PeerServer | None = None
        self.address = ""

    def start(self) -> str:
        """Start listening and return the `IP:port` of the peer server."""
        self._thread.start()
        listening = asyncio.run_coroutine_threadsafe(
            self._listen(), self._loop
        )
        self.address = listening.result()
        return self.address

    async def _listen(self) -> str:
        self._server = PeerServer(
            self._service, self._connections, self._settings.server
        )
        await self._server.start(self._settings.host, self._settings.port)
        sockets = self._server._server.sockets
        host, port = sockets[0].getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def close(self) -> None:
        """End all streams and stop listening."""
        closing = asyncio.run_coroutine_threadsafe(self._close(), self._loop)
        closing.result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _close(self) -> None:
        assert self._server is not None
        self._server.close()
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._server.wait_closed()

    def add_handler(
        self, kind: type[M], handler: Callable[[str, M], None]
    ) -> None:
        """Register a handler for messages of one class.

        It is called with the sender's name and the message.
        """
        self._service.add_handler(kind, handler)

    def set_peers(
        self, addresses: Mapping[str, str], held: Collection[str]
    ) -> None:
        """Set the `IP:port` of each peer.

        Streams to the peers in `held` stay open when idle; those to peers
        without an address, or with another one, are closed.
        """
        with self._lock:
            self._addresses = dict(addresses)
            for peer, link in list(self._links.items()):
                link.stays_open = peer in held
                if addresses.get(peer) != link.address:
                    self._remove_link(peer)
            for peer in held:
                self._get_or_create_link(peer).stays_open = True

    def list_held(self) -> tuple[str, ...]:
        """Return the peers to which this daemon keeps streams open."""
        with self._lock:
            return tuple(
                peer for peer, link in self._links.items() if link.stays_open
            )

    def send(self, peer: str, message: Message) -> bool:
        """Queue the message and return at once; False if it was dropped."""
        kind = type(message).__name__
        with self._lock:
            if peer not in self._addresses:
                MESSAGE_COUNT.labels(kind, "unaddressed").inc()
                return False
            link = self._get_or_create_link(peer)
        if link.enqueue(encode_message(message)):
            return True
        MESSAGE_COUNT.labels(kind, "dropped").inc()
        return False

    def _get_or_create_link(self, peer: str) -> PeerLink:
        link = self._links.get(peer)
        if link is None:
            link = PeerLink(
                self._addresses[peer],
                self._metadata,
                self._settings.link,
                self._loop,
            )
            self._links[peer] = link
            self._loop.call_soon_threadsafe(self._start_link, peer, link)
        return link

    def _start_link(self, peer: str, link: PeerLink) -> None:
        task = self._loop.create_task(self._run_link(peer, link))
        self._tasks[link] = task

    async def _run_link(self, peer: str, link: PeerLink) -> None:
        try:
            await link.run()
        except Exception:
            # The next message to the peer starts a new link.
            logger.exception("link to %s failed", peer)
        finally:
            del self._tasks[link]
            with self._lock:
                if self._links.get(peer) is link:
                    del self._links[peer]

    def _remove_link(self, peer: str) -> None:
        link = self._links.pop(peer)
        self._loop.call_soon_threadsafe(self._cancel_link, link)

    def _cancel_link(self, link: PeerLink) -> None:
        task = self._tasks.get(link)
        if task is not None:
            task.cancel()
