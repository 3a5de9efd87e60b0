"""Audit rows of refused tickets, kept in a ring of bounded size."""

import logging
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    ABSENT,
    Condition,
    ConflictFailure,
    Key,
    PlatformFailure,
    Table,
    Write,
)
from chestnutstair.state.codec import (
    STRICT,
    decode_value,
    encode_value,
)
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.failure import Failure
from chestnutstair.state.ticket import Ticket

__all__ = ["REFUSAL_TABLE", "Refusal", "list_refusals", "record_refusal"]

logger = logging.getLogger(__name__)

REFUSAL_TABLE = "refusals"
RING_SIZE = 1000  # rows
COUNT_KEY = Key("refusal-count", "count")
ATTEMPT_LIMIT = 5
DETAIL_LENGTH = 2000  # characters


@dataclass(frozen=True)
class Refusal:
    """A refused ticket; `refused_at` is in wall-clock epoch seconds."""

    __pydantic_config__ = STRICT

    id: str
    sequence: int
    ticket: int
    author: str
    failure: str
    detail: str
    refused_at: float


def record_refusal(
    table: Table,
    ticket: Ticket,
    failure: Failure,
    refused_at: float,
    refusal_id: str,
    deadline: Deadline,
) -> Result[None, ConflictFailure | PlatformFailure]:
    """Store a row for the refusal, replacing the oldest of a full ring."""
    outcome: Result[Any, Any] = Ok(None)
    for _ in range(ATTEMPT_LIMIT):
        read = table.read([COUNT_KEY], deadline)
        if isinstance(read, Err):
            return read
        row = read.ok_value[0]
        sequence = 0 if row is None else int(row.value["count"])
        version = ABSENT if row is None else row.version
        refusal = Refusal(
            refusal_id,
            sequence,
            ticket.number,
            ticket.author,
            type(failure).__name__,
            repr(failure)[:DETAIL_LENGTH],
            refused_at,
        )
        key = Key(REFUSAL_TABLE, f"{sequence % RING_SIZE:04d}")
        outcome = table.commit(
            [Condition(COUNT_KEY, version)],
            [
                Write(COUNT_KEY, {"count": sequence + 1}),
                Write(key, encode_value(refusal)),
            ],
            deadline,
        )
        if not isinstance(outcome.err(), ConflictFailure):
            break
    return outcome


def list_refusals(
    table: Table, deadline: Deadline
) -> Result[tuple[Refusal, ...], PlatformFailure]:
    """Return the stored refusals, oldest first."""
    rows = table.scan(REFUSAL_TABLE, "", "~", RING_SIZE, deadline)
    return rows.map(
        lambda found: tuple(
            sorted(
                (decode_value(Refusal, row.value).unwrap() for row in found),
                key=lambda refusal: refusal.sequence,
            )
        )
    )
