"""A target stand-in: runs requests in slots and keeps an execution log."""

import hashlib
import json
import logging
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from http import HTTPStatus

from chestnutstair.standins.fault import FaultInjector
from chestnutstair.standins.runlog import (
    RunLog,
    RunOutcome,
    TargetLog,
    TargetRun,
)
from chestnutstair.standins.webserver import (
    HOST,
    Answer,
    Application,
    Request,
    WebServer,
    WebServerSettings,
    answer_json,
    break_connection,
    reserve_port,
)
from chestnutstair.state.codec import STRICT

__all__ = [
    "RunOutcome",
    "Target",
    "TargetLog",
    "TargetRun",
    "TargetSettings",
    "TargetStatus",
]

logger = logging.getLogger(__name__)

SPARE_THREADS = 4  # in addition to one for each connection
CONTROL_THREADS = 4
REBOOT_DELAY_SECONDS = 0.05  # so that the answer is sent before the reboot


@dataclass(frozen=True)
class TargetSettings:
    """Limits and timing of the target."""

    __pydantic_config__ = STRICT

    name: str = "target"
    slots: int = 8  # requests that may run concurrently
    connections: int = 64  # further connections are closed at once
    work_ms: float = 5.0  # duration of a request that doesn't set one
    reboot_seconds: float = 1.0
    # How long a leaving target still accepts requests.
    leaving_grace_seconds: float = 3.0
    # Whether to count requests that are refused because no slot is free.
    log_overshoots: bool = True


@dataclass(frozen=True)
class TargetStatus:
    """The current state of the target."""

    __pydantic_config__ = STRICT

    running: int  # requests
    leaving: bool  # refuses requests after the grace period
    boot: int  # incremented by each reboot
    down: bool = False  # while it reboots


class Target(Application):
    """The target, with a listener for requests and one for control.

    Both listeners serve the same paths. Only the request listener has the
    connection limit, and only it is closed during a reboot.
    """

    def __init__(self, settings: TargetSettings, port: int = 0) -> None:
        self._settings = settings
        self._fault_injector = FaultInjector()
        self._lock = threading.Lock()
        self._log = RunLog()
        self._running = 0
        self._leaving_at: float | None = None
        self._boot = 1
        self._down = False
        self._reboot_operations: set[str] = set()
        self._cut = threading.Event()  # set to interrupt running requests
        self._stopped = threading.Event()
        self._reservation = reserve_port(port)
        self._server = WebServer(
            self,
            self._reservation.getsockname()[1],
            WebServerSettings(
                settings.connections + SPARE_THREADS, settings.connections
            ),
        )
        self._control = WebServer(
            self, 0, WebServerSettings(threads=CONTROL_THREADS)
        )

    @property
    def address(self) -> str:
        """The request address as `IP:port`; reboots don't change it."""
        return f"{HOST}:{self._reservation.getsockname()[1]}"

    @property
    def control_address(self) -> str:
        """The control address as `IP:port`; reachable during reboots too."""
        return self._control.address

    def start(self) -> None:
        """Start both listeners."""
        self._control.start()
        self._server.start()

    def stop(self) -> None:
        """Close both listeners and interrupt the running requests."""
        self._stopped.set()
        self._cut.set()
        self._server.stop()
        self._control.stop()
        self._reservation.close()

    def answer(self, request: Request) -> Answer:
        """Handle a control call, or run the request."""
        match (request.method, request.path):
            case ("GET", ("status",)):
                return answer_json(self.get_status())
            case ("GET", ("execution-log",)):
                return answer_json(self.get_log())
            case ("POST", ("faults",)):
                return self._fault_injector.handle_change_request(request)
            case ("POST", ("drain",)):
                return self._set_leaving(True)
            case ("POST", ("undrain",)):
                return self._set_leaving(False)
            case ("POST", ("reboot",)):
                return self._begin_reboot(request)
            case _:
                return self._handle_work(request)

    def get_status(self) -> TargetStatus:
        """Return the current state."""
        with self._lock:
            leaving = self._leaving_at is not None
            return TargetStatus(self._running, leaving, self._boot, self._down)

    def get_log(self) -> TargetLog:
        """Return the execution log."""
        with self._lock:
            return self._log.build(self._server.count_closed())

    def _set_leaving(self, leaving: bool) -> Answer:
        with self._lock:
            if not leaving:
                self._leaving_at = None
            elif self._leaving_at is None:
                self._leaving_at = time.monotonic()
        return answer_json(self.get_status())

    def _begin_reboot(self, request: Request) -> Answer:
        operation = str(json.loads(request.body or b"{}").get("operation", ""))
        with self._lock:
            repeated = operation != "" and operation in self._reboot_operations
            self._reboot_operations.add(operation)
            begins = not repeated and not self._down
            self._down = self._down or begins
        if begins:
            threading.Thread(target=self._reboot, daemon=True).start()
        return answer_json(self.get_status())

    def _reboot(self) -> None:
        logger.info("reboot", extra={"vm": self._settings.name})
        time.sleep(REBOOT_DELAY_SECONDS)
        self._cut.set()
        self._server.stop()
        self._stopped.wait(self._settings.reboot_seconds)
        if self._stopped.is_set():
            return
        with self._lock:
            self._cut = threading.Event()
            self._boot += 1
            self._leaving_at = None
            self._down = False
        self._server.start()

    def _handle_work(self, request: Request) -> Answer:
        fault_answer = self._fault_injector.apply_to_request(request)
        if fault_answer is not None:
            return _add_headers(fault_answer, {"X-Ran": "no"})
        run_or_refusal = self._begin_run(request)
        if isinstance(run_or_refusal, Answer):
            return run_or_refusal
        work_ms = request.headers.get("x-work-ms") or request.query.get(
            "work_ms", str(self._settings.work_ms)
        )
        cut = self._cut.wait(float(work_ms) / 1000)
        self._end_run(
            run_or_refusal, RunOutcome.CUT if cut else RunOutcome.DONE
        )
        if cut:
            break_connection()
        answer = self._build_answer(request)
        return self._fault_injector.apply_to_answer(answer)

    def _begin_run(self, request: Request) -> int | Answer:
        """Occupy a slot and return the index of the run, or a refusal."""
        with self._lock:
            now = time.monotonic()
            leaving = self._leaving_at is not None
            grace = self._settings.leaving_grace_seconds
            if self._leaving_at is not None and now > self._leaving_at + grace:
                self._log.refused_leaving += 1
                return _build_refusal("leaving", {"X-Leaving": "true"})
            if self._down or self._running >= self._settings.slots:
                self._log.overshoots += self._settings.log_overshoots
                return _build_refusal("no free slot", {})
            self._running += 1
            return self._log.begin(request.headers, self._boot, leaving)

    def _end_run(self, index: int, outcome: RunOutcome) -> None:
        with self._lock:
            self._running -= 1
            self._log.end(index, outcome)

    def _build_answer(self, request: Request) -> Answer:
        nonce = request.headers.get("x-nonce", "")
        if self._fault_injector.consume("crossed_answers"):
            nonce = f"{nonce}-of-another"
        size = int(request.headers.get("x-answer-bytes", "0"))
        content = {
            "nonce": nonce,
            "request_id": request.headers.get("x-request-id", ""),
            "target": self._settings.name,
            "received_bytes": len(request.body),
            "padding": "x" * size,
        }
        body = json.dumps(content).encode()
        headers = {
            "X-Nonce": nonce,
            "X-Checksum": hashlib.sha256(body).hexdigest(),
            "X-Ran": "yes",
        }
        if self._leaving_at is not None:
            headers["X-Leaving"] = "true"
        return Answer(HTTPStatus.OK, body, headers)


def _add_headers(answer: Answer, headers: Mapping[str, str]) -> Answer:
    return replace(answer, headers={**answer.headers, **headers})


def _build_refusal(reason: str, headers: Mapping[str, str]) -> Answer:
    body = json.dumps({"reason": reason}).encode()
    refusal = Answer(HTTPStatus.SERVICE_UNAVAILABLE, body)
    return _add_headers(refusal, {"X-Ran": "no", **headers})
