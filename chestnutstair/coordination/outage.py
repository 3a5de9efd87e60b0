"""Records unplanned failures of VMs and their recoveries."""

import logging
from dataclasses import dataclass

from result import Err, Ok

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.drain_controller import (
    build_maintenance_duty_name,
)
from chestnutstair.coordination.duty import Duty, DutyHolder
from chestnutstair.coordination.operation import (
    Listing,
    append_change,
    end_operation,
)
from chestnutstair.coordination.platform import VmControl, VmDirectory
from chestnutstair.state.change import OutageChange, RecoveryChange
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure
from chestnutstair.state.view import VmPhase, VmStatus

__all__ = ["OutageDetector", "OutageSettings"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class OutageSettings:
    """When a VM is recorded as down or as recovered.

    A VM fails a check if the VM list lacks it, shows it as not live, or
    shows it as leaving without a planned drain.

    - `down_seconds`: how long a VM must fail its checks before it is
      recorded as down. It must exceed the lag of the VM list.
    - `down_checks`: the number of consecutive checks, one in each round,
      that a VM must fail before it is recorded as down, in addition to
      `down_seconds`.
    - `up_checks`: the number of consecutive checks in which the VM list
      must show a VM as live again before it is recorded as recovered.
    - `call_seconds`: the timeout of one call to the platform.
    """

    __pydantic_config__ = STRICT

    down_seconds: float = 5.0
    down_checks: int = 3
    up_checks: int = 3
    call_seconds: float = 2.0


@dataclass
class _Discrepancy:
    """Consecutive checks in which the VM list contradicted the view."""

    phase_revision: int
    since: float  # monotonic seconds
    checks: int = 0


class OutageDetector:
    """Compares the VM list with the view and records outages.

    It handles the pools whose maintenance duty this daemon holds. The list
    lags, so it must contradict the view in several consecutive checks
    before an outage or a recovery is recorded.
    """

    def __init__(
        self,
        log: ChangeLog,
        duties: DutyHolder,
        directory: VmDirectory,
        control: VmControl,
        clock: Clock,
        settings: OutageSettings | None = None,
    ) -> None:
        self._log = log
        self._duties = duties
        self._directory = directory
        self._control = control
        self._clock = clock
        self._settings = settings or OutageSettings()
        self._discrepancies: dict[str, _Discrepancy] = {}

    def run_once(self, deadline: Deadline) -> None:
        """Check the VMs of each pool whose maintenance duty is held."""
        view = self._log.view
        pool_duties = {
            pool: self._duties.find_duty(build_maintenance_duty_name(pool))
            for pool in view.pools
        }
        if not any(pool_duties.values()):
            return
        match self._directory.list_vms(deadline):
            case Err(failure):
                logger.warning(
                    "cannot read the list of VMs: %s",
                    describe_failure(failure),
                )
                return
            case Ok(vms):
                listing: Listing = {vm.name: vm for vm in vms}
        for name, status in view.statuses.items():
            if duty := pool_duties[status.pool]:
                self._check_vm(name, status, listing, duty, deadline)

    def _check_vm(
        self,
        name: str,
        status: VmStatus,
        listing: Listing,
        duty: Duty,
        deadline: Deadline,
    ) -> None:
        if not _contradicts_view(name, status, listing):
            self._discrepancies.pop(name, None)
            return
        discrepancy = self._count_check(name, status)
        if status.phase is VmPhase.DOWN:
            if discrepancy.checks >= self._settings.up_checks:
                self._record_recovery(name, status, listing, duty, deadline)
        elif self._has_persisted(discrepancy):
            append_change(self._log, OutageChange(name), duty, deadline)

    def _count_check(self, name: str, status: VmStatus) -> _Discrepancy:
        discrepancy = self._discrepancies.get(name)
        if discrepancy is None or (
            discrepancy.phase_revision != status.phase_revision
        ):
            now = self._clock.read_monotonic()
            discrepancy = _Discrepancy(status.phase_revision, now)
            self._discrepancies[name] = discrepancy
        discrepancy.checks += 1
        return discrepancy

    def _has_persisted(self, discrepancy: _Discrepancy) -> bool:
        elapsed = self._clock.read_monotonic() - discrepancy.since
        return (
            discrepancy.checks >= self._settings.down_checks
            and elapsed >= self._settings.down_seconds
        )

    def _record_recovery(
        self,
        name: str,
        status: VmStatus,
        listing: Listing,
        duty: Duty,
        deadline: Deadline,
    ) -> None:
        """Record the recovery after ending an interrupted operation.

        Nothing is recorded while the operation can't be ended or the VM
        is still listed as leaving.
        """
        call_deadline = Deadline.after(
            self._clock, self._settings.call_seconds
        )
        if status.operation and not end_operation(
            self._control, name, status, min(call_deadline, deadline)
        ):
            return
        if listing[name].leaving:
            return
        change = RecoveryChange(name, status.operation)
        append_change(self._log, change, duty, deadline)


def _contradicts_view(name: str, status: VmStatus, listing: Listing) -> bool:
    """Return whether the VM list contradicts the phase in the view."""
    listed = listing.get(name)
    live = listed is not None and listed.live
    leaving = listed is not None and listed.leaving
    match status.phase:
        case VmPhase.DOWN:
            # The VM was down in the middle of an operation: it is listed as
            # leaving until `_record_recovery` cancels the operation.
            return live and (not leaving or bool(status.operation))
        case VmPhase.SERVING:
            return not live or leaving
        case VmPhase.REBOOTING:
            return False
        case _:
            return not live
