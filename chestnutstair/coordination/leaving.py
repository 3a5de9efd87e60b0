"""Tracks which targets are leaving, and announces them to peers."""

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
    """How much the platform's list of VMs is trusted.

    - `directory_lag_seconds`: the longest lag of the list. For this long
      after a target or a peer reported a target as leaving, a list that
      says otherwise is ignored.
    """

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
    trust_until: Deadline  # until then the VM list can't contradict it


class LeavingTracker:
    """Which targets are leaving, before the change log shows it.

    Hints come from a target's own answers, from peers and from the
    platform's list of VMs. A hint is dropped when a later view shows the
    VM back in service, or when the list says that the VM is not leaving;
    a list that may still lag behind a target's or peer's hint is ignored.
    `on_change` is called with a VM's name and whether it is leaving. Not
    thread-safe: the caller holds a lock.
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
        """Record that a target's answer says that it is leaving.

        `revision` is that of the view when the request was sent.
        """
        if self._add(vm, revision, _Source.TARGET, view):
            self._announce(vm, revision)

    def handle_message(self, message: LeavingMessage, view: FleetView) -> None:
        """Record that another daemon announced a leaving target."""
        self._add(message.vm, message.revision, _Source.PEER, view)

    def apply_vm_list(
        self, listed: Iterable[ListedVm], view: FleetView
    ) -> None:
        """Add and drop hints by the platform's list of VMs."""
        revision = view.revision
        for vm in listed:
            if not vm.leaving:
                self._drop_unless_trusted(vm.name)
            elif self._add(vm.name, revision, _Source.DIRECTORY, view):
                self._announce(vm.name, revision)

    def apply_view(self, view: FleetView) -> None:
        """Drop hints on VMs that are back in service or no longer exist."""
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
