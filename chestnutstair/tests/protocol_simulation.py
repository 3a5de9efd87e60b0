"""Simulation of leaders and workers with lost, late and reordered messages.

The real job tracker, planner, order sender and sessions run against simulated
workers, one event at a time; all randomness comes from one seed. The
invariants are checked whenever a worker begins a run.
"""

import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.advice import AdviceCache
from chestnutstair.scheduling.job_tracker import JobTracker, JobTrackerSettings
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.orders import OrderSender, OrderSettings
from chestnutstair.scheduling.pacing import Pacer, PacingSettings
from chestnutstair.scheduling.placement import (
    Placement,
    PlacementSettings,
    Planner,
)
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    RefusalReason,
    RunEnd,
    RunListing,
    StartOrder,
    StartRefusedFailure,
    WorkerCallFailure,
    WorkerControl,
    WorkerEntry,
)
from chestnutstair.scheduling.progress import Submission, parse_task_name
from chestnutstair.scheduling.sessions import SessionSettings, WorkerSessions
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.term import Term, TermRow, TermSettings
from chestnutstair.scheduling.workers import (
    SLOWEST_CLOCK_RATE,
    WorkerState,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.tests.scheduling_support import (
    CONFIGURATION,
    FakePolicy,
    build_entry,
    build_submission,
)
from chestnutstair.tests.support import ManualClock

__all__ = ["ATTEMPTS", "Simulation", "WorkerProcess"]

ATTEMPTS = 2  # max_attempts of the jobs' queue
LOSS_PROBABILITY = 0.1  # of each request, and of each answer
# Range of the delay after which a start that got no answer may arrive.
LATE_START_SECONDS = (0.5, 8.0)
ORDER_SETTINGS = OrderSettings(retry_seconds=0.0)
STEPS = (
    Step(3, 20_000, estimate_ms=1000),
    Step(2, 30_000, estimate_ms=500, after=(0,)),
)


@dataclass
class WorkerProcess:
    """A simulated incarnation of a worker, with the platform's rules."""

    entry: WorkerEntry
    clock_rate: float  # seconds of its own clock per simulated second
    born_at: float
    fence: int = 0
    lease_deadline_ms: int = 0  # on its own clock
    # Run numbers by task: those running, and the highest that ended or was
    # stopped.
    running: dict[str, int] = field(default_factory=dict)
    last_ended_runs: dict[str, int] = field(default_factory=dict)
    pending_ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0
    # Set after a restart: the next hold call fails, as it was still sent to
    # the previous incarnation.
    fails_next_hold: bool = False

    def read_clock_ms(self, now: float) -> int:
        """Return the time on the worker's own clock, in ms."""
        return int((now - self.born_at) * self.clock_rate * 1000)

    def end(self, task: str, outcome: str) -> None:
        """End a run and add it to the listed ends."""
        run = self.running.pop(task)
        self.last_ended_runs[task] = max(
            run, self.last_ended_runs.get(task, 0)
        )
        self.end_count += 1
        self.pending_ends.append(
            RunEnd(self.end_count, task, run, outcome, "")
        )


class Simulation(WorkerControl):
    """Drives leaders and workers with one random generator."""

    def __init__(
        self, seed: int, workers: int = 4, jobs: int = 6, renames: bool = False
    ) -> None:
        # Whether a restarted worker has another name, on the same VM.
        self.renames = renames
        self.random = random.Random(seed)
        self.clock = ManualClock(1000.0)
        self.fault_free = False
        self.violations: list[str] = []
        self.delayed: list[tuple[float, WorkerEntry, StartOrder]] = []
        # Numbers of the runs that ended with success, by task.
        self.done: dict[str, set[int]] = defaultdict(set)
        # Like `done`, but without ends that were still unacknowledged when the
        # worker's lease expired or it restarted: those tasks may run again.
        self.valid_ends: dict[str, set[int]] = defaultdict(set)
        # Numbers of the failed runs whose end was acknowledged, by task.
        self.acknowledged_failures: dict[str, set[int]] = defaultdict(set)
        self.processes: dict[str, WorkerProcess] = {}
        for number in range(workers):
            self._spawn(f"w{number}", number + 1)
        self.submissions: dict[str, Submission] = {}
        for number in range(jobs):
            name = f"j{number}"
            submission = build_submission(name, STEPS)
            self.submissions[name] = submission
        self.stored: dict[str, bytes] = {}
        self.configuration = CONFIGURATION
        self.epoch = 0
        self.take_over()

    def _spawn(self, name: str, born_ms: int, vm: str = "") -> None:
        entry = build_entry(name)
        entry = replace(entry, born_ms=born_ms, vm=vm or entry.vm)
        clock_rate = self.random.uniform(SLOWEST_CLOCK_RATE, 1.0)
        self.processes[name] = WorkerProcess(entry, clock_rate, self.clock.now)

    # Workers

    def _find_process(self, entry: WorkerEntry) -> WorkerProcess | None:
        # A restarted worker that keeps its name receives calls that were sent
        # to its previous incarnation. None if it has another name now.
        return self.processes.get(entry.name)

    def _draw_loss(self) -> bool:
        """Return at random whether a message is lost."""
        return not self.fault_free and self.random.random() < LOSS_PROBABILITY

    def start(
        self, worker: WorkerEntry, order: StartOrder
    ) -> Result[int, WorkerCallFailure]:
        """Deliver a start, now or late, or lose it or its answer."""
        if self._draw_loss():
            if self.random.random() < 0.5:
                at = self.clock.now + self.random.uniform(*LATE_START_SECONDS)
                self.delayed.append((at, worker, order))
            return Err(UnknownOutcomeFailure("no answer"))
        answer = self._carry_out(worker, order)
        if self._draw_loss():
            return Err(UnknownOutcomeFailure("answer lost"))
        return answer

    def _carry_out(
        self, worker: WorkerEntry, order: StartOrder
    ) -> Result[int, WorkerCallFailure]:
        process = self._find_process(worker)
        if process is None:
            return Err(UnavailableFailure("not reached"))
        clock_ms = process.read_clock_ms(self.clock.now)
        if order.fence < process.fence:
            return Err(StartRefusedFailure(RefusalReason.FENCE))
        process.fence = order.fence
        if order.deadline_ms <= clock_ms:
            return Err(StartRefusedFailure(RefusalReason.LATE))
        process.lease_deadline_ms = max(
            process.lease_deadline_ms, order.deadline_ms
        )
        if process.running.get(order.task) == order.run:
            return Ok(clock_ms)
        if order.run <= max(
            process.last_ended_runs.get(order.task, 0),
            process.running.get(order.task, 0),
        ):
            return Err(StartRefusedFailure(RefusalReason.OLD))
        self._begin_run(process, order)
        return Ok(clock_ms)

    def _begin_run(self, process: WorkerProcess, order: StartOrder) -> None:
        task = order.task
        name = parse_task_name(task)
        assert name is not None
        job, key = name
        for other in self.processes.values():
            if task in other.running:
                self.violations.append(f"{task} runs twice at once")
        if self.valid_ends[task]:
            self.violations.append(f"{task} runs again after it was done")
        if len(self.acknowledged_failures[task]) >= ATTEMPTS:
            self.violations.append(f"{task} runs again after its last attempt")
        steps = self.submissions[job].specification.steps
        for dependency in steps[key.step].after:
            for index in range(steps[dependency].count):
                if not self.done[f"{job}.0.{dependency}.{index}"]:
                    self.violations.append(
                        f"{task} starts before its dependencies"
                    )
        process.running[task] = order.run

    def stop(
        self, worker: WorkerEntry, task: str, run: int, fence: int
    ) -> Result[int, WorkerCallFailure]:
        """Stop a run; if its start has not arrived yet, reject it later."""
        if self._draw_loss():
            return Err(UnknownOutcomeFailure("no answer"))
        process = self._find_process(worker)
        if process is None:
            return Err(UnavailableFailure("not reached"))
        if fence < process.fence:
            return Err(StartRefusedFailure(RefusalReason.FENCE))
        process.fence = fence
        process.last_ended_runs[task] = max(
            run, process.last_ended_runs.get(task, 0)
        )
        if process.running.get(task) == run:
            process.end(task, "stopped")
        if self._draw_loss():
            return Err(UnknownOutcomeFailure("answer lost"))
        return Ok(process.read_clock_ms(self.clock.now))

    def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait_seconds: float,
    ) -> Result[HoldAnswer, WorkerCallFailure]:
        """Extend the lease; return current runs and unacknowledged ends."""
        process = self._find_process(worker)
        if process is None:
            return Err(UnavailableFailure("not reached"))
        if process.fails_next_hold or self._draw_loss():
            process.fails_next_hold = False
            return Err(UnavailableFailure("not reached"))
        if fence < process.fence:
            return Err(StartRefusedFailure(RefusalReason.FENCE))
        process.fence = fence
        if deadline_ms is not None:
            process.lease_deadline_ms = max(
                process.lease_deadline_ms, deadline_ms
            )
        self._acknowledge_ends(process, acknowledged_end)
        if self._draw_loss():
            return Err(UnknownOutcomeFailure("answer lost"))
        return Ok(
            HoldAnswer(
                process.read_clock_ms(self.clock.now),
                process.entry.born_ms,
                tuple(
                    RunListing(task, run, "", 100)
                    for task, run in process.running.items()
                ),
                tuple(
                    end
                    for end in process.pending_ends
                    if end.number > acknowledged_end
                ),
            )
        )

    def _acknowledge_ends(
        self, process: WorkerProcess, acknowledged_end: int
    ) -> None:
        for end in process.pending_ends:
            if end.number <= acknowledged_end and end.outcome == "failed":
                self.acknowledged_failures[end.task].add(end.run)
        process.pending_ends = [
            end
            for end in process.pending_ends
            if end.number > acknowledged_end
        ]

    def pace(
        self,
        worker: WorkerEntry,
        task: str,
        run: int,
        percent: int,
        fence: int,
    ) -> Result[int, WorkerCallFailure]:
        """Accept the order; the simulation does not pace runs."""
        return Ok(0)

    # Leaders

    def take_over(self) -> None:
        """Start a new leader from the stored state."""
        self.epoch += 1
        row = TermRow("n", "n:1", self.epoch, 0)
        term = Term(MemoryRowStore(), self.clock, row, 0, TermSettings())
        term.renewed_at = self.clock.now
        self.term = term
        leadership = Leadership(term)
        self.leadership = leadership
        takeover_wait = ORDER_SETTINGS.compute_takeover_wait(0.0)
        settings = JobTrackerSettings(takeover_wait_seconds=takeover_wait)
        self.tracker = JobTracker(self.clock, settings)
        self.tracker.configuration = self.configuration
        for name, submission in self.submissions.items():
            self.tracker.restore_job(submission, self.stored.get(name))
        advice = AdviceCache(FakePolicy(), self.clock)
        self.planner = Planner(
            self.tracker, self.clock, PlacementSettings(), advice
        )
        pacer = Pacer(self.clock, PacingSettings())
        self.orders = OrderSender(
            leadership,
            self.tracker,
            self,
            advice,
            pacer,
            self.clock,
            ORDER_SETTINGS,
        )
        self.sessions = WorkerSessions(
            leadership,
            self.tracker,
            self,
            self.orders,
            pacer,
            self.clock,
            SessionSettings(retry_seconds=0.0),
        )
        self.refresh_registry()

    def refresh_registry(self) -> None:
        """Apply all registry entries to the leader's state."""
        for process in self.processes.values():
            self.tracker.apply_worker_entry(process.entry)

    def hold_worker(self, worker: WorkerState) -> None:
        """Make a hold call that does not wait."""
        call = self.sessions._build_call(worker, 0.0)
        self.sessions._hold(worker, call)

    def plan(self) -> list[Placement]:
        """Plan, store and send stops; return the starts to send."""
        self.tracker.release_expired()
        self.tracker.stop_stuck_runs()
        placements = self.planner.plan(self.clock.now, self.clock.now * 1000)
        stops = self.tracker.list_stop_requests()
        applied = [
            (worker, worker.applied_end)
            for worker in self.tracker.workers.values()
        ]
        for name in self.tracker.dirty:
            self.stored[name] = self.tracker.jobs[name].encode()
        self.tracker.dirty.clear()
        self.term.renewed_at = self.clock.now
        for worker, number in applied:
            worker.stored_end = max(worker.stored_end, number)
        for stop in stops:
            self.orders._stop(stop, (stop.worker.name, stop.task, stop.run))
        return placements

    # Events

    def run(self, events: int) -> None:
        """Run that many random events, with faults."""
        pending: list[Placement] = []
        for _ in range(events):
            self.clock.now += self.random.uniform(0.0, 0.15)
            self._expire_and_deliver()
            choice = self.random.random()
            if choice < 0.3:
                pending += self.plan()
            elif choice < 0.5 and pending:
                index = self.random.randrange(len(pending))
                self.orders._start(pending.pop(index))
            elif choice < 0.75:
                self._hold_random_worker()
            elif choice < 0.97:
                self._end_random_run()
            elif choice < 0.985:
                self._restart_random_worker()
            elif choice < 0.992:
                self.refresh_registry()
            else:
                # Unsent orders of the previous leader are lost.
                pending = []
                self.take_over()

    def settle(self, rounds: int) -> None:
        """Run without faults, so that all jobs can finish."""
        self.fault_free = True
        for _ in range(rounds):
            self.clock.now += 0.2
            self._expire_and_deliver()
            self.refresh_registry()
            for worker in list(self.tracker.workers.values()):
                self.hold_worker(worker)
            for placement in self.plan():
                self.orders._start(placement)
            for process in self.processes.values():
                for task in list(process.running):
                    self._finish(process, task, "done")

    def _expire_and_deliver(self) -> None:
        now = self.clock.now
        for process in self.processes.values():
            if process.read_clock_ms(now) >= process.lease_deadline_ms:
                for task in list(process.running):
                    process.end(task, "lapsed")
                self._invalidate_pending_ends(process)
        due = [item for item in self.delayed if item[0] <= now]
        self.delayed = [item for item in self.delayed if item[0] > now]
        for _, worker, order in due:
            self._carry_out(worker, order)

    def _hold_random_worker(self) -> None:
        workers = list(self.tracker.workers.values())
        if workers:
            self.hold_worker(self.random.choice(workers))

    def _end_random_run(self) -> None:
        process = self.random.choice(list(self.processes.values()))
        if process.running:
            task = self.random.choice(list(process.running))
            outcome = "failed" if self.random.random() < 0.1 else "done"
            self._finish(process, task, outcome)

    def _finish(self, process: WorkerProcess, task: str, outcome: str) -> None:
        if outcome == "done":
            self.done[task].add(process.running[task])
            self.valid_ends[task].add(process.running[task])
        process.end(task, outcome)

    def _invalidate_pending_ends(self, process: WorkerProcess) -> None:
        # Ends that were never acknowledged do not forbid another run.
        for end in process.pending_ends:
            self.valid_ends[end.task].discard(end.run)

    def _restart_random_worker(self) -> None:
        name = self.random.choice(list(self.processes))
        self._invalidate_pending_ends(self.processes[name])
        # Orders that the process had received but not executed are lost.
        self.delayed = [item for item in self.delayed if item[1].name != name]
        # The leader learns of the restart some time later.
        previous = self.processes.pop(name).entry
        if self.renames:
            name = f"{previous.vm}-{previous.born_ms + 1}"
        self._spawn(name, previous.born_ms + 1, previous.vm)
        self.processes[name].fails_next_hold = not self.renames
