"""The platform's VMs: a VM list that lags, and commands to the VMs."""

import logging
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

import urllib3
from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    ListedVm,
    PlatformFailure,
    RefusedFailure,
    UnavailableFailure,
)
from chestnutstair.protocol.platform import VmCall
from chestnutstair.standins.target import TargetStatus
from chestnutstair.standins.worker import WorkerFleet
from chestnutstair.state.codec import STRICT, decode_json, encode_json
from chestnutstair.state.deadline import Clock

__all__ = ["VmCommand", "VmFleet", "VmRegistration", "VmSettings"]

logger = logging.getLogger(__name__)

POLL_THREADS = 8


@dataclass(frozen=True)
class VmSettings:
    """Lag of the VM list and polling of the target processes."""

    __pydantic_config__ = STRICT

    list_lag_seconds: float = 1.0  # age of the state that the list shows
    poll_seconds: float = 0.5  # between two polls of all VMs
    call_timeout_seconds: float = 1.0  # of each call to a target process


@dataclass(frozen=True)
class VmRegistration:
    """A VM to register."""

    __pydantic_config__ = STRICT

    name: str
    zone: str
    address: str = ""  # of its process; empty for a worker


class VmCommand(StrEnum):
    """Commands to a VM; the values are parts of URL paths."""

    ANNOUNCE_DRAIN = "announce_drain"
    CANCEL_DRAIN = "cancel_drain"
    REBOOT = "reboot"


TARGET_PATHS = {
    VmCommand.ANNOUNCE_DRAIN: "/drain",
    VmCommand.CANCEL_DRAIN: "/undrain",
    VmCommand.REBOOT: "/reboot",
}


class _Vm:
    """The platform's record of one VM."""

    def __init__(self, registration: VmRegistration) -> None:
        self.registration = registration
        self.lock = threading.Lock()
        self.token = 0  # highest fencing token so far
        self.executed: set[tuple[VmCommand, str]] = set()
        self.leaving = False
        self.boot = 1

    def check(
        self, command: VmCommand, call: VmCall
    ) -> PlatformFailure | None:
        """Return why the command is refused, or None if it is accepted."""
        if call.token < self.token:
            return RefusedFailure(
                f"fencing token {call.token} is lower than {self.token}"
            )
        conflicting = (
            VmCommand.REBOOT
            if command is VmCommand.CANCEL_DRAIN
            else VmCommand.CANCEL_DRAIN
        )
        if (conflicting, call.operation) in self.executed:
            return RefusedFailure(
                f"{conflicting} of {call.operation} was executed first"
            )
        return None


class VmFleet:
    """All VMs; polls the status of the target processes once started."""

    def __init__(
        self, clock: Clock, settings: VmSettings, workers: WorkerFleet
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._workers = workers
        self._vms: dict[str, _Vm] = {}
        self._snapshots: list[tuple[float, tuple[ListedVm, ...]]] = []
        self._http = urllib3.PoolManager(
            num_pools=1024,
            retries=False,
            timeout=settings.call_timeout_seconds,
        )
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start polling the VMs."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling and close the connections."""
        self._stopped.set()
        self._thread.join()
        self._http.clear()

    def register(self, registration: VmRegistration) -> None:
        """Add the VM, or update its zone and address."""
        existing = self._vms.get(registration.name)
        if existing is not None:
            existing.registration = registration
            return
        self._vms[registration.name] = _Vm(registration)
        if not registration.address:
            self._workers.add(registration.name)

    def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the VMs as they were `list_lag_seconds` ago."""
        cutoff = self._clock.read_monotonic() - self._settings.list_lag_seconds
        found: tuple[ListedVm, ...] = ()
        for at, listed in list(self._snapshots):
            if at <= cutoff:
                found = listed
        return found

    def execute(
        self, name: str, command: VmCommand, call: VmCall
    ) -> Result[None, PlatformFailure]:
        """Execute the command, once for each operation id."""
        vm = self._vms.get(name)
        if vm is None:
            return Err(RefusedFailure(f"unknown VM {name}"))
        with vm.lock:
            failure = vm.check(command, call)
            if failure is not None:
                return Err(failure)
            vm.token = call.token
            if (command, call.operation) in vm.executed:
                return Ok(None)
            outcome = self._execute(vm, command, call)
            if outcome.is_ok():
                vm.executed.add((command, call.operation))
            return outcome

    def _execute(
        self, vm: _Vm, command: VmCommand, call: VmCall
    ) -> Result[None, PlatformFailure]:
        name = vm.registration.name
        logger.info(
            "Executing a VM command", extra={"verb": command, "vm": name}
        )
        if vm.registration.address:
            return self._call_target(vm, command, call)
        vm.leaving = command is VmCommand.ANNOUNCE_DRAIN
        if command is VmCommand.REBOOT:
            vm.boot += 1
            self._workers.reboot(vm.registration.name)
        return Ok(None)

    def _call_target(
        self, vm: _Vm, command: VmCommand, call: VmCall
    ) -> Result[None, PlatformFailure]:
        url = f"http://{vm.registration.address}{TARGET_PATHS[command]}"
        try:
            answer = self._http.request("POST", url, body=encode_json(call))
        except urllib3.exceptions.HTTPError as error:
            return Err(UnavailableFailure(f"no answer from the VM: {error}"))
        if answer.status != HTTPStatus.OK:
            return Err(UnavailableFailure(f"the VM answered {answer.status}"))
        return Ok(None)

    def count_running(self, name: str) -> Result[int, PlatformFailure]:
        """Return the number of requests or tasks that run on the VM."""
        vm = self._vms.get(name)
        if vm is None:
            return Err(RefusedFailure(f"unknown VM {name}"))
        if not vm.registration.address:
            return self._workers.count_running(name)
        status = self._fetch_status(vm)
        if status is None or status.down:
            return Err(UnavailableFailure("no answer from the VM"))
        return Ok(status.running)

    def _fetch_status(self, vm: _Vm) -> TargetStatus | None:
        url = f"http://{vm.registration.address}/status"
        try:
            body = self._http.request("GET", url).data
        except urllib3.exceptions.HTTPError:
            return None
        return decode_json(TargetStatus, body).ok()

    def _run(self) -> None:
        with ThreadPoolExecutor(POLL_THREADS) as pool:
            while not self._stopped.is_set():
                vms = list(self._vms.values())
                listed = tuple(pool.map(self._observe, vms))
                self._record_snapshot(listed)
                self._stopped.wait(self._settings.poll_seconds)

    def _observe(self, vm: _Vm) -> ListedVm:
        name = vm.registration.name
        live = True
        if vm.registration.address:
            status = self._fetch_status(vm)
            live = status is not None and not status.down
            if status is not None:
                vm.leaving = status.leaving
                vm.boot = status.boot
        else:
            live = self._workers.check_reachable(name) is None
        zone = vm.registration.zone
        return ListedVm(name, zone, live, vm.leaving, vm.boot)

    def _record_snapshot(self, listed: tuple[ListedVm, ...]) -> None:
        now = self._clock.read_monotonic()
        cutoff = now - self._settings.list_lag_seconds
        if not self._snapshots or self._snapshots[-1][1] != listed:
            self._snapshots.append((now, listed))
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= cutoff:
            self._snapshots.pop(0)
