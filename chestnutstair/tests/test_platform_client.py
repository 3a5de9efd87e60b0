"""Tests of calls that were abandoned at their deadline."""

import socket
import threading
import unittest
from unittest import mock

from chestnutstair.standins.webserver import HOST
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.transport.platform_client import (
    PlatformClient,
    PlatformClientSettings,
)

CALL_SECONDS = 0.2
WAIT_SECONDS = 5.0


class ResetTest(unittest.TestCase):
    """An abandoned call does not arrive later.

    Without a reset, an order that was sent to a VM while the link was cut
    arrived after the link worked again, with a lower fencing token than that
    of the next leader.
    """

    def is_reset(self, resets: bool) -> bool:
        """Abandon a call; return whether its connection ends with a reset."""
        clock = SystemClock()
        with socket.create_server((HOST, 0)) as server:
            address = f"http://{HOST}:{server.getsockname()[1]}"
            settings = PlatformClientSettings(1, resets)
            client = PlatformClient(address, "", "", clock, settings)
            accepted: list[socket.socket] = []
            thread = threading.Thread(
                target=lambda: accepted.append(server.accept()[0])
            )
            thread.start()
            deadline = Deadline.after(clock, CALL_SECONDS)
            answer = client.send("POST", "/order", b"{}", deadline)
            self.assertTrue(answer.is_err())
            thread.join(WAIT_SECONDS)
            with accepted[0] as connection:
                connection.settimeout(WAIT_SECONDS)
                try:
                    while connection.recv(1024):
                        pass
                except ConnectionResetError:
                    return True
                return False

    def test_abandoned_call_resets_its_connection(self) -> None:
        # A reset discards unsent data; a plain close still sends it.
        self.assertTrue(self.is_reset(resets=True))

    def test_other_connections_are_closed(self) -> None:
        self.assertFalse(self.is_reset(resets=False))


class SendTest(unittest.TestCase):
    """A call costs few system calls.

    A leader makes two calls for each task, and a thousand starts a second
    took all of its processor.
    """

    def call(self) -> tuple[list[bytes], bytes]:
        """Make a call; return what was sent in each piece, and all of it."""
        clock = SystemClock()
        received = b""
        with socket.create_server((HOST, 0)) as server:

            def answer() -> None:
                nonlocal received
                connection, _ = server.accept()
                with connection:
                    connection.settimeout(WAIT_SECONDS)
                    while not received.endswith(b'{"run":1}'):
                        received += connection.recv(4096)
                    connection.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                    )

            thread = threading.Thread(target=answer)
            thread.start()
            address = f"http://{HOST}:{server.getsockname()[1]}"
            client = PlatformClient(address, "", "", clock)
            pieces: list[bytes] = []
            send_all = socket.socket.sendall

            def record(connection: socket.socket, data: bytes) -> None:
                if data.startswith(b"POST") or data.startswith(b"{"):
                    pieces.append(bytes(data))
                send_all(connection, data)

            with mock.patch.object(socket.socket, "sendall", record):
                result = client.send(
                    "POST",
                    "/order",
                    b'{"run":1}',
                    Deadline.after(clock, WAIT_SECONDS),
                    {"X-Expect": "w1"},
                )
                thread.join(WAIT_SECONDS)
            self.assertTrue(result.is_ok())
        return pieces, received

    def test_headers_and_body_are_sent_together(self) -> None:
        # Two pieces are two packets, which wake the other side twice.
        pieces, received = self.call()
        self.assertEqual(len(pieces), 1)
        self.assertIn(b"X-Expect: w1\r\n", received)

    def test_headers_without_use_are_not_sent(self) -> None:
        # Each header costs as much as reading a short body.
        _, received = self.call()
        lines = received.partition(b"\r\n\r\n")[0].splitlines()[1:]
        names = {line.partition(b":")[0] for line in lines}
        self.assertEqual(names, {b"Host", b"Content-Length", b"X-Expect"})


class SilentServer:
    """Answers calls; connections that were open at `silence()` go silent."""

    def __init__(self) -> None:
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        self.accepted: list[socket.socket] = []
        self._silent: set[socket.socket] = set()
        self.barrier: threading.Barrier | None = None
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        while connection.recv(4096):
            barrier = self.barrier
            if barrier is not None:
                barrier.wait(WAIT_SECONDS)
            if connection not in self._silent:
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                )

    def silence(self) -> None:
        """Carry nothing more on the connections that are open."""
        self._silent.update(self.accepted)

    def close(self) -> None:
        """Close all connections."""
        for item in (self._listener, *self.accepted):
            item.close()


class SilentConnectionTest(unittest.TestCase):
    """Guards against orders that arrive seconds late.

    After one call had timed out, those made together took the other kept
    connections, which had gone silent as well, and timed out in turn.
    """

    def setUp(self) -> None:
        self.server = SilentServer()
        self.addCleanup(self.server.close)
        self.clock = SystemClock()
        address = f"http://{HOST}:{self.server.port}"
        self.client = PlatformClient(address, "", "", self.clock)

    def call(self, seconds: float = WAIT_SECONDS) -> bool:
        deadline = Deadline.after(self.clock, seconds)
        return self.client.send("POST", "/order", b"{}", deadline).is_ok()

    def call_together(self, count: int) -> list[bool]:
        """Make calls at the same time, each on a connection of its own.

        Return whether they were answered.
        """
        outcomes: list[bool] = []
        self.server.barrier = threading.Barrier(count)
        calls = [
            threading.Thread(target=lambda: outcomes.append(self.call()))
            for _ in range(count)
        ]
        for call in calls:
            call.start()
        for call in calls:
            call.join(WAIT_SECONDS)
        self.server.barrier = None
        return outcomes

    def test_one_call_times_out_for_all_silent_connections(self) -> None:
        self.call_together(4)
        self.server.silence()
        self.assertFalse(self.call(CALL_SECONDS))
        self.assertEqual(self.call_together(4), [True] * 4)
        self.assertEqual(len(self.server.accepted), 8)

    # New connections to workers are dear: a slow call must not cost one for
    # each that is kept.
    def test_connections_that_answer_meanwhile_are_kept(self) -> None:
        self.call_together(2)
        self.server._silent.add(self.server.accepted[0])
        self.server.barrier = threading.Barrier(2)
        outcomes: list[bool] = []
        slow = [
            threading.Thread(
                target=lambda: outcomes.append(self.call(CALL_SECONDS))
            )
            for _ in range(2)
        ]
        for call in slow:
            call.start()
        for call in slow:
            call.join(WAIT_SECONDS)
        self.server.barrier = None
        self.assertEqual(sorted(outcomes), [False, True])
        self.call_together(2)
        self.assertEqual(len(self.server.accepted), 3)
