"""One task on a worker, advanced by the clock alone."""

from dataclasses import dataclass

from chestnutstair.coordination.platform import TaskPhase, TaskReport
from chestnutstair.protocol.platform import StartCall
from chestnutstair.state.codec import STRICT
from chestnutstair.state.resource import NO_RESOURCES, Resources

__all__ = ["StartedTask", "TaskPayload", "TaskRun"]

MIN_SHARE = 0.001  # the least share of processor time of a throttled task


@dataclass(frozen=True)
class TaskPayload:
    """What a task does: how long it truly runs, and what it truly uses."""

    __pydantic_config__ = STRICT

    run_seconds: float = 1.0
    fails: bool = False
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def compute_usage(self, share: float) -> Resources:
        """Return what the task uses at a share of its processor time."""
        cores = self.cores * share
        return Resources(cores, self.memory_gb, self.accelerators)


@dataclass(frozen=True)
class TaskRun:
    """One run of a task; times are wall-clock epoch seconds."""

    task: str
    worker: str
    token: int
    started_at: float
    ended_at: float | None
    phase: TaskPhase
    detail: str


class StartedTask:
    """One start of a task on a worker; times are monotonic seconds."""

    def __init__(
        self, worker: str, call: StartCall, payload: TaskPayload, now: float
    ) -> None:
        self.worker = worker
        self.name = call.task
        self.token = call.token
        self.payload = payload
        self.lease_ends_at = now + call.lease_seconds
        self.started_at = now
        self.ended_at: float | None = None
        self.phase = TaskPhase.RUNNING
        self.detail = ""
        self.progress = 0.0
        self.share = 1.0
        self.progress_at = now
        self.usage = [(now, payload.compute_usage(1.0))]

    def advance(self, now: float) -> None:
        """Let the time pass: the task ends by itself, or it lapses."""
        if self.ended_at is not None:
            return
        left = self.payload.run_seconds - self.progress
        finish_at = self.progress_at + max(0.0, left) / self.share
        if min(finish_at, self.lease_ends_at) > now:
            self.progress += (now - self.progress_at) * self.share
            self.progress_at = now
        elif finish_at <= self.lease_ends_at:
            fails = self.payload.fails
            phase = TaskPhase.FAILED if fails else TaskPhase.FINISHED
            self.end(finish_at, phase, "failed at its end" if fails else "")
        else:
            self.end(self.lease_ends_at, TaskPhase.LAPSED, "lease ran out")

    def end(self, at: float, phase: TaskPhase, detail: str = "") -> None:
        """End the run, unless it has ended."""
        if self.ended_at is not None:
            return
        self.ended_at = at
        self.phase = phase
        self.detail = detail
        self.usage.append((at, NO_RESOURCES))

    def throttle(self, now: float, share: float) -> None:
        """Change the share from now on."""
        self.share = max(MIN_SHARE, share)
        self.usage.append((now, self.payload.compute_usage(self.share)))

    def find_usage(self, at: float) -> Resources:
        """Return what the task used at a moment in the past."""
        found = NO_RESOURCES
        for since, used in self.usage:
            if since <= at:
                found = used
        return found

    def describe(self, wall_offset: float) -> TaskRun:
        """Return the run; the offset turns monotonic into wall time."""
        ended_at = self.ended_at
        return TaskRun(
            self.name,
            self.worker,
            self.token,
            self.started_at + wall_offset,
            None if ended_at is None else ended_at + wall_offset,
            self.phase,
            self.detail,
        )

    def report(self, past: float) -> TaskReport:
        """Return the report, with the usage of a moment in the past."""
        return TaskReport(
            self.name,
            self.worker,
            self.token,
            self.phase,
            self.find_usage(past),
            self.detail,
        )
