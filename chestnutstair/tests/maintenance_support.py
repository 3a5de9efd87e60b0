"""Checks of a maintained fleet's change log, for tests."""

from collections import Counter
from collections.abc import Iterable

from chestnutstair.state.change import (
    Change,
    ChangeRecord,
    DrainChange,
    MoveChange,
    OutageChange,
    PauseChange,
    RebootChange,
    RecoveryChange,
    TicketChange,
    UndoChange,
)
from chestnutstair.state.view import FleetView, VmPhase
from tools.maintained_fleet import Fleet

__all__ = ["check_history", "list_in_phase", "replay"]


def list_in_phase(view: FleetView, phase: VmPhase) -> list[str]:
    """Return the VMs in the phase."""
    return [
        name for name, item in view.statuses.items() if item.phase is phase
    ]


class _History:
    """Pools and unavailable VMs, derived from the changes alone."""

    def __init__(self) -> None:
        self.pools: dict[str, str] = {}
        self.budgets: dict[str, int] = {}
        self.unavailable: dict[str, str] = {}  # VM: its last change
        self.paused = False

    def check_budget(self, vm: str, added: int) -> None:
        """Check that a planned operation on the VM keeps the budget."""
        assert not self.paused, vm
        pool = self.pools[vm]
        unavailable_count = sum(
            self.pools[name] == pool for name in self.unavailable
        )
        assert unavailable_count + added <= self.budgets[pool], (
            vm,
            self.unavailable,
        )

    def apply(self, change: Change) -> None:
        """Check the change and apply it."""
        match change:
            case TicketChange(ticket=ticket):
                self.budgets |= {
                    pool.name: pool.availability_budget
                    for pool in ticket.pools
                }
                for vm in ticket.vms:
                    self.pools.setdefault(vm.name, vm.pool)
            case PauseChange(paused=paused):
                self.paused = paused
            case DrainChange(vm=name):
                assert name not in self.unavailable, change
                self.check_budget(name, 1)
                self.unavailable[name] = change.kind
            case RebootChange(vm=name):
                assert self.unavailable[name] == "drain", change
                self.check_budget(name, 0)
                self.unavailable[name] = change.kind
            case MoveChange(vm=name, pool=pool):
                assert self.unavailable.pop(name) == "drain", change
                self.pools[name] = pool
            case OutageChange(vm=name) | UndoChange(vm=name):
                self.unavailable[name] = change.kind
            case RecoveryChange(vm=name):
                self.unavailable.pop(name, None)


def replay(records: Iterable[ChangeRecord]) -> dict[str, str]:
    """Check each planned operation in the log; return the VMs' pools.

    No drain or reboot may begin beyond the budget or while paused.
    """
    history = _History()
    for record in records:
        history.apply(record.change)
    return history.pools


def check_history(fleet: Fleet) -> Counter[str]:
    """Replay the fleet's log and return the number of changes by kind.

    Each daemon's view must have each VM in the pool that the log gives it.
    """
    records = fleet.log.read_records(0, 1_000_000, fleet.deadline).unwrap()
    pools = replay(records)
    for log in fleet.logs:
        log.refresh(fleet.deadline)
        statuses = log.view.statuses
        assert pools == {vm: statuses[vm].pool for vm in statuses}
    return Counter(record.change.kind for record in records)
