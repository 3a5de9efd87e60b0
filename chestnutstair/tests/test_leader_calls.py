"""Tests of calls between nodes, also with nodes of other versions."""

import io
import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.scheduling.access import JobOwner
from chestnutstair.scheduling.election import LeaderStatus
from chestnutstair.scheduling.members import MAX_CALLS_PER_SECOND, Members
from chestnutstair.state.deadline import SystemClock
from chestnutstair.tests.support import ManualClock
from chestnutstair.transport.leader_calls import (
    HttpLeaderLink,
    build_node_application,
)


class _UnexpectedAnswer(BaseHTTPRequestHandler):
    """Answers each call with a JSON object of its server's choice."""

    def do_GET(self) -> None:
        """Answer a call."""
        body: bytes = self.server.body  # type: ignore[attr-defined]
        self.server.path = self.path  # type: ignore[attr-defined]
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self) -> None:
        """Answer a call."""
        self.rfile.read(int(self.headers["Content-Length"]))
        self.do_GET()

    def log_message(self, *_: object) -> None:
        """Log nothing."""


class StatusTest(unittest.TestCase):
    """An answer that is no status counts as no answer."""

    def setUp(self) -> None:
        self.server = HTTPServer(("127.0.0.1", 0), _UnexpectedAnswer)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.link = HttpLeaderLink(SystemClock(), lambda shard: self.address)

    def test_unexpected_answers_are_failures(self) -> None:
        # The address may belong to a node of another version, or have gone
        # to another program; an error would end the check of the leader.
        for body in (b"{}", b'{"leading": true, "shard": 1}', b"[]", b"x"):
            with self.subTest(body=body):
                self.server.body = body  # type: ignore[attr-defined]
                answer = self.link.ask_status(self.address, 2.0)
                self.assertTrue(answer.is_err())

    def test_a_status_with_fields_of_a_later_version_is_read(self) -> None:
        status = {
            "leading": True,
            "epoch": 2,
            "age_seconds": 0.1,
            "configuration_version": 3,
        }
        later = {**status, "poll_seconds": 1.5, "later": 1}
        for body, poll_seconds in ((status, 0.0), (later, 1.5)):
            self.server.body = json.dumps(body).encode()  # type: ignore[attr-defined]
            answer = self.link.ask_status(self.address, 2.0).unwrap()
            self.assertEqual(
                answer,
                LeaderStatus(True, 2, 0.1, 3, poll_seconds=poll_seconds),
            )

    def test_an_object_without_the_fields_counts_as_unavailable(self) -> None:
        self.server.body = b"{}"  # type: ignore[attr-defined]
        answer = self.link.ask_status(self.address, 2.0)
        self.assertIsInstance(answer.err(), UnavailableFailure)

    def set_answer(self, **fields: Any) -> None:
        body = json.dumps(fields).encode()
        self.server.body = body  # type: ignore[attr-defined]

    # A node of an earlier version stores nothing for a job that it does not
    # find, and a late write of the submission would start the job.
    def test_an_unknown_job_counts_as_cancelled_only_if_it_is_stored(
        self,
    ) -> None:
        for fields, known in (
            ({"known": True}, True),
            ({"known": True, "stored": True}, True),
            ({"known": False, "stored": True}, False),
            ({"known": False}, None),
            ({"known": False, "stored": False}, None),
            ({"known": False, "stored": 1}, None),
        ):
            with self.subTest(fields=fields):
                self.set_answer(**fields)
                answer = self.link.relay_cancel("j", 2.0)
                self.assertEqual(answer.ok(), known)

    # Nodes of other versions run beside this one.
    def test_statuses_of_other_versions_are_read(self) -> None:
        fields = {
            "leading": True,
            "epoch": 3,
            "age_seconds": 0.1,
            "configuration_version": 7,
        }
        self.set_answer(**fields)
        answer = self.link.ask_status(self.address, 2.0)
        self.assertEqual(answer.unwrap(), LeaderStatus(True, 3, 0.1, 7))
        self.set_answer(
            **fields, leader_address="a:1", members=["b:1", 7], later={}
        )
        answer = self.link.ask_status(self.address, 2.0)
        expected = LeaderStatus(True, 3, 0.1, 7, "a:1", ("b:1",))
        self.assertEqual(answer.unwrap(), expected)
        self.set_answer(**fields, members=7)
        self.assertTrue(self.link.ask_status(self.address, 2.0).is_err())

    def test_a_call_says_who_makes_it(self) -> None:
        self.server.body = b"{}"  # type: ignore[attr-defined]
        link = HttpLeaderLink(
            SystemClock(), lambda shard: "", name="me", address="10.0.0.1:7"
        )
        link.ask_status(self.address, 2.0)
        path = self.server.path  # type: ignore[attr-defined]
        self.assertEqual(
            path, "/node/status?name=me&address=10.0.0.1%3A7&shard=0"
        )
        link.ask_member_status(self.address, 2.0)
        path = self.server.path  # type: ignore[attr-defined]
        self.assertIn("member=1", path)

    def test_owners(self) -> None:
        owner = {"organisation": "one", "queue": "r-quick", "public": False}
        self.set_answer(state="running", owner=owner)
        answer = self.link.ask_job_owner("a", 2.0).unwrap()
        self.assertEqual(answer, JobOwner("one", "r-quick", False))
        self.set_answer(state="", owner=None)
        self.assertIsNone(self.link.ask_job_owner("a", 2.0).unwrap())
        # A leader of the previous version, which knows no organisations.
        self.set_answer(state="running")
        self.assertTrue(self.link.ask_job_owner("a", 2.0).is_err())


class StatusAnswerTest(unittest.TestCase):
    """A node answers status calls and remembers who made them."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.members = Members("me:1", self.clock)
        handler: Any = None
        status = LeaderStatus(True, 3, 0.1, 7, "me:1")
        self.application = build_node_application(
            lambda shard, poller: status,
            lambda shard: None,
            lambda: None,
            handler,
            self.clock,
            self.members,
        )

    def ask(self, query: str) -> tuple[int, dict[str, Any]]:
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": "/node/status",
            "QUERY_STRING": query,
        }
        body = b"".join(
            self.application(
                environ, lambda status, _: statuses.append(status)
            )
        )
        return int(statuses[0].split()[0]), json.loads(body)

    # Guards against nodes of the previous version taking the leader for lost:
    # they accept no status with fields that they don't know.
    def test_a_node_of_the_previous_version_gets_its_fields_only(self) -> None:
        status, fields = self.ask("")
        self.assertEqual(status, 200)
        self.assertEqual(
            fields,
            {
                "leading": True,
                "epoch": 3,
                "age_seconds": 0.1,
                "configuration_version": 7,
            },
        )
        self.assertEqual(self.members.choose(9), [])

    def test_a_caller_is_remembered_and_told_of_others(self) -> None:
        self.ask("name=b&address=b%3A1")
        _, fields = self.ask("name=a&address=a%3A1")
        self.assertEqual(fields["leader_address"], "me:1")
        self.assertEqual(set(fields["members"]), {"a:1", "b:1"})

    # Guards against a leader on a slow link whose statuses fill it.
    def test_members_are_named_to_a_node_every_two_seconds(self) -> None:
        query = "name=a&address=a%3A1"
        named = []
        for _ in range(16):
            named.append(bool(self.ask(query)[1]["members"]))
            self.clock.now += 0.25
        self.assertEqual(named, ([True] + [False] * 7) * 2)
        # A node that has been replaced knows no members.
        _, fields = self.ask("name=a&address=a%3A2")
        self.assertEqual(fields["members"], ["a:2"])

    def test_an_address_that_is_too_long_is_not_remembered(self) -> None:
        self.ask(f"name=a&address={'a' * 300}")
        self.assertEqual(self.members.sample_heard(), ())

    # Guards against a node that is overloaded by the nodes which the store
    # refuses; the leader's own polls are not limited here.
    def test_the_calls_of_members_are_bounded(self) -> None:
        query = "name=a&address=a%3A1&member=1"
        for _ in range(MAX_CALLS_PER_SECOND):
            self.assertEqual(self.ask(query)[0], 200)
        self.assertEqual(self.ask(query)[0], 429)
        self.assertEqual(self.ask("name=a&address=a%3A1")[0], 200)
        self.clock.now += 1.0
        self.assertEqual(self.ask(query)[0], 200)


class OldNodeTest(unittest.TestCase):
    """Nodes of the first version run beside this one, with one shard.

    They reject a status with fields that they do not know, and would take a
    term over although its leader answers.
    """

    def setUp(self) -> None:
        self.asked: list[tuple[int, str]] = []
        unused: Any = None
        self.application = build_node_application(
            self.describe,
            unused,
            unused,
            unused,
            SystemClock(),
            Members("me:1", SystemClock()),
        )

    def describe(self, shard: int, poller: str) -> LeaderStatus:
        self.asked.append((shard, poller))
        return LeaderStatus(
            True, 1, 0.0, 4, poll_seconds=0.25, leaders=("a:1",)
        )

    def ask(self, query: str) -> dict[str, object]:
        environ = {
            "PATH_INFO": "/node/status",
            "REQUEST_METHOD": "GET",
            "QUERY_STRING": query,
            "wsgi.input": io.BytesIO(),
        }
        (body,) = self.application(environ, lambda status, headers: None)
        return dict(json.loads(body))

    def test_a_node_of_the_first_version_gets_only_its_fields(self) -> None:
        self.assertEqual(
            set(self.ask("")),
            {"leading", "epoch", "age_seconds", "configuration_version"},
        )
        self.assertEqual(self.asked, [(0, "")])

    def test_a_node_of_this_version_gets_all_fields_of_its_shard(
        self,
    ) -> None:
        status = self.ask("name=node-1&shard=3")
        self.assertEqual(status["poll_seconds"], 0.25)
        self.assertEqual(status["leaders"], ["a:1"])
        self.assertEqual(self.asked, [(3, "node-1")])
