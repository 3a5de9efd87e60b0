"""Tests of a whole node whose connections to the store go silent."""

import contextlib
import json
import threading
import time
import unittest

import urllib3

from chestnutstair.fleet_node import FleetNode
from chestnutstair.fleet_settings import FleetSettings
from chestnutstair.standins.ports import pick_port
from chestnutstair.standins.webserver import HOST
from chestnutstair.state.deadline import SystemClock
from chestnutstair.tests.platform_emulator import (
    EmulatedRunner,
    PlatformEmulator,
    RunObserver,
)
from chestnutstair.tests.support import wait_until
from tools.soak_proxy import FaultProxy

HEADERS = {"Host": "jobs.example", "Content-Type": "application/json"}
STEPS = [{"count": 3, "cpu": 1000, "estimateMs": 50}]
# How long after a worker has said that it drains it may get tasks.
DRAIN_SECONDS = 2.0
SUBMIT_SECONDS = 0.05
WARM_UP_STARTS = 30
PORTS = 3


class StartTimes(RunObserver):
    """Records when runners start tasks."""

    def __init__(self) -> None:
        self.starts: list[tuple[str, float]] = []

    def on_started(self, runner: EmulatedRunner, task: str) -> None:
        """Record a start."""
        self.starts.append((runner.name, time.monotonic()))

    def list_after(self, name: str, moment: float) -> list[float]:
        """Return how long after a moment a runner has started tasks."""
        return [
            at - moment for n, at in self.starts if n == name and at > moment
        ]


class SilentNodeTest(unittest.TestCase):
    """A node that leads, three runners, and a proxy before the store."""

    def setUp(self) -> None:
        self.times = StartTimes()
        self.platform = PlatformEmulator(self.times)
        self.platform.start()
        self.addCleanup(self.platform.stop)
        self.platform.configure(3, ["quick"])
        for name in ("one", "two", "three"):
            self.platform.add_runner(name)
        self.proxy = FaultProxy(self.platform.address)
        self.addCleanup(self.proxy.close)
        callers, ready, nodes = (f"{HOST}:{pick_port()}" for _ in range(PORTS))
        settings = FleetSettings(
            name="node-0",
            zone="zone-a",
            callers_address=callers,
            ready_address=ready,
            nodes_address=nodes,
            store_address=self.proxy.address,
            vms_address=self.platform.address,
            grace_seconds=0.2,
        )
        self.callers_address = callers
        self.node = FleetNode(settings, SystemClock())
        self.node.start()
        self.addCleanup(self.stop_node)
        wait_until(self.node.is_ready)

    def stop_node(self) -> None:
        self.node.begin_stop()
        self.node.stop()

    def submit_jobs(self, stopped: threading.Event) -> None:
        """Submit jobs one after the other, so that tasks always start."""
        http = urllib3.PoolManager(retries=False, timeout=10.0)
        body = json.dumps({"spec": "work", "steps": STEPS})
        number = 0
        while not stopped.wait(SUBMIT_SECONDS):
            number += 1
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                http.request(
                    "POST",
                    f"http://{self.callers_address}/quick/{number:016x}",
                    body=body,
                    headers=HEADERS,
                )

    # Guards against starts that go on for seconds on a worker that drains, as
    # its entry is read on a connection that carries nothing any more.
    def test_a_draining_worker_gets_no_tasks(self) -> None:
        stopped = threading.Event()
        thread = threading.Thread(target=self.submit_jobs, args=(stopped,))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(stopped.set)
        wait_until(lambda: len(self.times.starts) > WARM_UP_STARTS)
        self.assertGreater(self.proxy.silence_open_connections(), 0)
        # The node moves VMs in surplus to the idle pool, so any may be in use.
        name, _ = self.times.starts[-1]
        self.platform.drain_runner(name)
        drained_at = time.monotonic()
        time.sleep(3 * DRAIN_SECONDS)
        late = [
            seconds
            for seconds in self.times.list_after(name, drained_at)
            if seconds > DRAIN_SECONDS
        ]
        self.assertEqual(late, [])
        # The node was not just idle: others get the tasks.
        wait_until(
            lambda: any(
                other != name and at > drained_at
                for other, at in self.times.starts
            )
        )
