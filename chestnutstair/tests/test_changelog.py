"""Tests of the change log."""

import unittest
from dataclasses import replace

from chestnutstair.coordination.changelog import RaceFailure
from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.change import DrainChange, PauseChange, TicketChange
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.fold import BudgetFailure
from chestnutstair.state.validation import TicketNumberFailure
from chestnutstair.tests.support import ManualClock, build_log, build_ticket


class ChangeLogTest(unittest.TestCase):
    """The log commits in order, despite lost answers and races."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.deadline = Deadline.after(self.clock, 10)
        self.log = build_log(self.table, self.clock)
        self.ticket = TicketChange(build_ticket())

    def test_refresh_applies_records_of_other_daemons(self) -> None:
        other = build_log(self.table, self.clock, "entry-1")
        self.log.append(self.ticket, self.deadline).unwrap()
        self.assertEqual(other.refresh(self.deadline).unwrap(), 1)
        self.assertEqual(other.view, self.log.view)

    def test_finds_its_commit_after_a_lost_answer(self) -> None:
        self.table.lose_answers = 1
        record = self.log.append(self.ticket, self.deadline).unwrap()
        self.assertEqual(record.revision, self.log.view.revision)

    def test_a_lost_race_names_the_winning_author(self) -> None:
        other = build_log(self.table, self.clock, "entry-1")
        other.append(self.ticket, self.deadline, author="ana").unwrap()
        failure = self.log.append(self.ticket, self.deadline).unwrap_err()
        self.assertEqual(failure, RaceFailure(1, "ana"))
        self.assertEqual(self.log.view.revision, 1)

    def test_refuses_a_gap_in_ticket_numbers(self) -> None:
        gap = TicketChange(replace(self.ticket.ticket, number=3))
        failure = self.log.append(gap, self.deadline).unwrap_err()
        self.assertEqual(failure, TicketNumberFailure(3, 1))

    def test_refuses_drains_beyond_the_budget(self) -> None:
        self.log.append(self.ticket, self.deadline).unwrap()
        for index in range(2):
            drain = DrainChange(f"quotes-{index}", f"op-{index}", 0.0)
            self.log.append(drain, self.deadline).unwrap()
        drain = DrainChange("quotes-2", "op-2", 0.0)
        failure = self.log.append(drain, self.deadline).unwrap_err()
        self.assertEqual(failure, BudgetFailure("quotes", 2, 2))

    def test_never_installs_an_older_view(self) -> None:
        old = self.log.view
        self.log.append(self.ticket, self.deadline).unwrap()
        self.assertFalse(self.log.install_view(old))
        self.assertEqual(self.log.view.revision, 1)

    def test_applies_nothing_beyond_a_gap(self) -> None:
        other = build_log(self.table, self.clock, "entry-1")
        first = self.log.append(self.ticket, self.deadline).unwrap()
        second = self.log.append(PauseChange(True), self.deadline).unwrap()
        self.assertEqual(other.apply_records([second]), 0)
        self.assertEqual(other.apply_records([first, second]), 2)

    def test_changes_nothing_while_the_table_is_down(self) -> None:
        self.table.down = True
        failure = self.log.append(self.ticket, self.deadline).unwrap_err()
        self.assertIsInstance(failure, UnavailableFailure)
        self.assertEqual(self.log.view.revision, 0)
