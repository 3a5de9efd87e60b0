"""Tests of how a new leader loads a large state and keeps its term."""

import time
import unittest
from typing import Any

from chestnutstair.platform.decoding import (
    PlatformDecoder,
    PlatformSubmissions,
)
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
from chestnutstair.tests.scheduling_support import CONFIGURATION
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
