"""Reservations of room that becomes free, and backfill around them."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.workers import PlacedRun, WorkerState

__all__ = [
    "PoolOutlook",
    "Reservation",
    "ReservationBook",
    "ReservationSettings",
]

# Workers that one search looks at. A larger pool nearly always has one among
# them that is free as soon as any, and a round must not cost more than the
# pool grows.
MAX_CANDIDATES = 64


@dataclass(frozen=True)
class ReservationSettings:
    """Limits of look-ahead placement."""

    # Reservations of a pool at a time, as a part of its workers; at least
    # one. The others stay open to all work.
    max_share: float = 0.125
    # How long after the first forecast other work may still start beside a
    # reservation. After that its workers take nothing else, so its tasks wait
    # at most for the runs that are there.
    backfill_seconds: float = 1.0


@dataclass(frozen=True)
class Reservation:
    """Room on one worker for tasks that do not fit there yet.

    - `job`, `step`: the tasks it is for, all of the same size.
    - `worker`: name of the worker.
    - `tasks`: how many of the tasks.
    - `start_at`: when the room is expected to be free, monotonic.
    - `closes_at`: after this monotonic time the worker takes nothing else.
    - `waits_for`: tasks whose runs have to end first.
    """

    job: str
    step: Step
    worker: str
    tasks: int
    start_at: float
    closes_at: float
    waits_for: tuple[str, ...] = ()


@dataclass(frozen=True)
class _Room:
    """Free or needed resources of a worker."""

    millicores: int
    memory_mb: int
    accelerators: int

    def count_tasks(self, step: Step) -> int:
        """Return how many tasks of a step fit."""
        counts = [step.count]
        if step.millicores and not step.filler:
            counts.append(self.millicores // step.millicores)
        if step.memory_mb:
            counts.append(self.memory_mb // step.memory_mb)
        if step.accelerators:
            counts.append(self.accelerators // step.accelerators)
        return max(0, min(counts))

    def add(self, step: Step, sign: int = 1) -> "_Room":
        """Return the room after adding or taking away a task's resources."""
        millicores = 0 if step.filler else step.millicores
        return _Room(
            self.millicores + sign * millicores,
            self.memory_mb + sign * step.memory_mb,
            self.accelerators + sign * step.accelerators,
        )


def _get_free_room(worker: WorkerState) -> _Room:
    entry = worker.entry
    return _Room(
        entry.millicores - worker.used_millicores,
        entry.memory_mb - worker.used_memory_mb,
        entry.accelerators - worker.used_accelerators,
    )


@dataclass(frozen=True)
class PoolOutlook:
    """What is foreseen of a pool.

    - `predict_end`: when a run is expected to end, monotonic; None for runs
      that last.
    - `arrivals`: when VMs that move to the pool are expected, monotonic.
    """

    predict_end: Callable[[PlacedRun], float | None]
    arrivals: tuple[float, ...] = ()


@dataclass(frozen=True)
class _Opening:
    """Room on one worker from a time on, once some runs have ended."""

    at: float
    worker: str
    tasks: int
    waits_for: tuple[str, ...]


@dataclass
class ReservationBook:
    """The reservations of one pool, kept from round to round.

    The caller passes the time and must lock access.
    """

    settings: ReservationSettings = field(default_factory=ReservationSettings)
    _by_worker: dict[str, Reservation] = field(default_factory=dict)
    # When a job's reservations close, from its first one on, so that a wrong
    # forecast does not postpone that.
    _closes_at: dict[str, float] = field(default_factory=dict)

    def list_reservations(self) -> list[Reservation]:
        """Return the present reservations, by worker name."""
        return [self._by_worker[name] for name in sorted(self._by_worker)]

    def keep_only(self, jobs: set[str]) -> None:
        """Drop the reservations of jobs that no longer wait for room."""
        for job in [job for job in self._closes_at if job not in jobs]:
            self.release(job)

    def drop_workers(self, usable: set[str]) -> None:
        """Drop the reservations on workers that are not usable."""
        for name in self._by_worker.keys() - usable:
            del self._by_worker[name]

    def release(self, job: str) -> None:
        """Drop the reservations of a job."""
        self._closes_at.pop(job, None)
        for name, reservation in list(self._by_worker.items()):
            if reservation.job == job:
                del self._by_worker[name]

    def reserve(
        self,
        job: str,
        step: Step,
        tasks: int,
        workers: list[WorkerState],
        outlook: PoolOutlook,
        now: float,
    ) -> list[Reservation]:
        """Reserve room for tasks of a step, where it is free first.

        All of the tasks of a gang or none. Replaces the job's earlier
        reservations, as its forecasts may have changed. Returns none if a VM
        that is on its way is there sooner, or if the limit is reached.
        """
        for name, reservation in list(self._by_worker.items()):
            if reservation.job == job:
                del self._by_worker[name]
        limit = max(1, int(self.settings.max_share * len(workers)))
        allowed = limit - len(self._by_worker)
        openings = self._find_openings(
            step, tasks, workers, outlook, allowed, now
        )
        if not openings:
            return []
        start_at = max(opening.at for opening in openings)
        if any(arrival <= start_at for arrival in outlook.arrivals):
            return []
        closes_at = self._closes_at.setdefault(
            job, start_at + self.settings.backfill_seconds
        )
        made = [
            Reservation(
                job,
                step,
                opening.worker,
                opening.tasks,
                start_at,
                closes_at,
                opening.waits_for,
            )
            for opening in openings
        ]
        for reservation in made:
            self._by_worker[reservation.worker] = reservation
        return made

    def _find_openings(
        self,
        step: Step,
        tasks: int,
        workers: list[WorkerState],
        outlook: PoolOutlook,
        allowed: int,
        now: float,
    ) -> list[_Opening]:
        """Return the earliest openings that hold the tasks together.

        A gang needs all of its tasks; of other steps one task is enough.
        """
        if allowed <= 0:
            return []
        needed = tasks if step.gang else 1
        free = [item for item in workers if item.name not in self._by_worker]
        candidates = heapq.nsmallest(
            MAX_CANDIDATES,
            free,
            key=lambda item: (item.lasting_runs, item.used_millicores),
        )
        steps_by_worker = [
            self._list_openings(worker, step, needed, outlook, now)
            for worker in candidates
        ]
        chosen: dict[str, _Opening] = {}
        found = 0
        for opening in heapq.merge(
            *steps_by_worker, key=lambda item: (item.at, item.worker)
        ):
            before = chosen.get(opening.worker)
            if before is None and len(chosen) >= allowed:
                continue
            found += opening.tasks - (before.tasks if before else 0)
            chosen[opening.worker] = opening
            if found >= needed:
                return list(chosen.values())
        return []

    @staticmethod
    def _list_openings(
        worker: WorkerState,
        step: Step,
        needed: int,
        outlook: PoolOutlook,
        now: float,
    ) -> list[_Opening]:
        """Return the times at which more tasks of a step fit, in order."""
        label = step.required_label
        if label and label not in worker.entry.labels:
            return []
        limit = min(needed, step.spread_limit or needed)
        ends = sorted(
            (end, task, run.step)
            for task, run in worker.runs.items()
            if (end := outlook.predict_end(run)) is not None
        )
        room = _get_free_room(worker)
        openings: list[_Opening] = []
        waits_for: list[str] = []
        fitting = min(limit, room.count_tasks(step))
        if fitting:
            openings.append(_Opening(now, worker.name, fitting, ()))
        for end, task, ended_step in ends:
            if fitting >= limit:
                break
            room = room.add(ended_step)
            waits_for.append(task)
            count = min(limit, room.count_tasks(step))
            if count > fitting:
                fitting = count
                openings.append(
                    _Opening(end, worker.name, count, tuple(waits_for))
                )
        return openings

    def allows(
        self,
        job: str,
        step: Step,
        worker: WorkerState,
        ends_at: float | None,
        outlook: PoolOutlook,
        now: float,
    ) -> bool:
        """Return whether a task may start beside the worker's reservation.

        `ends_at` is when the task is expected to end, None if it lasts. It
        may start if it ends before the reserved room is needed, or if enough
        room is left beside it then.
        """
        reservation = self._by_worker.get(worker.name)
        if reservation is None or reservation.job == job:
            return True
        if now >= reservation.closes_at:
            return False
        if ends_at is not None and ends_at <= reservation.start_at:
            return True
        room = _get_free_room(worker)
        for run in worker.runs.values():
            end = outlook.predict_end(run)
            if end is not None and end <= reservation.start_at:
                room = room.add(run.step)
        for _ in range(reservation.tasks):
            room = room.add(reservation.step, -1)
        return room.count_tasks(step) > 0
