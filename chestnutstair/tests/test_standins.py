"""Tests of the worker, target and process stand-ins."""

import hashlib
import json
import signal
import socket
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3

from chestnutstair.coordination.platform import RefusedFailure, TaskPhase
from chestnutstair.protocol.platform import (
    RenewCall,
    StartCall,
    StopCall,
    ThrottleCall,
)
from chestnutstair.standins.fault import FaultInjector
from chestnutstair.standins.target import RunOutcome, Target, TargetSettings
from chestnutstair.standins.worker import WorkerFleet, WorkerSettings
from chestnutstair.tests.support import ManualClock, wait_until

LONG_WORK_MS = "60000"  # runs until a reboot interrupts it


class WorkerFleetTest(unittest.TestCase):
    """Workers enforce leases, fencing tokens, throttling and checkpoints."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.fault_injector = FaultInjector()
        settings = WorkerSettings(usage_lag_seconds=2.0)
        self.fleet = WorkerFleet(self.clock, settings, self.fault_injector)
        self.fleet.add("boxes-0")
        self.fleet.add("boxes-1")

    def start(self, worker: str, token: int, **payload: Any) -> Any:
        call = StartCall("task", token, 10.0, json.dumps(payload))
        return self.fleet.start_task(worker, call)

    def find(self, worker: str) -> Any:
        return self.fleet.report_tasks(worker).unwrap()[0]

    def test_renewal_needs_the_token(self) -> None:
        self.start("boxes-0", 1, run_seconds=30).unwrap()
        self.clock.sleep(9)
        self.fleet.renew_tasks("boxes-0", RenewCall((("task", 0),), 60))
        self.clock.sleep(2)
        self.assertIs(self.find("boxes-0").phase, TaskPhase.LAPSED)

    def test_resumes_from_a_checkpoint(self) -> None:
        self.start("boxes-0", 1, run_seconds=8).unwrap()
        self.clock.sleep(5)
        self.fleet.stop_task("boxes-0", StopCall("task", 1, True)).unwrap()
        self.start("boxes-1", 2, run_seconds=8).unwrap()
        self.clock.sleep(3)
        self.assertIs(self.find("boxes-1").phase, TaskPhase.FINISHED)

    def test_ignores_a_start_that_arrives_after_its_stop(self) -> None:
        self.fleet.stop_task("boxes-0", StopCall("task", 1, False)).unwrap()
        self.start("boxes-0", 1, run_seconds=8).unwrap()
        self.assertEqual(self.fleet.count_running("boxes-0").unwrap(), 0)
        self.assertEqual(self.fleet.list_runs(), [])

    def test_throttles_and_reports_usage_late(self) -> None:
        self.start("boxes-0", 1, run_seconds=6, cores=4).unwrap()
        self.clock.sleep(1)
        self.assertEqual(self.find("boxes-0").used.cores, 0)
        call = ThrottleCall("task", 1, 0.5)
        self.fleet.throttle_task("boxes-0", call).unwrap()
        self.clock.sleep(1.5)
        self.assertEqual(self.find("boxes-0").used.cores, 4)
        self.clock.sleep(5)
        self.assertEqual(self.find("boxes-0").used.cores, 2)
        self.assertIs(self.find("boxes-0").phase, TaskPhase.RUNNING)

    def test_a_failing_worker_fails_every_task(self) -> None:
        self.fault_injector.change({"failing_workers": ["boxes-0"]}).unwrap()
        self.start("boxes-0", 1, run_seconds=6).unwrap()
        self.assertIs(self.find("boxes-0").phase, TaskPhase.FAILED)

    def test_refuses_lower_tokens(self) -> None:
        self.start("boxes-0", 5, run_seconds=6).unwrap()
        failure = self.fleet.stop_task(
            "boxes-0", StopCall("task", 4, False)
        ).unwrap_err()
        self.assertIsInstance(failure, RefusedFailure)
        self.assertIs(self.find("boxes-0").phase, TaskPhase.RUNNING)


class TargetTest(unittest.TestCase):
    """The target enforces its limits and logs its runs."""

    def setUp(self) -> None:
        settings = TargetSettings(
            reboot_seconds=0.2, leaving_grace_seconds=0.1
        )
        self.target = Target(settings)
        self.target.start()
        self.addCleanup(self.target.stop)
        self.http = urllib3.PoolManager(maxsize=80, retries=False, timeout=60)
        self.addCleanup(self.http.clear)
        self.pool = ThreadPoolExecutor(80)
        self.addCleanup(self.pool.shutdown)

    def ask(self, **headers: str) -> Any:
        named = {key.replace("_", "-"): headers[key] for key in headers}
        url = f"http://{self.target.address}/quote"
        return self.http.request("POST", url, b"{}", headers=named)

    def control(self, path: str, **body: Any) -> Any:
        url = f"http://{self.target.control_address}/{path}"
        return self.http.request("POST", url, json=body)

    def hold_slots(self, count: int) -> list[Any]:
        requests = [
            self.pool.submit(
                self.ask, X_Request_Id=f"r{index}", X_Work_Ms=LONG_WORK_MS
            )
            for index in range(count)
        ]
        wait_until(lambda: self.target.get_status().running == count)
        return requests

    def interrupt_by_reboot(self, requests: list[Any]) -> None:
        self.control("reboot", operation="op-1")
        for request in requests:
            self.assertIsInstance(
                request.exception(), urllib3.exceptions.HTTPError
            )

    def test_answers_with_nonce_and_checksum(self) -> None:
        answer = self.ask(X_Nonce="n1", X_Work_Ms="1", X_Answer_Bytes="9000")
        checksum = hashlib.sha256(answer.data).hexdigest()
        self.assertEqual(answer.headers["X-Checksum"], checksum)
        self.assertEqual(answer.json()["nonce"], "n1")

    def test_runs_8_requests_and_refuses_the_ninth(self) -> None:
        requests = self.hold_slots(8)
        answer = self.ask(X_Request_Id="ninth")
        self.assertEqual((answer.status, answer.headers["X-Ran"]), (503, "no"))
        self.interrupt_by_reboot(requests)
        log = self.target.get_log()
        self.assertEqual((log.overshoots, log.cut, len(log.runs)), (1, 8, 8))

    def test_closes_the_connection_beyond_64(self) -> None:
        host, port = self.target.address.split(":")
        opened = []
        for _ in range(65):
            opened.append(socket.create_connection((host, int(port)), 60))
            self.addCleanup(opened[-1].close)
        wait_until(lambda: self.target.get_log().closed_connections == 1)
        self.assertEqual(opened[-1].recv(1), b"")
        opened[0].close()
        request = b"GET /status HTTP/1.1\r\nHost: t\r\n\r\n"
        for each in opened[1:64]:
            each.sendall(request)
        for each in opened[1:64]:
            self.assertTrue(each.recv(100).startswith(b"HTTP/1.1 200"))
        wait_until(lambda: self.ask().status == 200)

    def test_refuses_new_work_after_the_grace(self) -> None:
        self.control("drain")
        wait_until(lambda: self.ask().status == 503)
        answer = self.ask()
        self.assertEqual(answer.headers["X-Leaving"], "true")
        self.assertEqual(answer.headers["X-Ran"], "no")
        self.control("undrain")
        self.assertEqual(self.ask().status, 200)

    def test_serves_again_after_a_reboot(self) -> None:
        requests = self.hold_slots(1)
        self.interrupt_by_reboot(requests)
        wait_until(lambda: self.target.get_status().boot == 2)
        wait_until(lambda: self.ask_or_none() is not None)
        self.control("reboot", operation="op-1")
        self.assertFalse(self.target.get_status().down)
        outcomes = [run.outcome for run in self.target.get_log().runs]
        self.assertEqual(outcomes, [RunOutcome.CUT, RunOutcome.DONE])

    def ask_or_none(self) -> Any:
        try:
            return self.ask()
        except urllib3.exceptions.HTTPError:
            return None

    def test_faults_affect_answers_after_the_run(self) -> None:
        for fault in ("lost_answers", "truncated_answers"):
            self.control("faults", **{fault: 1})
            with self.assertRaises(urllib3.exceptions.HTTPError):
                self.ask(X_Answer_Bytes="1000")
        self.assertEqual(self.control("faults", no_such=1).status, 400)
        self.control("faults", crossed_answers=1)
        self.assertNotEqual(self.ask(X_Nonce="n").json()["nonce"], "n")
        self.assertEqual(len(self.target.get_log().runs), 3)


class ProcessTest(unittest.TestCase):
    """Each process prints its address and exits with 0 on SIGTERM."""

    def test_serves_and_ends(self) -> None:
        for name, path in (("platformd", "vms"), ("targetd", "status")):
            module = f"chestnutstair.standins.{name}"
            with subprocess.Popen(
                [sys.executable, "-m", module], stdout=subprocess.PIPE
            ) as process:
                self.addCleanup(process.kill)
                assert process.stdout is not None
                address = json.loads(process.stdout.readline())["address"]
                answer = urllib3.request("GET", f"http://{address}/{path}")
                self.assertEqual(answer.status, 200)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(30), 0)
