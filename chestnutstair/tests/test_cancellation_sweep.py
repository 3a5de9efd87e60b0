"""Tests of the removal of cancellations whose jobs are not stored."""

import unittest
from unittest.mock import Mock, patch

from chestnutstair.platform import PlatformSubmissions
from chestnutstair.scheduling import early_cancellations
from chestnutstair.scheduling.cancellation_limit import CancellationLimit
from chestnutstair.scheduling.cancellation_sweep import (
    CancellationSweep,
    CancellationSweepSettings,
)
from chestnutstair.scheduling.cancellations import (
    CancelScope,
    encode_scope,
    name_scope,
)
from chestnutstair.scheduling.early_cancellations import KEEP_SECONDS
from chestnutstair.scheduling.intake import (
    IntakeLayout,
    decode_cancellation,
    decode_submission,
    encode_submission,
)
from chestnutstair.scheduling.job_tracker import JobTracker, JobTrackerSettings
from chestnutstair.scheduling.ports import Row, RowKey, RowWrite
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.leader_support import LeaderRowsTest
from chestnutstair.tests.support import ManualClock
from chestnutstair.tests.test_intake import BODY, QUEUE

LAYOUT = IntakeLayout(partitions=3)
SUBMISSION = encode_submission(QUEUE, 1, BODY, "one")
SETTINGS = CancellationSweepSettings()
OWNERS = CancelScope("quick", False, ("one",))
STRANGERS = CancelScope("quick", False, ("two",))


def name_job(number: int) -> str:
    """Return the ID of a job, whose partition is the number modulo 3."""
    return f"{number:016x}"


class SweepTest(unittest.TestCase):
    """Rows of cancellations stay while their jobs may still be stored."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()
        self.tracker = JobTracker(self.clock, JobTrackerSettings())
        self.sweep = CancellationSweep(
            self.store, LAYOUT, self.tracker, self.clock
        )

    def commit(self, key: RowKey, value: bytes) -> int:
        deadline = Deadline.after(self.clock, 1.0)
        writes = [RowWrite(key, value)]
        return self.store.commit([], writes, deadline).unwrap()

    def cancel(
        self, job: str, scope: CancelScope | None = None, is_read: bool = True
    ) -> RowKey:
        """Store a cancellation, which the leader reads."""
        name = "" if scope is None else name_scope(scope)
        value = b"{}" if scope is None else encode_scope(scope)
        key = LAYOUT.build_cancel_key(job, scope=name)
        row = Row(key, value, self.commit(key, value))
        if is_read:
            self.apply(row)
        return key

    def apply(self, row: Row) -> None:
        cancellation = decode_cancellation(row).unwrap()
        self.tracker.apply_cancellation(cancellation)

    def admit(self, job: str) -> None:
        submission = decode_submission(job, SUBMISSION, PlatformSubmissions())
        self.tracker.admit(submission.unwrap())

    def list_rows(self) -> set[RowKey]:
        deadline = Deadline.after(self.clock, 1.0)
        return {
            row.key
            for partition in LAYOUT.list_partitions()
            for row in self.store.read(LAYOUT.table, partition, deadline)
            .unwrap()
            .rows
        }

    def run_for(self, seconds: float) -> None:
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.sweep.run()
            self.clock.sleep(SETTINGS.pause_seconds)

    def test_a_row_is_removed_when_no_late_write_is_possible(self) -> None:
        key = self.cancel(name_job(1))
        self.run_for(KEEP_SECONDS - 1.0)
        self.assertEqual(self.list_rows(), {key})
        self.run_for(2.0)
        self.assertEqual(self.list_rows(), set())
        self.assertEqual(len(self.tracker.early_cancellations), 0)

    # A caller may name any number of jobs.
    def test_rows_are_removed_faster_than_many_nodes_store_them(self) -> None:
        nodes = 45
        limits = [CancellationLimit(self.clock) for _ in range(nodes)]
        number = 0
        most = 0
        for _ in range(20):
            for _ in range(10):
                for limit in limits:
                    while limit.admit():
                        number += 1
                        self.cancel(name_job(number))
                self.run_for(0.5)
            most = max(most, len(self.list_rows()))
        # The burst, what is stored in KEEP_SECONDS, and the removal's lag.
        bound = nodes * (50 + 5.0 * (KEEP_SECONDS + 2.0))
        self.assertLess(most, bound)
        self.run_for(KEEP_SECONDS + 20.0)
        self.assertEqual(self.list_rows(), set())

    # Guards against a job that runs because its cancellation was removed
    # before the leader had read the submission.
    def test_a_row_stays_if_its_job_is_stored(self) -> None:
        job = name_job(1)
        key = self.cancel(job)
        other = self.cancel(name_job(4))
        job_key = LAYOUT.build_job_key(job)
        self.commit(job_key, SUBMISSION)
        self.run_for(KEEP_SECONDS + 1.0)
        self.assertEqual(self.list_rows(), {key, job_key})
        self.assertNotIn(other, self.list_rows())
        self.admit(job)
        self.assertEqual(self.tracker.active, {})

    # Guards against the removal of a row that was stored again, for a
    # submission that the caller has repeated.
    def test_a_row_that_was_stored_again_stays(self) -> None:
        key = self.cancel(name_job(1))
        self.clock.sleep(KEEP_SECONDS + 1.0)
        self.cancel(name_job(1), is_read=False)
        self.run_for(KEEP_SECONDS - 5.0)
        self.assertEqual(self.list_rows(), {key})

    def test_a_cancellation_that_another_node_told_of_stays(self) -> None:
        job = name_job(1)
        key = self.cancel(job, is_read=False)
        self.apply(Row(key, b"{}", 0))
        self.run_for(KEEP_SECONDS + 1.0)
        self.assertEqual(self.list_rows(), {key})
        self.apply(Row(key, b"{}", self.store.version))
        self.apply(Row(key, b"{}", 0))
        self.run_for(KEEP_SECONDS + 1.0)
        self.assertEqual(self.list_rows(), set())

    def test_the_row_of_a_known_job_is_removed_with_the_job(self) -> None:
        key = self.cancel(name_job(1))
        self.admit(name_job(1))
        self.run_for(KEEP_SECONDS + 1.0)
        self.assertEqual(self.list_rows(), {key})
        self.assertEqual(len(self.tracker.early_cancellations), 0)

    # Guards against rows that nothing removes.
    def test_rows_with_scopes_are_removed_when_the_end_is_stored(self) -> None:
        job = name_job(1)
        self.admit(job)
        self.commit(LAYOUT.build_job_key(job), SUBMISSION)
        keys = {self.cancel(job, OWNERS), self.cancel(job, STRANGERS)}
        self.assertEqual(self.tracker.dirty, {job})
        self.run_for(KEEP_SECONDS + 1.0)
        self.assertLessEqual(keys, self.list_rows())
        self.tracker.dirty.clear()
        self.run_for(KEEP_SECONDS + 1.0)
        self.assertEqual(self.list_rows(), {LAYOUT.build_job_key(job)})

    def test_nothing_is_removed_while_the_store_fails(self) -> None:
        key = self.cancel(name_job(1))
        self.store.down = True
        self.run_for(KEEP_SECONDS + 10.0)
        self.assertLess(self.store.commit_count, 10)
        self.store.down = False
        self.assertEqual(self.list_rows(), {key})
        self.run_for(3.0)
        self.assertEqual(self.list_rows(), set())

    def test_a_lost_answer_is_made_up_for(self) -> None:
        key = self.cancel(name_job(1))
        self.clock.sleep(KEEP_SECONDS + 1.0)
        self.store.lose_answers = 1
        self.sweep.run()
        # The change feed tells of the removal.
        self.tracker.early_cancellations.remove(key)
        self.run_for(KEEP_SECONDS + 5.0)
        self.assertEqual(self.list_rows(), set())
        self.assertEqual(len(self.tracker.early_cancellations), 0)


class RemovedRowsTest(LeaderRowsTest):
    """A leader forgets the cancellations whose rows are gone."""

    def setUp(self) -> None:
        super().setUp()
        self.assertTrue(self.leader.load())
        self.key = IntakeLayout().build_cancel_key(name_job(1))
        self.write_row(self.key, b"{}")
        self.follow_intake()
        self.assertEqual(len(self.tracker.early_cancellations), 1)
        self.write_row(self.key, None)

    def test_a_removal_is_read(self) -> None:
        self.follow_intake()
        self.assertEqual(len(self.tracker.early_cancellations), 0)

    def test_a_removal_is_not_read_as_the_history_is_lost(self) -> None:
        kept = IntakeLayout().build_cancel_key(name_job(2))
        self.leader.apply_cancellation(name_job(2))
        self.store.forget_history()
        self.follow_intake()  # learns that the history is lost
        self.follow_intake()  # reads the whole table
        waiting = self.tracker.early_cancellations
        expired = waiting.list_expired(float("inf"), 9)
        self.assertEqual([item.key for item in expired], [kept])


class LeaderRoundTest(LeaderRowsTest):
    """A leader removes expired rows in its rounds."""

    def test_a_row_is_removed(self) -> None:
        self.assertTrue(self.leader.load())
        key = IntakeLayout().build_cancel_key(name_job(1))
        self.write_row(key, b"{}")
        with patch.object(early_cancellations, "KEEP_SECONDS", 0.0):
            self.follow_intake()
        planner, orders = Mock(), Mock()
        planner.plan.return_value = []
        orders.limit_starts.return_value = 1
        with (
            patch.object(self.leader, "_planner", planner),
            patch.object(self.leader, "_orders", orders),
        ):
            # Any write of the term makes a round go to its end.
            self.leader.queue_write(
                RowWrite(RowKey("a", "scheduler", "b"), b"")
            )
            self.leader._run_round()
        deadline = Deadline.after(self.clock, 1.0)
        rows = self.store.read(key.table, key.partition, deadline).unwrap()
        self.assertEqual(rows.rows, ())
        self.assertEqual(len(self.tracker.early_cancellations), 0)


class LimitTest(unittest.TestCase):
    """A node stores few cancellations of unknown jobs a second."""

    def test_a_burst_and_then_a_rate(self) -> None:
        clock = ManualClock()
        limit = CancellationLimit(clock)
        self.assertEqual(sum(limit.admit() for _ in range(100)), 50)
        clock.sleep(2.0)
        self.assertEqual(sum(limit.admit() for _ in range(100)), 10)
        clock.sleep(1000.0)
        self.assertEqual(sum(limit.admit() for _ in range(100)), 50)
