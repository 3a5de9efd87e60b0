"""Tests of real processes under kills, pauses, partitions and outages."""

import signal
import threading
import unittest
from typing import Any

from chestnutstair.standins.cluster import Call, LocalCluster, wait_until
from chestnutstair.standins.target import TargetSettings
from chestnutstair.state.fleet import Pool, PoolKind
from chestnutstair.state.ticket import Ticket

ZONES = ("zone-a", "zone-b")
DAEMONS = ("entry-0", "entry-1", "entry-2", "entry-3")
SETTINGS = {
    "forwarding": {"stop_notice_seconds": 0.2},
    "membership": {"lease_seconds": 3.0, "renew_seconds": 1.0},
}


class ClusterFaultsTest(unittest.TestCase):
    """Tickets and requests stay consistent while processes fail.

    The platform's outages and partitions from daemons are covered too.
    """

    def setUp(self) -> None:
        self.cluster = LocalCluster()
        self.addCleanup(self.cluster.stop)
        self.cluster.start_platform({"vms": {"list_lag_seconds": 0.2}})
        targets = [TargetSettings(f"runner-{index}") for index in range(2)]
        self.cluster.start_targets(targets, ZONES)
        self.cluster.start_daemons(DAEMONS, ZONES, SETTINGS)
        pool = Pool("quotes", PoolKind.RUNNERS, "quotes", 1)
        self.file("entry-0", self.cluster.build_ticket(ZONES, pool))
        self.cluster.wait_in_force("entry-0", 1)

    def build_next(self, number: int, author: str = "tester") -> Ticket:
        pool = Pool(f"pool-{number}", PoolKind.RUNNERS, "extra", 0)
        return Ticket(number=number, author=author, pools=(pool,))

    def file(self, daemon: str, ticket: Ticket) -> tuple[int, Any]:
        return self.cluster.file_ticket(daemon, ticket)

    def read_ticket(self, daemon: str) -> int:
        status = self.cluster.call_admin(daemon, "GET", "/status")[1]
        return int(status["ticket"])

    def set_faults(self, **faults: Any) -> None:
        self.cluster.call_platform("POST", "/faults", faults)

    def assert_serves(self, daemon: str) -> None:
        answer = self.cluster.send(daemon, Call("quotes"))
        self.assertEqual((daemon, answer.status), (daemon, 200))

    def test_a_lost_answer_files_a_ticket_once(self) -> None:
        self.set_faults(lost_answers=1)
        status, answer = self.file("entry-1", self.build_next(2))
        if status == 503:  # The answer of another call was lost.
            status, answer = self.file("entry-1", self.build_next(2))
        self.assertIn(status, (200, 201))
        again = self.file("entry-2", self.build_next(2))
        self.assertEqual(again[0], 200)
        self.assertEqual(again[1]["revision"], answer["revision"])

    def test_one_of_two_racing_operators_wins(self) -> None:
        answers: dict[str, tuple[int, Any]] = {}

        def race(daemon: str, author: str) -> None:
            answers[author] = self.file(daemon, self.build_next(2, author))

        threads = [
            threading.Thread(target=race, args=arguments)
            for arguments in (("entry-0", "ana"), ("entry-1", "bo"))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        statuses = sorted(status for status, _ in answers.values())
        self.assertEqual(statuses, [201, 409])
        winner = next(name for name in answers if answers[name][0] == 201)
        loser = next(name for name in answers if answers[name][0] == 409)
        self.assertEqual(answers[loser][1]["error"], "TicketContentFailure")
        self.assertEqual(answers[loser][1]["detail"]["author"], winner)

    def test_an_outage_stops_tickets_and_not_requests(self) -> None:
        self.set_faults(outage="error")
        status, answer = self.file("entry-0", self.build_next(2))
        self.assertEqual(status, 503)
        self.assertEqual(answer["error"], "UnavailableFailure")
        for name in DAEMONS:
            self.assert_serves(name)
        self.set_faults(outage="none")
        wait_until(
            "ticket accepted",
            lambda: self.file("entry-0", self.build_next(2))[0] in (200, 201),
        )
        self.cluster.wait_in_force("entry-3", 2)

    def test_a_zone_cut_from_the_platform_learns_from_its_peers(self) -> None:
        self.set_faults(cut_zones=["zone-b"])
        self.file("entry-0", self.build_next(2))
        self.cluster.wait_in_force("entry-0", 2)
        for name in DAEMONS:
            self.assertEqual(self.read_ticket(name), 2)
            self.assert_serves(name)

    def test_a_daemon_that_starts_in_a_cut_zone_asks_its_peers(self) -> None:
        self.set_faults(cut_zones=["zone-b"])
        self.file("entry-0", self.build_next(2))
        self.cluster.end("entry-3", signal.SIGKILL)
        seeds = [self.cluster.daemons["entry-0"].peers]
        membership = {**SETTINGS["membership"], "seeds": seeds}
        settings = {**SETTINGS, "membership": membership}
        self.cluster.start_daemon("entry-3", "zone-b", settings)
        self.cluster.wait_ready("entry-3")
        self.assertEqual(self.read_ticket("entry-3"), 2)
        self.assert_serves("entry-3")

    def test_a_paused_daemon_lags_and_then_catches_up(self) -> None:
        self.cluster.send_signal("entry-2", signal.SIGSTOP)
        self.file("entry-0", self.build_next(2))
        wait_until(
            "confirmation by the other daemons",
            lambda: (
                len(self.cluster.read_report("entry-0", 2)["confirmed"]) == 3
            ),
        )
        report = self.cluster.read_report("entry-0", 2)
        self.assertFalse(report["in_force"])
        self.assertEqual([i["vm"] for i in report["lagging"]], ["entry-2"])
        self.cluster.send_signal("entry-2", signal.SIGCONT)
        self.cluster.wait_in_force("entry-0", 2)
        self.assertEqual(self.read_ticket("entry-2"), 2)

    def test_all_daemons_replaced_at_once_keep_the_state(self) -> None:
        self.file("entry-0", self.build_next(2))
        for name in DAEMONS:
            self.cluster.end(name, signal.SIGKILL)
        self.cluster.start_daemons(DAEMONS, ZONES, SETTINGS)
        for name in DAEMONS:
            self.assertEqual(self.read_ticket(name), 2)
            self.assert_serves(name)

    def test_ticket_numbers_never_fall_while_daemons_are_replaced(
        self,
    ) -> None:
        seen = dict.fromkeys(DAEMONS, 0)
        for number, name in enumerate(DAEMONS, start=2):
            filer = DAEMONS[number % len(DAEMONS)]
            self.file(filer, self.build_next(number))
            self.cluster.end(name, signal.SIGTERM)
            zone = self.cluster.daemons[name].zone
            self.cluster.start_daemon(name, zone, SETTINGS)
            self.cluster.wait_ready(name)
            for other in DAEMONS:
                ticket = self.read_ticket(other)
                self.assertGreaterEqual(ticket, seen[other])
                seen[other] = ticket
            self.assertEqual(seen[name], number)

    def test_requests_through_a_stopping_daemon_complete(self) -> None:
        statuses: list[int] = []

        def call() -> None:
            headers = {"X-Work-Ms": "1500"}
            answer = self.cluster.send(
                "entry-1", Call("quotes", headers=headers)
            )
            statuses.append(answer.status)

        threads = [threading.Thread(target=call) for _ in range(6)]
        for thread in threads:
            thread.start()
        wait_until("requests running", self.are_requests_running)
        self.assertEqual(self.cluster.end("entry-1"), 0)
        for thread in threads:
            thread.join()
        self.assertEqual(statuses, [200] * 6)

    def are_requests_running(self) -> bool:
        running = [
            self.cluster.call_platform("GET", f"/vms/{name}/running")
            for name in self.cluster.targets
        ]
        return sum(running) == 6
