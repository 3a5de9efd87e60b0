"""A small emulator of the users' platform: store, runners and machines.

Serves the platform's published protocol on one loopback address.
"""

import base64
import json
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from chestnutstair.scheduling.ports import (
    Changes,
    ConditionFailure,
    Expectation,
    HistoryLostFailure,
    Row,
    RowKey,
    RowWrite,
)
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.standins.webserver import (
    Answer,
    Application,
    Request,
    WebServer,
    WebServerSettings,
    answer_json,
    break_connection,
)
from chestnutstair.state.deadline import Deadline

__all__ = ["EmulatedRunner", "PlatformEmulator", "RunObserver"]

ANY_TIME = Deadline(0.0)  # the in-memory store ignores deadlines
FEED_POLL_SECONDS = 0.01
MAX_ENDS = 500  # ends in one answer of a runner
SERVICE_CONFIG = {"healthPath": "/health", "enforcesCapacity": True}


class RunObserver:
    """Callbacks for what runners do; these do nothing."""

    def on_started(self, runner: "EmulatedRunner", task: str) -> None:
        """Handle the start of a run."""

    def on_ended(self, runner: "EmulatedRunner", task: str, how: str) -> None:
        """Handle the end of a run; `how` as in the platform's listings."""

    def on_end_acknowledged(
        self, runner: "EmulatedRunner", task: str, how: str
    ) -> None:
        """Handle the scheduler's acknowledgement of an end."""

    def on_lease_expired(self, runner: "EmulatedRunner") -> None:
        """Handle the expiry of a runner's lease."""


@dataclass
class EmulatedRunner:
    """A runner that completes each task after `work_seconds`."""

    name: str
    machine: str
    service: str
    born: int = 1
    work_seconds: float = 0.05
    fence: int = 0
    lease_ms: int = 0  # on the runner's own clock
    # By task: the run's number, when it is done, and whether it is lasting.
    runs: dict[str, tuple[int, float, bool]] = field(default_factory=dict)
    # By task: the highest run number that has ended or was stopped.
    highest_runs: dict[str, int] = field(default_factory=dict)
    end_count: int = 0
    ends: list[list[Any]] = field(default_factory=list)
    started: list[tuple[str, int]] = field(default_factory=list)
    observer: RunObserver = field(default_factory=RunObserver)
    rack: str = "r1-1"

    def read_clock(self) -> int:
        """Return the runner's own clock in ms."""
        return int(time.monotonic() * 1000) + 5000

    def settle(self) -> None:
        """End runs that are done, or all if the lease has expired."""
        now = time.monotonic()
        lease = now + (self.lease_ms - self.read_clock()) / 1000
        for task, (run, until, lasting) in list(self.runs.items()):
            if not lasting and until <= min(now, lease):
                self.end(task, run, "done")
            elif lease <= now:
                self.end(task, run, "lapsed")
        if lease <= now:
            self.observer.on_lease_expired(self)

    def end(self, task: str, run: int, how: str) -> None:
        """End a run and add it to the list of ends."""
        del self.runs[task]
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, task, run, how, ""])
        self.observer.on_ended(self, task, how)

    def refuse(self, reason: str) -> Answer:
        """Answer that an order is refused, with the reason."""
        body = {"clockMs": self.read_clock(), "reason": reason}
        return answer_json(body, HTTPStatus.CONFLICT)

    def accept(self) -> Answer:
        """Answer that an order is accepted."""
        return answer_json({"clockMs": self.read_clock()})

    def start(self, call: dict[str, Any]) -> Answer:
        """Start a run unless its fence, number or deadline has passed."""
        task, run = call["task"], call["run"]
        if call.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = call.get("fence", 0)
        if call["deadlineMs"] < self.read_clock():
            return self.refuse("late")
        self.lease_ms = max(self.lease_ms, call["deadlineMs"])
        if run <= self.highest_runs.get(task, 0):
            return self.refuse("old")
        if task not in self.runs:
            self.started.append((task, run))
            self.observer.on_started(self, task)
            until = time.monotonic() + self.work_seconds
            self.runs[task] = (run, until, "lasting" in call["spec"])
        return self.accept()

    def stop(self, call: dict[str, Any]) -> Answer:
        """Stop a run, or make sure that it cannot start any more."""
        if call.get("fence", 0) < self.fence:
            return self.refuse("fence")
        task, run = call["task"], call["run"]
        if task in self.runs and self.runs[task][0] == run:
            self.end(task, run, "stopped")
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        return self.accept()

    def hold(self, call: dict[str, Any]) -> Answer:
        """Extend the lease; list running tasks and unacknowledged ends."""
        if call.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = call.get("fence", 0)
        seen = call.get("lastSeen", 0)
        self.lease_ms = max(self.lease_ms, call.get("deadlineMs", 0))
        for number, task, _, how, _ in self.ends:
            if number <= seen:
                self.observer.on_end_acknowledged(self, task, how)
        self.ends = [end for end in self.ends if end[0] > seen]
        return answer_json(
            {
                "clockMs": self.read_clock(),
                "born": self.born,
                "running": [
                    [task, run, "", 100]
                    for task, (run, _, _) in self.runs.items()
                ],
                "finished": self.ends[:MAX_ENDS],
            }
        )


class PlatformEmulator(Application):
    """The platform on one address; a header selects the runner."""

    def __init__(self, observer: RunObserver | None = None) -> None:
        self.observer = observer or RunObserver()
        self.store = MemoryRowStore()
        self.runners: dict[str, EmulatedRunner] = {}
        self.removed_runners: list[EmulatedRunner] = []
        self.spare: list[str] = []
        self.maintained: list[tuple[str, int]] = []
        self.maintained_at: list[float] = []  # monotonic times
        # Returns by how many seconds a write is performed late, without an
        # answer; 0 for none.
        self.draw_write_delay: Callable[[], float] = lambda: 0.0
        self._lock = threading.RLock()
        self._server = WebServer(self, settings=WebServerSettings(threads=96))

    @property
    def address(self) -> str:
        """The address of the platform as `IP:port`."""
        return self._server.address

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def put(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Write a row as the operator or a runner would."""
        data = json.dumps(value).encode()
        write = RowWrite(RowKey(table, "", key), data)
        self.store.commit([], [write], ANY_TIME)

    def find(self, table: str, key: str) -> dict[str, Any] | None:
        """Return the value of a row in the empty partition, if any."""
        rows = self.store.read(table, "", ANY_TIME).unwrap().rows
        for row in rows:
            if row.key.key == key and row.value is not None:
                return dict(json.loads(row.value))
        return None

    def configure(self, version: int, queues: Iterable[str]) -> None:
        """Write a configuration as the operator would."""
        routes = [
            {
                "name": f"r-{name}",
                "host": "jobs.example",
                "prefix": f"/{name}/",
                "service": "boxes",
                "maxAttempts": 3,
                "stretch": 1.6,
                "targetLatencyMs": 600,
                "priority": 0,
            }
            for name in queues
        ]
        services = [
            {"name": "boxes", **SERVICE_CONFIG},
            {"name": "idle", "spare": True, **SERVICE_CONFIG},
        ]
        self.put(
            "op",
            "config",
            {"version": version, "routes": routes, "services": services},
        )

    def add_runner(
        self,
        name: str,
        service: str = "boxes",
        born: int = 1,
        rack: str = "r1-1",
    ) -> EmulatedRunner:
        """Register a runner on a machine of its own."""
        runner = EmulatedRunner(name, f"m-{name}", service, born, rack=rack)
        runner.observer = self.observer
        self.runners[name] = runner
        self.put(
            "servers",
            name,
            {
                "service": service,
                "address": self.address,
                "zone": "zone-a",
                "state": "ready",
                "born": runner.born,
                "capacity": {"cpu": 64000, "memMb": 262144, "gpu": 0},
                "labels": ["a", rack],
                "machine": runner.machine,
                "seq": 1,
            },
        )
        return runner

    def drain_runner(self, name: str) -> None:
        """Let a runner report that it is draining."""
        entry = self.find("servers", name) or {}
        self.put("servers", name, {**entry, "state": "draining"})

    def restart_runner(self, name: str) -> None:
        """Restart a runner, if it exists, without its previous state."""
        with self._lock:
            old = self.runners.pop(name, None)
            if old is None:
                return
            self.observer.on_lease_expired(old)
            new = self.add_runner(name, old.service, old.born + 1, old.rack)
            new.machine = old.machine
            new.work_seconds = old.work_seconds

    def answer(self, request: Request) -> Answer:
        """Answer a call of any of the platform's services."""
        name = request.path[-1]
        call = json.loads(request.body) if request.body else {}
        if name == "rows-feed":
            return self._follow(request)
        delay_seconds = self.draw_write_delay() if name == "rows-tx" else 0.0
        if delay_seconds:
            time.sleep(delay_seconds)
            with self._lock:
                self._commit(call)
            break_connection()
        with self._lock:
            if name == "rows-tx":
                return self._commit(call)
            if name == "rows-get":
                return self._read(request)
            if name == "machines":
                return self._list_machines()
            if name.startswith("machine-"):
                return self._order_machine(name, call)
            return self._call_runner(name, request, call)

    # Store

    @staticmethod
    def _read_key(item: dict[str, Any]) -> RowKey:
        return RowKey(item["table"], item.get("part", ""), item["key"])

    @staticmethod
    def _encode_row(row: Row) -> dict[str, Any]:
        encoded: dict[str, Any] = {
            "table": row.key.table,
            "part": row.key.partition,
            "key": row.key.key,
            "ver": row.version,
        }
        if row.value is None:
            encoded["deleted"] = True
        else:
            encoded["value"] = base64.b64encode(row.value).decode()
        return encoded

    def _answer_changes(self, changes: Changes) -> Answer:
        return answer_json(
            {
                "rows": [self._encode_row(row) for row in changes.rows],
                "ver": changes.version,
                "morePages": False,
                "nowMs": int(time.monotonic() * 1000),
            }
        )

    def _commit(self, call: dict[str, Any]) -> Answer:
        expectations = [
            Expectation(self._read_key(item), item["ver"])
            for item in call["expectedRev"]
        ]
        writes = [
            RowWrite(self._read_key(item), base64.b64decode(item["value"]))
            for item in call["puts"]
        ]
        writes += [
            RowWrite(self._read_key(item), None) for item in call["remove"]
        ]
        parts = {write.key.partition for write in writes}
        if len(parts) > 1:
            return answer_json({}, HTTPStatus.BAD_REQUEST)
        outcome = self.store.commit(expectations, writes, ANY_TIME)
        if outcome.is_ok():
            return answer_json({"ver": outcome.unwrap()})
        failure = outcome.unwrap_err()
        if isinstance(failure, ConditionFailure):
            rows = [self._encode_row(row) for row in failure.rows]
            return answer_json({"rows": rows}, HTTPStatus.PRECONDITION_FAILED)
        return answer_json({}, HTTPStatus.SERVICE_UNAVAILABLE)

    def _read(self, request: Request) -> Answer:
        query = request.query
        outcome = self.store.read(
            query["table"],
            query.get("part", ""),
            ANY_TIME,
            query.get("from", ""),
            query.get("to", ""),
        )
        if outcome.is_err():
            return answer_json({}, HTTPStatus.SERVICE_UNAVAILABLE)
        return self._answer_changes(outcome.unwrap())

    def _follow(self, request: Request) -> Answer:
        query = request.query
        until = time.monotonic() + int(query["waitMs"]) / 1000
        after = int(query["after"])
        while True:
            outcome = self.store.follow(query["table"], after, 0.0, ANY_TIME)
            if outcome.is_err():
                lost = isinstance(outcome.unwrap_err(), HistoryLostFailure)
                return answer_json(
                    {},
                    HTTPStatus.GONE
                    if lost
                    else HTTPStatus.SERVICE_UNAVAILABLE,
                )
            if outcome.unwrap().rows or time.monotonic() >= until:
                return self._answer_changes(outcome.unwrap())
            time.sleep(FEED_POLL_SECONDS)

    # Machines

    def _list_machines(self) -> Answer:
        machines = [
            {
                "machine": runner.machine,
                "pool": runner.service,
                "state": "up",
                "zone": "zone-a",
                "labels": ["a", runner.rack],
                "capacity": {"cpu": 64000, "memMb": 262144, "gpu": 0},
                "id": runner.name,
            }
            for runner in self.runners.values()
        ]
        machines += [
            {
                "machine": name,
                "pool": "idle",
                "state": "up",
                "zone": "zone-a",
                "labels": ["a", "r1-2"],
                "capacity": {"cpu": 64000, "memMb": 262144, "gpu": 0},
                "id": "",
            }
            for name in self.spare
        ]
        return answer_json({"machines": machines, "nextToken": None})

    def _order_machine(self, name: str, call: dict[str, Any]) -> Answer:
        machine = call["machine"]
        found = [
            runner
            for runner in self.runners.values()
            if runner.machine == machine
        ]
        if name == "machine-upkeep":
            self.maintained.append((machine, call["wave"]))
            self.maintained_at.append(time.monotonic())
        if found:
            old = found[0]
            self.removed_runners.append(self.runners.pop(old.name))
            key = RowKey("servers", "", old.name)
            self.store.commit([], [RowWrite(key, None)], ANY_TIME)
        if name == "machine-move" and call["pool"] == "idle":
            self.spare.append(machine)
            return answer_json({})
        if machine in self.spare:
            if name == "machine-upkeep":
                return answer_json({})
            self.spare.remove(machine)
        successor = f"{machine[2:]}x"
        rack = found[0].rack if found else "r1-1"
        self.add_runner(successor, rack=rack).machine = machine
        return answer_json({})

    # Runners

    def _call_runner(
        self, name: str, request: Request, call: dict[str, Any]
    ) -> Answer:
        instance = request.headers.get("x-chestnutstair-expect-instance", "")
        runner = self.runners.get(instance)
        if runner is None:
            return answer_json({}, HTTPStatus.MISDIRECTED_REQUEST)
        runner.settle()
        if name == "run-start":
            return runner.start(call)
        if name == "run-stop":
            return runner.stop(call)
        if name == "hold":
            time.sleep(0.005)
            return runner.hold(call)
        return answer_json({}, HTTPStatus.NOT_FOUND)
