"""Builds the snapshot of a pool that a round plans from."""

from functools import partial

from chestnutstair.coordination.placement import (
    FailedJobBlock,
    JobBlock,
    Placement,
)
from chestnutstair.coordination.plan import LiveTask, PoolSnapshot, WaitingJob
from chestnutstair.coordination.pool_fleet import PoolFleet
from chestnutstair.coordination.quarantine import FailureEvidence, Quarantine
from chestnutstair.coordination.quota import QuotaGrants
from chestnutstair.coordination.stop_orders import StopOrders
from chestnutstair.coordination.task_monitor import TaskMonitor
from chestnutstair.coordination.task_store import TaskStore
from chestnutstair.coordination.usage import UsageModel
from chestnutstair.coordination.worker_client import WorkerClient
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import max_resources
from chestnutstair.state.task import TaskName

__all__ = ["PoolSnapshotBuilder"]


class PoolSnapshotBuilder:
    """Combines tasks, failures, usage and quotas into one snapshot.

    A job that fails everywhere may start one task, a probe, every
    `probe_seconds`.
    """

    def __init__(
        self,
        clock: Clock,
        task_store: TaskStore,
        worker_client: WorkerClient,
        stops: StopOrders,
        evidence: FailureEvidence,
        quarantine: Quarantine,
        usage: UsageModel,
        monitor: TaskMonitor,
        grants: QuotaGrants,
        probe_seconds: float,
    ) -> None:
        self._clock = clock
        self._task_store = task_store
        self._worker_client = worker_client
        self._stops = stops
        self._evidence = evidence
        self._quarantine = quarantine
        self._usage = usage
        self._monitor = monitor
        self._grants = grants
        self._probe_seconds = probe_seconds
        self._next_probes: dict[str, Deadline] = {}

    def find_waiting(self, fleet: PoolFleet) -> list[WaitingJob]:
        """Return the jobs with pending tasks, the most urgent first."""
        return [
            WaitingJob(
                job,
                fleet.get_rank(job),
                self._usage.estimate_size(job, fleet.largest),
                partial(self.find_tasks, job),
                partial(self._find_avoided, fleet),
            )
            for job in fleet.jobs.values()
            if not job.cancelled and self.find_tasks(job, 1)
        ]

    def find_tasks(self, job: Job, count: int) -> list[TaskName]:
        """Return up to `count` pending tasks of the job.

        For a job that fails everywhere, return at most one task, and none
        until its next probe is due.
        """
        if not self._is_failing(job.name):
            return self._task_store.find_pending(job, count)
        probe = self._next_probes.get(job.name)
        if probe is not None and not probe.has_passed(self._clock):
            return []
        return self._task_store.find_pending(job, min(count, 1))

    def _is_failing(self, job: str) -> bool:
        if not self._evidence.has_failed(job):
            return False
        return self._evidence.is_failing(
            job, self._quarantine.list_quarantined()
        )

    def record_probes(self, placements: list[Placement]) -> None:
        """Set when a placed job may probe again, if it fails everywhere."""
        next_probe = Deadline.after(self._clock, self._probe_seconds)
        for placement in placements:
            self._next_probes[placement.job.name] = next_probe

    def find_failing_jobs(self, fleet: PoolFleet) -> dict[str, JobBlock]:
        """Return a block for each job that fails everywhere."""
        return {
            name: FailedJobBlock(self._evidence.list_failed_workers(name))
            for name in self._evidence.list_failed_jobs()
            if name in fleet.jobs and self._is_failing(name)
        }

    def _find_avoided(
        self, fleet: PoolFleet, task: TaskName
    ) -> frozenset[str]:
        """Return the workers that the task failed on.

        The result is empty if no other worker is serving.
        """
        failed_on = frozenset(self._task_store.get(task).failed_on)
        if not failed_on:
            return failed_on
        has_other_worker = any(
            item.name not in failed_on for item in fleet.serving
        )
        return failed_on if has_other_worker else frozenset()

    def list_live(self, fleet: PoolFleet) -> list[LiveTask]:
        """Return the tasks that workers may be running, with their sizes."""
        return [
            self._describe(fleet, worker, task)
            for worker in self._task_store.list_busy_workers()
            for task in self._task_store.list_live(worker)
        ]

    def _describe(
        self, fleet: PoolFleet, worker: str, task: TaskName
    ) -> LiveTask:
        record = self._task_store.get(task)
        used = self._monitor.get_usage(worker, task)
        job = fleet.jobs.get(task.job)
        if job is None:
            size = max_resources(record.size, used)
            return LiveTask(task, worker, "", 0, size, 0.0, stopping=True)
        size = max_resources(
            self._usage.estimate_size(job, fleet.largest), used
        )
        stopping = (
            job.cancelled
            or fleet.is_draining(worker)
            or self._stops.is_preempted(task, record)
        )
        rank = fleet.get_rank(job)
        return LiveTask(
            task, worker, job.team, rank, size, record.started_at, stopping
        )

    def build_snapshot(
        self,
        fleet: PoolFleet,
        waiting: list[WaitingJob],
        live: list[LiveTask],
    ) -> PoolSnapshot:
        """Return the snapshot of workers, tasks, jobs and quotas.

        Quarantined and unresponsive workers get no new tasks.
        """
        quotas = {name: team.quota for name, team in fleet.teams.items()}
        quarantined = self._quarantine.list_quarantined()
        return PoolSnapshot(
            workers=tuple(
                worker
                for worker in fleet.serving
                if worker.name not in quarantined
                and not self._worker_client.is_unresponsive(worker.name)
            ),
            sizes=fleet.sizes,
            live=tuple(live),
            jobs=tuple(waiting),
            team_limits={
                item.job.team: self._grants.compute_limit(
                    item.job.team, quotas[item.job.team]
                )
                for item in waiting
            },
            quotas=quotas,
            now=self._clock.read_wall(),
        )
