"""Tests of planning with far more waiting work than a pool has room for.

In a burst, the demand of a queue is five times its mean for some seconds.
Pools have dozens of workers, and every end of a task starts a planning round.
"""

import sys
import unittest
from collections import Counter
from dataclasses import replace
from types import FrameType
from typing import Any
from unittest import mock

from chestnutstair.scheduling.load import measure_loads
from chestnutstair.scheduling.organisations import Cap, Organisation
from chestnutstair.scheduling.placement import Placement, Planner
from chestnutstair.scheduling.progress import (
    JobRecord,
    TaskKey,
    TaskStatus,
)
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.workers import PlacedRun, WorkerState
from chestnutstair.tests.scheduling_support import (
    CONFIGURATION,
    TrackerHarness,
    build_entry,
    build_submission,
)

WORKERS = tuple(f"w{number}" for number in range(40))
JOBS = 200
WIDE = Step(8, 13_000, 1024, estimate_ms=1700)
NARROW = Step(8, 6_200, 1024, estimate_ms=1000)


class BacklogTest(unittest.TestCase):
    """A full pool, and a backlog of many times its room."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(WORKERS)
        for number in range(JOBS):
            step = (WIDE, NARROW)[number % 2]
            self.harness.admit(f"{number:016x}", [step])
        self.placed = self.harness.plan()

    def count_room_checks(self) -> int:
        """Plan once; return how often a worker's room was checked."""
        with mock.patch.object(
            WorkerState, "has_room", autospec=True, return_value=False
        ) as check:
            self.harness.plan()
        return check.call_count

    def test_a_round_without_room_checks_each_worker_once_per_size(
        self,
    ) -> None:
        # There are two sizes of tasks; the number of jobs must not matter.
        self.assertLessEqual(self.count_room_checks(), 2 * len(WORKERS))

    def test_a_round_in_which_nothing_changed_examines_no_step(self) -> None:
        # A full pool is planned again after each end, with hundreds of jobs
        # waiting: looking at all of their steps took 20 ms a round.
        self.harness.plan()
        with mock.patch.object(
            JobRecord, "get_step_progress", autospec=True
        ) as look:
            self.harness.plan()
            measure_loads(self.harness.tracker, self.harness.clock.now)
        self.assertEqual(look.call_count, 0)

    def test_what_a_job_needs_follows_its_tasks(self) -> None:
        harness = TrackerHarness(("w1",))
        steps = [Step(2, 40_000, estimate_ms=500), Step(1, 1000, after=(0,))]
        record = harness.admit("a" * 16, steps)
        self.assertEqual(record.outlook.startable, (0,))
        self.assertEqual(record.outlook.waiting_millicores, 80_000)
        self.assertEqual(record.outlook.remaining_ms, 500)
        (placed,) = harness.plan()
        self.assertEqual(record.outlook.waiting_millicores, 40_000)
        self.assertEqual(record.outlook.remaining_ms, 0)
        harness.start_all([placed])
        harness.end(placed, "done")
        harness.start_all(harness.plan())
        self.assertEqual(record.outlook.startable, ())
        harness.end(
            Placement(record, TaskKey(0, 0, 1), placed.worker, 1), "done", 2
        )
        self.assertEqual(record.outlook.startable, (1,))

    def test_the_pool_is_filled_behind_tasks_that_do_not_fit(self) -> None:
        # Wide tasks that do not fit must not keep narrow ones from starting.
        self.assertTrue(self.placed)
        for worker in self.harness.tracker.workers.values():
            self.assertFalse(worker.has_room(NARROW), worker.name)

    def test_a_narrow_task_uses_room_too_small_for_a_wide_one(self) -> None:
        harness = TrackerHarness(("w1",))
        harness.admit("a" * 16, [Step(4, 14_000)])
        harness.plan()
        harness.admit("b" * 16, [WIDE])
        harness.admit("c" * 16, [NARROW])
        placed = [item.record.name for item in harness.plan()]
        self.assertEqual(placed, ["c" * 16])


class TurnTest(unittest.TestCase):
    """A turn of a queue whose pool has a hundred workers.

    A leader starts a thousand tasks a second then, with one processor.
    """

    POOL = tuple(f"w{number:03}" for number in range(110))
    STEP = Step(8, 6_200, 6_300, estimate_ms=640)

    def setUp(self) -> None:
        self.harness = TrackerHarness(self.POOL)
        for number in range(60):
            self.harness.admit(f"{number:016x}", [self.STEP])

    def test_placing_a_task_examines_each_worker_once(self) -> None:
        # The ranks of workers were computed again for each task that was
        # placed, which took most of a round.
        calls = 0

        def count(frame: FrameType, event: str, argument: object) -> None:
            nonlocal calls
            calls += event == "call"

        before = sys.getprofile()
        sys.setprofile(count)
        try:
            placed = self.harness.plan()
        finally:
            sys.setprofile(before)
        self.assertEqual(len(placed), 60 * 8)
        # A worker is chosen anew once the last one is full, after ten tasks,
        # and for each of the jobs. Other work of a round is a hundred calls
        # for each task, and a thousand in all.
        choices = 60 + len(placed) // 10
        limit = choices * len(self.POOL) + 100 * len(placed) + 1000
        self.assertLessEqual(calls, limit)

    def test_jobs_of_one_size_share_the_choice_of_a_worker(self) -> None:
        # The fullest worker with room stays so until it is full, and each job
        # of 60 compared all workers anew.
        with mock.patch.object(
            Planner,
            "_choose_worker",
            autospec=True,
            side_effect=Planner._choose_worker,
        ) as choose:
            placed = self.harness.plan()
        self.assertLessEqual(choose.call_count, len(placed) // 10)
        fills = Counter(item.worker.name for item in placed)
        self.assertEqual(set(fills.values()), {10})

    def test_a_choice_is_not_shared_between_sizes(self) -> None:
        # A small task may have made another worker the fullest with room.
        harness = TrackerHarness(("w1", "w2", "w3"))
        for number, millicores in enumerate((40_000, 30_000, 20_000, 30_000)):
            harness.admit(f"{number:016x}", [Step(1, millicores)])
        names = [item.worker.name for item in harness.plan()]
        self.assertEqual(names, ["w1", "w2", "w1", "w2"])

    def test_a_choice_made_after_a_failure_is_not_shared(self) -> None:
        # The job avoids the fullest worker, on which its task has failed.
        harness = TrackerHarness(("w1", "w2"))
        harness.admit("0" * 16, [Step(1, 30_000)])
        harness.plan()
        step = Step(1, 10_000)
        record = harness.admit("1" * 16, [step])
        record.failed_on.add((TaskKey(0, 0, 0), "w1"))
        harness.admit("2" * 16, [step])
        names = [item.worker.name for item in harness.plan()]
        self.assertEqual(names, ["w2", "w1"])

    def test_the_end_of_a_job_examines_only_the_workers_it_runs_on(
        self,
    ) -> None:
        # All runs of all workers were searched for each job that ended.
        self.harness.start_all(self.harness.plan())
        searched = 0

        class CountedRuns(dict[str, PlacedRun]):
            def items(self) -> Any:
                nonlocal searched
                searched += 1
                return super().items()

        used = 0
        for worker in self.harness.tracker.workers.values():
            used += any(run.job == "0" * 16 for run in worker.runs.values())
            worker.runs = CountedRuns(worker.runs)
        self.harness.tracker.cancel("0" * 16)
        self.assertLessEqual(searched, used)
        for worker in self.harness.tracker.workers.values():
            for run in worker.runs.values():
                self.assertEqual(run.stopping, run.job == "0" * 16)

    def test_the_runs_of_a_job_are_counted_until_the_last_ends(self) -> None:
        placed = self.harness.plan()
        self.harness.start_all(placed)
        worker = placed[0].worker
        runs = [item for item in placed if item.worker is worker]
        for number, item in enumerate(runs, 1):
            job = item.record.name
            self.assertIn(job, worker.runs_by_job)
            self.harness.end(item, "done", number)
        self.assertFalse(worker.runs_by_job)


class StartLimitTest(unittest.TestCase):
    """A leader that cannot send all the starts that the pool has room for.

    At 600 starts a second, 500 placed starts waited to be sent in their
    order. They held half of the pool's room, and a job that had just come
    waited for 0.8 s behind others that were late already.
    """

    LIMIT = 50
    STEP = Step(8, 6_200, 6_300, estimate_ms=640)

    def setUp(self) -> None:
        self.harness = TrackerHarness(TurnTest.POOL)

    def admit(self, count: int, first: int = 0, **options: Any) -> None:
        for number in range(first, first + count):
            self.harness.admit(f"{number:016x}", [self.STEP], **options)

    def plan(self, limit: int = LIMIT) -> list[Placement]:
        now = self.harness.clock.now
        return self.harness.planner.plan(now, now * 1000, limit)

    def test_an_urgent_job_goes_before_what_does_not_wait_yet(self) -> None:
        self.admit(60)
        self.harness.clock.now += 3.0  # all of them are late
        self.harness.answer_all()
        self.assertEqual(len(self.plan()), self.LIMIT)
        self.admit(1, first=60)
        names = [item.record.name for item in self.plan()]
        self.assertEqual(names[:8], [f"{60:016x}"] * 8)
        self.assertEqual(len(names), self.LIMIT)

    def test_rounds_place_all_that_fits_in_the_end(self) -> None:
        self.admit(60)
        placed = 0
        while count := len(self.plan()):
            self.assertLessEqual(count, self.LIMIT)
            placed += count
        self.assertEqual(placed, 60 * 8)

    def test_the_limit_holds_among_organisations(self) -> None:
        organisations = {
            name: Organisation(name, 5.0, Cap(9_000_000)) for name in "ab"
        }
        self.harness.tracker.configuration = replace(
            CONFIGURATION, organisations=organisations
        )
        for number in range(60):
            submission = build_submission(f"{number:016x}", [self.STEP])
            owner = "ab"[number % 2]
            self.harness.tracker.admit(replace(submission, organisation=owner))
        placed = self.plan()
        self.assertEqual(len(placed), self.LIMIT)
        owners = {item.record.submission.organisation for item in placed}
        self.assertEqual(owners, {"a", "b"})

    def test_a_gang_is_placed_as_a_whole(self) -> None:
        # Its tasks have to start together, so a part of them is of no use.
        step = Step(8, 6_200, 6_300, estimate_ms=640, gang=True)
        self.harness.admit("a" * 16, [step])
        self.assertEqual(len(self.plan(limit=3)), 8)

    def test_each_pool_gets_a_round_of_its_own(self) -> None:
        # The pool whose turn it is has more to start than a round may place.
        harness = self.harness
        for number in range(4):
            entry = build_entry(f"x{number}", "other")
            harness.tracker.apply_worker_entry(entry)
            harness.answer(entry.name)
        self.admit(60)
        self.admit(1, first=60, queue="other")
        placed = self.plan() + self.plan()
        jobs = [item.record.name for item in placed]
        self.assertEqual(jobs.count(f"{60:016x}"), 8)


class StepProgressTest(unittest.TestCase):
    """The counts of a step match the states of its tasks."""

    def setUp(self) -> None:
        steps = [Step(4, 1000, estimate_ms=500), Step(2, after=(0,))]
        self.record = JobRecord(build_submission("a" * 16, steps))

    def check(self, record: JobRecord) -> None:
        for number, step in enumerate(record.steps):
            progress = record.get_step_progress(0, number)
            for status in TaskStatus:
                indexes = {
                    index
                    for index in range(step.count)
                    if record.get_task(TaskKey(0, number, index)).status
                    is status
                }
                self.assertEqual(progress.counts[status], len(indexes))
                if status is TaskStatus.WAITING:
                    self.assertEqual(progress.waiting, indexes)

    def test_counts_follow_place_release_and_place(self) -> None:
        key = TaskKey(0, 0, 1)
        self.record.place_task(key, 1, "w1", 1)
        self.check(self.record)
        self.record.release_task(key)
        self.check(self.record)
        self.record.place_task(key, 2, "w2", 1)
        self.check(self.record)

    def test_counts_follow_an_undone_placement(self) -> None:
        key = TaskKey(0, 0, 2)
        before = self.record.get_task(key)
        self.record.place_task(key, 1, "w1", 1)
        self.record.undo_placement(key, before)
        self.check(self.record)

    def test_counts_follow_restored_progress(self) -> None:
        self.record.place_task(TaskKey(0, 0, 0), 1, "w1", 1)
        restored = JobRecord(self.record.submission)
        restored.restore(self.record.encode())
        self.check(restored)
        self.assertEqual(restored.get_step_progress(0, 0).waiting, {1, 2, 3})


class ListingTest(unittest.TestCase):
    """Workers list all of their runs with each end of one."""

    def test_only_lasting_runs_are_recorded_again(self) -> None:
        harness = TrackerHarness(("w1",))
        harness.admit("b" * 16, [Step(1, 1000)])
        harness.admit("c" * 16, [Step(1, 1000, lasting=True)])
        harness.start_all(harness.plan())
        harness.answer_all()
        worker = harness.get_worker("w1")
        before = dict(worker.runs)
        harness.answer("w1", harness.list_runs("w1", percent=40))
        batch, lasting = sorted(worker.runs)
        self.assertIs(worker.runs[batch], before[batch])
        self.assertFalse(worker.runs[lasting].is_ready)

    def test_a_batch_run_in_doubt_is_confirmed_by_a_listing(self) -> None:
        harness = TrackerHarness(("w1",))
        harness.admit("b" * 16, [Step(1, 1000)])
        harness.plan()
        worker = harness.get_worker("w1")
        (task,) = worker.runs
        harness.tracker.mark_in_doubt(worker, task, 1)
        harness.answer("w1", harness.list_runs("w1"))
        self.assertFalse(worker.runs[task].in_doubt)


class TakeoverTest(unittest.TestCase):
    """A new leader with many jobs and workers.

    Each worker that registered was compared with each task of each job, and
    leaders of a large fleet were replaced before they had loaded.
    """

    def test_each_placed_task_is_looked_at_once(self) -> None:
        before = TrackerHarness(WORKERS)
        for number in range(JOBS):
            before.admit(f"{number:016x}", [Step(4, 500, estimate_ms=1000)])
        placed = before.plan()
        harness = TrackerHarness(())
        for record in before.tracker.jobs.values():
            harness.tracker.restore_job(record.submission, record.encode())
        with mock.patch.object(
            JobRecord,
            "get_task",
            autospec=True,
            side_effect=JobRecord.get_task,
        ) as look:
            for name in WORKERS:
                harness.tracker.apply_worker_entry(build_entry(name))
        self.assertEqual(look.call_count, len(placed))
        runs = {
            (worker.name, task)
            for worker in harness.tracker.workers.values()
            for task in worker.runs
        }
        expected = {
            (item.worker.name, item.record.name_task(item.key))
            for item in placed
        }
        self.assertEqual(runs, expected)
