"""Tests estimated sizes and the throttling of overcommitted workers."""

import unittest
from dataclasses import replace

from chestnutstair.coordination.throttle import (
    RunningTask,
    ThrottleSettings,
    plan_throttling,
)
from chestnutstair.coordination.usage import UsageModel, UsageSettings
from chestnutstair.standins.memory_workers import TaskBehaviour
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources
from chestnutstair.state.task import TaskName
from chestnutstair.tests.test_task_controller import ControllerCase

WHOLE = Resources(64, 256)
DECLARED = Resources(20, 40)


def build_job(name: str) -> Job:
    """Return a job that declares 20 cores and 40 GB."""
    return Job(name, "toys", "boxes", "normal", DECLARED, 60.0, 9)


class UsageModelTest(unittest.TestCase):
    """Sizes come from the job, else its team, else the declaration."""

    def setUp(self) -> None:
        self.model = UsageModel(UsageSettings())

    def learn(self, name: str, used: Resources, seconds: float = 60) -> None:
        for index in range(3):
            task = TaskName(name, index)
            self.model.record_usage(build_job(name), task, used, seconds)

    def estimate_size(self, name: str) -> Resources:
        return self.model.estimate_size(build_job(name), WHOLE)

    def test_learns_the_size_of_a_job(self) -> None:
        self.learn("a", Resources(15, 30))
        size = self.estimate_size("a")
        self.assertAlmostEqual(size.cores, 18)
        self.assertAlmostEqual(size.memory_gb, 36)
        self.learn("a", Resources(18, 30))
        self.assertAlmostEqual(self.estimate_size("a").cores, 21.6)

    def test_ignores_reports_that_lag_behind_the_start(self) -> None:
        self.learn("a", Resources(1, 1), seconds=5)
        self.assertEqual(self.estimate_size("a"), DECLARED)

    def test_bounds_overcommit(self) -> None:
        self.learn("a", Resources(1, 1))
        self.assertEqual(self.estimate_size("a"), Resources(10, 20))

    def test_estimates_no_more_than_the_largest_worker(self) -> None:
        self.learn("a", Resources(60, 300))
        self.assertEqual(self.estimate_size("a"), WHOLE)

    def test_estimates_new_jobs_from_their_team(self) -> None:
        for index in range(5):
            self.learn(f"job-{index}", Resources(10, 20))
        self.assertEqual(self.estimate_size("new"), Resources(13, 26))


class ThrottlingTest(unittest.TestCase):
    """Only tasks beyond their size are throttled, least urgent first."""

    def plan_shares(self, *tasks: RunningTask) -> dict[int, float]:
        plan = plan_throttling(WHOLE, tasks, ThrottleSettings())
        return {task.index: share for task, share in plan.shares.items()}

    def build(
        self, index: int, rank: int, cores: float, share: float = 1.0
    ) -> RunningTask:
        used = Resources(cores, 1)
        task = TaskName("build", index)
        return RunningTask(task, rank, Resources(20, 40), used, share)

    def test_throttles_the_least_urgent_task_to_its_size(self) -> None:
        tasks = [self.build(0, 0, 30), self.build(1, 2, 40)]
        self.assertEqual(self.plan_shares(*tasks), {1: 0.5})

    def test_scales_sizes_that_exceed_the_worker(self) -> None:
        tasks = [self.build(index, 1, 20) for index in range(4)]
        self.assertEqual(list(self.plan_shares(*tasks).values()), [0.8] * 4)

    def test_ends_throttling_when_load_falls(self) -> None:
        tasks = [self.build(0, 0, 20), self.build(1, 2, 20, 0.5)]
        self.assertEqual(self.plan_shares(*tasks), {1: 1.0})
        tasks.append(self.build(2, 2, 10))
        self.assertEqual(self.plan_shares(*tasks), {})

    def test_stops_a_task_for_memory(self) -> None:
        oversized = replace(self.build(0, 2, 1), used=Resources(1, 220))
        fitting = replace(self.build(1, 2, 1), used=Resources(1, 39))
        plan = plan_throttling(WHOLE, [oversized, fitting], ThrottleSettings())
        self.assertEqual(plan.task_to_stop, oversized.task)


class OvercommitTest(ControllerCase):
    """Overcommit follows the reported use, and overload is throttled."""

    def test_overcommits_by_use_and_throttles_overload(self) -> None:
        def behave(cores: float) -> None:
            used = Resources(cores, 10)
            self.workers.behaviours["build"] = TaskBehaviour(900.0, used=used)

        behave(10)
        self.submit(self.build_job(count=64))
        self.run_rounds(120)
        self.assertEqual(self.count()["running"], 32)  # 16 by declared size
        behave(30)
        self.run_rounds(10)
        shares = {run.share for run in self.workers.runs.values()}
        self.assertLess(min(shares), 1.0)
        behave(5)
        self.run_rounds(10)
        shares = {run.share for run in self.workers.runs.values()}
        self.assertEqual(shares, {1.0})
