"""The operators' API of a daemon, independent of its transport."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.changelog import AppendFailure, ChangeLog
from chestnutstair.coordination.messenger import Membership
from chestnutstair.coordination.platform import PlatformFailure
from chestnutstair.coordination.task_controller import TaskController
from chestnutstair.coordination.tickets import TicketService, TicketStatus
from chestnutstair.protocol import operator_reports
from chestnutstair.protocol.operators import (
    AuditPage,
    Difference,
    DrainReport,
    JobReport,
    LaggingVm,
    PauseReceipt,
    PoolReport,
    RefusalReport,
    StatusReport,
    TicketReceipt,
    TicketReport,
    VmReport,
)
from chestnutstair.state.change import PauseChange
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import Failure
from chestnutstair.state.ticket import Ticket

__all__ = ["OperatorService", "OperatorSettings"]


@dataclass(frozen=True)
class OperatorSettings:
    """Limits of an operator's call.

    - `page_limit`: largest number of items in one page.
    - `call_seconds`: longest time that a call may wait for the platform.
    """

    __pydantic_config__ = STRICT

    page_limit: int = 500
    call_seconds: float = 5.0


class OperatorService:
    """Serves operators' calls with typed answers or failures."""

    def __init__(
        self,
        log: ChangeLog,
        membership: Membership,
        ticket_service: TicketService,
        task_controller: TaskController,
        is_ready: Callable[[], bool],
        clock: Clock,
        settings: OperatorSettings,
    ) -> None:
        self._log = log
        self._membership = membership
        self._ticket_service = ticket_service
        self._task_controller = task_controller
        self._is_ready = is_ready
        self._clock = clock
        self._settings = settings

    def _build_deadline(self) -> Deadline:
        return Deadline.after(self._clock, self._settings.call_seconds)

    def is_ready(self) -> bool:
        """Return whether callers should be sent to this daemon."""
        return self._is_ready()

    def file_ticket(self, ticket: Ticket) -> Result[TicketReceipt, Failure]:
        """File the ticket; filing the same one again changes nothing."""
        outcome = self._ticket_service.file(ticket, self._build_deadline())
        return outcome.map(
            lambda receipt: TicketReceipt(
                receipt.number, receipt.revision, receipt.repeated
            )
        )

    def preview_ticket(
        self, ticket: Ticket
    ) -> Result[tuple[Difference, ...], Failure]:
        """Return the changes that the ticket would make, without filing it."""
        return self._ticket_service.preview(ticket).map(
            lambda differences: tuple(
                Difference(item.path, item.before, item.after)
                for item in differences
            )
        )

    def show_ticket(self, number: int) -> Result[TicketReport, Failure]:
        """Return the ticket and which entry VMs have it in force."""
        status = self._ticket_service.report(number, self._build_deadline())
        return status.map(_build_ticket_report)

    def list_tickets(
        self, after: int, limit: int
    ) -> Result[tuple[TicketReport, ...], Failure]:
        """Return the tickets after number `after`, oldest first."""
        last = min(
            self._log.view.ticket,
            after + min(limit, self._settings.page_limit),
        )
        reports: list[TicketReport] = []
        for number in range(after + 1, last + 1):
            match self.show_ticket(number):
                case Err(failure):
                    return Err(failure)
                case Ok(report):
                    reports.append(report)
        return Ok(tuple(reports))

    def list_pools(self) -> tuple[PoolReport, ...]:
        """Return each pool with the remainder of its availability budget."""
        return operator_reports.list_pools(self._log.view)

    def list_vms(self) -> tuple[VmReport, ...]:
        """Return each VM with its status."""
        return operator_reports.list_vms(self._log.view)

    def list_drains(self) -> tuple[DrainReport, ...]:
        """Return the VMs that are being drained, cleaned or moved."""
        return operator_reports.list_drains(self._log.view)

    def list_jobs(self) -> Result[tuple[JobReport, ...], PlatformFailure]:
        """Return the jobs, with the stages of their tasks."""
        outcome = self._task_controller.report_jobs(self._build_deadline())
        return outcome.map(
            lambda jobs: tuple(
                JobReport(item.job, item.tasks, item.blocked) for item in jobs
            )
        )

    def read_audit_trail(
        self, after: int, limit: int
    ) -> Result[AuditPage, PlatformFailure]:
        """Return a page of the audit trail, oldest record first."""
        limit = min(limit, self._settings.page_limit)
        return operator_reports.read_audit_trail(
            self._log, after, limit, self._build_deadline()
        )

    def list_refusals(
        self,
    ) -> Result[tuple[RefusalReport, ...], PlatformFailure]:
        """Return the latest refused tickets, oldest first."""
        outcome = self._ticket_service.list_refusals(self._build_deadline())
        return outcome.map(
            lambda refusals: tuple(
                RefusalReport(
                    item.ticket,
                    item.author,
                    item.failure,
                    item.detail,
                    item.refused_at,
                )
                for item in refusals
            )
        )

    def describe_status(self) -> StatusReport:
        """Return this daemon's state and the daemons it considers alive."""
        return operator_reports.build_status_report(
            self._log.view, self._membership, self._is_ready()
        )

    def pause(
        self, author: str, paused: bool
    ) -> Result[PauseReceipt, AppendFailure]:
        """Pause or resume all planned drains and moves."""
        deadline = self._build_deadline()
        self._log.refresh(deadline)
        outcome = self._log.append(PauseChange(paused), deadline, author)
        return outcome.map(
            lambda record: PauseReceipt(record.revision, paused)
        )


def _build_ticket_report(status: TicketStatus) -> TicketReport:
    entry = status.entry
    return TicketReport(
        entry.number,
        entry.author,
        entry.reason,
        entry.revision,
        entry.recorded_at,
        status.in_force,
        status.confirmed,
        tuple(
            LaggingVm(
                item.name, item.zone, item.revision, item.reason, item.since
            )
            for item in status.lagging
        ),
        status.pending_moves,
    )
