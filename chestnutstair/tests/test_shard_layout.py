"""Tests of deciding the layout while nodes race and the store fails."""

import unittest

from result import Err, Ok, Result

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.scheduling.ports import (
    RowWrite,
    Vm,
    VmControl,
    WorkerCallFailure,
)
from chestnutstair.scheduling.shards import ShardLayout
from chestnutstair.scheduling.shards.layout_source import (
    LAYOUT_KEY,
    LayoutSettings,
    LayoutSource,
)
from chestnutstair.scheduling.term import TERM_KEY, TermRow
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import ManualClock

STEP_SECONDS = 0.25


class ListedVms(VmControl):
    """A list of as many VMs as a test sets; counts how often it is read."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.lists = 0
        self.fails = False

    def list_vms(self) -> Result[list[Vm], WorkerCallFailure]:
        """Return the VMs."""
        self.lists += 1
        if self.fails:
            return Err(UnavailableFailure("x"))
        return Ok([Vm(f"m{n}", "", "up", "", "") for n in range(self.count)])

    def move(
        self, vm: str, service: str, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """Fail."""
        raise NotImplementedError

    def maintain(
        self, vm: str, wave: int, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """Fail."""
        raise NotImplementedError


class LayoutSourceTest(unittest.TestCase):
    """Every node finds the same layout, and finds one."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()
        self.vms = ListedVms(999)

    def build(self, name: str, vms_per_shard: int = 300) -> LayoutSource:
        return LayoutSource(
            name,
            self.store,
            self.vms,
            vms_per_shard,
            self.clock,
            LayoutSettings(),
        )

    def find(
        self, *sources: LayoutSource, seconds: float = 2.0
    ) -> list[ShardLayout | None]:
        """Let each source try until it has a layout or time is over."""
        found: list[ShardLayout | None] = [None] * len(sources)
        until = self.clock.now + seconds
        while None in found and self.clock.now < until:
            for number, source in enumerate(sources):
                found[number] = found[number] or source.find()
            self.clock.now += STEP_SECONDS
        return found

    def write_term(self) -> None:
        row = TermRow("node", "node:1", 3, 0)
        self.store.commit(
            [],
            [RowWrite(TERM_KEY, row.encode())],
            Deadline.after(self.clock, 1.0),
        ).unwrap()

    def test_the_first_node_decides_from_the_vms(self) -> None:
        self.assertEqual(self.find(self.build("a")), [ShardLayout(4)])

    def test_a_later_change_of_the_vms_or_the_setting_changes_nothing(
        self,
    ) -> None:
        self.find(self.build("a"))
        self.vms.count = 3000
        self.assertEqual(self.find(self.build("b", 10)), [ShardLayout(4)])

    def test_of_two_writers_the_condition_decides(self) -> None:
        # Both hold the claim in turn: the first one is paused between its
        # list of the VMs and its write.
        first, second = self.build("a"), self.build("b", 100)
        wrong = ShardLayout(4)
        self.find(second)
        self.assertEqual(first._store_layout(wrong, 999), ShardLayout(16))
        self.assertEqual(self.find(first), [ShardLayout(16)])

    def test_a_lost_answer_to_the_write_is_resolved(self) -> None:
        source = self.build("a")
        while self.vms.lists == 0:
            # Loses the answer of each write up to the layout's.
            self.store.lose_answers = 1
            source.find()
            self.clock.now += STEP_SECONDS
        self.assertEqual(self.find(source), [ShardLayout(4)])

    def test_a_deployment_with_a_term_has_one_shard(self) -> None:
        # An upgrade must not move the jobs of a running deployment.
        self.write_term()
        self.vms.count = 3000
        self.assertEqual(self.find(self.build("a")), [ShardLayout(1)])
        self.assertEqual(self.vms.lists, 0)
        rows = self.store.read(
            LAYOUT_KEY.table, LAYOUT_KEY.partition, Deadline(0.0)
        )
        self.assertIn(LAYOUT_KEY, [row.key for row in rows.unwrap().rows])

    def test_there_is_no_layout_without_vms(self) -> None:
        source = self.build("a")
        self.vms.count = 0
        self.assertEqual(self.find(source), [None])
        self.vms.fails = True
        self.assertEqual(self.find(source), [None])
        self.vms.count, self.vms.fails = 299, False
        self.assertEqual(self.find(source), [ShardLayout(1)])

    def test_the_layout_waits_for_the_store(self) -> None:
        source = self.build("a")
        self.store.down = True
        self.assertEqual(self.find(source), [None])
        self.store.down = False
        self.assertEqual(self.find(source), [ShardLayout(4)])

    def test_few_of_many_nodes_write_and_list_the_vms(self) -> None:
        # 300 lists of 15 pages at once exceed the platform's rate limit.
        sources = [self.build(f"node-{n}") for n in range(300)]
        self.assertEqual(set(self.find(*sources)), {ShardLayout(4)})
        self.assertEqual(self.vms.lists, 1)
        self.assertLess(self.store.commit_count, 30)

    def test_another_node_decides_if_the_one_that_claimed_it_died(
        self,
    ) -> None:
        dead = self.build("a")
        self.vms.fails = True
        self.find(dead, seconds=1.0)
        self.vms.fails = False
        self.assertEqual(self.find(self.build("b")), [None])
        self.assertEqual(
            self.find(self.build("b"), seconds=6.0), [ShardLayout(4)]
        )

    def test_a_damaged_layout_is_not_replaced(self) -> None:
        self.store.commit(
            [], [RowWrite(LAYOUT_KEY, b"x")], Deadline(0.0)
        ).unwrap()
        self.assertEqual(self.find(self.build("a")), [None])
        self.assertEqual(self.store.commit_count, 1)
