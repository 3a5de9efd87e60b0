"""Maps the operations of a maintained fleet to steps of the drain model."""

from typing import Any

from result import Ok, Result

from chestnutstair.specification import drains
from chestnutstair.specification.conformance import TraceRunner
from chestnutstair.specification.drain_state import (
    DRAINING,
    PHASES,
    REBOOTING,
    SERVING,
)
from chestnutstair.state.change import (
    ChangeRecord,
    DrainChange,
    OutageChange,
    RebootChange,
    RecoveryChange,
    UndoChange,
)
from chestnutstair.state.view import FleetView
from chestnutstair.tests.conformance_support import (
    Recorder,
    call_after,
    took_effect,
)
from tools.maintained_fleet import Fleet

__all__ = ["DrainRecorder"]


class DrainRecorder(Recorder):
    """Records the drains of one pool, including commands and requests.

    The model has no phase for a rebooted VM whose health checks are still
    running; such a VM counts as rebooting.
    """

    def __init__(self, fleet: Fleet, pool: str) -> None:
        self._pool = pool
        self.vms = [vm.name for vm in fleet.log.view.list_pool_vms(pool)]
        self.sender = 0  # index of the daemon that sends the commands
        self.machine = drains.build_machine(len(self.vms), len(fleet.logs))
        self.start = {f"live{index}": True for index in range(len(fleet.logs))}
        super().__init__(TraceRunner(self.machine, self.start))
        self.emit("ticket", self._find_budget(fleet.log.view))
        for index, log in enumerate(fleet.logs):
            log.add_listener(
                lambda record, view, index=index: self._record_log_entry(  # type: ignore[misc]
                    index, record, view
                )
            )
        self._record_learning(0)
        call_after(fleet.vms, "announce_drain", self._record_command)
        call_after(fleet.vms, "cancel_drain", self._record_command)
        call_after(fleet.vms, "reboot", self._record_command)
        call_after(fleet.vms, "count_running", self._record_idle)

    def get(self, name: str, vm: str) -> Any:
        """Return the VM's value of a variable in the model."""
        return self.runner.read(f"{name}{self.vms.index(vm)}")

    def record_vm_step(self, step: str, vm: str) -> None:
        """Record a step that takes place on the VM."""
        self.emit(f"{step} {self.vms.index(vm)}")

    def list_serving(self) -> list[str]:
        """Return the VMs that are serving according to the log."""
        return [vm for vm in self.vms if self.get("phase", vm) == SERVING]

    def _find_budget(self, view: FleetView) -> int:
        return view.pools[self._pool].availability_budget

    def _record_learning(self, index: int) -> None:
        self.emit(f"learn {index}")
        self.emit(f"report {index}")

    def _record_log_entry(
        self, index: int, record: ChangeRecord, view: FleetView
    ) -> None:
        head = self.runner.read("head")
        if record.revision > head:
            author = int(record.author.removeprefix("entry-"))
            self._record_learning(author)
            self._record_change(author, record, view)
        if view.revision == self.runner.read("head"):
            self._record_learning(index)

    def _record_change(
        self, author: int, record: ChangeRecord, view: FleetView
    ) -> None:
        change = record.change
        match change:
            case DrainChange():
                step = "start drain"
            case RebootChange():
                step = "record reboot"
            case UndoChange():
                step = "undo"
            case OutageChange():
                step = "record outage"
            case RecoveryChange():
                rebooting = self.get("phase", change.vm) == REBOOTING
                end = "reboot's end" if rebooting else "recovery"
                step = f"record {end}"
            case _:
                self.emit("ticket", self._find_budget(view))
                return
        vm = self.vms.index(change.vm)
        self.emit(f"{step} {author} {vm}", head=record.revision)

    def _record_command(
        self, outcome: Result, vm: str, operation: str, token: int, *_: Any
    ) -> None:
        number = self.vms.index(vm)
        phase = int(self.runner.read(f"known_phase{self.sender}_{number}"))
        delivered = took_effect(outcome)
        if not delivered:
            return  # An undelivered command has no effect in the model.
        seen = {f"command_token{number}": token}
        step = f"command {PHASES[phase]} {self.sender} {number}"
        self.emit(step, **seen)
        if phase != REBOOTING or self.get("rebooted", vm) != token:
            self.record_vm_step("deliver", vm)
        self.record_vm_step("drop", vm)

    def _record_idle(self, outcome: Result, vm: str, *_: Any) -> None:
        announced = self.get("token", vm) == self.get("revision", vm)
        drains_now = self.get("phase", vm) == DRAINING
        if outcome == Ok(0) and announced and drains_now:
            self.record_vm_step("see idle", vm)
