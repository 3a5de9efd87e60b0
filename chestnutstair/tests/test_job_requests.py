"""Tests of the answers to callers while the store fails."""

import json
import unittest

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.access import JobOwner
from chestnutstair.scheduling.intake import IntakeLayout, build_job_key
from chestnutstair.scheduling.job_requests import (
    JobRequestHandler,
    JobRequestSettings,
    LeaderLink,
)
from chestnutstair.scheduling.shards import ShardLayout
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.scheduling_support import CONFIGURATION
from chestnutstair.tests.support import ManualClock

QUEUE = CONFIGURATION.queues[0]
BODY = json.dumps({"spec": "x", "steps": [{"count": 1}]}).encode()


class SilentLink(LeaderLink):
    """A leader that does not answer unless a test sets an answer."""

    def __init__(self) -> None:
        self.state: Result[str, PlatformFailure] = Err(UnavailableFailure("x"))
        self.relayed: list[str] = []
        self.relays = False

    def ask_job_state(
        self, job: str, seconds: float
    ) -> Result[str, PlatformFailure]:
        """Return the answer that the test set."""
        return self.state

    def ask_job_owner(
        self, job: str, seconds: float
    ) -> Result[JobOwner | None, PlatformFailure]:
        """Fail."""
        return Err(UnavailableFailure("x"))

    def ask_pending_count(
        self, queue: str, seconds: float
    ) -> Result[int, PlatformFailure]:
        """Fail."""
        return Err(UnavailableFailure("x"))

    def ask_pending_counts(
        self, shard: int, seconds: float
    ) -> Result[dict[str, int], PlatformFailure]:
        """Fail."""
        return Err(UnavailableFailure("x"))

    def notify_stored(self, job: str, value: bytes) -> None:
        """Ignore the message."""

    def notify_cancelled(self, job: str) -> None:
        """Ignore the message."""

    def relay_submission(
        self, job: str, value: bytes, seconds: float
    ) -> Result[None, PlatformFailure]:
        """Record the job if the test lets the leader answer."""
        if not self.relays:
            return Err(UnavailableFailure("x"))
        self.relayed.append(job)
        return Ok(None)

    def relay_cancel(
        self, job: str, seconds: float
    ) -> Result[bool, PlatformFailure]:
        """Fail."""
        return Err(UnavailableFailure("x"))


class JobRequestHandlerTest(unittest.TestCase):
    """A refused job is not stored; an accepted job is known everywhere."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()
        self.link = SilentLink()
        self.cut_off = False
        self.handler = self.build_handler()

    def build_handler(self) -> JobRequestHandler:
        return JobRequestHandler(
            self.store,
            self.link,
            lambda shard: None,
            lambda: self.cut_off,
            self.clock,
            JobRequestSettings(),
        )

    def deadline(self) -> Deadline:
        return Deadline.after(self.clock, 3.0)

    def submit(self, job: str = "a") -> PlatformFailure | None:
        outcome = self.handler.submit(QUEUE, job, BODY, self.deadline())
        return outcome.failure

    def count_jobs(self) -> int:
        key = build_job_key("")
        rows = self.store.read(key.table, key.partition, self.deadline())
        return len(rows.unwrap().rows)

    def test_a_job_of_a_shard_without_a_leader_is_stored(self) -> None:
        # The next leader of the shard finds it; callers need not wait.
        layout: ShardLayout | None = ShardLayout(4)
        handler = JobRequestHandler(
            self.store,
            self.link,
            lambda shard: None,
            lambda: layout is None,
            self.clock,
            JobRequestSettings(),
            lambda job: IntakeLayout("intake-3"),
            lambda: layout,
        )
        job = "0000000300000001"
        outcome = handler.submit(QUEUE, job, BODY, self.deadline())
        self.assertIsNone(outcome.failure)
        key = IntakeLayout("intake-3").build_job_key(job)
        rows = self.store.read(key.table, key.partition, self.deadline())
        self.assertEqual([row.key for row in rows.unwrap().rows], [key])
        self.assertEqual(
            handler.describe_job(job, self.deadline()).state, "queued"
        )
        self.assertTrue(handler.cancel(job, self.deadline()).known)
        self.assertEqual(
            handler.describe_job(job, self.deadline()).state, "cancelled"
        )
        # A node that does not know the layout must not choose a table, not
        # even for a submission that another node relays to it.
        layout = None
        outcome = handler.submit(QUEUE, job, BODY, self.deadline())
        self.assertIsInstance(outcome.failure, UnavailableFailure)
        before = self.store.version
        relayed = handler.store_submission(job, BODY, self.deadline())
        self.assertIsInstance(relayed.err(), UnavailableFailure)
        self.assertTrue(handler.store_cancel(job, self.deadline()).is_err())
        self.assertEqual(self.store.version, before)

    def test_an_accepted_job_is_stored_once(self) -> None:
        self.assertIsNone(self.submit())
        first = self.store.version
        self.assertIsNone(self.submit())
        self.assertEqual(self.store.version, first)

    def test_a_node_that_is_cut_off_refuses_at_once(self) -> None:
        # Callers in a zone that was cut off waited 1.35 s at each attempt.
        self.submit("known")
        self.cut_off = True
        began = self.clock.now
        version = self.store.version
        self.assertIsInstance(self.submit("b"), UnavailableFailure)
        state = self.handler.describe_job("known", self.deadline())
        self.assertIsInstance(state.failure, UnavailableFailure)
        cancelled = self.handler.cancel("known", self.deadline())
        self.assertIsInstance(cancelled.failure, UnavailableFailure)
        self.assertEqual(self.clock.now, began)
        self.assertEqual(self.store.version, version)

    def test_a_refused_job_is_not_stored(self) -> None:
        self.store.down = True
        self.assertIsInstance(self.submit(), UnavailableFailure)
        self.store.down = False
        self.assertEqual(self.count_jobs(), 0)

    def test_a_lost_answer_is_not_a_refusal(self) -> None:
        self.store.lose_answers = 1
        self.assertIsNone(self.submit())
        self.assertEqual(self.count_jobs(), 1)

    def test_an_outcome_that_stays_unknown_is_reported_as_unknown(
        self,
    ) -> None:
        self.store.delay_commits = 1000
        self.assertIsInstance(self.submit(), UnknownOutcomeFailure)

    def test_a_refusal_after_a_lost_answer_stays_unknown(self) -> None:
        self.store.delay_commits = 1
        original = self.store.commit

        def fail_after(*arguments):  # type: ignore[no-untyped-def]
            answer = original(*arguments)
            self.store.down = True
            return answer

        self.store.commit = fail_after  # type: ignore[method-assign]
        self.assertIsInstance(self.submit(), UnknownOutcomeFailure)

    def test_the_leader_stores_for_a_node_that_is_cut_off(self) -> None:
        self.store.down = True
        self.link.relays = True
        self.assertIsNone(self.submit())
        self.assertEqual(self.link.relayed, ["a"])

    def test_the_leader_settles_an_outcome_that_is_unknown(self) -> None:
        self.store.delay_commits = 1000
        self.link.relays = True
        self.assertIsNone(self.submit())
        self.assertEqual(self.link.relayed, ["a"])

    def test_a_caller_has_half_of_its_time_left_after_an_unknown_outcome(
        self,
    ) -> None:
        # Nodes that the store refused to serve kept callers waiting until
        # the callers' timeout.
        self.store.delay_commits = 1000
        deadline = self.deadline()
        outcome = self.handler.submit(QUEUE, "a", BODY, deadline)
        self.assertIsInstance(outcome.failure, UnknownOutcomeFailure)
        self.assertGreater(deadline.get_remaining_seconds(self.clock), 1.5)

    def test_states_come_from_the_store_without_a_leader(self) -> None:
        self.submit()
        describe = self.handler.describe_job
        self.assertEqual(describe("a", self.deadline()).state, "queued")
        self.assertFalse(describe("b", self.deadline()).known)
        self.handler.cancel("a", self.deadline())
        self.assertEqual(describe("a", self.deadline()).state, "cancelled")

    def test_the_store_is_read_for_a_job_that_the_leader_does_not_know(
        self,
    ) -> None:
        self.submit()
        self.link.state = Ok("")
        outcome = self.handler.describe_job("a", self.deadline())
        self.assertEqual(outcome.state, "queued")

    def test_cancelling_an_unknown_job_reports_it_as_unknown(self) -> None:
        outcome = self.handler.cancel("b", self.deadline())
        self.assertFalse(outcome.known)
        self.assertIsNone(outcome.failure)
