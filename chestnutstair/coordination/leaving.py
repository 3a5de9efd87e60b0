"""Collects every hint that a target is leaving, and passes them on."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from chestnutstair.coordination.messenger import (
    Membership,
    Message,
    Messenger,
)
from chestnutstair.coordination.platform import ListedVm
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.view import FleetView, VmPhase

__all__ = ["LeavingMessage", "LeavingSettings", "LeavingTracker"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class LeavingMessage(Message):
    """A target is leaving, as seen at a revision of the change log."""

    vm: str
    revision: int


@dataclass(frozen=True)
class LeavingSettings:
    """How long the platform's list of VMs may lag behind."""

    __pydantic_config__ = STRICT

    directory_lag_seconds: float = 30.0


class _Source(StrEnum):
    TARGET = "target"
    PEER = "peer"
    DIRECTORY = "directory"


@dataclass(frozen=True)
class _Hint:
    source: _Source
    revision: int
    trust_until: Deadline  # outweighs a directory that says otherwise


class LeavingTracker:
    """Which targets are leaving by any hint but the change log itself.

    `on_change` is called with a VM and whether it is leaving. A hint
    holds until a later view shows the VM back in service, or until the
    directory, once it must have caught up, says that the VM stays. Not
    safe for threads: its user holds a lock.
    """

    def __init__(
        self,
        clock: Clock,
        messenger: Messenger,
        membership: Membership,
        on_change: Callable[[str, bool], None],
        settings: LeavingSettings,
    ) -> None:
        self._clock = clock
        self._messenger = messenger
        self._membership = membership
        self._on_change = on_change
        self._settings = settings
        self._hints: dict[str, _Hint] = {}

    def record_target_answer(
        self, vm: str, revision: int, view: FleetView
    ) -> None:
        """Note what a target said of itself in answer to a request.

        `revision` is that of the view when the request was sent.
        """
        if self._add(vm, revision, _Source.TARGET, view):
            self._announce(vm, revision)

    def handle_message(self, message: LeavingMessage, view: FleetView) -> None:
        """Note what another daemon learned."""
        self._add(message.vm, message.revision, _Source.PEER, view)

    def apply_vm_list(
        self, listed: Iterable[ListedVm], view: FleetView
    ) -> None:
        """Note the platform's list of VMs."""
        revision = view.revision
        for vm in listed:
            if not vm.leaving:
                self._drop_unless_trusted(vm.name)
            elif self._add(vm.name, revision, _Source.DIRECTORY, view):
                self._announce(vm.name, revision)

    def apply_view(self, view: FleetView) -> None:
        """Drop the hints of VMs that have returned to service since."""
        for vm, hint in list(self._hints.items()):
            if vm not in view.statuses or _has_returned(vm, hint, view):
                self._drop(vm)

    def _add(
        self, vm: str, revision: int, source: _Source, view: FleetView
    ) -> bool:
        lag = self._settings.directory_lag_seconds
        hint = _Hint(source, revision, Deadline.after(self._clock, lag))
        if vm in self._hints or _has_returned(vm, hint, view):
            return False
        self._hints[vm] = hint
        logger.info(
            "target is leaving", extra={"vm": vm, "source": source.value}
        )
        self._on_change(vm, True)
        return True

    def _drop_unless_trusted(self, vm: str) -> None:
        hint = self._hints.get(vm)
        if hint is None:
            return
        by_directory = hint.source is _Source.DIRECTORY
        if by_directory or hint.trust_until.has_passed(self._clock):
            self._drop(vm)

    def _drop(self, vm: str) -> None:
        del self._hints[vm]
        self._on_change(vm, False)

    def _announce(self, vm: str, revision: int) -> None:
        message = LeavingMessage(vm, revision)
        own = self._membership.get_self().name
        for member in self._membership.list_live():
            if member.name != own:
                self._messenger.send(member.name, message)


def _has_returned(vm: str, hint: _Hint, view: FleetView) -> bool:
    status = view.statuses.get(vm)
    return (
        status is not None
        and status.phase is VmPhase.SERVING
        and status.phase_revision > hint.revision
    )
