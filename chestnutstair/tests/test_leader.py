"""Tests of how a new leader loads a large state and keeps its term."""

import time
import unittest
from typing import Any
from unittest.mock import patch

from result import Err

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.platform.decoding import (
    PlatformDecoder,
    PlatformSubmissions,
)
from chestnutstair.scheduling.election import ElectionSettings
from chestnutstair.scheduling.intake import build_job_key, encode_submission
from chestnutstair.scheduling.job_tracker import JobTracker, JobTrackerSettings
from chestnutstair.scheduling.leader import Leader, LeaderSettings
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.ports import Expectation, RowWrite
from chestnutstair.scheduling.term import (
    PARTITION,
    TERM_KEY,
    Term,
    TermRow,
    TermSettings,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.scheduling_support import (
    CONFIGURATION,
    TrackerHarness,
)
from chestnutstair.tests.test_intake import BODY, QUEUE

READ_SECONDS = 0.3
RENEW_SECONDS = 0.05


class SlowRowStore(MemoryRowStore):
    """A store whose reads take a while, as those of thousands of rows do."""

    def read(self, *arguments: Any) -> Any:
        """Return the rows after a while."""
        time.sleep(READ_SECONDS)
        return super().read(*arguments)


class LoadTest(unittest.TestCase):
    """A leader that takes longer to load than others wait for a write.

    Each new leader was replaced before its first write, for as long as the
    jobs were as many, and no task started.
    """

    def setUp(self) -> None:
        self.clock = SystemClock()
        self.store = SlowRowStore()
        row = TermRow("node", "node:1", 1, 0)
        deadline = Deadline.after(self.clock, 1.0)
        writes = [
            RowWrite(TERM_KEY, row.encode()),
            RowWrite(build_job_key("j"), encode_submission(QUEUE, 1, BODY)),
            RowWrite(build_job_key("damaged"), b"{}"),
        ]
        version = self.store.commit([], writes, deadline).unwrap()
        term = Term(self.store, self.clock, row, version, TermSettings())
        self.leadership = Leadership(term)
        self.tracker = JobTracker(self.clock, JobTrackerSettings())
        unused: Any = None
        self.leader = Leader(
            self.leadership,
            self.tracker,
            unused,
            unused,
            self.store,
            unused,
            unused,
            PlatformDecoder(),
            PlatformSubmissions(),
            lambda: CONFIGURATION,
            self.clock,
            LeaderSettings(renew_interval_seconds=RENEW_SECONDS),
        )

    def read_term_version(self) -> int:
        deadline = Deadline.after(self.clock, 1.0)
        key = TERM_KEY.key
        changes = MemoryRowStore.read(
            self.store, TERM_KEY.table, PARTITION, deadline, key, key + "\0"
        )
        return changes.unwrap().rows[0].version

    def test_the_term_is_renewed_while_the_leader_loads(self) -> None:
        before = self.read_term_version()
        self.assertTrue(self.leader.load())
        expected = 3 * READ_SECONDS / RENEW_SECONDS
        self.assertGreater(self.read_term_version() - before, expected / 3)
        self.assertFalse(self.leadership.has_ended)

    def test_a_term_taken_over_meanwhile_is_lost(self) -> None:
        rival = TermRow("other", "other:1", 2, 0)
        deadline = Deadline.after(self.clock, 1.0)
        version = self.read_term_version()
        self.store.commit(
            [Expectation(TERM_KEY, version)],
            [RowWrite(TERM_KEY, rival.encode())],
            deadline,
        ).unwrap()
        self.leader.load()
        self.assertTrue(self.leadership.has_ended)

    def test_a_damaged_row_does_not_keep_others_from_loading(self) -> None:
        self.assertTrue(self.leader.load())
        self.assertEqual(list(self.tracker.jobs), ["j"])


class FailingRowStore(MemoryRowStore):
    """A store that takes a number of writes and then no more."""

    def __init__(self) -> None:
        super().__init__()
        self.writes_left = 1000

    def commit(self, *arguments: Any) -> Any:
        """Write the rows, or fail."""
        if not self.writes_left:
            return Err(UnavailableFailure("down"))
        self.writes_left -= 1
        return super().commit(*arguments)


class RemovalTest(unittest.TestCase):
    """Old jobs are removed from the store and from memory.

    The progress of a job went first: if the removal of its submission failed,
    or the leader was lost before it, the job looked like one that had not
    begun, and the next leader ran it again.
    """

    def setUp(self) -> None:
        self.store = FailingRowStore()
        self.harness = TrackerHarness(("w1",))
        deadline = Deadline.after(self.harness.clock, 1.0)
        self.submission = encode_submission(QUEUE, 1, BODY)
        writes = [RowWrite(build_job_key("j"), self.submission)]
        self.store.commit([], writes, deadline).unwrap()
        self.leader = self.build_leader(self.harness)
        self.assertTrue(self.leader.load())
        self.harness.tracker.cancel("j")
        self.write_progress()
        self.harness.clock.now += 200.0

    def build_leader(self, harness: TrackerHarness) -> Leader:
        deadline = Deadline.after(harness.clock, 1.0)
        row = TermRow("node", "node:1", 1, 0)
        writes = [RowWrite(TERM_KEY, row.encode())]
        version = self.store.commit([], writes, deadline).unwrap()
        term = Term(self.store, harness.clock, row, version, TermSettings())
        unused: Any = None
        return Leader(
            Leadership(term),
            harness.tracker,
            unused,
            unused,
            self.store,
            unused,
            unused,
            PlatformDecoder(),
            PlatformSubmissions(),
            lambda: CONFIGURATION,
            harness.clock,
            LeaderSettings(),
        )

    def write_progress(self) -> None:
        writes, _ = self.leader._encode_dirty()
        self.assertEqual(len(writes), 1)
        self.leader.term.write(writes)

    def load_next(self) -> JobTracker:
        """Return the jobs of the next leader."""
        self.store.writes_left = 1000
        harness = TrackerHarness(())
        self.assertTrue(self.build_leader(harness).load())
        return harness.tracker

    def test_a_failure_during_the_removal_starts_no_job_again(self) -> None:
        for writes in range(3):
            with self.subTest(writes=writes):
                self.setUp()
                self.store.writes_left = writes
                self.leader._remove_old_jobs()
                self.assertEqual(self.load_next().active, {})

    def test_a_removal_that_failed_is_made_later(self) -> None:
        self.store.writes_left = 0
        self.leader._remove_old_jobs()
        self.assertEqual(list(self.harness.tracker.jobs), ["j"])
        self.store.writes_left = 1000
        self.harness.clock.now += 20.0
        self.leader._remove_old_jobs()
        self.assertEqual(self.harness.tracker.jobs, {})
        self.assertEqual(self.load_next().jobs, {})

    def test_a_removed_job_is_not_admitted_by_an_earlier_read(self) -> None:
        self.leader._remove_old_jobs()
        self.leader.apply_submission("j", self.submission)
        self.assertEqual(self.harness.tracker.jobs, {})

    # Guards against a leader whose jobs, and the time that its successor
    # takes to load them, grow as long as more than three end in a second.
    def test_jobs_are_removed_as_fast_as_they_end(self) -> None:
        deadline = Deadline.after(self.harness.clock, 1.0)
        jobs_per_second = 20
        for second in range(60):
            for number in range(jobs_per_second):
                name = f"{second}-{number}"
                key = build_job_key(name)
                writes = [RowWrite(key, self.submission)]
                self.store.writes_left = 1000
                self.store.commit([], writes, deadline).unwrap()
                self.leader.apply_submission(name, self.submission)
                self.harness.tracker.cancel(name)
        self.harness.clock.now += 160.0
        for _ in range(60):
            self.harness.clock.now += 1.0
            self.leader._remove_old_jobs()
        self.assertLess(len(self.harness.tracker.jobs), jobs_per_second)

    # Guards against a leader that is replaced because it waits for a partition
    # of the store while it should renew its term.
    def test_a_removal_without_answer_does_not_cost_the_term(self) -> None:
        clock = self.harness.clock
        began = clock.now

        def wait_for_answer(*arguments: Any) -> Any:
            clock.now = max(clock.now, arguments[2].at)
            return Err(UnavailableFailure("no answer"))

        with patch.object(self.store, "commit", wait_for_answer):
            self.leader._remove_old_jobs()
        self.assertGreater(clock.now, began, "nothing was removed")
        silence = clock.now - began + LeaderSettings().renew_interval_seconds
        self.assertLess(silence, ElectionSettings().fresh_seconds)
