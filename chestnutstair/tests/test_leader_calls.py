"""Tests of calls between nodes that are answered by something unexpected."""

import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.state.deadline import SystemClock
from chestnutstair.transport.leader_calls import HttpLeaderLink


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

    def test_an_object_without_the_fields_counts_as_unavailable(self) -> None:
        self.server.body = b"{}"  # type: ignore[attr-defined]
        answer = self.link.ask_status(self.address, 2.0)
        self.assertIsInstance(answer.err(), UnavailableFailure)
