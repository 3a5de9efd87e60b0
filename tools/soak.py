"""Runs scheduler nodes as processes under random faults and checks them.

`python -m tools.soak --seed 1 --seconds 20 --nodes 3` runs the real daemon
against the emulated platform on loopback. Exits with status 1 if a guarantee
was violated.
"""

import argparse
import contextlib
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from chestnutstair.standins.ports import pick_port
from chestnutstair.standins.webserver import HOST
from chestnutstair.tests.platform_emulator import PlatformEmulator
from tools.soak_judge import SoakJudge
from tools.soak_proxy import FaultProxy, LinkState

__all__ = ["LateWriteSoak", "Soak", "main"]

HEADERS = {"Host": "jobs.example", "Content-Type": "application/json"}
READY_TIMEOUT_SECONDS = 60.0  # long, as the machine may be busy
# Covers lease expiry and a takeover on a busy machine.
COMPLETION_TIMEOUT_SECONDS = 45.0
CALL_TIMEOUT_SECONDS = 3.0
CALLER_COUNT = 4
SUBMISSION_PAUSE_SECONDS = 0.15
SUBMISSION_RETRIES = 4
FAULT_INTERVAL_SECONDS = (0.3, 1.5)  # minimum and maximum
FAULT_DURATION_SECONDS = (0.5, 4.0)  # minimum and maximum
SUPERVISION_INTERVAL_SECONDS = 0.3
RUNNER_COUNT = 4
LATE_WRITE_CALLER_COUNT = 16
# From one window of late writes to the next: the last late write is performed
# and judged in between.
LATE_WRITE_PERIOD_SECONDS = 11.0
WRITE_DELAY_SECONDS = (1.0, 6.0)  # minimum and maximum


@dataclass
class NodeProcess:
    """One node: its process, its addresses and its proxy to the platform."""

    name: str
    proxy: FaultProxy
    settings: Path
    callers: str  # address for callers' requests
    ready: str  # address of the readiness check
    process: subprocess.Popen[bytes] | None = None
    # Held by a fault that signals the process, so that the supervisor doesn't
    # restart it meanwhile.
    process_lock: threading.Lock = field(default_factory=threading.Lock)

    def start(self, log: Path) -> None:
        """Start the daemon; append its output to the log file."""
        with open(log, "ab") as output:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "chestnutstair.fleetd",
                    "run",
                    str(self.settings),
                ],
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Soak:
    """One run of nodes, callers and faults, with a judge and a seed."""

    caller_count = CALLER_COUNT

    def __init__(self, seed: int, nodes: int, folder: Path) -> None:
        self._random = random.Random(seed)
        self._folder = folder
        self._load_ended = threading.Event()
        self._supervision_stopped = threading.Event()
        self.faults: list[str] = []
        self._started_at = time.monotonic()
        self.platform = PlatformEmulator()
        self.judge = SoakJudge(self.platform.runners)
        self.platform.observer = self.judge
        self.platform.start()
        self.platform.configure(3, ["quick"])
        for number in range(RUNNER_COUNT):
            self.platform.add_runner(f"r{number}").work_seconds = 0.2
        self.nodes = [self._build_node(number) for number in range(nodes)]

    def _build_node(self, number: int) -> NodeProcess:
        name = f"node-{number}"
        proxy = FaultProxy(self.platform.address)
        callers, ready, nodes = (f"{HOST}:{pick_port()}" for _ in range(3))
        path = self._folder / f"{name}.json"
        settings = {
            "name": name,
            "zone": f"zone-{number % 2}",
            "callers_address": callers,
            "ready_address": ready,
            "nodes_address": nodes,
            "store_address": proxy.address,
            "vms_address": proxy.address,
            "grace_seconds": 2.0,
        }
        path.write_text(json.dumps(settings))
        return NodeProcess(name, proxy, path, callers, ready)

    def _start(self, node: NodeProcess) -> None:
        node.start(self._folder / f"{node.name}.log")

    def run(self, seconds: float) -> None:
        """Submit jobs under faults for `seconds`; wait for the accepted jobs.

        Violations are in `judge.violations` afterwards.
        """
        try:
            for node in self.nodes:
                self._start(node)
            threading.Thread(target=self._supervise, daemon=True).start()
            self._wait_ready()
            callers = [
                threading.Thread(target=self._submit_jobs, args=(number,))
                for number in range(self.caller_count)
            ]
            for thread in callers:
                thread.start()
            self._inject_faults(time.monotonic() + seconds)
            self._load_ended.set()
            for thread in callers:
                thread.join()
            self._wait_ready()
            self._check_jobs()
            self.judge.check_refused_jobs()
        finally:
            self._load_ended.set()
            self._stop()

    def _supervise(self) -> None:
        """Restart nodes whose process has ended, as the platform does."""
        while not self._supervision_stopped.wait(SUPERVISION_INTERVAL_SECONDS):
            for node in self.nodes:
                process = node.process
                if node.process_lock.acquire(blocking=False):
                    if process is not None and process.poll() is not None:
                        self._start(node)
                    node.process_lock.release()

    def _stop(self) -> None:
        self._supervision_stopped.set()
        for node in self.nodes:
            node.process_lock.acquire()
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
            node.proxy.close()
        self.platform.stop()

    def _wait_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        for node in self.nodes:
            while not self._is_ready(node):
                if time.monotonic() > deadline:
                    self.judge.violations.append(f"{node.name} is not ready")
                    return
                time.sleep(0.1)

    @staticmethod
    def _is_ready(node: NodeProcess) -> bool:
        try:
            connection = http.client.HTTPConnection(node.ready, timeout=1.0)
            with contextlib.closing(connection):
                connection.request("GET", "/api/ready")
                return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False  # down, paused or starting; the caller retries

    # Callers

    def _submit_jobs(self, caller: int) -> None:
        """Submit jobs; retry each up to SUBMISSION_RETRIES times.

        A connection is reused until a submission on it has an unknown
        outcome or, at random, is refused.
        """
        rng = random.Random(f"{self._random.random()}/{caller}")
        connection: http.client.HTTPConnection | None = None
        number = 0
        while not self._load_ended.is_set():
            number += 1
            job = f"{caller:08x}{number:08x}"
            for _ in range(1 + SUBMISSION_RETRIES):
                if connection is None:
                    node = rng.choice(self.nodes)
                    connection = http.client.HTTPConnection(
                        node.callers, timeout=CALL_TIMEOUT_SECONDS
                    )
                answer = self._submit(connection, job)
                self.judge.record_answer(job, answer)
                if answer == "accepted":
                    break
                if answer == "unknown" or rng.random() < 0.5:
                    connection.close()
                    connection = None
                time.sleep(SUBMISSION_PAUSE_SECONDS)
            time.sleep(SUBMISSION_PAUSE_SECONDS)

    @staticmethod
    def _submit(
        connection: http.client.HTTPConnection, job: str, method: str = "POST"
    ) -> str:
        steps = [
            {"count": 3, "cpu": 4000, "memMb": 256, "estimateMs": 200},
            {"count": 1, "cpu": 4000, "estimateMs": 200, "after": [0]},
        ]
        body = json.dumps({"spec": "work", "steps": steps})
        try:
            connection.request(method, f"/quick/{job}", body, HEADERS)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return "unknown"
        if response.status == 200 or (
            method == "DELETE" and response.status == 410
        ):
            return "accepted"
        return "refused" if response.status in (429, 503) else "unknown"

    def _check_jobs(self) -> None:
        """Poll each accepted job until it completes or the time is up."""
        deadline = time.monotonic() + COMPLETION_TIMEOUT_SECONDS
        for number, job in enumerate(self.judge.list_accepted()):
            node = self.nodes[number % len(self.nodes)]
            state = self._fetch_state(node, job)
            while state != "completed" and time.monotonic() < deadline:
                time.sleep(0.2)
                state = self._fetch_state(node, job)
            self.judge.check_final_state(job, state)

    @staticmethod
    def _fetch_state(node: NodeProcess, job: str) -> str:
        connection = http.client.HTTPConnection(
            node.callers, timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            with contextlib.closing(connection):
                connection.request("GET", f"/quick/{job}", None, HEADERS)
                answer = json.loads(connection.getresponse().read() or b"{}")
                return str(answer.get("state", "unknown"))
        except (OSError, ValueError, http.client.HTTPException) as error:
            return f"unknown ({type(error).__name__})"

    # Faults

    def _inject_faults(self, until: float) -> None:
        """Start random faults at random intervals; they may overlap."""
        running: list[threading.Thread] = []
        while time.monotonic() < until:
            time.sleep(self._random.uniform(*FAULT_INTERVAL_SECONDS))
            seconds = self._random.uniform(*FAULT_DURATION_SECONDS)
            node = self._random.choice(self.nodes)
            kind = self._random.choice(
                (
                    "kill",
                    "pause",
                    "terminate",
                    "reload",
                    "link",
                    "link",
                    "store down",
                    "answers lost",
                    "runner restarts",
                    "configuration",
                )
            )
            link_state = self._random.choice(list(LinkState)[1:])
            thread = threading.Thread(
                target=self._inject_fault,
                args=(kind, node, seconds, link_state),
            )
            thread.start()
            running.append(thread)
        for thread in running:
            thread.join()

    def _inject_fault(
        self,
        kind: str,
        node: NodeProcess,
        seconds: float,
        link_state: LinkState,
    ) -> None:
        at = time.monotonic() - self._started_at
        detail = link_state.value if kind == "link" else ""
        self.faults.append(
            f"{at:.2f} s {kind} {detail} {node.name} {seconds:.2f} s"
        )
        match kind:
            case "kill" | "pause" | "terminate" | "reload":
                with node.process_lock:
                    self._signal_node(kind, node, seconds)
            case "link":
                node.proxy.link = link_state
                time.sleep(seconds)
                node.proxy.link = LinkState.OPEN
            case "store down":
                self.platform.store.down = True
                time.sleep(seconds)
                self.platform.store.down = False
            case "answers lost":
                self.platform.store.lose_answers = 3
            case "runner restarts":
                # Does nothing if the runner has been moved meanwhile.
                self.platform.restart_runner(
                    f"r{int(at * 1000) % RUNNER_COUNT}"
                )
            case "configuration":
                version = int(time.monotonic() * 1000)
                self.platform.configure(version, ["quick", "added"])

    def _signal_node(
        self, kind: str, node: NodeProcess, seconds: float
    ) -> None:
        match kind:
            case "pause":
                node.send(signal.SIGSTOP)
                time.sleep(seconds)
                node.send(signal.SIGCONT)
            case "reload":
                node.send(signal.SIGHUP)
            case _:
                kill = kind == "kill"
                node.send(signal.SIGKILL if kill else signal.SIGTERM)
                if node.process is not None:
                    node.process.wait()
                time.sleep(seconds)
                self._start(node)


class LateWriteSoak(Soak):
    """Callers that give up while the store performs writes late.

    In windows, the store answers few or no writes and performs them seconds
    later. A caller that gets no answer to a submission cancels the job, at
    any node, until that is answered.
    """

    caller_count = LATE_WRITE_CALLER_COUNT

    def _submit_jobs(self, caller: int) -> None:
        rng = random.Random(f"{self._random.random()}/{caller}")
        number = 0
        while not self._load_ended.is_set():
            number += 1
            job = f"{caller:08x}{number:08x}"
            answer = self._call(rng, "POST", job)
            self.judge.record_answer(job, answer)
            while answer == "unknown" and not self._load_ended.is_set():
                if self._call(rng, "DELETE", job) == "accepted":
                    self.judge.record_cancelled(job)
                    break
                time.sleep(SUBMISSION_PAUSE_SECONDS)
            time.sleep(SUBMISSION_PAUSE_SECONDS)

    def _call(self, rng: random.Random, method: str, job: str) -> str:
        connection = http.client.HTTPConnection(
            rng.choice(self.nodes).callers, timeout=CALL_TIMEOUT_SECONDS
        )
        with contextlib.closing(connection):
            return self._submit(connection, job, method)

    def _inject_faults(self, until: float) -> None:
        """Open windows of late writes, each judged until the next one."""
        while time.monotonic() + LATE_WRITE_PERIOD_SECONDS <= until:
            time.sleep(1.0)
            seconds = self._random.uniform(0.8, 1.2)
            share = self._random.uniform(0.6, 1.0)
            at = time.monotonic() - self._started_at
            self.faults.append(
                f"{at:.2f} s late writes {share:.2f} {seconds:.2f} s"
            )
            draws = random.Random(self._random.random())
            self.platform.draw_write_delay = partial(
                self._draw_delay, draws, share
            )
            time.sleep(seconds)
            self.platform.draw_write_delay = lambda: 0.0
            self.judge.impaired_at = time.monotonic()
            time.sleep(LATE_WRITE_PERIOD_SECONDS - seconds - 1.0)

    @staticmethod
    def _draw_delay(draws: random.Random, share: float) -> float:
        is_late = draws.random() < share
        return draws.uniform(*WRITE_DELAY_SECONDS) if is_late else 0.0


def main() -> int:
    """Run one soak; print the faults, the jobs served and the violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=os.getpid())
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument(
        "--keep",
        help="folder to keep the logs in; by default they are deleted",
    )
    parser.add_argument(
        "--late-writes",
        action="store_true",
        help="late writes of the store and callers that cancel, only",
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(options.keep or temporary)
        folder.mkdir(exist_ok=True)
        kind = LateWriteSoak if options.late_writes else Soak
        soak = kind(options.seed, options.nodes, folder)
        soak.run(options.seconds)
    for fault in soak.faults:
        print(f"injected: {fault}")
    print(f"served: {len(soak.judge.list_accepted())} jobs accepted")
    print(f"served: {len(soak.judge.list_cancelled())} jobs cancelled")
    print(f"served: {soak.judge.run_count} runs started")
    for violation in soak.judge.violations:
        print(f"violated: {violation}")
    print(f"seed {options.seed}: {len(soak.judge.violations)} violations")
    return 1 if soak.judge.violations else 0


if __name__ == "__main__":
    sys.exit(main())
