"""Validation of a ticket against the fleet that it would produce."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.state.codec import Mistake
from chestnutstair.state.failure import Failure
from chestnutstair.state.fleet import Job, Pool, PoolKind, Vm
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView, VmPhase

__all__ = [
    "InvalidTicketFailure",
    "TicketFailure",
    "TicketNumberFailure",
    "validate_ticket",
]


@dataclass(frozen=True)
class TicketNumberFailure(Failure):
    """A ticket's number does not follow that of the newest ticket."""

    number: int
    expected: int


@dataclass(frozen=True)
class InvalidTicketFailure(Failure):
    """A ticket would produce a fleet that breaks a rule."""

    mistakes: tuple[Mistake, ...]


TicketFailure = TicketNumberFailure | InvalidTicketFailure


def _find_duplicates(kind: str, names: Iterable[str]) -> list[Mistake]:
    return [
        Mistake(f"{kind}.{name}", "named more than once")
        for name, count in sorted(Counter(names).items())
        if count > 1
    ]


def _list_names(ticket: Ticket) -> dict[str, list[str]]:
    return {
        "zones": [item.name for item in ticket.zones],
        "teams": [item.name for item in ticket.teams],
        "pools": [item.name for item in ticket.pools],
        "vms": [item.name for item in ticket.vms],
        "jobs": [item.name for item in ticket.jobs],
    }


def _check_names(view: FleetView, ticket: Ticket) -> list[Mistake]:
    mistakes = []
    for kind, names in _list_names(ticket).items():
        removed = getattr(ticket.remove, kind)
        mistakes += _find_duplicates(kind, [*names, *removed])
        existing = getattr(view, kind)
        mistakes += [
            Mistake(f"remove.{kind}.{name}", "does not exist")
            for name in removed
            if name not in existing
        ]
    return mistakes


def _merge_items(view: FleetView, ticket: Ticket, kind: str) -> dict:
    items = dict(getattr(view, kind))
    items.update({item.name: item for item in getattr(ticket, kind)})
    for name in getattr(ticket.remove, kind):
        items.pop(name, None)
    return items


def _check_vms(
    vms: Iterable[Vm], zones: Collection[str], pools: Collection[str]
) -> list[Mistake]:
    mistakes = []
    for vm in vms:
        if vm.zone not in zones:
            mistakes.append(
                Mistake(f"vms.{vm.name}.zone", f"no zone {vm.zone!r}")
            )
        if vm.pool not in pools:
            mistakes.append(
                Mistake(f"vms.{vm.name}.pool", f"no pool {vm.pool!r}")
            )
    return mistakes


def _check_addresses(vms: Iterable[Vm]) -> list[Mistake]:
    counts = Counter(vm.address for vm in vms)
    return [
        Mistake("vms", f"address {address} is used {count} times")
        for address, count in sorted(counts.items())
        if count > 1
    ]


def _check_jobs(
    jobs: Iterable[Job], pools: dict[str, Pool], teams: Collection[str]
) -> list[Mistake]:
    mistakes = []
    for job in jobs:
        path = f"jobs.{job.name}"
        pool = pools.get(job.pool)
        if pool is None or pool.kind is not PoolKind.WORKERS:
            mistakes.append(
                Mistake(f"{path}.pool", f"no pool of workers {job.pool!r}")
            )
        elif job.urgency not in {item.name for item in pool.classes}:
            mistakes.append(
                Mistake(f"{path}.urgency", f"no class {job.urgency!r}")
            )
        if job.team not in teams:
            mistakes.append(Mistake(f"{path}.team", f"no team {job.team!r}"))
    return mistakes


def _check_moved_jobs(
    old: Mapping[str, Job], jobs: Mapping[str, Job]
) -> list[Mistake]:
    """Reject jobs that change pool.

    Task rows are keyed by pool, so a job's tasks would run again in its new
    pool.
    """
    return [
        Mistake(f"jobs.{name}.pool", f"cannot change from {old[name].pool!r}")
        for name, job in jobs.items()
        if name in old and old[name].pool != job.pool
    ]


def _check_pool(pool: Pool, vm_count: int) -> list[Mistake]:
    path = f"pools.{pool.name}"
    mistakes = _find_duplicates(
        f"{path}.classes", (item.name for item in pool.classes)
    )
    if not pool.classes:
        mistakes.append(Mistake(f"{path}.classes", "is empty"))
    if sum(item.floor for item in pool.classes) > 1:
        mistakes.append(Mistake(f"{path}.classes", "floors exceed 1"))
    if vm_count and pool.availability_budget >= vm_count:
        problem = f"leaves none of {vm_count} VMs available"
        mistakes.append(Mistake(f"{path}.availability_budget", problem))
    return mistakes


def _check_budgets(
    pools: dict[str, Pool], vms: dict[str, Vm]
) -> list[Mistake]:
    vm_counts = Counter(vm.pool for vm in vms.values())
    mistakes = []
    for pool in pools.values():
        mistakes += _check_pool(pool, vm_counts[pool.name])
    return mistakes


def _check_removed_vms(view: FleetView, ticket: Ticket) -> list[Mistake]:
    return [
        Mistake(f"remove.vms.{name}", "is in a planned operation")
        for name in ticket.remove.vms
        if name in view.statuses
        and view.statuses[name].phase not in (VmPhase.SERVING, VmPhase.DOWN)
    ]


def _check_occupied_pools(view: FleetView, ticket: Ticket) -> list[Mistake]:
    removed = set(ticket.remove.pools)
    removed_vms = set(ticket.remove.vms)
    occupied = {
        status.pool
        for name, status in view.statuses.items()
        if status.pool in removed and name not in removed_vms
    }
    return [
        Mistake(f"remove.pools.{name}", "still has VMs")
        for name in sorted(occupied)
    ]


def validate_ticket(
    view: FleetView, ticket: Ticket
) -> Result[None, TicketFailure]:
    """Check the ticket.

    Fails with the expected number, or else with every mistake found.
    """
    if ticket.number != view.ticket + 1:
        return Err(TicketNumberFailure(ticket.number, view.ticket + 1))
    zones = _merge_items(view, ticket, "zones")
    teams = _merge_items(view, ticket, "teams")
    pools = _merge_items(view, ticket, "pools")
    vms = _merge_items(view, ticket, "vms")
    jobs = _merge_items(view, ticket, "jobs")
    mistakes = _check_names(view, ticket)
    mistakes += _check_vms(vms.values(), zones, pools)
    mistakes += _check_addresses(vms.values())
    mistakes += _check_jobs(jobs.values(), pools, teams)
    mistakes += _check_moved_jobs(view.jobs, jobs)
    mistakes += _check_budgets(pools, vms)
    mistakes += _check_removed_vms(view, ticket)
    mistakes += _check_occupied_pools(view, ticket)
    if mistakes:
        return Err(InvalidTicketFailure(tuple(mistakes)))
    return Ok(None)
