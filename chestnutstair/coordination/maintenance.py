"""Plans which VMs of a pool are drained next, for moves and cleaning."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from chestnutstair.coordination.pool_availability import (
    PoolAvailability,
    PoolState,
)
from chestnutstair.state.codec import STRICT
from chestnutstair.state.fleet import Vm
from chestnutstair.state.view import VmPhase

__all__ = [
    "DrainPlan",
    "LoadForecast",
    "MaintenanceSettings",
    "PlannedDrain",
    "count_backlog",
    "plan_drains",
]

LoadForecast = Callable[[str], float]
"""Returns the share (0 to 1) of a pool that is expected to be in use."""

CLEANING_PHASES = (VmPhase.DRAINING, VmPhase.REBOOTING, VmPhase.PROVING)


@dataclass(frozen=True)
class MaintenanceSettings:
    """By when the planner has VMs cleaned.

    The shares of the maintenance period say at which age the oldest VM of
    an evenly spread pool is cleaned: `quiet_share` while the load is at
    most `quiet_load`, `busy_share` while a drain would leave the rest of
    the pool more than `busy_load`, else `normal_share`. Among
    `choice_count` VMs past those that are due, it looks for one in a
    better rack or zone. A pool whose view has not changed is planned
    anew after `plan_seconds`.
    """

    __pydantic_config__ = STRICT

    quiet_load: float = 0.3
    busy_load: float = 0.85
    quiet_share: float = 0.7
    normal_share: float = 0.8
    busy_share: float = 0.9
    choice_count: int = 4
    plan_seconds: float = 10.0


@dataclass(frozen=True)
class PlannedDrain:
    """A drain to start; `destination` is empty for cleaning."""

    vm: str
    destination: str = ""


@dataclass(frozen=True)
class DrainPlan:
    """The drains to start now.

    `reserve_held` tells whether the pool's budget still holds if its
    largest rack fails during a drain. `overdue` are the VMs past the end
    of their maintenance period.
    """

    drains: tuple[PlannedDrain, ...] = ()
    reserve_held: bool = True
    overdue: tuple[str, ...] = ()


def count_backlog(shares: list[float], full_share: float) -> int:
    """Return how many of the oldest VMs are due now.

    `shares` are the VMs' ages as shares of the period, oldest first. The
    VMs are due that, once clean, leave the rest no older than ages spread
    evenly up to `full_share`.
    """
    count = len(shares)
    excess = (
        math.ceil(rank - count * (1 - share / full_share))
        for rank, share in enumerate(shares)
    )
    return max(0, min(count, max(excess, default=0)))


class _PoolPlanner:
    """Plans one pool once."""

    def __init__(
        self,
        state: PoolState,
        now: float,
        expected_load: float,
        settings: MaintenanceSettings,
        deferred: frozenset[str],
    ) -> None:
        self._state = state
        self._expected_load = expected_load
        self._settings = settings
        self._deferred = deferred
        self.availability = PoolAvailability(state)
        period = state.pool.maintenance_period_seconds
        self._ages = {
            name: (now - status.cleaned_at) / period
            for name, status in state.statuses.items()
        }
        self.overdue = frozenset(
            name for name, age in self._ages.items() if age >= 1
        )

    def _can_drain(self, vm: Vm, urgent: bool) -> bool:
        """Tell whether the VM can go; pressing ones go one at a time."""
        if not self.availability.has_budget_left():
            return False
        if urgent and self.availability.has_no_planned_operation():
            return True
        if self.availability.is_last_in_zone(vm):
            return False
        return self.availability.keeps_reserve_after(vm) or (
            self.availability.has_no_planned_operation()
            and not self.availability.can_lose_rack
        )

    def _choose_vm(
        self, candidates: list[Vm], urgent: frozenset[str]
    ) -> Vm | None:
        """Return the first VM that can go, in a rack under way if any."""
        fitting = [
            vm for vm in candidates if self._can_drain(vm, vm.name in urgent)
        ]
        return min(
            fitting,
            key=lambda vm: (
                self.availability.is_last_in_zone(vm),
                not self.availability.has_operation_in_rack(vm),
            ),
            default=None,
        )

    def plan_moves(self) -> Iterator[PlannedDrain]:
        """Yield the moves that tickets declared and that fit now."""
        moving = [
            vm
            for vm in sorted(self._state.vms, key=lambda vm: vm.name)
            if vm.pool != self._state.pool.name and self._is_serving(vm)
        ]
        urgent = frozenset(vm.name for vm in moving)
        while vm := self._choose_vm(moving, urgent):
            self.availability.mark_unavailable(vm)
            moving.remove(vm)
            yield PlannedDrain(vm.name, vm.pool)

    def _is_serving(self, vm: Vm) -> bool:
        return self._state.statuses[vm.name].phase is VmPhase.SERVING

    def _count_due(self, full_share: float) -> int:
        """Return how many VMs are due beyond those being cleaned."""
        ages = [
            0.0
            if self._state.statuses[vm.name].phase in CLEANING_PHASES
            else self._ages[vm.name]
            for vm in self._state.vms
        ]
        return count_backlog(sorted(ages, reverse=True), full_share)

    def _list_candidates(self, due: int) -> list[Vm]:
        serving = [
            vm
            for vm in self._state.vms
            if vm.pool == self._state.pool.name
            and vm.name not in self._deferred
            and self._is_serving(vm)
        ]
        serving.sort(key=lambda vm: (-self._ages[vm.name], vm.name))
        return serving[: due + self._settings.choice_count]

    def plan_cleaning(self) -> Iterator[PlannedDrain]:
        """Yield the cleaning that is due and that fits now."""
        settings = self._settings
        quiet = self._expected_load <= settings.quiet_load
        due = self._count_due(
            settings.quiet_share if quiet else settings.normal_share
        )
        if not due:
            return
        due_though_busy = self._count_due(settings.busy_share)
        candidates = self._list_candidates(due)
        for rank in range(due):
            load = self.availability.compute_load_after_drain(
                self._expected_load
            )
            if load > settings.busy_load and rank >= due_though_busy:
                return
            vm = self._choose_vm(candidates, self.overdue)
            if vm is None:
                return
            self.availability.mark_unavailable(vm)
            candidates.remove(vm)
            yield PlannedDrain(vm.name)


def plan_drains(
    state: PoolState,
    now: float,
    expected_load: float,
    settings: MaintenanceSettings,
    deferred: frozenset[str] = frozenset(),
) -> DrainPlan:
    """Return the drains to start in the pool now.

    `now` is wall-clock epoch seconds, `share` the expected load of the
    pool (0 to 1), and `deferred` are VMs not to be cleaned for now.
    """
    planner = _PoolPlanner(state, now, expected_load, settings, deferred)
    moves = tuple(planner.plan_moves())
    cleaning = tuple(planner.plan_cleaning())
    return DrainPlan(
        moves + cleaning,
        planner.availability.can_lose_rack,
        tuple(sorted(planner.overdue)),
    )
