"""Executes the steps of planned drains, reboots and moves of VMs."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.duty import Duty
from chestnutstair.coordination.messenger import Membership
from chestnutstair.coordination.operation import (
    append_change,
    end_operation,
    is_listed_healthy,
    is_listed_leaving,
)
from chestnutstair.coordination.platform import (
    ListedVm,
    PlatformFailure,
    VmControl,
)
from chestnutstair.state.change import (
    Change,
    MoveChange,
    OutageChange,
    ProofChange,
    RebootChange,
    RecoveryChange,
    UndoChange,
)
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure
from chestnutstair.state.view import VmPhase, VmStatus

__all__ = ["DrainExecutor", "DrainSettings"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class DrainSettings:
    """Timeouts of the steps of a planned drain.

    - `confirm_seconds`: how long a drain waits for every live daemon to
      learn of it. It must exceed the membership lease of a daemon, so
      that by then a daemon that is cut off is no longer listed as live.
    - `drain_seconds`: how long the VM may take to finish its work. After
      that the drain is undone, but a move whose VM refuses new work keeps
      waiting.
    - `reboot_seconds`: how long the VM may take to reboot before it is
      recorded as down.
    - `proof_seconds`: how long the rebooted VM may take to pass its
      health checks before it is recorded as down.
    - `retry_seconds`: how long no cleaning of a VM is planned after a
      drain of it took too long.
    - `skew_seconds`: the largest difference between the daemons' wall
      clocks. No stored deadline is acted on before it has passed by that
      much.
    - `call_seconds`: the timeout of one call to the platform.
    - `healthy_checks`: the number of consecutive health checks, one in
      each round, that a rebooted VM must pass.
    """

    __pydantic_config__ = STRICT

    confirm_seconds: float = 30.0
    drain_seconds: float = 900.0
    reboot_seconds: float = 600.0
    proof_seconds: float = 120.0
    retry_seconds: float = 1800.0
    skew_seconds: float = 2.0
    call_seconds: float = 2.0
    healthy_checks: int = 3


@dataclass
class _Progress:
    """What this daemon has done and observed in one phase of one VM."""

    phase_revision: int
    command_accepted: bool = False  # by the platform, for this phase
    checks: int = 0  # consecutive health checks that the VM passed


@dataclass(frozen=True)
class _Step:
    """A VM's state and the context of its step in one round."""

    vm: str
    status: VmStatus
    listed: ListedVm | None
    duty: Duty
    deadline: Deadline
    progress: _Progress = field(compare=False)


class DrainExecutor:
    """Advances planned operations, given the phase of each VM in the view.

    The fencing token of a command to the platform is the revision at
    which the phase began. It rises with every phase of a VM, also when a
    move puts the VM under another pool's duty, and a daemon that resumes
    the phase uses the same token.
    """

    def __init__(
        self,
        log: ChangeLog,
        control: VmControl,
        membership: Membership,
        clock: Clock,
        settings: DrainSettings,
    ) -> None:
        self._log = log
        self._control = control
        self._membership = membership
        self._clock = clock
        self._settings = settings
        self._progress: dict[str, _Progress] = {}
        self._retry_deadlines: dict[str, Deadline] = {}

    def advance(
        self,
        vm: str,
        status: VmStatus,
        listed: ListedVm | None,
        duty: Duty,
        deadline: Deadline,
    ) -> None:
        """Run the next step of the VM's operation if its conditions hold."""
        progress = self._progress.get(vm)
        if progress is None or (
            progress.phase_revision != status.phase_revision
        ):
            progress = _Progress(status.phase_revision)
            self._progress[vm] = progress
        step = _Step(vm, status, listed, duty, deadline, progress)
        match status.phase:
            case VmPhase.DRAINING:
                self._drain(step)
            case VmPhase.REBOOTING:
                self._reboot(step)
            case VmPhase.PROVING:
                self._check_health(step)
            case VmPhase.RETURNING | VmPhase.ARRIVING:
                self._return_to_service(step)

    def list_deferred(self) -> frozenset[str]:
        """Return the VMs whose drain timed out within `retry_seconds`."""
        self._retry_deadlines = {
            vm: deadline
            for vm, deadline in self._retry_deadlines.items()
            if not deadline.has_passed(self._clock)
        }
        return frozenset(self._retry_deadlines)

    def undo(
        self, vm: str, operation: str, duty: Duty, deadline: Deadline
    ) -> None:
        """Record that the drain is undone, before its reboot or move."""
        append_change(self._log, UndoChange(vm, operation), duty, deadline)

    def is_confirmed(self, status: VmStatus) -> bool:
        """Return whether all live daemons know that the phase has begun.

        After the phase's confirmation deadline, allowing for clock skew,
        the remaining daemons are no longer waited for.
        """
        unconfirmed = [
            member.name
            for member in self._membership.list_live()
            if member.revision < status.phase_revision
        ]
        return not unconfirmed or self._has_passed(status.confirm_deadline)

    def _has_passed(self, wall_deadline: float) -> bool:
        now = self._clock.read_wall()
        return now > wall_deadline + self._settings.skew_seconds

    def _make_call_deadline(self, deadline: Deadline) -> Deadline:
        call_deadline = Deadline.after(
            self._clock, self._settings.call_seconds
        )
        return min(call_deadline, deadline)

    def _compute_wall_deadline(self, seconds: float) -> float:
        return self._clock.read_wall() + seconds

    def _send_command(
        self,
        step: _Step,
        command: Callable[..., Result[None, PlatformFailure]],
    ) -> bool:
        """Send the phase's command unless the platform has accepted it.

        Return whether it is accepted.
        """
        if step.progress.command_accepted:
            return True
        outcome = command(
            step.vm,
            step.status.operation,
            step.status.phase_revision,
            self._make_call_deadline(step.deadline),
        )
        match outcome:
            case Err(failure):
                logger.warning(
                    "the platform did not accept the command: %s",
                    describe_failure(failure),
                    extra={"vm": step.vm},
                )
        step.progress.command_accepted = outcome.is_ok()
        return step.progress.command_accepted

    def _append(self, step: _Step, change: Change) -> None:
        append_change(self._log, change, step.duty, step.deadline)

    def _drain(self, step: _Step) -> None:
        status = step.status
        if not self.is_confirmed(status):
            return
        command_accepted = self._send_command(
            step, self._control.announce_drain
        )
        if command_accepted and self._is_idle(step):
            self._commit_reboot_or_move(step)
        elif self._has_timed_out(step):
            self._retry_deadlines[step.vm] = Deadline.after(
                self._clock, self._settings.retry_seconds
            )
            self.undo(step.vm, status.operation, step.duty, step.deadline)

    def _is_idle(self, step: _Step) -> bool:
        """Return whether the VM refuses new work and has none left.

        A VM that rebooted by itself has forgotten the announced drain;
        the VM list then no longer shows it as leaving.
        """
        if not is_listed_leaving(step.listed):
            return False
        call_deadline = self._make_call_deadline(step.deadline)
        return self._control.count_running(step.vm, call_deadline) == Ok(0)

    def _has_timed_out(self, step: _Step) -> bool:
        """Return whether the drain has exceeded its deadline.

        A move has no deadline once its VM refuses new work: it waits for
        the work to end.
        """
        moving = bool(step.status.destination)
        is_finishing_work = moving and is_listed_leaving(step.listed)
        return not is_finishing_work and self._has_passed(
            step.status.step_deadline
        )

    def _commit_reboot_or_move(self, step: _Step) -> None:
        status = step.status
        if status.destination:
            move = MoveChange(step.vm, status.operation, status.destination)
            self._append(step, move)
        elif step.listed is not None:
            deadline = self._compute_wall_deadline(
                self._settings.reboot_seconds
            )
            reboot = RebootChange(
                step.vm, status.operation, deadline, step.listed.boot
            )
            self._append(step, reboot)

    def _reboot(self, step: _Step) -> None:
        status = step.status
        has_rebooted = (
            step.listed is not None
            and step.listed.live
            and step.listed.boot > status.boot
        )
        if has_rebooted:
            # The VM may have rebooted by itself. End the operation so that
            # a reboot command still in flight can't reboot it again.
            call_deadline = self._make_call_deadline(step.deadline)
            ended = end_operation(
                self._control, step.vm, status, call_deadline
            )
        else:
            self._send_command(step, self._control.reboot)
            ended = False
        if ended:
            deadline = self._compute_wall_deadline(
                self._settings.proof_seconds
            )
            self._append(
                step, ProofChange(step.vm, status.operation, deadline)
            )
        elif self._has_passed(status.step_deadline):
            self._append(step, OutageChange(step.vm))

    def _check_health(self, step: _Step) -> None:
        call_deadline = self._make_call_deadline(step.deadline)
        is_answering = self._control.count_running(
            step.vm, call_deadline
        ).is_ok()
        if is_answering and is_listed_healthy(step.listed):
            step.progress.checks += 1
        else:
            step.progress.checks = 0
        if step.progress.checks >= self._settings.healthy_checks:
            recovery = RecoveryChange(
                step.vm, step.status.operation, self._clock.read_wall()
            )
            self._append(step, recovery)
        elif self._has_passed(step.status.step_deadline):
            self._append(step, OutageChange(step.vm))

    def _return_to_service(self, step: _Step) -> None:
        if not self._send_command(step, self._control.cancel_drain):
            return
        if is_listed_healthy(step.listed):
            recovery = RecoveryChange(step.vm, step.status.operation)
            self._append(step, recovery)
