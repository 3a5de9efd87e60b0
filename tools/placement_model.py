"""Runs the real task controller on a simulated pool of workers.

The workers, the table and the clock are simulated.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, TypeVar, cast

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.duty import Duty, DutyHolder
from chestnutstair.coordination.platform import (
    Key,
    Table,
    TaskPhase,
    WorkerControl,
    Write,
)
from chestnutstair.coordination.pool_reconciler import PlacementSettings
from chestnutstair.coordination.task_controller import TaskController
from chestnutstair.standins.memory_workers import (
    MemoryWorkers,
    TaskBehaviour,
    TaskRun,
)
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.change import TicketChange
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fleet import Job, Pool, PoolKind, Team, Vm, Zone
from chestnutstair.state.resource import Resources
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView

__all__ = [
    "ROUND_INTERVAL_SECONDS",
    "PlacementModel",
    "PoolSize",
    "RoundCost",
]

ROUND_INTERVAL_SECONDS = 0.5  # simulated
RACK_SIZE = 4
UNLIMITED_QUOTA = Resources(1e9, 1e9, 1_000_000_000)
TASK_SIZE_SHARES = (0.02, 0.05, 0.1, 0.2)  # of a worker

T = TypeVar("T")


@dataclass(frozen=True)
class PoolSize:
    """Number, size and spread of the workers of one pool."""

    name: str
    workers: int
    zones: int
    worker: Resources  # of each worker


@dataclass(frozen=True)
class RoundCost:
    """Processor time, calls and table operations of a placement round."""

    seconds: float  # processor time, without that of the stand-ins
    worker_calls: int
    table_writes: int  # commits
    table_rows: int  # rows written by the commits
    table_reads: int  # reads and scans


class ModelClock(Clock):
    """A simulated clock, advanced by the model."""

    now = 1000.0

    def read_monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def read_wall(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Advance the simulated time."""
        self.now += seconds


class _SoleDutyHolder(DutyHolder):
    """Holds the duty of the model's only pool permanently."""

    def __init__(self, table: MemoryTable, clock: Clock) -> None:
        self._clock = clock
        self._key = Key("duty", "placement/pool")
        deadline = Deadline.after(clock, 1)
        table.commit([], [Write(self._key, {"token": 1})], deadline)
        (row,) = table.read([self._key], deadline).unwrap()
        self._version = row.version if row else 0

    def find_duty(self, name: str) -> Duty | None:
        """Return the duty of the model's only pool."""
        deadline = Deadline.after(self._clock, 5)
        return Duty(name, 1, self._version, deadline)


class _CallMeter:
    """Counts calls to the stand-ins and the processor time spent there."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.calls: dict[str, int] = {}
        self.rows = 0

    def wrap(self, wrapped: T) -> T:
        """Return a proxy that meters every method call of `wrapped`."""
        return cast(T, _MeteredProxy(wrapped, self))


class _MeteredProxy:
    """Forwards method calls to `wrapped` and records them in the meter."""

    def __init__(self, wrapped: object, meter: _CallMeter) -> None:
        self._wrapped = wrapped
        self._meter = meter

    def __getattr__(self, name: str) -> Callable[..., Any]:
        method = getattr(self._wrapped, name)

        def call(*args: Any) -> Any:
            # Per thread, as the controller makes calls on several threads.
            began = time.thread_time()
            outcome = method(*args)
            self._meter.seconds += time.thread_time() - began
            calls = self._meter.calls
            calls[name] = calls.get(name, 0) + 1
            if name == "commit":
                self._meter.rows += len(args[1])
            return outcome

        return call


class PlacementModel:
    """One pool with its jobs and its task controller."""

    def __init__(
        self,
        size: PoolSize,
        seed: int,
        settings: PlacementSettings | None = None,
    ) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.clock = ModelClock()
        self.table = MemoryTable()
        self.workers = MemoryWorkers(self.clock)
        self._meter = _CallMeter()
        self._log = ChangeLog(self.table, self.clock, "entry", FleetView())
        self._controller = TaskController(
            self._log,
            cast(Table, self._meter.wrap(self.table)),
            _SoleDutyHolder(self.table, self.clock),
            cast(WorkerControl, self._meter.wrap(self.workers)),
            self.clock,
            settings or PlacementSettings(),
        )
        self.costs: list[RoundCost] = []
        self.filed_at: dict[str, float] = {}
        self._append_ticket(self._build_ticket())

    def _build_ticket(self) -> Ticket:
        size = self.size
        zones = [f"zone-{index}" for index in range(size.zones)]
        vms = tuple(
            Vm(
                f"w{index:05d}",
                "pool",
                zones[index // RACK_SIZE % size.zones],
                f"rack-{index // RACK_SIZE}",
                f"10.{index // 250}.{index % 250}.1:80",
                size.worker,
            )
            for index in range(size.workers)
        )
        return Ticket(
            1,
            "bench",
            zones=tuple(Zone(name, "region") for name in zones),
            teams=(Team("team", UNLIMITED_QUOTA),),
            pools=(Pool("pool", PoolKind.WORKERS, "service", 1),),
            vms=vms,
        )

    def _append_ticket(self, ticket: Ticket) -> None:
        change = TicketChange(ticket)
        self._log.append(change, Deadline.after(self.clock, 5)).unwrap()

    def build_jobs(
        self, prefix: str, urgency: str, cores: float, run_seconds: float
    ) -> list[Job]:
        """Return jobs whose tasks together declare at least `cores`."""
        worker = self.size.worker
        jobs: list[Job] = []
        while cores > 0:
            share = self.random.choice(TASK_SIZE_SHARES)
            memory_share = share * self.random.uniform(0.5, 1.5)
            task_size = Resources(
                worker.cores * share, worker.memory_gb * memory_share
            )
            task_count = self.random.randint(5, 40)
            name = f"{prefix}-{len(jobs)}"
            jobs.append(
                Job(
                    name,
                    "team",
                    "pool",
                    urgency,
                    task_size,
                    run_seconds,
                    task_count,
                )
            )
            cores -= task_size.cores * task_count
        return jobs

    def file_jobs(self, jobs: list[Job], behaviour: TaskBehaviour) -> None:
        """File the jobs in one ticket.

        All tasks follow `behaviour`, except that its `used` means shares of
        what the job declares, and that each job's run time varies at random
        by up to half.
        """
        for job in jobs:
            used = Resources(
                job.resources.cores * behaviour.used.cores,
                job.resources.memory_gb * behaviour.used.memory_gb,
            )
            run_seconds = behaviour.run_seconds * self.random.uniform(0.5, 1.5)
            self.workers.behaviours[job.name] = replace(
                behaviour, run_seconds=run_seconds, used=used
            )
            self.filed_at[job.name] = self.clock.now
        number = self._log.view.ticket + 1
        self._append_ticket(Ticket(number, "bench", jobs=tuple(jobs)))

    def run(self, seconds: float) -> list[RoundCost]:
        """Run rounds for `seconds` of simulated time; return their costs."""
        first = len(self.costs)
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.costs.append(self._run_round())
            self.clock.now += ROUND_INTERVAL_SECONDS
        return self.costs[first:]

    def _run_round(self) -> RoundCost:
        meter = self._meter
        meter.seconds, meter.rows, meter.calls = 0.0, 0, {}
        began = time.process_time()
        self._controller.run_once(Deadline.after(self.clock, 5))
        seconds = time.process_time() - began - meter.seconds
        calls = meter.calls
        writes = calls.get("commit", 0)
        reads = calls.get("read", 0) + calls.get("scan", 0)
        return RoundCost(
            seconds,
            sum(calls.values()) - writes - reads,
            writes,
            meter.rows,
            reads,
        )

    def list_start_delays(self, prefix: str) -> list[float]:
        """Return the sorted seconds from ticket to first start of tasks.

        Only tasks that have started and whose names begin with `prefix`
        are included.
        """
        first_starts: dict[str, float] = {}
        for run in self.workers.runs.values():
            if run.task.startswith(prefix):
                earlier = first_starts.get(run.task, run.started_at)
                first_starts[run.task] = min(earlier, run.started_at)
        return sorted(
            at - self.filed_at[task.rpartition("/")[0]]
            for task, at in first_starts.items()
        )

    def list_stopped_runs(self) -> list[TaskRun]:
        """Return the runs that were stopped, for example by preemption."""
        return [
            run
            for run in self.workers.runs.values()
            if run.phase is TaskPhase.STOPPED
        ]

    def count_running(self) -> int:
        """Return the number of running tasks."""
        self.workers.advance()
        return sum(
            run.phase is TaskPhase.RUNNING
            for run in self.workers.runs.values()
        )

    def measure_core_share(self) -> float:
        """Return the share of all cores that the running tasks declare."""
        jobs = self._log.view.jobs
        self.workers.advance()
        declared = sum(
            jobs[run.task.rpartition("/")[0]].resources.cores
            for run in self.workers.runs.values()
            if run.phase is TaskPhase.RUNNING
        )
        return declared / (self.size.workers * self.size.worker.cores)
