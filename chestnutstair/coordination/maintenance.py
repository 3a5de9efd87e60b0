"""Plans which VMs of a pool are drained next, for moves and cleaning."""

import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from chestnutstair.state.codec import STRICT
from chestnutstair.state.fleet import Pool, Vm
from chestnutstair.state.view import (
    AVAILABLE_PHASES,
    FleetView,
    VmPhase,
    VmStatus,
)

__all__ = [
    "DrainPlan",
    "LoadForecast",
    "MaintenanceSettings",
    "PlannedDrain",
    "PoolState",
    "count_backlog",
    "group_pools",
    "plan_drains",
]

LoadForecast = Callable[[str], float]
"""Returns the share (0 to 1) of a pool that is expected to be in use."""


@dataclass(frozen=True)
class MaintenanceSettings:
    """When the planner starts drains.

    The shares of the period say by when the oldest VM of an evenly spread
    pool is cleaned: `quiet_share` while the load is at most `quiet_load`,
    else `normal_share`. From `urgent_share` on, load no longer delays it.
    Otherwise a drain must leave the rest of the pool at most
    `busiest_load`. `choice_count` is the number of further VMs, past those
    that are due, among which a better rack or zone is looked for.
    """

    __pydantic_config__ = STRICT

    quiet_load: float = 0.3
    busiest_load: float = 0.85
    quiet_share: float = 0.7
    normal_share: float = 0.85
    urgent_share: float = 0.95
    choice_count: int = 4


@dataclass(frozen=True)
class PoolState:
    """A pool with the VMs that belong to it now, and their statuses."""

    pool: Pool
    vms: tuple[Vm, ...]
    statuses: Mapping[str, VmStatus]

    def list_phase(self, *phases: VmPhase) -> tuple[str, ...]:
        """Return the names of the VMs in one of the phases, sorted."""
        return tuple(
            sorted(
                name
                for name, status in self.statuses.items()
                if status.phase in phases
            )
        )


@dataclass(frozen=True)
class PlannedDrain:
    """A drain to start; `destination` is empty for cleaning."""

    vm: str
    destination: str = ""


@dataclass(frozen=True)
class DrainPlan:
    """The drains to start now.

    `reserve_held` tells whether the pool's budget would still hold if its
    largest rack failed during the wave. `overdue` are the VMs past the
    end of their maintenance period.
    """

    drains: tuple[PlannedDrain, ...] = ()
    reserve_held: bool = True
    overdue: tuple[str, ...] = ()


def group_pools(view: FleetView) -> Mapping[str, PoolState]:
    """Return the state of every pool."""
    vms: dict[str, list[Vm]] = {name: [] for name in view.pools}
    statuses: dict[str, dict[str, VmStatus]] = {name: {} for name in vms}
    for name, status in view.statuses.items():
        vms[status.pool].append(view.vms[name])
        statuses[status.pool][name] = status
    return {
        name: PoolState(pool, tuple(vms[name]), statuses[name])
        for name, pool in view.pools.items()
    }


def count_backlog(shares: list[float], full_share: float) -> int:
    """Return how many of the oldest VMs are due now.

    `shares` are the VMs' ages as shares of the period, oldest first. The
    VMs are due that, once clean, leave the rest no older than ages spread
    evenly up to `full_share`.
    """
    count = len(shares)
    late = (
        math.ceil(rank - count * (1 - share / full_share))
        for rank, share in enumerate(shares)
    )
    return max(0, min(count, max(late, default=0)))


class _Occupancy:
    """What is unavailable in a pool, by rack and by zone."""

    def __init__(self, state: PoolState) -> None:
        self.budget = state.pool.availability_budget
        self.size = len(state.vms)
        self.racks = Counter(vm.rack for vm in state.vms)
        self.zones = Counter(vm.zone for vm in state.vms)
        self._free_racks = Counter(self.racks)
        self._free_zones = Counter(self.zones)
        self._planned_racks: Counter[str] = Counter()
        self.unavailable = 0
        self.planned = 0
        for vm in state.vms:
            phase = state.statuses[vm.name].phase
            if phase not in AVAILABLE_PHASES:
                self.take(vm, planned=phase is not VmPhase.DOWN)

    def take(self, vm: Vm, planned: bool = True) -> None:
        """Count the VM as unavailable."""
        self.unavailable += 1
        self.planned += planned
        self._planned_racks[vm.rack] += planned
        self._free_racks[vm.rack] -= 1
        self._free_zones[vm.zone] -= 1

    def can_hold_reserve(self) -> bool:
        """Tell whether the largest rack and one drain fit the budget."""
        return max(self.racks.values(), default=0) < self.budget

    def fits(self, vm: Vm) -> bool:
        """Tell whether the VM can go, with a rack's failure on top."""
        if self.unavailable >= self.budget:
            return False
        if not self.can_hold_reserve():
            return self.planned == 0
        worst = max(
            free - (rack == vm.rack) for rack, free in self._free_racks.items()
        )
        return self.unavailable + 1 + worst <= self.budget

    def strips_zone(self, vm: Vm) -> bool:
        """Tell whether the VM is the last available one of several."""
        return self.zones[vm.zone] > 1 and self._free_zones[vm.zone] <= 1

    def shares_rack(self, vm: Vm) -> bool:
        """Tell whether a planned drain goes on in the VM's rack."""
        return self._planned_racks[vm.rack] > 0

    def measure_load(self, share: float) -> float:
        """Return the load of the rest after one more drain."""
        rest = self.size - self.unavailable - 1
        return share * self.size / rest if rest > 0 else math.inf


def _choose(
    candidates: list[Vm],
    urgent: frozenset[str],
    occupancy: _Occupancy,
) -> Vm | None:
    """Return the best VM to drain: oldest first, in racks under way."""
    fitting = [
        vm
        for vm in candidates
        if occupancy.fits(vm)
        and (vm.name in urgent or not occupancy.strips_zone(vm))
    ]
    return min(
        fitting,
        key=lambda vm: (
            vm.name not in urgent,
            occupancy.strips_zone(vm),
            not occupancy.shares_rack(vm),
        ),
        default=None,
    )


def _plan_moves(
    state: PoolState, occupancy: _Occupancy
) -> Iterator[PlannedDrain]:
    moving = [
        vm
        for vm in sorted(state.vms, key=lambda vm: vm.name)
        if vm.pool != state.pool.name
        and state.statuses[vm.name].phase is VmPhase.SERVING
    ]
    everyone = frozenset(vm.name for vm in moving)
    while vm := _choose(moving, everyone, occupancy):
        occupancy.take(vm)
        moving.remove(vm)
        yield PlannedDrain(vm.name, vm.pool)


class _Ages:
    """The ages of a pool's VMs, as shares of its maintenance period."""

    def __init__(self, state: PoolState, now: float) -> None:
        period = state.pool.maintenance_period_seconds
        self.by_name = {
            name: (now - status.cleaned_at) / period
            for name, status in state.statuses.items()
        }
        self.oldest = sorted(
            (vm for vm in state.vms if vm.pool == state.pool.name),
            key=lambda vm: (-self.by_name[vm.name], vm.name),
        )

    def list_past(self, share: float) -> tuple[str, ...]:
        """Return the VMs whose age has reached the share."""
        return tuple(
            sorted(vm for vm, age in self.by_name.items() if age >= share)
        )


def _count_due(
    state: PoolState, ages: _Ages, share: float, settings: MaintenanceSettings
) -> int:
    """Return how many more VMs than those in hand have to be cleaned."""
    quiet = share <= settings.quiet_load
    full_share = settings.quiet_share if quiet else settings.normal_share
    # What is being cleaned counts as clean already.
    current = [
        0.0
        if state.statuses[vm.name].phase
        in (VmPhase.DRAINING, VmPhase.REBOOTING, VmPhase.PROVING)
        else ages.by_name[vm.name]
        for vm in ages.oldest
    ]
    return count_backlog(sorted(current, reverse=True), full_share)


def _plan_cleaning(
    state: PoolState,
    ages: _Ages,
    occupancy: _Occupancy,
    share: float,
    settings: MaintenanceSettings,
    skipped: frozenset[str],
) -> Iterator[PlannedDrain]:
    due = _count_due(state, ages, share, settings)
    if not due:
        return
    urgent = frozenset(ages.list_past(settings.urgent_share))
    serving = [
        vm
        for vm in ages.oldest
        if state.statuses[vm.name].phase is VmPhase.SERVING
        and vm.name not in skipped
    ]
    candidates = serving[: due + settings.choice_count]
    for _ in range(due):
        if occupancy.measure_load(share) > settings.busiest_load:
            candidates = [vm for vm in candidates if vm.name in urgent]
        vm = _choose(candidates, urgent, occupancy)
        if vm is None:
            return
        occupancy.take(vm)
        candidates.remove(vm)
        yield PlannedDrain(vm.name)


def plan_drains(
    state: PoolState,
    now: float,
    share: float,
    settings: MaintenanceSettings,
    skipped: frozenset[str] = frozenset(),
) -> DrainPlan:
    """Return the drains to start in the pool now.

    `now` is wall-clock epoch seconds, `share` the expected load of the
    pool (0 to 1), and `skipped` are VMs not to be cleaned for now.
    """
    occupancy = _Occupancy(state)
    ages = _Ages(state, now)
    moves = tuple(_plan_moves(state, occupancy))
    cleaning = tuple(
        _plan_cleaning(state, ages, occupancy, share, settings, skipped)
    )
    return DrainPlan(
        moves + cleaning, occupancy.can_hold_reserve(), ages.list_past(1.0)
    )
