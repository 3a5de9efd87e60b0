"""Tests of the callers' HTTP server, end to end over sockets."""

import http.client
import json
import socket
import threading
import unittest

from chestnutstair.protocol.callers import CallSettings
from chestnutstair.state.deadline import SystemClock
from chestnutstair.tests.requests_support import (
    ScriptedTarget,
    build_forwarder,
    build_runner_log,
)
from chestnutstair.transport.callers import (
    build_callers_application,
    build_callers_server,
)
from chestnutstair.transport.reaper import SocketReaper
from chestnutstair.transport.targets import HttpTargetClient, TargetSettings


def echo(sock: socket.socket) -> None:
    """Answer every request with its request line and body."""
    reader = sock.makefile("rb")
    while line := reader.readline():
        size = 0
        while (header := reader.readline()) not in (b"\r\n", b""):
            if header.lower().startswith(b"content-length:"):
                size = int(header.split(b":")[1])
        body = line.strip() + b"|" + reader.read(size)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
        head += "Server: target\r\n"
        cookies = "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\n"
        is_head = line.startswith(b"HEAD")
        answer = head.encode() + cookies.encode()
        sock.sendall(answer + (b"" if is_head else body))


class CallersTest(unittest.TestCase):
    """Requests are forwarded unchanged; invalid ones report `X-Ran: no`."""

    def setUp(self) -> None:
        clock = SystemClock()
        self.target = ScriptedTarget(echo)
        self.addCleanup(self.target.close)
        self.reaper = SocketReaper(clock)
        self.addCleanup(self.reaper.stop)
        log = build_runner_log(clock, [self.target.address])
        client = HttpTargetClient(clock, TargetSettings(), self.reaper)
        forwarder, _ = build_forwarder(log, client, clock)
        self.forwarder = forwarder
        settings = CallSettings(body_bytes=1000)
        application = build_callers_application(forwarder, settings, clock)
        self.server = build_callers_server(
            application, ("127.0.0.1", 0), settings, 4
        )
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.addCleanup(self.server.stop)
        self.port = self.server.bind_addr[1]

    def call(self, method: str, path: str, body=None, **headers):  # type: ignore[no-untyped-def]
        connection = http.client.HTTPConnection("127.0.0.1", self.port, 10)
        self.addCleanup(connection.close)
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response, response.read()

    def test_forwards_raw_path_and_body(self) -> None:
        path = "/call/quotes/default/a%2Fb?service=x&y=%FF"
        response, body = self.call("POST", path, b"hello")
        expected = b"POST /default/a%2Fb?service=x&y=%FF HTTP/1.1|hello"
        self.assertEqual(body, expected)
        self.assertEqual(response.headers["X-Ran"], "yes")
        cookies = response.headers.get_all("Set-Cookie")
        self.assertEqual(cookies, ["a=1", "b=2"])

    def test_sends_replaced_headers_once(self) -> None:
        response, body = self.call("HEAD", "/call/quotes/abc")
        self.assertEqual(body, b"")
        self.assertEqual(response.headers["Content-Length"], "19")
        self.assertEqual(response.headers.get_all("Server"), ["target"])

    def test_keeps_the_callers_request_id(self) -> None:
        headers = {"Idempotency-Key": "order-7"}
        response, _ = self.call("GET", "/call/quotes/", **headers)
        self.assertEqual(response.headers["X-Request-Id"], "order-7")

    def test_refuses_bad_requests_as_not_run(self) -> None:
        cases: tuple[tuple[int, str, dict[str, str]], ...] = (
            (404, "/call/nothing/", {}),
            (404, "/call/quotes", {}),
            (400, "/call/quotes/", {"X-Timeout-Ms": "-5"}),
            (400, "/call/quotes/", {"X-Idempotent": "maybe"}),
            (400, "/call/quotes/", {"Idempotency-Key": "x" * 201}),
            (400, "/call/quotes/", {"Content-Length": "-5"}),
            (413, "/call/quotes/", {"Content-Length": "1001"}),
        )
        for status, path, headers in cases:
            with self.subTest(path=path, headers=headers):
                response, body = self.call("POST", path, None, **headers)
                self.assertEqual(response.status, status)
                self.assertEqual(response.headers["X-Ran"], "no")
                self.assertIn("error", json.loads(body))
        self.assertEqual(self.target.connections, 0)

    def test_stop_closes_kept_alive_connections(self) -> None:
        response, _ = self.call("GET", "/call/quotes/")
        self.assertNotIn("Connection", response.headers)
        self.forwarder.begin_stop()
        response, _ = self.call("GET", "/call/quotes/")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers["Connection"], "close")
