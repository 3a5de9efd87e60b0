"""Workers, placements, and the reasons why a job is blocked."""

from dataclasses import dataclass

from chestnutstair.state.failure import Failure
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources
from chestnutstair.state.task import TaskName

__all__ = [
    "FailedJobBlock",
    "JobBlock",
    "NoRoomBlock",
    "OversizeBlock",
    "Placement",
    "QuotaBlock",
    "Worker",
]


@dataclass(frozen=True)
class Worker:
    """A worker that tasks can be placed on."""

    name: str
    zone: str
    rack: str
    size: Resources


@dataclass(frozen=True)
class Placement:
    """A decision to start a task on a worker.

    `size` is the amount of resources reserved for the task.
    """

    task: TaskName
    job: Job
    size: Resources
    worker: str


@dataclass(frozen=True)
class JobBlock(Failure):
    """Base class of the reasons why tasks of a job are not started."""

    permanent = False  # True if waiting alone cannot unblock the job


@dataclass(frozen=True)
class NoRoomBlock(JobBlock):
    """No worker currently has enough free resources."""

    size: Resources


@dataclass(frozen=True)
class OversizeBlock(JobBlock):
    """A task is larger than every worker of its pool."""

    permanent = True

    size: Resources
    worker_count: int


@dataclass(frozen=True)
class QuotaBlock(JobBlock):
    """The team's quota is used up.

    `permanent` is set if the whole quota is smaller than one task.
    """

    team: str
    quota: Resources
    size: Resources
    permanent: bool = False


@dataclass(frozen=True)
class FailedJobBlock(JobBlock):
    """Tasks of the job failed on too many distinct workers."""

    permanent = True

    workers: tuple[str, ...]
