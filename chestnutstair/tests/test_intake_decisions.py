"""Tests of the decisions on writes of the intake, without network."""

import random
import unittest

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.intake import IntakeLayout
from chestnutstair.scheduling.intake.attempts import (
    AttemptPolicy,
    LookUpStep,
    StepAnswer,
    WriteStep,
)
from chestnutstair.scheduling.intake.circuit import Circuit
from chestnutstair.scheduling.intake.doubts import DoubtfulRows
from chestnutstair.scheduling.intake.retry_after import compute_retry_after
from chestnutstair.scheduling.intake.retry_budget import RetryBudget
from chestnutstair.scheduling.intake.write_limit import WriteLimit
from chestnutstair.scheduling.intake.write_planner import (
    CircuitOpenFailure,
    QueueTooLongFailure,
    WriteBatch,
    WritePlanner,
)
from chestnutstair.scheduling.intake.write_queue import WriteEntry
from chestnutstair.scheduling.ports import ConditionFailure, Row

LAYOUT = IntakeLayout(partitions=6)
ONE = IntakeLayout()
SILENCE = Err(UnknownOutcomeFailure("x"))
KEY = ONE.build_job_key("a")


class WriteLimitTest(unittest.TestCase):
    """The load: a store that is slow for seconds, then calm again."""

    def test_starts_at_the_maximum(self) -> None:
        # Guards against waits of a calm store's submissions.
        self.assertEqual(WriteLimit().value, 8)

    def test_slow_writes_halve_the_limit_down_to_one(self) -> None:
        limit = WriteLimit()
        for now in range(5):
            limit.record(now, now + 0.5, True)
        self.assertEqual(limit.value, 1)

    def test_writes_in_flight_together_halve_the_limit_once(self) -> None:
        limit = WriteLimit()
        for _ in range(6):
            limit.record(0.0, 0.8, False)
        self.assertEqual(limit.value, 4)

    def test_quick_writes_raise_the_limit_one_by_one(self) -> None:
        limit = WriteLimit()
        for now in range(5):
            limit.record(now, now + 0.8, False)
        counts = []
        while limit.value < 8:
            before = limit.value
            limit.record(10.0, 10.01, True)
            counts.append(limit.value - before)
        self.assertLessEqual(max(counts), 1)
        self.assertLess(len(counts), 50)


class CircuitTest(unittest.TestCase):
    """The load: writes without a response, from one node or from all."""

    def build_open(self) -> Circuit:
        circuit = Circuit()
        for _ in range(3):
            circuit.record_sent()
            circuit.record_silence(False, 0.0, 0.5)
        return circuit

    def test_opens_after_three_silent_writes(self) -> None:
        circuit = Circuit()
        for count in range(3):
            self.assertFalse(circuit.is_open, count)
            circuit.record_silence(False, 0.0, 0.5)
        self.assertTrue(circuit.is_open)
        self.assertFalse(circuit.may_send(0.0))

    def test_an_answer_between_silent_writes_keeps_it_closed(self) -> None:
        circuit = Circuit()
        for _ in range(5):
            circuit.record_silence(False, 0.0, 0.5)
            circuit.record_silence(False, 0.0, 0.5)
            circuit.record_answer(False)
        self.assertFalse(circuit.is_open)

    def test_one_probe_at_a_time(self) -> None:
        circuit = self.build_open()
        self.assertTrue(circuit.may_send(0.1))
        self.assertTrue(circuit.record_sent())
        self.assertFalse(circuit.may_send(5.0))

    def test_a_failed_probe_is_followed_by_a_longer_bounded_pause(
        self,
    ) -> None:
        circuit = self.build_open()
        now = 0.1
        for pause in (0.2, 0.2, 0.2):
            circuit.record_sent()
            circuit.record_silence(True, now, 0.5)
            self.assertFalse(circuit.may_send(now + pause - 0.01))
            self.assertTrue(circuit.may_send(now + pause))
            now += pause

    def test_an_answered_probe_closes_it(self) -> None:
        circuit = self.build_open()
        circuit.record_answer(circuit.record_sent())
        self.assertFalse(circuit.is_open)
        self.assertTrue(circuit.may_send(0.1))

    def test_a_refused_probe_keeps_it_open_and_permits_another(self) -> None:
        circuit = self.build_open()
        circuit.record_refusal(circuit.record_sent(), 0.1, 0.5)
        self.assertTrue(circuit.is_open)
        self.assertFalse(circuit.may_send(0.2))
        self.assertTrue(circuit.may_send(0.31))

    def test_the_end_of_an_older_write_does_not_permit_a_second_probe(
        self,
    ) -> None:
        circuit = self.build_open()
        circuit.record_sent()
        circuit.record_silence(False, 0.2, 0.5)
        self.assertFalse(circuit.may_send(5.0))

    def test_nodes_do_not_probe_together(self) -> None:
        waits = set()
        for spread in (0.0, 0.5, 1.0):
            circuit = Circuit()
            for _ in range(3):
                circuit.record_silence(False, 0.0, spread)
            waits.add(round(circuit.compute_wait(0.0), 3))
        self.assertEqual(waits, {0.05, 0.1, 0.15})


class RetryBudgetTest(unittest.TestCase):
    """The load: every write fails, so every submission would be retried."""

    def test_retries_are_a_tenth_of_the_submissions(self) -> None:
        budget = RetryBudget()
        spent = 0
        for number in range(6000):
            now = number / 60
            budget.record_submission(now)
            spent += budget.try_spend(now)
        self.assertLessEqual(spent, 600 + 10)
        self.assertGreater(spent, 500)

    def test_a_node_with_few_submissions_may_retry_once_a_second(
        self,
    ) -> None:
        budget = RetryBudget()
        spent = sum(budget.try_spend(second) for second in range(30))
        self.assertEqual(spent, 30)
        burst = sum(budget.try_spend(100.0) for _ in range(30))
        self.assertEqual(burst, 10)


class RetryAfterTest(unittest.TestCase):
    """The load: many callers that were refused at the same moment."""

    def test_the_drain_time_is_rounded_up_and_spread_by_half(self) -> None:
        draw = random.Random(1).random
        for drain, least, most in (
            (0.0, 1, 2),
            (0.9, 1, 2),
            (1.1, 2, 3),
            (3.2, 4, 6),
            (60.0, 5, 7),
        ):
            values = {compute_retry_after(drain, draw()) for _ in range(300)}
            self.assertEqual((min(values), max(values)), (least, most))


class DoubtfulRowsTest(unittest.TestCase):
    """A write that was lost may be done up to 6 s later."""

    def test_a_row_is_in_doubt_for_longer_than_a_late_write(self) -> None:
        doubts = DoubtfulRows()
        doubts.add(KEY, 0.0)
        self.assertTrue(doubts.contains(KEY, 6.5))
        self.assertFalse(doubts.contains(KEY, 10.1))

    def test_the_number_of_rows_is_bounded(self) -> None:
        doubts = DoubtfulRows()
        for number in range(10_001):
            doubts.add(ONE.build_job_key(str(number)), 0.0)
        self.assertFalse(doubts.contains(ONE.build_job_key("0"), 0.0))
        self.assertTrue(doubts.contains(ONE.build_job_key("10000"), 0.0))


class WritePlannerTest(unittest.TestCase):
    """The load: more submissions than the store has writes."""

    def setUp(self) -> None:
        self.planner = WritePlanner(lambda: 0.5)
        self.sequence = 0

    def build_entry(
        self,
        job: str,
        at: float = 0.95,
        layout: IntakeLayout = ONE,
        size: int = 10,
    ) -> WriteEntry:
        self.sequence += 1
        key = layout.build_job_key(job)
        return WriteEntry(at, self.sequence, key, b"x" * size, True)

    def admit(self, job: str, now: float = 0.0, at: float = 0.95) -> None:
        self.assertIsNone(self.planner.admit(self.build_entry(job, at), now))

    def take(self, now: float) -> WriteBatch:
        batch, _ = self.planner.take(now)
        assert batch is not None
        return batch

    def run_silent_writes(self, count: int) -> None:
        for number in range(count):
            entry = self.build_entry(f"{number}", at=100.0)
            self.assertIsNone(self.planner.admit(entry, 0.0))
            self.planner.finish(self.take(0.0), SILENCE, 0.0)

    def test_an_idle_planner_sends_at_once(self) -> None:
        self.admit("a")
        self.assertEqual(len(self.take(0.0).entries), 1)

    def test_rows_that_arrive_during_a_write_share_the_next(self) -> None:
        self.admit("a")
        first = self.take(0.0)
        for number in range(30):
            self.admit(f"{number}", 0.001)
        self.assertIsNone(self.planner.take(0.001)[0])
        settled = self.planner.finish(first, Ok(1), 0.012)
        self.assertEqual(len(settled), 1)
        self.assertEqual(len(self.take(0.012).entries), 30)

    def test_a_batch_has_at_most_90_rows_and_500_kb(self) -> None:
        for number in range(100):
            self.planner.admit(self.build_entry(f"{number}", 9.0), 0.0)
        batch = self.take(0.0)
        self.assertEqual(len(batch.entries), 90)
        self.planner.finish(batch, Ok(1), 0.01)
        self.planner.finish(self.take(0.01), Ok(1), 0.02)
        for number in range(20):
            entry = self.build_entry(f"b{number}", 9.0, size=32_000)
            self.planner.admit(entry, 0.02)
        self.assertEqual(len(self.take(0.02).entries), 15)

    def test_partitions_are_written_at_the_same_time(self) -> None:
        for number in range(6):
            entry = self.build_entry(f"{number:016x}", layout=LAYOUT)
            self.assertIsNone(self.planner.admit(entry, 0.0))
        places = {self.take(0.0).place for _ in range(6)}
        self.assertEqual(len(places), 6)

    def test_the_earliest_deadline_is_sent_first(self) -> None:
        self.admit("a")
        first = self.take(0.0)
        for job, at in (("late", 0.9), ("early", 0.3), ("middle", 0.5)):
            self.admit(job, 0.0, at)
        self.planner.finish(first, Ok(1), 0.01)
        names = [entry.key.key for entry in self.take(0.01).entries]
        self.assertEqual(names, ["job/early", "job/middle", "job/late"])

    def test_a_row_that_cannot_be_in_time_is_refused_unsent(self) -> None:
        self.admit("a", at=5.0)
        self.planner.finish(self.take(0.0), Ok(1), 0.6)
        self.admit("b", 0.6, at=5.0)
        self.take(0.6)
        refusal = self.planner.admit(self.build_entry("c", at=1.0), 0.7)
        self.assertIsInstance(refusal, QueueTooLongFailure)
        self.assertEqual(self.planner.queued_count, 0)

    def test_a_queued_row_that_became_late_is_refused_unsent(self) -> None:
        # It was in time by the duration known when it was queued.
        self.admit("a")
        first = self.take(0.0)
        self.admit("b", 0.0, at=0.5)
        self.planner.finish(first, Ok(1), 0.45)
        batch, refused = self.planner.take(0.45)
        self.assertIsNone(batch)
        self.assertIsInstance(refused[0][1].err(), QueueTooLongFailure)

    def test_an_old_slow_write_does_not_refuse_for_ever(self) -> None:
        self.admit("a")
        self.planner.finish(self.take(0.0), Ok(1), 0.8)
        refused = self.planner.admit(self.build_entry("b", at=1.0), 0.8)
        self.assertIsInstance(refused, QueueTooLongFailure)
        self.admit("c", 3.0, at=3.2)

    def test_an_existing_row_succeeds_and_the_others_are_sent_again(
        self,
    ) -> None:
        # Two nodes received the same job.
        for job in ("a", "b", "c"):
            self.admit(job)
        batch = self.take(0.0)
        row = Row(ONE.build_job_key("b"), b"", 7)
        settled = self.planner.finish(batch, Err(ConditionFailure((row,))), 0)
        self.assertEqual(
            [(entry.key.key, outcome) for entry, outcome in settled],
            [("job/b", Ok(None))],
        )
        again = [entry.key.key for entry in self.take(0.0).entries]
        self.assertEqual(again, ["job/a", "job/c"])

    def test_a_failed_condition_that_names_no_row_sends_each_alone(
        self,
    ) -> None:
        for job in ("a", "b"):
            self.admit(job)
        self.planner.finish(self.take(0.0), Err(ConditionFailure(())), 0.0)
        batch = self.take(0.0)
        self.assertEqual(len(batch.entries), 1)
        settled = self.planner.finish(batch, Err(ConditionFailure(())), 0.0)
        self.assertEqual(settled[0][1], Ok(None))
        self.assertEqual(len(self.take(0.0).entries), 1)

    def test_one_refused_row_does_not_fail_those_sent_with_it(self) -> None:
        for job in ("a", "b"):
            self.admit(job)
        refusal = Err(RefusedFailure("status 400"))
        self.assertEqual(self.planner.finish(self.take(0.0), refusal, 0.0), [])
        first = self.planner.finish(self.take(0.0), refusal, 0.0)
        second = self.planner.finish(self.take(0.0), Ok(1), 0.0)
        self.assertTrue(first[0][1].is_err())
        self.assertTrue(second[0][1].is_ok())

    def test_an_open_circuit_refuses_what_waits_and_what_comes(self) -> None:
        self.run_silent_writes(2)
        entry = self.build_entry("a", at=100.0)
        self.planner.admit(entry, 0.0)
        batch = self.take(0.0)
        waiting = self.build_entry("b", at=100.0)
        self.planner.admit(waiting, 0.0)
        settled = dict(self.planner.finish(batch, SILENCE, 0.0))
        self.assertIsInstance(
            settled[entry].err(), UnknownOutcomeFailure, "it was sent"
        )
        self.assertIsInstance(settled[waiting].err(), CircuitOpenFailure)
        refusal = self.planner.admit(self.build_entry("c", at=100.0), 0.0)
        self.assertIsInstance(refusal, CircuitOpenFailure)

    def test_a_probe_that_is_answered_lets_all_rows_through(self) -> None:
        self.run_silent_writes(3)
        self.admit("probe", 1.0, at=9.0)
        probe = self.take(1.0)
        self.assertTrue(probe.is_probe)
        refused = self.planner.admit(self.build_entry("a", at=9.0), 1.0)
        self.assertIsInstance(refused, CircuitOpenFailure)
        self.planner.finish(probe, Ok(1), 1.01)
        self.admit("b", 1.01, at=9.0)
        self.assertFalse(self.take(1.01).is_probe)

    def test_a_row_that_was_sent_cannot_be_withdrawn(self) -> None:
        entry = self.build_entry("a")
        self.planner.admit(entry, 0.0)
        self.take(0.0)
        self.assertFalse(self.planner.withdraw(entry))
        queued = self.build_entry("b")
        self.planner.admit(queued, 0.0)
        self.assertTrue(self.planner.withdraw(queued))


class AttemptPolicyTest(unittest.TestCase):
    """An answer to a caller is true whatever was sent before."""

    def setUp(self) -> None:
        self.policy = AttemptPolicy()
        self.steps: list[object] = []

    def run_steps(
        self,
        *answers: Result[bool, PlatformFailure],
        now: float = 0.0,
        deadline_at: float = 0.95,
    ) -> Result[None, PlatformFailure]:
        generator = self.policy.store(KEY, deadline_at, now)
        self.steps = [next(generator)]
        try:
            for answer in answers:
                self.steps.append(generator.send(StepAnswer(answer, now)))
        except StopIteration as end:
            outcome: Result[None, PlatformFailure] = end.value
            return outcome
        raise AssertionError("more steps than answers")

    def test_a_lost_answer_is_found_by_a_lookup(self) -> None:
        self.assertEqual(self.run_steps(SILENCE, Ok(True)), Ok(None))
        self.assertEqual(self.steps, [WriteStep(), LookUpStep()])

    def test_a_row_that_is_not_found_is_written_once_more(self) -> None:
        self.assertEqual(
            self.run_steps(SILENCE, Ok(False), Ok(True)), Ok(None)
        )

    def test_a_refused_second_attempt_leaves_the_outcome_unknown(
        self,
    ) -> None:
        # The first write may still be done, and the caller would see a
        # refused job run.
        refusal = Err(UnavailableFailure("429"))
        outcome = self.run_steps(SILENCE, Ok(False), refusal)
        self.assertIsInstance(outcome.err(), UnknownOutcomeFailure)

    def test_a_repeated_request_is_looked_up_and_not_refused(self) -> None:
        self.run_steps(SILENCE, deadline_at=0.1)
        refusal = Err(UnavailableFailure("429"))
        outcome = self.run_steps(Ok(False), refusal, now=2.0, deadline_at=3.0)
        self.assertEqual(self.steps, [LookUpStep(), WriteStep()])
        self.assertIsInstance(outcome.err(), UnknownOutcomeFailure)
        self.assertEqual(
            self.run_steps(Ok(True), now=4.0, deadline_at=5.0), Ok(None)
        )
        self.assertEqual(self.steps, [LookUpStep()])

    def test_a_refusal_of_a_row_that_was_never_sent_is_a_refusal(
        self,
    ) -> None:
        outcome = self.run_steps(Err(UnavailableFailure("429")))
        self.assertIsInstance(outcome.err(), UnavailableFailure)

    def test_no_second_attempt_without_budget(self) -> None:
        for _ in range(10):
            self.run_steps(SILENCE, Ok(True))
        outcome = self.run_steps(SILENCE)
        self.assertIsInstance(outcome.err(), UnknownOutcomeFailure)

    def test_nothing_is_relayed_to_a_leader_that_gives_no_response(
        self,
    ) -> None:
        failure = CircuitOpenFailure("x")
        self.assertTrue(self.policy.may_relay(failure, 0.0))
        self.policy.record_relay(KEY, SILENCE, 0.4)
        self.assertFalse(self.policy.may_relay(failure, 1.3))
        self.assertTrue(self.policy.may_relay(failure, 1.5))

    def test_a_full_queue_is_not_relayed(self) -> None:
        failure = QueueTooLongFailure("x")
        self.assertFalse(self.policy.may_relay(failure, 0.0))
