"""Tests of the claim store on a slow, failing or unreliable table."""

import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from result import Err, Ok

from chestnutstair.coordination.claims import (
    ClaimSettings,
    ClaimStore,
    ClaimTakenFailure,
    ClaimUnavailableFailure,
    build_claim_key,
)
from chestnutstair.coordination.platform import (
    Key,
    UnknownOutcomeFailure,
    Write,
)
from chestnutstair.coordination.request import Ran
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.requests_support import FixedMembership

DOWN = Err(ClaimUnavailableFailure("the table is down"))


class GatedTable(MemoryTable):
    """A table whose commits block while `gate` is not set.

    The first commit with a deletion succeeds but loses its answer, unless
    `lost` already has an item.
    """

    def __init__(self) -> None:
        super().__init__()
        self.gate = threading.Event()
        self.gate.set()
        self.blocked = threading.Event()  # a commit waits for the gate
        self.lost: list[Any] = []
        self.errors: list[Exception] = []  # raised by the next commits

    def commit(self, conditions: Any, writes: Any, deadline: Any) -> Any:
        """Commit once the gate is set; lose the answer of the first deletion.

        Another attempt claims the deleted row before the failure returns.
        """
        if self.errors:
            raise self.errors.pop()
        if not self.gate.is_set():
            self.blocked.set()
        self.gate.wait(10)
        outcome = super().commit(conditions, writes, deadline)
        if any(write.value is None for write in writes) and not self.lost:
            self.lost.append(writes)
            claim = {"id": "other", "ran": "unknown", "expires_at": 0.0}
            taken = [Write(write.key, claim) for write in writes]
            super().commit([], taken, deadline)
            return Err(UnknownOutcomeFailure("lost"))
        return outcome


class ClaimStoreTest(unittest.TestCase):
    """Claims are grouped, exclusive, and deleted if abandoned."""

    def setUp(self) -> None:
        self.clock = SystemClock()
        self.table = GatedTable()
        self.claims = self.start()

    def start(self) -> ClaimStore:
        claims = ClaimStore(
            self.table, self.clock, FixedMembership(), ClaimSettings()
        )
        claims.start()
        self.addCleanup(claims.stop)
        return claims

    def claim(self, number: int, seconds: float = 10.0):  # type: ignore[no-untyped-def]
        deadline = Deadline.after(self.clock, seconds)
        return self.claims.claim(self.build_key(number), deadline)

    def build_key(self, number: int) -> Key:
        return build_claim_key("quotes", str(number))

    def read(self, number: int) -> Any:
        deadline = Deadline.after(self.clock, 10)
        return self.table.read([self.build_key(number)], deadline).unwrap()[0]

    def wait_until_absent(self, number: int) -> None:
        deadline = Deadline.after(self.clock, 10)
        while self.read(number) and not deadline.has_passed(self.clock):
            time.sleep(0.01)
        self.assertIsNone(self.read(number))

    def test_one_of_two_attempts_gets_each_claim_in_few_commits(self) -> None:
        self.table.gate.clear()
        with ThreadPoolExecutor(40) as pool:
            found = [pool.submit(self.claim, i // 2) for i in range(40)]
            self.table.gate.set()
            answers = [one.result() for one in found]
        self.assertEqual(sum(answer.is_ok() for answer in answers), 20)
        failures = [a.unwrap_err() for a in answers if a.is_err()]
        self.assertEqual(failures, [ClaimTakenFailure(Ran.UNKNOWN)] * 20)
        self.assertLess(self.table.write_count, 20)

    def test_an_abandoned_claim_is_deleted(self) -> None:
        self.table.gate.clear()
        self.assertTrue(self.claim(1, 0.05).is_err())
        self.table.lost.append("none")
        self.table.gate.set()
        self.assertTrue(self.claim(2).is_ok())
        self.wait_until_absent(1)

    def test_a_deletion_with_a_lost_answer_is_not_repeated(self) -> None:
        match self.claim(1):
            case Ok(claim):
                self.claims.record_result(self.build_key(1), claim, Ran.NO)
        self.claim(2)  # the deletion has been attempted when this returns
        self.claim(3)
        self.assertEqual(self.read(1).value["id"], "other")

    def test_a_hanging_table_holds_up_one_claim_only(self) -> None:
        self.table.down = True
        self.assertTrue(self.claim(1).is_err())
        self.table.down = False
        self.table.gate.clear()
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(self.claim, 2)
            # A claim 3 that is queued first would be held up instead.
            self.assertTrue(self.table.blocked.wait(10))
            found = [self.claim(3, 0.01) for _ in range(20)]
            self.assertIn(DOWN, found)
            self.assertFalse(first.done())
            self.table.gate.set()
            self.assertTrue(first.result().is_ok())
        self.assertTrue(self.claim(4).is_ok())

    def test_results_outlast_an_unexpected_error_of_the_table(self) -> None:
        """A result dropped with its batch leaves the claim unknown."""
        claim = self.claim(1).unwrap()
        self.table.errors.append(ValueError("malformed answer"))
        self.claims.record_result(self.build_key(1), claim, Ran.YES)
        deadline = Deadline.after(self.clock, 10)
        while self.read(1).value["ran"] != Ran.YES.value:
            self.assertFalse(deadline.has_passed(self.clock))
            time.sleep(0.01)

    def test_sweep_deletes_expired_claims(self) -> None:
        self.claims = ClaimStore(
            self.table,
            self.clock,
            FixedMembership(),
            ClaimSettings(keep_seconds=-1.0),
        )
        self.claims.start()
        self.addCleanup(self.claims.stop)
        self.claim(1).unwrap()
        self.table.lost.append("none")
        deadline = Deadline.after(self.clock, 10)
        self.assertEqual(self.claims.sweep("", 10, deadline), Ok(""))
        self.assertIsNone(self.read(1))
