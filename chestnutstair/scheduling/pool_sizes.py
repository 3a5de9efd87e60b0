"""Sizes of pools: how many VMs each has and needs for its work."""

from dataclasses import dataclass

from chestnutstair.scheduling.fleet_state import (
    FleetControllerSettings,
    FleetState,
)
from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.load import PoolLoad

__all__ = ["PoolSize", "PoolSizer"]


@dataclass(frozen=True)
class PoolSize:
    """The size of a pool, in VMs.

    - `have`: current size, after pending moves.
    - `want`: size for all of its work.
    - `need`: size for the work that can be in time.
    """

    service: str
    have: int
    want: int
    need: int


class PoolSizer:
    """Computes pool sizes from the load of the pools."""

    def __init__(
        self,
        tracker: JobTracker,
        state: FleetState,
        settings: FleetControllerSettings,
    ) -> None:
        self._tracker = tracker
        self._state = state
        self._settings = settings

    def measure(self, loads: list[PoolLoad]) -> list[PoolSize]:
        """Return the sizes of the pools, in the order of their loads."""
        changes = self._state.count_pending_changes()
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
        """Return how many VMs a pool needs.

        `work` is the running and waiting work in millicores. The maximum size
        limits the VMs for demand, but not those over which a lasting step must
        be spread.
        """
        settings = self._settings
        pool_count = max(1, len(self._tracker.configuration.services))
        even_share = len(self._state.listed) / pool_count
        vm_millicores = self._state.compute_average_millicores()
        present = work + settings.later_work_share * load.coming
        demand = load.lasting + settings.headroom * max(present, load.rate)
        wanted = -int(-demand // vm_millicores)
        max_size = round(even_share * settings.max_share)
        min_size = max(1, round(even_share * settings.base_share))
        return max(min_size, load.widest, min(wanted, max_size))
