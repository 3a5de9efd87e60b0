"""Tests of planning while far more work waits than a pool has room for.

Pattern: the turn of a queue, five times its mean for some seconds, on pools
of dozens of workers; a round of planning comes with every end of a task.
"""

import unittest
from unittest import mock

from chestnutstair.scheduling.progress import (
    JobRecord,
    TaskKey,
    TaskStatus,
)
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.tests.scheduling_support import BookCase, build_submission

WORKERS = tuple(f"w{number}" for number in range(40))
JOBS = 200
WIDE = Step(8, 13_000, 1024, estimate_ms=1700)
NARROW = Step(8, 6_200, 1024, estimate_ms=1000)


class BacklogTest(unittest.TestCase):
    """A pool that is full, and a queue many times its room."""

    def setUp(self) -> None:
        self.case = BookCase(WORKERS)
        for number in range(JOBS):
            step = (WIDE, NARROW)[number % 2]
            self.case.admit(f"{number:016x}", [step])
        self.placed = self.case.plan()

    def count_looks(self) -> int:
        """Plan once; return how often a worker's room was looked at."""
        with mock.patch.object(
            WorkerState, "has_room", autospec=True, return_value=False
        ) as look:
            self.case.plan()
        return look.call_count

    def test_a_round_without_room_looks_once_at_each_worker(self) -> None:
        # Two sizes of tasks; the number of jobs must not matter.
        self.assertLessEqual(self.count_looks(), 2 * len(WORKERS))

    def test_the_pool_is_filled_whatever_waits_in_front(self) -> None:
        # No worker keeps room for a narrow task behind wide ones.
        self.assertTrue(self.placed)
        for worker in self.case.book.workers.values():
            self.assertFalse(worker.has_room(NARROW), worker.name)

    def test_room_that_a_wide_task_lacks_goes_to_a_narrow_one(self) -> None:
        case = BookCase(("w1",))
        case.admit("a" * 16, [Step(4, 14_000)])
        case.plan()
        case.admit("b" * 16, [WIDE])
        case.admit("c" * 16, [NARROW])
        placed = [item.record.name for item in case.plan()]
        self.assertEqual(placed, ["c" * 16])


class StepTallyTest(unittest.TestCase):
    """What is counted as tasks change agrees with the tasks themselves."""

    def setUp(self) -> None:
        steps = [Step(4, 1000, estimate_ms=500), Step(2, after=(0,))]
        self.record = JobRecord(build_submission("a" * 16, steps))

    def check(self, record: JobRecord) -> None:
        for number, step in enumerate(record.steps):
            tally = record.tally_step(0, number)
            for status in TaskStatus:
                indexes = {
                    index
                    for index in range(step.count)
                    if record.get_task(TaskKey(0, number, index)).status
                    is status
                }
                self.assertEqual(tally.counts[status], len(indexes))
                if status is TaskStatus.WAITING:
                    self.assertEqual(tally.waiting, indexes)

    def test_placed_released_and_placed_again(self) -> None:
        key = TaskKey(0, 0, 1)
        self.record.place_task(key, 1, "w1", 1)
        self.check(self.record)
        self.record.release_task(key)
        self.check(self.record)
        self.record.place_task(key, 2, "w2", 1)
        self.check(self.record)

    def test_a_placement_that_is_taken_back(self) -> None:
        key = TaskKey(0, 0, 2)
        before = self.record.get_task(key)
        self.record.place_task(key, 1, "w1", 1)
        self.record.undo_place(key, before)
        self.check(self.record)

    def test_restored_from_the_store(self) -> None:
        self.record.place_task(TaskKey(0, 0, 0), 1, "w1", 1)
        again = JobRecord(self.record.submission)
        again.restore(self.record.encode())
        self.check(again)
        self.assertEqual(again.tally_step(0, 0).waiting, {1, 2, 3})
