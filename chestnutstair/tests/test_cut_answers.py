"""Tests of answers that do not list all ends of a worker's runs."""

import unittest
from dataclasses import replace
from typing import Any

from chestnutstair.platform.runners import MAX_ENDS, _read_hold
from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.ports import HoldAnswer, RunEnd, RunListing
from chestnutstair.scheduling.progress import TaskStatus
from chestnutstair.scheduling.sessions import SessionSettings, WorkerSessions
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import (
    TrackerHarness,
    build_entry,
    build_submission,
)

TASKS = 3
BATCH = Step(TASKS, 1000, 64, 0, 900)
LASTING = Step(TASKS, 1000, 64, 0, 900, lasting=True, max_unavailable=1)


def encode_answer(ends: int) -> dict[str, Any]:
    """Return a worker's answer as it is sent, with a number of ends."""
    rows = [[n, f"j.0.0.{n}", 1, "done", ""] for n in range(1, ends + 1)]
    return {"clockMs": 1, "born": 1, "running": [], "finished": rows}


class CutAnswerTest(unittest.TestCase):
    """Guards against tasks that run again though their run ended as done.

    A worker lists its ends 500 at a time. A run whose end was left out was
    neither running nor ended in the answer, and counted as vanished.
    """

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))

    def start(self, step: Step) -> list[str]:
        """Start a job of one step; return the names of its tasks."""
        self.harness.admit("j", [step])
        placements = self.harness.plan()
        self.harness.start_all(placements)
        self.harness.clock.now += 0.1
        self.harness.answer_all()
        self.harness.clock.now += 0.1
        return [item.record.name_task(item.key) for item in placements]

    def answer(
        self,
        ends: list[RunEnd],
        runs: list[RunListing],
        has_more_ends: bool,
    ) -> None:
        clock_ms = int(self.harness.clock.now * 1000)
        answer = HoldAnswer(
            clock_ms, 1, tuple(runs), tuple(ends), has_more_ends
        )
        worker = self.harness.get_worker("w1")
        self.harness.tracker.apply_hold_answer(
            worker, answer, self.harness.clock.now
        )
        self.harness.clock.now += 0.1

    def count_done(self) -> int:
        states = self.harness.tracker.jobs["j"].tasks.values()
        return sum(state.status is TaskStatus.DONE for state in states)

    def test_ends_on_two_pages(self) -> None:
        tasks = self.start(BATCH)
        ends = [
            RunEnd(number, task, 1, "done", "")
            for number, task in enumerate(tasks, 1)
        ]
        self.answer(ends[:1], [], True)
        self.assertEqual(self.harness.plan(), [])
        self.answer(ends[1:], [], False)
        self.assertEqual(self.count_done(), TASKS)
        self.assertEqual(self.harness.plan(), [])

    def test_a_run_that_a_complete_answer_leaves_out_runs_again(self) -> None:
        tasks = self.start(BATCH)
        end = RunEnd(1, tasks[0], 1, "done", "")
        self.answer([end], [], True)
        self.answer([], [], False)
        self.assertEqual(len(self.harness.plan()), TASKS - 1)

    # The leader that placed the runs is lost while they end.
    def test_ends_on_two_pages_after_a_takeover(self) -> None:
        tasks = self.start(BATCH)
        progress = self.harness.tracker.jobs["j"].encode()
        self.harness = TrackerHarness(())
        tracker: JobTracker = self.harness.tracker
        at_ms = int(self.harness.clock.now * 1000)
        tracker.restore_job(
            build_submission("j", [BATCH], at_ms=at_ms), progress
        )
        tracker.apply_worker_entry(build_entry("w1"))
        self.harness.clock.now += 0.1
        self.answer([RunEnd(1, tasks[0], 1, "done", "")], [], True)
        self.assertEqual(self.harness.plan(), [])
        ends = [RunEnd(2, tasks[1], 1, "done", "")]
        ends += [RunEnd(3, tasks[2], 1, "done", "")]
        self.answer(ends, [], False)
        self.assertEqual(self.count_done(), TASKS)

    # A start without an answer is not taken for one that has not arrived.
    def test_a_run_in_doubt_is_not_stopped(self) -> None:
        self.harness.admit("j", [LASTING])
        worker = self.harness.get_worker("w1")
        for item in self.harness.plan():
            task = item.record.name_task(item.key)
            self.harness.tracker.mark_in_doubt(worker, task, item.run)
        self.harness.clock.now += 0.1
        self.answer([], [], True)
        self.assertEqual(self.harness.tracker.list_stop_requests(), [])
        self.answer([], [], False)
        stops = self.harness.tracker.list_stop_requests()
        self.assertEqual(len(stops), TASKS)

    # Guards against a second lasting task that is stopped while the end of
    # the first is on the next page.
    def test_a_lasting_run_that_is_left_out_is_not_ready(self) -> None:
        self.start(LASTING)
        record = self.harness.tracker.jobs["j"]
        keys = list(record.tasks)
        self.harness.clock.now += 10.0
        listed = self.harness.list_runs("w1")
        self.answer([], listed, True)
        self.assertTrue(
            self.harness.tracker.allows_disruption(record, keys[0])
        )
        self.answer([], listed[:-1], True)
        self.assertFalse(
            self.harness.tracker.allows_disruption(record, keys[0])
        )

    # The next page is asked for at once.
    def test_the_next_call_does_not_wait(self) -> None:
        unused: Any = None
        sessions = WorkerSessions(
            unused,
            self.harness.tracker,
            unused,
            unused,
            unused,
            self.harness.clock,
            SessionSettings(),
        )
        worker = self.harness.get_worker("w1")
        self.answer([RunEnd(1, "j.0.0.0", 1, "done", "")], [], True)
        worker.stored_end = 1
        self.assertEqual(sessions._choose_wait(worker), 0.0)
        # A worker that lists the same ends again is not asked in a loop.
        worker.acknowledged_end = 1
        self.assertGreater(sessions._choose_wait(worker), 0.0)


class ReadEndsTest(unittest.TestCase):
    """An answer with as many ends as fit may leave others out."""

    def test_a_full_page(self) -> None:
        self.assertTrue(_read_hold(encode_answer(MAX_ENDS)).has_more_ends)

    def test_fewer_ends(self) -> None:
        answer = _read_hold(encode_answer(MAX_ENDS - 1))
        self.assertFalse(answer.has_more_ends)
        self.assertFalse(replace(answer, ends=()).has_more_ends)
