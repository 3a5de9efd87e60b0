"""Tests of the drain planner, also against an exhaustive search."""

import math
import unittest
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutstair.coordination.maintenance import (
    DrainPlan,
    MaintenanceSettings,
    plan_drains,
)
from chestnutstair.coordination.pool_availability import PoolState
from chestnutstair.state.fleet import Pool, PoolKind, Vm
from chestnutstair.state.view import VmPhase, VmStatus

PERIOD = 1000.0
SETTINGS = MaintenanceSettings()
WAVE_FACTOR = 1.5  # of the rounds that the exhaustive search needs


def build_state(
    ages: Iterable[float],
    budget: int,
    racks: Iterable[int] = (),
    zones: Iterable[int] = (),
    down: Iterable[int] = (),
) -> PoolState:
    """Return a pool of VMs with these ages, in periods, at time zero."""
    ages = list(ages)
    racks = list(racks) or list(range(len(ages)))
    zones = list(zones) or list(range(len(ages)))
    vms = tuple(
        Vm(f"vm-{i:03}", "p", f"z{zone}", f"r{rack}", f"127.0.0.1:{i}")
        for i, (rack, zone) in enumerate(zip(racks, zones, strict=True))
    )
    statuses = {
        vm.name: VmStatus("p", cleaned_at=-age * PERIOD)
        for vm, age in zip(vms, ages, strict=True)
    }
    for index in down:
        name = vms[index].name
        statuses[name] = replace(statuses[name], phase=VmPhase.DOWN)
    pool = Pool(
        "p", PoolKind.RUNNERS, "s", budget, maintenance_period_seconds=PERIOD
    )
    return PoolState(pool, vms, statuses)


def plan(
    state: PoolState, expected_load: float = 0.1, now: float = 0.0
) -> DrainPlan:
    """Return the plan under the default settings."""
    return plan_drains(state, now, expected_load, SETTINGS)


def list_names(found: DrainPlan) -> list[str]:
    """Return the VMs to drain."""
    return [item.vm for item in found.drains]


class PlanTest(unittest.TestCase):
    """The planner spreads drains, waits for low load and keeps reserves."""

    def clean_all(self, expected_load: float, size: int = 10) -> list[float]:
        """Return when VMs of equal age are cleaned, in periods."""
        state = build_state([0.0] * size, budget=3)
        times = []
        for now in range(0, int(PERIOD), 5):
            for vm in list_names(plan(state, expected_load, now)):
                times.append(now / PERIOD)
                clean = VmStatus("p", cleaned_at=float(now))
                statuses = {**state.statuses, vm: clean}
                state = replace(state, statuses=statuses)
        return times[:size]

    def test_spreads_a_pool_evenly_over_the_period(self) -> None:
        for expected_load, full in ((0.1, 0.7), (0.5, 0.8), (0.99, 0.9)):
            with self.subTest(expected_load=expected_load):
                expected = [full * rank / 10 for rank in range(1, 11)]
                for found, due in zip(
                    self.clean_all(expected_load), expected, strict=True
                ):
                    self.assertAlmostEqual(found, due, delta=0.011)

    def test_keeps_room_for_the_failure_of_a_rack(self) -> None:
        ages, racks = [0.9] * 12, [index // 3 for index in range(12)]
        found = plan(build_state(ages, 5, racks))
        self.assertEqual(list_names(found), ["vm-000", "vm-001"])
        self.assertTrue(found.reserve_held)
        found = plan(build_state(ages, 5, racks, down=[3, 4, 5]))
        self.assertEqual(found.drains, ())

    def test_reports_that_a_rack_failure_would_exceed_the_budget(self) -> None:
        racks = [index // 4 for index in range(8)]
        found = plan(build_state([0.9] * 8, 2, racks))
        self.assertEqual(len(found.drains), 1)
        self.assertFalse(found.reserve_held)

    def test_leaves_each_zone_one_vm(self) -> None:
        zones = [0, 0, 1, 1, 2, 2]
        found = plan(build_state([0.9] * 6, 5, zones=zones, down=[0]))
        self.assertEqual(list_names(found), ["vm-002", "vm-004"])

    def test_drains_an_overdue_vm_despite_the_reserve(self) -> None:
        racks = [0, 0, 1, 1, 2, 2]
        ages = [0.1, 0.1, 0.95, 0.1, 0.1, 0.1]
        self.assertEqual(
            plan(build_state(ages, 3, racks, down=[0])).drains, ()
        )
        ages[2] = 1.1
        found = plan(build_state(ages, 3, racks, down=[0]))
        self.assertEqual(list_names(found), ["vm-002"])
        self.assertEqual(found.overdue, ("vm-002",))

    def test_prefers_a_rack_with_a_drain(self) -> None:
        racks = [0, 1, 0, 1, 2, 2]
        found = plan(build_state([0.9] * 6, 4, racks))
        self.assertEqual(list_names(found), ["vm-000", "vm-002"])

    def test_counts_vms_being_cleaned_as_clean(self) -> None:
        state = build_state([0.4, 0.36, 0.36, 0.0], 4)
        self.assertEqual(list_names(plan(state)), ["vm-000"])
        status = replace(state.statuses["vm-000"], phase=VmPhase.REBOOTING)
        statuses = {**state.statuses, "vm-000": status}
        self.assertEqual(plan(replace(state, statuses=statuses)).drains, ())


def is_valid(state: PoolState, chosen: tuple[Vm, ...]) -> bool:
    """Return whether a set of drains obeys every rule."""
    budget = state.pool.availability_budget
    unavailable = {
        vm.name
        for vm in state.vms
        if state.statuses[vm.name].phase is not VmPhase.SERVING
    } | {vm.name for vm in chosen}
    if len(unavailable) > budget:
        return False
    planned = {
        vm.name
        for vm in state.vms
        if state.statuses[vm.name].phase is VmPhase.DRAINING
    }
    alone = len(chosen) == 1 and not planned
    overdue = all(
        state.statuses[vm.name].cleaned_at <= -PERIOD for vm in chosen
    )
    if alone and overdue:
        return True
    for zone in {vm.zone for vm in chosen}:
        names = {vm.name for vm in state.vms if vm.zone == zone}
        if len(names) > 1 and names <= unavailable:
            return False
    racks = Counter(vm.rack for vm in state.vms)
    if max(racks.values()) >= budget:
        return alone or len(unavailable) + 1 <= budget
    return all(
        len(unavailable | {vm.name for vm in state.vms if vm.rack == rack})
        <= budget
        for rack in racks
    )


def plan_exhaustively(state: PoolState, names: set[str]) -> set[str]:
    """Return a largest valid set of drains among the named VMs."""
    vms = [vm for vm in state.vms if vm.name in names]
    for size in range(len(vms), 0, -1):
        for chosen in combinations(vms, size):
            if is_valid(state, chosen):
                return {vm.name for vm in chosen}
    return set()


@st.composite
def draw_states(draw: st.DrawFn) -> PoolState:
    """Draw a pool of up to seven VMs, some down and some draining."""
    size = draw(st.integers(1, 7))
    lists = [
        draw(st.lists(st.integers(0, 2), min_size=size, max_size=size))
        for _ in range(2)
    ]
    ages = st.sampled_from([0.0, 0.2, 0.5, 0.85, 0.95, 1.2])
    state = build_state(
        draw(st.lists(ages, min_size=size, max_size=size)),
        draw(st.integers(0, size - 1)),
        *lists,
    )
    phases = st.sampled_from(
        [VmPhase.SERVING] * 4 + [VmPhase.DOWN, VmPhase.DRAINING]
    )
    statuses = {
        name: replace(status, phase=draw(phases))
        for name, status in state.statuses.items()
    }
    return replace(state, statuses=statuses)


class DifferentialTest(unittest.TestCase):
    """Comparison of the planner with a search through all sets of VMs."""

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(draw_states())
    def test_breaks_no_rule(self, state: PoolState) -> None:
        names = list_names(plan(state))
        by_name = {vm.name: vm for vm in state.vms}
        chosen = tuple(by_name[name] for name in names)
        self.assertTrue(not chosen or is_valid(state, chosen))

    def count_rounds(self, state: PoolState, exhaustive: bool) -> float:
        """Return the rounds needed to clean the whole pool, or infinity."""
        left = {vm.name for vm in state.vms}
        rounds = 0
        while left:
            statuses = {
                name: replace(
                    status, cleaned_at=-0.95 * PERIOD if name in left else 0.0
                )
                for name, status in state.statuses.items()
            }
            now = replace(state, statuses=statuses)
            chosen = (
                plan_exhaustively(now, left)
                if exhaustive
                else set(list_names(plan(now)))
            )
            if not chosen & left:
                return math.inf
            left -= chosen
            rounds += 1
        return rounds

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(draw_states())
    def test_cleaning_all_vms_takes_few_more_rounds_than_the_optimum(
        self, state: PoolState
    ) -> None:
        serving = {
            name: replace(status, phase=VmPhase.SERVING)
            for name, status in state.statuses.items()
        }
        state = replace(state, statuses=serving)
        least = self.count_rounds(state, exhaustive=True)
        self.assertLessEqual(
            self.count_rounds(state, exhaustive=False), WAVE_FACTOR * least
        )
