"""Malformed input neither blocks the callers' server nor is forwarded."""

import contextlib
import errno
import socket
import threading
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from result import Ok, Result

from chestnutstair.coordination.request import Answer, Ran, Request
from chestnutstair.coordination.target import TargetAnswer, TargetFailure
from chestnutstair.protocol.callers import CallSettings
from chestnutstair.state.deadline import SystemClock
from chestnutstair.state.fleet import Vm
from chestnutstair.tests.requests_support import (
    FakeTargetClient,
    build_forwarder,
    build_runner_log,
)
from chestnutstair.transport.callers import (
    build_callers_application,
    build_callers_server,
)

THREADS = 3
SMUGGLED_REQUEST = b"POST /call/quotes/smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
LENGTHS = st.sampled_from(
    ["0", "3", "5", "-1", "+5", "5_0", "0x5", "", " 5", "9" * 30, "5, 5", "é"]
)
HEADERS = st.lists(
    st.one_of(
        st.tuples(st.just("Content-Length"), LENGTHS),
        st.tuples(
            st.just("Transfer-Encoding"),
            st.sampled_from(
                ["chunked", "gzip", "chunked, chunked", "xchunked"]
            ),
        ),
        st.tuples(
            st.sampled_from(["X-Timeout-Ms", "X-Idempotent", "X-Urgency"]),
            st.sampled_from(["", "1", "0", "-1", "true", "9" * 40, "\x7f"]),
        ),
        st.tuples(st.just("X-Long"), st.just("x" * 5000)),
        st.tuples(st.just("Expect"), st.just("100-continue")),
    ),
    max_size=4,
)
BODIES = st.sampled_from(
    [
        b"",
        b"hello",
        b"5\r\nhello\r\n0\r\n\r\n",
        b"5\r\nhel",
        b"zz\r\nhello\r\n",
        b"-5\r\nhello\r\n0\r\n\r\n",
        b"fffffffffffffff\r\nhello",
    ]
)
REQUEST_LINES = st.sampled_from(
    [
        b"POST /call/quotes/a HTTP/1.1",
        b"GET /call/quotes/a HTTP/1.1",
        b"POST /call/../x HTTP/1.1",
        b"POST call HTTP/1.1",
        b"POST /call/quotes/\xff%zz HTTP/1.1",
        b"\x00\x01",
        b"POST /call/quotes/a HTTP/9.9",
    ]
)


class CallersFuzzTest(unittest.TestCase):
    """Malformed, slow and smuggled requests to a server of 3 threads."""

    def setUp(self) -> None:
        clock = SystemClock()
        self.paths: list[str] = []
        log = build_runner_log(clock, ["127.0.0.1:1"])
        forwarder, _ = build_forwarder(
            log, FakeTargetClient(self.answer), clock
        )
        limits = CallSettings(
            body_bytes=1000, header_bytes=4000, read_seconds=0.3
        )
        application = build_callers_application(forwarder, limits, clock)
        self.server = build_callers_server(
            application, ("127.0.0.1", 0), limits, THREADS, clock=clock
        )
        setattr(self.server, "error_log", lambda *_, **__: None)  # noqa: B010
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.addCleanup(self.server.stop)
        self.address = self.server.bind_addr

    def answer(
        self, vm: Vm, request: Request
    ) -> Result[TargetAnswer, TargetFailure]:
        self.paths.append(request.path)
        body = request.path.encode("latin-1") + b"|" + request.body
        return Ok(TargetAnswer(Answer(200, (), body), Ran.YES))

    def exchange(self, data: bytes) -> bytes:
        """Send, then read until the server closes the connection."""
        received = b""
        with (
            socket.create_connection(self.address, 10) as sock,
            contextlib.suppress(ConnectionError),
        ):
            sock.sendall(data)
            try:
                sock.shutdown(socket.SHUT_WR)
            except OSError as error:
                self.assertEqual(error.errno, errno.ENOTCONN)
            while part := sock.recv(65536):
                received += part
        return received

    def assert_serves(self) -> None:
        data = b"GET /call/quotes/alive HTTP/1.1\r\nHost: a\r\n\r\n"
        self.assertIn(b"/alive|", self.exchange(data))

    @settings(
        max_examples=300,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(REQUEST_LINES, HEADERS, BODIES)
    def test_any_input_is_answered_or_closed(
        self, line: bytes, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        lines = [f"{name}: {value}".encode() for name, value in headers]
        head = b"\r\n".join([line, b"Host: a", *lines, b"", b""])
        received = self.exchange(head + body)
        if received:
            self.assertTrue(received.startswith(b"HTTP/1."), received[:50])
        self.assert_serves()

    def test_refused_body_is_never_read_as_a_request(self) -> None:
        chunked = b"Transfer-Encoding: chunked\r\n"
        cases = (
            (b"X-Idempotent: maybe\r\n" + chunked, b"5\r\n"),
            (chunked, b"zz\r\n"),
            (chunked, b"-1\r\n"),
            (chunked, b"0\r\nX-Trailer: 1\r\n"),
            (b"Content-Length: -1\r\n", b""),
            (b"Content-Length: 2000\r\n", b""),
            (b"Content-Length: 0x30\r\n", b""),
            (b"Content-Length: +5\r\n", b"hello"),
        )
        for headers, body in cases:
            with self.subTest(headers=headers, body=body):
                head = b"POST /call/quotes/a HTTP/1.1\r\nHost: a\r\n"
                self.exchange(
                    head + headers + b"\r\n" + body + SMUGGLED_REQUEST
                )
                self.assertNotIn("/smuggled", self.paths)

    def test_errors_before_the_dispatch_report_not_run(self) -> None:
        received = self.exchange(b"GET /call/quotes/a HTTP/1.1\r\n\r\n")
        self.assertIn(b"400", received[:20])
        self.assertIn(b"X-Ran: no", received)
        self.assertNotIn(b"Traceback", received)

    def test_slow_input_occupies_no_thread(self) -> None:
        head = b"POST /call/quotes/a HTTP/1.1\r\nHost: a\r\n"
        slow = (
            head,
            head + b"Content-Length: 900\r\n\r\nhel",
            head + b"Transfer-Encoding: chunked\r\n\r\n1f4\r\nhel",
        )
        stop = threading.Event()
        self.addCleanup(stop.set)
        for start in slow * 2:
            threading.Thread(
                target=self.send_slowly, args=(start, stop), daemon=True
            ).start()
        self.assert_serves()
        self.assertNotIn("/a", self.paths)

    def send_slowly(self, start: bytes, stop: threading.Event) -> None:
        with socket.create_connection(self.address, 10) as sock:
            try:
                sock.sendall(start)
                while not stop.wait(0.05):
                    sock.sendall(b"x")
            except OSError:
                return
