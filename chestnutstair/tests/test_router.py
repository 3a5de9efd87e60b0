"""Compares the indexed router with one that scans all targets."""

import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutstair.coordination.router import (
    ClosedReason,
    Router,
    TargetLoad,
)
from chestnutstair.state.fleet import Pool, PoolKind, Vm
from chestnutstair.state.view import FleetView, VmPhase, VmStatus

SLOTS = 2
POOLS = ("quotes", "cards", "boxes")
ZONES = ("zone-0", "zone-1")
VMS = tuple(
    Vm(f"vm-{i}", POOLS[i % 3], ZONES[i % 2], "rack", f"127.0.0.1:{i + 1}")
    for i in range(4)
)
PHASES = st.sampled_from([VmPhase.SERVING, VmPhase.SERVING, VmPhase.DRAINING])
NAMES = st.sampled_from([vm.name for vm in VMS])
REASONS = st.sampled_from([ClosedReason.LEAVING, ClosedReason.FULL])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("view"), NAMES, st.sampled_from(POOLS), PHASES),
        st.tuples(st.just("remove"), NAMES),
        st.tuples(st.just("close"), NAMES, REASONS),
        st.tuples(st.just("reopen"), NAMES, REASONS),
        st.tuples(st.just("release"), st.integers(0, 20)),
        st.tuples(st.just("take"), st.sampled_from(POOLS[:2])),
        st.tuples(st.just("take"), st.sampled_from(POOLS[:2])),
    ),
    min_size=20,
    max_size=60,
)


def build_view() -> FleetView:
    """Return a view of two pools of runners and one of workers."""
    kinds = (PoolKind.RUNNERS, PoolKind.RUNNERS, PoolKind.WORKERS)
    pools = {
        name: Pool(name, kind, name, 0, slots_per_vm=SLOTS)
        for name, kind in zip(POOLS, kinds, strict=True)
    }
    statuses = {vm.name: VmStatus(vm.pool) for vm in VMS}
    return FleetView(
        pools=pools, vms={vm.name: vm for vm in VMS}, statuses=statuses
    )


class NaiveRouter:
    """Reference model that finds the allowed choices by a full scan."""

    def __init__(self) -> None:
        self.view = build_view()
        self.in_flight: Counter[str] = Counter()
        self.closed: set[tuple[str, ClosedReason]] = set()

    def list_choices(self, pool: str) -> set[str]:
        """Return the least loaded open targets of the preferred zone."""
        open_vms = [
            vm
            for vm in self.view.vms.values()
            if self.view.statuses[vm.name].pool == pool
            and self.view.statuses[vm.name].phase is VmPhase.SERVING
            and self.in_flight[vm.name] < SLOTS
            and not any(name == vm.name for name, _ in self.closed)
        ]
        zone = min((vm.zone for vm in open_vms), default="")
        preferred = [vm.name for vm in open_vms if vm.zone == zone]
        least = min((self.in_flight[name] for name in preferred), default=0)
        return {name for name in preferred if self.in_flight[name] == least}


class RouterTest(unittest.TestCase):
    """Random steps; the router must choose what the model allows."""

    @settings(max_examples=1500, derandomize=True, deadline=None)
    @given(STEPS)
    def test_chooses_a_target_that_a_full_scan_allows(
        self, steps: list[tuple]
    ) -> None:
        naive = NaiveRouter()
        router = Router(ZONES[0], lambda vm, limit: limit, seed=1)
        router.install_view(naive.view)
        acquired: list[TargetLoad] = []
        for step in steps:
            self.apply(step, naive, router, acquired)

    def apply(
        self,
        step: tuple,
        naive: NaiveRouter,
        router: Router,
        acquired: list[TargetLoad],
    ) -> None:
        match step:
            case ("view", name, pool, phase):
                if name in naive.view.vms:
                    status = VmStatus(pool, phase)
                    naive.view = naive.view.replace_status(name, status)
                router.install_view(naive.view)
            case ("remove", name):
                if not naive.in_flight[name]:
                    vms = {
                        k: v for k, v in naive.view.vms.items() if k != name
                    }
                    naive.view = replace(naive.view, vms=vms)
                    router.install_view(naive.view)
            case ("close", name, reason):
                naive.closed.add((name, reason))
                router.close(name, reason)
            case ("reopen", name, reason):
                naive.closed.discard((name, reason))
                router.reopen(name, reason)
            case ("release", index):
                if acquired:
                    load = acquired.pop(index % len(acquired))
                    naive.in_flight[load.vm.name] -= 1
                    router.release(load)
            case ("take", pool):
                self.acquire(pool, naive, router, acquired)

    def acquire(
        self,
        pool: str,
        naive: NaiveRouter,
        router: Router,
        acquired: list[TargetLoad],
    ) -> None:
        choices = naive.list_choices(pool)
        load = router.acquire(pool)
        if load is None:
            self.assertEqual(choices, set())
            return
        self.assertIn(load.vm.name, choices)
        naive.in_flight[load.vm.name] += 1
        acquired.append(load)
