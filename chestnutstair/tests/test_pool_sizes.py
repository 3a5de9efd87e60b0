"""Tests of the VMs that a pool needs when a queue's turn begins.

The pattern: demand rises from a twentieth of its mean to five times its mean
within two seconds, while a VM that is ordered arrives after 1.5 s.
"""

import unittest

from chestnutstair.scheduling.fleet_state import (
    Drain,
    FleetControllerSettings,
    FleetState,
)
from chestnutstair.scheduling.load import measure_loads
from chestnutstair.scheduling.pool_sizes import PoolSize, PoolSizer
from chestnutstair.scheduling.ports import Vm
from chestnutstair.scheduling.progress import TaskKey, TaskState
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.vm_order_history import VmOrder
from chestnutstair.tests.scheduling_support import TrackerHarness

VM_MILLICORES = 64_000
MIN_SIZE = 5  # half an even share of 20 VMs in two pools


class TurnTest(unittest.TestCase):
    """A queue whose jobs ask for 32 cores each."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1", "w2"))
        self.state = FleetState(self.harness.tracker)
        names = [f"vm-w{number}" for number in range(1, 21)]
        self.state.listed = {
            name: Vm(name, "boxes", "up", "z", "", (), VM_MILLICORES)
            for name in names
        }
        self.sizer = PoolSizer(
            self.harness.tracker, self.state, FleetControllerSettings()
        )

    def admit(self, count: int, estimate_ms: int) -> None:
        for number in range(count):
            step = Step(8, 4000, estimate_ms=estimate_ms)
            self.harness.admit(f"j{number}", [step])

    def measure(self) -> PoolSize:
        loads = measure_loads(self.harness.tracker, self.harness.clock.now)
        boxes = [load for load in loads if load.service == "boxes"]
        return self.sizer.measure(boxes)[0]

    def test_short_jobs_get_vms_for_those_that_will_arrive(self) -> None:
        # Twelve jobs within a window of 1.2 s ask for 6 VMs; as jobs of 1 s
        # can wait for about 0.8 s only, more must be there for the next ones.
        self.admit(12, 1000)
        present = 12 * 32_000 * FleetControllerSettings.headroom
        self.assertGreater(self.measure().want, present / VM_MILLICORES + 1)

    def test_long_jobs_can_wait_for_the_vms_ordered_for_them(self) -> None:
        # A few large jobs in one window looked like a rate that would last,
        # and twice the VMs that were used were ordered.
        self.admit(12, 5000)
        present = 12 * 32_000 * FleetControllerSettings.headroom
        self.assertEqual(self.measure().want, -int(-present // VM_MILLICORES))

    # Guards against a backlog of tasks that start alone in a pool that is
    # sized for their work only, most of it late: it outlasted the day.
    def test_tasks_that_start_alone_get_vms_though_they_are_late(self) -> None:
        record = self.harness.admit("j", [Step(100, 100, estimate_ms=100)])
        before = self.measure().want
        for index in range(100):
            key = TaskKey(0, 0, index)
            record.set_task(key, TaskState(run=1, suspected=True))
        self.harness.clock.now += 60
        self.harness.answer_all()
        self.harness.plan()
        size = self.measure()
        # Half of the pool takes them, each worker one in about 0.4 s.
        self.assertGreater(size.want / 2 * 5.0 / 0.4, 80)
        self.assertGreater(size.want, before)
        self.assertEqual(size.need, before)

    def test_a_vm_that_drains_for_a_wave_does_not_serve_demand(self) -> None:
        self.admit(12, 5000)
        before = self.measure().want
        self.state.drains["vm-w1"] = Drain("boxes", wave=1)
        self.assertEqual(self.measure().want, before + 1)

    def test_an_idle_pool_waits_for_vms_under_maintenance(self) -> None:
        self.assertEqual(self.measure().want, MIN_SIZE)
        self.state.orders["vm-w9"] = VmOrder("vm-w9", "boxes", 1, 0.0, True)
        self.assertEqual(self.measure().want, MIN_SIZE - 1)
