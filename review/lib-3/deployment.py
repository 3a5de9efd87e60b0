"""Starts a small deployment on loopback addresses, and calls it.

The scheduler's nodes are started with the command of the deploy file, with
settings that have the fields of its template.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

LIB = Path(__file__).resolve().parent
REPOSITORY = LIB.parent.parent
HOST = "127.0.0.1"
QUEUE_HOST = "jobs.example"


def pick_port():
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def request(address, method, path, body=None, timeout=3.0, host=QUEUE_HOST):
    """Make a call; return its status and body, or (0, {}) without answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    headers = {
        "Host": host,
        "Content-Type": "application/json",
        "X-Chestnutstair-Timeout-Ms": str(int(timeout * 1000)),
    }
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers)
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


class Deployment:
    """The stand-ins, the nodes and the record of one run of a case."""

    def __init__(self, record_path):
        self.began = time.monotonic()
        self.record_path = Path(record_path)
        self.record = open(self.record_path, "w", buffering=1)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.events = self.folder / "events"
        self.events.touch()
        self.processes = []
        self.nodes = []
        self.lives = 0
        self.platform = ""
        self._lock = threading.Lock()

    def note(self, text):
        """Write a line into the record."""
        with self._lock:
            at = time.monotonic() - self.began
            self.record.write(f"{at:8.3f} {text}\n")

    def spawn(self, arguments, name, variables=None):
        """Start a process of this case; its output goes to the folder."""
        output = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            arguments,
            cwd=REPOSITORY,
            env={**os.environ, **(variables or {})},
            stdout=output,
            stderr=output,
        )
        output.close()
        self.processes.append(process)
        return process

    def start_platform(self):
        """Start the platform's stand-in; wait until it serves."""
        port_file = self.folder / "platform-port"
        self.spawn(
            [sys.executable, str(LIB / "platform_standin.py"), str(port_file)],
            "platform",
        )
        wait_for(port_file.exists, 10, "the platform's stand-in")
        self.platform = f"{HOST}:{port_file.read_text()}"

    def configure(self, version, queues, services):
        """Write a configuration as the operator does."""
        value = json.dumps(
            {
                "version": version,
                "routes": [
                    {
                        "name": f"r-{name}",
                        "host": QUEUE_HOST,
                        "prefix": f"/{name}/",
                        "service": service,
                        "priority": 0,
                        "maxAttempts": 3,
                        "stretch": 1.6,
                        "targetLatencyMs": 600,
                    }
                    for name, service in queues.items()
                ],
                "services": [
                    {"name": name, "enforcesCapacity": True}
                    for name in services
                ],
                "limits": {},
            }
        )
        item = {"table": "op", "key": "config", "value": value}
        status, _ = request(self.platform, "POST", "/standin/put", item)
        assert status == 200, status

    def start_runner(self, machine, service, rack, name=None, **options):
        """Start a life of a runner; return its process."""
        path = self.write_runner(machine, service, rack, name, options)
        process = self.spawn(
            [sys.executable, str(LIB / "runner_standin.py"), str(path)],
            path.stem,
        )
        self.note(f"{path.stem} on {machine} started")
        return process

    def write_runner(self, machine, service, rack, name, options):
        """Write the settings of a runner's next life; return their path."""
        self.lives += 1
        settings = {
            "id": name or f"i-{self.lives:04}",
            "machine": machine,
            "service": service,
            "zone": "zone-a",
            "rack": rack,
            "platform": self.platform,
            "heartbeatMs": 1500,
            "holdMaxMs": 6000,
            "events": str(self.events),
            **options,
        }
        path = self.folder / f"runner-{settings['id']}-{self.lives}.json"
        path.write_text(json.dumps(settings))
        return path

    def start_node(self, store=None, cores=1.07):
        """Start a node by the deploy file; wait until it is ready.

        It reaches the store at the address `store`, and has so many `cores`.
        """
        number = len(self.nodes)
        front, ready, nodes = (f"{HOST}:{pick_port()}" for _ in range(3))
        settings = {
            "name": f"front-{number}",
            "zone": "zone-a",
            "callers_address": front,
            "ready_address": ready,
            "nodes_address": nodes,
            "store_address": store or self.platform,
            "vms_address": self.platform,
            "policy_address": "",
            "longest_lease_seconds": 6.0,
            "longest_stop_seconds": 0.2,
            "grace_seconds": 6,
            "vms_per_shard": 300,
            "processor": {"share": cores / 2, "cores": 2},
            "vm": {"memoryMb": 300, "maxFds": 4100},
            "intake": {
                "store_writes_per_second": 600,
                "partition_writes_per_second": 200,
            },
            "pools": {
                "move_seconds": 1.5,
                "maintenance_seconds": 2,
                "orders_per_second": 64.0,
                "turn_seconds": 3.0,
            },
        }
        path = self.folder / f"front-{number}.json"
        path.write_text(json.dumps(settings))
        self.nodes.append((front, ready, self.run_node(number)))
        self.wait_ready(number)

    def run_node(self, number):
        """Start the process of a node that has settings."""
        deploy = REPOSITORY / "deploy" / "system.toml"
        role = tomllib.loads(deploy.read_text())["roles"]["scheduler"]
        variables = {
            "CHESTNUTSTAIR_SETTINGS": str(self.folder / f"front-{number}.json"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        }
        words = [sys.executable, *role["run"].split()[1:]]
        return self.spawn(words, f"front-{number}", variables)

    def wait_ready(self, number):
        """Wait until a node reports that it is ready."""
        ready = self.nodes[number][1]
        wait_for(
            lambda: request(ready, "GET", "/api/ready", timeout=1)[0] == 200,
            30,
            f"node {number}",
        )

    def restart_node(self, number):
        """Start a node again whose process has ended."""
        front, ready, _ = self.nodes[number]
        self.nodes[number] = (front, ready, self.run_node(number))

    def call(self, node, method, path, body=None):
        """Call a node as a requester does; record call and answer."""
        status, fields = request(self.nodes[node][0], method, path, body)
        sent = "" if body is None else f" {json.dumps(body)}"
        self.note(f"node {node} {method} {path}{sent} -> {status} {fields}")
        return status, fields

    def read_events(self):
        """Return what the runners have reported so far."""
        lines = self.events.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def kill(self, process, text):
        """Send SIGKILL to a process that this case started."""
        self.note(f"SIGKILL: {text}")
        process.send_signal(signal.SIGKILL)
        process.wait()

    def close(self):
        """End all processes; add what the runners saw to the record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for event in self.read_events():
            at = event.pop("at") - self.began
            self.record.write(f"{at:8.3f} runner {json.dumps(event)}\n")
        self.record.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class NotReadyError(Exception):
    """The case could not run."""


def wait_for(is_true, seconds, what):
    """Wait until a condition holds; raise NotReadyError otherwise."""
    until = time.monotonic() + seconds
    while not is_true():
        if time.monotonic() > until:
            raise NotReadyError(f"{what}: not within {seconds} s")
        time.sleep(0.02)


def run_case(play, record_path):
    """Run a case; return 1 if it broke the rule, 0 if not, 2 otherwise."""
    # Ends what was started also if the case itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    deployment = Deployment(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    try:
        deployment.start_platform()
        broken = play(deployment, trouble)
        for text in broken:
            deployment.note(f"BROKEN {text}")
        if not broken:
            deployment.note("HELD")
        status = 1 if broken else 0
    except Exception as error:
        deployment.note(f"COULD NOT RUN {error!r}")
    finally:
        deployment.close()
    return status
