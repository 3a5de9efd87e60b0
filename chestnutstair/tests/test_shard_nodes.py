"""Tests of complete nodes whose fleet is divided into several shards."""

import itertools
import json
import unittest
from functools import partial

import urllib3

from chestnutstair.fleet_node import FleetNode
from chestnutstair.fleet_settings import FleetSettings, PoolTimes
from chestnutstair.scheduling.ports import RowKey, RowWrite
from chestnutstair.scheduling.shards import ShardLayout
from chestnutstair.scheduling.term import TERM_KEY, TermRow
from chestnutstair.standins.ports import pick_port
from chestnutstair.standins.webserver import HOST
from chestnutstair.state.deadline import SystemClock
from chestnutstair.tests.platform_emulator import ANY_TIME, PlatformEmulator
from chestnutstair.tests.support import wait_until

HEADERS = {"Host": "jobs.example", "Content-Type": "application/json"}
SHARDS = 4
PORTS_PER_NODE = 3


def find_racks(shards: int) -> list[str]:
    """Return the name of a rack of each shard."""
    layout = ShardLayout(shards)
    racks: dict[int, str] = {}
    number = 0
    while len(racks) < shards:
        rack = f"r{number}"
        racks.setdefault(layout.find_shard_of_vm(rack, ""), rack)
        number += 1
    return [racks[shard] for shard in range(shards)]


class ShardNodesTest(unittest.TestCase):
    """Each of four shards has one VM; with one VM per shard as setting."""

    def setUp(self) -> None:
        self.platform = PlatformEmulator()
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.platform.configure(3, ["quick"])
        for shard, rack in enumerate(find_racks(SHARDS)):
            self.platform.add_runner(f"w{shard}", rack=rack)
        self.http = urllib3.PoolManager(retries=False, timeout=10.0)
        self.nodes: list[FleetNode] = []
        self.callers_addresses: list[str] = []

    def start_node(self, number: int) -> FleetNode:
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
            vms_per_shard=1,
        )
        node = FleetNode(settings, SystemClock())
        node.start()
        self.nodes.append(node)
        self.callers_addresses.append(callers)
        self.addCleanup(self.stop_node, node)
        return node

    def start_nodes(self, count: int) -> None:
        for number in range(count):
            self.start_node(number)
        wait_until(lambda: None not in self.find_leading_nodes())

    def stop_node(self, node: FleetNode) -> None:
        if not node.is_stopping():
            node.begin_stop()
            node.stop()

    def find_leading_nodes(self) -> list[int | None]:
        """Return the node that leads each shard."""
        return [
            next(
                (
                    number
                    for number, node in enumerate(self.nodes)
                    if node._election.get_leader(shard) is not None
                ),
                None,
            )
            for shard in range(SHARDS)
        ]

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

    def submit(self, node: int, job: str, lasting: bool = False) -> int:
        step = {"count": 1, "cpu": 1000, "estimateMs": 50}
        if lasting:
            step = {"count": 1, "cpu": 1000, "longRunning": True}
        body = {"spec": "lasting" if lasting else "work", "steps": [step]}
        return self.call(node, "POST", f"/quick/{job}", body)[0]

    def has_state(self, node: int, job: str, state: str) -> bool:
        return self.call(node, "GET", f"/quick/{job}")[1].get("state") == state

    def has_count(self, node: int, count: int) -> bool:
        return self.call(node, "GET", "/quick/")[1] == {"pending": count}

    def list_starts(self, shard: int) -> list[str]:
        runner = self.platform.runners[f"w{shard}"]
        return [task for task, _ in runner.started]

    def read_layout(self) -> dict[str, object] | None:
        return self.platform.find("layout", "shards")

    def build_jobs(self, number: int = 1) -> list[str]:
        """Return the ID of a job of each shard."""
        return [f"{shard:08x}{number:08x}" for shard in range(SHARDS)]

    def test_each_job_runs_once_in_its_shard_and_is_shown_by_every_node(
        self,
    ) -> None:
        self.start_nodes(2)
        self.assertEqual(self.read_layout(), {"shards": SHARDS})
        jobs = self.build_jobs()
        for shard, job in enumerate(jobs):
            self.assertEqual(self.submit(shard % 2, job), 200)
            self.assertEqual(self.submit((shard + 1) % 2, job), 200)
        for job in jobs:
            for node in range(2):
                wait_until(partial(self.has_state, node, job, "completed"))
        for shard, job in enumerate(jobs):
            (task,) = self.list_starts(shard)
            self.assertIn(job, task)

    def test_nodes_share_the_shards(self) -> None:
        # A node that leads waits before it takes another term, so that no
        # node leads all shards while others lead none.
        self.start_node(0)
        self.start_node(1)
        wait_until(lambda: None not in self.find_leading_nodes())
        self.assertEqual(len(set(self.find_leading_nodes())), 2)

    def test_a_cancellation_reaches_the_leader_of_the_job(self) -> None:
        self.start_nodes(2)
        for shard, job in enumerate(self.build_jobs()):
            node = 1 - (self.find_leading_nodes()[shard] or 0)
            self.assertEqual(self.submit(node, job, lasting=True), 200)
            wait_until(partial(self.has_state, node, job, "running"))
            self.assertEqual(
                self.call(node, "DELETE", f"/quick/{job}")[0], 200
            )
            wait_until(partial(self.has_state, 1 - node, job, "cancelled"))
        wait_until(
            lambda: not any(r.runs for r in self.platform.runners.values())
        )

    def test_the_count_of_a_queue_is_the_sum_over_all_shards(self) -> None:
        self.start_nodes(2)
        # Node 0 answers 503 until it knows the leader of each shard.
        wait_until(partial(self.has_count, 0, 0))
        body = {"spec": "x", "steps": [{"count": 1, "requires": "nowhere"}]}
        for job in self.build_jobs():
            self.assertEqual(
                self.call(0, "POST", f"/quick/{job}", body)[0], 200
            )
        for node in range(2):
            wait_until(partial(self.has_count, node, SHARDS))

    def test_the_only_node_leads_all_shards(self) -> None:
        self.start_nodes(2)
        jobs = self.build_jobs()
        for job in jobs:
            self.submit(0, job, lasting=True)
            wait_until(partial(self.has_state, 0, job, "running"))
        self.stop_node(self.nodes[0])
        wait_until(lambda: self.find_leading_nodes() == [1] * SHARDS)
        for shard, job in enumerate(self.build_jobs(2)):
            self.assertEqual(self.submit(1, job), 200)
            wait_until(partial(self.has_state, 1, job, "completed"))
            starts = [t for t in self.list_starts(shard) if jobs[shard] in t]
            self.assertEqual(len(starts), 1, "the first job is not restarted")

    def test_only_the_jobs_of_a_lost_leader_wait(self) -> None:
        self.start_nodes(2)
        leading = self.find_leading_nodes()
        lost = leading[0]
        assert lost is not None
        kept = next(k for k in range(SHARDS) if leading[k] == 1 - lost)
        node = self.nodes[lost]
        # Both stay: the one without its leaders' threads, as if frozen.
        for leader in node._election.list_leaders():
            leader.end(release=False)
        jobs = self.build_jobs()
        self.assertEqual(self.submit(1 - lost, jobs[0]), 200)
        self.assertEqual(self.submit(1 - lost, jobs[kept]), 200)
        wait_until(partial(self.has_state, 1 - lost, jobs[kept], "completed"))
        wait_until(partial(self.has_state, 1 - lost, jobs[0], "completed"))

    def test_a_deployment_from_before_shards_keeps_its_one_leader(
        self,
    ) -> None:
        row = TermRow("old", f"{HOST}:{pick_port()}", 7, 0, 0.0, True)
        self.platform.store.commit(
            [], [RowWrite(TERM_KEY, row.encode())], ANY_TIME
        )
        node = self.start_node(0)
        wait_until(lambda: node._election.get_leader(0) is not None)
        self.assertEqual(self.read_layout(), {"shards": 1})
        job = "0000000300000001"
        self.assertEqual(self.submit(0, job), 200)
        wait_until(partial(self.has_state, 0, job, "completed"))
        key = RowKey("intake", "intake", f"job/{job}")
        rows = self.platform.store.read(key.table, key.partition, ANY_TIME)
        self.assertIn(key, [row.key for row in rows.unwrap().rows])

    def test_nobody_leads_while_there_are_no_vms(self) -> None:
        self.platform.runners.clear()
        node = self.start_node(0)
        node._clock.sleep(1.0)
        self.assertFalse(node._election.is_leading)
        self.assertFalse(node.is_ready())
        self.assertEqual(self.submit(0, "0000000300000001"), 503)
        self.assertEqual(self.call(0, "GET", "/quick/")[0], 503)
        self.platform.add_runner("late")
        wait_until(lambda: node._election.is_leading)

    def test_a_wave_over_all_shards_stays_within_a_cap_of_one(self) -> None:
        self.start_nodes(2)
        vms = [f"m-w{shard}" for shard in range(SHARDS)]
        self.platform.put(
            "op",
            "wave/1",
            {"wave": 1, "machines": vms, "durationS": 60, "cap": 1},
        )
        wait_until(
            lambda: (
                (self.platform.find("status", "wave/1") or {}).get("state")
                == "completed"
            )
        )
        self.assertEqual(
            sorted(self.platform.maintained), [(vm, 1) for vm in vms]
        )
        # The settings say how long a VM is away for maintenance.
        away = PoolTimes().maintenance_seconds
        for before, after in itertools.pairwise(self.platform.maintained_at):
            self.assertGreaterEqual(after - before, away)
