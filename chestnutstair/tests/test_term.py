"""Tests of the leader's writes while the store fails."""

import json
import unittest

from chestnutstair.scheduling.ports import Expectation, RowKey, RowWrite
from chestnutstair.scheduling.term import (
    PARTITION,
    TERM_KEY,
    Term,
    TermRow,
    TermSettings,
    WriteOutcome,
    read_term,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import ManualClock

KEY = RowKey("progress", PARTITION, "j")


class TermTest(unittest.TestCase):
    """A leader's writes are applied once and in order, or not at all."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()
        self.term = self.begin("one", 1, 0)

    def begin(self, holder: str, epoch: int, version: int) -> Term:
        row = TermRow(holder, f"{holder}:1", epoch, 0)
        at = self.store.commit(
            [Expectation(TERM_KEY, version)],
            [RowWrite(TERM_KEY, row.encode())],
            self.deadline(),
        ).unwrap()
        return Term(self.store, self.clock, row, at, TermSettings())

    def deadline(self) -> Deadline:
        return Deadline.after(self.clock, 1.0)

    def read(self, key: RowKey) -> bytes | None:
        rows = self.store.read(key.table, key.partition, self.deadline())
        return next(
            (row.value for row in rows.unwrap().rows if row.key == key), None
        )

    def test_a_write_with_a_lost_answer_is_detected(self) -> None:
        self.store.lose_answers = 1
        outcome = self.term.write([RowWrite(KEY, b"1")])
        self.assertIs(outcome, WriteOutcome.DONE)
        self.assertIs(
            self.term.write([RowWrite(KEY, b"2")]), WriteOutcome.DONE
        )
        self.assertEqual(self.read(KEY), b"2")

    def test_a_late_write_does_not_undo_a_newer_one(self) -> None:
        self.store.delay_commits = 1
        self.assertIs(
            self.term.write([RowWrite(KEY, b"1")]), WriteOutcome.DONE
        )
        self.assertIs(
            self.term.write([RowWrite(KEY, b"2")]), WriteOutcome.DONE
        )
        self.store.apply_delayed_commits()
        self.assertEqual(self.read(KEY), b"2")

    def test_a_leader_that_was_replaced_writes_nothing(self) -> None:
        rows = self.store.read(TERM_KEY.table, PARTITION, self.deadline())
        self.begin("two", 2, rows.unwrap().rows[0].version)
        outcome = self.term.write([RowWrite(KEY, b"1")])
        self.assertIs(outcome, WriteOutcome.LOST)
        self.assertIsNone(self.read(KEY))

    def test_a_release_does_not_wait_for_an_unavailable_store(self) -> None:
        # A leader in a zone that was cut off tried to release its term for
        # 5 s, and meanwhile its node stayed in the load balancer's rotation.
        self.store.down = True
        began = self.clock.now
        self.assertIs(self.term.release(), WriteOutcome.GIVEN_UP)
        self.assertLess(self.clock.now - began, 2.0)

    def test_a_store_that_stays_down_ends_the_term(self) -> None:
        self.store.down = True
        began = self.clock.now
        self.assertIs(self.term.write([]), WriteOutcome.GIVEN_UP)
        self.assertGreaterEqual(
            self.clock.now - began, TermSettings.give_up_seconds
        )

    def test_a_release_is_stored_with_the_avoided_zone(self) -> None:
        self.term.release("zone-a")
        row = read_term(self.read(TERM_KEY))
        assert row is not None
        self.assertTrue(row.released)
        self.assertEqual(row.avoided_zone, "zone-a")

    def test_a_release_does_not_renew_the_term(self) -> None:
        # Guards against ONE: for a second after the release, VM orders were
        # sent beside those of the next leader.
        self.term.write([])
        renewed_at = self.term.renewed_at
        self.clock.now += 1.0
        self.assertIs(self.term.release(), WriteOutcome.DONE)
        self.assertEqual(self.term.renewed_at, renewed_at)

    def test_a_row_of_a_later_version_can_be_taken_over(self) -> None:
        # An unknown field made each check of the leader fail, on every node.
        row = TermRow("later", "later:1", 3, 7)
        stored = json.loads(row.encode()) | {"shard": "a"}
        self.assertEqual(read_term(json.dumps(stored).encode()), row)
