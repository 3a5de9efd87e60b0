"""Tests of when a leader extends the leases of workers."""

import math
import unittest
from typing import Any

from result import Err, Ok, Result

from chestnutstair.coordination.platform import UnknownOutcomeFailure
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.orders import OrderSender, OrderSettings
from chestnutstair.scheduling.pacing import Pacer, PacingSettings
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    WorkerCallFailure,
    WorkerControl,
    WorkerEntry,
)
from chestnutstair.scheduling.sessions import SessionSettings, WorkerSessions
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.term import Term, TermRow, TermSettings
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.tests.scheduling_support import TrackerHarness
from chestnutstair.tests.support import wait_until


class RecordingControl(WorkerControl):
    """Records lease deadlines; answers, or fails while unresponsive."""

    def __init__(self, harness: TrackerHarness) -> None:
        self._harness = harness
        self.unresponsive = False
        # How long a call takes until it fails.
        self.failure_seconds = 0.0
        self.deadlines: list[int | None] = []

    def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait_seconds: float,
    ) -> Result[HoldAnswer, WorkerCallFailure]:
        """Record the deadline; answer unless unresponsive."""
        self.deadlines.append(deadline_ms)
        if self.unresponsive:
            self._harness.clock.now += self.failure_seconds
            return Err(UnknownOutcomeFailure("silent"))
        runs = tuple(self._harness.list_runs(worker.name))
        now_ms = int(self._harness.clock.now * 1000)
        return Ok(HoldAnswer(now_ms, 1, runs, ()))

    def start(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Accept the start."""
        return Ok(0)

    def stop(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Accept the stop."""
        return Ok(0)

    def pace(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Accept the speed."""
        return Ok(0)


class LeaseTest(unittest.TestCase):
    """Leases expire for workers that do not answer, and only for those."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.worker = self.harness.get_worker("w1")
        self.control = RecordingControl(self.harness)
        row = TermRow("n", "n:1", 1, 0)
        term = Term(
            MemoryRowStore(), self.harness.clock, row, 0, TermSettings()
        )
        self.term = term
        self.leadership = leadership = Leadership(term)
        pacer = Pacer(self.harness.clock, PacingSettings())
        self.orders = OrderSender(
            leadership,
            self.harness.tracker,
            self.control,
            self.harness.advice,
            pacer,
            self.harness.clock,
            OrderSettings(),
        )
        self.addCleanup(self.orders.close)
        self.sessions = WorkerSessions(
            leadership,
            self.harness.tracker,
            self.control,
            self.orders,
            pacer,
            self.harness.clock,
            SessionSettings(),
        )

    def hold(self, renewed: bool = True) -> None:
        if renewed:
            self.term.renewed_at = self.harness.clock.now
        call = self.sessions._build_call(self.worker, 1.0)
        self.sessions._hold(self.worker, call)
        self.harness.clock.now += 1.0

    def test_each_answered_call_extends_the_lease(self) -> None:
        self.hold()
        self.hold()
        first, second = self.control.deadlines
        assert first is not None and second is not None
        self.assertEqual(second - first, 1000)

    def test_an_unresponsive_worker_gets_no_further_lease(self) -> None:
        # Runs of a lost worker never expired, because each unanswered call
        # counted as another lease.
        self.harness.admit("j", [Step(1, 1000, lasting=True)])
        self.harness.start_all(self.harness.plan())
        self.hold()
        self.control.unresponsive = True
        for _ in range(8):
            self.hold()
            self.harness.tracker.release_expired()
        self.assertEqual(self.control.deadlines[2:], [None] * 7)
        self.assertEqual(self.worker.runs, {})

    # Guards against suspecting all tasks of a crashed worker that have started
    # since its last answer, which may be a second old.
    def test_a_closed_connection_shows_that_the_worker_ran_until_then(
        self,
    ) -> None:
        for failure_seconds, expected in ((0.5, True), (1.5, False)):
            with self.subTest(failure_seconds=failure_seconds):
                self.setUp()
                self.harness.admit("j", [Step(1, 1000)])
                self.harness.start_all(self.harness.plan())
                self.control.unresponsive = True
                self.control.failure_seconds = failure_seconds
                self.hold()
                (run,) = self.worker.runs.values()
                self.assertIs(self.worker.has_proven(run), expected)

    def test_calls_are_short_while_suspected_tasks_run_or_wait(self) -> None:
        self.worker.suspects_wait = True
        self.assertLess(self.sessions._choose_wait(self.worker), 0.5)
        self.worker.suspects_wait = False
        self.worker.probation.add("j.0.0.0")
        self.assertLess(self.sessions._choose_wait(self.worker), 0.5)

    def test_calls_are_short_while_a_stop_needs_a_recent_listing(
        self,
    ) -> None:
        # Else the listing would be too old for the stop, and the task would
        # stay away.
        self.harness.admit("j", [Step(1, 1000, lasting=True)])
        self.harness.start_all(self.harness.plan())
        self.worker.mark_absent("j.0.0.0")
        self.assertLess(
            self.sessions._choose_wait(self.worker),
            self.harness.settings.absence_seconds / 2,
        )

    def test_a_leader_that_can_not_write_extends_no_lease(self) -> None:
        # The next leader had to wait 12.6 s for a lost worker, as the previous
        # leader might have extended its lease until it gave up the term.
        for _ in range(5):
            self.hold(renewed=False)
        deadlines = [item is not None for item in self.control.deadlines]
        self.assertEqual(deadlines, [True, True, True, False, False])

    def test_a_worker_that_answers_again_gets_leases_again(self) -> None:
        self.hold()
        self.control.unresponsive = True
        self.hold()
        self.control.unresponsive = False
        self.hold()
        self.hold()
        self.assertIsNone(self.control.deadlines[2])
        self.assertIsNotNone(self.control.deadlines[3])

    def test_the_last_end_of_a_leaving_worker_is_acknowledged_at_once(
        self,
    ) -> None:
        # An empty VM stayed in its pool until the next long poll returned.
        self.assertEqual(self.sessions._choose_wait(self.worker), 1.0)
        self.worker.cordoned = True
        self.worker.applied_end = self.worker.stored_end = 3
        self.assertEqual(self.sessions._choose_wait(self.worker), 0.0)
        self.hold()
        self.assertEqual(self.sessions._choose_wait(self.worker), 1.0)

    def test_a_new_leader_waits_less_after_a_longer_silence(self) -> None:
        # Tasks of a worker that was lost before a takeover waited for 2 s in
        # which the previous leader could not extend a lease any more.
        settings = OrderSettings(lease_seconds=4.9, max_write_age_seconds=2.0)
        for unchanged_seconds, expected in (
            (0.0, 7.0),
            (1.5, 5.5),
            (2.5, 5.0),
            (math.inf, 5.0),
        ):
            with self.subTest(unchanged_seconds=unchanged_seconds):
                wait = settings.compute_takeover_wait(unchanged_seconds)
                self.assertAlmostEqual(wait, expected)

    # Guards against a session that ends with one unexpected answer, after
    # which the worker's leases lapse.
    def test_a_session_goes_on_after_an_error(self) -> None:
        hold = self.control.hold

        def fail_first(*arguments: Any) -> Any:
            setattr(self.control, "hold", hold)  # noqa: B010
            raise RuntimeError("unexpected")

        setattr(self.control, "hold", fail_first)  # noqa: B010
        self.term.renewed_at = self.harness.clock.now
        self.addCleanup(self.leadership.end)
        with self.assertLogs("chestnutstair.scheduling.sessions", "ERROR"):
            self.sessions.start_session(self.worker)
            wait_until(lambda: self.control.deadlines)
