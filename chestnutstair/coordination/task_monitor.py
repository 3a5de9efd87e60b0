"""Monitors the running tasks of a pool and renews their leases."""

from collections.abc import Callable, Mapping
from dataclasses import replace

from chestnutstair.coordination.platform import TaskPhase, TaskReport
from chestnutstair.coordination.pool_fleet import PoolFleet
from chestnutstair.coordination.quarantine import FailureEvidence, Quarantine
from chestnutstair.coordination.stop_orders import StopOrders
from chestnutstair.coordination.task_store import TaskStore
from chestnutstair.coordination.throttle import (
    RunningTask,
    ThrottleSettings,
    plan_throttling,
)
from chestnutstair.coordination.usage import UsageModel
from chestnutstair.coordination.worker_client import WorkerClient
from chestnutstair.coordination.worker_lease import WorkerLeases
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources
from chestnutstair.state.task import TaskName, TaskRecord, TaskStage

__all__ = ["START_COUNTER_BITS", "TaskChanges", "TaskMonitor", "fail_task"]

# The low bits of a task's fencing token count the starts of one term of the
# duty; the high bits are the duty's token.
START_COUNTER_BITS = 32

TaskChanges = dict[TaskName, TaskRecord | None]


def fail_task(
    record: TaskRecord,
    job: Job | None,
    excused: frozenset[str],
    failure_limit: int,
) -> TaskRecord:
    """Return the record after a failure.

    The task has finally failed after `failure_limit` failures, or after
    the first one if its job is not restartable. Failures on `excused`
    workers do not count.
    """
    restartable = job is None or job.restartable
    return record.fail(failure_limit if restartable else 0, excused)


def _requeue_or_fail(record: TaskRecord, job: Job | None) -> TaskRecord:
    """Return the record of a task that ended with an unknown outcome.

    It is pending again if its job is restartable, and failed otherwise.
    """
    restartable = job is None or job.restartable
    return record.release(
        TaskStage.PENDING if restartable else TaskStage.FAILED
    )


def _apply_report(
    record: TaskRecord,
    report: TaskReport | None,
    job: Job | None,
    handle_failure: Callable[[TaskRecord], TaskRecord],
) -> TaskRecord:
    """Return the task's record updated by its worker's report.

    If the report is None or has another token, the worker does not run
    this start: the start has not been delivered yet, or the task has
    ended and the worker no longer remembers it.
    """
    if report is None or report.token != record.token:
        if record.stage is TaskStage.RUNNING:
            return _requeue_or_fail(record, job)
        return record
    match report.phase:
        case TaskPhase.RUNNING if record.stage is TaskStage.RUNNING:
            return record
        case TaskPhase.RUNNING:
            return replace(record, stage=TaskStage.RUNNING)
        case TaskPhase.FINISHED:
            return record.release(TaskStage.FINISHED)
        case TaskPhase.FAILED:
            return handle_failure(record)
        case TaskPhase.STOPPED:
            return record.release(TaskStage.PENDING, checkpointed=True)
        case TaskPhase.LAPSED:
            return _requeue_or_fail(record, job)


class TaskMonitor:
    """Updates the records of tasks from the reports of their workers."""

    def __init__(
        self,
        clock: Clock,
        task_store: TaskStore,
        worker_client: WorkerClient,
        leases: WorkerLeases,
        stops: StopOrders,
        evidence: FailureEvidence,
        quarantine: Quarantine,
        usage: UsageModel,
        throttle: ThrottleSettings,
        failure_limit: int,
        duty_token: int,
    ) -> None:
        self._clock = clock
        self._task_store = task_store
        self._worker_client = worker_client
        self._leases = leases
        self._stops = stops
        self._evidence = evidence
        self._quarantine = quarantine
        self._usage = usage
        self._throttle = throttle
        self._failure_limit = failure_limit
        self._duty_token = duty_token
        self._used: dict[str, dict[TaskName, Resources]] = {}

    def get_usage(self, worker: str, task: TaskName) -> Resources:
        """Return the resources used as of the worker's last report."""
        return self._used.get(worker, {}).get(task, Resources())

    def renew_leases(self, fleet: PoolFleet, deadline: Deadline) -> None:
        """Poll the workers and renew leases, without changing records."""
        busy = self._task_store.list_busy_workers()
        for worker in self._read_reports(busy, deadline):
            self._renew(worker, fleet, deadline)

    def run(self, fleet: PoolFleet, deadline: Deadline) -> TaskChanges:
        """Poll the workers that are due; return the changed records."""
        busy = self._task_store.list_busy_workers()
        unresponsive = (
            fleet.members.keys() & self._worker_client.list_unresponsive()
        )
        workers = sorted(unresponsive.union(busy))
        reports = self._read_reports(workers, deadline)
        changes: TaskChanges = {}
        for worker in workers:
            if worker in reports:
                changes.update(
                    self._process_reports(
                        worker, reports[worker], fleet, deadline
                    )
                )
            elif self._worker_client.is_unresponsive(worker):
                changes.update(self._find_expired(worker, fleet))
        return changes

    def _read_reports(
        self, workers: list[str], deadline: Deadline
    ) -> dict[str, dict[str, TaskReport]]:
        due = [name for name in workers if self._worker_client.is_due(name)]
        if not self._may_call(deadline):
            return {}
        return self._worker_client.read_reports(due, deadline)

    def _process_reports(
        self,
        worker: str,
        reports: Mapping[str, TaskReport],
        fleet: PoolFleet,
        deadline: Deadline,
    ) -> TaskChanges:
        changes: TaskChanges = {}
        for task in self._task_store.list_live(worker):
            record = self._task_store.get(task)
            report = reports.get(str(task))
            updated = self._update_record(task, record, report, fleet)
            if updated != record:
                changes[task] = self._finalize_unwanted(task, updated, fleet)
            elif updated.stage is TaskStage.STARTING:
                self._resolve_start(task, record, fleet, deadline)
        self._renew(worker, fleet, deadline)
        self._record_usage(worker, reports, fleet)
        changes.update(
            self._relieve_overload(worker, changes, fleet, deadline)
        )
        return changes

    def _update_record(
        self,
        task: TaskName,
        record: TaskRecord,
        report: TaskReport | None,
        fleet: PoolFleet,
    ) -> TaskRecord:
        job = fleet.jobs.get(task.job)
        undelivered = report is None and record.stage is TaskStage.STARTING
        if undelivered and self._worker_client.is_fenced(task, record.token):
            return record.release(TaskStage.PENDING)
        if report is not None and report.token == record.token:
            self._record_outcome(task, report)
        return _apply_report(
            record,
            report,
            job,
            lambda failed: fail_task(
                failed,
                job,
                self._quarantine.list_quarantined(),
                self._failure_limit,
            ),
        )

    def _record_outcome(self, task: TaskName, report: TaskReport) -> None:
        match report.phase:
            case TaskPhase.FINISHED:
                self._evidence.record_success(report.worker, task.job)
                self._quarantine.record_success(report.worker)
            case TaskPhase.FAILED:
                self._evidence.record_failure(report.worker, task.job)

    def _renew(
        self, worker: str, fleet: PoolFleet, deadline: Deadline
    ) -> None:
        tokens = [
            (str(task), self._task_store.get(task).token)
            for task in self._task_store.list_live(worker)
            if fleet.is_wanted(task)
        ]
        if tokens and self._may_call(deadline):
            self._worker_client.renew(worker, tokens, deadline)

    def _record_usage(
        self,
        worker: str,
        reports: Mapping[str, TaskReport],
        fleet: PoolFleet,
    ) -> None:
        now = self._clock.read_wall()
        used: dict[TaskName, Resources] = {}
        for task in self._task_store.list_live(worker):
            record = self._task_store.get(task)
            report = reports.get(str(task))
            if report is None or report.token != record.token:
                continue
            used[task] = report.used
            job = fleet.jobs.get(task.job)
            if job is not None and record.share == 1.0:
                seconds = now - record.started_at
                self._usage.record_usage(job, task, report.used, seconds)
        self._used[worker] = used

    def _relieve_overload(
        self,
        worker: str,
        changes: TaskChanges,
        fleet: PoolFleet,
        deadline: Deadline,
    ) -> TaskChanges:
        """Throttle or stop tasks if the worker is overloaded."""
        if worker not in fleet.members:
            return {}
        throttling = plan_throttling(
            fleet.members[worker].resources,
            self._list_running(worker, changes, fleet),
            self._throttle,
        )
        if throttling.task_to_stop is not None:
            record = self._task_store.get(throttling.task_to_stop)
            self._stops.preempt(throttling.task_to_stop, record)
        throttled: TaskChanges = {}
        for task, share in throttling.shares.items():
            record = changes.get(task) or self._task_store.get(task)
            if self._worker_client.throttle(task, record, share, deadline):
                throttled[task] = replace(record, share=share)
        return throttled

    def _list_running(
        self, worker: str, changes: TaskChanges, fleet: PoolFleet
    ) -> list[RunningTask]:
        running = []
        for task, used in self._used[worker].items():
            record = changes.get(task, self._task_store.get(task))
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
        """Repeat an unconfirmed start, unless the task must not run now."""
        wanted = fleet.is_wanted(task) and not fleet.is_draining(record.worker)
        if wanted and self._may_call(deadline):
            payload = fleet.jobs[task.job].payload
            self._worker_client.start(task, record, payload, deadline)

    def _finalize_unwanted(
        self, task: TaskName, record: TaskRecord, fleet: PoolFleet
    ) -> TaskRecord | None:
        """Replace the record of an ended task that must not start again.

        It is deleted (None) if the job is removed, and otherwise marked
        as cancelled unless it is in a final stage.
        """
        if record.is_live() or fleet.is_wanted(task):
            return record
        if task.job not in fleet.jobs:
            return None
        if record.is_final():
            return record
        return record.release(TaskStage.CANCELLED)

    def _find_expired(self, worker: str, fleet: PoolFleet) -> TaskChanges:
        changes: TaskChanges = {}
        for task in self._task_store.list_live(worker):
            record = self._task_store.get(task)
            if self._find_lease_expiry(record).has_passed(self._clock):
                ended = _requeue_or_fail(record, fleet.jobs.get(task.job))
                changes[task] = self._finalize_unwanted(task, ended, fleet)
        return changes

    def _find_lease_expiry(self, record: TaskRecord) -> Deadline:
        """Return when the task can no longer be running."""
        if record.token >> START_COUNTER_BITS == self._duty_token:
            return self._leases.find_own_expiry(record.worker)
        if record.stage is TaskStage.STARTING:
            return self._leases.find_undelivered_expiry(record.worker)
        return self._leases.find_inherited_expiry(record.worker)
