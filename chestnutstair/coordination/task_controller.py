"""Places the tasks of every pool of workers whose duty this daemon holds."""

import logging
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from result import Err, Ok, Result

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.duty import Duty, DutyHolder
from chestnutstair.coordination.job_blocks import read_blocks
from chestnutstair.coordination.platform import (
    PlatformFailure,
    Table,
    WorkerControl,
)
from chestnutstair.coordination.pool_fleet import PoolFleet, split_fleet
from chestnutstair.coordination.pool_reconciler import (
    PlacementSettings,
    PoolReconciler,
)
from chestnutstair.coordination.task_store import decode_task, scan_tasks
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Job, PoolKind
from chestnutstair.state.task import TaskStage
from chestnutstair.state.view import FleetView

__all__ = [
    "JobStatus",
    "TaskController",
    "build_placement_duty_name",
    "list_duty_names",
]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class JobStatus:
    """A job's progress."""

    job: Job
    tasks: dict[str, int] = field(default_factory=dict)  # counts by stage
    blocked: str = ""  # why tasks are not started, or empty


def build_placement_duty_name(pool: str) -> str:
    """Return the name of the duty of placing the pool's tasks."""
    return f"placement/{pool}"


def list_duty_names(view: FleetView) -> list[str]:
    """Return the names of the placement duties of all worker pools."""
    return [
        build_placement_duty_name(pool.name)
        for pool in view.pools.values()
        if pool.kind is PoolKind.WORKERS
    ]


class TaskController:
    """The control loop that starts, monitors and stops tasks."""

    def __init__(
        self,
        log: ChangeLog,
        table: Table,
        duties: DutyHolder,
        workers: WorkerControl,
        clock: Clock,
        settings: PlacementSettings,
    ) -> None:
        self._log = log
        self._table = table
        self._duties = duties
        self._workers = workers
        self._clock = clock
        self._settings = settings
        self._executor = ThreadPoolExecutor(
            settings.visits.call_threads, "placement-calls"
        )
        self._rounds: dict[str, PoolReconciler] = {}
        self._split_view: FleetView | None = None
        self._fleets: dict[str, PoolFleet] = {}

    def _split(self) -> dict[str, PoolFleet]:
        view = self._log.view
        if view is not self._split_view:
            self._fleets = split_fleet(view)
            self._split_view = view
        return self._fleets

    def run_once(self, deadline: Deadline) -> None:
        """Run one round of each pool whose duty this daemon holds."""
        for name, fleet in self._split().items():
            duty = self._duties.find_duty(build_placement_duty_name(name))
            if duty is None:
                self._renew_after_lapse(name, fleet, deadline)
            else:
                self._run_round(name, fleet, duty, deadline)

    def _renew_after_lapse(
        self, name: str, fleet: PoolFleet, deadline: Deadline
    ) -> None:
        pool_round = self._rounds.get(name)
        if pool_round and not pool_round.renew_after_lapse(fleet, deadline):
            del self._rounds[name]

    def _run_round(
        self, name: str, fleet: PoolFleet, duty: Duty, deadline: Deadline
    ) -> None:
        pool_round = self._rounds.get(name)
        if pool_round is None or pool_round.token != duty.token:
            pool_round = PoolReconciler(
                self._table,
                self._workers,
                self._clock,
                self._settings,
                duty,
                self._executor,
            )
            self._rounds[name] = pool_round
        outcome = pool_round.run(fleet, duty, deadline)
        if outcome.is_err():
            logger.warning(
                "placement round of %s ended early: %s",
                name,
                outcome.unwrap_err(),
            )

    def report_jobs(
        self, deadline: Deadline
    ) -> Result[tuple[JobStatus, ...], PlatformFailure]:
        """Return the status of every job, as stored in the table."""
        pools = list(self._split())
        match read_blocks(self._table, pools, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(blocks):
                pass
        statuses: list[JobStatus] = []
        for name, fleet in self._split().items():
            match scan_tasks(self._table, name, deadline):
                case Err(failure):
                    return Err(failure)
                case Ok(rows):
                    counts: dict[str, Counter[str]] = {}
                    for task, row in rows.items():
                        stage = decode_task(row).stage
                        counts.setdefault(task.job, Counter())[stage] += 1
            statuses += [
                _describe_job(
                    job,
                    counts.get(job.name, Counter()),
                    blocks.get(job.name, ""),
                )
                for job in fleet.jobs.values()
            ]
        return Ok(tuple(statuses))


def _describe_job(job: Job, counts: Counter[str], blocked: str) -> JobStatus:
    waiting = TaskStage.CANCELLED if job.cancelled else TaskStage.PENDING
    tasks = {str(stage): count for stage, count in counts.items()}
    unseen = job.task_count - sum(counts.values())
    if unseen > 0:
        tasks[waiting] = tasks.get(waiting, 0) + unseen
    return JobStatus(job, tasks, blocked)
