"""The entries of the change log, one class for each kind of change."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from chestnutstair.state.codec import STRICT
from chestnutstair.state.ticket import Ticket

__all__ = [
    "Change",
    "ChangeRecord",
    "DrainChange",
    "MoveChange",
    "OutageChange",
    "PauseChange",
    "ProofChange",
    "RebootChange",
    "RecoveryChange",
    "TicketChange",
    "UndoChange",
]


@dataclass(frozen=True)
class TicketChange:
    """An operator's ticket was accepted."""

    __pydantic_config__ = STRICT

    ticket: Ticket
    kind: Literal["ticket"] = "ticket"


@dataclass(frozen=True)
class DrainChange:
    """A planned drain of a serving VM began, for cleaning or a move.

    `destination` is the pool that the VM moves to, or empty for cleaning.
    `confirm_deadline` bounds the wait for every daemon's confirmation and
    `step_deadline` the whole drain, both in wall-clock epoch seconds.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    step_deadline: float
    destination: str = ""
    confirm_deadline: float = 0.0
    kind: Literal["drain"] = "drain"


@dataclass(frozen=True)
class UndoChange:
    """A drain was undone before its reboot or move.

    The VM serves again after the recovery that follows once it was told.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    kind: Literal["undo"] = "undo"


@dataclass(frozen=True)
class RebootChange:
    """A drained VM is about to reboot: the point of no return.

    `boot` is its boot number in the VM list before the reboot.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    step_deadline: float
    boot: int = 0
    kind: Literal["reboot"] = "reboot"


@dataclass(frozen=True)
class ProofChange:
    """A rebooted VM is back and has to prove that it is healthy."""

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    step_deadline: float
    kind: Literal["proof"] = "proof"


@dataclass(frozen=True)
class RecoveryChange:
    """A VM serves again: after a planned reboot or after a failure.

    `cleaned_at` is set, in epoch seconds, when it was cleaned.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str = ""
    cleaned_at: float | None = None
    kind: Literal["recovery"] = "recovery"


@dataclass(frozen=True)
class OutageChange:
    """A VM failed without a plan."""

    __pydantic_config__ = STRICT

    vm: str
    kind: Literal["outage"] = "outage"


@dataclass(frozen=True)
class MoveChange:
    """A drained VM left its pool for another.

    It serves there after the recovery that follows once it was told.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    pool: str
    kind: Literal["move"] = "move"


@dataclass(frozen=True)
class PauseChange:
    """An operator stopped or resumed all planned drains and moves."""

    __pydantic_config__ = STRICT

    paused: bool
    kind: Literal["pause"] = "pause"


Change = Annotated[
    TicketChange
    | DrainChange
    | UndoChange
    | RebootChange
    | ProofChange
    | RecoveryChange
    | OutageChange
    | MoveChange
    | PauseChange,
    Field(discriminator="kind"),
]


@dataclass(frozen=True)
class ChangeRecord:
    """One committed change: what, by whom and when.

    `id` is unique to the attempt, so that its author recognises it after
    a lost answer. `recorded_at` is wall-clock epoch seconds.
    """

    __pydantic_config__ = STRICT

    revision: int
    id: str
    author: str
    recorded_at: float
    change: Change
