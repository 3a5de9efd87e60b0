"""Tests of calls that were given up."""

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
    """A call that was given up does not arrive later.

    papagalaki-sched-grown trouble-1 at 39.8 s: an order to a VM, sent while
    the link was cut, arrived after it had healed, with a lower fence than
    the next leader's (ONE).
    """

    def is_reset(self, resets: bool) -> bool:
        """Give a call up; tell whether its connection ends by a reset."""
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

    def test_a_call_that_was_given_up_resets_its_connection(self) -> None:
        # A reset discards what has not been sent; a plain close sends it.
        self.assertTrue(self.is_reset(resets=True))

    def test_other_connections_are_closed(self) -> None:
        self.assertFalse(self.is_reset(resets=False))
