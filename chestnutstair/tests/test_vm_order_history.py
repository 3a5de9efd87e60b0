"""Tests of how a new leader uses its predecessor's stored orders."""

import unittest

from chestnutstair.scheduling.ports import RowWrite
from chestnutstair.scheduling.vm_order_history import VmOrder, VmOrderHistory
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import ManualClock

MIN_ORDER_INTERVAL_SECONDS = 3.0
MAINTENANCE_SECONDS = 2.5


class StoringLeader:
    """A leader that stores rows at once, without its term."""

    def __init__(self, store: MemoryRowStore, clock: ManualClock) -> None:
        self._store = store
        self._clock = clock

    def store(self, writes: list[RowWrite], seconds: float) -> bool:
        """Store rows; return whether that succeeded."""
        deadline = Deadline.after(self._clock, seconds)
        return self._store.commit([], writes, deadline).is_ok()


class VmOrderHistoryTest(unittest.TestCase):
    """A new leader takes its predecessor's recent orders into account."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()
        self.build().store(
            [VmOrder("vm-1", "boxes", 4), VmOrder("vm-2", "spare")]
        )

    def build(self) -> VmOrderHistory:
        leader = StoringLeader(self.store, self.clock)
        return VmOrderHistory(
            leader,  # type: ignore[arg-type]
            self.store,
            self.clock,
            MIN_ORDER_INTERVAL_SECONDS,
            MAINTENANCE_SECONDS,
        )

    def test_only_a_recently_ordered_vm_has_to_wait(self) -> None:
        self.clock.now += 1.0
        history = self.build()
        self.assertTrue(history.load())
        self.assertFalse(history.is_interval_over("vm-2", self.clock.now))
        self.assertTrue(history.is_interval_over("vm-3", self.clock.now))
        later = self.clock.now + MIN_ORDER_INTERVAL_SECONDS
        self.assertTrue(history.is_interval_over("vm-2", later))

    def test_maintenance_under_way_counts_against_the_cap(self) -> None:
        # A new leader did not count the VMs that its predecessor had just
        # taken down, and exceeded the wave's cap.
        self.clock.now += 1.0
        history = self.build()
        history.load()
        down = [
            (order.vm, order.wave) for order in history.unfinished_maintenance
        ]
        self.assertEqual(down, [("vm-1", 4)])

    def test_maintenance_that_is_over_does_not_count(self) -> None:
        self.clock.now += MAINTENANCE_SECONDS + 1.0
        history = self.build()
        history.load()
        self.assertEqual(history.unfinished_maintenance, [])

    def test_a_store_that_is_down_is_reported(self) -> None:
        self.store.down = True
        self.assertFalse(self.build().load())
