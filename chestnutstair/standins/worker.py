"""The platform's workers, which run tasks under leases."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

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
from chestnutstair.standins.fault import FaultInjector
from chestnutstair.standins.task import StartedTask, TaskPayload, TaskRun
from chestnutstair.state.codec import STRICT, decode_json
from chestnutstair.state.deadline import Clock

__all__ = ["WorkerFleet", "WorkerSettings"]

T = TypeVar("T")


@dataclass(frozen=True)
class WorkerSettings:
    """Timing of the workers."""

    __pydantic_config__ = STRICT

    usage_lag_seconds: float = 2.0  # age of the usage in task reports
    reboot_seconds: float = 2.0  # how long a reboot makes it unreachable
    keep_ends_seconds: float = 600.0  # how long ended tasks are reported


class WorkerFleet:
    """All workers, their tasks and the checkpoints of tasks."""

    def __init__(
        self,
        clock: Clock,
        settings: WorkerSettings,
        fault_injector: FaultInjector,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._fault_injector = fault_injector
        self._lock = threading.RLock()
        self._tasks: dict[str, dict[str, StartedTask]] = {}
        self._runs: list[StartedTask] = []
        self._checkpoints: dict[str, float] = {}
        self._down_until: dict[str, float] = {}

    def add(self, worker: str) -> None:
        """Add a worker without tasks."""
        with self._lock:
            self._tasks.setdefault(worker, {})

    def check_reachable(self, worker: str) -> PlatformFailure | None:
        """Return why calls to the worker fail, or None if it is reachable."""
        if worker not in self._tasks:
            return RefusedFailure(f"unknown worker {worker}")
        now = self._clock.read_monotonic()
        unreachable = worker in self._fault_injector.faults.unreachable_workers
        if unreachable or now < self._down_until.get(worker, 0.0):
            return UnavailableFailure(f"worker {worker} does not respond")
        return None

    def start_task(
        self, worker: str, call: StartCall
    ) -> Result[None, PlatformFailure]:
        """Start the task, once for each fencing token; refuse lower tokens."""
        return self._call_worker(
            worker, lambda now: self._start(worker, call, now)
        )

    def _start(
        self, worker: str, call: StartCall, now: float
    ) -> Result[None, PlatformFailure]:
        previous = self._tasks[worker].get(call.task)
        if previous is not None and call.token <= previous.token:
            return _compare_tokens(call.token, previous)
        if previous is not None:
            previous.end(now, TaskPhase.STOPPED, "replaced by a newer start")
        decoded = decode_json(TaskPayload, call.payload or "{}")
        payload = decoded.unwrap_or(TaskPayload())
        task = StartedTask(worker, call, payload, now)
        task.progress = self._checkpoints.get(call.task, 0.0)
        if decoded.is_err():
            task.end(now, TaskPhase.FAILED, "invalid payload")
        elif worker in self._fault_injector.faults.failing_workers:
            task.end(now, TaskPhase.FAILED, "injected worker failure")
        self._tasks[worker][call.task] = task
        self._runs.append(task)
        return Ok(None)

    def renew_tasks(
        self, worker: str, call: RenewCall
    ) -> Result[None, PlatformFailure]:
        """Extend the leases of the tasks that still have these tokens."""
        return self._call_worker(
            worker, lambda now: self._renew(worker, call, now)
        )

    def _renew(
        self, worker: str, call: RenewCall, now: float
    ) -> Result[None, PlatformFailure]:
        for name, token in call.tokens:
            task = self._tasks[worker].get(name)
            if task is not None and task.token == token:
                task.lease_ends_at = now + call.lease_seconds
        return Ok(None)

    def stop_task(
        self, worker: str, call: StopCall
    ) -> Result[None, PlatformFailure]:
        """Stop the task; a later start with the same token has no effect."""
        return self._call_worker(
            worker, lambda now: self._stop(worker, call, now)
        )

    def _stop(
        self, worker: str, call: StopCall, now: float
    ) -> Result[None, PlatformFailure]:
        task = self._tasks[worker].get(call.task)
        if task is not None and call.token < task.token:
            return _compare_tokens(call.token, task)
        if task is not None and task.ended_at is None:
            if call.checkpoint:
                self._checkpoints[call.task] = task.progress
            task.end(now, TaskPhase.STOPPED, "stopped")
        if task is None or task.token < call.token:
            delayed_start = StartCall(call.task, call.token, 0.0, "")
            stopped = StartedTask(worker, delayed_start, TaskPayload(), now)
            stopped.end(now, TaskPhase.STOPPED, "stopped before its start")
            self._tasks[worker][call.task] = stopped
        return Ok(None)

    def throttle_task(
        self, worker: str, call: ThrottleCall
    ) -> Result[None, PlatformFailure]:
        """Limit the task to a share of its processor time."""
        return self._call_worker(
            worker, lambda now: self._throttle(worker, call, now)
        )

    def _throttle(
        self, worker: str, call: ThrottleCall, now: float
    ) -> Result[None, PlatformFailure]:
        task = self._tasks[worker].get(call.task)
        if task is None:
            return Err(RefusedFailure(f"unknown task {call.task}"))
        if call.token == task.token and task.ended_at is None:
            task.throttle(now, call.share)
        return _compare_tokens(call.token, task)

    def report_tasks(
        self, worker: str
    ) -> Result[tuple[TaskReport, ...], PlatformFailure]:
        """Return the running and recently ended tasks, with delayed usage."""
        return self._call_worker(worker, lambda now: self._report(worker, now))

    def _report(
        self, worker: str, now: float
    ) -> Result[tuple[TaskReport, ...], PlatformFailure]:
        end_cutoff = now - self._settings.keep_ends_seconds
        usage_at = now - self._settings.usage_lag_seconds
        reports = [
            task.report(usage_at)
            for task in self._tasks[worker].values()
            if task.ended_at is None or task.ended_at > end_cutoff
        ]
        return Ok(tuple(reports))

    def count_running(self, worker: str) -> Result[int, PlatformFailure]:
        """Return the number of tasks that run on the worker."""
        reports = self.report_tasks(worker)
        return reports.map(
            lambda found: sum(
                report.phase is TaskPhase.RUNNING for report in found
            )
        )

    def reboot(self, worker: str) -> None:
        """Fail the worker's tasks; block calls to it for `reboot_seconds`."""
        with self._lock:
            now = self._advance(worker)
            for task in self._tasks[worker].values():
                task.end(now, TaskPhase.FAILED, "the worker rebooted")
            down_until = now + self._settings.reboot_seconds
            self._down_until[worker] = down_until

    def list_runs(self) -> list[TaskRun]:
        """Return every run since the start, oldest first."""
        with self._lock:
            for worker in self._tasks:
                self._advance(worker)
            offset = self._clock.read_wall() - self._clock.read_monotonic()
            return [task.describe(offset) for task in self._runs]

    def _call_worker(
        self,
        worker: str,
        action: Callable[[float], Result[T, PlatformFailure]],
    ) -> Result[T, PlatformFailure]:
        """Call `action` with the monotonic time if the worker is reachable."""
        with self._lock:
            failure = self.check_reachable(worker)
            if failure is not None:
                return Err(failure)
            return action(self._advance(worker))

    def _advance(self, worker: str) -> float:
        now = self._clock.read_monotonic()
        for task in self._tasks[worker].values():
            task.advance(now)
        return now


def _compare_tokens(
    token: int, task: StartedTask
) -> Result[None, PlatformFailure]:
    if token == task.token:
        return Ok(None)
    reason = f"token {token} is not token {task.token} of task {task.name}"
    return Err(RefusedFailure(reason))
