"""Tests of the platform's HTTP clients against the stand-in."""

import unittest
from typing import Any

from chestnutstair.coordination.platform import (
    ABSENT,
    Condition,
    ConflictFailure,
    Key,
    ListedVm,
    RefusedFailure,
    TaskPhase,
    UnavailableFailure,
    UnknownOutcomeFailure,
    Write,
)
from chestnutstair.standins.platform import Platform, PlatformSettings
from chestnutstair.standins.target import Target, TargetSettings
from chestnutstair.standins.vm import VmRegistration, VmSettings
from chestnutstair.state.change import TicketChange
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.support import build_log, build_ticket, wait_until
from chestnutstair.transport.platform import (
    HttpObjectStore,
    HttpTable,
    HttpVmControl,
    HttpVmDirectory,
    HttpWorkerControl,
)

CLOCK = SystemClock()
KEY = Key("things", "one")


class PlatformTest(unittest.TestCase):
    """Starts a new platform for each test."""

    def setUp(self) -> None:
        settings = PlatformSettings(
            threads=8,
            vms=VmSettings(list_lag_seconds=0.3, poll_seconds=0.05),
        )
        self.platform = Platform(settings)
        self.platform.start()
        self.addCleanup(self.platform.stop)

    def build(self, kind: Any, party: str = "entry-0") -> Any:
        url = f"http://{self.platform.address}"
        return kind(url, party, "zone-0", CLOCK)

    def deadline(self, seconds: float = 20.0) -> Deadline:
        return Deadline.after(CLOCK, seconds)

    def change_faults(self, **faults: Any) -> None:
        self.platform.fault_injector.change(faults).unwrap()


class HttpTableTest(PlatformTest):
    """The table and object store stay consistent over HTTP under faults."""

    def setUp(self) -> None:
        super().setUp()
        self.table = self.build(HttpTable)

    def commit(self, value: Any, version: int | None = None) -> Any:
        conditions = [] if version is None else [Condition(KEY, version)]
        writes = [Write(KEY, value)]
        return self.table.commit(conditions, writes, self.deadline())

    def read(self) -> Any:
        rows = self.table.read([KEY], self.deadline()).unwrap()
        return rows[0] and rows[0].value

    def test_commits_only_under_its_conditions(self) -> None:
        self.commit({"a": [1, None]}, ABSENT).unwrap()
        failure = self.commit("b", ABSENT).unwrap_err()
        self.assertEqual(failure, ConflictFailure((KEY,)))
        self.assertEqual(self.read(), {"a": [1, None]})
        self.commit(None).unwrap()
        self.assertIsNone(self.read())

    def test_scans_a_range_in_order(self) -> None:
        writes = [Write(Key("list", f"{i:02d}"), i) for i in range(9, 0, -1)]
        self.table.commit([], writes, self.deadline()).unwrap()
        rows = self.table.scan("list", "02", "08", 3, self.deadline())
        self.assertEqual([row.value for row in rows.unwrap()], [2, 3, 4])

    def test_returns_unknown_outcome_when_an_answer_is_lost(self) -> None:
        self.change_faults(lost_answers=1)
        failure = self.commit("a").unwrap_err()
        self.assertIsInstance(failure, UnknownOutcomeFailure)
        self.assertEqual(self.read(), "a")

    def test_returns_unavailable_in_an_outage(self) -> None:
        self.change_faults(outage="error")
        self.assertIsInstance(self.commit("a").err(), UnavailableFailure)
        self.change_faults(outage="close")
        failure = self.table.read([KEY], self.deadline()).err()
        self.assertIsInstance(failure, UnavailableFailure)
        self.assertIsInstance(self.commit("a").err(), UnknownOutcomeFailure)
        self.change_faults(outage="none")
        self.assertIsNone(self.read())

    def test_returns_unavailable_when_nothing_listens(self) -> None:
        self.platform.stop()
        self.assertIsInstance(self.commit("a").err(), UnavailableFailure)

    def test_cuts_one_party_only(self) -> None:
        other = self.build(HttpTable, "entry-1")
        self.change_faults(cut_parties=["entry-0"])
        failure = self.table.read([KEY], self.deadline()).err()
        self.assertIsInstance(failure, UnavailableFailure)
        other.read([KEY], self.deadline()).unwrap()
        self.change_faults(cut_parties=[], cut_zones=["zone-0"])
        self.assertTrue(other.read([KEY], self.deadline()).is_err())

    def test_gives_up_at_the_deadline(self) -> None:
        self.change_faults(delay_seconds=0.5)
        failure = self.table.read([KEY], self.deadline(0.05)).err()
        self.assertIsInstance(failure, UnavailableFailure)
        writes = [Write(KEY, "late")]
        failure = self.table.commit([], writes, self.deadline(0.05)).err()
        self.assertIsInstance(failure, UnknownOutcomeFailure)
        wait_until(lambda: self.read() == "late")

    def test_replicates_the_change_log(self) -> None:
        self.change_faults(lost_answers=1)
        log = build_log(self.table, CLOCK)
        log.append(TicketChange(build_ticket()), self.deadline()).unwrap()
        other = build_log(self.build(HttpTable, "entry-1"), CLOCK)
        other.refresh(self.deadline()).unwrap()
        self.assertEqual(other.view, log.view)

    def test_stores_objects(self) -> None:
        store = self.build(HttpObjectStore)
        body = bytes(range(256)) * 300
        store.put("views/1", body, self.deadline()).unwrap()
        self.assertEqual(store.get("views/1", self.deadline()).unwrap(), body)
        self.assertIsNone(store.get("views/2", self.deadline()).unwrap())


class HttpVmControlTest(PlatformTest):
    """Commands are executed once for each operation and fenced by tokens."""

    def setUp(self) -> None:
        super().setUp()
        self.target = Target(TargetSettings(reboot_seconds=0.3))
        self.target.start()
        self.addCleanup(self.target.stop)
        address = self.target.control_address
        registration = VmRegistration("quotes-0", "zone-0", address)
        self.platform.vms.register(registration)
        self.control = self.build(HttpVmControl)
        self.directory = self.build(HttpVmDirectory)

    def operate(self, verb: str, operation: str, token: int) -> Any:
        call = getattr(self.control, verb)
        return call("quotes-0", operation, token, self.deadline())

    def find_listed(self, name: str = "quotes-0") -> ListedVm:
        listed = self.directory.list_vms(self.deadline()).unwrap()
        unknown = ListedVm(name, "zone-0", False, False, 0)
        return next((vm for vm in listed if vm.name == name), unknown)

    def test_reboots_once_for_an_operation(self) -> None:
        self.operate("announce_drain", "op-1", 1).unwrap()
        wait_until(lambda: self.find_listed().leaving)
        self.operate("reboot", "op-1", 1).unwrap()
        wait_until(lambda: self.find_listed().boot == 2)
        self.operate("reboot", "op-1", 1).unwrap()
        status = self.target.get_status()
        self.assertEqual((status.boot, status.down), (2, False))

    def test_reboots_a_worker_once_for_an_operation(self) -> None:
        self.platform.vms.register(VmRegistration("boxes-0", "zone-0"))
        for _ in range(2):
            self.control.reboot("boxes-0", "op-1", 1, self.deadline()).unwrap()
        wait_until(lambda: self.find_listed("boxes-0").boot >= 2)
        self.assertEqual(self.find_listed("boxes-0").boot, 2)

    def test_refuses_lower_tokens_and_cancelled_operations(self) -> None:
        self.operate("announce_drain", "op-1", 2).unwrap()
        failure = self.operate("reboot", "op-1", 1).unwrap_err()
        self.assertIsInstance(failure, RefusedFailure)
        self.operate("cancel_drain", "op-1", 2).unwrap()
        self.assertTrue(self.operate("announce_drain", "op-1", 2).is_err())
        self.assertTrue(self.operate("reboot", "op-1", 2).is_err())
        self.assertFalse(self.target.get_status().leaving)
        self.assertEqual(self.target.get_status().boot, 1)

    def test_lists_a_dead_vm_and_can_not_operate_it(self) -> None:
        wait_until(lambda: self.find_listed().live)
        self.target.stop()
        failure = self.operate("reboot", "op-1", 1).unwrap_err()
        self.assertIsInstance(failure, UnavailableFailure)
        wait_until(lambda: not self.find_listed().live)


class HttpWorkerControlTest(PlatformTest):
    """Tasks run once for each fencing token, until their lease expires."""

    def setUp(self) -> None:
        super().setUp()
        self.platform.vms.register(VmRegistration("boxes-0", "zone-0"))
        self.control = self.build(HttpWorkerControl)

    def start(self, token: int, lease: float, payload: str = "{}") -> Any:
        return self.control.start_task(
            "boxes-0", "task", token, lease, payload, self.deadline()
        )

    def find_phase(self) -> TaskPhase:
        reports = self.control.report_tasks("boxes-0", self.deadline())
        phase: TaskPhase = reports.unwrap()[0].phase
        return phase

    def test_runs_a_task_once_per_token(self) -> None:
        payload = '{"run_seconds": 0.1}'
        self.start(2, 60.0, payload).unwrap()
        self.start(2, 60.0, payload).unwrap()
        self.assertIsInstance(self.start(1, 60.0).err(), RefusedFailure)
        wait_until(lambda: self.find_phase() is TaskPhase.FINISHED)
        self.start(2, 60.0, payload).unwrap()
        runs = self.platform.workers.list_runs()
        self.assertEqual([run.token for run in runs], [2])

    def test_ends_a_task_whose_lease_lapses(self) -> None:
        self.start(1, 0.1, '{"run_seconds": 60}').unwrap()
        wait_until(lambda: self.find_phase() is TaskPhase.LAPSED)
        tokens = [("task", 1)]
        renewed = self.control.renew_tasks(
            "boxes-0", tokens, 60.0, self.deadline()
        )
        renewed.unwrap()
        self.assertIs(self.find_phase(), TaskPhase.LAPSED)
