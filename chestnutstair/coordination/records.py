"""Storage of the change log: table rows, archived segments, snapshots."""

import hashlib
import logging
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    ABSENT,
    Condition,
    ConflictFailure,
    Key,
    ObjectStore,
    PlatformFailure,
    RefusedFailure,
    Row,
    Table,
    UnavailableFailure,
    Write,
)
from chestnutstair.state.change import ChangeRecord, TicketChange
from chestnutstair.state.codec import (
    STRICT,
    decode_json,
    decode_value,
    encode_json,
    encode_value,
)
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView

__all__ = [
    "FLOOR_KEY",
    "LOG_TABLE",
    "SEGMENT_SIZE",
    "TICKET_TABLE",
    "Floor",
    "RecordStore",
    "TicketEntry",
    "build_record_key",
    "build_ticket_entry",
    "build_ticket_key",
    "digest_ticket",
]

logger = logging.getLogger(__name__)

LOG_TABLE = "log"
TICKET_TABLE = "tickets"
FLOOR_KEY = Key("log-floor", "floor")
SEGMENT_SIZE = 200  # records in one archived segment
INLINE_BYTES = 64 * 1024  # larger records go to the object store


@dataclass(frozen=True)
class Floor:
    """Records up to `revision` are archived in the object store.

    `version` is the version of the floor's row. Every commit is
    conditional on it, because a record that was deleted from the table
    looks like one that was never written.
    """

    revision: int = 0
    version: int = ABSENT


@dataclass(frozen=True)
class RecordReference:
    """Table row of a large record that is kept in the object store."""

    __pydantic_config__ = STRICT

    object_name: str


@dataclass(frozen=True)
class TicketEntry:
    """Index entry of an accepted ticket.

    `digest` covers the complete content of the ticket; `recorded_at` is in
    wall-clock epoch seconds.
    """

    __pydantic_config__ = STRICT

    number: int
    revision: int
    author: str
    reason: str
    recorded_at: float
    digest: str


def build_record_key(revision: int) -> Key:
    """Return the key of the record with the revision."""
    return Key(LOG_TABLE, f"{revision:012d}")


def build_ticket_key(number: int) -> Key:
    """Return the key of the index entry of the ticket."""
    return Key(TICKET_TABLE, f"{number:09d}")


def digest_ticket(ticket: Ticket) -> str:
    """Return a content digest, which differs if two tickets differ."""
    return hashlib.sha256(encode_json(ticket)).hexdigest()


def build_ticket_entry(record: ChangeRecord, ticket: Ticket) -> TicketEntry:
    """Return the index entry of the ticket that the record accepted."""
    return TicketEntry(
        ticket.number,
        record.revision,
        ticket.author,
        ticket.reason,
        record.recorded_at,
        digest_ticket(ticket),
    )


def _name_segment(index: int) -> str:
    return f"archive/{index:09d}"


def _name_snapshot(revision: int) -> str:
    return f"snapshots/{revision:012d}"


class RecordStore:
    """Reads and writes the records of the log.

    Archived segments and snapshots depend on the log alone, so writing
    one again, even late, stores the same content.
    """

    def __init__(
        self, table: Table, objects: ObjectStore | None = None
    ) -> None:
        self._table = table
        self._objects = objects

    def read_floor(self, deadline: Deadline) -> Result[Floor, PlatformFailure]:
        """Return the floor, up to which the log is archived."""
        match self._table.read([FLOOR_KEY], deadline):
            case Ok((Row(value=value, version=version),)):
                return Ok(Floor(int(value["revision"]), version))
            case Err(failure):
                return Err(failure)
        return Ok(Floor())

    def read_record(
        self, revision: int, deadline: Deadline
    ) -> Result[ChangeRecord | None, PlatformFailure]:
        """Return the record with the revision, or None."""
        return self.read_after(revision - 1, 1, deadline).map(
            lambda records: records[0] if records else None
        )

    def read_after(
        self, after: int, limit: int, deadline: Deadline
    ) -> Result[tuple[ChangeRecord, ...], PlatformFailure]:
        """Return records after the revision without a gap, oldest first.

        The newest record always stays in the table, so a daemon that is
        behind finds at least one row and detects the gap before it.
        """
        start = build_record_key(after + 1).key
        match self._table.scan(LOG_TABLE, start, "~", limit, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(rows):
                if rows and int(rows[0].key.key) > after + 1:
                    return self._read_segment(after, limit, deadline)
                return self._decode_rows(rows, deadline)

    def _decode_rows(
        self, rows: Sequence[Row], deadline: Deadline
    ) -> Result[tuple[ChangeRecord, ...], PlatformFailure]:
        records: list[ChangeRecord] = []
        for row in rows:
            match self._decode_row(row, deadline):
                case Ok(record):
                    records.append(record)
                case Err(failure):
                    # The records before it have no gap and can be used.
                    return Ok(tuple(records)) if records else Err(failure)
        return Ok(tuple(records))

    def _decode_row(
        self, row: Row, deadline: Deadline
    ) -> Result[ChangeRecord, PlatformFailure]:
        if "object_name" not in row.value:
            return Ok(decode_value(ChangeRecord, row.value).unwrap())
        reference = decode_value(RecordReference, row.value).unwrap()
        return self._get(reference.object_name, deadline).map(
            lambda body: decode_json(ChangeRecord, body).unwrap()
        )

    def _read_segment(
        self, after: int, limit: int, deadline: Deadline
    ) -> Result[tuple[ChangeRecord, ...], PlatformFailure]:
        body = self._get(_name_segment(after // SEGMENT_SIZE), deadline)
        return body.map(
            lambda text: tuple(
                record
                for record in decode_json(
                    tuple[ChangeRecord, ...], text
                ).unwrap()
                if record.revision > after
            )[:limit]
        )

    def _get(
        self, name: str, deadline: Deadline
    ) -> Result[bytes, PlatformFailure]:
        if self._objects is None:
            return Err(RefusedFailure("there is no object store"))
        match self._objects.get(name, deadline):
            case Ok(None):
                return Err(UnavailableFailure(f"object {name!r} not found"))
            case Ok(body) if body is not None:
                return Ok(body)
            case Err(failure):
                return Err(failure)
        raise AssertionError(name)

    def _put(
        self, name: str, body: bytes, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        if self._objects is None:
            return Err(RefusedFailure("there is no object store"))
        return self._objects.put(name, body, deadline)

    def read_snapshot(
        self, floor: Floor, deadline: Deadline
    ) -> Result[FleetView, PlatformFailure]:
        """Return the snapshot at the floor; an empty view at floor 0."""
        if floor.revision == 0:
            return Ok(FleetView())
        return self._get(_name_snapshot(floor.revision), deadline).map(
            lambda body: decode_json(FleetView, body).unwrap()
        )

    def write_snapshot(
        self, view: FleetView, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Store the view as the snapshot of its revision."""
        name = _name_snapshot(view.revision)
        return self._put(name, encode_json(view), deadline)

    def write_segment(
        self, records: tuple[ChangeRecord, ...], deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Archive the records, which must be exactly one segment."""
        first = records[0].revision
        assert len(records) == SEGMENT_SIZE and first % SEGMENT_SIZE == 1
        body = b"[" + b",".join(encode_json(item) for item in records) + b"]"
        return self._put(_name_segment(first // SEGMENT_SIZE), body, deadline)

    def move_floor(
        self,
        floor: Floor,
        revision: int,
        fence: Condition,
        deadline: Deadline,
    ) -> Result[None, ConflictFailure | PlatformFailure]:
        """Raise the floor; `fence` is the condition of the duty."""
        return self._table.commit(
            [Condition(FLOOR_KEY, floor.version), fence],
            [Write(FLOOR_KEY, {"revision": revision})],
            deadline,
        )

    def delete_archived(
        self, floor: Floor, limit: int, deadline: Deadline
    ) -> Result[int, ConflictFailure | PlatformFailure]:
        """Delete up to `limit` archived rows; return how many."""
        end = build_record_key(floor.revision + 1).key
        match self._table.scan(LOG_TABLE, "", end, limit, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(rows):
                if not rows:
                    return Ok(0)
                writes = [Write(row.key, None) for row in rows]
                done = self._table.commit([], writes, deadline)
                return done.map(lambda _: len(rows))

    def commit(
        self,
        record: ChangeRecord,
        floor: Floor,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Result[None, ConflictFailure | PlatformFailure]:
        """Write the record if its revision is free and the floor unchanged.

        All of `conditions` must hold too; `writes` are added.
        """
        match self._encode(record, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(value):
                key = build_record_key(record.revision)
                return self._table.commit(
                    [
                        Condition(key, ABSENT),
                        Condition(FLOOR_KEY, floor.version),
                        *conditions,
                    ],
                    [Write(key, value), *_build_index_writes(record), *writes],
                    deadline,
                )
        raise AssertionError(record)

    def _encode(
        self, record: ChangeRecord, deadline: Deadline
    ) -> Result[dict, PlatformFailure]:
        body = encode_json(record)
        if len(body) <= INLINE_BYTES or self._objects is None:
            return Ok(encode_value(record))
        name = f"records/{record.revision:012d}-{record.id}"
        reference = encode_value(RecordReference(name))
        return self._put(name, body, deadline).map(lambda _: reference)

    def find_ticket(
        self, number: int, deadline: Deadline
    ) -> Result[TicketEntry | None, PlatformFailure]:
        """Return the index entry of the ticket, or None."""
        match self._table.read([build_ticket_key(number)], deadline):
            case Ok((Row(value=value),)):
                return Ok(decode_value(TicketEntry, value).unwrap())
            case Err(failure):
                return Err(failure)
        return Ok(None)


def _build_index_writes(record: ChangeRecord) -> list[Write]:
    match record.change:
        case TicketChange(ticket=ticket):
            entry = build_ticket_entry(record, ticket)
            key = build_ticket_key(ticket.number)
            return [Write(key, encode_value(entry))]
    return []
