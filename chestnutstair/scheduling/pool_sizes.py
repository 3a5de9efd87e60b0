"""How many VMs each pool needs for its work."""

from dataclasses import dataclass

from chestnutstair.scheduling.fleet_state import (
    FleetKeeperSettings,
    FleetState,
)
from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.load import PoolLoad

__all__ = ["PoolSize", "PoolSizer"]


@dataclass(frozen=True)
class PoolSize:
    """How many VMs a pool has, and how many its work asks for.

    `have` counts those on their way. `need` is for work that can be in
    time, `want` for all of it.
    """

    service: str
    have: int
    want: int
    need: int


class PoolSizer:
    """Measures pools against their work."""

    def __init__(
        self,
        tracker: JobTracker,
        state: FleetState,
        settings: FleetKeeperSettings,
    ) -> None:
        self._tracker = tracker
        self._state = state
        self._settings = settings

    def measure(self, loads: list[PoolLoad]) -> list[PoolSize]:
        """Return the size of each pool."""
        changes = self._state.count_changes()
        return [
            self._measure_size(load, changes[load.service]) for load in loads
        ]

    def _measure_size(self, load: PoolLoad, change: int) -> PoolSize:
        timely = load.batch - load.late_batch
        timely += load.waiting - load.late_waiting
        return PoolSize(
            load.service,
            load.workers + change,
            self._measure_vms(load, load.batch + load.waiting),
            self._measure_vms(load, timely),
        )

    def _measure_vms(self, load: PoolLoad, work: int) -> int:
        """Return how many VMs a pool needs for its work."""
        settings = self._settings
        services = max(1, len(self._tracker.configuration.services))
        usual = len(self._state.listed) / services
        room = self._state.measure_vm()
        now = work + settings.coming_share * load.coming
        demand = load.lasting + settings.headroom * max(now, load.rate)
        want = -int(-demand // room)
        most = round(usual * settings.largest_pool)
        base = max(1, round(usual * settings.base_share))
        return max(base, load.widest, min(want, most))
