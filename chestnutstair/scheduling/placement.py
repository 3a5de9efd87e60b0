"""Chooses the waiting tasks to start now, and a worker for each."""

import heapq
import logging
import sys
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from operator import attrgetter

from chestnutstair.scheduling.advice import AdviceCache
from chestnutstair.scheduling.configuration import Queue
from chestnutstair.scheduling.isolation import PoolIsolation
from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.lookahead import (
    LookAhead,
    ReservationSettings,
)
from chestnutstair.scheduling.organisations.excess import read_weights
from chestnutstair.scheduling.organisations.held import CapHolds, JobRank
from chestnutstair.scheduling.organisations.reports import UsageReport
from chestnutstair.scheduling.organisations.shares import (
    ExcessCredit,
    FairJob,
    FairOrder,
    classify_job,
)
from chestnutstair.scheduling.organisations.usage import Amounts
from chestnutstair.scheduling.progress import (
    JobRecord,
    Lateness,
    TaskKey,
)
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.urgency import (
    PassedOver,
    Prospect,
    Urgency,
    rank_job,
)
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.state.deadline import Clock

__all__ = [
    "Placement",
    "PlacementSettings",
    "Planner",
]

logger = logging.getLogger(__name__)

# Jobs of a pool for which a round looks for room, so that its cost does not
# grow with what waits. A pool reserves an eighth of its workers at most.
MAX_RESERVING = 16
FULLNESS = attrgetter("fullness")


@dataclass(frozen=True)
class PlacementSettings:
    """Limits for the placement of tasks."""

    # A worker gets new tasks only if it answered within this time; slightly
    # longer than one hold call waits.
    contact_seconds: float = 1.6
    # Delay of occurrences after their due time, as clocks differ.
    due_margin_ms: int = 50
    # A job counts as useless once its projected latency exceeds this multiple
    # of its latency objective.
    useless_factor: float = 3.0
    # Part of the slack between the estimated work and the objective that is
    # reserved for tasks that run longer, as estimates are up to half off.
    margin_share: float = 0.5
    # Limits of look-ahead placement; None switches it off.
    lookahead: ReservationSettings | None = None


@dataclass(frozen=True)
class Placement:
    """A run that the planner has placed on a worker."""

    record: JobRecord
    key: TaskKey
    worker: WorkerState
    run: int
    ticket: str = ""


class RejectedSizes:
    """Task sizes that fit on no worker of a pool in one planning round.

    A round only reserves room and never frees any, so a size that did not fit
    will not fit later in the round, and neither will a larger one.
    """

    def __init__(self) -> None:
        self._rejected: list[Step] = []

    def add(self, step: Step) -> None:
        """Record that no worker has room for a task of the step.

        Labels, spread limits and tickets are not considered.
        """
        self._rejected.append(step)

    def covers(self, step: Step) -> bool:
        """Return whether a task is at least as large as a rejected one."""
        millicores = 0 if step.filler else step.millicores
        return any(
            millicores >= (0 if other.filler else other.millicores)
            and step.memory_mb >= other.memory_mb
            and step.accelerators >= other.accelerators
            for other in self._rejected
        )


class PoolSizes:
    """Task sizes for which a worker of a pool has room as a round begins."""

    def __init__(self, pool: PoolIsolation, rejected: RejectedSizes) -> None:
        self._pool = pool
        self._rejected = rejected
        self._known: dict[tuple[int, int, int], bool] = {}

    def fits(self, step: Step) -> bool:
        """Return whether a worker has room for a task of the step."""
        millicores = 0 if step.filler else step.millicores
        size = (millicores, step.memory_mb, step.accelerators)
        known = self._known.get(size)
        if known is None:
            known = not self._rejected.covers(step) and any(
                worker.has_room(step) for worker in self._pool.open_workers
            )
            if not known:
                self._rejected.add(step)
            self._known[size] = known
        return known


def _choose_waiting(
    record: JobRecord, waiting: list[TaskKey], limit: int
) -> list[TaskKey]:
    """Return up to `limit` waiting tasks, and the suspects among all."""
    if len(waiting) <= limit:
        return waiting
    chosen = [key for key in waiting if key not in record.suspects][:limit]
    return [*chosen, *(key for key in waiting if key in record.suspects)]


def _sum_capacity(workers: list[WorkerState]) -> Amounts:
    return Amounts(
        sum(worker.entry.millicores for worker in workers),
        sum(worker.entry.memory_mb for worker in workers),
        sum(worker.entry.accelerators for worker in workers),
    )


def _get_kind(step: Step) -> tuple[object, ...]:
    """Return what decides which worker is best for a task of a step."""
    return (
        step.millicores,
        step.memory_mb,
        step.accelerators,
        step.filler,
        step.lasting,
        step.data_rack,
        step.required_label,
        step.spread_limit,
    )


def _rotate(items: list[str], count: int) -> list[str]:
    """Return the items in the same order, beginning `count` places later."""
    first = count % len(items) if items else 0
    return items[first:] + items[:first]


def _prefer(
    workers: list[WorkerState], is_preferred: Callable[[WorkerState], bool]
) -> list[WorkerState]:
    """Return the preferred workers, or all if there are none."""
    return [worker for worker in workers if is_preferred(worker)] or workers


def _filter_allowed(
    workers: list[WorkerState], allowed: set[str] | None
) -> list[WorkerState]:
    """Return the workers with an allowed name; None allows all."""
    if allowed is None:
        return workers
    return [worker for worker in workers if worker.name in allowed]


class Planner:
    """Places tasks of a tracker's jobs; callers must hold its lock."""

    def __init__(
        self,
        tracker: JobTracker,
        clock: Clock,
        settings: PlacementSettings,
        advice: AdviceCache,
    ) -> None:
        self._tracker = tracker
        self._advice = advice
        self._clock = clock
        self._settings = settings
        self._holds = CapHolds(tracker.caps)
        self._report = UsageReport(tracker.caps)
        self._excess_credits: dict[str, ExcessCredit] = {}  # by pool
        self._passed_over: dict[str, PassedOver] = {}  # by pool
        self._rounds = 0
        # The last task that was placed in this round: the workers to choose
        # from, its step and its worker.
        self._last_choice: (
            tuple[list[WorkerState], Step, WorkerState] | None
        ) = None
        self.lookahead: LookAhead | None = None
        if settings.lookahead is not None:
            self.lookahead = LookAhead(tracker.durations, settings.lookahead)

    def plan(
        self, now: float, wall_ms: float, limit: int = sys.maxsize
    ) -> list[Placement]:
        """Place the tasks that can start; return them by pool and urgency.

        Places no more than `limit` tasks, except for the rest of a gang. Each
        round begins with another pool, so that none is left out for long.
        """
        self._tracker.caps.apply_configuration(self._tracker.configuration)
        self._holds.begin_round(now)
        organisations = self._tracker.configuration.organisations
        weights = read_weights(organisations) if organisations else None
        by_service: dict[str, list[tuple[Urgency, str]]] = defaultdict(list)
        for name, record in list(self._tracker.active.items()):
            try:
                queue = self._tracker.find_queue(record.submission)
                urgency = self.compute_urgency(record, queue, wall_ms)
            except Exception:
                self._set_aside(record)
                continue
            by_service[queue.service].append((urgency, name))
        placements: list[Placement] = []
        self._rounds += 1
        self._last_choice = None
        for service in _rotate(list(by_service), self._rounds):
            jobs = by_service[service]
            left = limit - len(placements)
            workers = self._list_usable_workers(service, now)
            if not workers:
                continue
            passed_over = self._passed_over.setdefault(service, PassedOver())
            jobs = passed_over.promote(jobs, self._tracker.active)
            pool = PoolIsolation(workers)
            pool.reserve(self._count_suspects(jobs, workers))
            if self.lookahead is not None:
                self._reserve_room(self.lookahead, service, jobs, pool, now)
            if weights is None:
                placed = self._place_in_order(jobs, pool, wall_ms, left)
            else:
                placed = self._place_by_shares(
                    service, jobs, pool, wall_ms, weights, left
                )
            passed_over.record(item.record for item in placed)
            placements += placed
        self._holds.end_round()
        self._report.publish(self._tracker.active.values(), now)
        return placements

    def _place_in_order(
        self,
        jobs: list[tuple[Urgency, str]],
        pool: PoolIsolation,
        wall_ms: float,
        limit: int,
    ) -> list[Placement]:
        """Place a pool's jobs in the order of their urgency."""
        placements: list[Placement] = []
        rejected = RejectedSizes()
        for job in sorted(jobs, key=rank_job):
            left = limit - len(placements)
            if left <= 0:
                break
            placements += self._try_job(
                job[1], rank_job(job), pool, rejected, wall_ms, left
            )
        return placements

    # Look-ahead

    def _reserve_room(
        self,
        lookahead: LookAhead,
        service: str,
        jobs: list[tuple[Urgency, str]],
        pool: PoolIsolation,
        now: float,
    ) -> None:
        """Reserve room for the most urgent tasks that fit on no worker."""
        records = self._tracker.active
        lookahead.begin_pool(service, records, pool.open_workers, now)
        rejected = RejectedSizes()
        for _, name in heapq.nsmallest(MAX_RESERVING, jobs, rank_job):
            record = records[name]
            if not lookahead.is_entitled(record):
                continue
            for number in record.outlook.startable:
                self._reserve_step(lookahead, record, number, pool, rejected)

    def _reserve_step(
        self,
        lookahead: LookAhead,
        record: JobRecord,
        number: int,
        pool: PoolIsolation,
        rejected: RejectedSizes,
    ) -> None:
        step = record.steps[number]
        occurrence = record.current_occurrence
        waiting = record.get_step_progress(occurrence, number).waiting
        if step.gang and len(waiting) < step.count:
            return  # tasks of the previous run have not all ended
        fits = not rejected.covers(step) and any(
            worker.has_room(step) for worker in pool.open_workers
        )
        if not fits:
            rejected.add(step)
        if fits and not step.gang:
            lookahead.release(record)
        elif self._admits(record, step):
            lookahead.reserve(record, step, len(waiting), pool.open_workers)

    def _allows_beside_reservations(
        self, record: JobRecord, step: Step, worker: WorkerState
    ) -> bool:
        return self.lookahead is None or self.lookahead.allows(
            record, step, worker
        )

    # Shares of organisations

    def _place_by_shares(
        self,
        service: str,
        jobs: list[tuple[Urgency, str]],
        pool: PoolIsolation,
        wall_ms: float,
        weights: Mapping[str, float],
        limit: int,
    ) -> list[Placement]:
        """Place a pool's jobs by the shares of their organisations."""
        placements: list[Placement] = []
        if limit <= 0:
            return placements
        rejected = RejectedSizes()
        usage = self._tracker.usage
        credit = self._excess_credits.setdefault(service, ExcessCredit())
        order = FairOrder(
            self._classify_jobs(jobs, pool, rejected, weights),
            _sum_capacity(pool.workers),
            lambda organisation: usage.get_in_pool(organisation, service),
            weights,
            credit,
        )
        while (left := limit - len(placements)) > 0 and (
            turn := order.choose()
        ) is not None:
            job = turn.job
            placed = self._try_job(
                job.name,
                job.rank,
                pool,
                rejected,
                wall_ms,
                min(left, turn.limit),
            )
            record = self._tracker.active.get(job.name)
            order.record(
                turn,
                len(placed),
                record is not None and self._has_waiting(record),
            )
            placements += placed
        return placements

    @staticmethod
    def _has_waiting(record: JobRecord) -> bool:
        # Does not read the outlook, which each placement makes out of date.
        # Jobs with set times may have several occurrences that are due.
        return bool(record.submission.specification.occurrences) or any(
            record.get_step_progress(0, number).waiting
            for number in range(len(record.steps))
        )

    def _classify_jobs(
        self,
        jobs: list[tuple[Urgency, str]],
        pool: PoolIsolation,
        rejected: RejectedSizes,
        weights: Mapping[str, float],
    ) -> list[FairJob]:
        """Return the jobs that might place a task.

        In a full pool there are none, so that its rounds cost no more than
        those without organisations.
        """
        candidates = self._list_candidates(jobs, pool, rejected)
        if not candidates:
            return []
        # This leader sees the jobs of its shard only.
        part = self._tracker.caps.share
        beyond = self._tracker.excess.find_beyond(
            {name: part * weight for name, weight in weights.items()}
        )
        classified = []
        for job in candidates:
            urgency, name = job
            record = self._tracker.active[name]
            job_class = classify_job(
                record.is_lasting, urgency.lateness, name in beyond
            )
            organisation = record.submission.organisation
            classified.append(FairJob(organisation, job_class, rank_job(job)))
        return classified

    def _list_candidates(
        self,
        jobs: list[tuple[Urgency, str]],
        pool: PoolIsolation,
        rejected: RejectedSizes,
    ) -> list[tuple[Urgency, str]]:
        """Return the jobs with tasks that some worker has room for."""
        sizes = PoolSizes(pool, rejected)
        active = self._tracker.active
        candidates = []
        for job in jobs:
            record = active[job[1]]
            if (
                record.suspects
                or record.submission.specification.occurrences
                or any(
                    sizes.fits(record.steps[number])
                    for number in record.outlook.startable
                )
            ):
                organisation = record.submission.organisation
                if not organisation or not self._holds.is_closed(
                    organisation, record.steps
                ):
                    candidates.append(job)
        return candidates

    # Caps of organisations

    def _is_held(self, record: JobRecord, rank: JobRank) -> bool:
        """Return whether a gang of the owner that waits goes before a job."""
        organisation = record.submission.organisation
        return bool(organisation) and self._holds.begin_job(organisation, rank)

    def _count_admitted(
        self, record: JobRecord, step: Step, tasks: int
    ) -> int:
        """Return how many of a step's tasks the owner's cap lets start."""
        organisation = record.submission.organisation
        if not organisation:
            return tasks
        return self._holds.count_admitted(organisation, step, tasks)

    def _admits(self, record: JobRecord, step: Step) -> bool:
        """Return whether the owner's cap lets a task or gang start now."""
        organisation = record.submission.organisation
        return not organisation or self._holds.admits(organisation, step)

    def _try_job(
        self,
        name: str,
        rank: JobRank,
        pool: PoolIsolation,
        rejected: RejectedSizes,
        wall_ms: float,
        limit: int = sys.maxsize,
    ) -> list[Placement]:
        """Place up to `limit` tasks of a job; set it aside after an error.

        Gangs are placed as a whole.
        """
        record = self._tracker.active.get(name)
        if record is None or self._is_held(record, rank):
            return []
        try:
            return self._place_job(record, pool, rejected, wall_ms, limit)
        except Exception:
            self._set_aside(record)
            return []

    def _set_aside(self, record: JobRecord) -> None:
        # An error that comes back in each round would stall all other jobs,
        # under this leader and under the next.
        logger.exception(
            "cannot plan a job; it is set aside", extra={"job": record.name}
        )
        self._tracker.set_aside(record)

    def _count_suspects(
        self, jobs: list[tuple[Urgency, str]], workers: list[WorkerState]
    ) -> int:
        """Return how many waiting tasks that start alone a worker could take.

        Workers are not reserved for the others, which may never fit, or are
        held back by their organisation's cap.
        """
        count = 0
        for _, name in jobs:
            record = self._tracker.active[name]
            for key in record.suspects:
                step = record.steps[key.step]
                organisation = record.submission.organisation
                if not self._tracker.caps.may_start(organisation, step):
                    continue
                count += any(worker.could_take(step) for worker in workers)
        return count

    def compute_urgency(
        self, record: JobRecord, queue: Queue, wall_ms: float
    ) -> Urgency:
        """Return the urgency of a job and update its lateness."""
        if record.is_lasting:
            accepted_ms = record.submission.accepted_ms
            return Urgency(Lateness.IN_TIME, -1, accepted_ms)
        objective_ms = queue.compute_objective_ms(record.critical_path_ms)
        due_since_ms = record.advance_occurrence(wall_ms)
        record.lateness = self._judge_lateness(
            record, queue, wall_ms - due_since_ms, objective_ms
        )
        return Urgency(
            record.lateness,
            queue.priority,
            due_since_ms + objective_ms,
            self._judge_prospect(
                record, queue, wall_ms - due_since_ms, objective_ms
            ),
        )

    @staticmethod
    def _judge_prospect(
        record: JobRecord, queue: Queue, age_ms: float, objective_ms: float
    ) -> Prospect:
        remaining_ms = record.outlook.remaining_ms
        slack_ms = objective_ms - age_ms - queue.stretch * remaining_ms
        if record.has_begun_occurrence():
            # Its later steps may have to wait for room, too.
            is_safe = slack_ms >= queue.latency_objective_ms
            return Prospect.SAFE if is_safe else Prospect.BEGUN
        return Prospect.SAFE if slack_ms >= 0 else Prospect.TIGHT

    def _judge_lateness(
        self,
        record: JobRecord,
        queue: Queue,
        age_ms: float,
        objective_ms: float,
    ) -> Lateness:
        """Project the latency if every ready task started now.

        `age_ms` is the time since the job's latency counts.
        """
        settings = self._settings
        remaining_ms = record.outlook.remaining_ms
        # The margin counts a job that would barely meet its objective as
        # late, as it likely will be.
        margin = 1 + settings.margin_share * (queue.stretch - 1)
        projected_ms = age_ms + margin * remaining_ms
        if projected_ms > settings.useless_factor * objective_ms:
            return Lateness.USELESS
        if projected_ms > objective_ms:
            return Lateness.LATE
        return Lateness.IN_TIME

    def _list_usable_workers(
        self, service: str, now: float
    ) -> list[WorkerState]:
        contact_seconds = self._settings.contact_seconds
        return [
            worker
            for worker in self._tracker.workers.values()
            if worker.entry.service == service
            and not worker.gone
            and not worker.unresponsive
            and not worker.cordoned
            and not worker.entry.draining
            and worker.avoided_until <= now
            and worker.is_in_contact(now, contact_seconds)
        ]

    def _place_job(
        self,
        record: JobRecord,
        pool: PoolIsolation,
        rejected: RejectedSizes,
        wall_ms: float,
        limit: int,
    ) -> list[Placement]:
        placements: list[Placement] = []
        due_ms = wall_ms - self._settings.due_margin_ms
        if not record.submission.specification.occurrences:
            due_ms = wall_ms
        for occurrence, number in record.list_startable_steps(due_ms):
            if len(placements) >= limit:
                break
            step = record.steps[number]
            is_rejected = rejected.covers(step)
            if not is_rejected and not any(
                worker.has_room(step) for worker in pool.open_workers
            ):
                rejected.add(step)
                is_rejected = True
            if is_rejected and not record.suspects:
                continue
            indexes = record.get_step_progress(occurrence, number).waiting
            waiting = [
                TaskKey(occurrence, number, index) for index in sorted(indexes)
            ]
            if not step.gang:
                waiting = _choose_waiting(
                    record, waiting, limit - len(placements)
                )
            placements += self._place_step(record, step, waiting, pool)
        return placements

    def _place_step(
        self,
        record: JobRecord,
        step: Step,
        waiting: list[TaskKey],
        pool: PoolIsolation,
    ) -> list[Placement]:
        queue = self._tracker.find_queue(record.submission)
        tickets: dict[str, str] = {}
        allowed: set[str] | None = None
        if queue.advice_seconds:
            tickets = self._find_tickets(
                record, waiting[0], pool.workers, queue
            )
            allowed = set(tickets)
        workers = _filter_allowed(pool.open_workers, allowed)
        if step.gang:
            # Its tasks have to start together, so none can start alone.
            placed = self._place_gang(record, step, waiting, workers)
        else:
            suspects = [key for key in waiting if key in record.suspects]
            others = [key for key in waiting if key not in record.suspects]
            placed = self._place_tasks(record, step, others, workers)
            for key in suspects:
                placed += self._place_suspect(record, key, pool, allowed)
        return [
            replace(item, ticket=tickets.get(item.worker.name, ""))
            for item in placed
        ]

    def _find_tickets(
        self,
        record: JobRecord,
        key: TaskKey,
        workers: list[WorkerState],
        queue: Queue,
    ) -> dict[str, str]:
        return self._advice.find_tickets(
            record.name_step(key),
            [(item.name, item.entry.born_ms) for item in workers],
            queue.advice_seconds,
        )

    def _place_tasks(
        self,
        record: JobRecord,
        step: Step,
        waiting: list[TaskKey],
        workers: list[WorkerState],
    ) -> list[Placement]:
        placements: list[Placement] = []
        worker = self._recall_choice(step, workers)
        admitted = self._count_admitted(record, step, len(waiting))
        for key in waiting[:admitted]:
            if worker is None or not self._remains_best(record, step, worker):
                worker = self._choose_worker(record, step, key, workers)
            if worker is None:
                if not step.spread_limit:
                    break  # the other tasks of the step have the same size
                continue
            run = self._tracker.place(record, key, worker)
            placements.append(Placement(record, key, worker, run))
        if placements:
            self._last_choice = None
            # Otherwise the choice also depends on the job.
            if not (step.spread_limit or record.failed_on or self.lookahead):
                self._last_choice = (workers, step, placements[-1].worker)
        return placements

    def _recall_choice(
        self, step: Step, workers: list[WorkerState]
    ) -> WorkerState | None:
        """Return the worker of the last task placed, if it may be the best.

        It is the fullest one that had room for a task of this kind, and no
        other worker has changed since.
        """
        if self._last_choice is None:
            return None
        last_workers, last_step, worker = self._last_choice
        is_same = last_workers is workers and _get_kind(last_step) == (
            _get_kind(step)
        )
        return worker if is_same else None

    def _place_suspect(
        self,
        record: JobRecord,
        key: TaskKey,
        pool: PoolIsolation,
        allowed: set[str] | None,
    ) -> list[Placement]:
        """Place a task on a worker where no other run can be blamed.

        Prefers the emptiest one, as all of its runs end if it crashes.
        """
        quiet = _filter_allowed(pool.list_quiet_workers(), allowed)
        fitting = self._list_fitting(
            record, record.steps[key.step], key, quiet
        )
        if not fitting or not self._admits(record, record.steps[key.step]):
            return []
        worker = min(
            fitting,
            key=lambda item: (
                item.lasting_runs,
                item.used_millicores,
                item.name,
            ),
        )
        run = self._tracker.place(record, key, worker)
        self._last_choice = None
        pool.close_worker(worker)
        return [Placement(record, key, worker, run)]

    def _remains_best(
        self, record: JobRecord, step: Step, worker: WorkerState
    ) -> bool:
        # The fullest worker that has room remains so with one more task.
        plain = not step.spread_limit and not record.failed_on
        return (
            plain
            and worker.has_room(step)
            and self._allows_beside_reservations(record, step, worker)
        )

    def evict_from_draining(self) -> None:
        """Stop lasting tasks on draining workers if another has room."""
        for worker in list(self._tracker.workers.values()):
            if not worker.entry.draining:
                continue
            for task, run in list(worker.runs.items()):
                record = self._tracker.jobs.get(run.job)
                if run.stopping or record is None or not run.step.lasting:
                    continue
                if self.find_worker(record, run.key) is not None:
                    logger.info(
                        "lasting task evicted from a draining worker",
                        extra={"task": task, "worker": worker.name},
                    )
                    worker.mark_stopping(task)

    def find_worker(
        self, record: JobRecord, key: TaskKey
    ) -> WorkerState | None:
        """Return another worker that could take a running task now, if any.

        There is none while its organisation's cap would keep the task from
        starting again.
        """
        service = self._tracker.find_queue(record.submission).service
        step = record.steps[key.step]
        if not self._tracker.caps.may_restart(
            record.submission.organisation, step
        ):
            return None
        now = self._clock.read_monotonic()
        pool = PoolIsolation(self._list_usable_workers(service, now))
        return self._choose_worker(record, step, key, pool.open_workers)

    def _choose_worker(
        self,
        record: JobRecord,
        step: Step,
        key: TaskKey,
        workers: list[WorkerState],
    ) -> WorkerState | None:
        """Return the worker to place a task on; None if none has room.

        Prefers, in this order: a worker on which the task has not failed, one
        near the task's data, for lasting tasks one that is not due for
        maintenance, and fuller ones, so that empty ones can leave the pool.
        """
        fitting = self._list_fitting(record, step, key, workers)
        if record.failed_on:
            fitting = _prefer(
                fitting,
                lambda worker: (key, worker.name) not in record.failed_on,
            )
        if step.data_rack:
            fitting = _prefer(
                fitting, lambda worker: worker.entry.rack == step.data_rack
            )
        if step.lasting:
            fitting = _prefer(
                fitting, lambda worker: not worker.maintenance_due
            )
        return min(fitting, key=FULLNESS, default=None)

    def _list_fitting(
        self,
        record: JobRecord,
        step: Step,
        key: TaskKey,
        workers: list[WorkerState],
    ) -> list[WorkerState]:
        fitting = [worker for worker in workers if worker.has_room(step)]
        if step.required_label:
            fitting = [
                worker
                for worker in fitting
                if step.required_label in worker.entry.labels
            ]
        if self.lookahead is not None:
            fitting = [
                worker
                for worker in fitting
                if self.lookahead.allows(record, step, worker)
            ]
        if not step.spread_limit:
            return fitting
        return [
            worker
            for worker in fitting
            if self._count_siblings(record, key, worker) < step.spread_limit
        ]

    @staticmethod
    def _count_siblings(
        record: JobRecord, key: TaskKey, worker: WorkerState
    ) -> int:
        return sum(
            1
            for run in worker.runs.values()
            if run.job == record.name
            and run.key.step == key.step
            and run.key.occurrence == key.occurrence
        )

    @staticmethod
    def _share_checkpoint(gang: list[Placement]) -> None:
        """Let all members of a gang resume from the same checkpoint."""
        for placement in gang:
            record = placement.record
            key = placement.key
            checkpoint = record.find_gang_checkpoint(key.occurrence, key.step)
            state = record.get_task(key)
            record.set_task(key, replace(state, checkpoint=checkpoint))

    def _place_gang(
        self,
        record: JobRecord,
        step: Step,
        waiting: list[TaskKey],
        workers: list[WorkerState],
    ) -> list[Placement]:
        if len(waiting) < step.count:
            return []  # tasks of the previous run have not all ended
        if not self._admits(record, step):
            return []
        groups = [workers]
        if step.same_rack:
            racks: dict[str, list[WorkerState]] = defaultdict(list)
            for member in workers:
                racks[member.entry.rack].append(member)
            groups = [*racks.values(), workers]
        self._last_choice = None
        run = 1 + max(record.get_task(key).run for key in waiting)
        for group in groups:
            placements: list[Placement] = []
            states = [record.get_task(key) for key in waiting]
            for key in waiting:
                worker = self._choose_worker(record, step, key, group)
                if worker is None:
                    break
                self._tracker.place_run(record, key, worker, run)
                placements.append(Placement(record, key, worker, run))
            if len(placements) == len(waiting):
                self._share_checkpoint(placements)
                return placements
            for placement, state in zip(placements, states, strict=False):
                placement.worker.remove_run(record.name_task(placement.key))
                record.undo_placement(placement.key, state)
        return []
