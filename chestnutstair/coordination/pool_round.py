"""One round of placing the tasks of one pool."""

from dataclasses import dataclass, field, replace
from functools import partial

from result import Err, Ok, Result

from chestnutstair.coordination.duty import Duty
from chestnutstair.coordination.placement import JobBlock, Placement
from chestnutstair.coordination.plan import (
    LiveTask,
    PlanSettings,
    PoolSnapshot,
    RoundPlan,
    WaitingJob,
    plan_round,
)
from chestnutstair.coordination.platform import (
    RefusedFailure,
    Table,
    TaskPhase,
    TaskReport,
    UnavailableFailure,
    WorkerControl,
)
from chestnutstair.coordination.pool_fleet import PoolFleet
from chestnutstair.coordination.quota import QuotaGrants, QuotaSettings
from chestnutstair.coordination.stops import StopOrders
from chestnutstair.coordination.tasks import CommitFailure, TaskLedger
from chestnutstair.coordination.visit import Visitor, VisitSettings
from chestnutstair.coordination.worker_lease import LeaseSettings, WorkerLeases
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import NO_RESOURCES
from chestnutstair.state.task import TaskName, TaskRecord, TaskStage

__all__ = ["PlacementSettings", "PoolRound"]

TENURE_BITS = 32  # of a task's token count starts within one tenure


@dataclass(frozen=True)
class PlacementSettings:
    """Limits of one pool's tasks.

    A task is given up after `failure_limit` failures. A preempted task
    has `checkpoint_seconds` to save its state before it is cut.
    """

    __pydantic_config__ = STRICT

    failure_limit: int = 4
    checkpoint_seconds: float = 1.5
    plan: PlanSettings = field(default_factory=PlanSettings)
    quotas: QuotaSettings = field(default_factory=QuotaSettings)
    leases: LeaseSettings = field(default_factory=LeaseSettings)
    visits: VisitSettings = field(default_factory=VisitSettings)


def _lose(record: TaskRecord, job: Job | None) -> TaskRecord:
    """Return the record of a task whose end is unknown."""
    again = job is None or job.restartable
    return record.release(TaskStage.PENDING if again else TaskStage.FAILED)


def _judge_report(
    record: TaskRecord,
    report: TaskReport | None,
    job: Job | None,
    failure_limit: int,
) -> TaskRecord:
    """Return the record after the worker's report of the task.

    None, or a report of another token, says that the worker does not run
    this start: it was not delivered yet, or has ended and is forgotten.
    """
    if report is None or report.token != record.token:
        if record.stage is TaskStage.RUNNING:
            return _lose(record, job)
        return record
    match report.phase:
        case TaskPhase.RUNNING:
            return replace(record, stage=TaskStage.RUNNING)
        case TaskPhase.FINISHED:
            return record.release(TaskStage.FINISHED)
        case TaskPhase.FAILED:
            again = job is None or job.restartable
            return record.fail(failure_limit if again else 1)
        case TaskPhase.STOPPED:
            return record.release(TaskStage.PENDING, checkpointed=True)
        case TaskPhase.LAPSED:
            return _lose(record, job)


class PoolRound:
    """Runs the rounds of one pool during one tenure of its duty."""

    def __init__(
        self,
        table: Table,
        workers: WorkerControl,
        clock: Clock,
        settings: PlacementSettings,
        duty: Duty,
    ) -> None:
        self._table = table
        self._clock = clock
        self._settings = settings
        self._duty = duty
        self._leases = WorkerLeases(clock, settings.leases)
        self._visitor = Visitor(workers, clock, self._leases, settings.visits)
        self._stops = StopOrders(clock, settings.checkpoint_seconds)
        pool = duty.name.removeprefix("placement/")
        self._ledger = TaskLedger(table, pool)
        self._grants = QuotaGrants(table, pool, clock, settings.quotas)
        self._last_token = duty.token << TENURE_BITS
        self.blocks: dict[str, JobBlock] = {}

    @property
    def token(self) -> int:
        """The duty's token in this tenure."""
        return self._duty.token

    def run(
        self, fleet: PoolFleet, duty: Duty, deadline: Deadline
    ) -> Result[None, CommitFailure]:
        """Stop what must not run, note what ended, and start what waits."""
        self._duty = duty
        deadline = min(deadline, duty.deadline)
        loaded = self._ledger.load(deadline)
        if loaded.is_err():
            return loaded
        self._repeat_stops(fleet, deadline)
        changes = self._visit_workers(fleet, deadline)
        changes.update(self._prune(fleet))
        committed = self._ledger.commit(duty, changes, deadline)
        if committed.is_err() or not self._may_call(deadline):
            return committed
        return self._place(fleet, deadline)

    def keep_leases(self, fleet: PoolFleet, deadline: Deadline) -> bool:
        """Renew leases after the duty lapsed; tell whether to go on.

        It ends once another daemon is seen to hold the duty, or when the
        grace that the next holder allows for is over.
        """
        grace = self._settings.leases.grace_seconds
        if Deadline(self._duty.deadline.at + grace).has_passed(self._clock):
            return False
        condition = self._duty.build_condition()
        match self._table.read([condition.key], deadline):
            case Ok((row,)):
                if row is None or row.version != condition.version:
                    return False
        self._visit_workers(fleet, deadline)
        return True

    def _may_call(self, deadline: Deadline) -> bool:
        return not deadline.has_passed(self._clock)

    def _repeat_stops(self, fleet: PoolFleet, deadline: Deadline) -> None:
        for order in self._stops.list_orders(fleet, self._ledger):
            if not self._may_call(deadline):
                return
            if not self._visitor.is_silent(order.record.worker):
                self._visitor.stop(order, deadline)

    def _visit_workers(
        self, fleet: PoolFleet, deadline: Deadline
    ) -> dict[TaskName, TaskRecord | None]:
        changes: dict[TaskName, TaskRecord | None] = {}
        busy = self._ledger.list_busy_workers()
        for worker in sorted({*busy, *self._visitor.list_silent()}):
            if self._visitor.is_due(worker) and self._may_call(deadline):
                changes.update(self._visit(worker, fleet, deadline))
            if self._visitor.is_silent(worker):
                changes.update(self._find_lapsed(worker, fleet))
        return changes

    def _visit(
        self, worker: str, fleet: PoolFleet, deadline: Deadline
    ) -> dict[TaskName, TaskRecord | None]:
        reports = self._visitor.read_reports(worker, deadline)
        if reports is None:
            return {}
        changes: dict[TaskName, TaskRecord | None] = {}
        renewed = []
        for task in self._ledger.list_live(worker):
            record = self._ledger.get(task)
            report = reports.get(str(task))
            judged = _judge_report(
                record,
                report,
                fleet.jobs.get(task.job),
                self._settings.failure_limit,
            )
            if judged != record:
                changes[task] = self._settle(task, judged, fleet)
            if judged.stage is TaskStage.STARTING:
                self._resolve_start(task, record, fleet, deadline)
            elif judged.is_live() and fleet.is_wanted(task):
                renewed.append((str(task), record.token))
        if renewed and self._may_call(deadline):
            self._visitor.renew(worker, renewed, deadline)
        return changes

    def _resolve_start(
        self,
        task: TaskName,
        record: TaskRecord,
        fleet: PoolFleet,
        deadline: Deadline,
    ) -> None:
        """Repeat a start that the worker does not know of."""
        if fleet.is_wanted(task) and self._may_call(deadline):
            payload = fleet.jobs[task.job].payload
            self._visitor.start(task, record, payload, deadline)

    def _settle(
        self, task: TaskName, record: TaskRecord, fleet: PoolFleet
    ) -> TaskRecord | None:
        """Turn a task that would wait for a start into its final form."""
        if record.is_live() or fleet.is_wanted(task):
            return record
        if task.job not in fleet.jobs:
            return None
        if record.is_final():
            return record
        return record.release(TaskStage.CANCELLED)

    def _find_lapsed(
        self, worker: str, fleet: PoolFleet
    ) -> dict[TaskName, TaskRecord | None]:
        changes: dict[TaskName, TaskRecord | None] = {}
        for task in self._ledger.list_live(worker):
            record = self._ledger.get(task)
            if self._find_end(record).has_passed(self._clock):
                lost = _lose(record, fleet.jobs.get(task.job))
                changes[task] = self._settle(task, lost, fleet)
        return changes

    def _find_end(self, record: TaskRecord) -> Deadline:
        """Return when the task can not be running any more."""
        if record.token >> TENURE_BITS == self._duty.token:
            return self._leases.find_own(record.worker)
        if record.stage is TaskStage.STARTING:
            return self._leases.find_undelivered(record.worker)
        return self._leases.find_inherited(record.worker)

    def _prune(self, fleet: PoolFleet) -> dict[TaskName, TaskRecord | None]:
        """Delete rows of jobs that are gone, once nothing runs."""
        return {
            task: None
            for task, record in self._ledger.records.items()
            if task.job not in fleet.jobs and not record.is_live()
        }

    def _find_waiting(self, fleet: PoolFleet) -> list[WaitingJob]:
        return [
            WaitingJob(
                job,
                fleet.get_rank(job),
                job.resources,
                partial(self._ledger.find_pending, job),
                partial(self._find_avoided, fleet),
            )
            for job in fleet.jobs.values()
            if not job.cancelled and self._ledger.find_pending(job, 1)
        ]

    def _find_avoided(
        self, fleet: PoolFleet, task: TaskName
    ) -> frozenset[str]:
        """Return where the task failed, unless it failed everywhere."""
        failed_on = frozenset(self._ledger.get(task).failed_on)
        others = any(item.name not in failed_on for item in fleet.serving)
        return failed_on if others else frozenset()

    def _list_live(self, fleet: PoolFleet) -> list[LiveTask]:
        lowest = max(item.rank for item in fleet.pool.classes)
        live = []
        for worker in self._ledger.list_busy_workers():
            draining = fleet.is_draining(worker)
            for task in self._ledger.list_live(worker):
                record = self._ledger.get(task)
                job = fleet.jobs.get(task.job)
                stopping = draining or self._stops.is_ordered(task, record)
                live.append(
                    LiveTask(
                        task,
                        worker,
                        job.team if job else "",
                        fleet.get_rank(job) if job else lowest,
                        record.size,
                        record.started_at,
                        stopping or not fleet.is_wanted(task),
                    )
                )
        return live

    def _place(
        self, fleet: PoolFleet, deadline: Deadline
    ) -> Result[None, CommitFailure]:
        waiting = self._find_waiting(fleet)
        live = self._list_live(fleet)
        teams = {item.job.team for item in waiting}
        refreshed = self._grants.refresh(
            sorted(teams | self._grants.list_granted()), deadline
        )
        if refreshed.is_err():
            return refreshed
        plan = self._plan(fleet, waiting, live)
        self.blocks = plan.blocks
        for victim in plan.victims:
            record = self._ledger.get(victim.task)
            order = self._stops.preempt(victim.task, record)
            if self._may_call(deadline):
                self._visitor.stop(order, deadline)
        claimed = self._claim(fleet, live, plan.placements, deadline)
        if claimed.is_err():
            return claimed
        return self._start(plan.placements, deadline)

    def _plan(
        self,
        fleet: PoolFleet,
        waiting: list[WaitingJob],
        live: list[LiveTask],
    ) -> RoundPlan:
        quotas = {name: team.quota for name, team in fleet.teams.items()}
        snapshot = PoolSnapshot(
            workers=tuple(
                worker
                for worker in fleet.serving
                if not self._visitor.is_silent(worker.name)
            ),
            sizes=fleet.sizes,
            live=tuple(live),
            jobs=tuple(waiting),
            rooms={
                item.job.team: self._grants.measure_room(
                    item.job.team, quotas[item.job.team]
                )
                for item in waiting
            },
            quotas=quotas,
            now=self._clock.read_wall(),
        )
        return plan_round(snapshot, self._settings.plan)

    def _claim(
        self,
        fleet: PoolFleet,
        live: list[LiveTask],
        placements: list[Placement],
        deadline: Deadline,
    ) -> Result[None, CommitFailure]:
        held = dict.fromkeys(self._grants.list_granted(), NO_RESOURCES)
        holders = [(item.team, item.size) for item in live]
        holders += [(item.job.team, item.size) for item in placements]
        for team, size in holders:
            held[team] = held.get(team, NO_RESOURCES) + size
        quotas = {
            team: fleet.teams[team].quota if team in fleet.teams else amount
            for team, amount in held.items()
        }
        return self._grants.claim(self._duty, held, quotas, deadline)

    def _start(
        self, placements: list[Placement], deadline: Deadline
    ) -> Result[None, CommitFailure]:
        now = self._clock.read_wall()
        changes: dict[TaskName, TaskRecord | None] = {}
        for placement in placements:
            self._last_token += 1
            record = self._ledger.get(placement.task)
            changes[placement.task] = record.assign(
                placement.worker, self._last_token, placement.size, now
            )
        committed = self._ledger.commit(self._duty, changes, deadline)
        if committed.is_err():
            return committed
        undone = self._call_starts(placements, deadline)
        return self._ledger.commit(self._duty, undone, deadline)

    def _call_starts(
        self, placements: list[Placement], deadline: Deadline
    ) -> dict[TaskName, TaskRecord | None]:
        """Tell the workers; return the records of starts without effect."""
        undone: dict[TaskName, TaskRecord | None] = {}
        for placement in placements:
            if not self._may_call(deadline):
                break
            task = placement.task
            record = self._ledger.get(task)
            payload = placement.job.payload
            match self._visitor.start(task, record, payload, deadline):
                case Err(UnavailableFailure()):
                    undone[task] = record.release(TaskStage.PENDING)
                case Err(RefusedFailure()):
                    undone[task] = record.fail(self._settings.failure_limit)
        return undone
