"""Counts the daemons among which the targets' capacity is divided."""

import zlib
from dataclasses import dataclass

from chestnutstair.coordination.messenger import Membership
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock

__all__ = ["DaemonCounter", "DaemonCounterSettings"]


@dataclass(frozen=True)
class DaemonCounterSettings:
    """How the daemons that share the targets are counted.

    - `refresh_seconds`: interval between counts of the live daemons.
    - `memory_seconds`: how long a daemon that is no longer live still gets
      a share of the connections to targets, as it may be unreachable from
      here and still have connections open.
    """

    __pydantic_config__ = STRICT

    refresh_seconds: float = 0.5
    memory_seconds: float = 900.0


class DaemonCounter:
    """Counts the live daemons, and remembers those recently live.

    Slots are divided among the live daemons (`live_count`), connections
    among all recently live ones. Not thread-safe.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        settings: DaemonCounterSettings,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._settings = settings
        self._seen: dict[str, float] = {}  # last seen, monotonic seconds
        self._names: tuple[str, ...] = ()  # recently live, sorted
        self._refresh_at = 0.0
        self.live_count = 1

    def refresh(self) -> bool:
        """Count the daemons again if `refresh_seconds` have passed.

        Return whether the shares of connections may have changed.
        """
        now = self._clock.read_monotonic()
        if now < self._refresh_at:
            return False
        self._refresh_at = now + self._settings.refresh_seconds
        members = [member.name for member in self._membership.list_live()]
        self.live_count = max(1, len(members))
        self._seen.update(dict.fromkeys(members, now))
        cutoff = now - self._settings.memory_seconds
        names = tuple(
            sorted(name for name, at in self._seen.items() if at >= cutoff)
        )
        changed = names != self._names
        self._names = names
        return changed

    def compute_connection_share(self, vm: str, connections: int) -> int:
        """Return this daemon's share of the connections to a target.

        The shares of all daemons together never exceed `connections`. With
        more daemons than connections each gets one or none; which ones
        depends on a hash of the VM's name, so that it differs by target.
        """
        count = max(1, len(self._names))
        if count <= connections:
            return connections // count
        own = self._names.index(self._membership.get_self().name)
        position = (own + zlib.crc32(vm.encode())) % count
        return 1 if position < connections else 0
