"""Tests of the checkpoints from which the members of a gang resume."""

import unittest

from chestnutstair.scheduling.ports import RunEnd, RunListing
from chestnutstair.scheduling.progress import JobRecord, Step, TaskKey
from chestnutstair.tests.scheduling_support import (
    TrackerHarness,
    build_submission,
)

GANG = Step(3, 1000, gang=True, checkpoints=True, spread_limit=1)
WORKERS = ("w1", "w2", "w3", "w4")


class GangCheckpointTest(unittest.TestCase):
    """Guards against a gang whose members resume at different points.

    Each resumed from the checkpoint that was last known of itself, which is
    older for a member whose worker has crashed.
    """

    def setUp(self) -> None:
        self.harness = TrackerHarness(WORKERS)
        self.record = self.harness.admit("j", [GANG])
        self.first = self.harness.plan()
        self.assertEqual(len(self.first), 3)
        self.harness.start_all(self.first)

    def list_run(self, number: int, checkpoint: str) -> None:
        placement = self.first[number]
        task = self.record.name_task(placement.key)
        listing = RunListing(task, placement.run, checkpoint, 100)
        self.harness.answer(placement.worker.name, [listing])

    def end_run(self, number: int, checkpoint: str) -> None:
        placement = self.first[number]
        task = self.record.name_task(placement.key)
        end = RunEnd(1, task, placement.run, "broken", checkpoint)
        self.harness.answer(placement.worker.name, [], [end])

    def crash(self, number: int) -> None:
        """Let the worker of a member begin anew."""
        name = self.first[number].worker.name
        self.harness.answer(name, born_ms=2)
        self.harness.move_entry(name, born_ms=2)
        self.harness.answer(name, born_ms=2)

    def plan_again(self) -> set[str]:
        """Return the checkpoints with which the gang starts again."""
        self.harness.clock.sleep(10.0)
        for name in WORKERS:
            born_ms = self.harness.get_worker(name).entry.born_ms
            self.harness.answer(name, born_ms=born_ms)
        placements = self.harness.plan()
        self.assertEqual(len(placements), 3)
        return {
            self.record.get_task(item.key).checkpoint for item in placements
        }

    def test_one_worker_crashes(self) -> None:
        for number in range(3):
            self.list_run(number, "early")
        self.crash(0)
        self.end_run(1, "late")
        self.end_run(2, "late")
        self.assertEqual(self.plan_again(), {"late"})

    def test_the_crash_is_noticed_last(self) -> None:
        self.list_run(0, "early")
        self.end_run(1, "late")
        self.end_run(2, "late")
        self.crash(0)
        self.assertEqual(self.plan_again(), {"late"})

    def test_a_member_of_which_no_checkpoint_is_known(self) -> None:
        self.list_run(0, "")
        self.end_run(1, "late")
        self.end_run(2, "")
        self.crash(0)
        self.assertEqual(self.plan_again(), {"late"})

    # A checkpoint of any member is valid for the gang.
    def test_a_new_leader_chooses_one_as_well(self) -> None:
        self.list_run(0, "early")
        self.end_run(1, "late")
        self.end_run(2, "late")
        self.crash(0)
        restored = JobRecord(build_submission("j", [GANG]))
        restored.restore(self.record.encode())
        values = {
            restored.get_task(TaskKey(0, 0, index)).checkpoint
            for index in range(3)
        }
        self.assertGreater(len(values), 1)
        self.assertIn(restored.find_gang_checkpoint(0, 0), values - {""})

    def test_other_tasks_resume_from_their_own(self) -> None:
        step = Step(2, 1000, checkpoints=True, spread_limit=1)
        record = self.harness.admit("k", [step])
        placements = self.harness.plan()
        for number, placement in enumerate(placements):
            task = record.name_task(placement.key)
            end = RunEnd(1, task, placement.run, "broken", f"of {number}")
            self.harness.answer(placement.worker.name, [], [end])
        again = self.harness.plan()
        values = {record.get_task(item.key).checkpoint for item in again}
        self.assertEqual(values, {"of 0", "of 1"})
