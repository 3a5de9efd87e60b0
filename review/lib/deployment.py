"""Starts the nodes of a case as the deploy file says, and calls them."""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from platform_standin import Platform, Record
from slow_link import SlowLinkProxy

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, NOT_RUN = 1, 0, 2
TIME_LIMIT_SECONDS = 115.0


class CannotRun(Exception):
    """The case could not be run."""


class Ports:
    """Free ports, found on all the loopback addresses that a case uses."""

    def __init__(self, hosts):
        self._hosts = hosts
        self._next = 20000 + (os.getpid() * 37) % 9000

    def take(self):
        for _ in range(5000):
            port = self._next
            self._next += 1
            if all(self._is_free(host, port) for host in self._hosts):
                return port
        raise CannotRun("no free port")

    @staticmethod
    def _is_free(host, port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
        return True


def render(template, fields):
    """Fill in the placeholders of a settings template."""

    def find(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def replace(match):
        path, _, form = match.group(1).partition("|")
        value = find(path)
        if form == "json":
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", replace, template)


class Node:
    """One entry VM: its settings file and its process."""

    def __init__(self, deployment, index):
        self.deployment = deployment
        self.name = f"front-zone-a-{index}"
        self.host = f"127.0.1.{index}"
        self.settings = deployment.folder / f"{self.name}.json"
        self.log = deployment.folder / f"{self.name}.log"
        self.process = None
        fields = {
            "node": self.name,
            "role": "scheduler",
            "zone": "zone-a",
            "ip": self.host,
            "listen": {
                "front": f"{self.host}:{deployment.front_port}",
                "ready": f"{self.host}:{deployment.ready_port}",
            },
            "internalPorts": [deployment.inner_port, deployment.inner_port],
            "limits": deployment.limits.get(
                index, {"cpuShare": 0.537, "cores": 2}
            ),
            "bounds": deployment.bounds,
            "advice": f"127.0.0.1:{deployment.platform.advice_port}",
            "platform": {
                "address": deployment.store_address(index),
                "writesPerS": 600,
                "readsPerS": 2000,
                "partitionWritesS": 200,
            },
            "cloud": {
                "address": f"127.0.0.1:{deployment.platform.cloud_port}",
                "dutyPerS": 64.0,
            },
        }
        template = (ROOT / deployment.role["template"]).read_text()
        self.settings.write_text(render(template, fields))

    def start(self):
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["CHESTNUTSTAIR_SETTINGS"] = str(self.settings)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        command = self.deployment.role["run"].split()
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        self.deployment.record.write("node-started", node=self.name)

    def signal(self, number):
        self.deployment.record.write(
            "node-signalled", node=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            client = http.client.HTTPConnection(
                self.host, self.deployment.ready_port, timeout=1.0
            )
            client.request("GET", "/api/ready")
            status = client.getresponse().status
            client.close()
        except OSError:
            return False
        return status == 200

    def call(self, method, path, fields=None, timeout=3.0):
        """Make a requester's call; return the status and the JSON body."""
        body = None if fields is None else json.dumps(fields).encode()
        headers = {
            "Host": "jobs.example",
            "Content-Type": "application/json",
            "X-Chestnutstair-Timeout-Ms": str(int(timeout * 1000)),
        }
        record = self.deployment.record
        sent = time.monotonic()
        client = http.client.HTTPConnection(
            self.host, self.deployment.front_port, timeout=timeout
        )
        try:
            client.request(method, path, body, headers)
            answer = client.getresponse()
            data = answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException) as error:
            record.write(
                "request", node=self.name, method=method, path=path,
                answer=type(error).__name__,
            )
            return 0, {}
        finally:
            client.close()
        record.write(
            "request", node=self.name, method=method, path=path,
            answer=status, body=data.decode(errors="replace"),
            ms=int((time.monotonic() - sent) * 1000),
        )
        try:
            return status, json.loads(data) if data else {}
        except ValueError:
            return status, {}


class Deployment:
    """The stand-ins and the nodes of one case."""

    def __init__(self, case_folder, nodes=3, limits=None, links=None):
        """`limits` and `links` (Mbit/s to the store) are by node number."""
        hosts = ["127.0.0.1"] + [f"127.0.1.{n + 1}" for n in range(nodes)]
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(Path(case_folder) / "record.txt")
        self.ports = Ports(hosts)
        self.front_port = self.ports.take()
        self.ready_port = self.ports.take()
        self.inner_port = self.ports.take()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["scheduler"]
        self.bounds = {
            "holdMaxMs": 10000,
            "stopMs": 200,
            "graceS": 6,
            "moveS": 1.5,
            "upkeepS": 2,
            "leaseMs": 3000,
        }
        self.platform = Platform(self.record, self.ports)
        self.limits = limits or {}
        self.links = {}
        store = ("127.0.0.1", self.platform.store.endpoint.port)
        for index, megabits in (links or {}).items():
            port = self.ports.take()
            proxy = SlowLinkProxy("127.0.0.1", port, store, megabits)
            self.links[index] = (proxy, port)
        self.nodes = [Node(self, n + 1) for n in range(nodes)]

    def store_address(self, index):
        if index in self.links:
            return f"127.0.0.1:{self.links[index][1]}"
        return f"127.0.0.1:{self.platform.store.endpoint.port}"

    def start(self, seconds=25.0):
        for node in self.nodes:
            node.start()
        self.wait("nodes ready", seconds, lambda: all(
            node.is_ready() for node in self.nodes
        ))
        self.wait("a leader", seconds, lambda: self.find_leader() is not None)

    def wait(self, what, seconds, condition, pause=0.05):
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"no {what} within {seconds} s")
            time.sleep(pause)

    def find_leader(self):
        """Return the node that the stored term names, or None."""
        row = None
        for table, part, key in list(self.platform.store.rows):
            if (table, key) == ("term", "leader"):
                row = self.platform.store.get(table, key, part)
        if row is None or row.get("released"):
            return None
        for node in self.nodes:
            if node.name == row.get("holder"):
                return node
        return None

    def submit(self, queue, job, body, nodes=None, seconds=15.0):
        """Hand a job in as a requester does, until it is accepted."""
        self.platform.world.jobs[job] = body
        until = time.monotonic() + seconds
        turn = 0
        nodes = nodes or self.nodes
        while time.monotonic() < until:
            node = nodes[turn % len(nodes)]
            turn += 1
            status, _ = node.call("POST", f"/{queue}/{job}", body)
            if status == 200:
                return node
            time.sleep(0.2)
        raise CannotRun(f"job {job} was not accepted")

    def get_state(self, queue, job, seconds=10.0):
        """Ask for a job's state until a node answers."""
        until = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < until:
            node = self.nodes[turn % len(self.nodes)]
            turn += 1
            if node.process.poll() is not None:
                continue
            status, fields = node.call("GET", f"/{queue}/{job}")
            if status == 200:
                return fields.get("state")
            if status == 410:
                return "410"
            time.sleep(0.2)
        return "no answer"

    def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                except OSError:
                    pass
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()


def run_case(case_folder, play, nodes=3, **options):
    """Run a case; `play` returns what broke the rule, "" if it held."""
    deployment = None
    code = NOT_RUN

    def give_up():
        if deployment is not None:
            deployment.stop()
        os._exit(NOT_RUN)

    limit = threading.Timer(TIME_LIMIT_SECONDS, give_up)
    limit.daemon = True
    limit.start()
    try:
        deployment = Deployment(case_folder, nodes, **options)
        problem = play(deployment)
        code = BROKEN if problem else HELD
        text = problem or "the rule held"
    except CannotRun as error:
        text = f"cannot run: {error}"
    finally:
        if deployment is not None:
            deployment.stop()
    deployment.record.write("verdict", code=code, text=text)
    print(f"{'with' if TROUBLE else 'without'} the disruption: {text}")
    if os.environ.get("KEEP_LOGS"):
        print(deployment.folder)
    else:
        for item in deployment.folder.iterdir():
            item.unlink()
        deployment.folder.rmdir()
    sys.stdout.flush()
    os._exit(code)
