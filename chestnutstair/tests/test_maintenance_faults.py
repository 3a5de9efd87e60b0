"""Tests of cleaning by daemon processes that are killed and paused."""

import signal
import threading
import unittest

from urllib3.exceptions import HTTPError

from chestnutstair.protocol.operators import AuditPage
from chestnutstair.standins.cluster import Call, LocalCluster, wait_until
from chestnutstair.standins.target import TargetSettings
from chestnutstair.state.change import ChangeRecord
from chestnutstair.state.fleet import Pool, PoolKind
from chestnutstair.tests.maintenance_support import replay

ZONES = ("zone-a",)
DAEMONS = ("entry-0", "entry-1", "entry-2")
RUNNERS = tuple(f"runner-{index}" for index in range(4))
ROUND_SECONDS = 90.0
SETTINGS = {
    "membership": {"lease_seconds": 3.0, "renew_seconds": 1.0},
    "duties": {"lease_seconds": 3.0, "renew_seconds": 1.0},
    "drains": {"confirm_seconds": 10.0},
}


class MaintenanceFaultsTest(unittest.TestCase):
    """Another daemon finishes a cleaning, and no request is cut."""

    def setUp(self) -> None:
        self.cluster = LocalCluster()
        self.addCleanup(self.cluster.stop)
        self.cluster.start_platform({"vms": {"list_lag_seconds": 0.5}})
        targets = [TargetSettings(name) for name in RUNNERS]
        self.cluster.start_targets(targets, ZONES)
        self.cluster.start_daemons(DAEMONS, ZONES, SETTINGS)
        pool = Pool(
            "quotes",
            PoolKind.RUNNERS,
            "quotes",
            availability_budget=1,
            maintenance_period_seconds=20.0,
        )
        ticket = self.cluster.build_ticket(ZONES, pool)
        self.cluster.file_ticket("entry-0", ticket)
        self.ending = threading.Event()
        for _ in range(8):
            thread = threading.Thread(target=self.send_requests)
            thread.start()
            self.addCleanup(thread.join)
        self.addCleanup(self.ending.set)

    def send_requests(self) -> None:
        while not self.ending.is_set():
            for name in DAEMONS:
                call = Call("quotes", headers={"X-Work-Ms": "8000"})
                try:
                    self.cluster.send(name, call)
                except HTTPError:
                    continue  # the request went to the stopped daemon

    def read_log(self, daemon: str) -> tuple[ChangeRecord, ...]:
        def read() -> tuple[ChangeRecord, ...] | None:
            path = "/audit?limit=1000"
            try:
                page = self.cluster.read_admin(AuditPage, daemon, path)
            except HTTPError:
                return None  # connection opened before the daemon stopped
            return page.records

        return wait_until("the log", read)

    def wait_for(self, daemon: str, kind: str, after: int) -> ChangeRecord:
        """Return the first record of the kind after the revision."""

        def find() -> ChangeRecord | None:
            for record in self.read_log(daemon):
                if record.revision > after and record.change.kind == kind:
                    return record
            return None

        return wait_until(kind, find, ROUND_SECONDS)

    def stop_author(self, kind: str, number: signal.Signals) -> str:
        """Signal the author of the next such record; return its name.

        Another daemon must then finish the cleaning.
        """
        newest = self.read_log(DAEMONS[0])[-1].revision
        record = self.wait_for(DAEMONS[0], kind, newest)
        author = record.author
        if number is signal.SIGKILL:
            self.cluster.end(author, number)
        else:
            self.cluster.send_signal(author, number)
        other = next(name for name in DAEMONS if name != author)
        recovery = self.wait_for(other, "recovery", record.revision)
        self.assertEqual(recovery.change.vm, record.change.vm)  # type: ignore[union-attr]
        self.assertNotEqual(recovery.author, author)
        return author

    def test_a_killed_or_paused_daemon_is_replaced(self) -> None:
        for kind in ("drain", "proof"):
            author = self.stop_author(kind, signal.SIGKILL)
            self.cluster.start_daemon(author, "zone-a", SETTINGS)
            self.cluster.wait_ready(author)
        author = self.stop_author("reboot", signal.SIGSTOP)
        self.cluster.send_signal(author, signal.SIGCONT)
        self.ending.set()
        replay(self.read_log(DAEMONS[0]))
        outcomes = wait_until("the last request", self.find_outcomes)
        self.assertEqual(outcomes, {"done"})

    def find_outcomes(self) -> set[str] | None:
        """Return the outcomes of all requests, or None while some run."""
        outcomes = {run["outcome"] for run in self.cluster.list_runs()}
        return None if "running" in outcomes else outcomes
