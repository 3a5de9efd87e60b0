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
from chestnutstair.scheduling.ports import Changes, Row, RowKey, RowWrite
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

    def load_leader(
        self, removal_seconds: float = 10.0
    ) -> tuple[Leader, JobTracker]:
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
            LeaderSettings(removal_seconds=removal_seconds),
        )
        self.assertTrue(leader.load())
        return leader, tracker

    def complete(self, tracker: JobTracker) -> None:
        """Store that the job has completed long ago."""
        record = tracker.jobs["j"]
        record.end(JobState.COMPLETED, 1)
        tracker.active.pop("j")
        key = FIRST_NAMES.build_progress_key("j")
        self.term.write([RowWrite(key, record.encode())])

    def remove(self, leader: Leader) -> None:
        """Run a round that removes old jobs."""
        leader._old_removed_at = float("-inf")
        leader._remove_old_jobs()

    def is_stored(self, key: RowKey) -> bool:
        """Return whether the store has a row."""
        deadline = Deadline.after(self.clock, 1.0)
        found = self.store.read(key.table, key.partition, deadline)
        return key in [row.key for row in found.unwrap().rows]

    def test_a_job_whose_rows_are_not_all_removed_does_not_run_again(
        self,
    ) -> None:
        # Guards against a completed job that runs once more (TWICE): its
        # progress was removed before its submission, whose removal was
        # refused and never repeated, so the next leader took it for a new one.
        leader, tracker = self.load_leader()
        self.complete(tracker)
        leader._old_removed_at = float("-inf")
        self.store.refuses = True
        leader._remove_old_jobs()
        self.store.refuses = False
        leader._old_removed_at = float("-inf")
        leader._remove_old_jobs()  # a later round of the same leader
        _, tracker = self.load_leader()
        self.assertNotIn("j", tracker.active)

    def test_a_removal_whose_answer_is_lost_is_repeated(self) -> None:
        # Guards against progress that is removed before it is known that its
        # submission has been, and against rows that are never removed.
        leader, tracker = self.load_leader(removal_seconds=0.0)
        self.complete(tracker)
        progress = FIRST_NAMES.build_progress_key("j")
        self.store.lose_answers = 1
        self.remove(leader)
        self.assertTrue(self.is_stored(progress))
        self.assertIn("j", tracker.jobs)
        self.remove(leader)
        self.assertFalse(self.is_stored(progress))
        self.assertFalse(self.is_stored(build_job_key("j")))
        self.assertNotIn("j", tracker.jobs)

    def test_a_late_read_of_the_feed_brings_no_job_back(self) -> None:
        # Guards against a completed job that runs once more (TWICE): a read
        # of the table had its submission, and was applied after its removal.
        leader, tracker = self.load_leader()
        self.complete(tracker)
        value = encode_submission(QUEUE, 1, BODY)
        late = Changes((Row(build_job_key("j"), value, 1),), 1)
        self.remove(leader)
        self.remove(leader)
        self.assertFalse(self.is_stored(build_job_key("j")))
        leader._apply_intake(late)
        self.assertNotIn("j", tracker.active)

    def test_the_next_leader_removes_the_progress_that_is_left(self) -> None:
        # Guards against a later job of the same name that counts as completed
        # by the progress of the one before, and against rows left for ever.
        leader, tracker = self.load_leader()
        self.complete(tracker)
        self.remove(leader)  # the submission only
        progress = FIRST_NAMES.build_progress_key("j")
        self.assertTrue(self.is_stored(progress))
        leader, _ = self.load_leader()
        self.remove(leader)
        self.assertFalse(self.is_stored(progress))

    def test_a_new_job_does_not_take_over_the_progress_that_is_left(
        self,
    ) -> None:
        # Guards against an accepted job that never runs (LOST): the next
        # leader restored it with the progress of one removed before.
        leader, tracker = self.load_leader()
        self.complete(tracker)
        self.remove(leader)  # the submission only
        leader, tracker = self.load_leader()
        leader.apply_submission("j", encode_submission(QUEUE, 2, BODY))
        self.remove(leader)
        writes, _ = leader._encode_dirty()
        submission = encode_submission(QUEUE, 2, BODY)
        self.term.write([*writes, RowWrite(build_job_key("j"), submission)])
        _, tracker = self.load_leader()
        self.assertIn("j", tracker.active)


if __name__ == "__main__":
    unittest.main()
