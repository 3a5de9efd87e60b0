"""Tests of calls between nodes that are answered by something unexpected."""

import io
import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.scheduling.election import LeaderStatus
from chestnutstair.state.deadline import SystemClock
from chestnutstair.transport.leader_calls import (
    HttpLeaderLink,
    build_node_application,
)


class _UnexpectedAnswer(BaseHTTPRequestHandler):
    """Answers each call with a JSON object of its server's choice."""

    def do_GET(self) -> None:
        """Answer a call."""
        body: bytes = self.server.body  # type: ignore[attr-defined]
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

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
                answer, LeaderStatus(True, 2, 0.1, 3, poll_seconds)
            )

    def test_an_object_without_the_fields_counts_as_unavailable(self) -> None:
        self.server.body = b"{}"  # type: ignore[attr-defined]
        answer = self.link.ask_status(self.address, 2.0)
        self.assertIsInstance(answer.err(), UnavailableFailure)


class OldNodeTest(unittest.TestCase):
    """Nodes of the first version run beside this one, with one shard.

    They reject a status with fields that they do not know, and would take a
    term over although its leader answers.
    """

    def setUp(self) -> None:
        self.asked: list[tuple[int, str]] = []
        unused: Any = None
        self.application = build_node_application(
            self.describe, unused, unused, unused, SystemClock()
        )

    def describe(self, shard: int, poller: str) -> LeaderStatus:
        self.asked.append((shard, poller))
        return LeaderStatus(True, 1, 0.0, 4, 0.25, ("a:1",))

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
