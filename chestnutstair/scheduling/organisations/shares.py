"""Orders the jobs of one pool by the shares of their organisations.

Weighted dominant-resource fairness: of the organisations with waiting jobs,
the one with the smallest dominant share of the pool, divided by its weight,
goes next. Jobs beyond the weight come after all that others are owed, and get
a bounded part of the placements nevertheless.
"""

import heapq
from collections import defaultdict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum

from chestnutstair.scheduling.organisations.held import JobRank
from chestnutstair.scheduling.organisations.usage import Amounts
from chestnutstair.scheduling.progress import Lateness

__all__ = [
    "EXCESS_INTERVAL",
    "TURN_TASKS",
    "ExcessCredit",
    "FairJob",
    "FairOrder",
    "JobClass",
    "Turn",
    "classify_job",
]

# One placement in this many goes to jobs beyond the weight while both kinds
# wait.
EXCESS_INTERVAL = 10
# Tasks that a job may place before the next organisation is chosen. Smaller
# values are fairer within a round, but a round takes longer.
TURN_TASKS = 8


class JobClass(IntEnum):
    """Classes of jobs; an earlier one goes before a later one."""

    LASTING = 0
    IN_TIME = 1
    IN_TIME_BEYOND = 2
    LATE = 3
    LATE_BEYOND = 4
    USELESS = 5

    @property
    def is_owed(self) -> bool:
        """Return whether its placements give credit to jobs beyond."""
        return self in (JobClass.IN_TIME, JobClass.LATE)

    @property
    def is_beyond(self) -> bool:
        """Return whether its jobs are beyond their organisation's weight."""
        return self in (JobClass.IN_TIME_BEYOND, JobClass.LATE_BEYOND)


def classify_job(
    is_lasting: bool, lateness: Lateness, is_beyond: bool
) -> JobClass:
    """Return the class of a job."""
    if is_lasting:
        return JobClass.LASTING
    if lateness is Lateness.USELESS:
        return JobClass.USELESS
    if lateness is Lateness.LATE:
        return JobClass.LATE_BEYOND if is_beyond else JobClass.LATE
    return JobClass.IN_TIME_BEYOND if is_beyond else JobClass.IN_TIME


@dataclass(frozen=True)
class FairJob:
    """A job that waits in a pool."""

    organisation: str
    job_class: JobClass
    rank: JobRank

    @property
    def name(self) -> str:
        """Return the job's name."""
        return self.rank[-1]


@dataclass(frozen=True)
class Turn:
    """The next job, and how many of its tasks may be placed now.

    `is_due`: it goes before others, as the part of the excess is due.
    """

    job: FairJob
    limit: int
    is_due: bool = False


class ExcessCredit:
    """Tasks that jobs beyond the weight of their organisation may place.

    Each owed placement while both kinds wait adds to it. What is left is kept
    for the next round, as most rounds place few tasks; bounded, so that a
    large gang does not give away the next rounds.
    """

    def __init__(self) -> None:
        self._balance = 0  # in ninths of a task
        self._placed = 0  # owed tasks of this round

    def begin_round(self) -> None:
        """Begin a round; what was placed in advance is not owed back."""
        self._balance = max(0, self._balance)
        self._placed = 0

    def compute_due(self) -> int:
        """Return how many tasks beyond the weight are to be placed now.

        A large round places some in advance, as many short turns take long:
        up to a tenth of what it has placed.
        """
        due = self._balance // (EXCESS_INTERVAL - 1)
        if due <= 0:
            return 0
        return min(TURN_TASKS, max(due, self._placed // EXCESS_INTERVAL))

    def compute_owed(self) -> int:
        """Return how many owed tasks may be placed before the next is due."""
        return max(1, EXCESS_INTERVAL - 1 - self._balance)

    def add_owed(self, tasks: int) -> None:
        """Count tasks placed while jobs beyond the weight wait."""
        self._placed += tasks
        limit = EXCESS_INTERVAL * EXCESS_INTERVAL
        self._balance = min(limit, self._balance + tasks)

    def subtract(self, tasks: int) -> None:
        """Count tasks beyond the weight that were due."""
        self._balance -= tasks * (EXCESS_INTERVAL - 1)


class _ClassQueue:
    """The jobs of one class by organisation, with the order of shares."""

    def __init__(self, measure_share: Callable[[str], float]) -> None:
        self._measure_share = measure_share
        self._jobs: dict[str, deque[FairJob]] = {}
        self._heap: list[tuple[float, JobRank, str]] = []

    def fill(self, jobs: list[FairJob]) -> None:
        by_organisation: dict[str, list[FairJob]] = defaultdict(list)
        for job in jobs:
            by_organisation[job.organisation].append(job)
        for organisation, items in by_organisation.items():
            items.sort(key=lambda item: item.rank)
            self._jobs[organisation] = deque(items)
            self._push(organisation)

    def _push(self, organisation: str) -> None:
        share = self._measure_share(organisation)
        rank = self._jobs[organisation][0].rank
        heapq.heappush(self._heap, (share, rank, organisation))

    def __bool__(self) -> bool:
        return bool(self._heap)

    def peek(self) -> FairJob:
        # Shares only grow within a round, by placements in any class, so an
        # outdated entry is moved to its place.
        while True:
            share, _, organisation = self._heap[0]
            current = self._measure_share(organisation)
            if current <= share or len(self._heap) == 1:
                return self._jobs[organisation][0]
            heapq.heappop(self._heap)
            self._push(organisation)

    def finish(self, job: FairJob) -> None:
        heapq.heappop(self._heap)
        self._jobs[job.organisation].popleft()
        if self._jobs[job.organisation]:
            self._push(job.organisation)


class FairOrder:
    """The order of a pool's jobs in one planning round.

    - `get_usage`: what an organisation has running in the pool.
    - `weights`: by organisation; those without have weight 1.
    """

    def __init__(
        self,
        jobs: list[FairJob],
        capacity: Amounts,
        get_usage: Callable[[str], Amounts],
        weights: Mapping[str, float],
        credit: ExcessCredit,
    ) -> None:
        self._capacity = capacity
        self._get_usage = get_usage
        self._weights = weights
        self._credit = credit
        credit.begin_round()
        by_class: dict[JobClass, list[FairJob]] = defaultdict(list)
        for job in jobs:
            by_class[job.job_class].append(job)
        self._queues: dict[JobClass, _ClassQueue] = {}
        for job_class in sorted(by_class):
            queue = _ClassQueue(self._measure_share)
            queue.fill(by_class[job_class])
            self._queues[job_class] = queue

    def _measure_share(self, organisation: str) -> float:
        usage = self._get_usage(organisation)
        capacity = self._capacity
        share = max(
            usage.millicores / max(1, capacity.millicores),
            usage.memory_mb / max(1, capacity.memory_mb),
            usage.accelerators / max(1, capacity.accelerators),
        )
        return share / self._weights.get(organisation, 1.0)

    def choose(self) -> Turn | None:
        """Return the next turn; None if no job is left."""
        waiting = [item for item, queue in self._queues.items() if queue]
        if not waiting:
            return None
        beyond = [item for item in waiting if item.is_beyond]
        limit = TURN_TASKS
        if beyond and any(item.is_owed for item in waiting):
            due = self._credit.compute_due()
            if due and waiting[0] is not JobClass.LASTING:
                return Turn(self._queues[beyond[0]].peek(), due, is_due=True)
            if waiting[0].is_owed:
                limit = min(limit, self._credit.compute_owed())
        return Turn(self._queues[waiting[0]].peek(), limit)

    def record(self, turn: Turn, placed: int, may_continue: bool) -> None:
        """Record how many tasks a turn has placed.

        A job that placed fewer than it might is done for this round, and one
        that may not continue.
        """
        job_class = turn.job.job_class
        if turn.is_due:
            self._credit.subtract(placed)
        elif job_class.is_owed and any(
            item.is_beyond and queue for item, queue in self._queues.items()
        ):
            self._credit.add_owed(placed)
        if placed < turn.limit or not may_continue:
            self._queues[job_class].finish(turn.job)
