"""Workers that run tasks under leases, advanced by the clock alone."""

import threading
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    RefusedFailure,
    TaskPhase,
    TaskReport,
    UnavailableFailure,
)
from chestnutstair.protocol.platform import (
    RenewCall,
    StartCall,
    StopCall,
    ThrottleCall,
)
from chestnutstair.standins.fault import FaultSwitches
from chestnutstair.state.codec import STRICT, decode_json
from chestnutstair.state.deadline import Clock
from chestnutstair.state.resource import NO_RESOURCES, Resources

__all__ = ["TaskPayload", "TaskRun", "WorkerFleet", "WorkerSettings"]

MIN_SHARE = 0.001  # the least share of processor time of a throttled task


@dataclass(frozen=True)
class WorkerSettings:
    """Lag of usage, and how long ended tasks are reported, in seconds."""

    __pydantic_config__ = STRICT

    usage_lag_seconds: float = 2.0
    reboot_seconds: float = 2.0
    keep_ends_seconds: float = 600.0


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


class _Task:
    """One start of a task on a worker; times are monotonic seconds."""

    def __init__(
        self, worker: str, call: StartCall, payload: TaskPayload, now: float
    ) -> None:
        self.worker = worker
        self.name = call.task
        self.token = call.token
        self.payload = payload
        self.lease_at = now + call.lease_seconds
        self.started_at = now
        self.ended_at: float | None = None
        self.phase = TaskPhase.RUNNING
        self.detail = ""
        self.progress = 0.0
        self.share = 1.0
        self.counted_at = now
        self.usage = [(now, payload.compute_usage(1.0))]

    def advance(self, now: float) -> None:
        """Let the time pass: the task ends by itself, or it lapses."""
        if self.ended_at is not None:
            return
        left = self.payload.run_seconds - self.progress
        finish_at = self.counted_at + max(0.0, left) / self.share
        if min(finish_at, self.lease_at) > now:
            self.progress += (now - self.counted_at) * self.share
            self.counted_at = now
        elif finish_at <= self.lease_at:
            fails = self.payload.fails
            phase = TaskPhase.FAILED if fails else TaskPhase.FINISHED
            self.end(finish_at, phase, "failed at its end" if fails else "")
        else:
            self.end(self.lease_at, TaskPhase.LAPSED, "lease ran out")

    def end(self, at: float, phase: TaskPhase, detail: str = "") -> None:
        """End the run."""
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


class WorkerFleet:
    """All workers and their tasks."""

    def __init__(
        self, clock: Clock, settings: WorkerSettings, switches: FaultSwitches
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._switches = switches
        self._lock = threading.RLock()
        self._tasks: dict[str, dict[str, _Task]] = {}
        self._runs: list[_Task] = []
        self._checkpoints: dict[str, float] = {}
        self._down_until: dict[str, float] = {}

    def add(self, worker: str) -> None:
        """Add a worker without tasks."""
        with self._lock:
            self._tasks.setdefault(worker, {})

    def find_trouble(self, worker: str) -> PlatformFailure | None:
        """Return why the worker can not be called, if so."""
        if worker not in self._tasks:
            return RefusedFailure(f"no worker {worker}")
        now = self._clock.read_monotonic()
        unreachable = worker in self._switches.faults.unreachable_workers
        if unreachable or now < self._down_until.get(worker, 0.0):
            return UnavailableFailure(f"worker {worker} does not answer")
        return None

    def start_task(
        self, worker: str, call: StartCall
    ) -> Result[None, PlatformFailure]:
        """Start the task once per token."""
        with self._lock:
            trouble = self.find_trouble(worker)
            if trouble is not None:
                return Err(trouble)
            now = self._advance(worker)
            old = self._tasks[worker].get(call.task)
            if old is not None and call.token <= old.token:
                return _compare_tokens(call.token, old)
            if old is not None and old.ended_at is None:
                old.end(now, TaskPhase.STOPPED, "started anew")
            self._start(worker, call, now)
            return Ok(None)

    def _start(self, worker: str, call: StartCall, now: float) -> None:
        decoded = decode_json(TaskPayload, call.payload or "{}")
        task = _Task(worker, call, decoded.unwrap_or(TaskPayload()), now)
        task.progress = self._checkpoints.get(call.task, 0.0)
        if decoded.is_err():
            task.end(now, TaskPhase.FAILED, "invalid payload")
        elif worker in self._switches.faults.failing_workers:
            task.end(now, TaskPhase.FAILED, "the worker is broken")
        self._tasks[worker][call.task] = task
        self._runs.append(task)

    def renew_tasks(
        self, worker: str, call: RenewCall
    ) -> Result[None, PlatformFailure]:
        """Extend the leases of running tasks that have these tokens."""
        with self._lock:
            trouble = self.find_trouble(worker)
            if trouble is not None:
                return Err(trouble)
            now = self._advance(worker)
            for name, token in call.tokens:
                task = self._tasks[worker].get(name)
                if task is not None and task.token == token:
                    task.lease_at = now + call.lease_seconds
            return Ok(None)

    def stop_task(
        self, worker: str, call: StopCall
    ) -> Result[None, PlatformFailure]:
        """End the task; a start with the same token that comes late too."""
        with self._lock:
            trouble = self.find_trouble(worker)
            if trouble is not None:
                return Err(trouble)
            now = self._advance(worker)
            task = self._tasks[worker].get(call.task)
            if task is None or task.token < call.token:
                late = StartCall(call.task, call.token, 0.0, "")
                self._tasks[worker][call.task] = _Task(
                    worker, late, TaskPayload(), now
                )
            elif call.token < task.token:
                return _compare_tokens(call.token, task)
            task = task or self._tasks[worker][call.task]
            if call.checkpoint and task.ended_at is None:
                self._checkpoints[call.task] = task.progress
            for each in (task, self._tasks[worker][call.task]):
                if each.ended_at is None:
                    each.end(now, TaskPhase.STOPPED, "stopped")
            return Ok(None)

    def throttle_task(
        self, worker: str, call: ThrottleCall
    ) -> Result[None, PlatformFailure]:
        """Limit the task to a share of its processor time."""
        with self._lock:
            trouble = self.find_trouble(worker)
            if trouble is not None:
                return Err(trouble)
            now = self._advance(worker)
            task = self._tasks[worker].get(call.task)
            if task is None:
                return Err(RefusedFailure(f"no task {call.task}"))
            if call.token == task.token and task.ended_at is None:
                task.throttle(now, call.share)
            return _compare_tokens(call.token, task)

    def report_tasks(
        self, worker: str
    ) -> Result[tuple[TaskReport, ...], PlatformFailure]:
        """Return running tasks and recent ends, with usage of the past."""
        with self._lock:
            trouble = self.find_trouble(worker)
            if trouble is not None:
                return Err(trouble)
            now = self._advance(worker)
            oldest = now - self._settings.keep_ends_seconds
            past = now - self._settings.usage_lag_seconds
            return Ok(
                tuple(
                    TaskReport(
                        task.name,
                        worker,
                        task.token,
                        task.phase,
                        task.find_usage(past),
                        task.detail,
                    )
                    for task in self._tasks[worker].values()
                    if task.ended_at is None or task.ended_at > oldest
                )
            )

    def count_running(self, worker: str) -> Result[int, PlatformFailure]:
        """Return how many tasks run on the worker."""
        reports = self.report_tasks(worker)
        return reports.map(
            lambda found: sum(
                report.phase is TaskPhase.RUNNING for report in found
            )
        )

    def reboot(self, worker: str) -> None:
        """End every task of the worker, which is away for some seconds."""
        with self._lock:
            now = self._advance(worker)
            for task in self._tasks[worker].values():
                if task.ended_at is None:
                    task.end(now, TaskPhase.FAILED, "the worker rebooted")
            down_until = now + self._settings.reboot_seconds
            self._down_until[worker] = down_until

    def list_runs(self) -> Sequence[TaskRun]:
        """Return every run since the start, oldest first."""
        with self._lock:
            for worker in self._tasks:
                self._advance(worker)
            offset = self._clock.read_wall() - self._clock.read_monotonic()
            return [
                TaskRun(
                    task.name,
                    task.worker,
                    task.token,
                    task.started_at + offset,
                    None if task.ended_at is None else task.ended_at + offset,
                    task.phase,
                    task.detail,
                )
                for task in self._runs
            ]

    def _advance(self, worker: str) -> float:
        now = self._clock.read_monotonic()
        for task in self._tasks[worker].values():
            task.advance(now)
        return now


def _compare_tokens(token: int, task: _Task) -> Result[None, PlatformFailure]:
    if token == task.token:
        return Ok(None)
    reason = f"token {token} is not {task.token} of task {task.name}"
    return Err(RefusedFailure(reason))
