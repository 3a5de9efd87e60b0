"""Functions shared by the steps of planned operations on VMs."""

import logging
from collections.abc import Mapping

from result import Err, Ok, Result

from chestnutstair.coordination.changelog import (
    AppendFailure,
    ChangeLog,
    RaceFailure,
)
from chestnutstair.coordination.duty import Duty
from chestnutstair.coordination.platform import (
    ListedVm,
    RefusedFailure,
    VmControl,
)
from chestnutstair.state.change import Change, ChangeRecord
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.failure import describe_failure
from chestnutstair.state.view import VmStatus

__all__ = [
    "Listing",
    "append_change",
    "end_operation",
    "is_listed_healthy",
    "is_listed_leaving",
]

logger = logging.getLogger(__name__)

APPEND_ATTEMPTS = 5

Listing = Mapping[str, ListedVm]


def append_change(
    log: ChangeLog, change: Change, duty: Duty, deadline: Deadline
) -> Result[ChangeRecord, AppendFailure]:
    """Commit the change if the duty is still held.

    An attempt that loses a race with another change is repeated, up to
    `APPEND_ATTEMPTS` attempts in all. That is safe, as the log checks the
    change again against the view with the change that won. After any
    failure the log is refreshed.
    """
    fence = [duty.build_condition()]
    outcome = log.append(change, deadline, conditions=fence)
    for _ in range(APPEND_ATTEMPTS - 1):
        match outcome:
            case Err(RaceFailure()):
                outcome = log.append(change, deadline, conditions=fence)
            case _:
                break
    match outcome:
        case Err(failure):
            logger.info(
                "change not committed: %s",
                describe_failure(failure),
                extra={"vm": getattr(change, "vm", "")},
            )
            log.refresh(deadline)
    return outcome


def end_operation(
    control: VmControl, vm: str, status: VmStatus, deadline: Deadline
) -> bool:
    """Make the platform refuse all further commands of the operation.

    Commands of the operation may still be in flight; the platform refuses
    them after the cancellation. A refused cancellation means that the
    operation has already ended. Return whether the operation has ended.
    """
    match control.cancel_drain(
        vm, status.operation, status.phase_revision, deadline
    ):
        case Ok() | Err(RefusedFailure()):
            return True
        case Err(failure):
            logger.warning(
                "cannot cancel the operation: %s",
                describe_failure(failure),
                extra={"vm": vm},
            )
    return False


def is_listed_healthy(listed: ListedVm | None) -> bool:
    """Return whether the VM list shows a live VM that accepts new work."""
    return listed is not None and listed.live and not listed.leaving


def is_listed_leaving(listed: ListedVm | None) -> bool:
    """Return whether the VM list shows a live VM that refuses new work."""
    return listed is not None and listed.live and listed.leaving
