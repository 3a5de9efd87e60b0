"""Tests of complete scheduler nodes against the emulated platform."""

import json
import unittest
from functools import partial
from unittest import mock

import urllib3

from chestnutstair.fleet_node import FleetNode
from chestnutstair.fleet_settings import FleetSettings
from chestnutstair.scheduling.configuration import FleetConfiguration
from chestnutstair.scheduling.leader import (
    REGISTRY_PARTITION,
    REGISTRY_TABLE,
    Leader,
)
from chestnutstair.scheduling.ports import RowKey, RowWrite
from chestnutstair.standins.ports import pick_port
from chestnutstair.standins.webserver import HOST
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.tests.platform_emulator import PlatformEmulator
from chestnutstair.tests.support import wait_until
from chestnutstair.tests.test_malformed_entries import list_malformed_values

HEADERS = {"Host": "jobs.example", "Content-Type": "application/json"}
NODES = 2
PORTS_PER_NODE = 3


class FleetNodeTest(unittest.TestCase):
    """Two nodes, three runners and one spare machine."""

    def setUp(self) -> None:
        self.platform = PlatformEmulator()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.platform.configure(3, ["quick"])
        for name in ("one", "two", "three"):
            self.platform.add_runner(name)
        self.http = urllib3.PoolManager(retries=False, timeout=10.0)
        self.nodes: list[FleetNode] = []
        self.callers_addresses: list[str] = []
        for number in range(NODES):
            self.start_node(number)

    def start_node(self, number: int, wait: bool = True) -> None:
        callers, ready, nodes = (
            f"{HOST}:{pick_port()}" for _ in range(PORTS_PER_NODE)
        )
        settings = FleetSettings(
            name=f"node-{number}",
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
        self.nodes.append(node)
        self.callers_addresses.append(callers)
        self.addCleanup(self.stop_node, node)
        if wait:
            wait_until(node.is_ready)

    def stop_node(self, node: FleetNode) -> None:
        if not node.is_stopping():
            node.begin_stop()
            node.stop()

    def call(
        self, node: int, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, object]]:
        data = None if body is None else json.dumps(body)
        answer = self.http.request(
            method,
            f"http://{self.callers_addresses[node]}{path}",
            body=data,
            headers=HEADERS,
        )
        fields = json.loads(answer.data) if answer.data else {}
        return answer.status, fields

    def submit(self, node: int, job: str, payload: str = "work") -> int:
        steps = [
            {"count": 3, "cpu": 1000, "estimateMs": 50},
            {"count": 1, "cpu": 1000, "estimateMs": 50, "after": [0]},
        ]
        if payload == "lasting":
            steps = [{"count": 1, "cpu": 1000, "longRunning": True}]
        body = {"spec": payload, "steps": steps}
        return self.call(node, "POST", f"/quick/{job}", body)[0]

    def read_state(self, node: int, job: str) -> object:
        return self.call(node, "GET", f"/quick/{job}")[1].get("state")

    def is_completed(self, node: int, job: str) -> bool:
        return self.read_state(node, job) == "completed"

    def has_status(self, node: int, path: str, status: int) -> bool:
        return self.call(node, "GET", path)[0] == status

    def list_starts(self) -> list[tuple[str, int]]:
        return [
            start
            for runner in (
                *self.platform.runners.values(),
                *self.platform.removed_runners,
            )
            for start in runner.started
        ]

    def test_a_job_is_run_once_and_shown_by_every_node(self) -> None:
        job = "00000000000000aa"
        self.assertEqual(self.submit(1, job), 200)
        self.assertEqual(self.submit(0, job), 200, "the same job again")
        for node in range(NODES):
            wait_until(partial(self.is_completed, node, job))
        self.assertEqual(len(self.list_starts()), 4)

    # Guards against one entry of another writer that ends leader after leader,
    # or after which a leader no longer follows the registry.
    def test_jobs_run_beside_malformed_registry_entries(self) -> None:
        for number, value in enumerate(list_malformed_values()):
            self.write_entry(f"i-5-{number}", value)
        for number, value in enumerate(list_malformed_values()[::10]):
            self.write_entry("one", value)
            self.write_entry(f"i-6-{number}", value)
        self.platform.add_runner("four")
        self.assertEqual(self.submit(1, "00000000000000aa"), 200)
        wait_until(partial(self.is_completed, 1, "00000000000000aa"))
        leader = next(node for node in self.nodes if node._election.is_leading)
        other = 1 - self.nodes.index(leader)
        self.stop_node(leader)
        wait_until(lambda: self.nodes[other]._election.is_leading)
        self.assertEqual(self.submit(other, "00000000000000bb"), 200)
        wait_until(partial(self.is_completed, other, "00000000000000bb"))
        self.assertEqual(len(self.list_starts()), 8)
        successor = self.nodes[other]._election.list_leaders()[0]
        # The leader before it may have moved VMs in surplus to the idle pool.
        moved = {runner.name for runner in self.platform.removed_runners}
        self.assertEqual(
            set(successor.tracker.workers), {"two", "three", "four"} - moved
        )

    def write_entry(self, name: str, value: bytes) -> None:
        key = RowKey(REGISTRY_TABLE, REGISTRY_PARTITION, name)
        deadline = Deadline.after(SystemClock(), 1.0)
        writes = [RowWrite(key, value)]
        self.platform.store.commit([], writes, deadline).unwrap()

    def test_unknown_queues_and_jobs_and_invalid_jobs_are_reported(
        self,
    ) -> None:
        self.assertEqual(self.call(0, "GET", "/quick/")[1], {"pending": 0})
        self.assertEqual(self.call(0, "GET", "/other/")[0], 404)
        self.assertEqual(
            self.call(0, "GET", "/quick/0123456789abcdef")[0], 410
        )
        self.assertEqual(
            self.call(1, "DELETE", "/quick/0123456789abcdef")[0], 410
        )
        cyclic = {"spec": "", "steps": [{"count": 1, "after": [0]}]}
        status, body = self.call(0, "POST", "/quick/0123456789abcdef", cyclic)
        self.assertEqual(status, 400)
        self.assertEqual(body["reason"], "steps wait for each other")

    def test_a_new_configuration_is_in_force_on_every_node(self) -> None:
        self.platform.configure(5, ["quick", "added"])
        for node in range(NODES):
            wait_until(partial(self.has_status, node, "/added/", 200))
        self.platform.configure(4, ["quick"])
        self.platform.configure(6, ["added"])
        for node in range(NODES):
            wait_until(partial(self.has_status, node, "/quick/", 404))
            self.assertEqual(self.call(node, "GET", "/added/")[0], 200)

    def test_a_configuration_read_while_a_leader_loads_is_applied(
        self,
    ) -> None:
        # Guards against a new leader that misses a configuration which is
        # read while the leader loads its state. After a power loss of all
        # nodes, such a leader set no pool sizes and had no queues for the
        # rest of the day.
        for node in self.nodes:
            self.stop_node(node)
        load = Leader.load

        def load_after_configuration(leader: Leader) -> bool:
            leader.tracker.configuration = FleetConfiguration(0)
            wait_until(lambda: self.nodes[-1].is_ready())
            return load(leader)

        with mock.patch.object(Leader, "load", load_after_configuration):
            self.start_node(NODES, wait=False)
            node = self.nodes[-1]
            wait_until(lambda: node._election.is_leading)
        leader = node._election.get_leader(0)
        assert leader is not None
        wait_until(lambda: leader.tracker.configuration.version == 3)

    def test_a_planned_stop_hands_over_leadership(self) -> None:
        job = "00000000000000bb"
        self.assertEqual(self.submit(0, job, "lasting"), 200)
        wait_until(lambda: self.read_state(1, job) == "running")
        leading = [node._election.is_leading for node in self.nodes].index(
            True
        )
        self.stop_node(self.nodes[leading])
        other = 1 - leading
        wait_until(lambda: self.nodes[other]._election.is_leading)
        second = "00000000000000cc"
        self.assertEqual(self.submit(other, second), 200)
        wait_until(lambda: self.read_state(other, second) == "completed")
        starts = [start for start in self.list_starts() if job in start[0]]
        self.assertEqual(
            len(starts), 1, "the long-running task is not restarted"
        )

    def test_a_cancelled_job_is_stopped(self) -> None:
        job = "00000000000000dd"
        self.submit(0, job, "lasting")
        wait_until(lambda: self.read_state(1, job) == "running")
        self.assertEqual(self.call(1, "DELETE", f"/quick/{job}")[0], 200)
        wait_until(lambda: self.read_state(0, job) == "cancelled")
        wait_until(
            lambda: not any(r.runs for r in self.platform.runners.values())
        )

    def test_a_wave_is_kept_within_its_cap(self) -> None:
        self.platform.put(
            "op",
            "wave/1",
            {
                "wave": 1,
                "machines": ["m-one", "m-two"],
                "durationS": 9,
                "cap": 1,
            },
        )
        wait_until(
            lambda: (
                (self.platform.find("status", "wave/1") or {}).get("state")
                == "completed"
            )
        )
        self.assertEqual(
            sorted(self.platform.maintained), [("m-one", 1), ("m-two", 1)]
        )

    def test_submissions_recover_from_an_outage_of_the_store(self) -> None:
        job = "00000000000000ee"
        self.platform.store.down = True
        self.assertEqual(self.submit(0, job), 503)
        self.platform.store.down = False
        wait_until(lambda: self.submit(0, job) == 200)
        wait_until(lambda: self.read_state(1, job) == "completed")
        self.assertEqual(len(self.list_starts()), 4)
