"""Backs overcommit off when a worker's tasks use more than it has."""

from collections.abc import Sequence
from dataclasses import dataclass

from chestnutstair.state.codec import STRICT
from chestnutstair.state.resource import NO_RESOURCES, Resources
from chestnutstair.state.task import TaskName

__all__ = ["RunningTask", "ThrottleSettings", "ThrottlePlan", "plan_throttling"]


@dataclass(frozen=True)
class ThrottleSettings:
    """When tasks are throttled, in shares of their worker's size.

    Above `high` of the cores, tasks that use more than their size (or
    their part of the worker, if the sizes exceed it) are cut to it, the
    least urgent first; below `low` they are let go again.
    Above `memory_high` of the memory the least urgent such task is
    stopped, as memory can not be throttled.
    """

    __pydantic_config__ = STRICT

    high: float = 1.0
    low: float = 0.7
    memory_high: float = 0.98


@dataclass(frozen=True)
class RunningTask:
    """A task as its worker reports it; `share` is that set last."""

    task: TaskName
    rank: int
    size: Resources
    used: Resources
    share: float


@dataclass(frozen=True)
class ThrottlePlan:
    """New shares of processor time by task, and a task to stop."""

    shares: dict[TaskName, float]
    task_to_stop: TaskName | None = None


def _choose_task_to_stop(
    whole: Resources,
    total: Resources,
    tasks: Sequence[RunningTask],
    settings: ThrottleSettings,
) -> TaskName | None:
    if total.memory_gb <= settings.memory_high * whole.memory_gb:
        return None
    over = [
        item for item in tasks if item.used.memory_gb > item.size.memory_gb
    ]
    worst = max(
        over,
        key=lambda item: (
            item.rank,
            item.used.memory_gb - item.size.memory_gb,
        ),
        default=None,
    )
    return None if worst is None else worst.task


def plan_throttling(
    whole: Resources, tasks: Sequence[RunningTask], settings: ThrottleSettings
) -> ThrottlePlan:
    """Return what to change on a worker of the given size."""
    total = NO_RESOURCES
    for item in tasks:
        total += item.used
    shares: dict[TaskName, float] = {}
    if total.cores < settings.low * whole.cores:
        shares = {item.task: 1.0 for item in tasks if item.share < 1.0}
    excess = total.cores - settings.high * whole.cores
    allocated = sum(item.size.cores for item in tasks)
    scale = min(1.0, whole.cores / allocated) if allocated else 1.0
    for item in sorted(tasks, key=lambda item: -item.rank):
        fair = scale * item.size.cores
        if excess > 0 and item.used.cores > fair:
            shares[item.task] = item.share * fair / item.used.cores
            excess -= item.used.cores - fair
    task_to_stop = _choose_task_to_stop(whole, total, tasks, settings)
    return ThrottlePlan(shares, task_to_stop)
