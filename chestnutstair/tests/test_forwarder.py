"""Tests of the outcomes that the forwarder reports for failed attempts."""

import unittest
from collections.abc import Callable

from result import Err, Ok, Result

from chestnutstair.coordination.request import (
    Answer,
    AnsweredOutcome,
    ClaimedOutcome,
    DeadlineFailure,
    NoTargetFailure,
    Outcome,
    Ran,
    RefusedOutcome,
    Request,
    StoppingFailure,
    UnknownOutcome,
)
from chestnutstair.coordination.target import (
    LostAnswerFailure,
    NotSentFailure,
    TargetAnswer,
    TargetFailure,
)
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.fleet import Vm
from chestnutstair.tests.requests_support import (
    FakeTargetClient,
    build_forwarder,
    build_request,
    build_runner_log,
)
from chestnutstair.tests.support import ManualClock

ANSWERED = Ok(TargetAnswer(Answer(200), Ran.YES))
FULL = Ok(TargetAnswer(Answer(503), Ran.NO))
BUSY = Ok(TargetAnswer(Answer(503), Ran.UNKNOWN))
UNSENT: Err[TargetFailure] = Err(NotSentFailure("t", "refused"))
LOST: Err[TargetFailure] = Err(LostAnswerFailure("t", "reset"))
SendResult = Result[TargetAnswer, TargetFailure]


class ForwarderTest(unittest.TestCase):
    """Four targets give scripted answers, then report that they are full."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        addresses = [f"127.0.0.1:{port}" for port in range(1, 5)]
        self.log = build_runner_log(self.clock, addresses)
        self.script: list[SendResult] = []
        self.client = FakeTargetClient(self.answer)
        self.forwarder, _ = build_forwarder(
            self.log, self.client, self.clock, table=self.table
        )

    def answer(self, vm: Vm, request: Request) -> SendResult:
        self.clock.now += 0.01
        if self.script:
            return self.script.pop(0)
        self.clock.now = request.deadline.at
        return FULL

    def forward(self, *script: SendResult, **fields: object) -> Outcome:
        self.script = list(script)
        return self.forwarder.forward(build_request(self.clock, **fields))  # type: ignore[arg-type]

    def test_an_unsent_request_goes_to_another_target(self) -> None:
        for refusal in (UNSENT, FULL):
            outcome = self.forward(refusal, ANSWERED)
            self.assertEqual(outcome, AnsweredOutcome("r1", Answer(200)))

    def test_a_request_that_may_have_run_is_not_sent_again(self) -> None:
        outcome = self.forward(LOST, ANSWERED)
        self.assertIsInstance(outcome, UnknownOutcome)
        self.assertEqual(len(self.client.sent), 1)
        outcome = self.forward(BUSY, ANSWERED)
        assert isinstance(outcome, AnsweredOutcome)
        self.assertEqual(outcome.ran, Ran.UNKNOWN)

    def test_an_idempotent_request_is_sent_again(self) -> None:
        for fault in (LOST, BUSY):
            outcome = self.forward(fault, ANSWERED, idempotent=True)
            self.assertEqual(outcome, AnsweredOutcome("r1", Answer(200)))

    def test_a_refusal_after_a_lost_attempt_is_unknown(self) -> None:
        for fault in (LOST, BUSY):
            outcome = self.forward(fault, FULL, idempotent=True)
            self.assertIsInstance(outcome, UnknownOutcome)

    def test_a_request_that_was_never_run_is_refused(self) -> None:
        outcome = self.forward(FULL, UNSENT, FULL)
        assert isinstance(outcome, RefusedOutcome)
        self.assertIsInstance(outcome.failure, DeadlineFailure)

    def test_retries_stop_when_the_budget_is_spent(self) -> None:
        outcome = self.forward(*[UNSENT] * 50)
        assert isinstance(outcome, RefusedOutcome)
        self.assertIsInstance(outcome.failure, NoTargetFailure)
        self.assertEqual(len(self.client.sent), 11)  # 10 are retries
        self.client.sent.clear()
        self.clock.now += 100
        self.forwarder.run_due()
        self.forward(UNSENT, ANSWERED)
        self.assertEqual(len(self.client.sent), 1)

    def test_a_stop_finishes_requests_in_flight(self) -> None:
        self.forwarder.begin_stop()
        self.assertIsInstance(self.forward(ANSWERED), AnsweredOutcome)
        deadline = Deadline.after(self.clock, 60)
        self.assertTrue(self.forwarder.wait_idle(deadline))
        sent = len(self.client.sent)
        outcome = self.forward(ANSWERED, first_attempt=True)
        assert isinstance(outcome, RefusedOutcome)
        self.assertEqual(outcome.failure, StoppingFailure())
        self.assertGreater(outcome.retry_after, 0)
        self.assertEqual(len(self.client.sent), sent)


class ClaimingTest(ForwarderTest):
    """The same tests for requests with claims, with all threads started."""

    def setUp(self) -> None:
        super().setUp()
        self.forwarder.start()
        self.addCleanup(self.forwarder.stop)
        self.other, _ = build_forwarder(
            self.log, self.client, self.clock, table=self.table
        )
        self.other.start()
        self.addCleanup(self.other.stop)

    def forward(self, *script: SendResult, **fields: object) -> Outcome:
        number = len(self.client.sent) + int(self.clock.now * 1000)
        values = {"id": f"r{number}", "has_caller_id": True, **fields}
        outcome = super().forward(*script, **values)
        if "id" not in fields:
            self.assertEqual(outcome.request_id, values["id"])
            outcome = type(outcome)(  # the id that the inherited tests expect
                **{**vars(outcome), "request_id": "r1"}
            )
        return outcome

    def send_again(self) -> Outcome:
        self.script = [ANSWERED]
        request = build_request(self.clock, id="k", has_caller_id=True)
        return self.other.forward(request)

    def test_another_daemon_does_not_send_a_claimed_request(self) -> None:
        for first, ran in (
            (ANSWERED, AnsweredOutcome),
            (LOST, UnknownOutcome),
        ):
            outcome = self.forward(first, id=f"k-{ran}")
            self.assertIsInstance(outcome, ran)
            sent = len(self.client.sent)
            self.forwarder, self.other = self.other, self.forwarder
            outcome = self.forward(ANSWERED, id=f"k-{ran}")
            self.assertIsInstance(outcome, ClaimedOutcome)
            self.assertEqual(len(self.client.sent), sent)

    def test_nothing_is_sent_while_the_table_is_down(self) -> None:
        self.table.down = True
        outcome = self.forward(ANSWERED, id="k", first_attempt=True)
        self.assertIsInstance(outcome, RefusedOutcome)
        outcome = self.forward(ANSWERED, id="k")
        self.assertIsInstance(outcome, UnknownOutcome)
        self.assertEqual(self.client.sent, [])
        self.table.down = False
        self.assertIsInstance(self.send_again(), AnsweredOutcome)

    def test_a_retry_refused_before_its_claim_may_have_run(self) -> None:
        self.forward(ANSWERED, id="k")
        self.other.begin_stop()
        self.other.wait_idle(Deadline.after(self.clock, 60))
        outcome = self.send_again()
        assert isinstance(outcome, UnknownOutcome)
        self.assertGreater(outcome.retry_after, 0)

    def test_a_lost_answer_of_the_table_is_looked_up(self) -> None:
        self.table.lose_answers = 1
        self.assertIsInstance(self.forward(ANSWERED, id="k"), AnsweredOutcome)
        self.assertIsInstance(self.send_again(), ClaimedOutcome)

    def test_a_lost_answer_that_can_not_be_looked_up_is_unknown(self) -> None:
        self.table.lose_answers = 1
        commit = self.table.commit

        def commit_and_fail(*arguments):  # type: ignore[no-untyped-def]
            outcome = commit(*arguments)
            self.table.down = True
            return outcome

        self.set_commit(commit_and_fail)
        self.assertIsInstance(self.forward(ANSWERED, id="k"), UnknownOutcome)
        self.assertEqual(self.client.sent, [])

    def set_commit(self, commit: Callable) -> None:
        self.table.commit = commit  # type: ignore[method-assign]
