"""Tests of the load figures that determine the sizes of pools."""

import unittest

from chestnutstair.scheduling.load import (
    RATE_WINDOWS,
    PoolLoad,
    measure_loads,
)
from chestnutstair.scheduling.progress import Lateness
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import TrackerHarness


class PoolLoadTest(unittest.TestCase):
    """The start of a burst of jobs, and the time after it.

    Each queue in turn has a burst of five times its mean demand; in between
    its demand is a twentieth of the mean.
    """

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1", "w2"))

    def measure(self) -> PoolLoad:
        now = self.harness.clock.now
        loads = measure_loads(self.harness.tracker, now)
        return next(load for load in loads if load.service == "boxes")

    def admit(self, count: int) -> None:
        for number in range(count):
            steps = [Step(8, 4000, estimate_ms=1000)]
            self.harness.admit(f"j{number}", steps)

    def test_a_burst_shows_in_the_arrival_rate(self) -> None:
        self.admit(20)
        load = self.measure()
        self.assertGreater(load.rate, 8 * 64_000, "eight more VMs at once")
        self.harness.clock.now += 2.0
        self.assertEqual(self.measure().rate, 0)

    def test_a_steep_burst_shows_in_the_shorter_window(self) -> None:
        # Guards against a slow reaction to demand that doubles every second.
        step = Step(8, 4000, estimate_ms=1000)
        for number in range(20):
            self.harness.clock.now += 0.02
            self.harness.admit(f"j{number}", [step])
        self.assertGreater(self.measure().rate, 0.9 * 20 * 32_000 / 0.4)

    def test_too_few_jobs_give_no_arrival_rate(self) -> None:
        self.admit(min(jobs for _, jobs in RATE_WINDOWS) - 1)
        self.assertEqual(self.measure().rate, 0)

    def test_later_steps_count_only_beyond_running_tasks(self) -> None:
        steps = [
            Step(4, 4000, estimate_ms=1000),
            Step(6, 4000, estimate_ms=1000, after=(0,)),
        ]
        self.harness.admit("j", steps)
        self.harness.plan()
        load = self.measure()
        self.assertEqual((load.batch, load.waiting), (16_000, 0))
        self.assertEqual(load.coming, 8_000)

    def test_late_work_adds_less_demand(self) -> None:
        record = self.harness.admit("j", [Step(4, 40_000, estimate_ms=1000)])
        waiting = []
        for lateness in Lateness:
            record.lateness = lateness
            waiting.append(self.measure().waiting)
        self.assertEqual(waiting, [160_000, 48_000, 0])
