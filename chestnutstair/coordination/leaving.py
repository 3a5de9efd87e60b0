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
from chestnutstair.state.change import (
    ChangeRecord,
    MoveChange,
    RecoveryChange,
    UndoChange,
)
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.view import FleetView

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
    holds until a later record shows the VM back in service, or until the
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
        self._returns: dict[str, int] = {}

    def note_target(self, vm: str, revision: int) -> None:
        """Note what a target said of itself in answer to a request.

        `revision` is that of the view when the request was sent.
        """
        if self._add(vm, revision, _Source.TARGET):
            self._announce(vm, revision)

    def note_message(self, message: LeavingMessage) -> None:
        """Note what another daemon learned."""
        self._add(message.vm, message.revision, _Source.PEER)

    def note_directory(
        self, listed: Iterable[ListedVm], revision: int
    ) -> None:
        """Note the platform's list of VMs."""
        for vm in listed:
            if vm.leaving:
                if self._add(vm.name, revision, _Source.DIRECTORY):
                    self._announce(vm.name, revision)
            else:
                self._drop_unless_trusted(vm.name)

    def note_record(self, record: ChangeRecord, view: FleetView) -> None:
        """Drop the hint of a VM that a record returned to service."""
        match record.change:
            case UndoChange(vm=vm) | RecoveryChange(vm=vm) | MoveChange(vm=vm):
                self._returns[vm] = record.revision
                hint = self._hints.get(vm)
                if hint is not None and hint.revision < record.revision:
                    self._drop(vm)

    def _add(self, vm: str, revision: int, source: _Source) -> bool:
        if vm in self._hints or revision < self._returns.get(vm, 0):
            return False
        lag = self._settings.directory_lag_seconds
        trust_until = Deadline.after(self._clock, lag)
        self._hints[vm] = _Hint(source, revision, trust_until)
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
