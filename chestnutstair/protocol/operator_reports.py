"""Reports for operators, built from the view and the change log."""

from collections import Counter

from result import Result

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.messenger import Membership
from chestnutstair.coordination.platform import PlatformFailure
from chestnutstair.protocol.operators import (
    AuditPage,
    DrainReport,
    PoolReport,
    StatusReport,
    VmReport,
)
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.view import AVAILABLE_PHASES, FleetView, VmPhase

__all__ = [
    "build_status_report",
    "list_drains",
    "list_pools",
    "list_vms",
    "read_audit_trail",
]

# A VM that is down is not listed, even if its outage interrupted an operation.
PHASES_WITHOUT_OPERATION = (VmPhase.SERVING, VmPhase.DOWN)


def list_pools(view: FleetView) -> tuple[PoolReport, ...]:
    """Return each pool with the remainder of its availability budget."""
    statuses = view.statuses.values()
    sizes = Counter(status.pool for status in statuses)
    unavailable = Counter(
        status.pool
        for status in statuses
        if status.phase not in AVAILABLE_PHASES
    )
    return tuple(
        PoolReport(
            pool,
            sizes[name],
            unavailable[name],
            pool.availability_budget - unavailable[name],
        )
        for name, pool in sorted(view.pools.items())
    )


def list_vms(view: FleetView) -> tuple[VmReport, ...]:
    """Return each VM with its status."""
    return tuple(
        VmReport(vm, view.statuses[name])
        for name, vm in sorted(view.vms.items())
    )


def list_drains(view: FleetView) -> tuple[DrainReport, ...]:
    """Return the VMs that are being drained, cleaned or moved."""
    return tuple(
        DrainReport(name, status)
        for name, status in sorted(view.statuses.items())
        if status.phase not in PHASES_WITHOUT_OPERATION
    )


def read_audit_trail(
    log: ChangeLog, after: int, limit: int, deadline: Deadline
) -> Result[AuditPage, PlatformFailure]:
    """Return a page of the audit trail, oldest record first."""
    outcome = log.read_records(after, limit, deadline)
    return outcome.map(
        lambda records: AuditPage(
            records, records[-1].revision if records else after
        )
    )


def build_status_report(
    view: FleetView, membership: Membership, ready: bool
) -> StatusReport:
    """Return this daemon's state and the daemons it considers alive."""
    me = membership.get_self()
    return StatusReport(
        me.name,
        me.zone,
        view.revision,
        view.ticket,
        view.paused,
        ready,
        membership.list_live(),
    )
