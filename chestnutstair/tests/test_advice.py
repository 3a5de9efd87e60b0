"""Tests of placing steps that only some workers may run."""

import unittest

from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import BookCase


class AdviceTest(unittest.TestCase):
    """Nothing starts without a valid ticket."""

    def setUp(self) -> None:
        self.case = BookCase(("w1", "w2"))
        self.case.policy.good = {"w2": "t-2"}
        self.case.admit("j", [Step(2, 1000)], "ruled")

    def ask(self) -> None:
        """Let the service answer what is wanted."""
        while self.case.advice._wanted:
            self.case.advice._ask_next()

    def test_tasks_wait_for_advice_and_go_where_they_may(self) -> None:
        self.assertEqual(self.case.plan(), [])
        self.ask()
        placed = self.case.plan()
        self.assertEqual([p.worker.name for p in placed], ["w2", "w2"])
        self.assertEqual({p.ticket for p in placed}, {"t-2"})
        self.assertEqual(self.case.policy.asked, [("j.0.0", ["w1", "w2"])])

    def test_a_ticket_is_asked_for_again_when_it_has_lapsed(self) -> None:
        self.case.plan()
        self.ask()
        self.case.clock.now += 3.0
        self.case.answer_all()
        self.assertEqual(self.case.plan(), [])
        self.ask()
        self.assertEqual(len(self.case.plan()), 2)

    def test_a_ticket_that_was_refused_is_not_used_again(self) -> None:
        self.case.plan()
        self.ask()
        self.case.advice.drop("j.0.0", "w2", 1)
        self.assertEqual(self.case.plan(), [])
        self.ask()
        self.assertEqual(len(self.case.plan()), 2)
