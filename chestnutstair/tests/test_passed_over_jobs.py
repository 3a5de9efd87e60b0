"""Tests of how long jobs are passed over where there is too little room."""

import unittest
from dataclasses import replace

from chestnutstair.scheduling.progress import JobRecord, Lateness
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.urgency import (
    PASSED_OVER_INTERVAL,
    Prospect,
)
from chestnutstair.tests.scheduling_support import (
    CONFIGURATION,
    TrackerHarness,
    build_submission,
)

WHOLE_WORKER = 64_000


class PassedOverTest(unittest.TestCase):
    """One worker, which has room for one job at a time."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.ended = 0

    def run_second(self) -> list[str]:
        """Start what fits, and end it a second later; return the jobs."""
        placements = self.harness.plan()
        self.harness.start_all(placements)
        self.harness.clock.now += 1.0
        for placement in placements:
            self.ended += 1
            self.harness.end(placement, "done", self.ended)
        return [placement.record.name for placement in placements]

    def test_a_waiting_job_is_not_passed_over_by_all_later_ones(self) -> None:
        # Guards against a job that starts only once demand ends: a new job
        # that can use its whole stretch went before one that had waited for
        # longer than the target latency, however many of them came. Tasks take
        # half of their estimate, so that all jobs can be in time in turn.
        def admit(name: str) -> JobRecord:
            steps = [Step(1, WHOLE_WORKER, estimate_ms=2000)]
            return self.harness.admit(name, steps)

        admit("first")
        waiting = admit("waiting")
        started = []
        for number in range(PASSED_OVER_INTERVAL + 1):
            started += self.run_second()
            if waiting.started:
                break
            admit(f"later-{number}")
        self.assertTrue(waiting.started, f"passed over by {len(started)}")

    def test_a_job_that_fits_nowhere_leaves_its_part_to_the_next(
        self,
    ) -> None:
        # Guards against a job that can never start and, being due first,
        # keeps all others that are passed over waiting.
        def admit(name: str, millicores: int) -> JobRecord:
            steps = [Step(1, millicores, estimate_ms=2000)]
            return self.harness.admit(name, steps)

        admit("too-large", 2 * WHOLE_WORKER)
        admit("first", WHOLE_WORKER)
        waiting = admit("waiting", WHOLE_WORKER)
        for number in range(PASSED_OVER_INTERVAL + 3):
            self.run_second()
            admit(f"later-{number}", WHOLE_WORKER)
        self.assertTrue(waiting.started)

    def test_a_job_that_has_begun_does_not_hold_up_one_that_is_due(
        self,
    ) -> None:
        # Guards against late short jobs: a long job that had begun took all
        # room for its 20 tasks, although it was due 15 s later.
        steps = [
            Step(
                1,
                WHOLE_WORKER,
                estimate_ms=1000,
                after=(number - 1,) if number else (),
            )
            for number in range(20)
        ]
        self.harness.admit("long", steps)
        self.assertEqual(self.run_second(), ["long"])
        short = self.harness.admit(
            "short", [Step(1, WHOLE_WORKER, estimate_ms=500)]
        )
        self.assertEqual(self.run_second(), ["short"])
        self.assertIs(short.lateness, Lateness.IN_TIME)


class OccurrenceTest(unittest.TestCase):
    """A job that repeats."""

    def test_an_occurrence_that_has_not_begun_is_not_ranked_as_begun(
        self,
    ) -> None:
        # Guards against jobs that repeat going before all others: their first
        # occurrence counted as the begin of each later one.
        harness = TrackerHarness(("w1",))
        now_ms = int(harness.clock.now * 1000)
        submission = build_submission(
            "j", [Step(1, 1000, estimate_ms=1000)], at_ms=now_ms
        )
        specification = replace(
            submission.specification,
            occurrences=3,
            first_due_ms=now_ms - 1000,
            interval_ms=10_000,
        )
        harness.tracker.admit(replace(submission, specification=specification))
        record = harness.tracker.jobs["j"]
        (placement,) = harness.plan()
        harness.start_all([placement])
        harness.end(placement, "done")
        harness.clock.now += 10.1
        harness.answer_all()
        queue = CONFIGURATION.find_queue_by_name("quick")
        assert queue is not None
        urgency = harness.planner.compute_urgency(
            record, queue, harness.clock.now * 1000
        )
        self.assertEqual(record.current_occurrence, 1)
        self.assertIsNot(urgency.prospect, Prospect.BEGUN)


if __name__ == "__main__":
    unittest.main()
