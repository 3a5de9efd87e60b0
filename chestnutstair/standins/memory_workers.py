"""In-memory workers that run tasks under leases and log every run."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from itertools import pairwise

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    RefusedFailure,
    TaskPhase,
    TaskReport,
    UnavailableFailure,
    UnknownOutcomeFailure,
    WorkerControl,
)
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.resource import NO_RESOURCES, Resources

__all__ = ["MemoryWorkers", "TaskBehaviour", "TaskRun"]

USAGE_LAG_SECONDS = 2.0


@dataclass(frozen=True)
class TaskBehaviour:
    """How each task of one job behaves once it is started."""

    run_seconds: float = 60.0  # total work; checkpointed work isn't repeated
    checkpoint_seconds: float = 0.0  # how long it takes to save a checkpoint
    used: Resources = NO_RESOURCES
    fails: bool = False  # within a second of its start


@dataclass(frozen=True)
class TaskRun:
    """One run of a task; times are monotonic seconds of the fleet's clock."""

    worker: str
    task: str
    token: int
    started_at: float
    lease_end: float  # expires then, unless renewed
    work_end: float  # finishes or fails then, unless stopped before
    checkpoint_end: float = float("inf")  # stops then, with a checkpoint
    share: float = 1.0  # of its processor time, 0 to 1
    phase: TaskPhase = TaskPhase.RUNNING
    ended_at: float = float("inf")


class Reachability(StrEnum):
    """Whether calls to a worker take effect and are answered."""

    REACHABLE = "whole"
    UNREACHABLE = "refused"  # calls have no effect
    ANSWERS_LOST = "mute"  # calls take effect, but no answer comes


class MemoryWorkers(WorkerControl):
    """All workers of a fleet, with injectable faults.

    Tests set the public attributes to inject faults and define behaviour.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._newest: dict[tuple[str, str], TaskRun] = {}
        self._running: dict[str, set[str]] = defaultdict(set)
        self._progress: dict[str, float] = {}  # checkpointed seconds by task
        # Highest fencing tokens, by worker and task.
        self._fences: dict[tuple[str, str], int] = {}
        # Every run, by worker, task and token; tests check invariants on it.
        self.runs: dict[tuple[str, str, int], TaskRun] = {}
        # By job name; other jobs have the default behaviour.
        self.behaviours: dict[str, TaskBehaviour] = {}
        self.reachability: dict[str, Reachability] = {}
        # Rates of the workers' clocks; below 1 leases last longer.
        self.clock_rates: dict[str, float] = {}
        # Workers on which every task fails, within a second of its start.
        self.failing_workers: set[str] = set()
        self.call_count = 0

    def _get_behaviour(self, task: str) -> TaskBehaviour:
        job = task.rpartition("/")[0]
        return self.behaviours.get(job, TaskBehaviour())

    def _build_answer(self, worker: str) -> Result[None, PlatformFailure]:
        if (
            self.reachability.get(worker, Reachability.REACHABLE)
            is Reachability.ANSWERS_LOST
        ):
            return Err(UnknownOutcomeFailure("the answer was lost"))
        return Ok(None)

    def _receive_call(self, worker: str) -> bool:
        """Advance the worker's tasks; return whether the call reaches it."""
        self.call_count += 1
        self.advance([worker])
        return (
            self.reachability.get(worker, Reachability.REACHABLE)
            is not Reachability.UNREACHABLE
        )

    def advance(self, workers: Iterable[str] | None = None) -> None:
        """End the tasks whose work, checkpoint or lease has ended by now."""
        now = self._clock.read_monotonic()
        for worker in list(self._running) if workers is None else workers:
            for task in list(self._running.get(worker, ())):
                run = self._newest[worker, task]
                if run.checkpoint_end <= min(now, run.lease_end):
                    self._finish_checkpoint(run)
                elif run.work_end <= min(now, run.lease_end):
                    self._end_run(
                        run, self._get_final_phase(run), run.work_end
                    )
                elif run.lease_end <= now:
                    self._end_run(run, TaskPhase.LAPSED, run.lease_end)

    def _finish_checkpoint(self, run: TaskRun) -> None:
        earlier_seconds = self._progress.get(run.task, 0.0)
        self._progress[run.task] = (
            earlier_seconds + run.checkpoint_end - run.started_at
        )
        self._end_run(run, TaskPhase.STOPPED, run.checkpoint_end)

    def _get_final_phase(self, run: TaskRun) -> TaskPhase:
        fails = (
            run.worker in self.failing_workers
            or self._get_behaviour(run.task).fails
        )
        return TaskPhase.FAILED if fails else TaskPhase.FINISHED

    def _store_run(self, run: TaskRun) -> None:
        self._newest[run.worker, run.task] = run
        self.runs[run.worker, run.task, run.token] = run
        if run.phase is TaskPhase.RUNNING:
            self._running[run.worker].add(run.task)
        else:
            self._running[run.worker].discard(run.task)

    def _end_run(self, run: TaskRun, phase: TaskPhase, at: float) -> None:
        self._store_run(replace(run, phase=phase, ended_at=at))

    def _find_running(
        self, worker: str, task: str, token: int
    ) -> TaskRun | None:
        run = self._newest.get((worker, task))
        if run is None or run.token != token:
            return None
        return run if run.phase is TaskPhase.RUNNING else None

    def _compute_lease_end(self, worker: str, lease_seconds: float) -> float:
        rate = self.clock_rates.get(worker, 1.0)
        return self._clock.read_monotonic() + lease_seconds / rate

    def start_task(
        self,
        worker: str,
        task: str,
        token: int,
        lease_seconds: float,
        payload: str,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Start the task, once for each fencing token; refuse lower tokens."""
        if not self._receive_call(worker):
            return Err(UnavailableFailure("no route to the worker"))
        fence = self._fences.get((worker, task), 0)
        if token < fence:
            return Err(RefusedFailure("the fencing token is outdated"))
        if token > fence:
            self._fences[worker, task] = token
            self._start_run(worker, task, token, lease_seconds)
        return self._build_answer(worker)

    def _start_run(
        self, worker: str, task: str, token: int, lease_seconds: float
    ) -> None:
        previous = self._newest.get((worker, task))
        now = self._clock.read_monotonic()
        if previous is not None and previous.phase is TaskPhase.RUNNING:
            self._end_run(previous, TaskPhase.STOPPED, now)
        remaining = self._get_behaviour(task).run_seconds - self._progress.get(
            task, 0.0
        )
        if worker in self.failing_workers or self._get_behaviour(task).fails:
            remaining = min(remaining, 1.0)
        lease_end = self._compute_lease_end(worker, lease_seconds)
        self._store_run(
            TaskRun(worker, task, token, now, lease_end, now + remaining)
        )

    def renew_tasks(
        self,
        worker: str,
        tokens: Sequence[tuple[str, int]],
        lease_seconds: float,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Extend the leases of the tasks that still have these tokens."""
        if not self._receive_call(worker):
            return Err(UnavailableFailure("no route to the worker"))
        for task, token in tokens:
            run = self._find_running(worker, task, token)
            if run is not None:
                end = max(
                    run.lease_end,
                    self._compute_lease_end(worker, lease_seconds),
                )
                self._store_run(replace(run, lease_end=end))
        return self._build_answer(worker)

    def stop_task(
        self,
        worker: str,
        task: str,
        token: int,
        checkpoint: bool,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Stop the task; with `checkpoint`, save one for its next start."""
        if not self._receive_call(worker):
            return Err(UnavailableFailure("no route to the worker"))
        fence = self._fences.get((worker, task), 0)
        self._fences[worker, task] = max(fence, token)
        run = self._find_running(worker, task, token)
        now = self._clock.read_monotonic()
        if run is not None and checkpoint:
            seconds = self._get_behaviour(task).checkpoint_seconds
            end = min(run.checkpoint_end, now + seconds)
            self._store_run(replace(run, checkpoint_end=end))
            self.advance([worker])
        elif run is not None:
            self._end_run(run, TaskPhase.STOPPED, now)
        return self._build_answer(worker)

    def throttle_task(
        self,
        worker: str,
        task: str,
        token: int,
        share: float,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Limit the task to a share (0 to 1) of its processor time."""
        if not self._receive_call(worker):
            return Err(UnavailableFailure("no route to the worker"))
        run = self._find_running(worker, task, token)
        if run is not None:
            self._store_run(replace(run, share=share))
        return self._build_answer(worker)

    def report_tasks(
        self, worker: str, deadline: Deadline
    ) -> Result[tuple[TaskReport, ...], PlatformFailure]:
        """Return the running and ended tasks of the worker."""
        if not self._receive_call(worker):
            return Err(UnavailableFailure("no route to the worker"))
        if self._build_answer(worker).is_err():
            return Err(UnknownOutcomeFailure("the answer was lost"))
        return Ok(
            tuple(
                self._report(run)
                for (name, _), run in self._newest.items()
                if name == worker
            )
        )

    def _report(self, run: TaskRun) -> TaskReport:
        used = self._get_behaviour(run.task).used
        cutoff = self._clock.read_monotonic() - USAGE_LAG_SECONDS
        if run.started_at > cutoff or run.phase is not TaskPhase.RUNNING:
            used = NO_RESOURCES
        used = replace(used, cores=used.cores * run.share)
        return TaskReport(run.task, run.worker, run.token, run.phase, used)

    def drop_ended_tasks(self) -> None:
        """Remove the ended tasks from all reports."""
        self.advance()
        for key, run in list(self._newest.items()):
            if run.phase is not TaskPhase.RUNNING:
                del self._newest[key]

    def find_overlaps(self) -> list[tuple[TaskRun, TaskRun]]:
        """Return pairs of runs of one task that overlap in time."""
        self.advance()
        by_task: dict[str, list[TaskRun]] = defaultdict(list)
        for run in self.runs.values():
            by_task[run.task].append(run)
        pairs = []
        for runs in by_task.values():
            runs.sort(key=lambda run: run.started_at)
            pairs += [
                (first, second)
                for first, second in pairwise(runs)
                if second.started_at < first.ended_at
            ]
        return pairs

    def count_finished_runs(self) -> dict[str, int]:
        """Return how often each task finished, by task."""
        self.advance()
        counts: dict[str, int] = defaultdict(int)
        for run in self.runs.values():
            counts[run.task] += run.phase is TaskPhase.FINISHED
        return dict(counts)
