"""Messages between daemons, and who the other daemons are."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import TypeVar

__all__ = ["Member", "Membership", "Message", "Messenger", "PeerLinks"]


@dataclass(frozen=True)
class Message:
    """The base of everything that daemons send each other."""


M = TypeVar("M", bound=Message)


@dataclass(frozen=True)
class Member:
    """A daemon on an entry VM.

    `incarnation` is unique to one run of the daemon; `address` is
    `IP:port` of its peer server; `revision` is what it has in force.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    revision: int = 0


class Membership(ABC):
    """Which daemons live, as far as this one knows."""

    @abstractmethod
    def get_self(self) -> Member:
        """Return this daemon."""

    @abstractmethod
    def list_live(self) -> tuple[Member, ...]:
        """Return the live daemons with this one, sorted by name."""

    def list_unsuspected(self) -> frozenset[str]:
        """Return the incarnations of live daemons in good order."""
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
    """A messenger that is told which peers there are."""

    @abstractmethod
    def set_peers(
        self, addresses: Mapping[str, str], held: Collection[str]
    ) -> None:
        """Take the `IP:port` of each peer, and hold streams to some.

        Messages to the other peers open a stream that closes when idle.
        """

    @abstractmethod
    def list_held(self) -> tuple[str, ...]:
        """Return the peers to whom this daemon holds streams."""
