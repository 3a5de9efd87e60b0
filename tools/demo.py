"""Demonstrates tickets, requests, a drain and a job on loopback."""

import json
import signal
import subprocess
import sys
import threading
import time
from dataclasses import replace
from typing import Any

from chestnutstair.standins.cluster import Call, LocalCluster, wait_until
from chestnutstair.standins.target import TargetSettings
from chestnutstair.state.codec import encode_json
from chestnutstair.state.fleet import Job, Pool, PoolKind, Team, Vm, Zone
from chestnutstair.state.resource import Resources
from chestnutstair.state.ticket import Ticket

__all__ = ["main"]

ZONES = ("zone-a", "zone-b")
DAEMONS = ("entry-0", "entry-1", "entry-2")
RUNNER_COUNT = 4
WORKER_COUNT = 2
# Short, so that a VM is drained and rebooted during the demo.
MAINTENANCE_PERIOD_SECONDS = 20.0
SETTINGS: dict[str, Any] = {
    "loops": {"list_age_seconds": 0.5},
    "drains": {"healthy_checks": 1},
    "forwarding": {"stop_notice_seconds": 0.5},
    "log": {"level": "warning"},
}


def _print_progress(text: str) -> None:
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


class _Callers:
    """Sends requests through all daemons until stopped."""

    def __init__(self, cluster: LocalCluster, count: int) -> None:
        self._cluster = cluster
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self.daemons = list(DAEMONS)
        self.outcomes: dict[str, int] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(count)
        ]

    def start(self) -> None:
        """Start all caller threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the requests in flight and wait for the threads."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, index: int) -> None:
        turn = index
        while not self._stopping.is_set():
            daemons = self.daemons
            self._count_outcome(self._send(daemons[turn % len(daemons)]))
            turn += 1

    def _send(self, daemon: str) -> str:
        headers = {"X-Work-Ms": "40", "X-Urgency": "normal"}
        try:
            answer = self._cluster.send(
                daemon, Call("quotes", "/price", headers=headers)
            )
        except OSError:
            return "connection failed"
        except Exception as error:
            return type(error).__name__
        ran = answer.headers.get("X-Ran")
        return f"{answer.status}, ran: {ran}"

    def _count_outcome(self, outcome: str) -> None:
        with self._lock:
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def _build_ticket(cluster: LocalCluster) -> Ticket:
    runners = [
        Vm(name, "quotes", ZONES[index % 2], f"rack-{index}", address)
        for index, (name, address) in enumerate(cluster.targets.items())
    ]
    workers = [
        Vm(
            f"worker-{index}",
            "boxes",
            ZONES[index % 2],
            f"rack-{index}",
            f"127.0.0.1:{index + 1}",
            Resources(64, 256),
        )
        for index in range(WORKER_COUNT)
    ]
    return Ticket(
        number=1,
        author="demo",
        reason="First state of the fleet",
        zones=tuple(Zone(name, "region-1") for name in ZONES),
        teams=(Team("boxes", Resources(128, 512)),),
        pools=(
            Pool(
                "quotes",
                PoolKind.RUNNERS,
                "quotes",
                availability_budget=1,
                maintenance_period_seconds=MAINTENANCE_PERIOD_SECONDS,
            ),
            Pool("boxes", PoolKind.WORKERS, "boxes", 1),
        ),
        vms=tuple(runners + workers),
        jobs=(),
    )


def _start(cluster: LocalCluster) -> None:
    _print_progress(
        "starting the platform, 4 runners, 2 workers and 3 daemons in 2 zones"
    )
    cluster.start_platform({"vms": {"list_lag_seconds": 0.5}})
    for index in range(RUNNER_COUNT):
        settings = TargetSettings(f"runner-{index}", reboot_seconds=1.0)
        cluster.start_target(settings, ZONES[index % 2])
    for index in range(WORKER_COUNT):
        cluster.register_vm(f"worker-{index}", ZONES[index % 2])
    for index, name in enumerate(DAEMONS):
        cluster.start_daemon(name, ZONES[index % 2], SETTINGS)
    for name in DAEMONS:
        cluster.wait_ready(name)


def _run_client(
    cluster: LocalCluster, daemon: str, *arguments: str, text: str = ""
) -> str:
    address = cluster.daemons[daemon].admin
    command = ["-m", "chestnutstair.cli", "--address", address, *arguments]
    completed = subprocess.run(
        [sys.executable, *command],
        input=text,
        capture_output=True,
        text=True,
        check=False,
    )
    if completed.returncode:
        sys.exit(
            f"{' '.join(arguments)}: {completed.stdout}{completed.stderr}"
        )
    return completed.stdout


def _file_ticket(cluster: LocalCluster, daemon: str, ticket: Ticket) -> None:
    number = str(ticket.number)
    started = time.monotonic()
    _run_client(
        cluster, daemon, "ticket", "file", text=encode_json(ticket).decode()
    )
    _run_client(cluster, daemon, "ticket", "wait", number)
    _print_progress(
        f"ticket {number} filed and in force after "
        f"{time.monotonic() - started:.2f} s"
    )
    print(_run_client(cluster, daemon, "ticket", "show", number))


def _watch_drain(cluster: LocalCluster) -> None:
    def find_drain() -> dict[str, Any] | None:
        drains = cluster.call_admin("entry-0", "GET", "/drains")[1]
        return drains[0] if drains else None

    def find_recovery(vm: str) -> dict[str, Any] | None:
        page = cluster.call_admin("entry-0", "GET", "/audit?limit=500")[1]
        for record in page["records"]:
            change = record["change"]
            if change["kind"] == "recovery" and change["vm"] == vm:
                return dict(change)
        return None

    vm = wait_until("a drain", find_drain)["vm"]
    _print_progress(f"{vm} is being drained for maintenance")
    print(_run_client(cluster, "entry-0", "pool", "list"))
    wait_until("the recovery record", lambda: find_recovery(vm))
    _print_progress(
        f"{vm} was rebooted, passed its health checks and serves again"
    )


def _run_job(cluster: LocalCluster, ticket: Ticket) -> Ticket:
    job = Job(
        "build-boxes",
        "boxes",
        "boxes",
        "normal",
        Resources(4, 8),
        run_seconds=2.0,
        task_count=3,
        payload='{"run_seconds": 2}',
    )
    job_ticket = Ticket(
        ticket.number + 1, "demo", "Today's boxes", jobs=(job,)
    )
    _file_ticket(cluster, "entry-1", job_ticket)

    def find_finished() -> dict[str, Any] | None:
        jobs = cluster.call_admin("entry-1", "GET", "/jobs")[1]
        return next(
            (item for item in jobs if item["tasks"].get("finished") == 3),
            None,
        )

    wait_until("the end of the job", find_finished)
    log = cluster.call_platform("GET", "/execution-log")
    _print_progress(
        f"job {job.name} finished; "
        f"execution log of the workers: {json.dumps(log)}"
    )
    return job_ticket


def _restart_daemon(cluster: LocalCluster, callers: _Callers) -> None:
    callers.daemons = ["entry-0", "entry-1"]
    time.sleep(0.5)  # lets the requests in flight through entry-2 finish
    cluster.end("entry-2", signal.SIGKILL)
    _print_progress("killed entry-2; starting it again with empty memory")
    cluster.start_daemon("entry-2", ZONES[0], SETTINGS)
    cluster.wait_ready("entry-2")
    status = cluster.call_admin("entry-2", "GET", "/status")[1]
    _print_progress(
        "the restarted entry-2 serves with the configuration of ticket "
        f"{status['ticket']}"
    )
    callers.daemons = list(DAEMONS)


def main() -> int:
    """Run the demo; return 0 if every request was answered with 200."""
    with LocalCluster() as cluster:
        _start(cluster)
        ticket = _build_ticket(cluster)
        _file_ticket(cluster, "entry-0", ticket)
        callers = _Callers(cluster, 6)
        callers.start()
        _watch_drain(cluster)
        ticket = _run_job(cluster, ticket)
        _restart_daemon(cluster, callers)
        _file_ticket(cluster, "entry-2", replace(ticket, number=3, jobs=()))
        callers.stop()
        _print_progress(f"requests by outcome: {callers.outcomes}")
        for name in DAEMONS:
            _print_progress(f"{name} exited with status {cluster.end(name)}")
    failed = set(callers.outcomes) - {"200, ran: yes"}
    _print_progress("no request failed" if not failed else f"failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
