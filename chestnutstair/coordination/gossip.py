"""Facts about daemons, which heartbeats pass on by gossip."""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from chestnutstair.coordination.messenger import Member, Message
from chestnutstair.state.codec import STRICT

__all__ = [
    "Fact",
    "FactStore",
    "FactsMessage",
    "HeartbeatMessage",
    "MemberStatus",
    "abbreviate_incarnation",
    "build_member",
    "select_links",
]

RUN_LENGTH = 8  # characters
TOMBSTONE_LIMIT = 1000  # daemons


@dataclass(frozen=True)
class Fact:
    """State that a daemon published about itself.

    `beat` is its heartbeat counter; the fact with the higher one is newer.
    A restarted daemon continues above the counter that the table or a peer
    has for its name, so this is true across incarnations too.
    `revision` is the log revision that the daemon has applied;
    `reaches_table` says whether its last renewal of its row succeeded.
    """

    __pydantic_config__ = STRICT

    name: str
    zone: str
    address: str
    incarnation: str
    beat: int
    revision: int = 0
    ready: bool = False
    stopping: bool = False
    reaches_table: bool = True


@dataclass(frozen=True)
class HeartbeatMessage(Message):
    """Shows that the sender is live, and the revision it has applied.

    `run` is the end of the sender's incarnation. `digest` is a checksum of
    the facts, without beats, of the daemons that the sender sees as live.
    `facts` are those covered by the digest that the peer may lack.
    `beats` are the heartbeat counters of other daemons, sent while the
    sender cannot read the table.
    """

    __pydantic_config__ = STRICT

    run: str
    beat: int
    revision: int
    digest: int
    facts: tuple[Fact, ...] = ()
    beats: Mapping[str, int] | None = None


@dataclass(frozen=True)
class FactsMessage(Message):
    """Facts for a peer whose digest differs from the sender's."""

    __pydantic_config__ = STRICT

    facts: tuple[Fact, ...]


@dataclass(frozen=True)
class MemberStatus:
    """A daemon, whether it is live, and when it was last heard from.

    `heard_at` is wall-clock epoch seconds, `silent_seconds` the time since
    then on the monotonic clock.
    """

    fact: Fact
    live: bool
    heard_at: float
    silent_seconds: float


def abbreviate_incarnation(incarnation: str) -> str:
    """Return the end of the incarnation, which heartbeats carry."""
    return incarnation[-RUN_LENGTH:]


def build_member(fact: Fact) -> Member:
    """Return the member that the fact describes."""
    return Member(
        fact.name, fact.zone, fact.address, fact.incarnation, fact.revision
    )


def select_links(name: str, names: Iterable[str], mesh_limit: int) -> set[str]:
    """Return the peers to keep streams to.

    These are all peers if there are at most `mesh_limit` daemons. In a
    larger fleet they are the peers 1, 2, 4, ... steps ahead in the ring of
    sorted names, so their number grows with the logarithm of its size.
    """
    ring = sorted({*names, name})
    if len(ring) <= mesh_limit:
        return set(ring) - {name}
    own_index = ring.index(name)
    offsets = [2**power for power in range((len(ring) - 1).bit_length())]
    return {ring[(own_index + offset) % len(ring)] for offset in offsets} - {
        name
    }


class FactStore:
    """The newest fact of each daemon, and the facts that each peer has."""

    def __init__(self) -> None:
        self._facts: dict[str, Fact] = {}
        self._peer_facts: dict[str, dict[str, Fact]] = {}
        self._tombstones: dict[str, Fact] = {}
        self._cached_digest: tuple[frozenset[str], int] | None = None

    def get(self, name: str) -> Fact | None:
        """Return the newest fact of the daemon."""
        return self._facts.get(name)

    def list_facts(self) -> tuple[Fact, ...]:
        """Return the newest fact of every daemon, by name."""
        return tuple(self._facts[name] for name in sorted(self._facts))

    def compute_digest(self, names: frozenset[str]) -> int:
        """Return a checksum of the named daemons' facts without beats."""
        if self._cached_digest is None or self._cached_digest[0] != names:
            facts = [
                replace(fact, beat=0)
                for fact in self.list_facts()
                if fact.name in names
            ]
            self._cached_digest = (names, zlib.crc32(repr(facts).encode()))
        return self._cached_digest[1]

    def merge(self, fact: Fact) -> bool:
        """Store the fact if it is newer; return whether it was."""
        current = self._facts.get(fact.name)
        if current is not None and current.beat >= fact.beat:
            return False
        if self._has_tombstone(fact):
            return False
        self._facts[fact.name] = fact
        if current is None or replace(current, beat=fact.beat) != fact:
            self._cached_digest = None
        return True

    def _has_tombstone(self, fact: Fact) -> bool:
        tombstone = self._tombstones.get(fact.name)
        return (
            tombstone is not None
            and tombstone.incarnation == fact.incarnation
            and tombstone.beat >= fact.beat
        )

    def remove(self, name: str) -> None:
        """Remove a daemon and leave a tombstone.

        The tombstone keeps a peer's old fact from adding it again.
        """
        self._tombstones[name] = self._facts.pop(name)
        while len(self._tombstones) > TOMBSTONE_LIMIT:
            del self._tombstones[next(iter(self._tombstones))]
        self._peer_facts.pop(name, None)
        self._cached_digest = None

    def record_peer_facts(self, peer: str, facts: Iterable[Fact]) -> None:
        """Record that the peer has the facts."""
        self._peer_facts.setdefault(peer, {}).update(
            {fact.name: replace(fact, beat=0) for fact in facts}
        )

    def reset_peer(self, peer: str) -> None:
        """Assume that the peer has no facts, as after its restart."""
        self._peer_facts.pop(peer, None)

    def collect_updates(
        self, peer: str, names: frozenset[str], limit: int
    ) -> tuple[Fact, ...]:
        """Return facts that the peer lacks, and record them as received.

        Returns at most `limit` facts, only of the named daemons.
        """
        peer_facts = self._peer_facts.setdefault(peer, {})
        updates = [
            fact
            for name, fact in sorted(self._facts.items())
            if name in names
            and name != peer
            and peer_facts.get(name) != replace(fact, beat=0)
        ][:limit]
        self.record_peer_facts(peer, updates)
        return tuple(updates)
