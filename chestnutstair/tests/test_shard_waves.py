"""Tests of maintenance waves that span several shards."""

import json
import random
import unittest

from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.ports import RowKey, RowWrite
from chestnutstair.scheduling.shards import Shard, ShardLayout
from chestnutstair.scheduling.shards.wave_parts import (
    WaveParts,
    divide_cap,
    read_wave_parts,
)
from chestnutstair.scheduling.shards.wave_shards import WaveShards
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.fleet_support import FleetHarness
from chestnutstair.tests.support import ManualClock

ANY_TIME = Deadline(0.0)


class DivideCapTest(unittest.TestCase):
    """The parts add up to the cap, and no shard with VMs gets nothing."""

    def test_the_cap_is_divided_by_largest_remainder(self) -> None:
        self.assertEqual(divide_cap(4, (10, 10)), [2, 2])
        self.assertEqual(divide_cap(5, (10, 30)), [2, 3])
        self.assertEqual(divide_cap(2, (100, 1)), [1, 1])
        self.assertEqual(divide_cap(3, (0, 5, 5)), [0, 2, 1])

    def test_the_parts_add_up_to_the_cap(self) -> None:
        numbers = random.Random(1)
        for _ in range(300):
            vms = [numbers.choice((0, 1, 5, 40)) for _ in range(16)]
            shards = sum(count > 0 for count in vms)
            if shards:
                cap = numbers.randint(shards, 60)
                self.assertEqual(sum(divide_cap(cap, vms)), cap)


class WavePartsTest(unittest.TestCase):
    """Shards that know different things stay within the cap together."""

    def test_shards_go_in_order_if_the_cap_is_small(self) -> None:
        parts = WaveParts(1, (2, 0, 3, 1))
        caps = [parts.compute_cap(shard, ()) for shard in range(4)]
        self.assertEqual(caps, [1, 0, 0, 0])
        caps = [parts.compute_cap(shard, {0}) for shard in range(4)]
        self.assertEqual(caps, [0, 0, 1, 0])
        self.assertFalse(parts.is_completed({0, 2}))
        self.assertTrue(parts.is_completed({0, 2, 3}))

    def test_the_part_of_a_shard_that_is_done_is_used(self) -> None:
        # Otherwise a wave takes as long as the shard with the smallest part
        # for each VM.
        parts = WaveParts(4, (4, 4))
        self.assertEqual(parts.compute_cap(1, {0}), 4)
        self.assertEqual(parts.compute_cap(0, {1}), 4)

    def test_caps_never_exceed_the_wave_whatever_each_shard_knows(
        self,
    ) -> None:
        numbers = random.Random(2)
        for _ in range(2000):
            vms = tuple(numbers.choice((0, 1, 3)) for _ in range(6))
            parts = WaveParts(numbers.randint(1, 9), vms)
            done = {s for s in parts.shards if numbers.random() < 0.5}
            total = 0
            for shard in set(parts.shards) - done:
                known = {other for other in done if numbers.random() < 0.7}
                total += parts.compute_cap(shard, known)
            self.assertLessEqual(total, parts.cap)

    def test_a_wave_always_goes_on(self) -> None:
        numbers = random.Random(3)
        for _ in range(500):
            vms = tuple(numbers.choice((0, 1, 3)) for _ in range(6))
            parts = WaveParts(numbers.randint(1, 9), vms)
            done: set[int] = set()
            while not parts.is_completed(done):
                active = [
                    shard
                    for shard in parts.shards
                    if parts.compute_cap(shard, done)
                ]
                self.assertTrue(active)
                done.add(active[-1])

    def test_stored_parts_are_read_back(self) -> None:
        parts = WaveParts(3, (1, 2))
        self.assertEqual(read_wave_parts(parts.encode()), parts)
        self.assertIsNone(read_wave_parts(b"{}"))


class WaveShardsTest(unittest.TestCase):
    """Leaders of two shards share the rows of a wave."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRowStore()
        self.wave = MaintenanceWave(7, ("a", "b", "c"), 60.0, 1)
        self.vm_shards = {"a": 0, "b": 1, "c": 1, "d": 0}

    def build(self, number: int) -> WaveShards:
        shard = Shard(number, ShardLayout(2))
        return WaveShards(shard, self.store, self.clock)

    def refresh(self, shards: WaveShards) -> int:
        self.clock.now += 1.0
        shards.refresh(self.wave, self.vm_shards, self.clock.now)
        return shards.compute_cap(self.wave)

    def test_a_shard_waits_until_an_earlier_one_is_done(self) -> None:
        first, second = self.build(0), self.build(1)
        self.assertEqual(self.refresh(second), 0)
        self.assertEqual(self.refresh(first), 1)
        self.assertTrue(first.mark_done(self.wave))
        self.assertFalse(first.is_completed(self.wave))
        self.assertEqual(self.refresh(second), 1)
        second.mark_done(self.wave)
        self.refresh(first)
        self.assertTrue(first.is_completed(self.wave))

    def test_the_division_is_kept_when_vms_come_or_go(self) -> None:
        # A leader that lists other VMs would divide the cap differently, and
        # two shards could each take the whole of it.
        self.refresh(self.build(0))
        self.vm_shards = {"b": 1, "c": 1}
        self.assertEqual(self.refresh(self.build(1)), 0)

    def test_nothing_is_taken_down_before_the_division_is_known(self) -> None:
        self.store.down = True
        shards = self.build(0)
        self.assertEqual(self.refresh(shards), 0)
        self.assertFalse(shards.is_divided(self.wave))
        self.store.down = False
        self.store.lose_answers = 1
        self.assertEqual(self.refresh(shards), 0)
        self.assertEqual(self.refresh(shards), 1)

    def test_a_new_leader_knows_which_shards_are_done(self) -> None:
        first = self.build(0)
        self.refresh(first)
        first.mark_done(self.wave)
        successor = self.build(0)
        self.assertEqual(self.refresh(successor), 0)
        self.assertEqual(self.refresh(self.build(1)), 1)

    def test_waves_with_a_common_prefix_are_told_apart(self) -> None:
        key = RowKey("wave-shards", "", "70/parts")
        value = json.dumps({"cap": 9, "vms": [9, 9]}).encode()
        self.store.commit([], [RowWrite(key, value)], ANY_TIME).unwrap()
        self.assertEqual(self.refresh(self.build(1)), 0)


class ShardFleetTest(unittest.TestCase):
    """A leader orders the VMs of its shard only."""

    def setUp(self) -> None:
        self.layout = ShardLayout(2)
        names = [f"w{number}" for number in range(12)]
        self.shards = {
            name: self.layout.find_shard_of_vm("", f"vm-{name}")
            for name in names
        }
        self.own = [name for name in names if self.shards[name] == 0]
        self.others = [name for name in names if self.shards[name] == 1]

    def build(self, shard: int, pools: dict[str, str]) -> FleetHarness:
        harness = FleetHarness(pools, shard=Shard(shard, self.layout))
        for name, other in self.shards.items():
            if (
                other != shard
                and name in harness.tracker_harness.tracker.workers
            ):
                harness.tracker_harness.tracker.mark_worker_gone(name)
        return harness

    def test_other_shards_vms_get_no_orders(self) -> None:
        harness = self.build(0, dict.fromkeys(self.shards, "boxes"))
        harness.waves = [
            MaintenanceWave(
                1, tuple(f"vm-{name}" for name in self.shards), 60.0, 12
            )
        ]
        for _ in range(300):
            harness.run_round()
        own = {f"vm-{name}" for name in self.own}
        ordered = {vm for vm, _ in harness.vms.orders}
        self.assertEqual(ordered, own)

    def test_a_shard_0_without_vms_reports_the_wave(self) -> None:
        harness = self.build(0, dict.fromkeys(self.others, "boxes"))
        vms = tuple(f"vm-{name}" for name in self.others)
        harness.waves = [MaintenanceWave(1, vms, 60.0, 2)]
        for _ in range(20):
            harness.run_round()
        self.assertEqual(harness.vms.orders, [])
        self.assertEqual(self.read_state(harness), "running")
        key = RowKey("wave-shards", "", "1/1")
        harness.store.commit([], [RowWrite(key, b"{}")], ANY_TIME).unwrap()
        for _ in range(20):
            harness.run_round()
        self.assertEqual(self.read_state(harness), "completed")

    def read_state(self, harness: FleetHarness) -> object:
        rows = harness.store.read("status", "", ANY_TIME).unwrap().rows
        (row,) = rows
        return json.loads(row.value or b"{}")["state"]
