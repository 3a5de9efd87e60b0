"""Accepts operators' tickets and reports which daemons applied them."""

import logging
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from prometheus_client import Counter
from result import Err, Ok, Result

from chestnutstair.coordination.changelog import (
    AppendFailure,
    ChangeLog,
    RaceFailure,
)
from chestnutstair.coordination.membership import MemberList, MemberStatus
from chestnutstair.coordination.platform import (
    ConflictFailure,
    PlatformFailure,
    Table,
)
from chestnutstair.coordination.records import TicketEntry, digest_ticket
from chestnutstair.coordination.refusals import (
    Refusal,
    list_refusals,
    record_refusal,
)
from chestnutstair.state.change import TicketChange
from chestnutstair.state.codec import encode_value
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import Failure, describe_failure
from chestnutstair.state.fold import apply_change
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.validation import (
    InvalidTicketFailure,
    TicketNumberFailure,
)
from chestnutstair.state.view import FleetView

__all__ = [
    "LagReason",
    "LaggingMember",
    "TicketContentFailure",
    "TicketDifference",
    "TicketOutcome",
    "TicketService",
    "TicketStatus",
    "UnknownTicketFailure",
]

logger = logging.getLogger(__name__)

ATTEMPT_LIMIT = 20  # lost races with other changes before giving up
KINDS = ("zones", "teams", "pools", "vms", "jobs")
TICKETS = Counter(
    "chestnutstair_tickets_total",
    "Tickets filed with this daemon.",
    ["outcome"],
)


@dataclass(frozen=True)
class TicketContentFailure(Failure):
    """The number belongs to an accepted ticket with other content.

    `author` filed the accepted one; `expected` is the next free number.
    """

    number: int
    author: str
    expected: int


@dataclass(frozen=True)
class UnknownTicketFailure(Failure):
    """No ticket with the number was accepted.

    `expected` is the next free number.
    """

    number: int
    expected: int


@dataclass(frozen=True)
class TicketOutcome:
    """An accepted ticket; `repeated` if it had been accepted before."""

    number: int
    revision: int
    repeated: bool


@dataclass(frozen=True)
class TicketDifference:
    """One object that a ticket would add, change or remove."""

    path: str  # such as `vms.quotes-3`
    before: Any
    after: Any


class LagReason(StrEnum):
    """Why a daemon has not confirmed a ticket."""

    BEHIND = "behind"
    CUT_OFF = "cut off"
    STARTING = "starting"
    STOPPED = "stopped"


@dataclass(frozen=True)
class LaggingMember:
    """A daemon that has not confirmed a ticket.

    `since` is wall-clock epoch seconds: when the ticket was recorded, or
    when a daemon that is cut off or stopped was last heard from.
    """

    name: str
    zone: str
    revision: int
    reason: LagReason
    since: float


@dataclass(frozen=True)
class TicketStatus:
    """A ticket and which daemons confirmed that they have applied it.

    `in_force` is false until every daemon that may serve now or later has
    confirmed, including those that are cut off.
    """

    entry: TicketEntry
    in_force: bool
    confirmed: tuple[str, ...]
    lagging: tuple[LaggingMember, ...]
    pending_moves: tuple[str, ...]


FilingFailure = AppendFailure | TicketContentFailure
ReportFailure = UnknownTicketFailure | PlatformFailure


class TicketService:
    """Accepts, previews and reports on operators' tickets."""

    def __init__(
        self,
        log: ChangeLog,
        members: MemberList,
        table: Table,
        clock: Clock,
    ) -> None:
        self._log = log
        self._members = members
        self._table = table
        self._clock = clock

    def file(
        self, ticket: Ticket, deadline: Deadline
    ) -> Result[TicketOutcome, FilingFailure]:
        """Accept the ticket; filing the same one again changes nothing.

        After an `UnknownOutcomeFailure`, file the same ticket again: it is
        accepted now unless it already was.
        """
        outcome = self._file(ticket, deadline)
        match outcome:
            case Ok(accepted):
                label = "repeated" if accepted.repeated else "accepted"
                TICKETS.labels(label).inc()
            case Err(failure):
                TICKETS.labels(type(failure).__name__).inc()
                self._record_refusal(ticket, failure, deadline)
        return outcome

    def _file(
        self, ticket: Ticket, deadline: Deadline
    ) -> Result[TicketOutcome, FilingFailure]:
        for _ in range(ATTEMPT_LIMIT):
            found = self._find_accepted(ticket, deadline)
            if isinstance(found, Err):
                return found
            if found.ok_value is not None:
                return Ok(found.ok_value)
            appended = self._append(ticket, deadline)
            match appended:
                case Err(RaceFailure()):
                    pass
                case Err(TicketNumberFailure(number, expected)) if (
                    number < expected
                ):
                    pass  # It was accepted between the two reads.
                case _:
                    return appended
            if deadline.has_passed(self._clock):
                break
        return appended

    def _find_accepted(
        self, ticket: Ticket, deadline: Deadline
    ) -> Result[TicketOutcome | None, TicketContentFailure | PlatformFailure]:
        match self._log.find_ticket(ticket.number, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(None):
                return Ok(None)
            case Ok(entry) if entry is not None:
                self._log.refresh(deadline)
                if entry.digest == digest_ticket(ticket):
                    outcome = TicketOutcome(
                        ticket.number, entry.revision, repeated=True
                    )
                    return Ok(outcome)
                expected = self._log.view.ticket + 1
                return Err(
                    TicketContentFailure(ticket.number, entry.author, expected)
                )
        raise AssertionError(ticket)

    def _append(
        self, ticket: Ticket, deadline: Deadline
    ) -> Result[TicketOutcome, AppendFailure]:
        match self._log.refresh(deadline):
            case Err(failure):
                return Err(failure)
        appended = self._log.append(
            TicketChange(ticket), deadline, author=ticket.author
        )
        return appended.map(
            lambda record: TicketOutcome(
                ticket.number, record.revision, repeated=False
            )
        )

    def _record_refusal(
        self, ticket: Ticket, failure: Failure, deadline: Deadline
    ) -> None:
        """Store an audit row if the ticket was refused for its content."""
        match failure:
            case (
                TicketContentFailure()
                | TicketNumberFailure()
                | InvalidTicketFailure()
                | ConflictFailure()
            ):
                pass
            case _:
                return
        logger.info(
            "ticket refused: %s",
            describe_failure(failure),
            extra={"ticket": ticket.number},
        )
        record_refusal(
            self._table,
            ticket,
            failure,
            self._clock.read_wall(),
            uuid.uuid4().hex,
            deadline,
        )

    def list_refusals(
        self, deadline: Deadline
    ) -> Result[tuple[Refusal, ...], PlatformFailure]:
        """Return the newest refused tickets, oldest first."""
        return list_refusals(self._table, deadline)

    def preview(
        self, ticket: Ticket
    ) -> Result[tuple[TicketDifference, ...], AppendFailure]:
        """Return what the ticket would change, or why it would be refused."""
        view = self._log.view
        after = apply_change(view, TicketChange(ticket))
        return after.map(lambda new: _diff_views(view, new))

    def report(
        self, number: int, deadline: Deadline
    ) -> Result[TicketStatus, ReportFailure]:
        """Return which daemons applied the ticket, and why others did not."""
        match self._log.find_ticket(number, deadline):
            case Err(failure):
                return Err(failure)
            case Ok(None):
                expected = self._log.view.ticket + 1
                return Err(UnknownTicketFailure(number, expected))
            case Ok(entry) if entry is not None:
                # The rows include all daemons that registered before it.
                rows = self._members.read_rows(deadline)
                return rows.map(lambda _: self._report(entry))
        raise AssertionError(number)

    def _report(self, entry: TicketEntry) -> TicketStatus:
        statuses = self._members.list_statuses()
        confirmed = tuple(
            status.fact.name
            for status in statuses
            if status.fact.revision >= entry.revision
        )
        lagging = tuple(
            _describe_lag(status, entry)
            for status in statuses
            if status.fact.revision < entry.revision
        )
        in_force = all(item.reason is LagReason.STOPPED for item in lagging)
        moves = _list_pending_moves(self._log.view)
        return TicketStatus(entry, in_force, confirmed, lagging, moves)


def _describe_lag(status: MemberStatus, entry: TicketEntry) -> LaggingMember:
    fact = status.fact
    if fact.stopping:
        reason, since = LagReason.STOPPED, status.heard_at
    elif not status.live:
        reason, since = LagReason.CUT_OFF, status.heard_at
    elif not fact.ready:
        reason, since = LagReason.STARTING, entry.recorded_at
    else:
        reason, since = LagReason.BEHIND, entry.recorded_at
    return LaggingMember(fact.name, fact.zone, fact.revision, reason, since)


def _list_pending_moves(view: FleetView) -> tuple[str, ...]:
    return tuple(
        name
        for name, vm in sorted(view.vms.items())
        if view.statuses[name].pool != vm.pool
    )


def _diff_views(
    before: FleetView, after: FleetView
) -> tuple[TicketDifference, ...]:
    differences: list[TicketDifference] = []
    for kind in KINDS:
        old: Mapping[str, Any] = getattr(before, kind)
        new: Mapping[str, Any] = getattr(after, kind)
        differences += [
            TicketDifference(
                f"{kind}.{name}",
                encode_value(old[name]) if name in old else None,
                encode_value(new[name]) if name in new else None,
            )
            for name in sorted({*old, *new})
            if old.get(name) != new.get(name)
        ]
    return tuple(differences)
