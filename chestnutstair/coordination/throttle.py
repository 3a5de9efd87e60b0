"""Throttles tasks when an overcommitted worker is overloaded."""

from collections.abc import Sequence
from dataclasses import dataclass

from chestnutstair.state.codec import STRICT
from chestnutstair.state.resource import NO_RESOURCES, Resources
from chestnutstair.state.task import TaskName

__all__ = [
    "RunningTask",
    "ThrottlePlan",
    "ThrottleSettings",
    "plan_throttling",
]


@dataclass(frozen=True)
class ThrottleSettings:
    """When tasks are throttled, as shares of their worker's resources.

    - `high`: above this share of the cores, tasks that use more cores
      than their size are throttled to it, the least urgent first. If the
      sizes of all tasks exceed the worker, they are scaled down to fit.
    - `low`: below this share of the cores, throttling ends.
    - `memory_high`: above this share of the memory, the least urgent task
      that uses more memory than its size is stopped, as memory cannot be
      throttled.
    """

    __pydantic_config__ = STRICT

    high: float = 1.0
    low: float = 0.7
    memory_high: float = 0.98


@dataclass(frozen=True)
class RunningTask:
    """A running task and its last reported use."""

    task: TaskName
    rank: int  # a lower rank is more urgent
    size: Resources
    used: Resources
    share: float  # of processor time, as last set; 1.0 is unthrottled


@dataclass(frozen=True)
class ThrottlePlan:
    """New shares (0 to 1) of processor time by task, and a task to stop."""

    shares: dict[TaskName, float]
    task_to_stop: TaskName | None = None


def _choose_task_to_stop(
    worker_size: Resources,
    total: Resources,
    tasks: Sequence[RunningTask],
    settings: ThrottleSettings,
) -> TaskName | None:
    if total.memory_gb <= settings.memory_high * worker_size.memory_gb:
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
    worker_size: Resources,
    tasks: Sequence[RunningTask],
    settings: ThrottleSettings,
) -> ThrottlePlan:
    """Return which tasks of a worker to throttle, unthrottle or stop.

    `worker_size` is the size of the worker.
    """
    total = NO_RESOURCES
    for item in tasks:
        total += item.used
    shares: dict[TaskName, float] = {}
    if total.cores < settings.low * worker_size.cores:
        shares = {item.task: 1.0 for item in tasks if item.share < 1.0}
    excess = total.cores - settings.high * worker_size.cores
    allocated = sum(item.size.cores for item in tasks)
    scale = min(1.0, worker_size.cores / allocated) if allocated else 1.0
    for item in sorted(tasks, key=lambda item: -item.rank):
        fair = scale * item.size.cores
        if excess > 0 and item.used.cores > fair:
            shares[item.task] = item.share * fair / item.used.cores
            excess -= item.used.cores - fair
    task_to_stop = _choose_task_to_stop(worker_size, total, tasks, settings)
    return ThrottlePlan(shares, task_to_stop)
