"""Tests of answers that lack a list or an item of it."""

import unittest
from unittest import mock

from result import Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.platform import PlatformRowStore, PlatformWorkerControl
from chestnutstair.platform.runners import RunnerSettings
from chestnutstair.scheduling.configuration import MaintenanceWave
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    RowKey,
    RowWrite,
    Vm,
    WorkerCallFailure,
)
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.fleet_support import FleetHarness
from chestnutstair.tests.scheduling_support import build_entry
from chestnutstair.tests.test_malformed_answers import ScriptedClient
from chestnutstair.transport.platform_client import PlatformClient

CLOCK = SystemClock()


class AbsentListTest(unittest.TestCase):
    """Guards against an answer without its list that is taken for empty.

    Each worker would count as gone, each job as unknown, each run as ended.
    """

    def setUp(self) -> None:
        self.client = ScriptedClient()
        patched = mock.patch.object(PlatformClient, "send", self.client.send)
        patched.start()
        self.addCleanup(patched.stop)
        client = PlatformClient("http://store:80", "", "", CLOCK)
        self.store = PlatformRowStore(client)
        self.control = PlatformWorkerControl(
            CLOCK, "advice:80", RunnerSettings()
        )
        self.deadline = Deadline.after(CLOCK, 10.0)

    def hold(self, data: bytes) -> Result[HoldAnswer, WorkerCallFailure]:
        self.client.data = data
        return self.control.hold(build_entry("w1"), 1, 0, None, 0.0)

    def test_rows(self) -> None:
        self.client.data = b'{"ver": 7, "morePages": false}'
        read = self.store.read("t", "", self.deadline)
        self.assertIsInstance(read.err(), UnavailableFailure)
        followed = self.store.follow("t", 3, 0.0, self.deadline)
        self.assertIsInstance(followed.err(), UnavailableFailure)
        self.client.status = 412
        write = RowWrite(RowKey("t", "", "k"), b"{}")
        written = self.store.commit([], [write], self.deadline)
        self.assertIsInstance(written.err(), UnknownOutcomeFailure)

    def test_no_rows(self) -> None:
        self.client.data = b'{"rows": [], "ver": 7}'
        read = self.store.read("t", "", self.deadline).unwrap()
        self.assertEqual((read.rows, read.version), ((), 7))

    def test_runs(self) -> None:
        answer = self.hold(b'{"clockMs": 5, "finished": []}')
        self.assertIsInstance(answer.err(), UnknownOutcomeFailure)

    def test_ends(self) -> None:
        answer = self.hold(b'{"clockMs": 5, "running": []}').unwrap()
        self.assertTrue(answer.has_more_ends)
        answer = self.hold(
            b'{"clockMs": 5, "running": [], "finished": []}'
        ).unwrap()
        self.assertFalse(answer.has_more_ends)


class VmListTest(unittest.TestCase):
    """Guards against a wave that is completed without a VM that remains.

    Pages of the VM list are of different moments, so that a VM may be on
    none of them while others leave or join.
    """

    def setUp(self) -> None:
        self.fleet = FleetHarness({"w1": "boxes", "w2": "boxes"})
        self.wave = MaintenanceWave(1, ("vm-w1",), 20.0, 1)
        self.fleet.waves.append(self.wave)

    def run_rounds(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.fleet.run_round(0.1)
            self.fleet.vms.bring_workers_back()

    def is_completed(self) -> bool:
        return self.fleet.controller._waves.is_completed(self.wave)

    def leave_out(self, lists: int) -> None:
        """Leave a VM out of the next lists."""
        list_all = self.fleet.vms.list_vms
        left = [lists]

        def list_some() -> Result[list[Vm], WorkerCallFailure]:
            left[0] -= 1
            vms = list_all().unwrap()
            if left[0] < 0:
                return Ok(vms)
            return Ok([vm for vm in vms if vm.name != "vm-w1"])

        patched = mock.patch.object(self.fleet.vms, "list_vms", list_some)
        patched.start()
        self.addCleanup(patched.stop)

    def test_a_vm_that_one_list_leaves_out_is_maintained(self) -> None:
        self.leave_out(1)
        self.run_rounds(5.0)
        self.assertEqual(self.fleet.vms.maintained, ["vm-w1"])
        self.assertTrue(self.is_completed())

    def test_a_vm_is_gone_after_two_lists(self) -> None:
        self.run_rounds(0.2)
        self.leave_out(1000)
        self.fleet.vms.maintained.append("vm-w1")
        self.run_rounds(5.0)
        self.assertEqual(list(self.fleet.controller._state.listed), ["vm-w2"])
