"""Tests of throttling filler tasks next to serving tasks."""

import unittest

from chestnutstair.scheduling.pacing import Pace, Pacer, PacingSettings
from chestnutstair.scheduling.ports import RunListing
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import TrackerHarness, build_entry

SERVING = Step(1, 4000, lasting=True, tail_target_ms=50)
FILLING = Step(1, 8000, lasting=True, filler=True)
# Longest uninterrupted interference that the platform tolerates.
INTERFERENCE_LIMIT_SECONDS = 4.0


class PacerTest(unittest.TestCase):
    """Fillers are stopped while a serving task exceeds its target."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.harness.admit("serve", [SERVING])
        self.harness.admit("fill", [FILLING])
        self.harness.start_all(self.harness.plan())
        self.worker = self.harness.get_worker("w1")
        self.pacer = Pacer(self.harness.clock, PacingSettings())

    def report_tail(self, tail_ms: float) -> list[int]:
        """Deliver a listing with this tail latency; return ordered speeds."""
        self.harness.clock.now += 1.0
        listings = [
            RunListing(task, run.run, "", 100, tail_ms)
            for task, run in self.worker.runs.items()
        ]
        self.harness.answer("w1", listings)
        paces = self.pacer.adjust(self.worker)
        for pace in paces:
            self.pacer.record_pace(self.worker, pace)
        return [pace.percent for pace in paces]

    def test_interference_ends_within_its_bound(self) -> None:
        began = self.harness.clock.now
        while self.worker.filler_percent:
            self.report_tail(80.0)
        self.assertLess(
            self.harness.clock.now - began, INTERFERENCE_LIMIT_SECONDS
        )

    def test_no_order_without_interference(self) -> None:
        self.assertEqual(self.report_tail(30.0), [])

    def test_fillers_speed_up_slowly(self) -> None:
        self.report_tail(80.0)
        percents = [self.report_tail(10.0) for _ in range(4)]
        self.assertEqual(percents, [[], [], [70], []])

    def test_a_tail_just_under_the_target_keeps_the_speed(self) -> None:
        self.report_tail(80.0)
        for _ in range(5):
            self.assertEqual(self.report_tail(45.0), [])

    # Guards against fillers that stay at the speed that the leader before had
    # set, for as long as the tails are below their targets.
    def test_a_new_leader_sets_the_speed_of_its_fillers(self) -> None:
        for _ in range(2):
            self.report_tail(80.0)
        self.assertEqual(self.worker.filler_percent, 0)
        successor = TrackerHarness(())
        for record in self.harness.tracker.jobs.values():
            successor.tracker.restore_job(record.submission, record.encode())
        successor.tracker.apply_worker_entry(build_entry("w1"))
        self.harness, self.worker = successor, successor.get_worker("w1")
        self.pacer = Pacer(successor.clock, PacingSettings())
        self.assertEqual(self.report_tail(30.0), [100])
        self.assertEqual(self.report_tail(30.0), [], "set once")

    # Guards against an order that is carried out after newer ones, and sets a
    # speed that the leader does not know of.
    def test_the_speed_is_repeated_while_another_order_may_come(self) -> None:
        self.harness.clock.now += 1.0
        self.harness.answer_all()
        task = "fill.0.0.0"
        self.pacer.record_doubt(self.worker, Pace(task, 1, 50))
        percents = [self.report_tail(45.0) for _ in range(16)]
        self.assertEqual(percents[:14], [[100]] * 14)
        self.assertEqual(percents[-1], [])
