"""How much each pool has to do, against the room that it has."""

from dataclasses import dataclass

from chestnutstair.scheduling.book import JobBook
from chestnutstair.scheduling.progress import JobRecord, TaskKey, TaskStatus

__all__ = ["PoolLoad", "measure_loads"]

RATE_SECONDS = 1.0  # some ten jobs come in it when a queue's turn begins


@dataclass(frozen=True)
class PoolLoad:
    """The load of one pool, in millicores and tasks.

    `lasting` and `batch` are what runs; `waiting` is what could start now;
    `coming` belongs to steps that wait for others. `rate` is the work that
    came in lately, in millicore-seconds a second. `widest` is the most
    workers that one lasting step spreads over.
    """

    service: str
    workers: int
    room: int
    lasting: int
    batch: int
    waiting: int
    coming: int
    rate: int
    lasting_tasks: int
    filler_tasks: int
    widest: int


def measure_loads(book: JobBook, now: float) -> list[PoolLoad]:
    """Return the load of each pool; the caller holds the book's lock."""
    rates: dict[str, float] = {}
    for arrival in reversed(book.arrivals):
        if now - arrival.at > RATE_SECONDS:
            break
        share = arrival.work / RATE_SECONDS
        rates[arrival.service] = rates.get(arrival.service, 0.0) + share
    waiting: dict[str, int] = {}
    coming: dict[str, int] = {}
    widest: dict[str, int] = {}
    for record in book.active.values():
        service = book.find_queue(record.submission).service
        ready, later = measure_waiting(record)
        waiting[service] = waiting.get(service, 0) + ready
        coming[service] = coming.get(service, 0) + later
        for step in record.steps:
            if step.lasting and step.spread_limit:
                width = -(-step.count // step.spread_limit)
                widest[service] = max(widest.get(service, 0), width)
    loads = []
    for service in sorted(book.configuration.services):
        workers = [
            worker
            for worker in book.workers.values()
            if worker.entry.service == service and not worker.gone
        ]
        runs = [run for worker in workers for run in worker.runs.values()]
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
                batch=sum(
                    run.step.millicores
                    for run in runs
                    if not run.step.lasting and not run.step.filler
                ),
                waiting=waiting.get(service, 0),
                coming=coming.get(service, 0),
                rate=round(rates.get(service, 0.0)),
                lasting_tasks=sum(run.step.lasting for run in runs),
                filler_tasks=sum(run.step.filler for run in runs),
                widest=widest.get(service, 0),
            )
        )
    return loads


def measure_waiting(record: JobRecord) -> tuple[int, int]:
    """Return the millicores that wait for room, and for other steps."""
    ready = later = 0
    for number, step in enumerate(record.steps):
        if step.filler:
            continue
        open_tasks = sum(
            record.get_task(TaskKey(0, number, index)).status
            is TaskStatus.WAITING
            for index in range(step.count)
        )
        if all(record.is_step_done(0, before) for before in step.after):
            ready += open_tasks * step.millicores
        else:
            later += open_tasks * step.millicores
    return ready, later
