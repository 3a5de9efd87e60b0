"""Tests of cancellations of jobs that are not stored yet."""

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.job_requests import (
    JobRequestHandler,
    JobRequestSettings,
)
from chestnutstair.scheduling.progress import JobState
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.leader_support import LeaderRowsTest
from chestnutstair.tests.test_intake import BODY, QUEUE
from chestnutstair.tests.test_job_requests import SilentLink

JOB = "00000000000000a7"


class LateSubmissionHarness(LeaderRowsTest):
    """Two nodes whose leader reads their rows from the store."""

    def setUp(self) -> None:
        super().setUp()
        self.assertTrue(self.leader.load())
        self.links = [SilentLink(), SilentLink()]
        self.nodes = [self.build_node(link) for link in self.links]

    def build_node(self, link: SilentLink) -> JobRequestHandler:
        return JobRequestHandler(
            self.store,
            link,
            lambda shard: None,
            lambda: False,
            self.clock,
            JobRequestSettings(),
        )

    def deadline(self) -> Deadline:
        return Deadline.after(self.clock, 1.0)


class LateSubmissionTest(LateSubmissionHarness):
    """Guards against a cancelled job that a late write stores and runs.

    The store performed the write of its submission after the cancellation
    had been answered with "no such job".
    """

    def submit_without_answer(self) -> None:
        self.store.delay_commits = 1000
        outcome = self.nodes[0].submit(QUEUE, JOB, BODY, self.deadline())
        self.assertIsInstance(outcome.failure, UnknownOutcomeFailure)
        self.store.delay_commits = 0

    def cancel(self, node: int = 1) -> None:
        outcome = self.nodes[node].cancel(JOB, self.deadline())
        self.assertIsNone(outcome.failure)
        self.assertFalse(outcome.known)

    def assert_cancelled(self) -> None:
        self.assertEqual(self.tracker.active, {})
        self.assertIs(self.tracker.jobs[JOB].ended, JobState.CANCELLED)
        for node in self.nodes:
            outcome = node.describe_job(JOB, self.deadline())
            self.assertEqual(outcome.state, "cancelled")

    def test_the_write_is_done_after_the_cancellation(self) -> None:
        for node in range(2):
            with self.subTest(node=node):
                self.setUp()
                self.submit_without_answer()
                self.cancel(node)
                self.follow_intake()
                self.store.apply_delayed_commits()
                self.follow_intake()
                self.assert_cancelled()

    def test_the_write_is_done_before_the_leader_reads_of_either(self) -> None:
        self.submit_without_answer()
        self.cancel()
        self.store.apply_delayed_commits()
        self.follow_intake()
        self.assert_cancelled()

    def test_a_leader_that_loads_after_the_cancellation(self) -> None:
        self.submit_without_answer()
        self.cancel()
        self.build_leader()
        self.assertTrue(self.leader.load())
        self.store.apply_delayed_commits()
        self.follow_intake()
        self.assert_cancelled()

    # Guards against an acceptance that a cancelled job cannot keep.
    def test_a_repeated_submission_is_stored_as_cancelled(self) -> None:
        self.submit_without_answer()
        self.cancel()
        outcome = self.nodes[0].submit(QUEUE, JOB, BODY, self.deadline())
        self.assertIsNone(outcome.failure)
        self.follow_intake()
        self.assert_cancelled()
        self.store.apply_delayed_commits()
        self.follow_intake()
        self.assert_cancelled()

    def test_a_cancellation_that_is_not_stored_is_not_acknowledged(
        self,
    ) -> None:
        self.submit_without_answer()
        self.store.delay_commits = 1000
        outcome = self.nodes[1].cancel(JOB, self.deadline())
        self.assertIsInstance(outcome.failure, UnknownOutcomeFailure)

    # Guards against callers that fill the store and the leader's memory.
    def test_many_cancellations_of_unknown_jobs_are_refused(self) -> None:
        outcome = self.nodes[0].submit(QUEUE, JOB, BODY, self.deadline())
        self.assertIsNone(outcome.failure)
        failures = [
            self.nodes[1].cancel(f"{number:016x}", self.deadline()).failure
            for number in range(200)
        ]
        refused = [item for item in failures if item is not None]
        self.assertGreater(len(refused), 100)
        for failure in refused:
            self.assertIsInstance(failure, UnavailableFailure)
        # A job that exists is cancelled all the same.
        self.assertTrue(self.nodes[1].cancel(JOB, self.deadline()).known)

    def test_the_cost_of_a_cancellation(self) -> None:
        before = self.store.commit_count
        self.cancel()
        self.assertEqual(self.store.commit_count - before, 1)
        rows = self.store.read("intake", "intake", self.deadline()).unwrap()
        self.assertEqual(len(rows.rows), 1)
