"""Finds the tasks that crash the workers that start them.

A crash ends all runs of a worker, and nothing reports which of them caused
it. A run has proven itself once its worker has survived its start; the others
are suspected. A suspected task starts again only on a worker without any other
unproven run, so that a second crash has one cause.

A worker that an order of this system ended has not crashed. Only such orders
change the pool of a VM, so that a next worker in another pool shows one, also
one of which this leader does not know.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from chestnutstair.scheduling.metrics import JOBS_GIVEN_UP, WORKER_CRASHES
from chestnutstair.scheduling.ports import WorkerEntry
from chestnutstair.scheduling.progress import (
    JobRecord,
    TaskKey,
    TaskState,
    TaskStatus,
)
from chestnutstair.scheduling.workers import WorkerState

__all__ = [
    "Blame",
    "CrashRecorder",
    "CrashSettings",
    "LostRun",
    "LostWorker",
    "LostWorkers",
    "assign_blame",
    "describe_lost_worker",
    "describe_unseen_worker",
]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class CrashSettings:
    """Limits for tasks whose workers crash."""

    # Crashes after which a task is given up, if it was the only suspect of
    # the last one. A single crash may have any cause.
    max_isolated_crashes: int = 2
    # Crashes after which a task is given up in any case, as when it crashes
    # its worker long after its start.
    max_crashes: int = 4
    # How long a worker whose lease lapsed is remembered; its VM may be back
    # only then, and shows that the worker had crashed.
    remember_seconds: float = 30.0


@dataclass(frozen=True)
class LostRun:
    """A run that a worker had when it was lost.

    - `proven`: the worker had survived its start.
    - `on_probation`: its task was suspected before, so it ran alone.
    """

    job: str
    key: TaskKey
    run: int
    lasting: bool
    proven: bool
    on_probation: bool


@dataclass(frozen=True)
class Blame:
    """A run that may have crashed its worker.

    - `suspected`: it had not proven itself, so its task runs alone next.
    - `isolated`: it ran alone, so nothing else can have caused the crash but
      a failure of the worker.
    """

    job: str
    key: TaskKey
    run: int
    suspected: bool
    isolated: bool


@dataclass(frozen=True)
class LostWorker:
    """A worker whose runs were given up, with those that may have crashed it.

    - `lost_at`: monotonic time.
    - `services`: the pools that it may have been in.
    """

    name: str
    born_ms: int
    vm: str
    blames: tuple[Blame, ...]
    lost_at: float
    services: frozenset[str]

    def is_replaced_by(self, successor: WorkerEntry) -> bool:
        """Return whether a worker of its VM is a later one."""
        return self.born_ms < successor.born_ms

    def is_crash(self, successor: WorkerEntry) -> bool:
        """Return whether the next worker of its VM shows that it crashed.

        One in another pool shows that its VM was moved.
        """
        return successor.service in self.services


def describe_lost_worker(worker: WorkerState, now: float) -> LostWorker:
    """Describe a worker that is lost now, in monotonic time.

    One that was draining, or that an order for its VM may have ended, ended
    as planned, so no run is blamed.
    """
    runs = []
    if not (worker.entry.draining or worker.may_be_ended_by_order):
        runs = [
            LostRun(
                run.job,
                run.key,
                run.run,
                run.step.lasting,
                worker.has_proven(run),
                run.on_probation,
            )
            for run in worker.runs.values()
        ]
    entry = worker.entry
    return LostWorker(
        entry.name,
        entry.born_ms,
        entry.vm,
        assign_blame(runs),
        now,
        frozenset({entry.service}),
    )


def describe_unseen_worker(
    incarnation: tuple[str, int],
    placed: list[tuple[JobRecord, TaskKey]],
    now: float,
    services: frozenset[str],
) -> LostWorker:
    """Describe a lost worker that has never answered this leader.

    - `incarnation`: its name and the start of its process.
    - `placed`: the tasks that an earlier leader placed there.
    - `services`: the pools that it may have been in.
    """
    states = [record.get_task(key) for record, key in placed]
    runs = []
    for (record, key), state in zip(placed, states, strict=True):
        step = record.steps[key.step]
        alone = state.must_run_alone(step)
        runs.append(
            LostRun(record.name, key, state.run, step.lasting, False, alone)
        )
    return LostWorker(
        *incarnation, states[0].vm, assign_blame(runs), now, services
    )


def assign_blame(runs: list[LostRun]) -> tuple[Blame, ...]:
    """Return the runs that may have crashed their worker.

    A lasting run that has proven itself is not blamed, as it would meet
    crashes of other causes all the time.
    """
    unproven = [run for run in runs if not run.proven]
    alone = [run for run in unproven if run.on_probation]
    if len(alone) == 1:
        return (_build_blame(alone[0], isolated=True),)
    if len(unproven) == 1:
        return (_build_blame(unproven[0]),)
    return tuple(
        _build_blame(run) for run in runs if not run.proven or not run.lasting
    )


def _build_blame(run: LostRun, isolated: bool = False) -> Blame:
    return Blame(run.job, run.key, run.run, not run.proven, isolated)


def _count_crash(state: TaskState, blame: Blame) -> TaskState:
    """Return the state of a blamed task; each run counts once."""
    if blame.run in state.crashed_runs:
        return state
    return replace(
        state,
        crashed_runs=(*state.crashed_runs, blame.run),
        suspected=blame.suspected,
    )


def _must_give_up(
    state: TaskState, blame: Blame, settings: CrashSettings
) -> bool:
    """Return whether a task is not to be started again after a crash."""
    crashes = len(state.crashed_runs)
    if blame.isolated and crashes >= settings.max_isolated_crashes:
        return True
    return crashes >= settings.max_crashes


class CrashRecorder:
    """Counts crashes against tasks, and fails the jobs that cause them.

    - `jobs`: all jobs by name.
    - `changed`: names of the jobs whose progress has to be stored.
    - `fail_job`: ends a job as failed.
    """

    def __init__(
        self,
        jobs: dict[str, JobRecord],
        changed: set[str],
        fail_job: Callable[[JobRecord], None],
        settings: CrashSettings,
    ) -> None:
        self._jobs = jobs
        self._changed = changed
        self._fail_job = fail_job
        self._settings = settings

    def record(self, lost: LostWorker) -> None:
        """Count a worker's crash against the tasks that may have caused it."""
        if lost.blames:
            WORKER_CRASHES.inc()
        for blame in lost.blames:
            record = self._jobs.get(blame.job)
            if record is not None and record.ended is None:
                self._count(record, blame, lost)

    def _count(
        self, record: JobRecord, blame: Blame, lost: LostWorker
    ) -> None:
        before = record.get_task(blame.key)
        state = _count_crash(before, blame)
        if state is before or before.status is TaskStatus.DONE:
            return
        record.set_task(blame.key, state)
        self._changed.add(record.name)
        gives_up = _must_give_up(state, blame, self._settings)
        logger.info(
            "crash counted against a task",
            extra={
                "job": record.name,
                "task": record.name_task(blame.key),
                "run": blame.run,
                "worker": lost.name,
                "born_ms": lost.born_ms,
                "vm": lost.vm,
                "crashes": len(state.crashed_runs),
                "suspected": blame.suspected,
                "isolated": blame.isolated,
                "gives_up": gives_up,
            },
        )
        if gives_up:
            JOBS_GIVEN_UP.inc()
            failed = replace(state, status=TaskStatus.FAILED)
            record.set_task(blame.key, failed)
            self._fail_job(record)


class LostWorkers:
    """Workers that were given up before it was known whether they crashed."""

    def __init__(self, remember_seconds: float) -> None:
        self._remember_seconds = remember_seconds
        self._lost: dict[tuple[str, int], LostWorker] = {}

    def add(self, lost: LostWorker) -> None:
        """Remember a worker until its fate is known."""
        if lost.blames:
            self._lost[lost.name, lost.born_ms] = lost

    def forget(self, name: str, born_ms: int) -> None:
        """Forget a worker that answers again, and so had not crashed."""
        self._lost.pop((name, born_ms), None)

    def take_crashed(
        self, newest: dict[str, WorkerEntry], now: float
    ) -> list[LostWorker]:
        """Remove and return the workers that their successors show to crash.

        `newest` has the entry of the newest worker of each VM. Workers whose
        VMs were moved, or that were lost too long ago, are dropped.
        """
        crashed = []
        for key, lost in list(self._lost.items()):
            successor = newest.get(lost.vm)
            if successor is not None and lost.is_replaced_by(successor):
                if lost.is_crash(successor):
                    crashed.append(lost)
                del self._lost[key]
            elif now - lost.lost_at > self._remember_seconds:
                del self._lost[key]
        return crashed
