"""Tests of compaction, and of starting from a snapshot."""

import unittest
from dataclasses import replace

from chestnutstair.coordination.changelog import RaceFailure
from chestnutstair.coordination.compaction import COMPACTION_DUTY
from chestnutstair.coordination.platform import ConflictFailure
from chestnutstair.coordination.records import LOG_TABLE, SEGMENT_SIZE
from chestnutstair.state.change import PauseChange, TicketChange
from chestnutstair.state.fleet import Vm
from chestnutstair.tests.cluster import Cluster, FakeDaemon
from chestnutstair.tests.support import build_ticket


class CompactionTest(unittest.TestCase):
    """Compaction shrinks the table, and no daemon loses a record."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.cluster.run(10)
        self.deadline = self.cluster.make_deadline()
        self.holder = next(
            daemon
            for daemon in self.cluster.daemons.values()
            if daemon.duties.find_duty(COMPACTION_DUTY)
        )
        self.first, self.other = (
            daemon
            for daemon in self.cluster.daemons.values()
            if daemon is not self.holder
        )
        self.first.log.append(TicketChange(build_ticket()), self.deadline)

    def append(self, count: int) -> None:
        for index in range(count):
            change = PauseChange(paused=index % 2 == 0)
            self.first.log.append(change, self.deadline).unwrap()

    def compact(self) -> int:
        duty = self.holder.duties.find_duty(COMPACTION_DUTY)
        assert duty is not None
        self.holder.log.refresh(self.deadline)
        return self.holder.compactor.compact(duty).unwrap()

    def count_rows(self) -> int:
        rows = self.cluster.table.scan(LOG_TABLE, "", "~", 9999, self.deadline)
        return len(rows.unwrap())

    def test_a_new_daemon_starts_from_snapshot_and_tail(self) -> None:
        self.append(3 * SEGMENT_SIZE)
        self.assertEqual(self.compact(), 2 * SEGMENT_SIZE)
        self.assertEqual(self.count_rows(), SEGMENT_SIZE + 1)
        new = self.cluster.replace(self.other.name)
        new.replicator.poll()
        self.assertEqual(new.log.view, self.first.log.view)
        self.append(SEGMENT_SIZE)
        self.assertEqual(self.compact(), 3 * SEGMENT_SIZE)
        records = new.log.read_records(0, 10, self.deadline).unwrap()
        self.assertEqual([item.revision for item in records], [*range(1, 11)])

    def test_beat_rows_of_earlier_incarnations_are_deleted(self) -> None:
        for _ in range(4):
            self.cluster.replace(self.other.name)
            self.cluster.run(20)
        self.deadline = self.cluster.make_deadline()
        before = self.cluster.table.scan(
            "duty-beat", "", "~", 99, self.deadline
        )
        self.compact()
        after = self.cluster.table.scan(
            "duty-beat", "", "~", 99, self.deadline
        )
        self.assertGreater(len(before.unwrap()), 3)
        self.assertLessEqual(len(after.unwrap()), 3)

    def test_a_stale_daemon_can_not_commit_over_removed_records(self) -> None:
        stale = self.other
        stale.log.refresh(self.deadline)
        before = stale.log.view.revision
        self.append(3 * SEGMENT_SIZE)
        self.compact()
        late_outcome = stale.log.append(PauseChange(True), self.deadline)
        self.assertIsInstance(late_outcome.unwrap_err(), RaceFailure)
        self.assertGreater(stale.log.view.revision, before)
        self.assertEqual(stale.log.view, self.first.log.view)
        stale.log.append(PauseChange(True), self.deadline).unwrap()
        self.first.log.refresh(self.deadline).unwrap()
        self.append(1)

    def test_a_holder_that_lost_the_duty_can_not_raise_the_floor(self) -> None:
        self.append(3 * SEGMENT_SIZE)
        holder = self.holder
        duty = holder.duties.find_duty(COMPACTION_DUTY)
        assert duty is not None
        holder.paused = True
        self.cluster.run(20)
        holder.log.refresh(self.deadline)
        failure = holder.compactor.compact(duty).unwrap_err()
        self.assertIsInstance(failure, ConflictFailure)
        self.deadline = self.cluster.make_deadline()
        floor = holder.log.store.read_floor(self.deadline).unwrap()
        self.assertEqual(floor.revision, 0)

    def test_a_large_ticket_goes_through_the_object_store(self) -> None:
        first = build_ticket()
        sample = first.vms[0]
        vms = tuple(self.build_vm(sample, index) for index in range(9900))
        ticket = replace(first, number=2, vms=vms, jobs=())
        ticket_service = self.first.ticket_service
        ticket_service.file(ticket, self.deadline).unwrap()
        self.cluster.run(3)
        rows = self.cluster.table.scan(LOG_TABLE, "", "~", 9, self.deadline)
        size = max(len(repr(row.value)) for row in rows.unwrap())
        self.assertLess(size, 10_000)
        for daemon in self.cluster.daemons.values():
            self.assertEqual(len(daemon.log.view.vms), 9916)
        self.check_start_from_peer()

    def build_vm(self, sample: Vm, index: int) -> Vm:
        address = f"10.0.{index // 250}.{index % 250}:80"
        return replace(sample, name=f"vm-{index}", address=address)

    def check_start_from_peer(self) -> FakeDaemon:
        self.cluster.table.down = True
        self.cluster.objects.down = True
        new = self.cluster.replace(self.other.name)
        self.cluster.run(6)
        self.assertTrue(new.replicator.is_ready())
        self.assertEqual(new.log.view, self.first.log.view)
        return new
