"""How much each pool has to do, against the room that it has."""

from dataclasses import dataclass

from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.progress import (
    JobRecord,
    Lateness,
    TaskStatus,
)
from chestnutstair.scheduling.workers import WorkerState

__all__ = ["PoolLoad", "measure_loads"]

# Over which the work that comes in is measured, and how many jobs must have
# come: fewer say little, as one large job is no trend. Where many jobs come,
# the shorter time shows a turn as it begins.
RATE_WINDOWS = ((1.2, 4), (0.4, 8))
# What waits counts in full if it can be in time, little if it will be late,
# and not at all once it is of no use: room is then better kept for others.
LATENESS_WEIGHTS = {
    Lateness.IN_TIME: 1.0,
    Lateness.LATE: 0.3,
    Lateness.USELESS: 0.0,
}


@dataclass(frozen=True)
class PoolLoad:
    """The load of one pool, in millicores and tasks.

    `lasting` and `batch` are what runs and is not being stopped; `waiting`
    is what could start now. `coming` is what jobs will need in a later step
    beyond what they need now. `late_batch` and `late_waiting` are the parts
    of jobs that will not be in time. `rate` is the work that came in lately,
    in millicore-seconds a second, 0 if it came in too few jobs to tell.
    `widest` is the most workers that one lasting step spreads over.
    """

    service: str
    workers: int
    room: int
    lasting: int
    batch: int
    waiting: int
    coming: int
    late_batch: int
    late_waiting: int
    rate: int
    lasting_tasks: int
    filler_tasks: int
    widest: int


def measure_loads(tracker: JobTracker, now: float) -> list[PoolLoad]:
    """Return the load of each pool; the caller holds the book's lock."""
    rates = _measure_rates(tracker, now)
    waiting: dict[str, int] = {}
    coming: dict[str, int] = {}
    late: dict[str, int] = {}
    widest: dict[str, int] = {}
    for record in tracker.active.values():
        service = tracker.find_queue(record.submission).service
        ready, later = measure_demand(record)
        weight = LATENESS_WEIGHTS[record.lateness]
        waiting[service] = waiting.get(service, 0) + round(weight * ready)
        coming[service] = coming.get(service, 0) + round(weight * later)
        if record.lateness is not Lateness.IN_TIME:
            late[service] = late.get(service, 0) + round(weight * ready)
        for step in record.steps:
            if step.lasting and step.spread_limit:
                width = -(-step.count // step.spread_limit)
                widest[service] = max(widest.get(service, 0), width)
    loads = []
    pools: dict[str, list[WorkerState]] = {}
    for worker in tracker.workers.values():
        if not worker.gone:
            pools.setdefault(worker.entry.service, []).append(worker)
    for service in sorted(tracker.configuration.services):
        workers = pools.get(service, [])
        runs = [run for worker in workers for run in worker.runs.values()]
        batch = [
            run
            for run in runs
            if not (run.step.lasting or run.step.filler or run.stopping)
        ]
        loads.append(
            PoolLoad(
                service=service,
                workers=len(workers),
                room=sum(worker.entry.millicores for worker in workers),
                lasting=sum(
                    run.step.millicores
                    for run in runs
                    if run.step.lasting and not run.step.filler
                ),
                batch=sum(run.step.millicores for run in batch),
                late_batch=sum(
                    run.step.millicores
                    for run in batch
                    if _is_late(tracker, run.job)
                ),
                late_waiting=late.get(service, 0),
                waiting=waiting.get(service, 0),
                coming=coming.get(service, 0),
                rate=round(rates.get(service, 0.0)),
                lasting_tasks=sum(run.step.lasting for run in runs),
                filler_tasks=sum(run.step.filler for run in runs),
                widest=widest.get(service, 0),
            )
        )
    return loads


def _is_late(tracker: JobTracker, job: str) -> bool:
    record = tracker.active.get(job)
    return record is not None and record.lateness is not Lateness.IN_TIME


def _measure_rates(tracker: JobTracker, now: float) -> dict[str, float]:
    rates: dict[str, float] = {}
    for seconds, min_jobs in RATE_WINDOWS:
        works: dict[str, list[float]] = {}
        for arrival in reversed(tracker.arrivals):
            if now - arrival.at > seconds:
                break
            works.setdefault(arrival.service, []).append(arrival.work)
        for service, items in works.items():
            if len(items) >= min_jobs:
                rate = sum(items) / seconds
                rates[service] = max(rate, rates.get(service, 0.0))
    return rates


def measure_demand(record: JobRecord) -> tuple[int, int]:
    """Return the millicores that wait for room, and that come on top.

    What comes on top is the widest later step, less what the job needs now.
    """
    if not record.is_due:
        return 0, 0
    ready = running = widest_later = 0
    for number, step in enumerate(record.steps):
        if step.filler:
            continue
        progress = record.get_step_progress(record.current_occurrence, number)
        waiting = len(progress.waiting) * step.millicores
        running += progress.counts[TaskStatus.PLACED] * step.millicores
        if all(
            record.is_step_done(record.current_occurrence, before)
            for before in step.after
        ):
            ready += waiting
        else:
            widest_later = max(widest_later, waiting)
    return ready, max(0, widest_later - ready - running)
