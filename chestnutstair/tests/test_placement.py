"""Tests of which tasks the planner starts, and on which workers."""

import unittest

from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import TrackerHarness


class PlannerTest(unittest.TestCase):
    """Room, spread limits, gangs and the order of jobs."""

    def test_no_worker_gets_more_than_it_has(self) -> None:
        harness = TrackerHarness(("w1", "w2"))
        harness.admit("j", [Step(10, 20_000)])
        placed = harness.plan()
        self.assertEqual(len(placed), 6)
        for worker in harness.tracker.workers.values():
            self.assertEqual(worker.used_millicores, 60_000)

    def test_tasks_are_packed_so_that_workers_stay_empty(self) -> None:
        harness = TrackerHarness(("w1", "w2", "w3"))
        harness.admit("j", [Step(4, 10_000)])
        self.assertEqual(len({p.worker.name for p in harness.plan()}), 1)

    def test_a_spread_limit_holds(self) -> None:
        harness = TrackerHarness(("w1", "w2"))
        harness.admit("j", [Step(5, 1000, spread_limit=2)])
        placed = harness.plan()
        names = [item.worker.name for item in placed]
        self.assertEqual(sorted(names), ["w1", "w1", "w2", "w2"])

    # Guards against thousands of starts that are placed on a crashed worker,
    # stored and withdrawn, until its last answer is old enough.
    def test_a_worker_whose_last_call_failed_gets_no_tasks(self) -> None:
        harness = TrackerHarness(("w1", "w2"))
        harness.get_worker("w1").unresponsive = True
        harness.admit("j", [Step(2, 1000)])
        names = {item.worker.name for item in harness.plan()}
        self.assertEqual(names, {"w2"})
        harness.get_worker("w1").unresponsive = False
        harness.admit("k", [Step(20, 10_000)])
        self.assertIn("w1", {item.worker.name for item in harness.plan()})

    def test_a_task_that_failed_is_tried_on_another_worker(self) -> None:
        # A worker that failed every run got the same task three times.
        harness = TrackerHarness(("w1", "w2"))
        harness.admit("j", [Step(1, 1000)])
        first = harness.plan()[0]
        harness.start_all([first])
        harness.end(first, "failed")
        second = harness.plan()[0]
        self.assertNotEqual(second.worker.name, first.worker.name)

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        harness = TrackerHarness(("w1",))
        harness.admit("big", [Step(4, 20_000, gang=True)])
        self.assertEqual(harness.plan(), [])
        self.assertEqual(harness.get_worker("w1").runs, {})
        harness.admit("small", [Step(3, 20_000, gang=True)])
        placed = harness.plan()
        self.assertEqual({item.run for item in placed}, {1})
        self.assertEqual(len(placed), 3)

    def test_a_required_label_restricts_workers(self) -> None:
        harness = TrackerHarness(("w1",))
        harness.admit("j", [Step(1, 1000, required_label="b")])
        self.assertEqual(harness.plan(), [])

    def test_more_urgent_queues_come_first(self) -> None:
        harness = TrackerHarness(("w1",))
        harness.admit("late", [Step(1, 40_000, estimate_ms=1000)], "heavy")
        harness.admit("soon", [Step(1, 40_000, estimate_ms=1000)], "quick")
        self.assertEqual([p.record.name for p in harness.plan()], ["soon"])

    def test_useless_jobs_come_last(self) -> None:
        harness = TrackerHarness(("w1",))
        harness.admit("old", [Step(1, 40_000, estimate_ms=1000)])
        harness.clock.now += 30.0
        harness.answer("w1")
        harness.admit("new", [Step(1, 40_000, estimate_ms=1000)])
        self.assertEqual([p.record.name for p in harness.plan()], ["new"])

    def test_lasting_tasks_avoid_workers_due_for_maintenance(self) -> None:
        # Tasks moved from VM to VM just ahead of the maintenance wave, which
        # delayed the last VMs.
        harness = TrackerHarness(("w1", "w2"))
        harness.get_worker("w1").maintenance_due = True
        harness.admit("j", [Step(2, 1000, lasting=True)])
        placed = [item.worker.name for item in harness.plan()]
        self.assertEqual(placed, ["w2", "w2"])

    def test_fillers_need_memory_only(self) -> None:
        harness = TrackerHarness(("w1",))
        harness.admit("j", [Step(2, 64_000, memory_mb=100_000, filler=True)])
        self.assertEqual(len(harness.plan()), 2)
        self.assertEqual(harness.get_worker("w1").used_millicores, 0)
