"""Learns from lagging reports how much tasks of a job really use."""

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
    """How learned sizes are made from reports.

    Reports count once a task has run for `settle_seconds`. A job is
    known after `task_count` tasks, a team after `team_job_count` jobs.
    The size of a task is the highest use seen times 1 + `margin` (for
    teams, of the `team_quantile` of jobs times 1 + `team_margin`), but
    at least the declared size over `overcommit_limit`, so that what tasks
    of a worker declare is at most that many times its size.
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
    """The highest use of a job's tasks, each task counted once."""

    peak: Resources = NO_RESOURCES
    tasks: frozenset[TaskName] = frozenset()


class UsageModel:
    """Sizes by job, then by team, then as declared.

    Accelerators are whole devices and are always as declared.
    """

    def __init__(self, settings: UsageSettings) -> None:
        self._settings = settings
        self._jobs: dict[str, _JobUsage] = {}
        self._sizes: dict[str, tuple[Job, Resources, Resources]] = {}
        self._teams: dict[str, deque[tuple[float, float]]] = {}

    def record_usage(
        self, job: Job, task: TaskName, used: Resources, run_seconds: float
    ) -> None:
        """Note one report of a task that has run for the given time."""
        if run_seconds < self._settings.settle_seconds or not used.cores:
            return
        known = self._jobs.get(job.name, _JobUsage())
        tasks = known.tasks
        if len(tasks) < self._settings.task_count:
            tasks = tasks | {task}
        usage = _JobUsage(max_resources(known.peak, used), tasks)
        if usage == known:
            return
        self._jobs[job.name] = usage
        self._sizes.pop(job.name, None)
        if len(tasks) > len(known.tasks) and self._is_known(job.name):
            self._record_team_ratio(job)

    def retain_jobs(self, jobs: Collection[str]) -> None:
        """Drop what is known of jobs other than these."""
        for job in self._jobs.keys() - jobs:
            del self._jobs[job]
        for job in self._sizes.keys() - jobs:
            del self._sizes[job]

    def _is_known(self, job: str) -> bool:
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
        """Return what a task of the job is given.

        It is never more than `largest`, the size of the biggest worker,
        unless the job declares more.
        """
        known = self._sizes.get(job.name)
        if known is not None and known[0] is job and known[1] is largest:
            return known[2]
        size = self._compute_size(job, largest)
        self._sizes[job.name] = (job, largest, size)
        return size

    def _compute_size(self, job: Job, largest: Resources) -> Resources:
        if self._is_known(job.name):
            scale = 1 + self._settings.margin
            learned = _scale(self._jobs[job.name].peak, scale, scale)
        else:
            learned = self._estimate_from_team(job)
        share = 1 / self._settings.overcommit_limit
        size = max_resources(learned, _scale(job.resources, share, share))
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
