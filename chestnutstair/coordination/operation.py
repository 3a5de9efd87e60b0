"""What every step of a planned operation on a VM needs."""

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
    """Commit the change while the duty is held, past lost races.

    A repeated attempt is safe, for the log judges the change anew against
    the view that won.
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
    """Have the platform carry out no more commands of the operation.

    Any of its commands may still be on its way, and is refused after the
    cancellation. A refused cancellation says that the operation ended.
    """
    match control.cancel_drain(
        vm, status.operation, status.phase_revision, deadline
    ):
        case Ok() | Err(RefusedFailure()):
            return True
        case Err(failure):
            logger.warning(
                "operation not ended: %s",
                describe_failure(failure),
                extra={"vm": vm},
            )
    return False


def is_listed_healthy(listed: ListedVm | None) -> bool:
    """Tell whether the VM list shows a VM that can serve."""
    return listed is not None and listed.live and not listed.leaving


def is_listed_leaving(listed: ListedVm | None) -> bool:
    """Tell whether the VM list shows a VM that refuses new work."""
    return listed is not None and listed.live and listed.leaving
