"""Tests of the assignment of jobs, VMs and rows to shards."""

import unittest
import zlib
from collections import Counter

from chestnutstair.platform import PlatformDecoder
from chestnutstair.scheduling.ports import RowKey, Vm
from chestnutstair.scheduling.shards import (
    Shard,
    ShardLayout,
    ShardNames,
    compute_shard_count,
)
from chestnutstair.scheduling.shards.layout import read_layout
from chestnutstair.scheduling.shards.registry import RegistryFilter
from chestnutstair.tests.scheduling_support import build_entry


class ShardCountTest(unittest.TestCase):
    """A deployment of up to 300 VMs keeps its one leader."""

    def test_the_count_is_the_smallest_sufficient_power_of_two(self) -> None:
        for vms, shards in (
            (0, 1),
            (1, 1),
            (300, 1),
            (301, 2),
            (600, 2),
            (999, 4),
            (3000, 16),
            (100_000, 64),
        ):
            with self.subTest(vms=vms):
                self.assertEqual(compute_shard_count(vms, 300), shards)


class ShardLayoutTest(unittest.TestCase):
    """Guards against nodes that disagree about who owns a job or a VM."""

    def test_jobs_spread_evenly_over_shards(self) -> None:
        layout = ShardLayout(16)
        counts = Counter(
            layout.find_shard_of_job(f"{zlib.crc32(bytes([n])):08x}00000000")
            for n in range(256)
        )
        self.assertEqual(len(counts), 16)
        self.assertLess(max(counts.values()), 40)

    def test_the_first_eight_digits_of_a_job_select_its_shard(self) -> None:
        layout = ShardLayout(4)
        self.assertEqual(layout.find_shard_of_job("00000007ffffffff"), 3)
        self.assertEqual(layout.find_shard_of_job("0000000800000000"), 0)
        self.assertEqual(layout.find_shard_of_job("no job ID"), 0)

    def test_a_rack_stays_whole_and_a_vm_without_rack_has_a_shard(
        self,
    ) -> None:
        layout = ShardLayout(8)
        shard = layout.find_shard_of_vm("r1-1", "vm-1")
        self.assertEqual(shard, zlib.crc32(b"r1-1") % 8)
        self.assertEqual(layout.find_shard_of_vm("r1-1", "vm-2"), shard)
        self.assertEqual(
            layout.find_shard_of_vm("", "vm-2"), zlib.crc32(b"vm-2") % 8
        )

    def test_a_stored_layout_is_read_back(self) -> None:
        self.assertEqual(read_layout(ShardLayout(8).encode()), ShardLayout(8))
        for value in (b"", b"[]", b'{"shards": 0}', b'{"shards": 65}'):
            self.assertIsNone(read_layout(value))


class ShardNamesTest(unittest.TestCase):
    """Guards against rows that an upgraded deployment does not find."""

    def test_shard_0_has_the_names_of_a_deployment_without_shards(
        self,
    ) -> None:
        names = ShardNames()
        self.assertEqual(names.intake_table, "intake")
        self.assertEqual(names.term_key, RowKey("term", "scheduler", "leader"))
        self.assertEqual(
            names.build_progress_key("j"),
            RowKey("progress", "scheduler", "j"),
        )

    def test_other_shards_have_names_of_their_own(self) -> None:
        names = ShardNames(3)
        self.assertEqual(names.intake_table, "intake-3")
        self.assertEqual(names.partition, "scheduler-3")


class ShardMembershipTest(unittest.TestCase):
    """A worker's entry and its listed VM are of the same shard."""

    def test_a_listed_vm_and_its_worker_have_the_same_shard(self) -> None:
        layout = ShardLayout(16)
        for rack in ("r1", "r2", ""):
            entry = build_entry("w", rack=rack)
            labels = ("a", rack) if rack else ("a",)
            vm = Vm(entry.vm, "boxes", "up", "zone-a", "w", labels)
            shard = Shard(0, layout).find_shard_of_vm(vm)
            self.assertTrue(Shard(shard, layout).owns_worker(entry))


class CountingDecoder(PlatformDecoder):
    """A decoder that returns entries set by a test and counts its calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.rack = ""

    def read_worker(self, name: str, value: bytes):  # type: ignore[no-untyped-def]
        """Return an entry in the rack that the test set."""
        self.calls += 1
        return build_entry(name, rack=self.rack)


class RegistryFilterTest(unittest.TestCase):
    """A leader of 16 shards does not decode each of 3,000 workers' rows."""

    def setUp(self) -> None:
        self.decoder = CountingDecoder()
        self.decoder.rack = "r1"
        layout = ShardLayout(16)
        own = layout.find_shard_of_vm("r1", "")
        self.own = RegistryFilter(Shard(own, layout), self.decoder)
        other = Shard((own + 1) % 16, layout)
        self.other = RegistryFilter(other, self.decoder)

    def test_only_the_shard_of_a_worker_reads_it(self) -> None:
        self.assertIsNotNone(self.own.read_worker("w", b""))
        self.assertIsNone(self.other.read_worker("w", b""))

    def test_a_wrong_entry_does_not_turn_away_an_own_worker(self) -> None:
        # Its true entries were not read any more, not even that it drains.
        self.assertIsNotNone(self.own.read_worker("w", b""))
        self.decoder.rack = "r2"  # of another shard
        self.assertIsNone(self.own.read_worker("w", b""))
        self.decoder.rack = "r1"
        self.assertIsNotNone(self.own.read_worker("w", b""))

    def test_a_foreign_worker_is_decoded_once_until_it_is_removed(
        self,
    ) -> None:
        for _ in range(3):
            self.other.read_worker("w", b"")
        self.assertEqual(self.decoder.calls, 1)
        self.other.forget("w")
        self.other.read_worker("w", b"")
        self.assertEqual(self.decoder.calls, 2)
