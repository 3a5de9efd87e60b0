"""Tests of how a leader removes jobs that ended long ago."""

import unittest
from typing import Any

from result import Err

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.platform.decoding import (
    PlatformDecoder,
    PlatformSubmissions,
)
from chestnutstair.scheduling.intake import build_job_key, encode_submission
from chestnutstair.scheduling.job_tracker import JobTracker, JobTrackerSettings
from chestnutstair.scheduling.leader import Leader, LeaderSettings
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.ports import RowWrite
from chestnutstair.scheduling.progress import JobState
from chestnutstair.scheduling.shards.names import FIRST_NAMES
from chestnutstair.scheduling.term import (
    TERM_KEY,
    Term,
    TermRow,
    TermSettings,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.scheduling_support import CONFIGURATION
from chestnutstair.tests.test_intake import BODY, QUEUE


class RefusingStore(MemoryRowStore):
    """A store that may refuse what a leader does not write in its term."""

    refuses = False

    def commit(
        self, expectations: Any, writes: Any, deadline: Deadline
    ) -> Any:
        """Refuse a transaction without expectations."""
        if self.refuses and not expectations:
            return Err(UnavailableFailure("status 503"))
        return super().commit(expectations, writes, deadline)


class RemovalTest(unittest.TestCase):
    """A job that completed before the retention time."""

    def setUp(self) -> None:
        self.clock = SystemClock()
        self.store = RefusingStore()
        self.row = TermRow("node", "node:1", 1, 0)
        writes = [
            RowWrite(TERM_KEY, self.row.encode()),
            RowWrite(build_job_key("j"), encode_submission(QUEUE, 1, BODY)),
        ]
        deadline = Deadline.after(self.clock, 1.0)
        version = self.store.commit([], writes, deadline).unwrap()
        self.term = Term(
            self.store, self.clock, self.row, version, TermSettings()
        )

    def load_leader(self) -> tuple[Leader, JobTracker]:
        tracker = JobTracker(self.clock, JobTrackerSettings())
        unused: Any = None
        leader = Leader(
            Leadership(self.term),
            tracker,
            unused,
            unused,
            self.store,
            unused,
            unused,
            PlatformDecoder(),
            PlatformSubmissions(),
            lambda: CONFIGURATION,
            self.clock,
            LeaderSettings(),
        )
        self.assertTrue(leader.load())
        return leader, tracker

    def test_a_job_whose_rows_are_not_all_removed_does_not_run_again(
        self,
    ) -> None:
        # Guards against a completed job that runs once more (TWICE): its
        # progress was removed before its submission, whose removal was
        # refused and never repeated, so the next leader took it for a new one.
        leader, tracker = self.load_leader()
        record = tracker.jobs["j"]
        record.end(JobState.COMPLETED, 1)
        tracker.active.pop("j")
        key = FIRST_NAMES.build_progress_key("j")
        self.term.write([RowWrite(key, record.encode())])
        leader._next_removal_at = float("-inf")
        self.store.refuses = True
        leader._remove_old_jobs()
        self.store.refuses = False
        leader._next_removal_at = float("-inf")
        leader._remove_old_jobs()  # a later round of the same leader
        _, tracker = self.load_leader()
        self.assertNotIn("j", tracker.active)


if __name__ == "__main__":
    unittest.main()
