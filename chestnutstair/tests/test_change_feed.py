"""Tests of the change feed and the watch of the operator's table."""

import unittest

from chestnutstair.platform import PlatformDecoder
from chestnutstair.scheduling.change_feed import ChangeFeed
from chestnutstair.scheduling.operator_watch import OperatorWatch
from chestnutstair.scheduling.ports import Changes, RowKey, RowWrite
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import ManualClock


def build_configuration(version: int) -> bytes:
    """Return an encoded configuration, as the operator writes it."""
    return f'{{"version": {version}, "routes": [], "services": []}}'.encode()


class ChangeFeedTest(unittest.TestCase):
    """No change is missed; after lost history the whole table is read."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()
        self.applied: list[str] = []
        self.replaced: list[list[str]] = []
        self.feed = ChangeFeed(
            self.store,
            self.clock,
            "t",
            "",
            0,
            self.apply,
            self.replace,
            0.0,
        )

    def apply(self, changes: Changes) -> None:
        self.applied += [row.key.key for row in changes.rows]

    def replace(self, changes: Changes) -> None:
        self.replaced.append([row.key.key for row in changes.rows])

    def put(self, key: str) -> None:
        write = RowWrite(RowKey("t", "", key), b"{}")
        self.store.commit([], [write], Deadline.after(self.clock, 1.0))

    def test_changes_come_in_order(self) -> None:
        self.put("a")
        self.feed._step()
        self.put("b")
        self.feed._step()
        self.assertEqual(self.applied, ["a", "b"])

    def test_an_outage_misses_nothing(self) -> None:
        self.put("a")
        self.store.down = True
        self.assertGreater(self.feed._step(), 0.0)
        self.store.down = False
        self.feed._step()
        self.assertEqual(self.applied, ["a"])

    def test_lost_history_leads_to_a_read_of_the_whole_table(self) -> None:
        self.put("a")
        self.put("b")
        self.store.forget_history()
        self.feed._step()
        self.feed._step()
        self.assertEqual(self.replaced, [["a", "b"]])


class OperatorWatchTest(unittest.TestCase):
    """A configuration is never replaced by one of a lower version."""

    def setUp(self) -> None:
        self.watch = OperatorWatch(
            MemoryRowStore(), PlatformDecoder(), ManualClock(), lambda: None
        )

    def test_a_lower_version_is_left_alone(self) -> None:
        for version, expected in ((5, 5), (4, 5), (7, 7), (6, 7)):
            self.watch.apply_if_newer(build_configuration(version), "a test")
            self.assertEqual(self.watch.configuration_version, expected)

    def test_an_unreadable_configuration_changes_nothing(self) -> None:
        self.watch.apply_if_newer(build_configuration(5), "a test")
        for value in (b"", b"[]", b'{"version": 9}', b"\xff"):
            self.watch.apply_if_newer(value, "a test")
        self.assertEqual(self.watch.configuration_version, 5)
