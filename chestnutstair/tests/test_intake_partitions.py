"""Tests of the partitions of the intake, also after an upgrade to them."""

import unittest
from typing import Any
from unittest import mock

from chestnutstair.fleet_settings import IntakeRates
from chestnutstair.platform.decoding import (
    PlatformDecoder,
    PlatformSubmissions,
)
from chestnutstair.scheduling.change_feed import ChangeFeed
from chestnutstair.scheduling.intake import (
    IntakeLayout,
    IntakeTable,
    encode_submission,
)
from chestnutstair.scheduling.job_requests import (
    JobRequestHandler,
    JobRequestSettings,
)
from chestnutstair.scheduling.job_tracker import JobTracker, JobTrackerSettings
from chestnutstair.scheduling.leader import Leader, LeaderSettings
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.ports import Changes, RowWrite
from chestnutstair.scheduling.progress import JobState
from chestnutstair.scheduling.term import TERM_KEY, Term, TermRow, TermSettings
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.scheduling_support import CONFIGURATION
from chestnutstair.tests.test_intake import BODY, QUEUE
from chestnutstair.tests.test_job_requests import SilentLink

LAYOUT = IntakeLayout(partitions=6)
OLD_LAYOUT = IntakeLayout()
# Jobs of different partitions; the last digits select the partition.
JOBS = [f"{0xABCDEF00:08x}{number:08x}" for number in range(12)]


class IntakeLayoutTest(unittest.TestCase):
    """Every node and every version must find a job in the same place."""

    def test_partitions_are_named_as_specified(self) -> None:
        self.assertEqual(
            IntakeLayout(partitions=3).list_partitions(),
            ("intake", "intake-1", "intake-2"),
        )

    def test_a_layout_of_one_partition_has_the_existing_keys(self) -> None:
        for job in ("00000000ffffffff", "not hexadecimal"):
            key = OLD_LAYOUT.build_job_key(job)
            self.assertEqual((key.table, key.partition), ("intake", "intake"))

    def test_the_last_eight_digits_select_the_partition(self) -> None:
        # The first digits select the shard: if they selected the partition
        # too, the jobs of a shard would share few partitions.
        for first in ("00000000", "ffffffff"):
            key = LAYOUT.build_job_key(first + "0000000d")
            self.assertEqual(key.partition, "intake-1")

    def test_submission_and_cancellation_share_a_partition(self) -> None:
        for job in JOBS:
            self.assertEqual(
                LAYOUT.build_job_key(job).partition,
                LAYOUT.build_cancel_key(job).partition,
            )


class IntakeRatesTest(unittest.TestCase):
    """The number of partitions comes from the platform's write rates."""

    def test_the_number_is_the_quotient_of_the_rates(self) -> None:
        cases = [
            ((1200.0, 200.0), 1, 6),
            ((600.0, 200.0), 1, 3),
            ((1200.0, 200.0), 4, 1),
            ((1200.0, 200.0), 16, 1),
            ((100.0, 200.0), 1, 1),
            ((0.0, 0.0), 1, 1),
            ((1_000_000.0, 200.0), 1, 16),
        ]
        for rates, shards, expected in cases:
            with self.subTest(rates=rates, shards=shards):
                partitions = IntakeRates(*rates).count_partitions(shards)
                self.assertEqual(partitions, expected)


class IntakePartitionsTest(unittest.TestCase):
    """Jobs of all partitions are known, also those from before an upgrade."""

    def setUp(self) -> None:
        self.clock = SystemClock()
        self.store = MemoryRowStore()

    def deadline(self) -> Deadline:
        return Deadline.after(self.clock, 3.0)

    def commit(self, *writes: RowWrite) -> int:
        return self.store.commit([], list(writes), self.deadline()).unwrap()

    def put_job(self, layout: IntakeLayout, job: str, at_ms: int = 1) -> None:
        value = encode_submission(QUEUE, at_ms, BODY)
        self.commit(RowWrite(layout.build_job_key(job), value))

    def build_handler(self, layout: IntakeLayout) -> JobRequestHandler:
        return JobRequestHandler(
            self.store,
            SilentLink(),
            lambda shard: None,
            lambda: False,
            self.clock,
            JobRequestSettings(),
            lambda job: layout,
        )

    def build_leader(self) -> Leader:
        row = TermRow("node", "node:1", 1, 0)
        version = self.commit(RowWrite(TERM_KEY, row.encode()))
        term = Term(self.store, self.clock, row, version, TermSettings())
        unused: Any = None
        return Leader(
            Leadership(term),
            JobTracker(self.clock, JobTrackerSettings()),
            unused,
            unused,
            self.store,
            unused,
            unused,
            PlatformDecoder(),
            PlatformSubmissions(),
            lambda: CONFIGURATION,
            self.clock,
            LeaderSettings(),
            LAYOUT,
        )

    def test_a_new_leader_loads_the_jobs_of_all_partitions(self) -> None:
        for job in JOBS:
            self.put_job(LAYOUT, job)
        self.commit(RowWrite(LAYOUT.build_cancel_key(JOBS[5]), b"{}"))
        leader = self.build_leader()
        self.assertTrue(leader.load())
        jobs = leader.tracker.jobs
        self.assertEqual(sorted(jobs), JOBS)
        self.assertEqual(jobs[JOBS[5]].state, JobState.CANCELLED)

    def test_a_job_of_two_partitions_is_loaded_once(self) -> None:
        # A node of the previous version and one of this version both store
        # the same job while a deployment is upgraded.
        self.put_job(LAYOUT, JOBS[1], at_ms=2)
        self.put_job(OLD_LAYOUT, JOBS[1], at_ms=1)
        leader = self.build_leader()
        self.assertTrue(leader.load())
        record = leader.tracker.jobs[JOBS[1]]
        self.assertEqual(record.submission.accepted_ms, 1)

    def test_a_cancellation_in_partition_0_cancels_the_job(self) -> None:
        self.put_job(LAYOUT, JOBS[1])
        self.commit(RowWrite(OLD_LAYOUT.build_cancel_key(JOBS[1]), b"{}"))
        leader = self.build_leader()
        self.assertTrue(leader.load())
        self.assertEqual(
            leader.tracker.jobs[JOBS[1]].state, JobState.CANCELLED
        )

    def test_one_partition_that_cannot_be_read_fails_the_load(self) -> None:
        # A leader that loaded the other partitions only would not run the
        # jobs of this one.
        read = self.store.read

        def fail(table: str, partition: str, *arguments: Any) -> Any:
            if partition == "intake-4":
                self.store.down = True
            try:
                return read(table, partition, *arguments)
            finally:
                self.store.down = False

        leader = self.build_leader()
        patch = mock.patch.object(self.store, "read", fail)
        with patch:
            loaded = leader.load()
        self.assertFalse(loaded)

    def test_a_feed_that_lost_its_history_reads_all_partitions(self) -> None:
        for job in JOBS:
            self.put_job(LAYOUT, job)
        self.store.forget_history()
        seen: list[Changes] = []
        feed = ChangeFeed(
            IntakeTable(self.store, LAYOUT),
            self.clock,
            "intake",
            "intake",
            0,
            seen.append,
            seen.append,
            0.0,
        )
        feed._step()
        feed._step()
        self.assertEqual(len(seen[-1].rows), len(JOBS))

    def test_the_version_read_is_the_lowest_of_all_partitions(self) -> None:
        # A change between the reads of two partitions would otherwise be
        # followed from too late a version.
        read = self.store.read

        def change_between(*arguments: Any) -> Any:
            answer = read(*arguments)
            self.put_job(LAYOUT, JOBS[0])
            return answer

        before = self.store.version
        with mock.patch.object(self.store, "read", change_between):
            changes = IntakeTable(self.store, LAYOUT).read(
                "intake", "", self.deadline()
            )
        self.assertEqual(changes.unwrap().version, before)

    def test_jobs_from_before_an_upgrade_are_found_and_cancelled(
        self,
    ) -> None:
        job = JOBS[3]
        self.put_job(OLD_LAYOUT, job)
        handler = self.build_handler(LAYOUT)
        self.assertEqual(
            handler.describe_job(job, self.deadline()).state, "queued"
        )
        self.assertTrue(handler.cancel(job, self.deadline()).known)
        self.assertEqual(
            handler.describe_job(job, self.deadline()).state, "cancelled"
        )
        leader = self.build_leader()
        self.assertTrue(leader.load())
        self.assertEqual(leader.tracker.jobs[job].state, JobState.CANCELLED)

    def test_an_unknown_job_is_unknown_in_all_partitions(self) -> None:
        handler = self.build_handler(LAYOUT)
        self.assertFalse(handler.describe_job(JOBS[3], self.deadline()).known)
        self.assertFalse(handler.cancel(JOBS[3], self.deadline()).known)

    def test_old_jobs_are_removed_from_all_their_partitions(self) -> None:
        # Rows left behind would be loaded as waiting jobs by the next
        # leader, after their progress was removed.
        for job in JOBS:
            self.put_job(LAYOUT, job)
            self.put_job(OLD_LAYOUT, job)
        leader = self.build_leader()
        self.assertTrue(leader._remove_intake_rows(JOBS))
        left = IntakeTable(self.store, LAYOUT).read(
            "intake", "", self.deadline()
        )
        self.assertEqual(left.unwrap().rows, ())
