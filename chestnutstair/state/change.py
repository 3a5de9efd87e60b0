"""Records of the change log, with one class for each kind of change."""

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

    Both deadlines are wall-clock epoch seconds.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    step_deadline: float  # for the complete drain
    destination: str = ""  # the pool that the VM moves to; empty for cleaning
    confirm_deadline: float = 0.0  # for the confirmations of all daemons
    kind: Literal["drain"] = "drain"


@dataclass(frozen=True)
class UndoChange:
    """A drain was cancelled before its reboot or move.

    The VM is notified next; the `RecoveryChange` that follows makes it serve
    again.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    kind: Literal["undo"] = "undo"


@dataclass(frozen=True)
class RebootChange:
    """A drained VM is about to reboot; the drain cannot be cancelled any more.

    `step_deadline` is wall-clock epoch seconds.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    step_deadline: float
    boot: int = 0  # boot number in the VM list before the reboot
    kind: Literal["reboot"] = "reboot"


@dataclass(frozen=True)
class ProofChange:
    """A rebooted VM is back and must pass its health checks before it serves.

    `step_deadline` is wall-clock epoch seconds.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    step_deadline: float
    kind: Literal["proof"] = "proof"


@dataclass(frozen=True)
class RecoveryChange:
    """A VM serves again after a planned operation or a failure."""

    __pydantic_config__ = STRICT

    vm: str
    operation: str = ""
    cleaned_at: float | None = None  # epoch seconds, if the VM was cleaned
    kind: Literal["recovery"] = "recovery"


@dataclass(frozen=True)
class OutageChange:
    """A VM failed unexpectedly."""

    __pydantic_config__ = STRICT

    vm: str
    kind: Literal["outage"] = "outage"


@dataclass(frozen=True)
class MoveChange:
    """A drained VM moved to another pool.

    The VM is notified next; the `RecoveryChange` that follows makes it serve
    there.
    """

    __pydantic_config__ = STRICT

    vm: str
    operation: str
    pool: str
    kind: Literal["move"] = "move"


@dataclass(frozen=True)
class PauseChange:
    """An operator paused or resumed all planned drains and moves."""

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
    """One committed change: what, by whom and when."""

    __pydantic_config__ = STRICT

    revision: int
    # Unique to each attempt to append, so that the author recognises its
    # own record when the answer to the write was lost.
    id: str
    author: str
    recorded_at: float  # wall-clock epoch seconds
    change: Change
