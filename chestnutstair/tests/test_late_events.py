"""Tests of answers that arrive after their worker has been replaced."""

import unittest
from dataclasses import replace
from typing import Any

from chestnutstair.scheduling.orders import OrderSender, OrderSettings
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    RunEnd,
    RunListing,
    WrongIncarnationFailure,
)
from chestnutstair.scheduling.progress import JobState, TaskKey
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import (
    TrackerHarness,
    build_entry,
    build_submission,
)

KEY = TaskKey(0, 0, 0)


class LateEventTest(unittest.TestCase):
    """One worker with a run."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.tracker = self.harness.tracker
        self.harness.clock.now += 20.0  # no lease of an earlier leader lasts
        self.harness.answer_all()
        submission = build_submission(
            "j", [Step(1, 1000)], at_ms=int(self.harness.clock.now * 1000)
        )
        self.tracker.admit(replace(submission, organisation="owner"))
        self.record = self.tracker.jobs["j"]
        (self.placement,) = self.harness.plan()
        self.worker = self.harness.get_worker("w1")

    def test_a_late_refusal_does_not_mark_the_next_incarnation_gone(
        self,
    ) -> None:
        # Guards against a worker that gets no tasks, and whose drain is
        # dropped, until its next registry entry: a start for the incarnation
        # before it was answered 421 after it had registered.
        unused: Any = None
        sender = OrderSender(
            unused,
            self.tracker,
            unused,
            self.harness.advice,
            unused,
            self.harness.clock,
            OrderSettings(),
        )
        self.tracker.apply_worker_entry(replace(build_entry("w1"), born_ms=2))
        self.harness.answer("w1", born_ms=2)
        task = self.record.name_task(KEY)
        sender._handle_failed_start(
            self.placement, task, WrongIncarnationFailure()
        )
        sender.close()
        self.assertFalse(self.harness.get_worker("w1").gone)

    def test_a_late_listing_of_an_ended_worker_reserves_nothing(self) -> None:
        # Guards against an organisation that is held to its cap by runs which
        # do not exist: a hold call was answered after the worker had been
        # given up, and what it listed counted for the rest of the term.
        self.harness.start_all([self.placement])
        answer = HoldAnswer(
            int(self.harness.clock.now * 1000),
            1,
            (RunListing(self.record.name_task(KEY), 1, "", 100),),
            (),
        )
        sent = self.harness.clock.now
        self.worker.unresponsive = True
        self.tracker.mark_worker_gone("w1")
        self.harness.clock.now += 8.0
        self.tracker.release_expired()
        self.assertNotIn("w1", self.tracker.workers)
        self.tracker.apply_hold_answer(self.worker, answer, sent)
        used = self.tracker.usage.get_in_pool("owner", "boxes")
        self.assertEqual(used.millicores, 0)

    def test_a_late_end_at_an_ended_worker_counts(self) -> None:
        # Guards against work that is done again: a task had ended before its
        # worker was given up, and only the answer that says so was late.
        self.harness.start_all([self.placement])
        end = RunEnd(1, self.record.name_task(KEY), 1, "done", "")
        now_ms = int(self.harness.clock.now * 1000)
        answer = HoldAnswer(now_ms, 1, (), (end,))
        sent = self.harness.clock.now
        self.worker.unresponsive = True
        self.tracker.mark_worker_gone("w1")
        self.harness.clock.now += 8.0
        self.tracker.release_expired()
        self.tracker.apply_hold_answer(self.worker, answer, sent)
        self.assertIs(self.record.ended, JobState.COMPLETED)

    def test_a_move_that_ends_runs_is_no_crash_of_their_tasks(self) -> None:
        # Guards against jobs that are given up without cause (LOST): an order
        # carried out late ended a worker with runs, its next worker registered
        # in another pool, and the tasks were blamed for a crash.
        self.harness.start_all([self.placement])
        self.worker.unresponsive = True
        self.harness.clock.now += 1.5
        self.tracker.apply_worker_entry(
            replace(build_entry("w1-next", "other"), born_ms=2, vm="vm-w1")
        )
        self.harness.answer("w1-next", born_ms=2)
        self.tracker.release_expired()
        self.assertNotIn("w1", self.tracker.workers)
        self.assertEqual(self.record.get_task(KEY).crashed_runs, ())

    def test_a_worker_whose_clock_was_set_back_is_used(self) -> None:
        # Guards against a VM that is never used again: its next worker had an
        # earlier start by its clock than the one before, counted as replaced
        # by that one, and could not register any more.
        self.tracker.apply_worker_entry(
            replace(build_entry("w1"), born_ms=90_000)
        )
        self.harness.answer("w1", born_ms=90_000)
        self.harness.get_worker("w1").unresponsive = True
        entry = replace(build_entry("w1-next"), born_ms=89_000, vm="vm-w1")
        for _ in range(40):
            self.harness.clock.now += 0.5
            self.tracker.apply_worker_entry(entry)
            self.tracker.release_expired()  # before its first answer
            if "w1-next" in self.tracker.workers:
                self.harness.answer("w1-next", born_ms=89_000)
        self.assertIn("w1-next", self.tracker.workers)


if __name__ == "__main__":
    unittest.main()
