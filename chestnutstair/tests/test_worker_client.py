"""Tests the calls to workers."""

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from result import Err, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    TaskReport,
    UnknownOutcomeFailure,
)
from chestnutstair.coordination.worker_client import (
    WorkerClient,
    WorkerClientSettings,
)
from chestnutstair.coordination.worker_lease import LeaseSettings, WorkerLeases
from chestnutstair.standins.memory_workers import MemoryWorkers
from chestnutstair.state.deadline import Deadline
from chestnutstair.tests.support import ManualClock

RACK = ["w0", "w1", "w2", "w3"]


class UnresponsiveRack(MemoryWorkers):
    """Lets all calls time out, once all workers of the rack are called."""

    barrier = threading.Barrier(len(RACK), timeout=10)

    def report_tasks(
        self, worker: str, deadline: Deadline
    ) -> Result[tuple[TaskReport, ...], PlatformFailure]:
        """Wait for the calls to all workers of the rack, then time out."""
        self.barrier.wait()
        return Err(UnknownOutcomeFailure("timeout"))


class WorkerClientTest(unittest.TestCase):
    """Unresponsive workers delay nothing else."""

    def test_waits_once_for_a_whole_rack(self) -> None:
        clock = ManualClock()
        with ThreadPoolExecutor(len(RACK)) as executor:
            worker_client = WorkerClient(
                UnresponsiveRack(clock),
                clock,
                WorkerLeases(clock, LeaseSettings()),
                WorkerClientSettings(),
                executor,
            )
            deadline = Deadline.after(clock, 5)
            self.assertEqual(worker_client.read_reports(RACK, deadline), {})
        self.assertEqual(worker_client.list_unresponsive(), RACK)
        self.assertFalse(any(map(worker_client.is_due, RACK)))
        clock.now += 1.0
        self.assertTrue(all(map(worker_client.is_due, RACK)))
