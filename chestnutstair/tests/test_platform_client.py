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
