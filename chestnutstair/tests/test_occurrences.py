"""Tests of jobs whose steps run repeatedly, at set times."""

import unittest
from dataclasses import replace

from chestnutstair.scheduling.load import measure_loads
from chestnutstair.scheduling.placement import Placement, PlacementSettings
from chestnutstair.scheduling.progress import (
    JobRecord,
    JobState,
    Lateness,
    TaskKey,
)
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import (
    TrackerHarness,
    build_submission,
)

INTERVAL_MS = 2000
FIRST_SECONDS = 1.0
TIMES = 3


class OccurrencesTest(unittest.TestCase):
    """A job of two steps that runs three times, two seconds apart."""

    def setUp(self) -> None:
        self.harness = TrackerHarness()
        steps = [Step(1, 1000), Step(1, 1000, after=(0,))]
        now_ms = int(self.harness.clock.now * 1000)
        submission = build_submission("j", steps, at_ms=now_ms)
        self.first_ms = now_ms + int(FIRST_SECONDS * 1000)
        specification = replace(
            submission.specification,
            occurrences=TIMES,
            first_due_ms=self.first_ms,
            interval_ms=INTERVAL_MS,
        )
        self.harness.tracker.admit(
            replace(submission, specification=specification)
        )
        self.record: JobRecord = self.harness.tracker.jobs["j"]
        self.ends = {"w1": 0, "w2": 0}

    def advance(self, seconds: float) -> None:
        self.harness.clock.now += seconds
        self.harness.answer_all()

    def run_all(self, placed: list[Placement]) -> None:
        """Start and finish the given runs."""
        self.harness.start_all(placed)
        for placement in placed:
            name = placement.worker.name
            self.ends[name] += 1
            self.harness.end(placement, "done", self.ends[name])

    def run_ready(self) -> list[TaskKey]:
        """Start and finish all tasks that are ready; return their keys."""
        keys = []
        while placed := self.harness.plan():
            self.run_all(placed)
            keys += [placement.key for placement in placed]
        return keys

    def test_nothing_starts_before_it_is_due(self) -> None:
        self.advance(FIRST_SECONDS - 0.01)
        self.assertEqual(self.harness.plan(), [])

    def test_a_clock_that_is_a_little_ahead_starts_nothing_early(self) -> None:
        margin = PlacementSettings.due_margin_ms / 1000
        self.advance(FIRST_SECONDS + margin - 0.01)
        self.assertEqual(self.harness.plan(), [])

    def test_each_occurrence_runs_once_when_it_is_due(self) -> None:
        seen = []
        for _ in range(8):
            self.advance(1.1)
            seen += self.run_ready()
        expected = [
            TaskKey(occurrence, step, 0)
            for occurrence in range(TIMES)
            for step in range(2)
        ]
        self.assertEqual(seen, expected)
        self.assertIs(self.record.ended, JobState.COMPLETED)

    def test_occurrences_overlap(self) -> None:
        self.advance(FIRST_SECONDS + 2 * INTERVAL_MS / 1000 + 0.1)
        placed = self.harness.plan()
        self.assertEqual(
            [item.key for item in placed],
            [TaskKey(occurrence, 0, 0) for occurrence in range(TIMES)],
        )

    def test_a_job_is_not_completed_before_its_last_occurrence(self) -> None:
        self.advance(FIRST_SECONDS + 0.1)
        self.run_ready()
        self.assertIsNone(self.record.ended)

    def test_a_new_leader_continues_from_stored_progress(self) -> None:
        self.advance(FIRST_SECONDS + 0.1)
        self.run_ready()
        restored = JobRecord(self.record.submission)
        restored.restore(self.record.encode())
        due = self.first_ms + INTERVAL_MS + 1
        self.assertEqual(restored.list_startable_steps(due), [(1, 0)])

    def test_each_occurrence_is_in_time_from_its_own_due_time(self) -> None:
        self.advance(FIRST_SECONDS + 0.1 - INTERVAL_MS / 1000)
        for _ in range(TIMES):
            self.advance(INTERVAL_MS / 1000)
            placed = self.harness.plan()
            self.assertIs(self.record.lateness, Lateness.IN_TIME)
            self.run_all(placed)
            self.run_ready()

    def test_an_occurrence_that_waits_for_room_becomes_late(self) -> None:
        for name in list(self.harness.tracker.workers):
            self.harness.get_worker(name).cordoned = True
        self.advance(FIRST_SECONDS + 30.0)
        self.harness.plan()
        self.assertIs(self.record.lateness, Lateness.USELESS)

    def measure_demand(self) -> tuple[int, int]:
        # Once an occurrence is done and the next not due, nothing is needed,
        # whatever the record knows of the next one.
        now = self.harness.clock.now
        loads = measure_loads(self.harness.tracker, now)
        return (
            sum(load.waiting for load in loads),
            sum(load.coming for load in loads),
        )

    def test_demand_counts_the_due_occurrence(self) -> None:
        self.advance(FIRST_SECONDS + 0.1)
        self.run_ready()
        self.assertEqual(self.measure_demand(), (0, 0))
        for name in list(self.harness.tracker.workers):
            self.harness.get_worker(name).cordoned = True
        self.advance(INTERVAL_MS / 1000)
        self.harness.plan()
        self.assertEqual(self.measure_demand(), (1000, 0))

    def test_a_cancelled_job_has_no_further_occurrences(self) -> None:
        self.advance(FIRST_SECONDS + 0.1)
        self.run_ready()
        self.harness.tracker.cancel("j")
        self.advance(INTERVAL_MS / 1000)
        self.assertEqual(self.harness.plan(), [])
