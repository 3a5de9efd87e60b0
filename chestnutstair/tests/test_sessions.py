"""Tests of how sessions learn which incarnation of a worker runs."""

import time
import unittest
from dataclasses import replace
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
from chestnutstair.scheduling.term import Term, TermRow, TermSettings
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.tests.scheduling_support import TrackerHarness, build_entry

WAIT_SECONDS = 5.0  # for a thread; the tests end sooner


class AddressedControl(WorkerControl):
    """Answers at addresses; `born` is the incarnation at each of them."""

    def __init__(self, harness: TrackerHarness, born: dict[str, int]) -> None:
        self._harness = harness
        self.born = born
        self.acknowledged: list[int] = []

    def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait_seconds: float,
    ) -> Result[HoldAnswer, WorkerCallFailure]:
        """Answer for the incarnation at the address, if there is one."""
        self.acknowledged.append(acknowledged_end)
        born_ms = self.born.get(worker.address)
        if born_ms is None:
            return Err(UnknownOutcomeFailure("silent"))
        now_ms = int(self._harness.clock.now * 1000)
        return Ok(HoldAnswer(now_ms, born_ms, (), ()))

    def start(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Accept the start."""
        return Ok(0)

    def stop(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Accept the stop."""
        return Ok(0)

    def pace(self, *_: Any) -> Result[int, WorkerCallFailure]:
        """Accept the speed."""
        return Ok(0)


class IncarnationSessionTest(unittest.TestCase):
    """A worker at the address w1:80, with entries of other incarnations."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.worker = self.harness.get_worker("w1")
        self.control = AddressedControl(self.harness, {"w1:80": 1})
        row = TermRow("n", "n:1", 1, 0)
        clock = self.harness.clock
        term = Term(MemoryRowStore(), clock, row, 0, TermSettings())
        term.renewed_at = clock.now
        self.leadership = Leadership(term)
        self.addCleanup(self.leadership.end)
        pacer = Pacer(clock, PacingSettings())
        orders = OrderSender(
            self.leadership,
            self.harness.tracker,
            self.control,
            self.harness.advice,
            pacer,
            clock,
            OrderSettings(),
        )
        self.addCleanup(orders.close)
        self.sessions = WorkerSessions(
            self.leadership,
            self.harness.tracker,
            self.control,
            orders,
            pacer,
            clock,
            SessionSettings(),
        )

    def claim(self, address: str = "w1:80") -> WorkerEntry:
        entry = replace(build_entry("w1"), born_ms=2, address=address)
        self.harness.tracker.apply_worker_entry(entry)
        return entry

    def get_born(self) -> int:
        return self.harness.get_worker("w1").entry.born_ms

    def test_a_restart_is_known_while_a_call_hangs(self) -> None:
        # The session's call to the old process takes up to 1.6 s to fail.
        entry = self.claim("w1:81")
        self.control.born["w1:81"] = 2
        with self.harness.tracker.lock:
            self.sessions.start_probe(self.worker, entry)
        deadline = time.monotonic() + WAIT_SECONDS
        while self.get_born() != 2 and time.monotonic() < deadline:
            time.sleep(0.01)
        self.assertEqual(self.get_born(), 2)

    def hold(self) -> None:
        call = self.sessions._build_call(self.worker, 0.0)
        self.sessions._hold(self.worker, call)

    def test_a_probe_of_a_wrong_entry_changes_nothing(self) -> None:
        self.sessions._probe(self.worker, self.claim())
        self.assertIs(self.harness.get_worker("w1"), self.worker)

    def test_an_answer_refutes_an_entry(self) -> None:
        # Ends must not be acknowledged to an incarnation that has not told
        # of them, nor left unacknowledged because of a wrong entry.
        self.worker.stored_end = 7
        self.claim()
        self.hold()
        self.hold()
        self.assertEqual(self.control.acknowledged, [0, 7])
        self.assertIsNone(self.worker.claim)

    def test_a_worker_restarted_at_another_address_is_found(self) -> None:
        self.claim("w1:81")
        self.control.born = {"w1:81": 2}
        for _ in range(3):
            self.hold()
        self.assertEqual(self.get_born(), 2)
