"""Applies changes to fleet views and rejects those that break a rule."""

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
from chestnutstair.state.failure import Failure
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.validation import TicketFailure, validate_ticket
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
    """A VM is not in the phase or operation that a change requires."""

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
    """Planned drains and moves are paused by an operator."""


ChangeFailure = (
    TicketFailure
    | UnknownNameFailure
    | PhaseFailure
    | BudgetFailure
    | PausedFailure
)


RECOVERABLE_PHASES = frozenset(
    {VmPhase.PROVING, VmPhase.RETURNING, VmPhase.ARRIVING, VmPhase.DOWN}
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
    """Return the view after the ticket, which must be valid."""
    removal = ticket.remove
    return replace(
        view,
        ticket=ticket.number,
        zones=_merge(view.zones, ticket.zones, removal.zones),
        teams=_merge(view.teams, ticket.teams, removal.teams),
        pools=_merge(view.pools, ticket.pools, removal.pools),
        vms=_merge(view.vms, ticket.vms, removal.vms),
        jobs=_merge(view.jobs, ticket.jobs, removal.jobs),
        statuses=_merge_statuses(view, ticket),
    )


def _set_status(
    view: FleetView, name: str, status: VmStatus
) -> Result[FleetView, ChangeFailure]:
    updated = replace(status, phase_revision=view.revision + 1)
    return Ok(view.replace_status(name, updated))


def _refuse_phase(name: str, status: VmStatus) -> Err[PhaseFailure]:
    return Err(PhaseFailure(name, status.phase, status.operation))


def _set_phase(
    view: FleetView,
    change: UndoChange | RebootChange | ProofChange | MoveChange,
    expected: VmPhase,
    new: VmStatus,
) -> Result[FleetView, ChangeFailure]:
    status = view.statuses[change.vm]
    if status.phase is not expected or status.operation != change.operation:
        return _refuse_phase(change.vm, status)
    return _set_status(view, change.vm, new)


def _check_disruption(
    view: FleetView, pool: str, added: int
) -> Result[None, BudgetFailure | PausedFailure]:
    """Check whether `added` more VMs of the pool may become unavailable.

    With 0 added, check whether a planned operation may continue.
    """
    if view.paused:
        return Err(PausedFailure())
    budget = view.pools[pool].availability_budget
    unavailable = view.count_unavailable(pool)
    if unavailable + added > budget:
        return Err(BudgetFailure(pool, budget, unavailable))
    return Ok(None)


def _start_drain(
    view: FleetView, change: DrainChange
) -> Result[FleetView, ChangeFailure]:
    status = view.statuses[change.vm]
    if status.phase is not VmPhase.SERVING:
        return _refuse_phase(change.vm, status)
    if change.destination and change.destination not in view.pools:
        return Err(UnknownNameFailure(change.destination))
    match _check_disruption(view, status.pool, 1):
        case Err(failure):
            return Err(failure)
    draining = replace(
        status,
        phase=VmPhase.DRAINING,
        operation=change.operation,
        step_deadline=change.step_deadline,
        destination=change.destination,
        confirm_deadline=change.confirm_deadline,
    )
    return _set_status(view, change.vm, draining)


def _reboot(
    view: FleetView, change: RebootChange
) -> Result[FleetView, ChangeFailure]:
    status = view.statuses[change.vm]
    match _check_disruption(view, status.pool, 0):
        case Err(failure):
            return Err(failure)
    rebooting = replace(
        status,
        phase=VmPhase.REBOOTING,
        step_deadline=change.step_deadline,
        boot=change.boot,
    )
    return _set_phase(view, change, VmPhase.DRAINING, rebooting)


def _recover(
    view: FleetView, change: RecoveryChange
) -> Result[FleetView, ChangeFailure]:
    status = view.statuses[change.vm]
    if (
        status.phase not in RECOVERABLE_PHASES
        or status.operation != change.operation
    ):
        return _refuse_phase(change.vm, status)
    cleaned_at = (
        status.cleaned_at if change.cleaned_at is None else change.cleaned_at
    )
    serving = VmStatus(pool=status.pool, cleaned_at=cleaned_at)
    return _set_status(view, change.vm, serving)


def _fail(
    view: FleetView, change: OutageChange
) -> Result[FleetView, ChangeFailure]:
    status = view.statuses[change.vm]
    if status.phase is VmPhase.DOWN:
        return _refuse_phase(change.vm, status)
    return _set_status(view, change.vm, replace(status, phase=VmPhase.DOWN))


def _move(
    view: FleetView, change: MoveChange
) -> Result[FleetView, ChangeFailure]:
    if change.pool not in view.pools:
        return Err(UnknownNameFailure(change.pool))
    status = view.statuses[change.vm]
    match _check_disruption(view, status.pool, 0):
        case Err(failure):
            return Err(failure)
    moved = replace(status, pool=change.pool, phase=VmPhase.ARRIVING)
    return _set_phase(view, change, VmPhase.DRAINING, moved)


def _apply_vm_change(
    view: FleetView, change: Change
) -> Result[FleetView, ChangeFailure]:
    status = view.statuses[change.vm]  # type: ignore[union-attr]
    match change:
        case DrainChange():
            return _start_drain(view, change)
        case UndoChange():
            new = replace(status, phase=VmPhase.RETURNING)
            return _set_phase(view, change, VmPhase.DRAINING, new)
        case RebootChange():
            return _reboot(view, change)
        case ProofChange(step_deadline=deadline):
            new = replace(
                status, phase=VmPhase.PROVING, step_deadline=deadline
            )
            return _set_phase(view, change, VmPhase.REBOOTING, new)
        case RecoveryChange():
            return _recover(view, change)
        case OutageChange():
            return _fail(view, change)
        case MoveChange():
            return _move(view, change)
    raise AssertionError(change)


def apply_change(
    view: FleetView, change: Change
) -> Result[FleetView, ChangeFailure]:
    """Return the view after the change, or why the change is rejected."""
    match change:
        case TicketChange(ticket=ticket):
            return validate_ticket(view, ticket).map(
                lambda _: apply_ticket(view, ticket)
            )
        case PauseChange(paused=paused):
            return Ok(replace(view, paused=paused))
        case _:
            if change.vm not in view.statuses:
                return Err(UnknownNameFailure(change.vm))
            return _apply_vm_change(view, change)


def _stamp_added_vms(view: FleetView, record: ChangeRecord) -> FleetView:
    """Start the first maintenance period of the VMs that a ticket added."""
    statuses = {
        name: replace(status, cleaned_at=record.recorded_at)
        if status == VmStatus(status.pool)
        else status
        for name, status in view.statuses.items()
    }
    return replace(view, statuses=statuses)


def apply_record(
    view: FleetView, record: ChangeRecord
) -> Result[FleetView, ChangeFailure]:
    """Return the view after the record, at the record's revision."""
    match apply_change(view, record.change):
        case Err(failure):
            return Err(failure)
        case Ok(new):
            if isinstance(record.change, TicketChange):
                new = _stamp_added_vms(new, record)
            return Ok(replace(new, revision=record.revision))
    raise AssertionError(record)
