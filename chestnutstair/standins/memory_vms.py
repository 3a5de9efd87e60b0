"""In-memory VMs that drain and reboot, with injectable faults."""

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

__all__ = ["MemoryVms", "VmCommand"]


class VmCommand(StrEnum):
    """Commands that change the state of a VM."""

    ANNOUNCE = "announce"
    CANCEL = "cancel"
    REBOOT = "reboot"


# A command is refused if the one that it maps to was executed before it in
# the same operation.
CONFLICTING_COMMANDS = {
    VmCommand.ANNOUNCE: VmCommand.CANCEL,
    VmCommand.CANCEL: VmCommand.REBOOT,
    VmCommand.REBOOT: VmCommand.CANCEL,
}


@dataclass
class _MemoryVm:
    listed: ListedVm
    running: int = 0  # requests
    token: int = 0  # highest fencing token so far
    reboot_ends_at: float | None = None  # monotonic seconds
    executed: set[tuple[VmCommand, str]] = field(default_factory=set)


class MemoryVms(VmControl, VmDirectory):
    """In-memory VMs, and a VM list that lags behind their state.

    Tests set the public attributes to inject faults.
    """

    def __init__(
        self, clock: Clock, list_lag: float = 1.0, reboot_seconds: float = 5.0
    ) -> None:
        self._clock = clock
        self.list_lag = list_lag  # seconds
        self.reboot_seconds = reboot_seconds
        self._vms: dict[str, _MemoryVm] = {}
        self._snapshots: list[tuple[float, tuple[ListedVm, ...]]] = []
        # Called at the start of each command.
        self.before_command: Callable[[], None] = lambda: None
        # How many of the next commands take effect but lose their answers.
        self.lose_answers = 0
        # While set, the VM list is unavailable, or all commands are.
        self.list_down = False
        self.commands_down = False
        # VMs that are wrongly listed as dead, or as leaving.
        self.listed_dead: set[str] = set()
        self.listed_leaving: set[str] = set()
        # How often each VM was rebooted, by VM and operation.
        self.reboots: Counter[tuple[str, str]] = Counter()
        # VMs that were rebooted while requests ran or were still accepted.
        self.unsafe_reboots: list[str] = []

    def add(self, name: str, zone: str) -> None:
        """Add a live VM."""
        listed = ListedVm(name, zone, live=True, leaving=False, boot=1)
        self._vms[name] = _MemoryVm(listed)

    def set_live(self, names: Iterable[str], live: bool) -> None:
        """Make VMs fail, or come back with an incremented boot number.

        Requests that run on the VMs are lost.
        """
        for name in names:
            vm = self._vms[name]
            if vm.listed.live is live:
                continue
            boot = vm.listed.boot + live
            vm.listed = replace(vm.listed, live=live, boot=boot, leaving=False)
            vm.running = 0
            vm.reboot_ends_at = None

    def is_leaving(self, name: str) -> bool:
        """Return whether the VM refuses new requests because it drains."""
        return self._vms[name].listed.leaving

    def start_request(self, name: str) -> bool:
        """Start a request, unless the VM is dead or drains.

        Returns whether the request started.
        """
        vm = self._vms[name]
        accepted = vm.listed.live and not vm.listed.leaving
        vm.running += accepted
        return accepted

    def end_requests(self, name: str, count: int) -> None:
        """End that many requests, or all if fewer run."""
        vm = self._vms[name]
        vm.running -= min(vm.running, count)

    def list_vms(
        self, deadline: Deadline
    ) -> Result[tuple[ListedVm, ...], PlatformFailure]:
        """Return the VMs as they were `list_lag` seconds ago."""
        if self.list_down:
            return Err(UnavailableFailure("the VM list is unavailable"))
        now = self._clock.read_monotonic()
        for vm in self._vms.values():
            self._end_reboot(vm, now)
        listed = tuple(
            self._apply_list_faults(vm.listed) for vm in self._vms.values()
        )
        self._snapshots.append((now, listed))
        cutoff = now - self.list_lag
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= cutoff:
            self._snapshots.pop(0)
        return Ok(self._snapshots[0][1])

    def _apply_list_faults(self, listed: ListedVm) -> ListedVm:
        return replace(
            listed,
            live=listed.live and listed.name not in self.listed_dead,
            leaving=listed.leaving or listed.name in self.listed_leaving,
        )

    def _end_reboot(self, vm: _MemoryVm, now: float) -> None:
        if vm.reboot_ends_at is not None and now >= vm.reboot_ends_at:
            vm.reboot_ends_at = None
            boot = vm.listed.boot + 1
            vm.listed = replace(vm.listed, live=True, leaving=False, boot=boot)

    def announce_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Make the VM refuse new requests."""
        return self._execute(VmCommand.ANNOUNCE, vm, operation, token)

    def cancel_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Make the VM accept new requests again."""
        return self._execute(VmCommand.CANCEL, vm, operation, token)

    def reboot(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Reboot the VM, which interrupts its running requests."""
        return self._execute(VmCommand.REBOOT, vm, operation, token)

    def count_running(
        self, vm: str, deadline: Deadline
    ) -> Result[int, PlatformFailure]:
        """Return the number of requests that run on the VM."""
        if not self._vms[vm].listed.live:
            return Err(UnavailableFailure("the VM is dead"))
        return Ok(self._vms[vm].running)

    def _execute(
        self, command: VmCommand, name: str, operation: str, token: int
    ) -> Result[None, PlatformFailure]:
        self.before_command()
        if self.commands_down:
            return Err(UnavailableFailure("the VMs are unreachable"))
        vm = self._vms[name]
        if token < vm.token:
            return Err(RefusedFailure("the fencing token is outdated"))
        if (CONFLICTING_COMMANDS[command], operation) in vm.executed:
            return Err(
                RefusedFailure("a conflicting command was executed first")
            )
        vm.token = token
        if (command, operation) not in vm.executed:
            vm.executed.add((command, operation))
            self._apply(command, name, vm, operation)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Err(UnknownOutcomeFailure("the answer was lost"))
        return Ok(None)

    def _apply(
        self, command: VmCommand, name: str, vm: _MemoryVm, operation: str
    ) -> None:
        leaving = command is VmCommand.ANNOUNCE
        if command is VmCommand.REBOOT:
            self._reboot(name, vm, operation)
        elif vm.listed.live:
            vm.listed = replace(vm.listed, leaving=leaving)

    def _reboot(self, name: str, vm: _MemoryVm, operation: str) -> None:
        self.reboots[name, operation] += 1
        if vm.running or (vm.listed.live and not vm.listed.leaving):
            self.unsafe_reboots.append(name)
        vm.running = 0
        vm.listed = replace(vm.listed, live=False)
        vm.reboot_ends_at = self._clock.read_monotonic() + self.reboot_seconds
