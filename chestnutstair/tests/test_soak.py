"""Tests a short soak with a fixed seed, and the checks of its judge."""

import tempfile
import time
import unittest
from pathlib import Path
from unittest.mock import patch

from chestnutstair.tests.platform_emulator import EmulatedRunner
from tools.soak import LateWriteSoak, Soak
from tools.soak_judge import CANCEL_SECONDS, CONTACT_SECONDS, SoakJudge

SEED = 1
SECONDS = 8.0
LATE_WRITE_SECONDS = 11.5  # one window
NODES = 2
TASK = "0123456789abcdef.0.0.1"


class SoakTest(unittest.TestCase):
    """Real node processes under faults, with the emulated platform."""

    def test_guarantees_hold_under_faults(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(SEED, NODES, Path(folder))
            soak.run(SECONDS)
        self.assertEqual(soak.judge.violations, [], soak.faults)
        self.assertTrue(soak.faults)
        self.assertTrue(soak.judge.list_accepted())

    # Guards against jobs that run after their cancellation, as the write of
    # their submission was performed later.
    def test_cancelled_jobs_do_not_run_after_late_writes(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = LateWriteSoak(SEED, NODES, Path(folder))
            soak.run(LATE_WRITE_SECONDS)
        self.assertEqual(soak.judge.violations, [], soak.faults)
        self.assertTrue(soak.faults)
        self.assertTrue(soak.judge.list_cancelled())


class SoakJudgeTest(unittest.TestCase):
    """Violations of each guarantee are detected."""

    def setUp(self) -> None:
        self.runners = {
            name: EmulatedRunner(name, f"m-{name}", "boxes")
            for name in ("r1", "r2")
        }
        self.judge = SoakJudge(self.runners)
        self.first, self.second = self.runners.values()

    def assert_violation(self, words: str) -> None:
        self.assertEqual(len(self.judge.violations), 1, self.judge.violations)
        self.assertIn(words, self.judge.violations[0])

    def test_a_task_that_runs_twice_at_once(self) -> None:
        self.first.runs[TASK] = (1, float("inf"), False)
        self.first.lease_ms = self.first.read_clock() + 60_000
        self.judge.on_started(self.second, TASK)
        self.assert_violation("runs on")

    def test_a_run_with_an_expired_lease_has_ended(self) -> None:
        self.first.runs[TASK] = (1, float("inf"), False)
        self.judge.on_started(self.second, TASK)
        self.assertEqual(self.judge.violations, [])

    def test_a_task_that_restarts_after_completion(self) -> None:
        self.judge.on_ended(self.first, TASK, "done")
        self.judge.on_end_acknowledged(self.first, TASK, "done")
        self.judge.on_started(self.second, TASK)
        self.assert_violation("after it was done")

    def test_an_unacknowledged_end_allows_a_rerun_after_lease_expiry(
        self,
    ) -> None:
        self.judge.on_ended(self.first, TASK, "done")
        self.judge.on_lease_expired(self.first)
        self.judge.on_started(self.second, TASK)
        self.assertEqual(self.judge.violations, [])

    def test_a_step_that_starts_before_its_prerequisite(self) -> None:
        self.judge.on_started(self.first, "0123456789abcdef.0.1.0")
        self.assert_violation("waits for")

    def test_a_task_that_starts_long_after_its_cancellation(self) -> None:
        job = TASK.partition(".")[0]
        with patch.object(time, "monotonic", return_value=100.0):
            self.judge.record_cancelled(job)
        now = 100.0 + CANCEL_SECONDS
        with patch.object(time, "monotonic", return_value=now):
            self.judge.on_started(self.first, TASK)
        self.assertEqual(self.judge.violations, [])
        now += 0.1
        with patch.object(time, "monotonic", return_value=now):
            self.judge.impaired_at = now - CONTACT_SECONDS
            self.judge.on_started(self.first, TASK)
            self.assertEqual(self.judge.violations, [])
            self.judge.impaired_at -= 0.1
            self.judge.on_started(self.first, TASK)
        self.assert_violation("after its cancellation")

    def test_a_job_that_was_refused_each_time(self) -> None:
        self.judge.record_answer("0123456789abcdef", "refused")
        self.judge.on_started(self.first, TASK)
        self.judge.check_refused_jobs()
        self.assert_violation("was refused")

    def test_a_job_that_was_accepted_and_is_lost(self) -> None:
        self.judge.record_answer("0123456789abcdef", "accepted")
        self.judge.check_final_state("0123456789abcdef", "queued")
        self.assert_violation("is shown as queued")

    def test_a_job_that_is_shown_as_completed_and_was_never_run(self) -> None:
        self.judge.check_final_state("0123456789abcdef", "completed")
        self.assert_violation("never run")
