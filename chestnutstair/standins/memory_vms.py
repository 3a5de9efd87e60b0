"""VMs in memory that drain and reboot, with faults to order."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    ListedVm,
    PlatformFailure,
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
    VmControl,
    VmDirectory,
)
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["MemoryVms", "VmVerb"]


class VmVerb(StrEnum):
    """The commands to a VM."""

    ANNOUNCE = "announce"
    CANCEL = "cancel"
    REBOOT = "reboot"


# A command is refused once this other one ended the same operation.
OPPOSITES = {
    VmVerb.ANNOUNCE: VmVerb.CANCEL,
    VmVerb.CANCEL: VmVerb.REBOOT,
    VmVerb.REBOOT: VmVerb.CANCEL,
}


@dataclass
class _MemoryVm:
    listed: ListedVm
    running: int = 0
    token: int = 0
    back_at: float | None = None  # monotonic seconds
    done: set[tuple[VmVerb, str]] = field(default_factory=set)


class MemoryVms(VmControl, VmDirectory):
    """VMs in memory, and a list of them that lags by `lag` seconds.

    `before` is called ahead of each command, and `lose_answers` hides the
    answers of that many commands. `list_down` and `commands_down` refuse
    everything; `hidden` VMs are listed as dead, `withdrawn` ones as
    leaving. `reboots` counts them by VM and operation, and `cut` names the
    VMs rebooted with requests in flight.
    """

    def __init__(
        self, clock: Clock, lag: float = 1.0, reboot_seconds: float = 5.0
    ) -> None:
        self._clock = clock
        self.lag = lag
        self.reboot_seconds = reboot_seconds
        self._vms: dict[str, _MemoryVm] = {}
        self._snapshots: list[tuple[float, tuple[ListedVm, ...]]] = []
        self.before: Callable[[], None] = lambda: None
        self.lose_answers = 0
        self.list_down = False
        self.commands_down = False
        self.hidden: set[str] = set()
        self.withdrawn: set[str] = set()
        self.reboots: Counter[tuple[str, str]] = Counter()
        self.cut: list[str] = []

    def add(self, name: str, zone: str) -> None:
        """Add a live VM."""
        listed = ListedVm(name, zone, live=True, leaving=False, boot=1)
        self._vms[name] = _MemoryVm(listed)

    def set_live(self, names: Iterable[str], live: bool) -> None:
        """Let VMs fail, or come back with another boot."""
        for name in names:
            vm = self._vms[name]
            if vm.listed.live is live:
                continue
            boot = vm.listed.boot + live
            vm.listed = replace(vm.listed, live=live, boot=boot, leaving=False)
            vm.running = 0
            vm.back_at = None

    def is_leaving(self, name: str) -> bool:
        """Tell whether the VM refuses new requests."""
        return self._vms[name].listed.leaving

    def start_request(self, name: str) -> bool:
        """Start a request, unless the VM is dead or refuses it."""
        vm = self._vms[name]
        taken = vm.listed.live and not vm.listed.leaving
        vm.running += taken
        return taken

    def end_requests(self, name: str, count: int) -> None:
        """End that many requests, or all that run."""
        vm = self._vms[name]
        vm.running -= min(vm.running, count)

    def list_vms(
        self, deadline: Deadline
    ) -> Result[tuple[ListedVm, ...], PlatformFailure]:
        """Return the VMs as they were some time ago."""
        if self.list_down:
            return Err(UnavailableFailure("the list is down"))
        now = self._clock.read_monotonic()
        for vm in self._vms.values():
            self._end_reboot(vm, now)
        listed = tuple(self._list_vm(vm.listed) for vm in self._vms.values())
        self._snapshots.append((now, listed))
        past = now - self.lag
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= past:
            self._snapshots.pop(0)
        return Ok(self._snapshots[0][1])

    def _list_vm(self, listed: ListedVm) -> ListedVm:
        return replace(
            listed,
            live=listed.live and listed.name not in self.hidden,
            leaving=listed.leaving or listed.name in self.withdrawn,
        )

    def _end_reboot(self, vm: _MemoryVm, now: float) -> None:
        if vm.back_at is not None and now >= vm.back_at:
            vm.back_at = None
            boot = vm.listed.boot + 1
            vm.listed = replace(vm.listed, live=True, leaving=False, boot=boot)

    def announce_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Let the VM refuse new requests."""
        return self._operate(VmVerb.ANNOUNCE, vm, operation, token)

    def cancel_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Let the VM take new requests again."""
        return self._operate(VmVerb.CANCEL, vm, operation, token)

    def reboot(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Reboot the VM."""
        return self._operate(VmVerb.REBOOT, vm, operation, token)

    def count_running(
        self, vm: str, deadline: Deadline
    ) -> Result[int, PlatformFailure]:
        """Return the requests that run on the VM."""
        if not self._vms[vm].listed.live:
            return Err(UnavailableFailure("the VM is dead"))
        return Ok(self._vms[vm].running)

    def _operate(
        self, verb: VmVerb, name: str, operation: str, token: int
    ) -> Result[None, PlatformFailure]:
        self.before()
        if self.commands_down:
            return Err(UnavailableFailure("the VMs can not be reached"))
        vm = self._vms[name]
        if token < vm.token:
            return Err(RefusedFailure("the token is too low"))
        if (OPPOSITES[verb], operation) in vm.done:
            return Err(RefusedFailure("the operation has ended"))
        vm.token = token
        if (verb, operation) not in vm.done:
            vm.done.add((verb, operation))
            self._apply(verb, name, vm, operation)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Err(UnknownOutcomeFailure("the answer was lost"))
        return Ok(None)

    def _apply(
        self, verb: VmVerb, name: str, vm: _MemoryVm, operation: str
    ) -> None:
        leaving = verb is VmVerb.ANNOUNCE
        if verb is VmVerb.REBOOT:
            self._reboot(name, vm, operation)
        elif vm.listed.live:
            vm.listed = replace(vm.listed, leaving=leaving)

    def _reboot(self, name: str, vm: _MemoryVm, operation: str) -> None:
        self.reboots[name, operation] += 1
        if vm.running or (vm.listed.live and not vm.listed.leaving):
            self.cut.append(name)
        vm.running = 0
        vm.listed = replace(vm.listed, live=False)
        vm.back_at = self._clock.read_monotonic() + self.reboot_seconds
