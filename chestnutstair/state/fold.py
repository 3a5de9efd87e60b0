"""Folds changes into fleet views and refuses those that break a rule."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Protocol, TypeVar

from result import Err, Ok, Result

from chestnutstair.state.change import (
    Change,
    ChangeRecord,
    DrainChange,
    MoveChange,
    OutageChange,
    PauseChange,
    ProofChange,
    RebootChange,
    RecoveryChange,
    TicketChange,
    UndoChange,
)
from chestnutstair.state.check import TicketFailure, check_ticket
from chestnutstair.state.failure import Failure
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView, VmPhase, VmStatus

__all__ = [
    "BudgetFailure",
    "ChangeFailure",
    "PausedFailure",
    "PhaseFailure",
    "UnknownNameFailure",
    "apply_change",
    "apply_record",
    "apply_ticket",
]


@dataclass(frozen=True)
class UnknownNameFailure(Failure):
    """A change names a VM or pool that the view does not have."""

    name: str


@dataclass(frozen=True)
class PhaseFailure(Failure):
    """A VM is not in the phase, or the operation, that a change needs."""

    vm: str
    phase: VmPhase
    operation: str


@dataclass(frozen=True)
class BudgetFailure(Failure):
    """A planned drain would exceed the availability budget of its pool."""

    pool: str
    budget: int
    unavailable: int


@dataclass(frozen=True)
class PausedFailure(Failure):
    """Planned drains and moves are stopped by an operator."""


ChangeFailure = (
    TicketFailure
    | UnknownNameFailure
    | PhaseFailure
    | BudgetFailure
    | PausedFailure
)


class _Named(Protocol):
    @property
    def name(self) -> str: ...


N = TypeVar("N", bound=_Named)


def _merge(
    old: Mapping[str, N], new: Iterable[N], removed: Iterable[str]
) -> Mapping[str, N]:
    merged = {**old, **{item.name: item for item in new}}
    for name in removed:
        merged.pop(name, None)
    return merged


def _merge_statuses(view: FleetView, ticket: Ticket) -> Mapping[str, VmStatus]:
    statuses = dict(view.statuses)
    for vm in ticket.vms:
        statuses.setdefault(vm.name, VmStatus(pool=vm.pool))
    for name in ticket.remove.vms:
        statuses.pop(name, None)
    return statuses


def apply_ticket(view: FleetView, ticket: Ticket) -> FleetView:
    """Return the view after the ticket, which must have been checked."""
    gone = ticket.remove
    return replace(
        view,
        ticket=ticket.number,
        zones=_merge(view.zones, ticket.zones, gone.zones),
        teams=_merge(view.teams, ticket.teams, gone.teams),
        pools=_merge(view.pools, ticket.pools, gone.pools),
        vms=_merge(view.vms, ticket.vms, gone.vms),
        jobs=_merge(view.jobs, ticket.jobs, gone.jobs),
        statuses=_merge_statuses(view, ticket),
    )


def _set_phase(
    view: FleetView,
    change: UndoChange | RebootChange | ProofChange | MoveChange,
    needed: VmPhase,
    new: VmStatus,
) -> Result[FleetView, ChangeFailure]:
    status = view.statuses[change.vm]
    if status.phase is not needed or status.operation != change.operation:
        return Err(PhaseFailure(change.vm, status.phase, status.operation))
    return Ok(view.replace_status(change.vm, new))


def _start_drain(
    view: FleetView, change: DrainChange
) -> Result[FleetView, ChangeFailure]:
    if view.paused:
        return Err(PausedFailure())
    status = view.statuses[change.vm]
    if status.phase is not VmPhase.SERVING:
        return Err(PhaseFailure(change.vm, status.phase, status.operation))
    budget = view.pools[status.pool].availability_budget
    unavailable = view.count_unavailable(status.pool)
    if unavailable + 1 > budget:
        return Err(BudgetFailure(status.pool, budget, unavailable))
    draining = replace(
        status,
        phase=VmPhase.DRAINING,
        operation=change.operation,
        step_deadline=change.step_deadline,
    )
    return Ok(view.replace_status(change.vm, draining))


def _recover(
    view: FleetView, change: RecoveryChange
) -> Result[FleetView, ChangeFailure]:
    status = view.statuses[change.vm]
    if (
        status.phase not in (VmPhase.PROVING, VmPhase.DOWN)
        or status.operation != change.operation
    ):
        return Err(PhaseFailure(change.vm, status.phase, status.operation))
    cleaned_at = (
        status.cleaned_at if change.cleaned_at is None else change.cleaned_at
    )
    serving = VmStatus(pool=status.pool, cleaned_at=cleaned_at)
    return Ok(view.replace_status(change.vm, serving))


def _move(
    view: FleetView, change: MoveChange
) -> Result[FleetView, ChangeFailure]:
    if change.pool not in view.pools:
        return Err(UnknownNameFailure(change.pool))
    status = view.statuses[change.vm]
    moved = VmStatus(pool=change.pool, cleaned_at=status.cleaned_at)
    return _set_phase(view, change, VmPhase.DRAINING, moved)


def _apply_vm_change(
    view: FleetView, change: Change
) -> Result[FleetView, ChangeFailure]:
    status = view.statuses[change.vm]  # type: ignore[union-attr]
    match change:
        case DrainChange():
            return _start_drain(view, change)
        case UndoChange():
            serving = VmStatus(status.pool, cleaned_at=status.cleaned_at)
            return _set_phase(view, change, VmPhase.DRAINING, serving)
        case RebootChange(step_deadline=deadline):
            new = replace(
                status, phase=VmPhase.REBOOTING, step_deadline=deadline
            )
            return _set_phase(view, change, VmPhase.DRAINING, new)
        case ProofChange(step_deadline=deadline):
            new = replace(
                status, phase=VmPhase.PROVING, step_deadline=deadline
            )
            return _set_phase(view, change, VmPhase.REBOOTING, new)
        case RecoveryChange():
            return _recover(view, change)
        case OutageChange(vm=name):
            down = VmStatus(
                status.pool, VmPhase.DOWN, cleaned_at=status.cleaned_at
            )
            return Ok(view.replace_status(name, down))
        case MoveChange():
            return _move(view, change)
    raise AssertionError(change)


def apply_change(
    view: FleetView, change: Change
) -> Result[FleetView, ChangeFailure]:
    """Return the view after the change, or why the change is refused."""
    match change:
        case TicketChange(ticket=ticket):
            return check_ticket(view, ticket).map(
                lambda _: apply_ticket(view, ticket)
            )
        case PauseChange(paused=paused):
            return Ok(replace(view, paused=paused))
        case _:
            if change.vm not in view.statuses:
                return Err(UnknownNameFailure(change.vm))
            return _apply_vm_change(view, change)


def apply_record(
    view: FleetView, record: ChangeRecord
) -> Result[FleetView, ChangeFailure]:
    """Return the view at the revision of the record."""
    return apply_change(view, record.change).map(
        lambda new: replace(new, revision=record.revision)
    )
