"""Plans which VMs of a pool are drained next, for moves and cleaning.

Cleaning is the planned reboot of a VM once in each maintenance period.
"""

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
"""Function from a pool's name to its expected load (0 to 1)."""

CLEANING_PHASES = (VmPhase.DRAINING, VmPhase.REBOOTING, VmPhase.PROVING)


@dataclass(frozen=True)
class MaintenanceSettings:
    """When the VMs of a pool are cleaned.

    Three settings give the age at which the oldest VM is cleaned, as a
    share (0 to 1) of the maintenance period, in a pool whose VMs have
    evenly spread ages. Loads are shares (0 to 1) of the pool.

    - `quiet_load`: up to this expected load, `quiet_share` applies.
    - `busy_load`: if a drain would raise the load of the remaining VMs
      above this, `busy_share` applies.
    - `quiet_share`: the age at cleaning while the load is low.
    - `normal_share`: the age at cleaning otherwise.
    - `busy_share`: the age at cleaning while the load is high.
    - `choice_count`: how many VMs beyond those due are also candidates,
      to find one in a better rack or zone.
    - `plan_seconds`: the time after which a pool is planned again if its
      state has not changed.
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
    """A drain to start; `destination` is a pool, or empty for cleaning."""

    vm: str
    destination: str = ""


@dataclass(frozen=True)
class DrainPlan:
    """The drains to start now, and the state of the pool's maintenance."""

    drains: tuple[PlannedDrain, ...] = ()
    # Whether the budget still holds if the largest rack fails during a drain.
    reserve_held: bool = True
    overdue: tuple[str, ...] = ()  # VMs past their maintenance period


def count_backlog(shares: list[float], full_share: float) -> int:
    """Return how many of the oldest VMs are due now.

    `shares` are the ages of all VMs as shares of the maintenance period,
    oldest first. Enough VMs are due that, after they are cleaned, the
    others are no older than if ages were evenly spread from 0 to
    `full_share`.
    """
    count = len(shares)
    excess = (
        math.ceil(rank - count * (1 - share / full_share))
        for rank, share in enumerate(shares)
    )
    return max(0, min(count, max(excess, default=0)))


class _PoolPlanner:
    """Plans the drains of one pool for one round."""

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
        """Return whether the budget, the zones and the reserve allow it.

        An urgent VM may be drained without regard to zones and reserve
        while no other planned operation runs in the pool.
        """
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
        """Return the preferred VM of those that may be drained, if any.

        VMs that are not the last available one of their zone come first,
        then those in a rack with a planned operation, then the order of
        `candidates`.
        """
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
        """Yield the moves declared by tickets that may start now."""
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
        """Return how many VMs are due, not counting those being cleaned."""
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
        """Yield the cleanings that are due and may start now."""
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

    `now` is in wall-clock epoch seconds, `expected_load` is a share of
    the pool (0 to 1), and the VMs in `deferred` are not cleaned.
    """
    planner = _PoolPlanner(state, now, expected_load, settings, deferred)
    moves = tuple(planner.plan_moves())
    cleaning = tuple(planner.plan_cleaning())
    return DrainPlan(
        moves + cleaning,
        planner.availability.can_lose_rack,
        tuple(sorted(planner.overdue)),
    )
