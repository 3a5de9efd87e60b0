"""Tests of how the outcomes of orders to workers are handled."""

import threading
import time
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.job_tracker import StopRequest
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.orders import OrderSender, OrderSettings
from chestnutstair.scheduling.pacing import Pacer, PacingSettings
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    RefusalReason,
    StartRefusedFailure,
    WorkerCallFailure,
    WorkerControl,
    WorkerEntry,
    WrongIncarnationFailure,
)
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.term import Term, TermRow, TermSettings
from chestnutstair.scheduling.workers import WorkerState
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.tests.scheduling_support import TrackerHarness

WAIT_SECONDS = 10.0


class ScriptedControl(WorkerControl):
    """Answers each start and stop with the failure set, if any."""

    def __init__(self) -> None:
        self.failure: WorkerCallFailure | None = None
        self.call_count = 0

    def _answer(self) -> Result[int, WorkerCallFailure]:
        self.call_count += 1
        return Ok(0) if self.failure is None else Err(self.failure)

    def start(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Answer a start."""
        return self._answer()

    def stop(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Answer a stop."""
        return self._answer()

    def pace(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Answer an order of a speed."""
        return self._answer()

    def hold(self, *_: Any) -> Result[HoldAnswer, WorkerCallFailure]:
        """Fail; the tests deliver listings themselves."""
        return Err(UnavailableFailure("not used"))


class OrderOutcomeTest(unittest.TestCase):
    """One worker, and a leader whose orders are answered as scripted."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.control = ScriptedControl()
        row = TermRow("n", "n:1", 1, 0)
        store = MemoryRowStore()
        self.leadership = Leadership(
            Term(store, self.harness.clock, row, 0, TermSettings())
        )
        self.orders = OrderSender(
            self.leadership,
            self.harness.tracker,
            self.control,
            self.harness.advice,
            Pacer(self.harness.clock, PacingSettings()),
            self.harness.clock,
            OrderSettings(retry_seconds=0.0),
        )
        self.addCleanup(self.orders.close)

    def send_stop(self) -> None:
        worker = self.harness.get_worker("w1")
        worker.mark_stopping("j.0.0.0")
        (stop,) = self.harness.tracker.list_stop_requests()
        self.orders._stop(stop, ("w1", stop.task, stop.run))

    def place_and_start(self) -> None:
        self.record = self.harness.admit("j", [Step(1, 1000)])
        (placement,) = self.harness.plan()
        self.orders._start(placement)

    def start_on_draining_worker(self, step: Step) -> int:
        """Start a task whose worker drains meanwhile; return the calls."""
        self.harness.admit("j", [step])
        (placement,) = self.harness.plan()
        self.harness.move_entry("w1", draining=True)
        self.orders._start(placement)
        return self.control.call_count

    # Guards against starts that wait for a thread, behind orders to workers
    # that do not answer, and reach a worker that has begun to drain.
    def test_a_start_that_waits_is_not_sent_to_a_draining_worker(self) -> None:
        self.assertEqual(self.start_on_draining_worker(Step(1, 1000)), 0)
        self.assertEqual(self.harness.get_worker("w1").runs, {})

    # Without one of its members, a gang that has been placed ends.
    def test_a_member_of_a_gang_is_started_nevertheless(self) -> None:
        step = Step(1, 1000, gang=True)
        self.assertEqual(self.start_on_draining_worker(step), 1)

    def is_stop_answered(self) -> bool:
        run = self.harness.get_worker("w1").runs["j.0.0.0"]
        return bool(run.stop_answered_at)

    def test_a_refused_ticket_is_dropped_whatever_the_clock_says(self) -> None:
        # Refusals carry the worker's clock, so none was equal to one without.
        self.harness.policy.good = {"w1": "ticket"}
        self.record = self.harness.admit("j", [Step(1, 1000)], "ruled")
        self.assertEqual(self.harness.plan(), [])
        self.harness.advice._ask_next()
        (placement,) = self.harness.plan()
        self.control.failure = StartRefusedFailure(RefusalReason.TICKET, 4711)
        self.orders._start(placement)
        self.assertEqual(self.harness.plan(), [], "the ticket is used again")

    def test_a_stop_with_an_old_fence_ends_the_term(self) -> None:
        self.place_and_start()
        self.control.failure = StartRefusedFailure(RefusalReason.FENCE, 4711)
        self.send_stop()
        self.assertTrue(self.leadership.has_ended)
        self.assertFalse(self.is_stop_answered())

    def test_a_stop_refused_without_a_known_reason_is_sent_again(self) -> None:
        # A run counted as stopped that goes on would run twice.
        self.place_and_start()
        self.control.failure = StartRefusedFailure("status 400", 4711)
        self.send_stop()
        self.assertFalse(self.is_stop_answered())

    def test_a_stop_of_a_run_that_is_over_counts_as_answered(self) -> None:
        self.place_and_start()
        self.control.failure = StartRefusedFailure(RefusalReason.OLD, 4711)
        self.send_stop()
        self.assertTrue(self.is_stop_answered())

    def test_a_stop_that_waits_is_not_sent_after_the_term(self) -> None:
        # The next leader may have found the task ready and stop another one.
        self.place_and_start()
        self.leadership.end()
        self.send_stop()
        self.assertEqual(self.control.call_count, 1, "the start only")

    def test_a_stop_that_waits_is_not_sent_once_its_run_is_listed(
        self,
    ) -> None:
        # With slow workers stops waited for seconds for a thread, and ended
        # lasting tasks whose starts had been carried out in the meantime.
        self.harness.admit("j", [Step(1, 1000, lasting=True)])
        self.harness.plan()
        worker = self.harness.get_worker("w1")
        self.harness.tracker.mark_in_doubt(worker, "j.0.0.0", 1)
        self.harness.clock.now += 0.1
        self.harness.answer("w1")
        (stop,) = self.harness.tracker.list_stop_requests()
        self.harness.answer("w1", self.harness.list_runs("w1"))
        self.orders._stop(stop, ("w1", stop.task, stop.run))
        self.assertEqual(self.control.call_count, 0)
        self.assertEqual(self.orders._stops_in_flight, set())

    # Guards against a late order that sets an older speed for good, as the
    # newer one had been accepted before it.
    def test_the_speed_is_repeated_after_an_order_without_answer(self) -> None:
        self.harness.admit("j", [Step(1, 1000, lasting=True, filler=True)])
        self.harness.start_all(self.harness.plan())
        worker = self.harness.get_worker("w1")
        worker.filler_percent = 50
        pacer = Pacer(self.harness.clock, PacingSettings())
        (pace,) = pacer.adjust(worker)
        self.control.failure = UnknownOutcomeFailure("no answer")
        self.orders._pace(worker, pace)
        worker.filler_percent = 100
        worker.replace_run(
            pace.task, replace(worker.runs[pace.task], percent=50)
        )
        (newer,) = pacer.adjust(worker)
        self.control.failure = None
        self.orders._pace(worker, newer)
        self.harness.clock.now += 5.0
        self.assertEqual(pacer.adjust(worker), [newer])
        self.harness.clock.now += 15.0
        self.assertEqual(pacer.adjust(worker), [])

    def test_a_call_that_another_worker_answers_says_nothing_of_a_successor(
        self,
    ) -> None:
        # The worker had restarted at another address, where it goes on.
        self.harness.admit("j", [Step(1, 1000)])
        (placement,) = self.harness.plan()
        self.harness.move_entry("w1", born_ms=2, address="w1:81")
        self.harness.answer("w1", born_ms=2)
        self.orders._handle_failed_start(
            placement, "j.0.0.0", WrongIncarnationFailure()
        )
        self.assertFalse(self.harness.get_worker("w1").gone)


class StartLimitTest(unittest.TestCase):
    """Starts are placed only so far ahead of those that wait to be sent."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1", "w2", "w3", "w4"))
        store = MemoryRowStore()
        row = TermRow("n", "n:1", 1, 0)
        self.leadership = Leadership(
            Term(store, self.harness.clock, row, 0, TermSettings())
        )
        self.control = ScriptedControl()
        self.orders = OrderSender(
            self.leadership,
            self.harness.tracker,
            self.control,
            self.harness.advice,
            Pacer(self.harness.clock, PacingSettings()),
            self.harness.clock,
            OrderSettings(
                threads=2, starts_per_second=100.0, queue_seconds=0.1
            ),
        )
        self.addCleanup(self.orders.close)
        self.harness.admit("j", [Step(30, 5000)])
        self.placed = self.harness.plan()

    def test_starts_that_wait_count_against_the_limit(self) -> None:
        # What waits to be sent holds room and is not overtaken.
        self.assertEqual(self.orders.limit_starts(0.2), 30)
        with self.harness.tracker.lock:  # keeps the starts from being sent
            for placement in self.placed:
                self.orders.submit_start(placement)
            self.assertEqual(self.orders.limit_starts(0.2), 0)
        self.wait_for(lambda: self.orders.limit_starts(0.2) == 30)

    def test_the_planner_is_woken_once_few_starts_are_left(self) -> None:
        # It placed no more, and no end of a run may wake it.
        with self.harness.tracker.lock:
            for placement in self.placed:
                self.orders.submit_start(placement)
            self.orders.wake_when_sent()
            self.assertFalse(self.leadership.planner_wakeup.is_set())
        self.wait_for(self.leadership.planner_wakeup.is_set)

    def test_the_planner_is_woken_if_all_starts_are_sent(self) -> None:
        self.orders.wake_when_sent()
        self.assertTrue(self.leadership.planner_wakeup.is_set())

    def test_a_long_outage_of_the_store_does_not_lift_the_limit(self) -> None:
        # The first round after it would place all that has gathered.
        self.assertEqual(self.orders.limit_starts(8.0), 110)

    def wait_for(self, is_reached: Callable[[], bool]) -> None:
        end = time.monotonic() + 10.0
        while not is_reached():
            self.assertLess(time.monotonic(), end)
            time.sleep(0.005)


class BlockingControl(ScriptedControl):
    """Workers that answer starts, but stops only once they are released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()
        self.stops: list[str] = []

    def start(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Accept a start."""
        return Ok(0)

    def stop(
        self, worker: WorkerEntry, *_: Any
    ) -> Result[int, WorkerCallFailure]:
        """Give no answer until the event is set."""
        self.stops.append(worker.name)
        self.released.wait(WAIT_SECONDS)
        return Err(UnavailableFailure("timed out"))


class SilentWorkersTest(unittest.TestCase):
    """A rack of workers is dark, and runs on them are to be stopped.

    151 stops without an answer in 7 s occupied most of the threads that send
    starts, and a pool of 110 workers stood nearly empty with 8,000 cores of
    work waiting.
    """

    def setUp(self) -> None:
        self.harness = TrackerHarness(("dark", "w1"))
        store = MemoryRowStore()
        row = TermRow("n", "n:1", 1, 0)
        self.control = BlockingControl()
        self.orders = OrderSender(
            Leadership(
                Term(store, self.harness.clock, row, 0, TermSettings())
            ),
            self.harness.tracker,
            self.control,
            self.harness.advice,
            Pacer(self.harness.clock, PacingSettings()),
            self.harness.clock,
            OrderSettings(retry_seconds=0.0, threads=2, stop_threads=2),
        )
        self.addCleanup(self.orders.close)
        self.addCleanup(self.control.released.set)
        self.dark = self.harness.get_worker("dark")

    def submit_stops(self, worker: WorkerState, count: int) -> None:
        for number in range(count):
            task = f"j.0.0.{number}"
            self.harness.tracker.orphans[(worker.name, task)] = 1
            self.orders.submit_stop(StopRequest(worker, task, 1))

    def wait_for(self, is_reached: Callable[[], bool]) -> None:
        end = time.monotonic() + WAIT_SECONDS
        while not is_reached():
            self.assertLess(time.monotonic(), end)
            time.sleep(0.005)

    def test_stops_without_an_answer_delay_no_starts(self) -> None:
        self.submit_stops(self.dark, 10)
        self.harness.admit("j", [Step(4, 1000)])
        self.dark.cordoned = True
        for placement in self.harness.plan():
            self.orders.submit_start(placement)
        runs = self.harness.get_worker("w1").runs
        self.wait_for(lambda: all(run.confirmed_at for run in runs.values()))
        self.assertEqual(len(runs), 4)

    def test_a_silent_worker_gets_one_stop_at_a_time(self) -> None:
        # Its stops would keep those for others, as of cancelled jobs, waiting.
        self.dark.unresponsive = True
        self.submit_stops(self.dark, 10)
        self.submit_stops(self.harness.get_worker("w1"), 1)
        self.wait_for(lambda: "w1" in self.control.stops)
        self.assertEqual(self.control.stops.count("dark"), 1)
