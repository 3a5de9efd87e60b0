"""Watches the running tasks of a pool and renews their leases."""

from collections.abc import Callable, Mapping
from dataclasses import replace

from chestnutstair.coordination.platform import TaskPhase, TaskReport
from chestnutstair.coordination.pool_fleet import PoolFleet
from chestnutstair.coordination.quarantine import FailureEvidence, Quarantine
from chestnutstair.coordination.stops import StopOrders
from chestnutstair.coordination.tasks import TaskLedger
from chestnutstair.coordination.throttle import (
    RunningTask,
    ThrottleSettings,
    relieve_worker,
)
from chestnutstair.coordination.usage import UsageModel
from chestnutstair.coordination.visit import Visitor
from chestnutstair.coordination.worker_lease import WorkerLeases
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources
from chestnutstair.state.task import TaskName, TaskRecord, TaskStage

__all__ = ["TENURE_BITS", "PoolWatch", "TaskChanges", "fail_task"]

TENURE_BITS = 32  # of a task's token count starts within one tenure

TaskChanges = dict[TaskName, TaskRecord | None]


def fail_task(
    record: TaskRecord,
    job: Job | None,
    excused: frozenset[str],
    failure_limit: int,
) -> TaskRecord:
    """Return the record after a failure, final if it was one too many.

    Failures on `excused` workers do not count.
    """
    again = job is None or job.restartable
    return record.fail(failure_limit if again else 0, excused)


def _lose(record: TaskRecord, job: Job | None) -> TaskRecord:
    """Return the record of a task whose end is unknown."""
    again = job is None or job.restartable
    return record.release(TaskStage.PENDING if again else TaskStage.FAILED)


def _judge_report(
    record: TaskRecord,
    report: TaskReport | None,
    job: Job | None,
    judge_failure: Callable[[TaskRecord], TaskRecord],
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
        case TaskPhase.RUNNING if record.stage is TaskStage.RUNNING:
            return record
        case TaskPhase.RUNNING:
            return replace(record, stage=TaskStage.RUNNING)
        case TaskPhase.FINISHED:
            return record.release(TaskStage.FINISHED)
        case TaskPhase.FAILED:
            return judge_failure(record)
        case TaskPhase.STOPPED:
            return record.release(TaskStage.PENDING, checkpointed=True)
        case TaskPhase.LAPSED:
            return _lose(record, job)


class PoolWatch:
    """Turns what workers report into changes of the tasks' records."""

    def __init__(
        self,
        clock: Clock,
        ledger: TaskLedger,
        visitor: Visitor,
        leases: WorkerLeases,
        stops: StopOrders,
        evidence: FailureEvidence,
        quarantine: Quarantine,
        usage: UsageModel,
        throttle: ThrottleSettings,
        failure_limit: int,
        tenure: int,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._visitor = visitor
        self._leases = leases
        self._stops = stops
        self._evidence = evidence
        self._quarantine = quarantine
        self._usage = usage
        self._throttle = throttle
        self._failure_limit = failure_limit
        self._tenure = tenure
        self._used: dict[str, dict[TaskName, Resources]] = {}

    def get_used(self, worker: str, task: TaskName) -> Resources:
        """Return what the task used by its worker's last report."""
        return self._used.get(worker, {}).get(task, Resources())

    def renew_leases(self, fleet: PoolFleet, deadline: Deadline) -> None:
        """Only renew the leases of tasks that their workers still run."""
        busy = self._ledger.list_busy_workers()
        for worker in self._read_reports(busy, deadline):
            self._renew(worker, fleet, deadline)

    def run(self, fleet: PoolFleet, deadline: Deadline) -> TaskChanges:
        """Visit the workers that are due; return what has changed."""
        busy = self._ledger.list_busy_workers()
        silent = fleet.members.keys() & self._visitor.list_silent()
        workers = sorted(silent.union(busy))
        reports = self._read_reports(workers, deadline)
        changes: TaskChanges = {}
        for worker in workers:
            if worker in reports:
                changes.update(
                    self._visit(worker, reports[worker], fleet, deadline)
                )
            elif self._visitor.is_silent(worker):
                changes.update(self._find_lapsed(worker, fleet))
        return changes

    def _read_reports(
        self, workers: list[str], deadline: Deadline
    ) -> dict[str, dict[str, TaskReport]]:
        due = [name for name in workers if self._visitor.is_due(name)]
        if not self._may_call(deadline):
            return {}
        return self._visitor.read_reports(due, deadline)

    def _visit(
        self,
        worker: str,
        reports: Mapping[str, TaskReport],
        fleet: PoolFleet,
        deadline: Deadline,
    ) -> TaskChanges:
        changes: TaskChanges = {}
        for task in self._ledger.list_live(worker):
            record = self._ledger.get(task)
            report = reports.get(str(task))
            judged = self._judge(task, record, report, fleet)
            if judged != record:
                changes[task] = self._settle(task, judged, fleet)
            elif judged.stage is TaskStage.STARTING:
                self._resolve_start(task, record, fleet, deadline)
        self._renew(worker, fleet, deadline)
        self._note_use(worker, reports, fleet)
        changes.update(self._relieve(worker, changes, fleet, deadline))
        return changes

    def _judge(
        self,
        task: TaskName,
        record: TaskRecord,
        report: TaskReport | None,
        fleet: PoolFleet,
    ) -> TaskRecord:
        job = fleet.jobs.get(task.job)
        undelivered = report is None and record.stage is TaskStage.STARTING
        if undelivered and self._visitor.is_fenced(task, record.token):
            return record.release(TaskStage.PENDING)
        if report is not None and report.token == record.token:
            self._note_end(task, report)
        return _judge_report(
            record,
            report,
            job,
            lambda failed: fail_task(
                failed,
                job,
                self._quarantine.list_held(),
                self._failure_limit,
            ),
        )

    def _note_end(self, task: TaskName, report: TaskReport) -> None:
        match report.phase:
            case TaskPhase.FINISHED:
                self._evidence.note_success(report.worker, task.job)
                self._quarantine.note_success(report.worker)
            case TaskPhase.FAILED:
                self._evidence.note_failure(report.worker, task.job)

    def _renew(
        self, worker: str, fleet: PoolFleet, deadline: Deadline
    ) -> None:
        tokens = [
            (str(task), self._ledger.get(task).token)
            for task in self._ledger.list_live(worker)
            if fleet.is_wanted(task)
        ]
        if tokens and self._may_call(deadline):
            self._visitor.renew(worker, tokens, deadline)

    def _note_use(
        self,
        worker: str,
        reports: Mapping[str, TaskReport],
        fleet: PoolFleet,
    ) -> None:
        now = self._clock.read_wall()
        used: dict[TaskName, Resources] = {}
        for task in self._ledger.list_live(worker):
            record = self._ledger.get(task)
            report = reports.get(str(task))
            if report is None or report.token != record.token:
                continue
            used[task] = report.used
            job = fleet.jobs.get(task.job)
            if job is not None and record.share == 1.0:
                seconds = now - record.started_at
                self._usage.note_use(job, task, report.used, seconds)
        self._used[worker] = used

    def _relieve(
        self,
        worker: str,
        changes: TaskChanges,
        fleet: PoolFleet,
        deadline: Deadline,
    ) -> TaskChanges:
        """Throttle or stop tasks that use more than the worker has."""
        if worker not in fleet.members:
            return {}
        relief = relieve_worker(
            fleet.members[worker].resources,
            self._list_running(worker, changes, fleet),
            self._throttle,
        )
        if relief.stopped is not None:
            record = self._ledger.get(relief.stopped)
            self._stops.preempt(relief.stopped, record)
        throttled: TaskChanges = {}
        for task, share in relief.shares.items():
            record = changes.get(task) or self._ledger.get(task)
            if self._visitor.throttle(task, record, share, deadline):
                throttled[task] = replace(record, share=share)
        return throttled

    def _list_running(
        self, worker: str, changes: TaskChanges, fleet: PoolFleet
    ) -> list[RunningTask]:
        running = []
        for task, used in self._used[worker].items():
            record = changes.get(task, self._ledger.get(task))
            job = fleet.jobs.get(task.job)
            if record is None or job is None or not record.is_live():
                continue
            running.append(
                RunningTask(
                    task, fleet.get_rank(job), record.size, used, record.share
                )
            )
        return running

    def _may_call(self, deadline: Deadline) -> bool:
        return not deadline.has_passed(self._clock)

    def _resolve_start(
        self,
        task: TaskName,
        record: TaskRecord,
        fleet: PoolFleet,
        deadline: Deadline,
    ) -> None:
        """Repeat a start that the worker does not know of."""
        wanted = fleet.is_wanted(task) and not fleet.is_draining(record.worker)
        if wanted and self._may_call(deadline):
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

    def _find_lapsed(self, worker: str, fleet: PoolFleet) -> TaskChanges:
        changes: TaskChanges = {}
        for task in self._ledger.list_live(worker):
            record = self._ledger.get(task)
            if self._find_end(record).has_passed(self._clock):
                lost = _lose(record, fleet.jobs.get(task.job))
                changes[task] = self._settle(task, lost, fleet)
        return changes

    def _find_end(self, record: TaskRecord) -> Deadline:
        """Return when the task can not be running any more."""
        if record.token >> TENURE_BITS == self._tenure:
            return self._leases.find_own(record.worker)
        if record.stage is TaskStage.STARTING:
            return self._leases.find_undelivered(record.worker)
        return self._leases.find_inherited(record.worker)
