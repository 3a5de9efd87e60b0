"""The change log: commits records and applies them to the fleet view."""

import logging
import threading
import uuid
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    Condition,
    ConflictFailure,
    ObjectStore,
    PlatformFailure,
    Table,
    UnknownOutcomeFailure,
    Write,
)
from chestnutstair.coordination.records import (
    FLOOR_KEY,
    LOG_TABLE,
    Floor,
    RecordStore,
    TicketEntry,
    build_record_key,
    build_ticket_entry,
)
from chestnutstair.state.change import Change, ChangeRecord, TicketChange
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import Failure
from chestnutstair.state.fold import ChangeFailure, apply_record
from chestnutstair.state.view import FleetView

__all__ = [
    "LOG_TABLE",
    "AppendFailure",
    "ChangeLog",
    "RaceFailure",
    "build_record_key",
]

logger = logging.getLogger(__name__)

SCAN_LIMIT = 200  # records
# Records kept in memory to answer peers' pulls; also bounds the cached index
# entries of tickets.
RECENT_LIMIT = 500


@dataclass(frozen=True)
class RaceFailure(Failure):
    """Another change was committed first; check again with the new view.

    `revision` is that of the record that took the place of this one, and
    `author` wrote that record. If the record is unknown, `author` is empty
    and `revision` is that of this daemon's view.
    """

    revision: int
    author: str


AppendFailure = ChangeFailure | RaceFailure | PlatformFailure | ConflictFailure


class ChangeLog:
    """Appends records to the log, and keeps the view up to date with it.

    The log itself is in the platform's table and object store. In memory
    are the fleet view, whose revision only increases, and the most recent
    records. A commit succeeds only if no record newer than the view
    exists, so the rules that `apply_record` checked against the view
    still hold in the transaction.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        author: str,
        view: FleetView,
        objects: ObjectStore | None = None,
    ) -> None:
        self._store = RecordStore(table, objects)
        self._clock = clock
        self._author = author
        self._view = view
        self._floor = Floor()
        self._recent: deque[ChangeRecord] = deque(maxlen=RECENT_LIMIT)
        self._tickets: dict[int, TicketEntry] = {}
        self._listeners: list[Callable[[ChangeRecord, FleetView], None]] = []
        self._install_listeners: list[Callable[[FleetView], None]] = []
        self._lock = threading.RLock()  # reentrant: listeners may call the log

    @property
    def view(self) -> FleetView:
        """The fleet view, with all records that this daemon has applied."""
        return self._view

    @property
    def store(self) -> RecordStore:
        """The storage of the log's records."""
        return self._store

    def add_listener(
        self, listener: Callable[[ChangeRecord, FleetView], None]
    ) -> None:
        """Call the listener after each record, in order, under the lock."""
        self._listeners.append(listener)

    def add_install_listener(
        self, listener: Callable[[FleetView], None]
    ) -> None:
        """Call the listener, under the lock, when a view is replaced."""
        self._install_listeners.append(listener)

    def install_view(self, view: FleetView) -> bool:
        """Replace the view if this one is newer; return whether it was."""
        with self._lock:
            if view.revision <= self._view.revision:
                return False
            self._view = view
            self._recent.clear()
            for listener in self._install_listeners:
                listener(view)
            return True

    def apply_records(self, records: Iterable[ChangeRecord]) -> int:
        """Apply the records that follow the view; return its revision.

        Records after a gap are ignored; the caller has to fetch the
        missing ones.
        """
        with self._lock:
            for record in records:
                if record.revision == self._view.revision + 1:
                    self._apply(record)
            return self._view.revision

    def _apply(self, record: ChangeRecord) -> None:
        # The author checked the record against the same view before the
        # commit, so applying it cannot fail here.
        self._view = apply_record(self._view, record).unwrap()
        self._recent.append(record)
        self._cache_ticket(record)
        for listener in self._listeners:
            listener(record, self._view)

    def _cache_ticket(self, record: ChangeRecord) -> None:
        match record.change:
            case TicketChange(ticket=ticket):
                entry = build_ticket_entry(record, ticket)
                self._tickets[ticket.number] = entry
                self._tickets.pop(ticket.number - RECENT_LIMIT, None)

    def list_recent(self, after: int) -> tuple[ChangeRecord, ...] | None:
        """Return the records after the revision from memory.

        Return None if not all of them are in memory any more.
        """
        with self._lock:
            if after >= self._view.revision:
                return ()
            found = tuple(
                item for item in self._recent if item.revision > after
            )
            is_complete = bool(found) and found[0].revision == after + 1
            return found if is_complete else None

    def read_records(
        self, after: int, limit: int, deadline: Deadline
    ) -> Result[tuple[ChangeRecord, ...], PlatformFailure]:
        """Return up to `limit` records after the revision, oldest first.

        Archived records are included.
        """
        return self._store.read_after(after, limit, deadline)

    def load(self, deadline: Deadline) -> Result[int, PlatformFailure]:
        """Install the newest snapshot and apply the records after it."""
        match self._store.read_floor(deadline):
            case Err(failure):
                return Err(failure)
            case Ok(floor):
                self._floor = floor
        match self._store.read_snapshot(self._floor, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(view):
                self.install_view(view)
        return self.refresh(deadline)

    def refresh(self, deadline: Deadline) -> Result[int, PlatformFailure]:
        """Apply the newer stored records; return the view's revision.

        Stop early, with `Ok`, at the deadline or if the records that were
        read do not advance the view.
        """
        while True:
            after = self._view.revision
            match self.read_records(after, SCAN_LIMIT, deadline):
                case Err(failure):
                    return Err(failure)
                case Ok(()):
                    return Ok(self._view.revision)
                case Ok(records):
                    revision = self.apply_records(records)
            if revision <= after or deadline.has_passed(self._clock):
                return Ok(revision)

    def append(
        self,
        change: Change,
        deadline: Deadline,
        author: str = "",
        conditions: Sequence[Condition] = (),
        writes: Sequence[Write] = (),
    ) -> Result[ChangeRecord, AppendFailure]:
        """Commit the change if no other record follows the current view.

        `author` is by default this log's author. `conditions`, such as the
        fencing condition of a duty, and `writes` are added to the
        transaction. If the revision is free but some of `conditions` do
        not hold, the result is a `ConflictFailure` with their rows.
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
            self.apply_records([record])
        return outcome

    def _commit(
        self,
        record: ChangeRecord,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Result[ChangeRecord, AppendFailure]:
        floor = self._floor
        committed = self._store.commit(
            record, floor, conditions, writes, deadline
        )
        match committed:
            case Ok():
                return Ok(record)
            case Err(ConflictFailure(rows)) if FLOOR_KEY in rows:
                return self._retry_above_floor(
                    floor, record, conditions, writes, deadline
                )
            case Err(ConflictFailure(rows)) if (
                build_record_key(record.revision) not in rows
            ):
                return Err(ConflictFailure(rows))
            case Err(ConflictFailure() | UnknownOutcomeFailure() as failure):
                return self._resolve_outcome(record, failure, deadline)
            case Err(failure):
                return Err(failure)
        raise AssertionError(committed)

    def _retry_above_floor(
        self,
        previous_floor: Floor,
        record: ChangeRecord,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Result[ChangeRecord, AppendFailure]:
        """Retry the commit with the floor that is now stored.

        Return a `RaceFailure` if the floor is unchanged, or if records up
        to this revision are archived already.
        """
        match self._store.read_floor(deadline):
            case Err(failure):
                return Err(failure)
            case Ok(floor):
                self._floor = floor
        if floor == previous_floor or floor.revision >= record.revision:
            self.refresh(deadline)
            return Err(RaceFailure(self._view.revision, ""))
        return self._commit(record, conditions, writes, deadline)

    def _resolve_outcome(
        self,
        record: ChangeRecord,
        failure: ConflictFailure | UnknownOutcomeFailure,
        deadline: Deadline,
    ) -> Result[ChangeRecord, AppendFailure]:
        """Determine the outcome of the commit from the stored record.

        Another record with the revision means a lost race. Return the
        given failure if no record is found or the read fails.
        """
        match self._store.read_record(record.revision, deadline):
            case Ok(None) | Err(_):
                return Err(failure)
            case Ok(ChangeRecord(id=found_id)) if found_id == record.id:
                return Ok(record)
            case Ok(ChangeRecord(revision=revision, author=author)):
                self.refresh(deadline)
                return Err(RaceFailure(revision, author))
        return Err(failure)

    def find_ticket(
        self, number: int, deadline: Deadline
    ) -> Result[TicketEntry | None, PlatformFailure]:
        """Return the index entry of the accepted ticket, or None."""
        entry = self._tickets.get(number)
        if entry is not None:
            return Ok(entry)
        return self._store.find_ticket(number, deadline)
