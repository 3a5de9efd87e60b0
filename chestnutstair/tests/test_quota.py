"""Tests the grants of a team's quota to pools."""

import unittest

from result import Result

from chestnutstair.coordination.platform import ConflictFailure
from chestnutstair.coordination.quota import QuotaGrants, QuotaSettings
from chestnutstair.coordination.task_store import CommitFailure
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.resource import NO_RESOURCES, Resources
from chestnutstair.tests.support import FixedDutyHolder, ManualClock

QUOTA = Resources(100, 400, 10)


class QuotaTest(unittest.TestCase):
    """The grants of all pools together never exceed the quota."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.duties = FixedDutyHolder(self.table, self.clock)
        self.left = self.open("left")
        self.right = self.open("right")

    def open(self, pool: str) -> QuotaGrants:
        grants = QuotaGrants(
            self.table, pool, self.clock, QuotaSettings(refresh_seconds=1.0)
        )
        grants.refresh(["toys"], Deadline.after(self.clock, 5)).unwrap()
        return grants

    def adjust_grants(
        self, grants: QuotaGrants, amount: Resources
    ) -> Result[None, CommitFailure]:
        duty = self.duties.find_duty("placement/any")
        assert duty is not None
        deadline = Deadline.after(self.clock, 5)
        return grants.adjust_grants(
            duty, {"toys": amount}, {"toys": QUOTA}, deadline
        )

    def measure(self, grants: QuotaGrants) -> Resources:
        self.clock.now += 2.0
        grants.refresh(["toys"], Deadline.after(self.clock, 5)).unwrap()
        return grants.compute_limit("toys", QUOTA)

    def test_refuses_a_grant_based_on_a_stale_row(self) -> None:
        self.assertTrue(
            self.adjust_grants(self.left, Resources(60, 60)).is_ok()
        )
        conflict = self.adjust_grants(
            self.right, Resources(60, 60)
        ).unwrap_err()
        self.assertIsInstance(conflict, ConflictFailure)
        self.assertLess(self.measure(self.right).cores, 60)

    def test_releases_unused_quota(self) -> None:
        self.adjust_grants(self.left, Resources(90, 90)).unwrap()
        self.assertLessEqual(self.measure(self.right).cores, 10)
        self.adjust_grants(self.left, NO_RESOURCES).unwrap()
        self.assertEqual(self.measure(self.right), QUOTA)

    def test_keeps_no_slack_when_little_is_left(self) -> None:
        self.adjust_grants(self.left, Resources(48, 48)).unwrap()
        self.measure(self.right)
        self.adjust_grants(self.right, Resources(46, 46)).unwrap()
        self.measure(self.left)
        self.adjust_grants(self.left, Resources(47.5, 47.5)).unwrap()
        self.assertEqual(self.measure(self.right).cores, 52.5)
