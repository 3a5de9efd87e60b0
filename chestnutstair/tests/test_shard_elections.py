"""Tests of elections in several shards, and of the calls that they make."""

import random
import unittest
from collections.abc import Callable

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnavailableFailure,
)
from chestnutstair.scheduling.election import (
    Election,
    ElectionSettings,
    LeaderStatus,
    NodeContact,
    StatusSource,
)
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.ports import Changes, RowWrite, StoreFailure
from chestnutstair.scheduling.shards import Shard, ShardLayout, ShardNames
from chestnutstair.scheduling.shards.elections import ShardElections
from chestnutstair.scheduling.shards.queue_counts import (
    QueueCounts,
    QueueCountsSettings,
)
from chestnutstair.scheduling.shards.read_budget import ReadBudget
from chestnutstair.scheduling.shards.status_pacing import PollPacer
from chestnutstair.scheduling.term import Term, TermRow, TermSettings
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import ManualClock
from chestnutstair.tests.test_election import FakeLeader

ANY_TIME = Deadline(0.0)
STEP_SECONDS = 0.05
REFUSED = Err(UnavailableFailure("Connection refused"))


class CountingRowStore(MemoryRowStore):
    """Counts the reads of each partition."""

    def __init__(self) -> None:
        super().__init__()
        self.reads: dict[str, int] = {}

    def read(
        self,
        table: str,
        partition: str,
        deadline: Deadline,
        first: str = "",
        end: str = "",
    ) -> Result[Changes, StoreFailure]:
        """Count a read, and return the rows."""
        self.reads[partition] = self.reads.get(partition, 0) + 1
        return super().read(table, partition, deadline, first, end)


class FixedLayout:
    """A layout source that knows the layout."""

    def __init__(self, shards: int) -> None:
        self._layout = ShardLayout(shards)

    def find(self) -> ShardLayout:
        """Return the layout."""
        return self._layout


class Nodes:
    """Nodes on one clock and one store that call each other."""

    def __init__(self, shards: int, count: int) -> None:
        self.clock = ManualClock()
        self.store = CountingRowStore()
        self.shards = shards
        self.dead: set[str] = set()
        self.calls: dict[str, int] = {}
        self.nodes = {
            f"n{number}:1": self.build(f"n{number}") for number in range(count)
        }
        for node in self.nodes.values():
            node._begin(ShardLayout(shards))

    def build(self, name: str) -> ShardElections:
        """Return the elections of a node; rounds are run by `run_for`."""

        def build_election(
            shard: Shard,
            contact: NodeContact,
            count_led: Callable[[], int],
            may_check: Callable[[], bool],
            run_load: Callable[[Callable[[], None]], None],
        ) -> Election:
            def build_leader(term: Term, seconds: float) -> Leader:
                leader: object = FakeLeader(term)
                return leader  # type: ignore[return-value]

            return Election(
                name,
                "zone-a",
                f"{name}:1",
                self.store,
                Peers(self, name, shard.number),
                build_leader,
                lambda _, status: elections.apply_leaders(status.leaders),
                self.clock,
                ElectionSettings(),
                TermSettings(),
                1.0,
                shard,
                contact,
                count_led,
                may_check,
                lambda task: task(),
            )

        source: object = FixedLayout(self.shards)
        elections = ShardElections(
            source,  # type: ignore[arg-type]
            build_election,
            lambda: False,
            self.clock,
            ElectionSettings.cut_off_seconds,
        )
        return elections

    def run_for(self, seconds: float) -> None:
        """Run the due rounds of all nodes that live; leaders write."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now += STEP_SECONDS
            for address, node in self.nodes.items():
                if address in self.dead:
                    continue
                for leader in node.list_leaders():
                    leader.term.renewed_at = self.clock.now
                node._run_due()
            self.write_terms()

    def write_terms(self) -> None:
        """Renew each leader's row, without counting as its own write."""
        for address, node in self.nodes.items():
            if address in self.dead:
                continue
            for leader in node.list_leaders():
                leader.term.write([])

    def list_leading(self) -> list[str]:
        """Return the address of the node that leads each shard."""
        return [
            next(
                (
                    address
                    for address, node in self.nodes.items()
                    if address not in self.dead
                    and node.get_leader(shard) is not None
                ),
                "",
            )
            for shard in range(self.shards)
        ]


class Peers(StatusSource):
    """Status calls of one node about one shard."""

    def __init__(self, nodes: Nodes, name: str, shard: int) -> None:
        self._nodes = nodes
        self._name = name
        self._shard = shard

    def ask_status(
        self, address: str, seconds: float
    ) -> Result[LeaderStatus, PlatformFailure]:
        """Return the status of a node that lives."""
        nodes = self._nodes
        nodes.calls[address] = nodes.calls.get(address, 0) + 1
        if address not in nodes.nodes or address in nodes.dead:
            return REFUSED
        return Ok(nodes.nodes[address].describe(self._shard, self._name, 1))


class ShardElectionsTest(unittest.TestCase):
    """Every shard has a leader, and finding it costs little."""

    def setUp(self) -> None:
        random.seed(1)  # pauses between rounds are random

    def test_nodes_share_the_shards(self) -> None:
        nodes = Nodes(shards=4, count=100)
        nodes.run_for(4.0)
        leading = nodes.list_leading()
        self.assertNotIn("", leading)
        self.assertEqual(len(set(leading)), 4)

    def test_the_only_node_leads_all_shards(self) -> None:
        nodes = Nodes(shards=4, count=1)
        nodes.run_for(6.0)
        self.assertEqual(nodes.list_leading(), ["n0:1"] * 4)

    def test_a_lost_leader_is_replaced(self) -> None:
        nodes = Nodes(shards=4, count=12)
        nodes.run_for(5.0)
        lost = nodes.list_leading()[2]
        nodes.dead.add(lost)
        nodes.run_for(4.0)
        self.assertNotIn("", nodes.list_leading())
        others = [a for a in nodes.nodes if a not in nodes.dead]
        for shard, leader in enumerate(nodes.list_leading()):
            known = {
                nodes.nodes[address].get_leader_address(shard)
                for address in others
            }
            self.assertEqual(known, {leader})

    def test_nodes_find_the_leaders_of_many_shards_with_few_reads(
        self,
    ) -> None:
        # 300 nodes that read the rows of 16 shards four times a second would
        # exceed what the store serves.
        nodes = Nodes(shards=16, count=40)
        nodes.run_for(8.0)
        self.assertNotIn("", nodes.list_leading())
        nodes.store.reads.clear()
        newcomer = nodes.build("new")
        newcomer._begin(ShardLayout(16))
        nodes.nodes["new:1"] = newcomer
        nodes.run_for(4.0)
        self.assertLessEqual(sum(nodes.store.reads.values()), 16 / 2)
        for shard, leader in enumerate(nodes.list_leading()):
            self.assertEqual(newcomer.get_leader_address(shard), leader)

    def test_reads_are_bounded_while_there_is_no_leader(self) -> None:
        nodes = Nodes(shards=16, count=20)
        for shard in range(16):
            row = TermRow("old", "old:1", 1, 0, nodes.clock.now)
            key = ShardNames(shard).term_key
            write = RowWrite(key, row.encode())
            nodes.store.commit([], [write], ANY_TIME).unwrap()
        nodes.run_for(1.0)
        self.assertLessEqual(sum(nodes.store.reads.values()), 20 * 7)

    def test_a_leader_gets_few_status_calls(self) -> None:
        # Each of 300 nodes asked its leader four times a second: 0.4 of a
        # core of the leader for nothing.
        nodes = Nodes(shards=2, count=100)
        nodes.run_for(6.0)
        nodes.calls.clear()
        nodes.run_for(5.0)
        self.assertLessEqual(max(nodes.calls.values()), 5 * 80 * 1.1)

    def test_hundreds_of_nodes_replace_a_leader_with_bounded_reads(
        self,
    ) -> None:
        nodes = Nodes(shards=2, count=120)
        nodes.run_for(8.0)
        lost = nodes.list_leading()[1]
        nodes.dead.add(lost)
        nodes.store.reads.clear()
        nodes.run_for(3.5)
        self.assertNotIn("", nodes.list_leading())
        # 40 nodes watch the row four times a second until it is replaced.
        partition = ShardNames(1).partition
        self.assertLessEqual(nodes.store.reads[partition], 200 * 3.5)

    def test_a_node_hands_over_what_it_has_not_the_power_for(self) -> None:
        # After a power loss the first node to start led all shards, and kept
        # them when the others had started.
        nodes = Nodes(shards=2, count=1)
        nodes.run_for(4.0)
        self.assertEqual(nodes.list_leading(), ["n0:1"] * 2)
        for number in range(1, 12):
            node = nodes.build(f"n{number}")
            node._begin(ShardLayout(2))
            nodes.nodes[f"n{number}:1"] = node
        nodes.run_for(12.0)
        self.assertNotIn("", nodes.list_leading())
        self.assertEqual(len(set(nodes.list_leading())), 2)

    def test_the_nodes_of_a_small_deployment_hand_nothing_over(self) -> None:
        nodes = Nodes(shards=4, count=2)
        nodes.run_for(6.0)
        before = nodes.list_leading()
        nodes.run_for(20.0)
        self.assertEqual(nodes.list_leading(), before)

    def test_a_failed_call_causes_a_check_of_the_leader(self) -> None:
        nodes = Nodes(shards=2, count=100)
        nodes.run_for(6.0)
        lost = nodes.list_leading()[0]
        address = next(a for a in nodes.nodes if a != lost)
        node = nodes.nodes[address]
        nodes.dead.add(lost)
        nodes.clock.now += 1.5  # above half of the interval of 1.25 s
        before = nodes.calls[lost]
        node.report_failure(0)
        node._run_due()
        self.assertEqual(nodes.calls[lost], before + 1)
        node.report_failure(0)
        node._run_due()
        self.assertEqual(nodes.calls[lost], before + 1)

    def test_a_node_is_cut_off_only_if_nothing_answers(self) -> None:
        nodes = Nodes(shards=4, count=3)
        nodes.run_for(5.0)
        leading = set(nodes.list_leading())
        node = next(iter(nodes.nodes.values()))
        nodes.dead.add(next(a for a in leading if nodes.nodes[a] is not node))
        nodes.run_for(1.0)
        self.assertFalse(node.is_cut_off())
        nodes.dead |= {a for a, n in nodes.nodes.items() if n is not node}
        for leader in node.list_leaders():
            leader.end(release=False)
        nodes.store.down = True
        nodes.run_for(3.0)
        self.assertTrue(node.is_cut_off())

    def test_an_unknown_layout_counts_as_cut_off(self) -> None:
        nodes = Nodes(shards=2, count=1)
        self.assertTrue(nodes.build("new").is_cut_off())
        self.assertIsNone(nodes.build("new").get_leader(0))
        self.assertEqual(nodes.build("new").get_leader_address(0), "")


class PollPacerTest(unittest.TestCase):
    """Pollers are told to keep to 80 calls a second together."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.pacer = PollPacer(self.clock)

    def test_few_pollers_keep_their_interval(self) -> None:
        for number in range(20):
            self.assertEqual(self.pacer.record(f"n{number}", 0), 0.25)

    def test_many_pollers_get_80_calls_a_second(self) -> None:
        for number in range(300):
            interval = self.pacer.record(f"n{number}", 0)
        self.assertAlmostEqual(interval, 3.75)

    def test_pollers_that_are_gone_are_forgotten(self) -> None:
        for number in range(300):
            self.pacer.record(f"n{number}", 0)
        self.clock.now += 20.0  # their interval was 3.75 s
        self.assertEqual(self.pacer.record("n0", 0), 0.25)


class ReadBudgetTest(unittest.TestCase):
    """Guards against a node that reads rows as fast as rounds allow."""

    def test_reads_are_spaced(self) -> None:
        clock = ManualClock()
        budget = ReadBudget(clock, 4.0)
        granted = 0
        for _ in range(100):
            granted += budget.consume()
            clock.now += 0.0625
        self.assertEqual(granted, 25)


class QueueCountsTest(unittest.TestCase):
    """Counts of shards whose leader is lost stay known for a while."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.asked: list[int] = []
        self.lost: set[int] = set()
        self.counts = QueueCounts(self.ask, self.clock, QueueCountsSettings())

    def ask(self, shard: int) -> Result[dict[str, int], PlatformFailure]:
        self.asked.append(shard)
        if shard in self.lost:
            return Err(UnavailableFailure("x"))
        return Ok({"quick": shard + 1})

    def test_the_count_is_the_sum_over_shards(self) -> None:
        self.assertEqual(self.counts.count("quick", 4), Ok(10))
        self.assertEqual(self.counts.count("other", 4), Ok(0))

    def test_shards_are_not_asked_for_each_request(self) -> None:
        for _ in range(5):
            self.counts.count("quick", 4)
        self.assertEqual(len(self.asked), 4)
        self.clock.now += 1.0
        self.counts.count("quick", 4)
        self.assertEqual(len(self.asked), 8)

    def test_a_lost_leader_fails_the_count_only_after_a_takeover_is_due(
        self,
    ) -> None:
        self.counts.count("quick", 2)
        self.lost.add(1)
        self.clock.now += 4.0
        self.assertEqual(self.counts.count("quick", 2), Ok(3))
        self.clock.now += 4.0
        self.assertTrue(self.counts.count("quick", 2).is_err())

    def test_a_count_that_was_never_known_fails(self) -> None:
        self.lost.add(0)
        self.assertTrue(self.counts.count("quick", 2).is_err())
