"""Availability of a pool's VMs, now and after one more drain."""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from chestnutstair.state.fleet import Pool, Vm
from chestnutstair.state.view import (
    AVAILABLE_PHASES,
    FleetView,
    VmPhase,
    VmStatus,
)

__all__ = ["PoolAvailability", "PoolState", "group_pools"]


@dataclass(frozen=True)
class PoolState:
    """A pool, the VMs that currently belong to it, and their statuses."""

    pool: Pool
    vms: tuple[Vm, ...]
    statuses: Mapping[str, VmStatus]

    def list_in_phases(self, *phases: VmPhase) -> tuple[str, ...]:
        """Return the sorted names of the VMs in any of the phases."""
        return tuple(
            sorted(
                name
                for name, status in self.statuses.items()
                if status.phase in phases
            )
        )

    def count_unavailable(self) -> int:
        """Return how many VMs are unavailable."""
        return sum(
            status.phase not in AVAILABLE_PHASES
            for status in self.statuses.values()
        )


def group_pools(view: FleetView) -> Mapping[str, PoolState]:
    """Return the state of every pool, by name."""
    vms: dict[str, list[Vm]] = {name: [] for name in view.pools}
    statuses: dict[str, dict[str, VmStatus]] = {name: {} for name in vms}
    for name, status in view.statuses.items():
        vms[status.pool].append(view.vms[name])
        statuses[status.pool][name] = status
    return {
        name: PoolState(pool, tuple(vms[name]), statuses[name])
        for name, pool in view.pools.items()
    }


class PoolAvailability:
    """Counts the unavailable VMs of a pool by rack and by zone.

    The reserve is the part of the budget that is kept for a failure
    during a drain: that of the largest rack, or of one VM if the budget
    is too small for a rack and a drain.
    """

    def __init__(self, state: PoolState) -> None:
        self._budget = state.pool.availability_budget
        self._size = len(state.vms)
        self._unavailable = 0
        self._planned_count = 0
        self._planned_by_rack: Counter[str] = Counter()
        self._vms_by_zone = Counter(vm.zone for vm in state.vms)
        self._available_by_zone = Counter(self._vms_by_zone)
        self._available_by_rack = Counter(vm.rack for vm in state.vms)
        largest = max(self._available_by_rack.values(), default=0)
        self.can_lose_rack = largest < self._budget
        for vm in state.vms:
            phase = state.statuses[vm.name].phase
            if phase not in AVAILABLE_PHASES:
                self.mark_unavailable(vm, planned=phase is not VmPhase.DOWN)

    def mark_unavailable(self, vm: Vm, planned: bool = True) -> None:
        """Count the VM as unavailable."""
        self._unavailable += 1
        self._planned_count += planned
        self._planned_by_rack[vm.rack] += planned
        self._available_by_rack[vm.rack] -= 1
        self._available_by_zone[vm.zone] -= 1

    def has_budget_left(self) -> bool:
        """Return whether the budget allows one more drain."""
        return self._unavailable < self._budget

    def keeps_reserve_after(self, vm: Vm) -> bool:
        """Return whether the reserve is kept if the VM is drained."""
        if not self.can_lose_rack:
            return self._unavailable + 2 <= self._budget
        worst = max(
            available - (rack == vm.rack)
            for rack, available in self._available_by_rack.items()
        )
        return self._unavailable + 1 + worst <= self._budget

    def has_no_planned_operation(self) -> bool:
        """Return whether no planned operation makes a VM unavailable."""
        return self._planned_count == 0

    def is_last_in_zone(self, vm: Vm) -> bool:
        """Return whether no other VM of its zone is available.

        A zone that has only one VM in the pool is not protected: the
        result is then False.
        """
        return (
            self._vms_by_zone[vm.zone] > 1
            and self._available_by_zone[vm.zone] <= 1
        )

    def has_operation_in_rack(self, vm: Vm) -> bool:
        """Return whether a planned operation runs in the VM's rack."""
        return self._planned_by_rack[vm.rack] > 0

    def compute_load_after_drain(self, expected_load: float) -> float:
        """Return the load of the remaining VMs after one more drain.

        It is infinite if no VM remains.
        """
        remaining = self._size - self._unavailable - 1
        return (
            expected_load * self._size / remaining
            if remaining > 0
            else math.inf
        )
