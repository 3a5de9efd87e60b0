"""Finds the tasks that crash the workers that start them.

A crash ends all runs of a worker, and nothing reports which of them caused
it. A run that its worker still lists some time after the start has proven
that it does not crash the worker by starting; the others are suspected. A
suspected task runs again only on a worker without any other unproven run, so
that a second crash has one cause.
"""

from dataclasses import dataclass, replace

from chestnutstair.scheduling.progress import TaskKey, TaskState
from chestnutstair.scheduling.workers import WorkerState

__all__ = [
    "Blame",
    "CrashSettings",
    "LostRun",
    "LostWorker",
    "LostWorkers",
    "assign_blame",
    "count_crash",
    "list_lost_runs",
    "must_give_up",
]


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

    `lost_at` is in monotonic time.
    """

    name: str
    born_ms: int
    vm: str
    blames: tuple[Blame, ...]
    lost_at: float


def list_lost_runs(worker: WorkerState) -> list[LostRun]:
    """Return the runs that are lost with a worker."""
    return [
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


def count_crash(state: TaskState, blame: Blame) -> TaskState:
    """Return the state of a blamed task; each run counts once."""
    if blame.run in state.crashed_runs:
        return state
    return replace(
        state,
        crashed_runs=(*state.crashed_runs, blame.run),
        suspected=blame.suspected,
    )


def must_give_up(
    state: TaskState, blame: Blame, settings: CrashSettings
) -> bool:
    """Return whether a task is not to be started again after a crash."""
    crashes = len(state.crashed_runs)
    if blame.isolated and crashes >= settings.max_isolated_crashes:
        return True
    return crashes >= settings.max_crashes


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

    def take_replaced(
        self, newest_born_ms: dict[str, int], now: float
    ) -> list[LostWorker]:
        """Remove and return the workers that have a successor on their VM.

        `newest_born_ms` has the start of the newest worker of each VM. Workers
        that were lost too long ago are dropped.
        """
        replaced = []
        for key, lost in list(self._lost.items()):
            if lost.born_ms < newest_born_ms.get(lost.vm, 0):
                replaced.append(lost)
                del self._lost[key]
            elif now - lost.lost_at > self._remember_seconds:
                del self._lost[key]
        return replaced
