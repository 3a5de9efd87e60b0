"""Interfaces of membership and of messages between daemons."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import TypeVar

__all__ = ["Member", "Membership", "Message", "Messenger", "PeerLinks"]


@dataclass(frozen=True)
class Message:
    """Base class of all messages between daemons."""


M = TypeVar("M", bound=Message)


@dataclass(frozen=True)
class Member:
    """A daemon on an entry VM.

    `incarnation` is unique to one run of the daemon; `address` is the
    `IP:port` of its peer server; `revision` is the log revision that it
    has applied.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    revision: int = 0


class Membership(ABC):
    """The live daemons, as far as this daemon knows."""

    @abstractmethod
    def get_self(self) -> Member:
        """Return this daemon."""

    @abstractmethod
    def list_live(self) -> tuple[Member, ...]:
        """Return the live daemons and this one, sorted by name."""

    def list_unsuspected(self) -> frozenset[str]:
        """Return the incarnations of live daemons that are not suspected."""
        return frozenset(member.incarnation for member in self.list_live())


class Messenger(ABC):
    """Best-effort messages to other daemons, in order for each peer."""

    @abstractmethod
    def send(self, peer: str, message: Message) -> bool:
        """Queue the message and return at once; False if it was dropped."""

    @abstractmethod
    def add_handler(
        self, kind: type[M], handler: Callable[[str, M], None]
    ) -> None:
        """Call the handler with the sender's name for each message."""


class PeerLinks(Messenger):
    """A messenger with a configurable set of peers."""

    @abstractmethod
    def set_peers(
        self, addresses: Mapping[str, str], held: Collection[str]
    ) -> None:
        """Set the `IP:port` of each peer, and keep streams to some open.

        Messages to the other peers open a stream that closes when idle.
        """

    @abstractmethod
    def list_held(self) -> tuple[str, ...]:
        """Return the peers to which this daemon keeps streams open."""
