"""Tests of requests through real processes that fail or drain."""

import signal
import threading
import unittest
from collections.abc import Callable
from typing import Any

import urllib3

from chestnutstair.standins.cluster import Call, LocalCluster, wait_until
from chestnutstair.standins.target import TargetSettings
from chestnutstair.state.fleet import Pool, PoolKind

ZONES = ("zone-a", "zone-b")
DAEMONS = ("entry-0", "entry-1", "entry-2")
RUNNERS = ("runner-0", "runner-1", "runner-2")
SETTINGS = {
    "forwarding": {"stop_notice_seconds": 0.2},
    "drains": {"healthy_checks": 1},
}
MAINTENANCE_PERIOD_SECONDS = 6.0
CALLER_COUNT = 6


class RequestFaultsTest(unittest.TestCase):
    """Requests run at most once and uninterrupted while processes fail."""

    def start(self, period_seconds: float) -> None:
        self.cluster = LocalCluster()
        self.addCleanup(self.cluster.stop)
        self.cluster.start_platform({"vms": {"list_lag_seconds": 0.2}})
        # The long grace period keeps leaving targets from refusing requests.
        targets = [
            TargetSettings(
                name, reboot_seconds=0.5, leaving_grace_seconds=10_000.0
            )
            for name in RUNNERS
        ]
        self.cluster.start_targets(targets, ZONES)
        self.cluster.start_daemons(DAEMONS, ZONES, SETTINGS)
        pool = Pool(
            "quotes",
            PoolKind.RUNNERS,
            "quotes",
            availability_budget=1,
            maintenance_period_seconds=period_seconds,
        )
        ticket = self.cluster.build_ticket(ZONES, pool)
        self.cluster.file_ticket("entry-0", ticket)
        self.cluster.wait_in_force("entry-0", 1)

    def send_charge(
        self, daemon: str, key: str, work_ms: int = 0, first: bool = False
    ) -> urllib3.BaseHTTPResponse:
        headers = {"Idempotency-Key": key, "X-Work-Ms": str(work_ms)}
        if first:
            headers["X-First-Attempt"] = "true"
        call = Call("quotes", "/charge", "POST", headers, b"12 euros")
        return self.cluster.send(daemon, call)

    def count_runs(self, key: str) -> int:
        runs = self.cluster.list_runs()
        return sum(run["request_id"] == key for run in runs)

    def test_a_charge_runs_once_though_its_entry_vm_is_killed(self) -> None:
        self.start(period_seconds=10_000.0)
        thread = threading.Thread(
            target=self.try_charge, args=("entry-0", "charge-1", 1500)
        )
        thread.start()
        wait_until("charge running", lambda: self.count_runs("charge-1"))
        self.cluster.end("entry-0", signal.SIGKILL)
        thread.join()
        answer = self.send_charge("entry-1", "charge-1")
        self.assertIn(answer.headers["X-Ran"], ("yes", "unknown"))
        self.assertEqual(self.count_runs("charge-1"), 1)

    def try_charge(self, daemon: str, key: str, work_ms: int) -> None:
        try:
            self.send_charge(daemon, key, work_ms)
        except urllib3.exceptions.HTTPError:
            return  # The entry VM was killed.

    def test_a_charge_sent_through_all_daemons_runs_once(self) -> None:
        self.start(period_seconds=10_000.0)
        for index in range(20):
            key = f"race-{index}"
            threads = [
                threading.Thread(target=self.try_charge, args=(name, key, 5))
                for name in DAEMONS
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(self.count_runs(key), 1)

    def test_no_charge_runs_while_the_table_is_down(self) -> None:
        self.start(period_seconds=10_000.0)
        self.send_charge("entry-1", "charge-1")
        self.cluster.call_platform("POST", "/faults", {"outage": "error"})
        answer = self.send_charge("entry-0", "charge-1")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["X-Ran"], "unknown")
        answer = self.send_charge("entry-0", "charge-2", first=True)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["X-Ran"], "no")
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(self.count_runs("charge-1"), 1)
        self.assertEqual(self.count_runs("charge-2"), 0)

    def test_a_killed_target_gives_an_unknown_outcome(self) -> None:
        self.start(period_seconds=10_000.0)
        answers: list[Any] = []

        def call() -> None:
            answers.append(self.send_charge("entry-0", "charge-3", 30_000))

        thread = threading.Thread(target=call)
        thread.start()
        wait_until("charge running", lambda: self.count_runs("charge-3"))
        target = next(
            run["target"]
            for run in self.cluster.list_runs()
            if run["request_id"] == "charge-3"
        )
        self.cluster.end(target, signal.SIGKILL)
        del self.cluster.targets[target]
        thread.join()
        self.assertEqual(answers[0].headers["X-Ran"], "unknown")
        self.assertEqual(self.count_runs("charge-3"), 0)
        answer = self.cluster.send("entry-0", Call("quotes"))
        self.assertEqual(answer.status, 200)

    def test_a_leaving_target_gets_no_new_work(self) -> None:
        self.start(period_seconds=10_000.0)
        self.cluster.call_target("runner-0", "POST", "/drain")
        wait_until("runner-0 avoided", self.is_avoided)
        before = self.count_target_runs("runner-0")
        for _ in range(30):
            for daemon in DAEMONS:
                answer = self.cluster.send(daemon, Call("quotes"))
                self.assertEqual(answer.status, 200)
        self.assertEqual(self.count_target_runs("runner-0"), before)

    def is_avoided(self) -> bool:
        """Return whether runner-0 got none of 10 requests per daemon."""
        before = self.count_target_runs("runner-0")
        for _ in range(10):
            for daemon in DAEMONS:
                self.cluster.send(daemon, Call("quotes"))
        return self.count_target_runs("runner-0") == before

    def count_target_runs(self, target: str) -> int:
        runs = self.cluster.list_runs()
        return sum(run["target"] == target for run in runs)

    def test_maintenance_of_every_runner_interrupts_no_request(self) -> None:
        self.start(MAINTENANCE_PERIOD_SECONDS)
        ended = threading.Event()
        outcomes: set[tuple[int, str]] = set()

        def call(index: int) -> None:
            while not ended.is_set():
                daemon = DAEMONS[index % len(DAEMONS)]
                headers = {"X-Work-Ms": "60" if index % 2 else "6000"}
                answer = self.cluster.send(
                    daemon, Call("quotes", headers=headers)
                )
                outcomes.add((answer.status, answer.headers["X-Ran"]))

        self.run_callers(call, ended)
        self.assertEqual(outcomes, {(200, "yes")})
        for name in RUNNERS:
            log = self.cluster.call_target(name, "GET", "/execution-log")
            self.assertEqual(log["cut"], 0)
            self.assertEqual(log["overshoots"], 0)

    def run_callers(
        self, call: Callable[[int], None], ended: threading.Event
    ) -> None:
        threads = [
            threading.Thread(target=call, args=(index,))
            for index in range(CALLER_COUNT)
        ]
        for thread in threads:
            thread.start()
        try:
            wait_until(
                "maintenance of all runners", self.all_runners_maintained
            )
        finally:
            ended.set()
            for thread in threads:
                thread.join()

    def all_runners_maintained(self) -> bool:
        answer = self.cluster.call_admin("entry-0", "GET", "/audit?limit=500")
        changes = [record["change"] for record in answer[1]["records"]]
        cleaned = {
            change["vm"]
            for change in changes
            if change["kind"] == "recovery" and change["cleaned_at"]
        }
        return cleaned == set(RUNNERS)
