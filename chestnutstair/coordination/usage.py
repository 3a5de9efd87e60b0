"""Estimates the resources that tasks of a job use, from reports.

Reports lag behind the actual use.
"""

import statistics
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, replace

from chestnutstair.state.codec import STRICT
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import (
    NO_RESOURCES,
    Resources,
    max_resources,
    min_resources,
)
from chestnutstair.state.task import TaskName

__all__ = ["UsageModel", "UsageSettings"]


@dataclass(frozen=True)
class UsageSettings:
    """How the size reserved for a task is estimated from reports.

    The size is estimated from the job's own tasks, or else from the jobs
    of its team; without enough reports it is the declared size.

    - `settle_seconds`: how long a task must have run before its reports
      count.
    - `task_count`: the number of tasks with reports after which a job is
      estimated from its own tasks.
    - `margin`: the size is the highest use of the job's tasks times
      1 + `margin`.
    - `team_job_count`: the number of jobs after which new jobs of a team
      are estimated from the team.
    - `team_quantile`: new jobs are estimated by this quantile (0 to 1) of
      the ratios of used to declared resources of the team's jobs.
    - `team_margin`: the estimate from the team is that quantile times
      1 + `team_margin`.
    - `overcommit_limit`: an estimate is at least the declared size
      divided by this limit, so that the declared sizes of a worker's
      tasks add up to at most this many times the worker's size.
    - `team_memory_jobs`: how many of a team's latest jobs are remembered.
    """

    __pydantic_config__ = STRICT

    settle_seconds: float = 10.0
    task_count: int = 3
    margin: float = 0.2
    team_job_count: int = 5
    team_quantile: float = 0.9
    team_margin: float = 0.3
    overcommit_limit: float = 2.0
    team_memory_jobs: int = 50


def _scale(size: Resources, cores: float, memory: float) -> Resources:
    """Return the size with cores and memory scaled."""
    return Resources(
        size.cores * cores, size.memory_gb * memory, size.accelerators
    )


@dataclass(frozen=True)
class _JobUsage:
    """The highest use of a job's tasks, and the tasks that reported."""

    peak: Resources = NO_RESOURCES
    tasks: frozenset[TaskName] = frozenset()


class UsageModel:
    """Estimates a task's size from its job, its team or the declaration.

    Accelerators are whole devices, so they are always as declared.
    """

    def __init__(self, settings: UsageSettings) -> None:
        self._settings = settings
        self._jobs: dict[str, _JobUsage] = {}
        self._sizes: dict[str, tuple[Job, Resources, Resources]] = {}
        self._teams: dict[str, deque[tuple[float, float]]] = {}

    def record_usage(
        self, job: Job, task: TaskName, used: Resources, run_seconds: float
    ) -> None:
        """Record what a task reported after running for the given time."""
        if run_seconds < self._settings.settle_seconds or not used.cores:
            return
        previous = self._jobs.get(job.name, _JobUsage())
        tasks = previous.tasks
        if len(tasks) < self._settings.task_count:
            tasks = tasks | {task}
        usage = _JobUsage(max_resources(previous.peak, used), tasks)
        if usage == previous:
            return
        self._jobs[job.name] = usage
        self._sizes.pop(job.name, None)
        if len(tasks) > len(previous.tasks) and self._has_own_estimate(
            job.name
        ):
            self._record_team_ratio(job)

    def retain_jobs(self, jobs: Collection[str]) -> None:
        """Drop the data of all jobs except these, but keep that of teams."""
        for job in self._jobs.keys() - jobs:
            del self._jobs[job]
        for job in self._sizes.keys() - jobs:
            del self._sizes[job]

    def _has_own_estimate(self, job: str) -> bool:
        usage = self._jobs.get(job)
        return (
            usage is not None and len(usage.tasks) >= self._settings.task_count
        )

    def _record_team_ratio(self, job: Job) -> None:
        peak, declared = self._jobs[job.name].peak, job.resources
        length = self._settings.team_memory_jobs
        self._sizes.clear()
        ratios = self._teams.setdefault(job.team, deque(maxlen=length))
        ratios.append(
            (
                peak.cores / (declared.cores or 1.0),
                peak.memory_gb / (declared.memory_gb or 1.0),
            )
        )

    def estimate_size(self, job: Job, largest: Resources) -> Resources:
        """Return the size to reserve for a task of the job.

        It is at most `largest`, the size of the largest worker, unless
        the job declares more.
        """
        cached = self._sizes.get(job.name)
        if cached is not None and cached[0] is job and cached[1] is largest:
            return cached[2]
        size = self._compute_size(job, largest)
        self._sizes[job.name] = (job, largest, size)
        return size

    def _compute_size(self, job: Job, largest: Resources) -> Resources:
        if self._has_own_estimate(job.name):
            scale = 1 + self._settings.margin
            estimate = _scale(self._jobs[job.name].peak, scale, scale)
        else:
            estimate = self._estimate_from_team(job)
        share = 1 / self._settings.overcommit_limit
        size = max_resources(estimate, _scale(job.resources, share, share))
        size = min_resources(size, max_resources(largest, job.resources))
        return replace(size, accelerators=job.resources.accelerators)

    def _estimate_from_team(self, job: Job) -> Resources:
        ratios = self._teams.get(job.team, ())
        if len(ratios) < self._settings.team_job_count:
            return job.resources
        scale = 1 + self._settings.team_margin
        cores, memory = (
            self._find_quantile([ratio[index] for ratio in ratios]) * scale
            for index in (0, 1)
        )
        return _scale(job.resources, cores, memory)

    def _find_quantile(self, values: list[float]) -> float:
        parts = statistics.quantiles(values, n=100, method="inclusive")
        return parts[round(100 * self._settings.team_quantile) - 1]
