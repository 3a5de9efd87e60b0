"""The stored state of one task of a job."""

from dataclasses import dataclass, replace
from enum import StrEnum

from chestnutstair.state.codec import STRICT
from chestnutstair.state.resource import NO_RESOURCES, Resources

__all__ = ["PENDING_TASK", "TaskName", "TaskRecord", "TaskStage"]


class TaskStage(StrEnum):
    """The stage of a task in its life cycle."""

    PENDING = "pending"
    STARTING = "starting"  # assigned; the start order may not have arrived
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"  # after its last allowed failure; never restarted
    CANCELLED = "cancelled"


LIVE_STAGES = frozenset({TaskStage.STARTING, TaskStage.RUNNING})
FINAL_STAGES = frozenset(
    {TaskStage.FINISHED, TaskStage.FAILED, TaskStage.CANCELLED}
)


@dataclass(frozen=True, order=True)
class TaskName:
    """The name of a task: its job and its index, counted from 0."""

    job: str
    index: int

    def __str__(self) -> str:
        return f"{self.job}/{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskName":
        """Parse the text that `str` returns for a name."""
        job, _, index = text.rpartition("/")
        return cls(job, int(index))


@dataclass(frozen=True)
class TaskRecord:
    """The stored row of one task."""

    __pydantic_config__ = STRICT

    stage: TaskStage = TaskStage.PENDING
    worker: str = ""
    # Fencing token of the newest start; it rises with each start and never
    # falls.
    token: int = 0
    size: Resources = NO_RESOURCES  # reserved on `worker` while live
    checkpointed: bool = False
    failed_on: tuple[str, ...] = ()  # one worker for each failure
    started_at: float = 0.0  # of the newest start, wall-clock epoch seconds
    share: float = 1.0  # throttled to this share (0 to 1) of processor time

    def is_live(self) -> bool:
        """Return whether a worker may be running the task."""
        return self.stage in LIVE_STAGES

    def is_final(self) -> bool:
        """Return whether the task has ended and never starts again."""
        return self.stage in FINAL_STAGES

    def assign(
        self, worker: str, token: int, size: Resources, now: float
    ) -> "TaskRecord":
        """Return the record of a new start on the worker.

        `now` is wall-clock epoch seconds.
        """
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
        """Return the record at `stage`, with no worker and no resources."""
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
        """Return the record after a failure on the task's worker.

        The failure is final if it is the `limit`-th one, or if `limit` is
        0. Failures on `ignored_workers` do not count.
        """
        failed_on = (*self.failed_on, self.worker)
        counted_failures = sum(
            worker not in ignored_workers for worker in failed_on
        )
        final = limit == 0 or counted_failures >= limit
        stage = TaskStage.FAILED if final else TaskStage.PENDING
        return replace(self.release(stage), failed_on=failed_on)


PENDING_TASK = TaskRecord()
