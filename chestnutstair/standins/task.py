"""One simulated task on a worker, driven only by the clock."""

from dataclasses import dataclass

from chestnutstair.coordination.platform import TaskPhase, TaskReport
from chestnutstair.protocol.platform import StartCall
from chestnutstair.state.codec import STRICT
from chestnutstair.state.resource import NO_RESOURCES, Resources

__all__ = ["StartedTask", "TaskPayload", "TaskRun"]

MIN_SHARE = 0.001  # lowest share of processor time of a throttled task


@dataclass(frozen=True)
class TaskPayload:
    """The actual behaviour and usage of a task, whatever its job declares."""

    __pydantic_config__ = STRICT

    run_seconds: float = 1.0  # without throttling
    fails: bool = False  # at the end of its run
    cores: float = 0.0  # used without throttling
    memory_gb: float = 0.0  # used
    accelerators: int = 0  # used

    def compute_usage(self, share: float) -> Resources:
        """Return the usage when throttled to a share of its processor time."""
        cores = self.cores * share
        return Resources(cores, self.memory_gb, self.accelerators)


@dataclass(frozen=True)
class TaskRun:
    """One run of a task; times are Unix timestamps in seconds."""

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
        self.progress = 0.0  # seconds of work done until `progress_at`
        self.share = 1.0
        self.progress_at = now
        # Usage over time, in order; each applies from the time in its pair.
        self.usage = [(now, payload.compute_usage(1.0))]

    def advance(self, now: float) -> None:
        """Update the progress; end the task if its work or lease has ended."""
        if self.ended_at is not None:
            return
        remaining_seconds = self.payload.run_seconds - self.progress
        finish_at = self.progress_at + max(0.0, remaining_seconds) / self.share
        if min(finish_at, self.lease_ends_at) > now:
            self.progress += (now - self.progress_at) * self.share
            self.progress_at = now
        elif finish_at <= self.lease_ends_at:
            fails = self.payload.fails
            phase = TaskPhase.FAILED if fails else TaskPhase.FINISHED
            self.end(
                finish_at,
                phase,
                "task failed at the end of its run" if fails else "",
            )
        else:
            self.end(self.lease_ends_at, TaskPhase.LAPSED, "lease expired")

    def end(self, at: float, phase: TaskPhase, detail: str = "") -> None:
        """Record the end of the run, unless it has ended before."""
        if self.ended_at is not None:
            return
        self.ended_at = at
        self.phase = phase
        self.detail = detail
        self.usage.append((at, NO_RESOURCES))

    def throttle(self, now: float, share: float) -> None:
        """Set the share of processor time from now on."""
        self.share = max(MIN_SHARE, share)
        self.usage.append((now, self.payload.compute_usage(self.share)))

    def find_usage(self, at: float) -> Resources:
        """Return the usage at a time in the past."""
        usage = NO_RESOURCES
        for since, used in self.usage:
            if since <= at:
                usage = used
        return usage

    def describe(self, wall_offset: float) -> TaskRun:
        """Return the run; the offset converts monotonic to wall-clock time."""
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

    def report(self, usage_at: float) -> TaskReport:
        """Return the report, with the usage at the time `usage_at`."""
        return TaskReport(
            self.name,
            self.worker,
            self.token,
            self.phase,
            self.find_usage(usage_at),
            self.detail,
        )
