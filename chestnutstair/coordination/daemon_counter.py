"""Counts the daemons that share the targets, for this daemon's parts."""

import zlib
from dataclasses import dataclass

from chestnutstair.coordination.messenger import Membership
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock

__all__ = ["DaemonCounter", "DaemonCounterSettings"]


@dataclass(frozen=True)
class DaemonCounterSettings:
    """How often the live daemons are counted, and how long dead ones count.

    A daemon that this one can not see may still hold connections.
    """

    __pydantic_config__ = STRICT

    refresh_seconds: float = 0.5
    memory_seconds: float = 900.0


class DaemonCounter:
    """The live daemons, and all that were live lately."""

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        settings: DaemonCounterSettings,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._settings = settings
        self._seen: dict[str, float] = {}
        self._names: tuple[str, ...] = ()
        self._refresh_at = 0.0
        self.live_count = 1

    def refresh(self) -> bool:
        """Count anew if it is time; tell whether connection parts change."""
        now = self._clock.read_monotonic()
        if now < self._refresh_at:
            return False
        self._refresh_at = now + self._settings.refresh_seconds
        members = [member.name for member in self._membership.list_live()]
        self.live_count = max(1, len(members))
        self._seen.update(dict.fromkeys(members, now))
        oldest = now - self._settings.memory_seconds
        names = tuple(
            sorted(name for name, at in self._seen.items() if at >= oldest)
        )
        changed = names != self._names
        self._names = names
        return changed

    def compute_connection_share(self, vm: str, connections: int) -> int:
        """Return this daemon's part of the connections to a target.

        The parts of all daemons together never exceed the connections.
        """
        count = max(1, len(self._names))
        if count <= connections:
            return connections // count
        own = self._names.index(self._membership.get_self().name)
        turn = (own + zlib.crc32(vm.encode())) % count
        return 1 if turn < connections else 0
