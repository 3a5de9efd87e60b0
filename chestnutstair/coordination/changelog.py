"""The ordered log of all changes, kept in the platform's table."""

import logging
import threading
import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    ABSENT,
    Condition,
    ConflictFailure,
    Key,
    PlatformFailure,
    Row,
    Table,
    UnknownOutcomeFailure,
    Write,
)
from chestnutstair.state.change import Change, ChangeRecord, TicketChange
from chestnutstair.state.codec import decode_value, encode_value
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import Failure
from chestnutstair.state.fold import ChangeFailure, apply_record
from chestnutstair.state.view import FleetView

__all__ = [
    "HEAD_KEY",
    "LOG_TABLE",
    "AppendFailure",
    "ChangeLog",
    "RaceFailure",
    "build_record_key",
]

logger = logging.getLogger(__name__)

LOG_TABLE = "log"
HEAD_KEY = Key("log-head", "head")
SCAN_LIMIT = 200  # records


@dataclass(frozen=True)
class RaceFailure(Failure):
    """Another change was committed first; read the view and decide anew.

    `author` wrote the record that took `revision`, if it is known.
    """

    revision: int
    author: str


AppendFailure = ChangeFailure | RaceFailure | PlatformFailure | ConflictFailure


def build_record_key(revision: int) -> Key:
    """Return the key of the record with the revision."""
    return Key(LOG_TABLE, f"{revision:012d}")


class ChangeLog:
    """This daemon's copy of the log, folded into one fleet view.

    The view only ever moves forward. A change is committed on the
    condition that the log's head is the revision that the view shows, so
    every rule that `apply_change` checks holds in the same transaction.
    """

    def __init__(
        self, table: Table, clock: Clock, author: str, view: FleetView
    ) -> None:
        self._table = table
        self._clock = clock
        self._author = author
        self._view = view
        self._recent: list[ChangeRecord] = []
        self._listeners: list[Callable[[ChangeRecord, FleetView], None]] = []
        self._moved = threading.Condition()

    @property
    def view(self) -> FleetView:
        """The newest view that this daemon has in force."""
        return self._view

    def add_listener(
        self, listener: Callable[[ChangeRecord, FleetView], None]
    ) -> None:
        """Call the listener after each record, in order, under the lock."""
        self._listeners.append(listener)

    def wait_past(self, revision: int, deadline: Deadline) -> bool:
        """Block until the view is newer than the revision."""
        with self._moved:
            return self._moved.wait_for(
                lambda: self._view.revision > revision,
                deadline.measure_left(self._clock),
            )

    def install_view(self, view: FleetView) -> bool:
        """Replace the view by a newer one; tell whether it was newer."""
        with self._moved:
            if view.revision <= self._view.revision:
                return False
            self._view = view
            self._moved.notify_all()
            return True

    def fold_records(self, records: Iterable[ChangeRecord]) -> int:
        """Fold the records that follow the view; return its revision."""
        with self._moved:
            for record in records:
                if record.revision == self._view.revision + 1:
                    self._fold(record)
            self._moved.notify_all()
            return self._view.revision

    def _fold(self, record: ChangeRecord) -> None:
        # A committed record was checked by its author: the same fold on
        # the same view can not be refused here.
        self._view = apply_record(self._view, record).unwrap()
        for listener in self._listeners:
            listener(record, self._view)

    def read_records(
        self, after: int, limit: int, deadline: Deadline
    ) -> Result[tuple[ChangeRecord, ...], PlatformFailure]:
        """Return the records after the revision, oldest first."""
        start = build_record_key(after + 1).key
        rows = self._table.scan(LOG_TABLE, start, "~", limit, deadline)
        return rows.map(lambda found: tuple(map(_decode_record, found)))

    def refresh(self, deadline: Deadline) -> Result[int, PlatformFailure]:
        """Fold everything that the table has; return the revision."""
        while True:
            match self.read_records(self._view.revision, SCAN_LIMIT, deadline):
                case Err(failure):
                    return Err(failure)
                case Ok(records):
                    revision = self.fold_records(records)
                    if len(records) < SCAN_LIMIT:
                        return Ok(revision)

    def append(
        self,
        change: Change,
        deadline: Deadline,
        author: str = "",
        conditions: Sequence[Condition] = (),
        writes: Sequence[Write] = (),
    ) -> Result[ChangeRecord, AppendFailure]:
        """Commit the change on top of the current view.

        `conditions`, such as a duty's, and `writes` join the transaction.
        A `ConflictFailure` names conditions of the caller that broke.
        """
        view = self._view
        record = ChangeRecord(
            view.revision + 1,
            uuid.uuid4().hex,
            author or self._author,
            self._clock.read_wall(),
            change,
        )
        match apply_record(view, record):
            case Err(failure):
                return Err(failure)
        outcome = self._commit(record, conditions, writes, deadline)
        if outcome.is_ok():
            self.fold_records([record])
        return outcome

    def _commit(
        self,
        record: ChangeRecord,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Result[ChangeRecord, AppendFailure]:
        key = build_record_key(record.revision)
        committed = self._table.commit(
            [Condition(key, ABSENT), *conditions],
            [Write(key, encode_value(record)), *writes],
            deadline,
        )
        match committed:
            case Ok():
                return Ok(record)
            case Err(ConflictFailure(rows)) if key not in rows:
                return Err(ConflictFailure(rows))
            case Err(ConflictFailure() | UnknownOutcomeFailure() as failure):
                return self._resolve(record, failure, deadline)
            case Err(failure):
                return Err(failure)

    def _resolve(
        self,
        record: ChangeRecord,
        failure: ConflictFailure | UnknownOutcomeFailure,
        deadline: Deadline,
    ) -> Result[ChangeRecord, AppendFailure]:
        """Find out whether the record, or another, took its revision."""
        match self._table.read([build_record_key(record.revision)], deadline):
            case Ok((None,)) | Err(_):
                return Err(failure)
            case Ok((Row() as row,)):
                found = _decode_record(row)
                if found.id == record.id:
                    return Ok(record)
                self.refresh(deadline)
                return Err(RaceFailure(found.revision, found.author))
        return Err(failure)

    def find_ticket(
        self, number: int, deadline: Deadline
    ) -> Result[ChangeRecord | None, PlatformFailure]:
        """Return the record of the ticket with the number."""
        after = 0
        while True:
            match self.read_records(after, SCAN_LIMIT, deadline):
                case Err(failure):
                    return Err(failure)
                case Ok(records):
                    for record in records:
                        match record.change:
                            case TicketChange(ticket=ticket) if (
                                ticket.number == number
                            ):
                                return Ok(record)
                    if len(records) < SCAN_LIMIT:
                        return Ok(None)
                    after = records[-1].revision


def _decode_record(row: Row) -> ChangeRecord:
    return decode_value(ChangeRecord, row.value).unwrap()
