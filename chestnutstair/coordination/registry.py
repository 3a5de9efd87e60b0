"""The rows in which daemons register and renew their beats."""

from collections.abc import Iterable

from result import Result

from chestnutstair.coordination.gossip import Fact
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

__all__ = ["MEMBER_TABLE", "read_facts", "remove_facts", "write_fact"]

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


def write_fact(
    table: Table, fact: Fact, deadline: Deadline
) -> Result[None, ConflictFailure | PlatformFailure]:
    """Register a daemon, or renew its beat."""
    key = Key(MEMBER_TABLE, fact.name)
    return table.commit([], [Write(key, encode_value(fact))], deadline)


def remove_facts(
    table: Table, names: Iterable[str], fence: Condition, deadline: Deadline
) -> Result[None, ConflictFailure | PlatformFailure]:
    """Delete the rows of daemons; the fence is a duty's condition."""
    writes = [Write(Key(MEMBER_TABLE, name), None) for name in names]
    return table.commit([fence], writes, deadline)
