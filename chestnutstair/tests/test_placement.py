"""Tests of which tasks the planner starts, and on which workers."""

import unittest

from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import TrackerCase


class PlannerTest(unittest.TestCase):
    """Room, spread limits, gangs and the order of jobs."""

    def test_no_worker_gets_more_than_it_has(self) -> None:
        case = TrackerCase(("w1", "w2"))
        case.admit("j", [Step(10, 20_000)])
        placed = case.plan()
        self.assertEqual(len(placed), 6)
        for worker in case.tracker.workers.values():
            self.assertEqual(worker.millicores, 60_000)

    def test_tasks_are_packed_so_that_workers_stay_empty(self) -> None:
        case = TrackerCase(("w1", "w2", "w3"))
        case.admit("j", [Step(4, 10_000)])
        self.assertEqual(len({p.worker.name for p in case.plan()}), 1)

    def test_a_spread_limit_holds(self) -> None:
        case = TrackerCase(("w1", "w2"))
        case.admit("j", [Step(5, 1000, spread_limit=2)])
        placed = case.plan()
        names = [item.worker.name for item in placed]
        self.assertEqual(sorted(names), ["w1", "w1", "w2", "w2"])

    def test_a_task_that_failed_is_tried_on_another_worker(self) -> None:
        # A worker that fails every run got the same task three times
        # (papagalaki-sched trouble-1, job 0e328772f79e051c).
        case = TrackerCase(("w1", "w2"))
        case.admit("j", [Step(1, 1000)])
        first = case.plan()[0]
        case.start_all([first])
        case.end(first, "failed")
        second = case.plan()[0]
        self.assertNotEqual(second.worker.name, first.worker.name)

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        case = TrackerCase(("w1",))
        case.admit("big", [Step(4, 20_000, gang=True)])
        self.assertEqual(case.plan(), [])
        self.assertEqual(case.get_worker("w1").runs, {})
        case.admit("small", [Step(3, 20_000, gang=True)])
        placed = case.plan()
        self.assertEqual({item.run for item in placed}, {1})
        self.assertEqual(len(placed), 3)

    def test_a_required_label_restricts_workers(self) -> None:
        case = TrackerCase(("w1",))
        case.admit("j", [Step(1, 1000, required_label="b")])
        self.assertEqual(case.plan(), [])

    def test_more_urgent_queues_come_first(self) -> None:
        case = TrackerCase(("w1",))
        case.admit("late", [Step(1, 40_000, estimate_ms=1000)], "heavy")
        case.admit("soon", [Step(1, 40_000, estimate_ms=1000)], "quick")
        self.assertEqual([p.record.name for p in case.plan()], ["soon"])

    def test_useless_jobs_come_last(self) -> None:
        case = TrackerCase(("w1",))
        case.admit("old", [Step(1, 40_000, estimate_ms=1000)])
        case.clock.now += 30.0
        case.answer("w1")
        case.admit("new", [Step(1, 40_000, estimate_ms=1000)])
        self.assertEqual([p.record.name for p in case.plan()], ["new"])

    def test_lasting_tasks_avoid_workers_due_for_maintenance(self) -> None:
        # Tasks moved from VM to VM just ahead of the maintenance wave, which
        # delayed the last VMs (papagalaki-sched-grown trouble-3).
        case = TrackerCase(("w1", "w2"))
        case.get_worker("w1").maintenance_due = True
        case.admit("j", [Step(2, 1000, lasting=True)])
        placed = [item.worker.name for item in case.plan()]
        self.assertEqual(placed, ["w2", "w2"])

    def test_fillers_need_memory_only(self) -> None:
        case = TrackerCase(("w1",))
        case.admit("j", [Step(2, 64_000, memory_mb=100_000, filler=True)])
        self.assertEqual(len(case.plan()), 2)
        self.assertEqual(case.get_worker("w1").millicores, 0)
