"""One round of placing the tasks of one pool."""

import logging
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from chestnutstair.coordination.duty import Duty
from chestnutstair.coordination.placement import (
    JobBlock,
    NoRoomBlock,
    OversizeBlock,
    Placement,
    QuotaBlock,
    TaskRequest,
    Worker,
)
from chestnutstair.coordination.placer import FleetRoom, find_best_worker
from chestnutstair.coordination.platform import (
    RefusedFailure,
    Table,
    TaskPhase,
    TaskReport,
    UnavailableFailure,
    WorkerControl,
)
from chestnutstair.coordination.tasks import CommitFailure, TaskLedger
from chestnutstair.coordination.visit import Visitor, VisitSettings
from chestnutstair.coordination.worker_lease import LeaseSettings, WorkerLeases
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Job, Pool, Team, Vm
from chestnutstair.state.resource import NO_RESOURCES
from chestnutstair.state.task import TaskName, TaskRecord, TaskStage
from chestnutstair.state.view import VmPhase

__all__ = ["PlacementSettings", "PoolFleet", "PoolRound"]

logger = logging.getLogger(__name__)

TENURE_BITS = 32  # of a task's token count starts within one tenure


@dataclass(frozen=True)
class PlacementSettings:
    """Limits of one round.

    A round starts at most `start_limit` tasks. A task is given up after
    `failure_limit` failures.
    """

    __pydantic_config__ = STRICT

    start_limit: int = 100
    failure_limit: int = 4
    leases: LeaseSettings = field(default_factory=LeaseSettings)
    visits: VisitSettings = field(default_factory=VisitSettings)


@dataclass(frozen=True)
class PoolFleet:
    """What the fleet view holds for one pool of workers."""

    pool: Pool
    members: Mapping[str, Vm]
    phases: Mapping[str, VmPhase]
    jobs: Mapping[str, Job]
    teams: Mapping[str, Team]

    def list_serving(self) -> list[Worker]:
        """Return the workers that may take new tasks."""
        return [
            Worker(vm.name, vm.zone, vm.rack, vm.resources)
            for vm in self.members.values()
            if self.phases[vm.name] is VmPhase.SERVING
        ]

    def get_rank(self, job: Job) -> int:
        """Return the rank of the job's urgency; lower is more urgent."""
        ranks = {item.name: item.rank for item in self.pool.classes}
        return ranks.get(job.urgency, max(ranks.values()))

    def is_wanted(self, task: TaskName) -> bool:
        """Tell whether the task's job exists and is not cancelled."""
        job = self.jobs.get(task.job)
        return job is not None and not job.cancelled


def _judge_report(
    record: TaskRecord, report: TaskReport | None, failure_limit: int
) -> TaskRecord:
    """Return the record after the worker's report of the task.

    None, or a report of another token, says that the worker does not run
    this start: it was not delivered yet, or has ended and is forgotten.
    """
    if report is None or report.token != record.token:
        if record.stage is TaskStage.RUNNING:
            return record.release(TaskStage.PENDING)
        return record
    match report.phase:
        case TaskPhase.RUNNING:
            return replace(record, stage=TaskStage.RUNNING)
        case TaskPhase.FINISHED:
            return record.release(TaskStage.FINISHED)
        case TaskPhase.FAILED:
            return record.fail(failure_limit)
        case TaskPhase.STOPPED:
            return record.release(TaskStage.PENDING, checkpointed=True)
        case TaskPhase.LAPSED:
            return record.release(TaskStage.PENDING)


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
        self._clock = clock
        self._settings = settings
        self._duty = duty
        self._ledger = TaskLedger(table, duty.name.removeprefix("placement/"))
        self._leases = WorkerLeases(clock, settings.leases)
        self._visitor = Visitor(workers, clock, self._leases, settings.visits)
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
        self._stop_unwanted(fleet, deadline)
        changes = self._visit_workers(fleet, deadline)
        changes.update(self._prune(fleet))
        committed = self._ledger.commit(duty, changes, deadline)
        if committed.is_err() or not self._may_call(deadline):
            return committed
        placements = self._choose(fleet)
        return self._start(fleet, placements, deadline)

    def _may_call(self, deadline: Deadline) -> bool:
        return not deadline.has_passed(self._clock)

    def _stop_unwanted(self, fleet: PoolFleet, deadline: Deadline) -> None:
        for worker in self._ledger.list_busy_workers():
            if self._visitor.is_silent(worker):
                continue
            draining = fleet.phases.get(worker) is VmPhase.DRAINING
            for task in self._ledger.list_live(worker):
                wanted = fleet.is_wanted(task)
                if wanted and not draining:
                    continue
                if not self._may_call(deadline):
                    return
                record = self._ledger.get(task)
                self._visitor.stop(task, record, wanted, deadline)

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
                record, report, self._settings.failure_limit
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
                pending = record.release(TaskStage.PENDING)
                changes[task] = self._settle(task, pending, fleet)
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

    def _choose(self, fleet: PoolFleet) -> list[Placement]:
        room = FleetRoom(
            worker
            for worker in fleet.list_serving()
            if not self._visitor.is_silent(worker.name)
        )
        held = dict.fromkeys(fleet.teams, NO_RESOURCES)
        for task, record in self._ledger.records.items():
            if record.is_live():
                room.take(record.worker, task.job, record.size)
                job = fleet.jobs.get(task.job)
                if job is not None:
                    held[job.team] += record.size
        self.blocks = {}
        placements: list[Placement] = []
        jobs = (job for job in fleet.jobs.values() if not job.cancelled)
        for job in sorted(jobs, key=fleet.get_rank):
            limit = self._settings.start_limit - len(placements)
            for task in self._ledger.find_pending(job, limit):
                block = self._place(fleet, room, held, job, task, placements)
                if block is not None:
                    self.blocks[job.name] = block
                    break
        return placements

    def _place(
        self,
        fleet: PoolFleet,
        room: FleetRoom,
        held: dict,
        job: Job,
        task: TaskName,
        placements: list[Placement],
    ) -> JobBlock | None:
        size = job.resources
        if not any(
            size.fits_into(vm.resources) for vm in fleet.members.values()
        ):
            return OversizeBlock(size, len(fleet.members))
        quota = fleet.teams[job.team].quota
        if not (held[job.team] + size).fits_into(quota):
            return QuotaBlock(job.team, quota, size, not size.fits_into(quota))
        record = self._ledger.get(task)
        request = TaskRequest(
            task,
            job.team,
            fleet.get_rank(job),
            size,
            frozenset(record.failed_on),
        )
        worker = find_best_worker(room, request)
        if worker is None:
            return NoRoomBlock(size)
        room.take(worker, job.name, size)
        held[job.team] += size
        placements.append(Placement(request, worker))
        return None

    def _start(
        self,
        fleet: PoolFleet,
        placements: list[Placement],
        deadline: Deadline,
    ) -> Result[None, CommitFailure]:
        now = self._clock.read_wall()
        changes: dict[TaskName, TaskRecord | None] = {}
        for placement in placements:
            self._last_token += 1
            request = placement.request
            record = self._ledger.get(request.task)
            changes[request.task] = record.assign(
                placement.worker, self._last_token, request.size, now
            )
        committed = self._ledger.commit(self._duty, changes, deadline)
        if committed.is_err():
            return committed
        undone = self._call_starts(fleet, list(changes), deadline)
        return self._ledger.commit(self._duty, undone, deadline)

    def _call_starts(
        self, fleet: PoolFleet, tasks: list[TaskName], deadline: Deadline
    ) -> dict[TaskName, TaskRecord | None]:
        """Tell the workers; return the records of starts without effect."""
        undone: dict[TaskName, TaskRecord | None] = {}
        for task in tasks:
            if not self._may_call(deadline):
                break
            record = self._ledger.get(task)
            payload = fleet.jobs[task.job].payload
            match self._visitor.start(task, record, payload, deadline):
                case Err(UnavailableFailure()):
                    undone[task] = record.release(TaskStage.PENDING)
                case Err(RefusedFailure()):
                    undone[task] = record.fail(self._settings.failure_limit)
                case Ok() | Err(_):
                    pass
        return undone
