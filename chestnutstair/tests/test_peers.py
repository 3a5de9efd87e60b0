"""Tests of the streams between daemons."""

import queue
import time
import unittest

from chestnutstair.coordination.gossip import FactsMessage
from chestnutstair.coordination.replication import PullMessage
from chestnutstair.transport.links import LinkSettings
from chestnutstair.transport.peers import PeerNetwork, PeerSettings


class PeerNetworkTest(unittest.TestCase):
    """Messages arrive in order, and streams reconnect."""

    def open_network(self, name: str, port: int = 0) -> PeerNetwork:
        settings = PeerSettings(
            port=port,
            link=LinkSettings(
                keepalive_seconds=0.3, keepalive_limit_seconds=0.3
            ),
        )
        network = PeerNetwork(name, f"{name}-run", [PullMessage], settings)
        network.start()
        return network

    def send_until_received(
        self, network: PeerNetwork, inbox: queue.Queue, after: int
    ) -> None:
        """Repeat a message until it arrives, as messages may be lost."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            network.send("b", PullMessage(after))
            try:
                if inbox.get(timeout=0.2) == ("a", PullMessage(after)):
                    return
            except queue.Empty:
                continue
        self.fail("no message arrived")

    def test_delivers_in_order_and_reconnects(self) -> None:
        inbox: queue.Queue = queue.Queue()
        sender = self.open_network("a")
        self.addCleanup(sender.close)
        receiver = self.open_network("b")
        receiver.add_handler(PullMessage, lambda *args: inbox.put(args))
        sender.set_peers({"b": receiver.address}, {"b"})
        for after in range(100):
            self.assertTrue(sender.send("b", PullMessage(after)))
        received = [inbox.get(timeout=20)[1].after for _ in range(100)]
        self.assertEqual(received, list(range(100)))

        port = int(receiver.address.rpartition(":")[2])
        receiver.close()
        restarted = self.open_network("b", port)
        self.addCleanup(restarted.close)
        restarted.add_handler(PullMessage, lambda *args: inbox.put(args))
        self.send_until_received(sender, inbox, 1000)

    def test_ignores_unknown_messages(self) -> None:
        inbox: queue.Queue = queue.Queue()
        sender = self.open_network("a")
        self.addCleanup(sender.close)
        receiver = self.open_network("b")
        self.addCleanup(receiver.close)
        receiver.add_handler(PullMessage, lambda *args: inbox.put(args))
        sender.set_peers({"b": receiver.address}, ())
        sender.send("b", FactsMessage(()))
        self.send_until_received(sender, inbox, 1)

    def test_drops_messages_without_address_or_queue_room(self) -> None:
        sender = self.open_network("a")
        self.addCleanup(sender.close)
        self.assertFalse(sender.send("b", PullMessage(0)))
        sender.set_peers({"b": "127.0.0.1:1"}, ())
        sent = [sender.send("b", PullMessage(0)) for _ in range(2000)]
        self.assertIn(False, sent)
