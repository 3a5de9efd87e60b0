"""Reconciles the tasks of one pool: places, monitors and stops them."""

from concurrent.futures import Executor
from dataclasses import dataclass, field

from prometheus_client import Counter, Histogram
from result import Err, Ok, Result

from chestnutstair.coordination.duty import Duty
from chestnutstair.coordination.job_blocks import BlockPublisher
from chestnutstair.coordination.placement import (
    Placement,
)
from chestnutstair.coordination.plan import (
    LiveTask,
    PlanSettings,
    plan_round,
)
from chestnutstair.coordination.platform import (
    RefusedFailure,
    Table,
    UnavailableFailure,
    WorkerControl,
)
from chestnutstair.coordination.pool_fleet import PoolFleet
from chestnutstair.coordination.pool_snapshot_builder import (
    PoolSnapshotBuilder,
)
from chestnutstair.coordination.quarantine import (
    FailureEvidence,
    Quarantine,
    QuarantineSettings,
)
from chestnutstair.coordination.quota import QuotaGrants, QuotaSettings
from chestnutstair.coordination.stop_orders import StopOrders
from chestnutstair.coordination.task_monitor import (
    START_COUNTER_BITS,
    TaskChanges,
    TaskMonitor,
    fail_task,
)
from chestnutstair.coordination.task_store import CommitFailure, TaskStore
from chestnutstair.coordination.throttle import ThrottleSettings
from chestnutstair.coordination.usage import UsageModel, UsageSettings
from chestnutstair.coordination.worker_client import (
    WorkerClient,
    WorkerClientSettings,
)
from chestnutstair.coordination.worker_lease import LeaseSettings, WorkerLeases
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.resource import NO_RESOURCES
from chestnutstair.state.task import TaskStage

__all__ = ["PlacementSettings", "PoolReconciler"]

ROUND_SECONDS = Histogram(
    "chestnutstair_placement_round_seconds",
    "Time that one round of placing a pool's tasks took.",
    ["pool"],
)
PREEMPTIONS = Counter(
    "chestnutstair_task_preemptions_total",
    "Tasks stopped for more urgent ones.",
    ["pool"],
)


@dataclass(frozen=True)
class PlacementSettings:
    """Settings of placing each pool's tasks on workers.

    - `failure_limit`: the number of failures after which a task is marked
      as failed and not started again.
    - `checkpoint_seconds`: how long a preempted task may take to save its
      state before it is stopped without a checkpoint, if its job is
      restartable.
    - `plan_seconds`: the interval at which new tasks are planned. A round
      also plans whenever the fleet has changed or urgent tasks wait.
    """

    __pydantic_config__ = STRICT

    failure_limit: int = 4
    checkpoint_seconds: float = 1.5
    plan_seconds: float = 2.0
    plan: PlanSettings = field(default_factory=PlanSettings)
    quotas: QuotaSettings = field(default_factory=QuotaSettings)
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)
    usage: UsageSettings = field(default_factory=UsageSettings)
    throttle: ThrottleSettings = field(default_factory=ThrottleSettings)
    leases: LeaseSettings = field(default_factory=LeaseSettings)
    visits: WorkerClientSettings = field(default_factory=WorkerClientSettings)


class PoolReconciler:
    """Runs the placement rounds of one pool for one term of its duty."""

    def __init__(
        self,
        table: Table,
        workers: WorkerControl,
        clock: Clock,
        settings: PlacementSettings,
        duty: Duty,
        executor: Executor,
    ) -> None:
        self._table = table
        self._clock = clock
        self._settings = settings
        self._duty = duty
        self._leases = WorkerLeases(clock, settings.leases)
        self._worker_client = WorkerClient(
            workers, clock, self._leases, settings.visits, executor
        )
        self._stops = StopOrders(clock, settings.checkpoint_seconds)
        pool = duty.name.removeprefix("placement/")
        self._pool = pool
        self._task_store = TaskStore(table, pool)
        self._grants = QuotaGrants(table, pool, clock, settings.quotas)
        self._evidence = FailureEvidence(settings.quarantine)
        self._quarantine = Quarantine(table, pool, clock, settings.quarantine)
        self._usage = UsageModel(settings.usage)
        self._monitor = TaskMonitor(
            clock,
            self._task_store,
            self._worker_client,
            self._leases,
            self._stops,
            self._evidence,
            self._quarantine,
            self._usage,
            settings.throttle,
            settings.failure_limit,
            duty.token,
        )
        self._snapshot_builder = PoolSnapshotBuilder(
            clock,
            self._task_store,
            self._worker_client,
            self._stops,
            self._evidence,
            self._quarantine,
            self._usage,
            self._monitor,
            self._grants,
            settings.quarantine.retry_seconds,
        )
        self._last_fleet: PoolFleet | None = None
        self._next_plan = Deadline(0.0)
        self._last_token = duty.token << START_COUNTER_BITS
        self._blocks = BlockPublisher(table, pool, clock)

    @property
    def token(self) -> int:
        """The duty's fencing token in this term."""
        return self._duty.token

    def run(
        self, fleet: PoolFleet, duty: Duty, deadline: Deadline
    ) -> Result[None, CommitFailure]:
        """Stop unwanted tasks, record ended ones, and start pending ones.

        Calls end at the deadline, or earlier when the duty expires.
        """
        with ROUND_SECONDS.labels(self._pool).time():
            return self._run(fleet, duty, deadline)

    def _run(
        self, fleet: PoolFleet, duty: Duty, deadline: Deadline
    ) -> Result[None, CommitFailure]:
        self._duty = duty
        if fleet is not self._last_fleet:
            self._adopt_fleet(fleet)
        deadline = min(deadline, duty.deadline)
        loaded: Result[None, CommitFailure] = self._task_store.load(deadline)
        if loaded.is_ok():
            loaded = self._quarantine.load(deadline)
        if loaded.is_err():
            return loaded
        self._repeat_stops(fleet, deadline)
        changes = self._monitor.run(fleet, deadline)
        changes.update(self._prune_removed_jobs(fleet))
        committed = self._task_store.commit(duty, changes, deadline)
        if committed.is_ok():
            committed = self._quarantine.update(
                duty, self._evidence, len(fleet.members), deadline
            )
        if committed.is_err() or not self._may_call(deadline):
            return committed
        if not self._is_plan_due(fleet):
            return Ok(None)
        seconds = self._settings.plan_seconds
        self._next_plan = Deadline.after(self._clock, seconds)
        return self._place(fleet, deadline)

    def renew_after_lapse(self, fleet: PoolFleet, deadline: Deadline) -> bool:
        """Renew tasks' leases although the duty has expired.

        Return False, without renewing, once another daemon holds the duty
        or the grace period is over. The next holder assumes that leases
        may be renewed until then.
        """
        grace = self._settings.leases.grace_seconds
        if Deadline(self._duty.deadline.at + grace).has_passed(self._clock):
            return False
        condition = self._duty.build_condition()
        match self._table.read([condition.key], deadline):
            case Ok((row,)):
                if row is None or row.version != condition.version:
                    return False
        self._monitor.renew_leases(fleet, deadline)
        return True

    def _may_call(self, deadline: Deadline) -> bool:
        return not deadline.has_passed(self._clock)

    def _repeat_stops(self, fleet: PoolFleet, deadline: Deadline) -> None:
        for order in self._stops.list_orders(fleet, self._task_store):
            if not self._may_call(deadline):
                return
            if not self._worker_client.is_unresponsive(order.record.worker):
                self._worker_client.stop(order, deadline)

    def _adopt_fleet(self, fleet: PoolFleet) -> None:
        """Drop data of removed jobs, and make a plan due in this round."""
        self._last_fleet = fleet
        self._next_plan = Deadline(0.0)
        self._evidence.retain_jobs(fleet.jobs.keys())
        self._usage.retain_jobs(fleet.jobs.keys())

    def _is_plan_due(self, fleet: PoolFleet) -> bool:
        """Return whether urgent tasks wait or the plan interval has passed."""
        if self._next_plan.has_passed(self._clock):
            return True
        preempting_rank = self._settings.plan.preempting_rank
        return any(
            self._snapshot_builder.find_tasks(job, 1)
            for job in fleet.jobs.values()
            if fleet.get_rank(job) <= preempting_rank and not job.cancelled
        )

    def _prune_removed_jobs(self, fleet: PoolFleet) -> TaskChanges:
        """Delete the rows of removed jobs, except for tasks still running."""
        removed_jobs = set(self._task_store.list_jobs()) - fleet.jobs.keys()
        if not removed_jobs:
            return {}
        return {
            task: None
            for task, record in self._task_store.records.items()
            if task.job in removed_jobs and not record.is_live()
        }

    def _place(
        self, fleet: PoolFleet, deadline: Deadline
    ) -> Result[None, CommitFailure]:
        builder = self._snapshot_builder
        waiting = builder.find_waiting(fleet)
        live = builder.list_live(fleet)
        teams = {item.job.team for item in waiting}
        refreshed = self._grants.refresh(
            sorted(teams | self._grants.list_granted_teams()), deadline
        )
        if refreshed.is_err():
            return refreshed
        snapshot = builder.build_snapshot(fleet, waiting, live)
        plan = plan_round(snapshot, self._settings.plan)
        blocks = {**plan.blocks, **builder.find_failing_jobs(fleet)}
        builder.record_probes(plan.placements)
        PREEMPTIONS.labels(self._pool).inc(len(plan.victims))
        for victim in plan.victims:
            record = self._task_store.get(victim.task)
            order = self._stops.preempt(victim.task, record)
            if self._may_call(deadline):
                self._worker_client.stop(order, deadline)
        claimed = self._adjust_grants(fleet, live, plan.placements, deadline)
        if claimed.is_err():
            return claimed
        started = self._start(plan.placements, deadline)
        if started.is_err():
            return started
        return self._blocks.publish(self._duty, blocks, deadline)

    def _adjust_grants(
        self,
        fleet: PoolFleet,
        live: list[LiveTask],
        placements: list[Placement],
        deadline: Deadline,
    ) -> Result[None, CommitFailure]:
        needed = dict.fromkeys(self._grants.list_granted_teams(), NO_RESOURCES)
        holders = [(item.team, item.size) for item in live]
        holders += [(item.job.team, item.size) for item in placements]
        for team, size in holders:
            needed[team] = needed.get(team, NO_RESOURCES) + size
        quotas = {
            team: fleet.teams[team].quota if team in fleet.teams else amount
            for team, amount in needed.items()
        }
        return self._grants.adjust_grants(self._duty, needed, quotas, deadline)

    def _start(
        self, placements: list[Placement], deadline: Deadline
    ) -> Result[None, CommitFailure]:
        now = self._clock.read_wall()
        changes: TaskChanges = {}
        for placement in placements:
            self._last_token += 1
            record = self._task_store.get(placement.task)
            changes[placement.task] = record.assign(
                placement.worker, self._last_token, placement.size, now
            )
        committed = self._task_store.commit(self._duty, changes, deadline)
        if committed.is_err():
            return committed
        reverted = self._send_starts(placements, deadline)
        return self._task_store.commit(self._duty, reverted, deadline)

    def _send_starts(
        self, placements: list[Placement], deadline: Deadline
    ) -> TaskChanges:
        """Send the starts to the workers.

        Return the new records of tasks whose start certainly had no
        effect, so that they are placed again or count as failed.
        """
        reverted: TaskChanges = {}
        for placement in placements:
            if not self._may_call(deadline):
                break
            if self._worker_client.is_unresponsive(placement.worker):
                continue  # a later poll repeats the start or gives it up
            task = placement.task
            record = self._task_store.get(task)
            payload = placement.job.payload
            match self._worker_client.start(task, record, payload, deadline):
                case Err(UnavailableFailure()):
                    reverted[task] = record.release(TaskStage.PENDING)
                case Err(RefusedFailure()):
                    reverted[task] = fail_task(
                        record,
                        placement.job,
                        self._quarantine.list_quarantined(),
                        self._settings.failure_limit,
                    )
        return reverted
