"""Tests of daemons, targets and the platform as separate processes."""

import signal
import socket
import unittest
from typing import Any

import urllib3

from chestnutstair.standins.cluster import Call, LocalCluster, wait_until
from chestnutstair.standins.target import TargetSettings
from chestnutstair.state.fleet import Pool, PoolKind
from chestnutstair.state.ticket import Ticket

ZONES = ("zone-a", "zone-b")
DAEMONS = ("entry-0", "entry-1", "entry-2")
SETTINGS = {
    "forwarding": {"stop_notice_seconds": 0.2},
    "admin_server": {"read_seconds": 5.0},
}


class EndToEndTest(unittest.TestCase):
    """Three daemons in two zones apply tickets and forward requests."""

    cluster: LocalCluster
    next_number: int

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = LocalCluster()
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start_platform({"vms": {"list_lag_seconds": 0.5}})
        targets = [TargetSettings(f"runner-{index}") for index in range(2)]
        cls.cluster.start_targets(targets, ZONES)
        cls.cluster.start_daemons(DAEMONS, ZONES, SETTINGS)
        cls.next_number = 1

    def build_ticket(self, **parts: Any) -> Ticket:
        return Ticket(number=self.next_number, author="tester", **parts)

    def file(self, daemon: str, ticket: Ticket) -> None:
        status, _ = self.cluster.file_ticket(daemon, ticket)
        self.assertEqual(status, 201)
        type(self).next_number += 1

    def setUp(self) -> None:
        if self.next_number == 1:
            pool = Pool("quotes", PoolKind.RUNNERS, "quotes", 1)
            self.file("entry-0", self.cluster.build_ticket(ZONES, pool))
            self.cluster.wait_in_force("entry-0", 1)

    def test_every_daemon_serves_once_a_ticket_is_in_force(self) -> None:
        pool = Pool("spare", PoolKind.RUNNERS, "extra", 0, spare=True)
        ticket = self.build_ticket(pools=(pool,))
        self.file("entry-1", ticket)
        self.cluster.wait_in_force("entry-1", ticket.number)
        for name in DAEMONS:
            pools = self.cluster.call_admin(name, "GET", "/pools")[1]
            names = [item["pool"]["name"] for item in pools]
            self.assertIn("spare", names)
            answer = self.cluster.send(name, Call("quotes"))
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.headers["X-Ran"], "yes")

    def test_a_killed_daemon_is_replaced_by_an_empty_one(self) -> None:
        self.cluster.end("entry-2", signal.SIGKILL)
        self.cluster.start_daemon("entry-2", ZONES[0], SETTINGS)
        self.cluster.wait_ready("entry-2")
        status = self.cluster.call_admin("entry-2", "GET", "/status")[1]
        self.assertEqual(status["ticket"], self.next_number - 1)
        answer = self.cluster.send("entry-2", Call("quotes"))
        self.assertEqual(answer.status, 200)

    def test_bad_tickets_are_refused_and_change_nothing(self) -> None:
        number = self.next_number
        unknown = {
            "number": number,
            "author": "tester",
            "vms": [
                {
                    "name": "x",
                    "pool": "no-pool",
                    "zone": "no-zone",
                    "rack": "r",
                    "address": "127.0.0.1:1",
                }
            ],
        }
        cases = [
            ([1], 400, "DecodeFailure"),
            ({"number": "one"}, 400, "DecodeFailure"),
            ({**unknown, "colour": 1}, 400, "DecodeFailure"),
            (unknown, 400, "InvalidTicketFailure"),
            (
                {"number": number + 5, "author": "a"},
                409,
                "TicketNumberFailure",
            ),
        ]
        for body, status, error in cases:
            response = self.cluster.call_admin(
                "entry-0", "POST", "/tickets", body
            )
            self.assertEqual(
                (response[0], response[1]["error"]), (status, error)
            )
        answer = self.cluster.call_admin("entry-0", "GET", "/status")[1]
        self.assertEqual(answer["ticket"], number - 1)
        refusals = self.cluster.call_admin("entry-1", "GET", "/refusals")[1]
        recorded = [item["failure"] for item in refusals]
        names = ["InvalidTicketFailure", "TicketNumberFailure"]
        self.assertEqual(recorded[-2:], names)

    def test_refuses_text_that_is_not_json_and_oversized_bodies(self) -> None:
        address = self.cluster.daemons["entry-0"].admin
        url = f"http://{address}/api/v1/tickets"
        answer = urllib3.request("POST", url, body=b"{not json")
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.json()["error"], "DecodeFailure")
        headers = {"Content-Length": str(10**10)}
        answer = urllib3.request(
            "POST", url, body=b"", headers=headers, retries=False
        )
        self.assertEqual(answer.status, 413)

    def test_closes_a_connection_whose_body_arrives_too_slowly(self) -> None:
        host, port = self.cluster.daemons["entry-0"].admin.split(":")
        head = b"POST /api/v1/tickets HTTP/1.1\r\nHost: a\r\n"
        with socket.create_connection((host, int(port))) as client:
            client.settimeout(0.2)
            client.sendall(head + b"Content-Length: 100000\r\n\r\n")
            wait_until("connection closed", lambda: self.is_closed(client))

    def is_closed(self, client: socket.socket) -> bool:
        """Send one byte; return whether the daemon closed the connection."""
        try:
            client.sendall(b" ")
            return client.recv(1000) == b""
        except TimeoutError:
            return False
        except OSError:
            return True

    def test_answers_404_for_what_does_not_exist(self) -> None:
        status, answer = self.cluster.call_admin(
            "entry-0", "GET", "/tickets/999"
        )
        self.assertEqual(status, 404)
        self.assertEqual(answer["error"], "UnknownTicketFailure")
        status, answer = self.cluster.call_admin("entry-0", "GET", "/nothing")
        self.assertEqual(status, 404)
        self.assertEqual(answer["error"], "HttpFailure")

    def test_writes_nothing_to_standard_output(self) -> None:
        for _ in range(20):
            self.cluster.call_admin("entry-1", "GET", "/status")
        self.assertEqual(self.cluster.read_output("entry-1"), b"")

    def test_answers_health_readiness_and_metrics(self) -> None:
        address = self.cluster.daemons["entry-1"].admin
        for path, word in (
            ("healthz", "ok"),
            ("readyz", "ready"),
            ("metrics", "chestnutstair_request_outcomes_total"),
        ):
            answer = urllib3.request("GET", f"http://{address}/{path}")
            self.assertEqual(answer.status, 200)
            self.assertIn(word, answer.data.decode())
