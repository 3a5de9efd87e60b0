"""Measures the load of each pool against its capacity."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from chestnutstair.scheduling.job_tracker import Arrival, JobTracker
from chestnutstair.scheduling.organisations.caps import Caps
from chestnutstair.scheduling.organisations.usage import NOTHING, Amounts
from chestnutstair.scheduling.progress import JobRecord, Lateness
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.workers import WorkerState

__all__ = ["PoolLoad", "measure_loads"]

# Windows over which the arrival rate is measured: length in seconds, and the
# number of jobs that must have arrived in it. With fewer jobs, a single large
# one would look like a trend. Where many jobs arrive, the shorter window shows
# the start of a burst.
RATE_WINDOWS = ((1.2, 4), (0.4, 8))
# Weight of waiting work in the demand: full if it can meet its objective, low
# if it will be late, and none once its result is useless, as other jobs then
# make better use of the capacity.
LATENESS_WEIGHTS = {
    Lateness.IN_TIME: 1.0,
    Lateness.LATE: 0.3,
    Lateness.USELESS: 0.0,
}


@dataclass(frozen=True)
class PoolLoad:
    """The load of one pool; amounts are in millicores."""

    service: str
    workers: int
    # Capacity of all workers.
    room: int
    # Running lasting tasks, without fillers.
    lasting: int
    # Running batch tasks, without those being stopped.
    batch: int
    # Tasks that could start now, weighted by lateness.
    waiting: int
    # What jobs will need for a later step beyond their present need, weighted
    # by lateness.
    coming: int
    # The parts of `batch` and `waiting` of jobs that will be late.
    late_batch: int
    late_waiting: int
    # Recent arrivals in millicore-seconds per second; 0 if too few jobs
    # arrived to measure it.
    rate: int
    # Critical path and slack of the arrivals that `rate` counts, averaged by
    # work.
    path_seconds: float
    slack_seconds: float
    # Numbers of running tasks.
    lasting_tasks: int
    filler_tasks: int
    # Largest number of workers over which a lasting step must be spread.
    widest: int
    # Waiting tasks that may crash their worker and so have to start alone.
    suspects: int = 0
    # Workers that take new tasks.
    usable: int = 0
    # VMs needed in addition for waiting tasks that fit on no usable worker,
    # even once its batch tasks have ended.
    stranded: int = 0


def measure_loads(tracker: JobTracker, now: float) -> list[PoolLoad]:
    """Return each pool's load; the caller must hold the tracker's lock."""
    tracker.caps.apply_configuration(tracker.configuration)
    demand = _CappedDemand(tracker.caps)
    waiting: dict[str, int] = {}
    coming: dict[str, int] = {}
    late: dict[str, int] = {}
    widest: dict[str, int] = {}
    suspects = _count_suspects(tracker)
    stranded = _StrandedTasks(tracker)
    for record in tracker.active.values():
        service = tracker.find_queue(record.submission).service
        if record.is_due:
            stranded.add(record, service)
            weight = LATENESS_WEIGHTS[record.lateness]
            needs = demand.measure(record)
            ready, later = (round(weight * need) for need in needs)
            waiting[service] = waiting.get(service, 0) + ready
            coming[service] = coming.get(service, 0) + later
            if record.lateness is not Lateness.IN_TIME:
                late[service] = late.get(service, 0) + ready
        if not record.is_lasting:
            continue
        for step in record.steps:
            if step.lasting and step.spread_limit:
                width = -(-step.count // step.spread_limit)
                widest[service] = max(widest.get(service, 0), width)
    rates = _measure_rates(tracker, now, demand.held)
    loads = []
    pools: dict[str, list[WorkerState]] = {}
    for worker in tracker.workers.values():
        if not worker.gone:
            pools.setdefault(worker.entry.service, []).append(worker)
    for service in sorted(tracker.configuration.services):
        workers = pools.get(service, [])
        rate = rates.get(service, NO_ARRIVALS)
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
                rate=round(rate.work_per_second),
                path_seconds=rate.path_seconds,
                slack_seconds=rate.slack_seconds,
                lasting_tasks=sum(run.step.lasting for run in runs),
                filler_tasks=sum(run.step.filler for run in runs),
                widest=widest.get(service, 0),
                suspects=suspects[service],
                usable=len(stranded.usable.get(service, ())),
                stranded=stranded.vms[service],
            )
        )
    return loads


class _CappedDemand:
    """What the jobs of organisations need, as far as their caps admit it.

    What a cap holds back requests no VMs, as these would have no use.
    """

    def __init__(self, caps: Caps) -> None:
        self._caps = caps
        # What starts next, by organisation, in addition to what runs.
        self._planned: dict[str, Amounts] = {}
        # Organisations with work that is held back.
        self.held: set[str] = set()

    def measure(self, record: JobRecord) -> tuple[float, float]:
        """Return the millicores that a job needs now and later."""
        outlook = record.outlook
        organisation = record.submission.organisation
        if not self._caps.has_limit(organisation):
            return outlook.waiting_millicores, outlook.later_millicores
        planned = self._planned.get(organisation, NOTHING)
        room = self._caps.measure_room(organisation, planned)
        if not room or not self._caps.version:
            self.held.add(organisation)
            return 0.0, 0.0
        before = planned
        for number in outlook.startable:
            step = record.steps[number]
            progress = record.get_step_progress(
                record.current_occurrence, number
            )
            waiting = len(progress.waiting)
            count = self._caps.count_admitted(organisation, step, planned)
            if count < waiting:
                self.held.add(organisation)
            planned = planned.add(Amounts.measure(step, min(count, waiting)))
        self._planned[organisation] = planned
        ready = planned.millicores - before.millicores
        room = self._caps.measure_room(organisation, planned)
        return ready, min(outlook.later_millicores, room)


@dataclass(frozen=True)
class _FreeRoom:
    """Room of a worker beside its lasting tasks."""

    millicores: int
    memory_mb: int
    accelerators: int

    def fits(self, step: Step) -> bool:
        """Return whether a task of the step fits."""
        return (
            (step.filler or step.millicores <= self.millicores)
            and step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
        )


def _measure_free_room(worker: WorkerState) -> _FreeRoom:
    entry = worker.entry
    millicores = entry.millicores
    memory_mb = entry.memory_mb
    accelerators = entry.accelerators
    if worker.lasting_runs:
        for run in worker.runs.values():
            step = run.step
            if step.lasting:
                millicores -= 0 if step.filler else step.millicores
                memory_mb -= step.memory_mb
                accelerators -= step.accelerators
    return _FreeRoom(millicores, memory_mb, accelerators)


class _StrandedTasks:
    """Waiting tasks that no end of a batch task gives room.

    Only further VMs can, whatever the demand for processors is and however
    late the tasks are: without these they would wait forever.
    """

    def __init__(self, tracker: JobTracker) -> None:
        self._tracker = tracker
        self.usable: dict[str, list[_FreeRoom]] = {}
        self.vms: Counter[str] = Counter()
        sizes = set()
        for worker in tracker.workers.values():
            entry = worker.entry
            if worker.gone:
                continue
            sizes.add((entry.millicores, entry.memory_mb, entry.accelerators))
            if not worker.cordoned and not entry.draining:
                rooms = self.usable.setdefault(entry.service, [])
                rooms.append(_measure_free_room(worker))
        self._empty = [_FreeRoom(*size) for size in sizes]

    def add(self, record: JobRecord, service: str) -> None:
        """Add the VMs that a job needs for tasks that are stranded."""
        rooms = self.usable.get(service, ())
        organisation = record.submission.organisation
        for number in record.outlook.startable:
            step = record.steps[number]
            if (
                any(room.fits(step) for room in rooms)
                or step.required_label  # another VM may not have it either
                or not any(room.fits(step) for room in self._empty)
                or not self._tracker.caps.may_start(organisation, step)
            ):
                continue
            self.vms[service] += self._count_vms(record, step, number)

    def _count_vms(self, record: JobRecord, step: Step, number: int) -> int:
        """Return how many VMs the waiting tasks of a step need, at least 1."""
        progress = record.get_step_progress(record.current_occurrence, number)
        share_of_vm = min(
            max(
                step.millicores / max(1, room.millicores),
                step.memory_mb / max(1, room.memory_mb),
                step.accelerators / max(1, room.accelerators),
            )
            for room in self._empty
            if room.fits(step)
        )
        tasks = LATENESS_WEIGHTS[record.lateness] * len(progress.waiting)
        return max(1, math.ceil(tasks * share_of_vm))


def _count_suspects(tracker: JobTracker) -> Counter[str]:
    suspects: Counter[str] = Counter()
    for record in tracker.active.values():
        organisation = record.submission.organisation
        for key in record.suspects:
            if tracker.caps.may_start(organisation, record.steps[key.step]):
                service = tracker.find_queue(record.submission).service
                suspects[service] += 1
    return suspects


def _is_late(tracker: JobTracker, job: str) -> bool:
    record = tracker.active.get(job)
    return record is not None and record.lateness is not Lateness.IN_TIME


@dataclass(frozen=True)
class _ArrivalRate:
    """Arrivals of a pool: millicore-seconds a second, and averages."""

    work_per_second: float
    path_seconds: float
    slack_seconds: float


NO_ARRIVALS = _ArrivalRate(0.0, 0.0, 0.0)


def _measure_rates(
    tracker: JobTracker, now: float, held: set[str]
) -> dict[str, _ArrivalRate]:
    """Return the rate of each pool, without the organisations in `held`."""
    rates: dict[str, _ArrivalRate] = {}
    for seconds, min_jobs in RATE_WINDOWS:
        arrivals: dict[str, list[Arrival]] = {}
        for arrival in reversed(tracker.arrivals):
            if now - arrival.at > seconds:
                break
            if arrival.organisation not in held:
                arrivals.setdefault(arrival.service, []).append(arrival)
        for service, items in arrivals.items():
            if len(items) < min_jobs:
                continue
            rate = _average_arrivals(items, seconds)
            before = rates.get(service, NO_ARRIVALS)
            if rate.work_per_second > before.work_per_second:
                rates[service] = rate
    return rates


def _average_arrivals(arrivals: list[Arrival], seconds: float) -> _ArrivalRate:
    total = sum(arrival.work for arrival in arrivals)

    def average(read: Callable[[Arrival], float]) -> float:
        weighted = sum(arrival.work * read(arrival) for arrival in arrivals)
        return weighted / max(total, 1.0)

    return _ArrivalRate(
        total / seconds,
        average(lambda arrival: arrival.path_seconds),
        average(lambda arrival: arrival.slack_seconds),
    )
