"""Tests of calls that were abandoned at their deadline."""

import socket
import threading
import unittest

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
