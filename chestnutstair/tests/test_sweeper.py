"""Tests of the deletion of expired claims."""

import unittest
from unittest.mock import create_autospec

from result import Ok

from chestnutstair.coordination.claims import ClaimStore
from chestnutstair.coordination.sweeper import ClaimSweeper, SweepSettings
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import FixedDutyHolder, ManualClock


class ClaimSweeperTest(unittest.TestCase):
    """Pages are swept in order, and only while the duty is held."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.deadline = Deadline.after(self.clock, 5)
        self.claims = create_autospec(ClaimStore, instance=True)
        self.duties = FixedDutyHolder(MemoryTable(), self.clock)
        self.settings = SweepSettings(pages=2, page_rows=10)

    def list_starts(self) -> list[str]:
        return [call.args[0] for call in self.claims.sweep.call_args_list]

    def test_goes_on_where_the_last_round_ended(self) -> None:
        self.claims.sweep.side_effect = [
            Ok("b"),
            Ok("c"),
            Ok(""),
            Ok("b"),
            Ok("c"),
        ]
        sweeper = ClaimSweeper(self.claims, self.duties, self.settings)
        sweeper.run_once(self.deadline)
        sweeper.run_once(self.deadline)
        sweeper.run_once(self.deadline)
        self.assertEqual(self.list_starts()[:4], ["", "b", "c", ""])

    def test_does_nothing_without_the_duty(self) -> None:
        holder = create_autospec(FixedDutyHolder, instance=True)
        holder.find_duty.return_value = None
        ClaimSweeper(self.claims, holder, self.settings).run_once(
            self.deadline
        )
        self.claims.sweep.assert_not_called()
