"""Tests of cancellations that a leader reads before their jobs."""

from unittest.mock import patch

from chestnutstair.scheduling import early_cancellations
from chestnutstair.scheduling.access import JobOwner
from chestnutstair.scheduling.cancellations import Cancellation
from chestnutstair.scheduling.early_cancellations import EarlyCancellations
from chestnutstair.scheduling.intake import (
    build_cancel_key,
    build_job_key,
    encode_submission,
)
from chestnutstair.scheduling.progress import JobState
from chestnutstair.tests.leader_support import LeaderRowsTest
from chestnutstair.tests.test_intake import BODY, QUEUE

JOBS = ["a", "b", "c"]
SUBMISSION = encode_submission(QUEUE, 1, BODY)
OWNER = JobOwner("", QUEUE.name, False)


class EarlyCancellationTest(LeaderRowsTest):
    """Guards against cancelled jobs whose tasks are started and run on.

    The cancellation was dropped because its job was not known yet.
    """

    def setUp(self) -> None:
        super().setUp()
        self.assertTrue(self.leader.load())

    def store_jobs(self) -> None:
        for job in JOBS:
            self.write_row(build_job_key(job), SUBMISSION)

    def store_cancellations(self) -> None:
        for job in JOBS:
            self.write_row(build_cancel_key(job), b"{}")

    def notify_cancelled(self) -> None:
        for job in JOBS:
            self.leader.apply_cancellation(job)

    def assert_cancelled(self) -> None:
        self.assertEqual(self.tracker.active, {})
        for job in JOBS:
            record = self.tracker.jobs[job]
            self.assertIs(record.ended, JobState.CANCELLED)
        # A job whose end is not stored would run under the next leader.
        self.assertEqual(self.tracker.dirty, set(JOBS))

    # Guards against the order of keys, in which cancellations come first.
    def test_lost_history(self) -> None:
        self.store_jobs()
        self.store_cancellations()
        self.store.forget_history()
        self.follow_intake()  # learns that the history is lost
        self.follow_intake()  # reads the whole table
        self.assert_cancelled()

    # Guards against a node that is lost before it tells of a job.
    def test_lost_message_of_a_job(self) -> None:
        self.store_jobs()
        self.notify_cancelled()
        self.follow_intake()
        self.assert_cancelled()

    # Guards against messages of two nodes that overtake each other, while
    # the change feed is late.
    def test_messages_out_of_order(self) -> None:
        self.notify_cancelled()
        for job in JOBS:
            self.leader.apply_submission(job, SUBMISSION)
        self.assert_cancelled()

    # Guards against a read of several partitions, whose rows are from
    # different moments: a cancellation without its job.
    def test_job_in_a_later_read(self) -> None:
        self.store_cancellations()
        self.follow_intake()
        self.store_jobs()
        self.follow_intake()
        self.assert_cancelled()

    def test_a_job_that_is_not_cancelled_runs(self) -> None:
        self.store_jobs()
        self.leader.apply_cancellation("other")
        self.follow_intake()
        self.assertEqual(list(self.tracker.active), JOBS)


class LoadTest(LeaderRowsTest):
    """A leader that loads reads all cancellations, which come first."""

    def test_cancelled_jobs_are_not_active(self) -> None:
        for job in JOBS:
            self.write_row(build_job_key(job), SUBMISSION)
            self.write_row(build_cancel_key(job), b"{}")
        self.assertTrue(self.leader.load())
        self.assertEqual(list(self.tracker.jobs), JOBS)
        self.assertEqual(self.tracker.active, {})


class ManyCancellationsTest(LeaderRowsTest):
    """The memory for early cancellations is bounded."""

    # Guards against a whole table whose cancellations, which come first,
    # displace each other before their jobs are read.
    def test_a_table_with_more_cancellations_than_are_kept(self) -> None:
        self.assertTrue(self.leader.load())
        for job in JOBS:
            self.write_row(build_job_key(job), SUBMISSION)
            self.write_row(build_cancel_key(job), b"{}")
        self.store.forget_history()
        with patch.object(early_cancellations, "MAX_CANCELLATIONS", 1):
            self.follow_intake()
            self.follow_intake()
        self.assertEqual(self.tracker.active, {})

    def test_the_oldest_is_dropped(self) -> None:
        kept = EarlyCancellations()
        with patch.object(early_cancellations, "MAX_CANCELLATIONS", 2):
            for job in JOBS:
                kept.add(Cancellation(build_cancel_key(job), job), 0.0)
        taken = [kept.take(job, OWNER) for job in JOBS]
        self.assertEqual(taken, [False, True, True])
        self.assertFalse(kept.take("b", OWNER))
