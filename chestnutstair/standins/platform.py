"""The platform stand-in: table, object store, VMs and workers over HTTP."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, TypeVar

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    ConflictFailure,
    PlatformFailure,
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.protocol.platform import (
    CommitCall,
    ReadCall,
    RefusalAnswer,
    RenewCall,
    ScanCall,
    StartCall,
    StopCall,
    ThrottleCall,
    VmCall,
)
from chestnutstair.standins.fault import FaultInjector
from chestnutstair.standins.table import MemoryObjectStore, MemoryTable
from chestnutstair.standins.vm import (
    VmCommand,
    VmFleet,
    VmRegistration,
    VmSettings,
)
from chestnutstair.standins.webserver import (
    Answer,
    Application,
    Request,
    WebServer,
    WebServerSettings,
    answer_json,
)
from chestnutstair.standins.worker import WorkerFleet, WorkerSettings
from chestnutstair.state.codec import STRICT, DecodeFailure, decode_json
from chestnutstair.state.deadline import Clock, Deadline, SystemClock

__all__ = ["Platform", "PlatformSettings"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

NO_DEADLINE = Deadline(float("inf"))
# Faults affect only these paths; /execution-log and /faults always respond.
FAULT_PATHS = ("table", "objects", "vms", "workers")


@dataclass(frozen=True)
class PlatformSettings:
    """Settings of the platform stand-in."""

    __pydantic_config__ = STRICT

    threads: int = 32  # that answer requests
    vms: VmSettings = field(default_factory=VmSettings)
    workers: WorkerSettings = field(default_factory=WorkerSettings)


class Platform(Application):
    """The platform in memory, behind one HTTP server."""

    def __init__(
        self,
        settings: PlatformSettings,
        port: int = 0,
        clock: Clock | None = None,
    ) -> None:
        clock = clock or SystemClock()
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.fault_injector = FaultInjector()
        self.workers = WorkerFleet(
            clock, settings.workers, self.fault_injector
        )
        self.vms = VmFleet(clock, settings.vms, self.workers)
        self._server = WebServer(
            self, port, WebServerSettings(threads=settings.threads)
        )

    @property
    def address(self) -> str:
        """The listen address as `IP:port`, available after `start`."""
        return self._server.address

    def start(self) -> None:
        """Start the server and the polling of the VMs."""
        self._server.start()
        self.vms.start()

    def stop(self) -> None:
        """Stop the server and the polling of the VMs."""
        self._server.stop()
        self.vms.stop()

    def answer(self, request: Request) -> Answer:
        """Route one call, or return the answer of an injected fault."""
        if request.path[0] in FAULT_PATHS:
            fault_answer = self.fault_injector.apply_to_request(request)
            if fault_answer is not None:
                return fault_answer
        match (request.method, request.path):
            case ("POST", ("table", action)):
                return self._answer_table(action, request)
            case ("PUT", ("objects", name)):
                outcome = self.objects.put(name, request.body, NO_DEADLINE)
                return _answer_result(outcome)
            case ("GET", ("objects", name)):
                return self._answer_object(name)
            case (_, ("vms", *rest)):
                return self._answer_vms(tuple(rest), request)
            case (_, ("workers", worker, "tasks", *rest)):
                return self._answer_workers(worker, tuple(rest), request)
            case ("GET", ("execution-log",)):
                return answer_json(self.workers.list_runs())
            case ("POST", ("faults",)):
                return self.fault_injector.handle_change_request(request)
        return _build_refusal(HTTPStatus.NOT_FOUND, "no such path")

    def _answer_table(self, action: str, request: Request) -> Answer:
        match action:
            case "read":
                return _handle_call(ReadCall, request, self._read)
            case "scan":
                return _handle_call(ScanCall, request, self._scan)
            case "commit":
                answer = _handle_call(CommitCall, request, self._commit)
                return self.fault_injector.apply_to_answer(answer)
        return _build_refusal(
            HTTPStatus.NOT_FOUND, f"unknown table action {action}"
        )

    def _read(self, call: ReadCall) -> Result[Any, PlatformFailure]:
        return self.table.read(call.keys, NO_DEADLINE)

    def _scan(self, call: ScanCall) -> Result[Any, PlatformFailure]:
        return self.table.scan(
            call.table, call.start, call.end, call.limit, NO_DEADLINE
        )

    def _commit(
        self, call: CommitCall
    ) -> Result[None, ConflictFailure | PlatformFailure]:
        return self.table.commit(call.conditions, call.writes, NO_DEADLINE)

    def _answer_object(self, name: str) -> Answer:
        match self.objects.get(name, NO_DEADLINE):
            case Ok(None):
                return _build_refusal(
                    HTTPStatus.NOT_FOUND, f"no object {name}"
                )
            case Ok(bytes() as body):
                headers = {"Content-Type": "application/octet-stream"}
                return Answer(HTTPStatus.OK, body, headers)
            case outcome:
                return _answer_result(outcome)

    def _answer_vms(self, rest: tuple[str, ...], request: Request) -> Answer:
        match (request.method, rest):
            case ("GET", ()):
                return answer_json(self.vms.list_vms())
            case ("POST", ()):
                return _handle_call(VmRegistration, request, self._register)
            case ("GET", (name, "running")):
                return _answer_result(self.vms.count_running(name))
            case ("POST", (name, command)) if command in list(VmCommand):
                return _handle_call(
                    VmCall,
                    request,
                    lambda call: self.vms.execute(
                        name, VmCommand(command), call
                    ),
                )
        return _build_refusal(HTTPStatus.NOT_FOUND, "no such path")

    def _register(
        self, registration: VmRegistration
    ) -> Result[None, PlatformFailure]:
        self.vms.register(registration)
        return Ok(None)

    def _answer_workers(
        self, worker: str, rest: tuple[str, ...], request: Request
    ) -> Answer:
        fleet = self.workers
        match (request.method, rest):
            case ("GET", ()):
                return _answer_result(fleet.report_tasks(worker))
            case ("POST", ("start",)):
                return _handle_call(
                    StartCall,
                    request,
                    lambda call: fleet.start_task(worker, call),
                )
            case ("POST", ("renew",)):
                return _handle_call(
                    RenewCall,
                    request,
                    lambda call: fleet.renew_tasks(worker, call),
                )
            case ("POST", ("stop",)):
                return _handle_call(
                    StopCall,
                    request,
                    lambda call: fleet.stop_task(worker, call),
                )
            case ("POST", ("throttle",)):
                return _handle_call(
                    ThrottleCall,
                    request,
                    lambda call: fleet.throttle_task(worker, call),
                )
        return _build_refusal(HTTPStatus.NOT_FOUND, "no such path")


def _handle_call(
    call_type: type[T],
    request: Request,
    execute: Callable[[T], Result[Any, ConflictFailure | PlatformFailure]],
) -> Answer:
    """Decode the body, execute the call and build the answer.

    Answers with status 400 if the body does not decode.
    """
    match decode_json(call_type, request.body):
        case Ok(call):
            return _answer_result(execute(call))
        case Err(DecodeFailure(mistakes)):
            reason = "; ".join(f"{m.path}: {m.problem}" for m in mistakes)
            return _build_refusal(HTTPStatus.BAD_REQUEST, reason)
    raise AssertionError(call_type)


def _answer_result(
    outcome: Result[Any, ConflictFailure | PlatformFailure],
) -> Answer:
    match outcome:
        case Ok(value):
            return answer_json(value)
        case Err(ConflictFailure(rows)):
            refusal = RefusalAnswer("a commit condition was not met", rows)
            return answer_json(refusal, HTTPStatus.CONFLICT)
        case Err(RefusedFailure(reason)):
            return _build_refusal(HTTPStatus.FORBIDDEN, reason)
        case Err(UnavailableFailure(reason)):
            return _build_refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        case Err(UnknownOutcomeFailure(reason)):
            return _build_refusal(HTTPStatus.GATEWAY_TIMEOUT, reason)
    raise AssertionError(outcome)


def _build_refusal(status: HTTPStatus, reason: str) -> Answer:
    return answer_json(RefusalAnswer(reason), status)
