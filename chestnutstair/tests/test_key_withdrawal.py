"""Tests of keys at complete nodes, some of which the store refuses."""

import json
import time
import unittest
from collections.abc import Callable
from typing import Any

import urllib3
from result import Err

from chestnutstair.coordination.platform import RefusedFailure
from chestnutstair.fleet_node import FleetNode
from chestnutstair.fleet_settings import FleetSettings
from chestnutstair.standins.ports import pick_port
from chestnutstair.standins.webserver import HOST
from chestnutstair.state.deadline import SystemClock
from chestnutstair.tests.platform_emulator import PlatformEmulator
from chestnutstair.tests.support import wait_until

NODES = 6
# From the store's confirmation of a configuration until it is in force.
APPLY_SECONDS = 3.0


class KeyWithdrawalTest(unittest.TestCase):
    """Six nodes, two of which the store refuses when a test says so."""

    def setUp(self) -> None:
        self.platform = PlatformEmulator()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.platform.configure(2, ["quick"])
        # Without VMs no node decides the layout, and none leads.
        self.platform.add_runner("one")
        self.configure(3, "k-old")
        self.http = urllib3.PoolManager(retries=False, timeout=10.0)
        self.nodes: list[FleetNode] = []
        # Names of the nodes that the store refuses.
        self.refused: set[str] = set()
        self.addresses: dict[FleetNode, str] = {}
        for _ in range(NODES):
            self.start_node()

    def configure(self, version: int, *keys: str) -> None:
        value = self.platform.find("op", "config")
        assert value is not None
        tenants = [{"name": "one", "apiKeys": list(keys)}]
        changed = {**value, "version": version, "tenants": tenants}
        self.platform.put("op", "config", changed)

    def start_node(self) -> FleetNode:
        callers, ready, nodes = (f"{HOST}:{pick_port()}" for _ in range(3))
        settings = FleetSettings(
            name=f"node-{len(self.nodes)}",
            zone="zone-a",
            callers_address=callers,
            ready_address=ready,
            nodes_address=nodes,
            store_address=self.platform.address,
            vms_address=self.platform.address,
            grace_seconds=0.2,
        )
        node = FleetNode(settings, SystemClock())
        self.control_store(node)
        node.start()
        self.nodes.append(node)
        self.addresses[node] = callers
        self.addCleanup(self.stop_node, node)
        wait_until(node.is_ready)
        return node

    def stop_node(self, node: FleetNode) -> None:
        if not node.is_stopping():
            node.begin_stop()
            node.stop()

    def get_status(self, node: FleetNode, key: str, path: str = "") -> int:
        headers = {"Host": "jobs.example", "Authorization": f"Bearer {key}"}
        url = f"http://{self.addresses[node]}/quick/{path}"
        return self.http.request("GET", url, headers=headers).status

    def accepts(self, node: FleetNode, key: str) -> bool:
        # Of all requests, the key is checked before the job's name.
        return self.get_status(node, key, "no-job") == 404

    def find_leader(self) -> FleetNode:
        def find() -> FleetNode | None:
            for node in self.nodes:
                if node._election.is_leading and not node.is_stopping():
                    return node
            return None

        wait_until(lambda: find() is not None)
        leader = find()
        assert leader is not None
        return leader

    def control_store(self, node: FleetNode) -> None:
        """Have a node's calls to the store fail once it is refused.

        Calls in progress fail as well: the store may hold a long poll for
        `WAIT_SECONDS`, nearly as long as a refused leader keeps its term.
        """

        def control(call: Callable[..., Any]) -> Callable[..., Any]:
            def answer(*arguments: Any, **named: Any) -> Any:
                if node._settings.name not in self.refused:
                    result = call(*arguments, **named)
                    if node._settings.name not in self.refused:
                        return result
                time.sleep(0.005)
                return Err(RefusedFailure("refused"))

            return answer

        for name in ("read", "follow", "commit"):
            setattr(node._store, name, control(getattr(node._store, name)))

    def refuse(self, node: FleetNode) -> None:
        """Have the store refuse all calls of one node."""
        self.refused.add(node._settings.name)

    def wait_for_members(self) -> None:
        wait_until(
            lambda: all(
                len(node._members.choose(9)) > 3 for node in self.nodes
            )
        )

    # Guards against a third of the nodes accepting a withdrawn key because
    # the store refuses them, and the leader, from which they would learn it.
    def test_nodes_that_the_store_refuses_learn_from_members(self) -> None:
        self.wait_for_members()
        leader = self.find_leader()
        other = next(node for node in self.nodes if node is not leader)
        for node in self.nodes:
            self.assertTrue(self.accepts(node, "k-old"))
        self.refuse(leader)
        self.refuse(other)
        self.assertTrue(leader._election.is_leading)
        self.configure(4, "k-new")
        began = time.monotonic()
        behind = set(self.nodes)
        while behind and time.monotonic() - began < APPLY_SECONDS:
            behind = {
                node
                for node in behind
                if self.accepts(node, "k-old")
                or not self.accepts(node, "k-new")
            }
        self.assertEqual({node._settings.name for node in behind}, set())
        for node in (leader, other):
            encoded = node._watch.encoded_configuration
            assert encoded is not None
            self.assertNotIn(b"k-new", encoded)
            tenants = json.loads(encoded)["tenants"]
            self.assertEqual(tenants[0]["name"], "one")

    # Guards against a node that stays without a leader, and refuses callers,
    # because it can't read from the store who leads now.
    def test_a_node_that_the_store_refuses_finds_the_next_leader(self) -> None:
        self.wait_for_members()
        leader = self.find_leader()
        refused = next(node for node in self.nodes if node is not leader)
        self.refuse(refused)
        self.stop_node(leader)
        successor = self.find_leader()
        address = successor._settings.nodes_address
        wait_until(
            lambda: (
                refused._election.get_leader_address(0) == address
                and refused._election.hears_leader
            )
        )
        self.assertFalse(refused._election.is_cut_off())
        wait_until(lambda: self.get_status(refused, "k-old") == 200)

    # Guards against serving without a configuration, and so without keys.
    def test_a_node_without_a_configuration_answers_503(self) -> None:
        self.platform.store.down = True
        callers, ready, nodes = (f"{HOST}:{pick_port()}" for _ in range(3))
        settings = FleetSettings(
            name="late",
            zone="zone-a",
            callers_address=callers,
            ready_address=ready,
            nodes_address=nodes,
            store_address=self.platform.address,
            vms_address=self.platform.address,
            grace_seconds=0.2,
        )
        node = FleetNode(settings, SystemClock())
        node.start()
        self.addCleanup(self.stop_node, node)
        self.addresses[node] = callers
        time.sleep(1.0)
        self.assertEqual(self.get_status(node, "k-old"), 503)
        # It knows no members, but one that calls it is asked.
        address = self.nodes[0]._settings.nodes_address
        node._members.record_call("node-0", address)
        wait_until(lambda: node._watch.configuration is not None)
        self.assertEqual(self.get_status(node, "k-new"), 401)
