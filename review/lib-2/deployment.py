"""A small deployment for a script: nodes, runners, platform and a client.

Every address is a loopback address on a free port. All processes that were
started are ended by `close`.
"""

import http.client
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path.insert(0, str(HERE))

from platform_standin import Platform  # noqa: E402

HOST = "jobs.example"
HEARTBEAT_S = 1.5
SERVICE = "boxes"
MAX_FDS = 4100  # maxFds of a node


def pick_port():
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def limit_descriptors():
    """Limit the descriptors of a node, as the platform does."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


def has_trouble():
    """Return whether the script is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


class Deployment:
    """Nodes and runners as processes, and the record of the case."""

    def __init__(self, folder, nodes=2, lose=lambda call: None):
        self.began = time.time()
        self.lock = threading.Lock()
        self.file = open(Path(folder) / "record.txt", "w", buffering=1)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.platform = Platform(self.record, lose)
        self.journal = self.folder / "journal.txt"
        self.journal.touch()
        self.gangs = self.folder / "gangs"
        self.gangs.mkdir()
        self.processes = []
        self.runners = {}
        self.nodes = [f"front-{number + 1}" for number in range(nodes)]
        self.addresses = {}
        self.node_processes = {}
        self.callers = {}
        self.ready = {}

    def record(self, text):
        """Write a line into the record."""
        with self.lock:
            self.file.write(f"{time.time() - self.began:8.3f} {text}\n")

    def configure(self, max_attempts=2, services=(SERVICE,)):
        """Write the operator's first config: a queue for each service."""
        service = {"healthPath": "/health", "enforcesCapacity": True}
        self.platform.store.put(
            "op",
            "config",
            {
                "version": 3,
                "routes": [
                    {
                        "name": f"r-{name}",
                        "host": HOST,
                        "prefix": f"/{name}/",
                        "service": name,
                        "maxAttempts": max_attempts,
                        "stretch": 1.6,
                        "targetLatencyMs": 600,
                        "priority": 0,
                    }
                    for name in services
                ],
                "services": [{"name": name, **service} for name in services],
                "limits": {},
            },
        )

    # Processes

    def _spawn(self, arguments, log, environment, **options):
        output = open(self.folder / log, "ab")
        process = subprocess.Popen(
            arguments,
            cwd=ROOT,
            env={**os.environ, **environment},
            stdout=output,
            stderr=output,
            **options,
        )
        output.close()
        self.processes.append(process)
        return process

    def start_nodes(self, partition_writes=200):
        """Start the nodes with the command of the deploy file."""
        for name in self.nodes:
            self.start_node(name, partition_writes)
        for name in self.nodes:
            self.wait_ready(name)
        self.record("nodes ready")

    def start_node(self, name, partition_writes=200):
        """Start a node, at the same addresses if it ran before."""
        if name not in self.addresses:
            self.addresses[name] = [
                f"127.0.0.1:{pick_port()}" for _ in range(3)
            ]
        callers, ready, inner = self.addresses[name]
        settings = {
            "name": name,
            "zone": f"zone-{name[-1]}",
            "callers_address": callers,
            "ready_address": ready,
            "nodes_address": inner,
            "store_address": self.platform.address,
            "vms_address": self.platform.address,
            "policy_address": self.platform.address,
            "longest_lease_seconds": 6000e-3,
            "longest_stop_seconds": 200e-3,
            "grace_seconds": 6,
            "vms_per_shard": 300,
            "processor": {"share": 0.537, "cores": 2},
            "intake": {
                "store_writes_per_second": 600,
                "partition_writes_per_second": partition_writes,
            },
            "pools": {
                "move_seconds": 1.5,
                "maintenance_seconds": 2,
                "orders_per_second": 64.0,
                "turn_seconds": 3000e-3,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.node_processes[name] = self._spawn(
            ["python3", "-m", "chestnutstair.fleetd", "run"],
            f"{name}.log",
            {
                "CHESTNUTSTAIR_SETTINGS": str(path),
                "PYTHONPATH": str(ROOT / "target/deps"),
            },
            preexec_fn=limit_descriptors,
        )
        self.callers[name] = callers
        self.ready[name] = ready
        self.record(f"node {name} started")

    def wait_ready(self, name):
        """Wait until a node says that it is ready."""
        until = time.monotonic() + 20
        while not self._is_ready(self.ready[name]):
            if time.monotonic() > until:
                raise CannotRun(f"{name} is not ready")
            time.sleep(0.1)

    def stop_node(self, name, grace_s=6.0):
        """Stop a node as the platform does: SIGTERM, then SIGKILL."""
        process = self.node_processes[name]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(grace_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.record(f"node {name} stopped")

    @staticmethod
    def _is_ready(address):
        try:
            connection = http.client.HTTPConnection(address, timeout=1)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def start_runner(self, name, cpu, labels, register_after=0.0):
        """Start a runner, or its next life at the same address."""
        address = f"127.0.0.1:{pick_port()}"
        if name in self.runners:
            address = self.runners[name][1]
        options = {
            "id": name,
            "address": address,
            "machine": f"m-{name}",
            "service": SERVICE,
            "labels": labels,
            "cpu": cpu,
            "platform": self.platform.address,
            "heartbeatS": HEARTBEAT_S,
            "registerAfterS": register_after,
            "journal": str(self.journal),
            "gangs": str(self.gangs),
        }
        process = self._spawn(
            [
                sys.executable,
                str(HERE / "runner_standin.py"),
                json.dumps(options),
            ],
            "runners.log",
            {},
        )
        self.runners[name] = (process, address)
        self.record(f"runner {name} started, labels {labels}")

    def start_farm(self, prefix, count, cpu, service=SERVICE):
        """Start a process with many runners; return it."""
        options = {
            "prefix": prefix,
            "count": count,
            "cpu": cpu,
            "platform": self.platform.address,
            "service": service,
            "journal": str(self.journal),
        }
        self.record(f"farm {prefix} with {count} runners started")
        return self._spawn(
            [
                sys.executable,
                str(HERE / "runner_farm.py"),
                json.dumps(options),
            ],
            "farms.log",
            {},
            stdin=subprocess.PIPE,
            text=True,
        )

    def count_descriptors(self, name):
        """Return how many descriptors a node has open."""
        return len(os.listdir(f"/proc/{self.node_processes[name].pid}/fd"))

    def kill_runner(self, name):
        """Kill a runner's process."""
        process = self.runners[name][0]
        process.kill()
        process.wait()
        self.record(f"runner {name} killed")

    def read_journal(self):
        """Return the events of all runners."""
        lines = self.journal.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    # Client

    def call(self, node, method, job, body=None, timeout=3.0, queue=SERVICE):
        """Make a client's request; return its status and body."""
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Chestnutstair-Timeout-Ms": str(int(timeout * 1000)),
        }
        try:
            connection = http.client.HTTPConnection(
                self.callers[node], timeout=timeout
            )
            data = None if body is None else json.dumps(body)
            connection.request(method, f"/{queue}/{job}", data, headers)
            response = connection.getresponse()
            data = response.read()
            status = response.status
            answer = json.loads(data) if data else {}
            connection.close()
        except OSError as error:
            status, answer = 0, {"error": repr(error)}
        self.record(
            f"{node}: {method} {job or '(queue)'} -> {status} {answer}"
        )
        return status, answer

    def submit(self, job, steps, node=None, queue=SERVICE, **spec):
        """Submit a job until it is accepted."""
        body = {"spec": json.dumps(spec), "steps": steps}
        for attempt in range(5):
            name = node or self.nodes[attempt % len(self.nodes)]
            if self.call(name, "POST", job, body, queue=queue)[0] == 200:
                return
            time.sleep(0.2)
        raise CannotRun(f"job {job} was not accepted")

    def get_state(self, job):
        """Return a job's state, asking the nodes in turn."""
        for name in self.nodes:
            status, answer = self.call(name, "GET", job)
            if status == 200:
                return answer.get("state", "")
            if status == 410:
                return "410"
        return "no answer"

    def close(self):
        """End all processes; copy the runners' events into the record."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for event in self.read_journal():
            at = event["at"] - self.began
            self.file.write(f"{at:8.3f} runner {json.dumps(event)}\n")
        log = os.environ.get("KEEP_LOGS")
        if log:
            for path in self.folder.glob("*.log"):
                (Path(log) / path.name).write_bytes(path.read_bytes())
        self.file.close()
        self.temporary.cleanup()


def play(folder, case, **options):
    """Play a case; return 0 if the rule held, 1 if not, 2 if it cannot run."""
    deployment = Deployment(folder, **options)
    try:
        broken = case(deployment)
        deployment.record(f"verdict: {broken or 'the rule held'}")
        print(broken or "the rule held")
        return 1 if broken else 0
    except CannotRun as error:
        deployment.record(f"cannot run: {error}")
        print(f"cannot run: {error}")
        return 2
    finally:
        deployment.close()
