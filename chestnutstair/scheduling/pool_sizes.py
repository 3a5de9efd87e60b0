"""Sizes of pools: how many VMs each has and needs for its work."""

import math
from dataclasses import dataclass

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
        pool = load.service
        expected = self._expect_demand(load, work)
        timely_expected = self._expect_demand(load, timely)
        rate = outlook.predict_demand(pool, now, lead)
        if pool == outlook.fallen_pool:
            expected = self._expect_after_turn(load, work)
            timely_expected = min(timely_expected, expected)
        elif outlook.is_ending(pool, now, lead):
            expected = timely_expected = max(work, outlook.rate)
        elif rate and pool == outlook.pool:
            expected = self._expect_in_turn(rate, work)
            timely_expected = self._expect_in_turn(rate, timely)
        elif rate:
            # Stops no other work, as this turn has not begun.
            expected = max(expected, self._settings.turn_headroom * rate)
        min_size = self._measure_min_size(load, outlook) - away
        want = self._measure_vms(load, expected, draining, min_size)
        need = self._measure_vms(load, timely_expected, draining, min_size)
        if outlook.is_ending(pool, now, lead) and pool == outlook.pool:
            # What is ordered now would arrive after the turn.
            want = min(want, max(have, min_size))
        return PoolSize(
            pool,
            have,
            max(
                want,
                self._measure_vms_for_suspects(load),
                self._measure_vms_for_stranded(load),
            ),
            min(need, want),
        )

    def _expect_demand(self, load: PoolLoad, work: int) -> float:
        """Return the demand to size a pool for, without a known turn."""
        settings = self._settings
        present = work + settings.later_work_share * load.coming
        return settings.headroom * max(present, self._forecast(load, present))

    def _expect_in_turn(self, rate: int, work: int) -> float:
        """Return the demand of a pool for the rest of its turn.

        Its rate covers later steps and what arrives next. Work that waits
        since before the first VMs arrived is done by the headroom, unless it
        grows beyond what that does in some seconds, as with tasks that run
        longer than estimated.
        """
        return max(self._settings.turn_headroom * rate, work - rate / 2)

    def _expect_after_turn(self, load: PoolLoad, work: int) -> float:
        """Return the demand for new starts of a pool whose turn is over.

        The running tasks end where they run, also on VMs that drain.
        """
        settings = self._settings
        left = work - (1 - settings.fallen_share) * load.batch
        return settings.headroom * left

    def _measure_min_size(self, load: PoolLoad, outlook: TurnOutlook) -> int:
        """Return the minimum size of a pool.

        It serves a queue while more VMs are on their way. A pool whose turn
        is known not to come next needs room for one early job only.
        """
        settings = self._settings
        even_share = self._state.compute_even_share()
        base = round(even_share * settings.base_share)
        if outlook.method != "order" or load.service in (
            outlook.pool,
            outlook.next_pool,
        ):
            return base
        early = load.lasting + outlook.largest_jobs.get(load.service, 0)
        vm_millicores = self._state.compute_average_millicores()
        return min(base, max(1, -int(-early // vm_millicores)))

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

    def _measure_vms_for_stranded(self, load: PoolLoad) -> int:
        """Return how many VMs a pool needs for tasks that fit on none."""
        if not load.stranded:
            return 0
        even_share = self._state.compute_even_share()
        max_size = round(even_share * self._settings.max_share)
        # At least one more, as each of these tasks fits on an empty VM.
        return load.usable + max(1, min(load.stranded, max_size - load.usable))

    def _measure_vms(
        self, load: PoolLoad, expected: float, draining: int, min_size: int
    ) -> int:
        """Return how many VMs a pool needs.

        `expected` is the demand of batch work in millicores. `draining` VMs
        drain for maintenance and take no new tasks, so demand needs others in
        their place. `min_size` is without the VMs under maintenance, which
        come back soon. The maximum size limits the VMs for demand, but not
        those over which a lasting step must be spread.
        """
        settings = self._settings
        even_share = self._state.compute_even_share()
        vm_millicores = self._state.compute_average_millicores()
        demand = load.lasting + expected
        wanted = -int(-demand // vm_millicores)
        max_size = round(even_share * settings.max_share)
        needed = max(load.widest, min(wanted, max_size)) + draining
        return max(1, min_size, needed)

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
