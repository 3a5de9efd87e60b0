"""The rows in which daemons register and renew their beats."""

from collections.abc import Collection, Iterable, Sequence

from result import Err, Ok, Result

from chestnutstair.coordination.duty import BEAT_TABLE
from chestnutstair.coordination.gossip import Fact, MemberStatus
from chestnutstair.coordination.platform import (
    Condition,
    ConflictFailure,
    Key,
    PlatformFailure,
    Table,
    Write,
)
from chestnutstair.state.codec import decode_value, encode_value
from chestnutstair.state.deadline import Deadline

__all__ = [
    "MEMBER_TABLE",
    "prune_rows",
    "read_facts",
    "write_facts",
]

MEMBER_TABLE = "members"
SCAN_LIMIT = 1000  # daemons


def read_facts(
    table: Table, deadline: Deadline
) -> Result[tuple[Fact, ...], PlatformFailure]:
    """Return what every registered daemon said of itself."""
    rows = table.scan(MEMBER_TABLE, "", "~", SCAN_LIMIT, deadline)
    return rows.map(
        lambda found: tuple(
            decode_value(Fact, row.value).unwrap() for row in found
        )
    )


def write_facts(
    table: Table, facts: Iterable[Fact], deadline: Deadline
) -> Result[None, ConflictFailure | PlatformFailure]:
    """Register daemons, or renew their beats."""
    writes = [
        Write(Key(MEMBER_TABLE, fact.name), encode_value(fact))
        for fact in facts
    ]
    return table.commit([], writes, deadline)


def prune_rows(
    table: Table,
    statuses: Sequence[MemberStatus],
    forget_seconds: float,
    fence: Condition,
    deadline: Deadline,
) -> Result[None, ConflictFailure | PlatformFailure]:
    """Delete the rows of daemons that stopped, or are gone for long.

    The fence is the condition of the duty that allows it.
    """
    kept = {status.fact.incarnation for status in statuses}
    removed = _remove_beats(table, kept, fence, deadline)
    gone = [
        status.fact.name
        for status in statuses
        if not status.live
        and (status.fact.stopping or status.silent_seconds > forget_seconds)
    ]
    if removed.is_err() or not gone:
        return removed
    writes = [Write(Key(MEMBER_TABLE, name), None) for name in gone]
    return table.commit([fence], writes, deadline)


def _remove_beats(
    table: Table, kept: Collection[str], fence: Condition, deadline: Deadline
) -> Result[None, ConflictFailure | PlatformFailure]:
    """Delete the beats of incarnations that are not among the kept ones.

    To an observer of a lease, this is a beat like any other.
    """
    rows = table.scan(BEAT_TABLE, "", "~", SCAN_LIMIT, deadline)
    if isinstance(rows, Err):
        return rows
    gone = [row for row in rows.ok_value if row.key.key not in kept]
    if not gone:
        return Ok(None)
    conditions = [Condition(row.key, row.version) for row in gone]
    writes = [Write(row.key, None) for row in gone]
    return table.commit([fence, *conditions], writes, deadline)
