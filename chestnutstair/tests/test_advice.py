"""Tests of the placement of steps that only some workers may run."""

import unittest

from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import TrackerHarness


class AdviceTest(unittest.TestCase):
    """Tasks of queues with advice start only with a valid ticket."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1", "w2"))
        self.harness.policy.good = {"w2": "t-2"}
        self.harness.admit("j", [Step(2, 1000)], "ruled")

    def ask(self) -> None:
        """Make all requested calls to the policy service."""
        while self.harness.advice._requested:
            self.harness.advice._ask_next()

    def test_tasks_wait_for_advice_and_use_permitted_workers(self) -> None:
        self.assertEqual(self.harness.plan(), [])
        self.ask()
        placed = self.harness.plan()
        self.assertEqual([p.worker.name for p in placed], ["w2", "w2"])
        self.assertEqual({p.ticket for p in placed}, {"t-2"})
        self.assertEqual(self.harness.policy.asked, [("j.0.0", ["w1", "w2"])])

    def test_an_expired_ticket_is_requested_again(self) -> None:
        self.harness.plan()
        self.ask()
        self.harness.clock.now += 3.0
        self.harness.answer_all()
        self.assertEqual(self.harness.plan(), [])
        self.ask()
        self.assertEqual(len(self.harness.plan()), 2)

    def test_a_refused_ticket_is_not_used_again(self) -> None:
        self.harness.plan()
        self.ask()
        self.harness.advice.drop("j.0.0", "w2", 1)
        self.assertEqual(self.harness.plan(), [])
        self.ask()
        self.assertEqual(len(self.harness.plan()), 2)
