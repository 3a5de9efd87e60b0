"""Tests of cancellations of jobs that are not stored yet."""

from dataclasses import replace

from result import Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.access import Access, JobOwner
from chestnutstair.scheduling.cancellations import (
    build_scope,
    decode_scope,
    encode_scope,
    name_scope,
)
from chestnutstair.scheduling.intake import (
    build_cancel_key,
    build_job_key,
    encode_submission,
)
from chestnutstair.scheduling.job_requests import (
    JobRequestHandler,
    JobRequestSettings,
)
from chestnutstair.scheduling.progress import JobState
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.leader_support import LeaderRowsTest
from chestnutstair.tests.test_caller_keys import (
    CONFIGURATION,
    HEAVY,
    OPEN,
    QUICK,
)
from chestnutstair.tests.test_intake import BODY, QUEUE
from chestnutstair.tests.test_job_requests import SilentLink

JOB = "00000000000000a7"
ONE_ACCESS = Access(CONFIGURATION, QUICK, ("one",))
TWO_ACCESS = Access(CONFIGURATION, QUICK, ("two",))
SHARED_ACCESS = Access(CONFIGURATION, QUICK, ("one", "two"))
OPEN_ACCESS = Access(CONFIGURATION, OPEN)
ONE_SCOPE = build_scope(ONE_ACCESS)
TWO_SCOPE = build_scope(TWO_ACCESS)
SHARED_SCOPE = build_scope(SHARED_ACCESS)
OPEN_SCOPE = build_scope(OPEN_ACCESS)


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


class OrganisationTest(LateSubmissionHarness):
    """Cancellations of unknown jobs where callers need keys.

    Guards against jobs that run although their organisation had cancelled
    them, as a lookup of the owner found no job, and against cancellations of
    jobs of others.
    """

    def submit_late(self, access: Access) -> None:
        self.store.delay_commits = 1000
        outcome = self.nodes[0].submit(
            access.queue,
            JOB,
            BODY,
            self.deadline(),
            next(iter(access.organisations), ""),
        )
        self.assertIsInstance(outcome.failure, UnknownOutcomeFailure)
        self.store.delay_commits = 0

    def cancel_as(self, access: Access) -> None:
        outcome = self.nodes[1].cancel(JOB, self.deadline(), access)
        self.assertIsNone(outcome.failure)
        self.assertFalse(outcome.known)

    def check(self, owner: Access, *cancelling: Access) -> bool:
        """Return whether the owner's job is cancelled when it is stored."""
        self.setUp()
        self.submit_late(owner)
        for access in cancelling:
            self.cancel_as(access)
        self.follow_intake()
        self.store.apply_delayed_commits()
        self.follow_intake()
        state = self.nodes[0].describe_job(JOB, self.deadline(), owner).state
        is_cancelled = self.tracker.jobs[JOB].ended is JobState.CANCELLED
        self.assertEqual(state, "cancelled" if is_cancelled else "queued")
        self.assertEqual(JOB in self.tracker.active, not is_cancelled)
        return is_cancelled

    def test_the_owner_cancels(self) -> None:
        for owner in (ONE_ACCESS, TWO_ACCESS, SHARED_ACCESS, OPEN_ACCESS):
            with self.subTest(owner=owner.organisations):
                self.assertTrue(self.check(owner, owner))

    def test_a_shared_key_acts_for_both_organisations(self) -> None:
        self.assertTrue(self.check(ONE_ACCESS, SHARED_ACCESS))
        self.assertTrue(self.check(TWO_ACCESS, SHARED_ACCESS))

    def test_another_queue_of_the_organisation(self) -> None:
        heavy = replace(ONE_ACCESS, queue=HEAVY)
        self.assertTrue(self.check(ONE_ACCESS, heavy))

    def test_a_key_cancels_jobs_of_public_queues(self) -> None:
        self.assertTrue(self.check(OPEN_ACCESS, ONE_ACCESS))

    def test_a_stranger_does_not_cancel(self) -> None:
        self.assertFalse(self.check(ONE_ACCESS, TWO_ACCESS))
        self.assertFalse(self.check(ONE_ACCESS, OPEN_ACCESS))
        self.assertFalse(self.check(TWO_ACCESS, ONE_ACCESS))

    def test_a_stranger_does_not_undo_a_cancellation(self) -> None:
        self.assertTrue(self.check(ONE_ACCESS, ONE_ACCESS, TWO_ACCESS))
        self.assertTrue(self.check(ONE_ACCESS, TWO_ACCESS, ONE_ACCESS))

    # A leader may not have read of a new organisation yet.
    def test_organisations_of_no_configuration_are_strangers(self) -> None:
        self.assertFalse(
            TWO_SCOPE.covers(JobOwner("three", QUICK.name, False))
        )

    def test_a_new_leader_and_no_leader(self) -> None:
        for cancelling, state in (
            (ONE_ACCESS, "cancelled"),
            (TWO_ACCESS, "queued"),
        ):
            with self.subTest(state=state):
                self.setUp()
                self.submit_late(ONE_ACCESS)
                self.cancel_as(cancelling)
                self.store.apply_delayed_commits()
                outcome = self.nodes[1].describe_job(
                    JOB, self.deadline(), ONE_ACCESS
                )
                self.assertEqual(outcome.state, state)
                self.build_leader()
                self.assertTrue(self.leader.load())
                self.assertEqual(self.tracker.jobs[JOB].state, state)

    # The job was stored between the lookup of its owner and the cancellation.
    def test_the_leader_knows_the_job_already(self) -> None:
        for cancelling, count in ((TWO_ACCESS, 1), (ONE_ACCESS, 0)):
            self.submit_late(ONE_ACCESS)
            self.cancel_as(cancelling)
            value = encode_submission(QUICK, 1, BODY, "one")
            self.leader.apply_submission(JOB, value)
            self.follow_intake()
            self.assertEqual(len(self.tracker.active), count)

    # The leader's node checks no keys, and one of an earlier version would
    # cancel a job of whatever organisation.
    def test_a_cancellation_with_a_scope_is_not_relayed(self) -> None:
        relayed: list[str] = []

        def relay(job: str, seconds: float) -> Result[bool, PlatformFailure]:
            relayed.append(job)
            return Ok(False)

        self.links[1].relay_cancel = relay  # type: ignore[method-assign]
        self.store.delay_commits = 1000
        outcome = self.nodes[1].cancel(JOB, self.deadline(), ONE_ACCESS)
        self.assertIsInstance(outcome.failure, UnknownOutcomeFailure)
        self.assertEqual(relayed, [])

    def test_a_scope_that_cannot_be_read_cancels_nothing(self) -> None:
        for value in (b"", b"[]", b'{"queue":1}', encode_scope(ONE_SCOPE)[:9]):
            key = build_cancel_key(JOB)
            self.write_row(replace(key, key=key.key + "/scope"), value)
        self.write_row(
            build_job_key(JOB), encode_submission(QUICK, 1, BODY, "one")
        )
        self.follow_intake()
        self.assertEqual(list(self.tracker.active), [JOB])
        self.build_leader()
        self.assertTrue(self.leader.load())
        self.assertEqual(list(self.tracker.active), [JOB])
        outcome = self.nodes[0].describe_job(JOB, self.deadline(), ONE_ACCESS)
        self.assertEqual(outcome.state, "queued")

    # Guards against rows that keep each new leader from loading, or that
    # take the place of a job.
    def test_keys_of_another_form(self) -> None:
        value = encode_submission(QUICK, 1, BODY, "one")
        job_key = build_job_key(JOB)
        for key in ("x", "job/", f"job/{JOB}/x", "cancel/", "cancel/x/"):
            self.write_row(replace(job_key, key=key), value)
        self.follow_intake()
        self.assertNotIn(JOB, self.tracker.jobs)
        self.build_leader()
        self.assertTrue(self.leader.load())
        self.assertNotIn(JOB, self.tracker.jobs)
        self.write_row(job_key, value)
        self.follow_intake()
        self.assertIn(JOB, self.tracker.active)

    def test_scopes_are_read_back_and_named_apart(self) -> None:
        scopes = [ONE_SCOPE, TWO_SCOPE, SHARED_SCOPE, OPEN_SCOPE]
        for scope in scopes:
            self.assertEqual(decode_scope(encode_scope(scope)), scope)
        self.assertEqual(len(set(map(name_scope, scopes))), len(scopes))
