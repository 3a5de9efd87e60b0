"""Plans which tasks one round starts and stops; does no I/O."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from chestnutstair.coordination.free_capacity import FreeCapacity
from chestnutstair.coordination.placement import (
    JobBlock,
    NoRoomBlock,
    OversizeBlock,
    Placement,
    QuotaBlock,
    Worker,
)
from chestnutstair.coordination.placer import (
    BestFitPlacer,
    Placer,
    ScoreSettings,
)
from chestnutstair.coordination.preemption import (
    Preemption,
    Victim,
    find_preemptions,
)
from chestnutstair.state.codec import STRICT
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources
from chestnutstair.state.task import TaskName

__all__ = [
    "LiveTask",
    "PlanSettings",
    "PoolSnapshot",
    "RoundPlan",
    "WaitingJob",
    "plan_round",
]


@dataclass(frozen=True)
class PlanSettings:
    """Limits of one planning round.

    - `start_limit`: the maximum number of tasks that a round starts.
    - `preemption_limit`: the maximum number of tasks that a round stops
      in favour of more urgent ones.
    - `preempting_rank`: tasks preempt others only if the rank of their
      urgency class is at most this one; a lower rank is more urgent.
    - `score`: how workers are scored for a task.
    """

    __pydantic_config__ = STRICT

    start_limit: int = 100
    preemption_limit: int = 200
    preempting_rank: int = 0
    score: ScoreSettings = field(default_factory=ScoreSettings)


@dataclass(frozen=True)
class LiveTask:
    """A task that may be running on a worker."""

    task: TaskName
    worker: str
    team: str
    rank: int  # a lower rank is more urgent
    size: Resources
    started_at: float  # wall-clock epoch seconds
    stopping: bool = False  # told to end, but not confirmed yet


@dataclass(frozen=True)
class WaitingJob:
    """A job with tasks that wait for a worker."""

    job: Job
    rank: int  # a lower rank is more urgent
    size: Resources  # the resources reserved for each task
    # Returns at most the given number of pending tasks.
    find_tasks: Callable[[int], Sequence[TaskName]]
    # Returns the workers on which the task should not be placed.
    find_avoided: Callable[[TaskName], frozenset[str]]


@dataclass(frozen=True)
class PoolSnapshot:
    """The state of a pool that a round plans from."""

    workers: tuple[Worker, ...]  # those that accept new tasks
    sizes: frozenset[Resources]  # the distinct sizes of the pool's workers
    live: tuple[LiveTask, ...]
    jobs: tuple[WaitingJob, ...]  # the most urgent first
    # By team, the most that its tasks may use in this pool: its quota minus
    # what is granted to other pools.
    team_limits: Mapping[str, Resources]
    # By team, the most that its tasks may use in all pools together.
    quotas: Mapping[str, Resources]
    now: float  # wall-clock epoch seconds


@dataclass
class RoundPlan:
    """The decisions of one round.

    `blocks` holds, by job, why tasks of the job are not started.
    """

    placements: list[Placement] = field(default_factory=list)
    victims: list[Victim] = field(default_factory=list)
    blocks: dict[str, JobBlock] = field(default_factory=dict)


class _Planner:
    """Builds the plan of one round.

    `_free` is the capacity that is free now, minus the reservations for
    urgent tasks that wait for others to stop. `_future` also includes the
    capacity of tasks that are stopping already or that this plan stops.
    """

    def __init__(
        self, snapshot: PoolSnapshot, settings: PlanSettings, placer: Placer
    ) -> None:
        self._snapshot = snapshot
        self._settings = settings
        self._placer = placer
        self._free = FreeCapacity(snapshot.workers)
        self._team_usage: dict[str, Resources] = defaultdict(Resources)
        self._candidates: dict[str, list[Victim]] = defaultdict(list)
        self._unplaceable: list[Resources] = []
        self.plan = RoundPlan()
        for live in snapshot.live:
            self._team_usage[live.team] += live.size
            self._free.allocate(live.worker, live.task.job, live.size)
        self._future = self._free.copy()
        for live in snapshot.live:
            if live.stopping:
                self._future.deallocate(live.worker, live.task.job, live.size)
            elif live.rank > settings.preempting_rank:
                self._add_candidate(live)

    def _add_candidate(self, live: LiveTask) -> None:
        if live.worker in self._free.workers:
            loss = live.size.cores * (self._snapshot.now - live.started_at)
            self._candidates[live.worker].append(
                Victim(live.task, live.worker, live.rank, live.size, loss)
            )

    def place_job(self, waiting: WaitingJob) -> None:
        """Place as many of the job's tasks as possible.

        If some tasks are not placed, add the reason to the plan's blocks.
        """
        block = self._find_permanent_block(waiting)
        if block is None:
            block = self._place_tasks(waiting)
        if block is not None:
            self.plan.blocks[waiting.job.name] = block

    def _find_permanent_block(self, waiting: WaitingJob) -> JobBlock | None:
        size = waiting.size
        sizes = self._snapshot.sizes
        if not any(size.fits_into(worker_size) for worker_size in sizes):
            return OversizeBlock(size, len(sizes))
        team = waiting.job.team
        quota = self._snapshot.quotas[team]
        if not size.fits_into(quota):
            return QuotaBlock(team, quota, size, permanent=True)
        return None

    def _place_tasks(self, waiting: WaitingJob) -> JobBlock | None:
        remaining_starts = self._settings.start_limit - len(
            self.plan.placements
        )
        tasks = waiting.find_tasks(remaining_starts)
        if not tasks:
            return None
        if self._is_unplaceable(waiting.size) and not self._may_preempt(
            waiting
        ):
            return NoRoomBlock(waiting.size)
        fitting_workers = self._placer.choose(
            self._free, waiting.job, waiting.size
        )
        unplaced = []
        for task in tasks:
            if not self._has_quota(waiting):
                return self._block_by_quota(waiting)
            worker = self._choose(waiting, task, fitting_workers)
            if worker is None:
                unplaced.append(task)
            else:
                self._record_placement(waiting, task, worker)
        return (
            self._reserve_or_preempt(waiting, unplaced) if unplaced else None
        )

    def _is_unplaceable(self, size: Resources) -> bool:
        return any(
            unplaceable.fits_into(size) for unplaceable in self._unplaceable
        )

    def _may_preempt(self, waiting: WaitingJob) -> bool:
        return waiting.rank <= self._settings.preempting_rank

    def _has_quota(self, waiting: WaitingJob) -> bool:
        team = waiting.job.team
        limit = self._snapshot.team_limits[team]
        return (self._team_usage[team] + waiting.size).fits_into(limit)

    def _block_by_quota(self, waiting: WaitingJob) -> QuotaBlock:
        team = waiting.job.team
        return QuotaBlock(team, self._snapshot.quotas[team], waiting.size)

    def _choose(
        self,
        waiting: WaitingJob,
        task: TaskName,
        fitting_workers: Iterator[str],
    ) -> str | None:
        avoided = waiting.find_avoided(task)
        if not avoided:
            return next(fitting_workers, None)
        allowed_workers = self._placer.choose(
            self._free, waiting.job, waiting.size, avoided
        )
        return next(allowed_workers, None)

    def _record_placement(
        self, waiting: WaitingJob, task: TaskName, worker: str
    ) -> None:
        self._reserve(waiting, worker)
        self.plan.placements.append(
            Placement(task, waiting.job, waiting.size, worker)
        )

    def _reserve(self, waiting: WaitingJob, worker: str) -> None:
        job = waiting.job
        self._free.allocate(worker, job.name, waiting.size)
        self._future.allocate(worker, job.name, waiting.size)
        self._team_usage[job.team] += waiting.size

    def _reserve_or_preempt(
        self, waiting: WaitingJob, tasks: Sequence[TaskName]
    ) -> JobBlock:
        """Reserve future capacity for tasks that found no free worker.

        This is done for urgent tasks only, and preempts other tasks if
        needed. Return the reason why the tasks do not start in this round.
        """
        block = NoRoomBlock(waiting.size)
        if not any(map(waiting.find_avoided, tasks)):
            self._unplaceable.append(waiting.size)
        if not self._may_preempt(waiting):
            return block
        future_workers = self._placer.choose(
            self._future, waiting.job, waiting.size
        )
        preemptions = find_preemptions(
            self._future, waiting.size, self._candidates
        )
        for _ in tasks:
            if not self._has_quota(waiting):
                return self._block_by_quota(waiting)
            worker = next(future_workers, None) or self._preempt(preemptions)
            if worker is None:
                break
            self._reserve(waiting, worker)
        return block

    def _preempt(self, preemptions: Iterator[Preemption]) -> str | None:
        if len(self.plan.victims) >= self._settings.preemption_limit:
            return None
        preemption = next(preemptions, None)
        if preemption is None:
            return None
        chosen = set(preemption.victims)
        self.plan.victims += preemption.victims
        candidates = self._candidates[preemption.worker]
        self._candidates[preemption.worker] = [
            victim for victim in candidates if victim not in chosen
        ]
        for victim in preemption.victims:
            self._future.deallocate(
                victim.worker, victim.task.job, victim.size
            )
        return preemption.worker


def plan_round(
    snapshot: PoolSnapshot,
    settings: PlanSettings,
    placer: Placer | None = None,
) -> RoundPlan:
    """Return the tasks to start and to stop, and why jobs are blocked."""
    planner = _Planner(
        snapshot, settings, placer or BestFitPlacer(settings.score)
    )
    for waiting in snapshot.jobs:
        planner.place_job(waiting)
    return planner.plan
