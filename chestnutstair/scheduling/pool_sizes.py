"""Sizes of pools: how many VMs each has and needs for its work."""

import math
from dataclasses import dataclass, replace

from chestnutstair.scheduling.fleet_state import (
    FleetControllerSettings,
    FleetState,
)
from chestnutstair.scheduling.isolation import RESERVED_SHARE
from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.load import PoolLoad
from chestnutstair.scheduling.turns import NO_TURNS, TurnOutlook
from chestnutstair.scheduling.workers import PROVING_SECONDS

__all__ = ["PoolSize", "PoolSizer"]


@dataclass(frozen=True)
class PoolSize:
    """The size of a pool, in VMs.

    - `have`: current size, after pending moves, including the VMs that drain
      for maintenance.
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

    def measure(
        self,
        loads: list[PoolLoad],
        outlook: TurnOutlook = NO_TURNS,
        now: float = 0.0,
    ) -> list[PoolSize]:
        """Return the sizes of the pools, in the order of their loads."""
        changes = self._state.count_pending_changes()
        draining = self._state.count_maintenance_drains()
        away = self._state.count_in_maintenance()
        return [
            self._measure_size(
                load,
                load.workers + changes[load.service],
                draining[load.service],
                away[load.service],
                outlook,
                now,
            )
            for load in loads
        ]

    def _measure_size(
        self,
        load: PoolLoad,
        have: int,
        draining: int,
        away: int,
        outlook: TurnOutlook,
        now: float,
    ) -> PoolSize:
        work = load.batch + load.waiting
        timely = work - load.late_batch - load.late_waiting
        # A VM that is ordered now is there after the move.
        lead = self._settings.move_seconds + self._settings.tick_seconds
        predicted = outlook.predict_demand(load.service, now, lead)
        want = self._measure_vms(load, work, draining, away, predicted)
        # A prediction for a turn that has not begun stops no other work.
        if load.service != outlook.pool:
            predicted = 0
        need = self._measure_vms(load, timely, draining, away, predicted)
        if load.service == outlook.fallen_pool:
            want = self._measure_fallen(load, draining, away)
            need = min(need, want)
        elif outlook.is_ending(load.service, now, lead):
            # What is ordered now would arrive after the turn.
            want = min(want, max(have, self._measure_min_size(load, away)))
            need = min(need, want)
        return PoolSize(
            load.service,
            have,
            max(want, self._measure_vms_for_suspects(load)),
            need,
        )

    def _measure_fallen(self, load: PoolLoad, draining: int, away: int) -> int:
        """Return how many VMs a pool needs whose turn is over."""
        batch = round(self._settings.fallen_share * load.batch)
        # Nothing is expected beyond what is there.
        load = replace(load, batch=batch, coming=0, rate=0, path_seconds=0.0)
        work = load.batch + load.waiting
        return self._measure_vms(load, work, draining, away, 0)

    def _measure_min_size(self, load: PoolLoad, away: int) -> int:
        even_share = self._state.compute_even_share()
        base = round(even_share * self._settings.base_share) - away
        return max(1, load.widest, base)

    def _measure_vms_for_suspects(self, load: PoolLoad) -> int:
        """Return how many VMs a pool needs for tasks that start alone.

        A part of the pool takes them, one at a time on each worker. How much
        work they are does not matter, nor whether it is late.
        """
        # A start and the next call to the worker each take some time, too.
        seconds = load.suspects * 2 * PROVING_SECONDS / RESERVED_SHARE
        wanted = math.ceil(seconds / self._settings.suspects_seconds)
        even_share = self._state.compute_even_share()
        return min(wanted, round(even_share * self._settings.max_share))

    def _measure_vms(
        self,
        load: PoolLoad,
        work: int,
        draining: int,
        away: int,
        predicted: int,
    ) -> int:
        """Return how many VMs a pool needs.

        `work` is the running and waiting work in millicores. `draining` VMs
        drain for maintenance and take no new tasks, so demand needs others in
        their place. `away` VMs are under maintenance and come back soon, so
        the minimum size counts them. The maximum size limits the VMs for
        demand, but not those over which a lasting step must be spread.
        `predicted` is the demand in millicores that a turn is known to bring.
        """
        settings = self._settings
        even_share = self._state.compute_even_share()
        vm_millicores = self._state.compute_average_millicores()
        present = work + settings.later_work_share * load.coming
        if predicted:
            # The rate of a turn covers later steps and what arrives next.
            expected = max(settings.headroom * predicted, work)
        else:
            expected = settings.headroom * max(
                present, self._forecast(load, present)
            )
        demand = load.lasting + expected
        wanted = -int(-demand // vm_millicores)
        max_size = round(even_share * settings.max_share)
        min_size = round(even_share * settings.base_share)
        needed = max(load.widest, min(wanted, max_size)) + draining
        return max(1, min_size - away, needed)

    def _forecast(self, load: PoolLoad, present: float) -> float:
        """Return the demand that VMs ordered now must meet, in millicores.

        Work that arrives while they are on their way can wait for them as
        long as its slack allows; what arrives before that needs room at once.
        Of the present demand, the part that ends meanwhile is left out.
        """
        settings = self._settings
        order_seconds = settings.move_seconds + settings.settle_seconds
        wait_seconds = settings.slack_share * load.slack_seconds
        horizon_seconds = order_seconds - wait_seconds
        if not load.path_seconds or horizon_seconds <= 0:
            return present
        ended_share = min(1.0, horizon_seconds / load.path_seconds)
        return (1 - ended_share) * present + ended_share * load.rate
