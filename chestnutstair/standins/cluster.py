"""Runs daemons, targets and a platform as local processes on loopback."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import urllib3

from chestnutstair.standins.ports import pick_port
from chestnutstair.standins.target import TargetSettings
from chestnutstair.standins.webserver import HOST
from chestnutstair.state.codec import decode_json, encode_json, encode_value
from chestnutstair.state.fleet import Pool, Vm, Zone
from chestnutstair.state.ticket import Ticket

__all__ = ["Call", "DaemonAddresses", "LocalCluster", "wait_until"]

T = TypeVar("T")

POLL_SECONDS = 0.05
WAIT_SECONDS = 60.0  # long, so that tests also pass on a slow machine
CALL_SECONDS = 30.0


def wait_until(
    what: str, probe: Callable[[], T | None], seconds: float = WAIT_SECONDS
) -> T:
    """Poll the probe until it returns a true value, and return that value.

    Raises TimeoutError, with `what` in its text, after `seconds`.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = probe()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"{what}: timed out after {seconds} s")


@dataclass(frozen=True)
class DaemonAddresses:
    """The listen addresses of one daemon, each as `IP:port`."""

    name: str
    zone: str
    callers: str
    admin: str
    peers: str


@dataclass(frozen=True)
class Call:
    """A caller's HTTP request to a service."""

    service: str
    path: str = "/"
    method: str = "GET"
    headers: Mapping[str, str] | None = None
    body: bytes = b""


class LocalCluster:
    """Starts the processes, calls them over HTTP and stops them."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._http = urllib3.PoolManager(
            maxsize=64, retries=False, timeout=CALL_SECONDS
        )
        self.platform_address = ""  # each address is `IP:port`
        self.daemons: dict[str, DaemonAddresses] = {}
        self.targets: dict[str, str] = {}  # addresses by target name
        self._control_addresses: dict[str, str] = {}

    def __enter__(self) -> "LocalCluster":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = open(self._path(f"{name}.log"), "ab")  # noqa: SIM115
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            env={**os.environ, "PYTHONFAULTHANDLER": "1"},
        )

    def _path(self, name: str) -> Path:
        return Path(self._folder.name) / name

    def read_log(self, name: str) -> str:
        """Return the standard error output of the process."""
        return self._path(f"{name}.log").read_text()

    def read_output(self, name: str) -> bytes:
        """Return the unread standard output of the process; don't block."""
        output = self._processes[name].stdout
        assert output is not None
        os.set_blocking(output.fileno(), False)
        return output.read() or b""

    def _write(self, name: str, value: Any) -> str:
        path = self._path(f"{name}.json")
        path.write_text(json.dumps(value))
        return str(path)

    def _spawn_standin(
        self, name: str, module: str, settings: Any
    ) -> dict[str, str]:
        path = self._write(name, settings)
        self._spawn(name, module, "--settings", path)
        output = self._processes[name].stdout
        assert output is not None
        return dict(json.loads(output.readline()))

    def start_platform(self, settings: Mapping[str, Any]) -> None:
        """Start the platform; the settings are those of `PlatformSettings`."""
        module = "chestnutstair.standins.platformd"
        addresses = self._spawn_standin("platform", module, settings)
        self.platform_address = addresses["address"]

    def start_target(self, settings: TargetSettings, zone: str) -> str:
        """Start a target, register it, and return its address."""
        module = "chestnutstair.standins.targetd"
        name = settings.name
        addresses = self._spawn_standin(name, module, encode_value(settings))
        self.targets[name] = addresses["address"]
        self._control_addresses[name] = addresses["control_address"]
        # The platform calls the control address, so that its calls don't
        # count towards the connection limit for callers.
        self.register_vm(name, zone, addresses["control_address"])
        return addresses["address"]

    def register_vm(self, name: str, zone: str, address: str = "") -> None:
        """Register a VM with the platform; a worker has no address."""
        vm = {"name": name, "zone": zone, "address": address}
        self.call_platform("POST", "/vms", vm)

    def start_daemon(
        self, name: str, zone: str, settings: Mapping[str, Any]
    ) -> DaemonAddresses:
        """Start a daemon; return its addresses without waiting for readiness.

        A restarted daemon gets the addresses that it had before.
        """
        addresses = self.daemons.get(name) or DaemonAddresses(
            name, zone, *(f"{HOST}:{pick_port()}" for _ in range(3))
        )
        self.daemons[name] = addresses
        path = self._write(
            name,
            {
                **settings,
                "name": name,
                "zone": zone,
                "callers_address": addresses.callers,
                "admin_address": addresses.admin,
                "peers_address": addresses.peers,
                "platform_url": f"http://{self.platform_address}",
            },
        )
        self._spawn(name, "chestnutstair.daemon", "run", path)
        return addresses

    def wait_ready(self, name: str) -> None:
        """Block until the daemon reports that it is ready.

        Raises RuntimeError with the log if its process exits first.
        """
        wait_until(f"{name} ready", lambda: self._check_ready(name))

    def _check_ready(self, name: str) -> bool:
        status = self._processes[name].poll()
        if status is not None:
            log = self.read_log(name)
            raise RuntimeError(f"{name} exited with status {status}: {log}")
        return self.is_ready(name)

    def is_ready(self, name: str) -> bool:
        """Return whether the readiness check of the daemon passes."""
        try:
            url = f"http://{self.daemons[name].admin}/readyz"
            return bool(self._http.request("GET", url).status == 200)
        except urllib3.exceptions.HTTPError:
            return False

    def start_targets(
        self, targets: Sequence[TargetSettings], zones: Sequence[str]
    ) -> None:
        """Start targets, assigned to the zones round robin."""
        for index, settings in enumerate(targets):
            self.start_target(settings, zones[index % len(zones)])

    def start_daemons(
        self,
        names: Sequence[str],
        zones: Sequence[str],
        settings: Mapping[str, Any],
    ) -> None:
        """Start daemons, assigned to the zones round robin; wait for all."""
        for index, name in enumerate(names):
            self.start_daemon(name, zones[index % len(zones)], settings)
        for name in names:
            self.wait_ready(name)

    def build_ticket(self, zones: Sequence[str], pool: Pool) -> Ticket:
        """Return ticket 1: all targets in one pool, each in a rack of its own.

        Assigns the targets to the zones as `start_targets` does.
        """
        return Ticket(
            number=1,
            author="tester",
            zones=tuple(Zone(name, "region") for name in zones),
            pools=(pool,),
            vms=tuple(
                Vm(name, pool.name, zones[index % len(zones)], name, address)
                for index, (name, address) in enumerate(self.targets.items())
            ),
        )

    def file_ticket(self, daemon: str, ticket: Ticket) -> tuple[int, Any]:
        """Submit the ticket to the daemon; return HTTP status and answer."""
        value = encode_value(ticket)
        return self.call_admin(daemon, "POST", "/tickets", value)

    def read_report(self, daemon: str, number: int) -> dict[str, Any]:
        """Return the daemon's report on the ticket, or its error answer."""
        path = f"/tickets/{number}"
        return dict(self.call_admin(daemon, "GET", path)[1])

    def wait_in_force(self, daemon: str, number: int) -> None:
        """Block until the daemon reports that the ticket is in force."""
        wait_until(
            f"ticket {number} in force",
            lambda: self.read_report(daemon, number).get("in_force"),
        )

    def get_pid(self, name: str) -> int:
        """Return the id of the process."""
        return self._processes[name].pid

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process, such as SIGSTOP or SIGKILL."""
        self._processes[name].send_signal(signal_number)

    def end(
        self, name: str, signal_number: signal.Signals = signal.SIGTERM
    ) -> int:
        """Send the signal, wait until the process exits; return its status.

        Raises TimeoutError with the log if it does not exit in time.
        """
        process = self._processes.pop(name)
        process.send_signal(signal_number)
        try:
            return process.wait(WAIT_SECONDS)
        except subprocess.TimeoutExpired as error:
            # Makes Python's fault handler log the stack of each thread.
            process.send_signal(signal.SIGABRT)
            process.wait(WAIT_SECONDS)
            raise TimeoutError(self.read_log(name)) from error

    def stop(self) -> None:
        """Stop every process and delete the settings and logs."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self._processes.values():
            try:
                process.wait(WAIT_SECONDS / 4)
            except subprocess.TimeoutExpired:
                process.kill()
        self._folder.cleanup()

    def _request(self, method: str, url: str, value: Any) -> tuple[int, Any]:
        body = None if value is None else encode_json(value)
        answer = self._http.request(method, url, body=body)
        try:
            return answer.status, json.loads(answer.data or b"null")
        except ValueError:
            return answer.status, answer.data.decode()

    def call_platform(self, method: str, path: str, value: Any = None) -> Any:
        """Call the platform and return its decoded answer."""
        url = f"http://{self.platform_address}{path}"
        return self._request(method, url, value)[1]

    def call_target(
        self, name: str, method: str, path: str, value: Any = None
    ) -> Any:
        """Call a target's control address and return its decoded answer."""
        url = f"http://{self._control_addresses[name]}{path}"
        return self._request(method, url, value)[1]

    def list_runs(self) -> list[dict[str, Any]]:
        """Return the runs from all execution logs, each with its `target`."""
        return [
            {**run, "target": name}
            for name in self.targets
            for run in self.call_target(name, "GET", "/execution-log")["runs"]
        ]

    def call_admin(
        self, name: str, method: str, path: str, value: Any = None
    ) -> tuple[int, Any]:
        """Call a daemon's operator API; return HTTP status and answer."""
        url = f"http://{self.daemons[name].admin}/api/v1{path}"
        return self._request(method, url, value)

    def read_admin(self, answer_type: type[T], name: str, path: str) -> T:
        """GET a path of a daemon's operator API and decode the answer."""
        url = f"http://{self.daemons[name].admin}/api/v1{path}"
        answer = self._http.request("GET", url)
        return decode_json(answer_type, answer.data).unwrap()

    def send(self, name: str, call: Call) -> urllib3.BaseHTTPResponse:
        """Send a caller's request through the daemon; return the answer."""
        address = self.daemons[name].callers
        url = f"http://{address}/call/{call.service}{call.path}"
        headers = dict(call.headers or {})
        return self._http.request(
            call.method, url, headers=headers, body=call.body
        )
