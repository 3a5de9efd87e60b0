"""Table rows in which daemons register and renew their leases."""

from collections.abc import Collection, Iterable, Sequence

from result import Err, Ok, Result

from chestnutstair.coordination.duty import BEAT_TABLE
from chestnutstair.coordination.gossip import Fact, MemberStatus
from chestnutstair.coordination.platform import (
    Condition,
    ConflictFailure,
    Key,
    ListedVm,
    PlatformFailure,
    Table,
    Write,
)
from chestnutstair.state.codec import decode_value, encode_value
from chestnutstair.state.deadline import Deadline

__all__ = [
    "MEMBER_TABLE",
    "find_gone",
    "prune_rows",
    "read_facts",
    "write_facts",
]

MEMBER_TABLE = "members"
SCAN_LIMIT = 1000  # daemons


def read_facts(
    table: Table, deadline: Deadline
) -> Result[tuple[Fact, ...], PlatformFailure]:
    """Return the facts of all registered daemons."""
    rows = table.scan(MEMBER_TABLE, "", "~", SCAN_LIMIT, deadline)
    return rows.map(
        lambda found: tuple(
            decode_value(Fact, row.value).unwrap() for row in found
        )
    )


def write_facts(
    table: Table, facts: Iterable[Fact], deadline: Deadline
) -> Result[None, ConflictFailure | PlatformFailure]:
    """Register daemons, or renew their rows."""
    writes = [
        Write(Key(MEMBER_TABLE, fact.name), encode_value(fact))
        for fact in facts
    ]
    return table.commit([], writes, deadline)


def prune_rows(
    table: Table,
    statuses: Sequence[MemberStatus],
    gone: Collection[str],
    fence: Condition,
    deadline: Deadline,
) -> Result[None, ConflictFailure | PlatformFailure]:
    """Delete the rows of daemons that stopped or whose VM is gone.

    `gone` names the VMs that the platform reports as gone. `fence` is the
    condition of the duty that permits the deletion.
    """
    kept = {status.fact.incarnation for status in statuses}
    removed = _remove_beats(table, kept, fence, deadline)
    ended = [
        status.fact.name
        for status in statuses
        if not status.live
        and (status.fact.stopping or status.fact.name in gone)
    ]
    if removed.is_err() or not ended:
        return removed
    writes = [Write(Key(MEMBER_TABLE, name), None) for name in ended]
    return table.commit([fence], writes, deadline)


def find_gone(
    names: Iterable[str], listed: Sequence[ListedVm], own_name: str
) -> frozenset[str]:
    """Return those names whose VM the platform reports as gone.

    A VM missing from the list counts as gone only if this daemon's own VM
    is listed: otherwise the list may have no entry VMs at all.
    """
    live = {vm.name: vm.live for vm in listed}
    unlisted_is_live = own_name not in live
    return frozenset(
        name for name in names if not live.get(name, unlisted_is_live)
    )


def _remove_beats(
    table: Table, kept: Collection[str], fence: Condition, deadline: Deadline
) -> Result[None, ConflictFailure | PlatformFailure]:
    """Delete the duty beats of all incarnations but the kept ones.

    To a daemon that observes a lease, the deletion of its beat looks like
    a renewal.
    """
    rows = table.scan(BEAT_TABLE, "", "~", SCAN_LIMIT, deadline)
    if isinstance(rows, Err):
        return rows
    stale = [row for row in rows.ok_value if row.key.key not in kept]
    if not stale:
        return Ok(None)
    conditions = [Condition(row.key, row.version) for row in stale]
    writes = [Write(row.key, None) for row in stale]
    return table.commit([fence, *conditions], writes, deadline)
