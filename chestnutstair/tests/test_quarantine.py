"""Tests the handling of bad workers and of jobs that fail everywhere."""

from dataclasses import replace

from chestnutstair.coordination.platform import TaskPhase
from chestnutstair.coordination.quarantine import (
    FailureEvidence,
    QuarantineSettings,
)
from chestnutstair.standins.memory_workers import TaskBehaviour
from chestnutstair.state.fleet import Job
from chestnutstair.state.task import TaskRecord, TaskStage
from chestnutstair.tests.test_task_controller import ControllerCase


class QuarantineTest(ControllerCase):
    """Workers on which many jobs fail are quarantined.

    A job that fails on many workers starts only one task a minute instead.
    """

    def setUp(self) -> None:
        super().setUp()
        for index in range(4):
            behaviour = TaskBehaviour(run_seconds=5.0)
            self.workers.behaviours[f"job-{index}"] = behaviour

    def build_jobs(self, count: int = 30) -> list[Job]:
        return [self.build_job(f"job-{index}", count) for index in range(4)]

    def find_quarantined(self) -> dict[str, float]:
        """Return when the current quarantines end, by worker."""
        rows = self.table.scan("quarantine", "", "~", 99, self.deadline())
        ends = {row.key.key: row.value["until"] for row in rows.unwrap()}
        return {
            key.removeprefix("boxes/"): until
            for key, until in ends.items()
            if until > self.clock.now
        }

    def count_failures(self, worker: str) -> int:
        runs = self.workers.runs.values()
        return sum(
            run.worker == worker and run.phase is TaskPhase.FAILED
            for run in runs
        )

    def test_quarantines_a_worker_that_fails_everything(self) -> None:
        self.workers.failing_workers = {"boxes-3"}
        self.submit(*self.build_jobs())
        self.run_rounds(150)
        self.assertEqual(set(self.find_quarantined()), {"boxes-3"})
        self.assertLessEqual(self.count_failures("boxes-3"), 12)
        for index in range(4):
            self.assertEqual(self.count(f"job-{index}"), {"finished": 30})

    def test_blames_a_job_that_fails_everywhere(self) -> None:
        bad = [self.build_job(f"bad-{index}", 50) for index in range(4)]
        for job in bad:
            self.workers.behaviours[job.name] = TaskBehaviour(fails=True)
        self.submit(*bad, *self.build_jobs())
        self.run_rounds(150)
        self.assertEqual(self.find_quarantined(), {})
        for job in bad:
            blocked = self.get_status(job.name).blocked
            self.assertIn("FailedJobBlock", blocked)
        runs = self.workers.runs.values()
        starts = sum("bad" in run.task for run in runs)
        self.assertLess(
            starts, 30 * len(bad)
        )  # 50 tasks could be tried 4 times
        for index in range(4):
            self.assertEqual(self.count(f"job-{index}"), {"finished": 30})

    def test_ignores_failures_on_excused_workers(self) -> None:
        record = TaskRecord(worker="w3", failed_on=("w0", "w1", "w2"))
        self.assertEqual(record.fail(4).stage, TaskStage.FAILED)
        excused = frozenset(["w0"])
        self.assertEqual(record.fail(4, excused).stage, TaskStage.PENDING)
        evidence = FailureEvidence(QuarantineSettings())
        for worker in ("w0", "w1", "w2"):
            evidence.record_failure(worker, "job")
        self.assertTrue(evidence.is_failing("job", ()))
        self.assertFalse(evidence.is_failing("job", excused))

    def test_never_quarantines_more_than_the_allowed_share(self) -> None:
        self.workers.failing_workers = {f"boxes-{index}" for index in range(5)}
        self.submit(*self.build_jobs(60))
        most = 0
        for _ in range(100):
            self.run_rounds(1)
            most = max(most, len(self.find_quarantined()))
        self.assertEqual(most, 2)

    def test_releases_a_worker_on_probation(self) -> None:
        self.workers.failing_workers = {"boxes-3"}
        for index in range(4):
            self.workers.behaviours[f"job-{index}"] = TaskBehaviour(20.0)
        self.submit(*self.build_jobs(1000))
        self.run_rounds(100)
        until = self.find_quarantined()["boxes-3"]
        failures = self.count_failures("boxes-3")
        self.run_rounds(until - self.clock.now + 40, 4.0)
        again = self.find_quarantined()["boxes-3"]
        self.assertGreater(again, until + 1200)
        self.assertLessEqual(self.count_failures("boxes-3"), failures + 2)
        self.workers.failing_workers.clear()
        self.run_rounds(again - self.clock.now + 60, 4.0)
        rows = self.table.scan("quarantine", "", "~", 9, self.deadline())
        self.assertEqual(rows.unwrap(), ())

    def test_keeps_quarantine_over_a_takeover(self) -> None:
        self.workers.failing_workers = {"boxes-3"}
        self.submit(*self.build_jobs())
        self.run_rounds(100)
        self.assertEqual(set(self.find_quarantined()), {"boxes-3"})
        failures = self.count_failures("boxes-3")
        self.take_over()
        more = replace(self.build_job("more", 100), urgency="urgent")
        self.submit(more)
        self.run_rounds(30)
        self.assertEqual(self.count_failures("boxes-3"), failures)
