"""What a placer is asked, what it answers, and why a job is blocked."""

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
    """A worker that may take tasks."""

    name: str
    zone: str
    rack: str
    size: Resources


@dataclass(frozen=True)
class Placement:
    """A decision to start a task, with the size, on a worker."""

    task: TaskName
    job: Job
    size: Resources
    worker: str


@dataclass(frozen=True)
class JobBlock(Failure):
    """The base of the reasons why tasks of a job are not started."""

    permanent = False  # whether no wait alone can help


@dataclass(frozen=True)
class NoRoomBlock(JobBlock):
    """No worker has room at present."""

    size: Resources


@dataclass(frozen=True)
class OversizeBlock(JobBlock):
    """A task is bigger than every worker of its pool."""

    permanent = True

    size: Resources
    worker_count: int


@dataclass(frozen=True)
class QuotaBlock(JobBlock):
    """The team's quota is used up, or `permanent` smaller than a task."""

    team: str
    quota: Resources
    size: Resources
    permanent: bool = False


@dataclass(frozen=True)
class FailedJobBlock(JobBlock):
    """Tasks failed on too many distinct workers."""

    permanent = True

    workers: tuple[str, ...]
