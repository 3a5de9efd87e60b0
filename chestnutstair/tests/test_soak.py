"""A short soak with a fixed seed, and what its judge must not let pass."""

import tempfile
import unittest
from pathlib import Path

from chestnutstair.tests.platform_emulator import EmulatedRunner
from tools.soak import Soak
from tools.soak_judge import SoakJudge

SEED = 1
SECONDS = 8.0
NODES = 2
TASK = "0123456789abcdef.0.0.1"


class SoakTest(unittest.TestCase):
    """Real processes, signals, a proxy and the emulated platform."""

    def test_promises_are_kept_under_faults(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(SEED, NODES, Path(folder))
            soak.run(SECONDS)
        self.assertEqual(soak.judge.broken, [], soak.faults)
        self.assertTrue(soak.faults)
        self.assertTrue(soak.judge.list_accepted())


class SoakJudgeTest(unittest.TestCase):
    """Each promise is seen to be broken when it is."""

    def setUp(self) -> None:
        self.runners = {
            name: EmulatedRunner(name, f"m-{name}", "boxes")
            for name in ("r1", "r2")
        }
        self.judge = SoakJudge(self.runners)
        self.first, self.second = self.runners.values()

    def assert_broken(self, words: str) -> None:
        self.assertEqual(len(self.judge.broken), 1, self.judge.broken)
        self.assertIn(words, self.judge.broken[0])

    def test_a_task_that_runs_twice_at_once(self) -> None:
        self.first.runs[TASK] = (1, float("inf"), False)
        self.first.lease_ms = self.first.read_clock() + 60_000
        self.judge.on_started(self.second, TASK)
        self.assert_broken("runs on")

    def test_a_run_whose_lease_has_lapsed_is_over(self) -> None:
        self.first.runs[TASK] = (1, float("inf"), False)
        self.judge.on_started(self.second, TASK)
        self.assertEqual(self.judge.broken, [])

    def test_a_task_that_begins_again_after_it_was_done(self) -> None:
        self.judge.on_ended(self.first, TASK, "done")
        self.judge.on_end_acknowledged(self.first, TASK, "done")
        self.judge.on_started(self.second, TASK)
        self.assert_broken("after it was done")

    def test_an_end_that_lapsed_unseen_binds_nobody(self) -> None:
        self.judge.on_ended(self.first, TASK, "done")
        self.judge.on_lease_expired(self.first)
        self.judge.on_started(self.second, TASK)
        self.assertEqual(self.judge.broken, [])

    def test_a_step_that_begins_before_its_turn(self) -> None:
        self.judge.on_started(self.first, "0123456789abcdef.0.1.0")
        self.assert_broken("waits for")

    def test_a_job_that_was_refused_each_time(self) -> None:
        self.judge.note_answer("0123456789abcdef", "refused")
        self.judge.on_started(self.first, TASK)
        self.judge.check_refusals()
        self.assert_broken("was refused")

    def test_a_job_that_was_accepted_and_is_lost(self) -> None:
        self.judge.note_answer("0123456789abcdef", "accepted")
        self.judge.note_state("0123456789abcdef", "queued")
        self.assert_broken("is shown as queued")

    def test_a_job_that_is_shown_as_completed_and_was_never_run(self) -> None:
        self.judge.note_state("0123456789abcdef", "completed")
        self.assert_broken("never run")
