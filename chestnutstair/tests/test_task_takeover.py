"""Tests takeovers of placement at every call, by the workers' log."""

import logging
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar, cast

from result import Result

from chestnutstair.coordination.duty import DUTY_TABLE, Duty, DutyHolder
from chestnutstair.coordination.platform import (
    Key,
    Table,
    TaskPhase,
    WorkerControl,
    Write,
)
from chestnutstair.coordination.pool_reconciler import PlacementSettings
from chestnutstair.coordination.task_controller import TaskController
from chestnutstair.coordination.task_store import CommitFailure, TaskStore
from chestnutstair.coordination.worker_client import WorkerClientSettings
from chestnutstair.coordination.worker_lease import LeaseSettings
from chestnutstair.standins.memory_workers import (
    MemoryWorkers,
    Reachability,
    TaskBehaviour,
)
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.change import DrainChange, TicketChange
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources
from chestnutstair.state.task import TaskName, TaskRecord, TaskStage
from chestnutstair.state.ticket import Ticket
from chestnutstair.tests.support import ManualClock, build_log, build_ticket

DUTY_KEY = Key(DUTY_TABLE, "placement/boxes")
LEASES = LeaseSettings(grace_seconds=40.0, start_hold_seconds=60.0)
RUN_SECONDS = 20.0
TASK_COUNT = 3
CALL_COUNT = 24  # to table and workers; more than up to the last start

T = TypeVar("T")


class KilledError(Exception):
    """Raised in place of a call to simulate a killed daemon."""


class CallInterceptor:
    """Calls a hook before or after the given call of a daemon.

    It can also make the table or single workers unreachable.
    """

    def __init__(
        self, number: int, after: bool, hook: Callable[[], None]
    ) -> None:
        self._left = number
        self._after = after
        self._hook = hook
        self.cut_off: set[str] = set()  # unreachable workers
        self.table_down = False

    def wrap(self, target: T) -> T:
        """Return a proxy that intercepts the calls to the target."""
        return cast(T, _Proxy(target, self))

    def run(self, call: Callable[[], object]) -> object:
        """Make the call, and call the hook if this is the given call."""
        self._left -= 1
        if self._left == 0 and not self._after:
            self._hook()
        outcome = call()
        if self._left == 0 and self._after:
            self._hook()
        return outcome


class _Proxy:
    def __init__(self, target: object, interceptor: CallInterceptor) -> None:
        self._target = target
        self._interceptor = interceptor

    def __getattr__(self, name: str) -> Callable[..., object]:
        method = getattr(self._target, name)
        return lambda *args: self._interceptor.run(
            lambda: self._call(method, args)
        )

    def _call(self, method: Callable[..., object], args: tuple) -> object:
        target: Any = self._target
        if isinstance(target, MemoryTable):
            target.down = self._interceptor.table_down
            outcome = method(*args)
            target.down = False
            return outcome
        reach = target.reachability.get(args[0])
        if args[0] in self._interceptor.cut_off:
            target.reachability[args[0]] = Reachability.UNREACHABLE
        outcome = method(*args)
        if reach is None:
            target.reachability.pop(args[0], None)
        return outcome


class RacingDutyHolder(DutyHolder):
    """Holds the duty from `claim` until another holder claims it."""

    def __init__(self, table: MemoryTable, clock: ManualClock) -> None:
        self._table = table
        self._clock = clock
        self._held = Duty("", 0, 0, Deadline(0.0))
        self.lapsed = False

    def claim(self) -> None:
        """Take over the duty with a higher token."""
        deadline = Deadline.after(self._clock, 6.0)
        row = self._table.read([DUTY_KEY], deadline).unwrap()[0]
        token = 1 + (row.value["token"] if row else 0)
        write = Write(DUTY_KEY, {"token": token})
        self._table.commit([], [write], deadline)
        row = self._table.read([DUTY_KEY], deadline).unwrap()[0]
        assert row is not None
        self._held = Duty("placement/boxes", token, row.version, deadline)

    def find_duty(self, name: str) -> Duty | None:
        """Return the duty unless it has lapsed or another holder has it."""
        deadline = Deadline.after(self._clock, 6.0)
        row = self._table.read([DUTY_KEY], deadline).unwrap()[0]
        if self.lapsed or name != self._held.name or row is None:
            return None
        if row.version != self._held.version:
            return None
        self._held = replace(self._held, deadline=deadline)
        return self._held


class Scenario:
    """A pool, its workers, and daemons that compete for its duty."""

    def __init__(
        self,
        restartable: bool = True,
        run_seconds: float = RUN_SECONDS,
        leases: LeaseSettings = LEASES,
    ) -> None:
        self.leases = leases
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.workers = MemoryWorkers(self.clock)
        self.workers.behaviours["build"] = TaskBehaviour(run_seconds)
        ticket = build_ticket(workers=4)
        job = Job(
            "build",
            "toys",
            "boxes",
            "normal",
            Resources(40, 8),
            run_seconds,
            TASK_COUNT,
            restartable=restartable,
        )
        self.job = job
        self.log = build_log(self.table, self.clock)
        self.accept(replace(ticket, jobs=(job,)))
        self.restartable = restartable
        self.duties: list[RacingDutyHolder] = []

    def accept(self, ticket: Ticket) -> None:
        """Commit the ticket to the change log."""
        deadline = Deadline.after(self.clock, 5)
        self.log.append(TicketChange(ticket), deadline).unwrap()

    def open(self, interceptor: CallInterceptor) -> TaskController:
        """Return the controller of a daemon that takes over the duty now."""
        duties = RacingDutyHolder(self.table, self.clock)
        duties.claim()
        self.duties.append(duties)
        return TaskController(
            self.log,
            cast(Table, interceptor.wrap(self.table)),
            duties,
            cast(WorkerControl, interceptor.wrap(self.workers)),
            self.clock,
            PlacementSettings(
                leases=self.leases, visits=WorkerClientSettings(call_threads=1)
            ),
        )

    def run(self, controller: TaskController, seconds: float) -> None:
        """Run one round of the controller per second of model time."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            controller.run_once(Deadline.after(self.clock, 5))
            self.clock.now += 1.0


def pass_through() -> CallInterceptor:
    """Return an interceptor without a hook."""
    return CallInterceptor(0, False, lambda: None)


class TakeoverTest(unittest.TestCase):
    """No task runs twice at a time, whenever a daemon is interrupted."""

    def setUp(self) -> None:
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check_outcome(
        self,
        scenario: Scenario,
        controller: TaskController,
        lost: bool = False,
    ) -> None:
        """Check the workers' log and the stages of the tasks.

        With `lost`, ends on an unreachable worker may be lost.
        """
        deadline = Deadline.after(scenario.clock, 5)
        (status,) = controller.report_jobs(deadline).unwrap()
        self.assertEqual(scenario.workers.find_overlaps(), [])
        finishes = scenario.workers.count_finished_runs()
        if lost and not scenario.restartable:
            self.assertLessEqual(max(finishes.values()), 1)
            return
        self.assertEqual(status.tasks, {"finished": TASK_COUNT})
        if not lost:
            self.assertEqual(list(finishes.values()), [1] * TASK_COUNT)

    def kill(self, scenario: Scenario, number: int, after: bool) -> None:
        """Run a daemon that is killed at the given call."""

        def kill() -> None:
            raise KilledError

        first = scenario.open(CallInterceptor(number, after, kill))
        try:
            scenario.run(first, 10)
        except KilledError:
            scenario.clock.now += 6.0

    def test_resumes_after_a_kill_at_any_step(self) -> None:
        for number in range(1, CALL_COUNT):
            for after in (False, True):
                with self.subTest(number=number, after=after):
                    scenario = Scenario()
                    self.kill(scenario, number, after)
                    second = scenario.open(pass_through())
                    scenario.run(second, 200)
                    self.check_outcome(scenario, second)

    def test_cancels_tasks_that_a_killed_daemon_started(self) -> None:
        for number in range(1, CALL_COUNT):
            with self.subTest(number=number):
                scenario = Scenario(run_seconds=500.0)
                self.kill(scenario, number, after=False)
                job = replace(scenario.job, cancelled=True)
                scenario.accept(Ticket(2, "ana", jobs=(job,)))
                second = scenario.open(pass_through())
                scenario.run(second, 3)
                deadline = Deadline.after(scenario.clock, 5)
                (status,) = second.report_jobs(deadline).unwrap()
                self.assertEqual(status.tasks, {"cancelled": TASK_COUNT})
                phases = {run.phase for run in self.list_runs(scenario)}
                self.assertNotIn(TaskPhase.RUNNING, phases)

    def run_paused(
        self,
        scenario: Scenario,
        number: int,
        after: bool,
        pause: float,
        cut_off: bool,
    ) -> None:
        """Pause a daemon at the given call while another one takes over.

        With `cut_off`, the other daemon cannot reach the busy workers.
        """
        others = pass_through()
        second: list[TaskController] = []

        def pause_first() -> None:
            scenario.clock.now += 6.0
            if cut_off:
                others.cut_off = {
                    run.worker for run in self.list_runs(scenario)
                }
                others.cut_off.add(
                    "boxes-0"
                )  # the worker that is chosen first
            second.append(scenario.open(others))
            scenario.run(second[0], pause)

        first = scenario.open(CallInterceptor(number, after, pause_first))
        scenario.run(first, 10)
        if not second:
            return
        for _ in range(80):
            first.run_once(Deadline.after(scenario.clock, 5))
            scenario.run(second[0], 1)
        others.cut_off = set()
        scenario.run(second[0], 150)
        self.check_outcome(scenario, second[0], lost=cut_off)

    def list_runs(self, scenario: Scenario) -> list:
        scenario.workers.advance()
        return list(scenario.workers.runs.values())

    def test_survives_a_pause_at_any_step(self) -> None:
        for number in range(1, CALL_COUNT):
            for pause in (2.0, 45.0):
                for cut_off in (False, True):
                    with self.subTest(
                        number=number, pause=pause, cut_off=cut_off
                    ):
                        after = number % 2 == 0
                        self.run_paused(
                            Scenario(), number, after, pause, cut_off
                        )

    def test_waits_for_a_start_that_may_be_in_flight(self) -> None:
        for number in range(1, 12):
            with self.subTest(number=number):
                scenario = Scenario(run_seconds=60.0)
                self.run_paused(scenario, number, False, 80.0, True)

    def test_waits_for_a_renewal_that_may_be_in_flight(self) -> None:
        leases = replace(LEASES, grace_seconds=0.0)
        for number in range(12, 2 * CALL_COUNT):
            with self.subTest(number=number):
                scenario = Scenario(run_seconds=60.0, leases=leases)
                self.run_paused(scenario, number, False, 4.0, True)

    def test_never_restarts_a_task_that_is_not_restartable(self) -> None:
        for number in range(1, CALL_COUNT, 2):
            with self.subTest(number=number):
                scenario = Scenario(restartable=False)
                self.run_paused(scenario, number, False, 45.0, True)

    def test_never_restarts_a_stopped_task_of_unknown_outcome(self) -> None:
        scenario = Scenario(restartable=False)
        first = scenario.open(pass_through())
        scenario.run(first, 15)
        (run, *_) = self.list_runs(scenario)
        drain = DrainChange(run.worker, "wave", 0.0)
        deadline = Deadline.after(scenario.clock, 5)
        scenario.log.append(drain, deadline).unwrap()
        scenario.clock.now += 10.0  # all tasks end before the stop arrives
        scenario.workers.drop_ended_tasks()
        scenario.run(first, 60)
        finishes = scenario.workers.count_finished_runs()
        self.assertEqual(set(finishes.values()), {1})

    def test_tasks_outlive_an_outage_of_the_table(self) -> None:
        scenario = Scenario(run_seconds=50.0)
        interceptor = pass_through()
        first = scenario.open(interceptor)
        scenario.run(first, 3)
        interceptor.table_down = scenario.duties[0].lapsed = True
        scenario.run(first, 35)
        interceptor.table_down = scenario.duties[0].lapsed = False
        scenario.run(first, 30)
        self.check_outcome(scenario, first)
        self.assertEqual(len(scenario.workers.runs), TASK_COUNT)

    def test_waits_while_the_former_holder_renews_leases(self) -> None:
        scenario = Scenario(run_seconds=100.0)
        interceptor, others = pass_through(), pass_through()
        first = scenario.open(interceptor)
        scenario.run(first, 3)
        interceptor.table_down = scenario.duties[0].lapsed = True
        others.cut_off = {run.worker for run in self.list_runs(scenario)}
        second = scenario.open(others)
        for _ in range(90):
            first.run_once(Deadline.after(scenario.clock, 5))
            scenario.run(second, 1)
        others.cut_off = set()
        scenario.run(second, 150)
        self.check_outcome(scenario, second, lost=True)

    def test_finds_its_commits_after_lost_answers(self) -> None:
        for lost in range(1, 4):
            scenario = Scenario()
            first = scenario.open(pass_through())
            scenario.table.lose_answers = lost
            scenario.run(first, 60)
            self.check_outcome(scenario, first)
            self.assertEqual(len(scenario.workers.runs), TASK_COUNT)


class TaskStoreTest(unittest.TestCase):
    """A commit fails if either the duty's or the task's row changed."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.duties = RacingDutyHolder(self.table, self.clock)
        self.duties.claim()
        self.task = TaskName("build", 0)

    def open(self) -> TaskStore:
        task_store = TaskStore(self.table, "boxes")
        task_store.load(Deadline.after(self.clock, 5)).unwrap()
        return task_store

    def commit(
        self, task_store: TaskStore, duty: Duty | None, token: int
    ) -> Result[None, CommitFailure]:
        assert duty is not None
        record = TaskRecord(TaskStage.STARTING, "boxes-0", token)
        deadline = Deadline.after(self.clock, 5)
        return task_store.commit(duty, {self.task: record}, deadline)

    def test_refuses_a_former_holder(self) -> None:
        former = self.duties.find_duty("placement/boxes")
        RacingDutyHolder(self.table, self.clock).claim()
        self.assertTrue(self.commit(self.open(), former, 1).is_err())

    def test_refuses_a_row_that_has_changed(self) -> None:
        duty = self.duties.find_duty("placement/boxes")
        task_store, other = self.open(), self.open()
        self.commit(other, duty, 1).unwrap()
        self.assertTrue(self.commit(task_store, duty, 2).is_err())
