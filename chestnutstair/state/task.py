"""The recorded state of one task of a job."""

from dataclasses import dataclass, replace
from enum import StrEnum

from chestnutstair.state.codec import STRICT
from chestnutstair.state.resource import NO_RESOURCES, Resources

__all__ = ["PENDING_TASK", "TaskName", "TaskRecord", "TaskStage"]


class TaskStage(StrEnum):
    """How far a task has come."""

    PENDING = "pending"
    STARTING = "starting"  # assigned; the worker may not know yet
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"  # given up after repeated failures
    CANCELLED = "cancelled"


LIVE_STAGES = frozenset({TaskStage.STARTING, TaskStage.RUNNING})
FINAL_STAGES = frozenset(
    {TaskStage.FINISHED, TaskStage.FAILED, TaskStage.CANCELLED}
)


@dataclass(frozen=True, order=True)
class TaskName:
    """A task of a job, by its index from 0 up."""

    job: str
    index: int

    def __str__(self) -> str:
        return f"{self.job}/{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskName":
        """Return the name that `str` turned into the text."""
        job, _, index = text.rpartition("/")
        return cls(job, int(index))


@dataclass(frozen=True)
class TaskRecord:
    """The row of one task.

    `token` fences the newest start; it rises with each start and never
    falls. `size` is what the task holds on `worker` while it is live.
    `failed_on` names the workers where it failed, once per failure.
    `started_at` is wall-clock epoch seconds of the newest start, and
    `share` the share of processor time that it was throttled to.
    """

    __pydantic_config__ = STRICT

    stage: TaskStage = TaskStage.PENDING
    worker: str = ""
    token: int = 0
    size: Resources = NO_RESOURCES
    checkpointed: bool = False
    failed_on: tuple[str, ...] = ()
    started_at: float = 0.0
    share: float = 1.0

    def is_live(self) -> bool:
        """Tell whether a worker may be running the task."""
        return self.stage in LIVE_STAGES

    def is_final(self) -> bool:
        """Tell whether the task never starts again."""
        return self.stage in FINAL_STAGES

    def assign(
        self, worker: str, token: int, size: Resources, now: float
    ) -> "TaskRecord":
        """Return the record of a new start on the worker."""
        return replace(
            self,
            stage=TaskStage.STARTING,
            worker=worker,
            token=token,
            size=size,
            started_at=now,
            share=1.0,
        )

    def release(
        self, stage: TaskStage, checkpointed: bool = False
    ) -> "TaskRecord":
        """Return the record of a task that holds no worker any more."""
        return replace(
            self,
            stage=stage,
            worker="",
            size=NO_RESOURCES,
            checkpointed=self.checkpointed or checkpointed,
        )

    def fail(
        self, limit: int, ignored_workers: frozenset[str] = frozenset()
    ) -> "TaskRecord":
        """Return the record after a failure; `limit` of them are final.

        Failures on `excused` workers do not count.
        """
        failed_on = (*self.failed_on, self.worker)
        counted_failures = sum(
            worker not in ignored_workers for worker in failed_on
        )
        final = limit == 0 or counted_failures >= limit
        stage = TaskStage.FAILED if final else TaskStage.PENDING
        return replace(self.release(stage), failed_on=failed_on)


PENDING_TASK = TaskRecord()
