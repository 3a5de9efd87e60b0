"""The answers of the operators' API, shared by daemon and client."""

from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import Field

from chestnutstair.coordination.messenger import Member
from chestnutstair.state.change import ChangeRecord
from chestnutstair.state.codec import STRICT
from chestnutstair.state.fleet import Job, Pool, Vm
from chestnutstair.state.view import VmStatus

__all__ = [
    "AuditPage",
    "Difference",
    "DrainReport",
    "ErrorAnswer",
    "JobReport",
    "LaggingVm",
    "PauseReceipt",
    "PauseRequest",
    "PoolReport",
    "RefusalReport",
    "StatusReport",
    "TicketReceipt",
    "TicketReport",
    "VmReport",
]


@dataclass(frozen=True)
class ErrorAnswer:
    """Why a call was refused.

    `error` is the class of the failure, such as `TicketNumberFailure`;
    `detail` holds its fields; `hint` says what to do next.
    """

    error: str
    detail: dict[str, Any]
    hint: str = ""


@dataclass(frozen=True)
class TicketReceipt:
    """An accepted ticket; `repeated` if it had been accepted before."""

    ticket: int
    revision: int
    repeated: bool


@dataclass(frozen=True)
class Difference:
    """One thing that a ticket would add, change or remove."""

    path: str  # such as `vms.quotes-3`
    before: Any
    after: Any


@dataclass(frozen=True)
class LaggingVm:
    """An entry VM that has not confirmed a ticket, and why.

    `since` is wall-clock epoch seconds; `reason` is `behind`,
    `cut off`, `starting` or `stopped`.
    """

    vm: str
    zone: str
    revision: int
    reason: str
    since: float


@dataclass(frozen=True)
class TicketReport:
    """A ticket, and whether every live entry VM has it in force.

    `pending_moves` are VMs not yet in the pool that the ticket declares.
    """

    number: int
    author: str
    reason: str
    revision: int
    recorded_at: float
    in_force: bool
    confirmed: tuple[str, ...]
    lagging: tuple[LaggingVm, ...]
    pending_moves: tuple[str, ...]


@dataclass(frozen=True)
class PoolReport:
    """A pool with its availability budget and what it uses of it."""

    pool: Pool
    vm_count: int
    unavailable: int
    budget_left: int


@dataclass(frozen=True)
class VmReport:
    """A VM as declared and as it is."""

    vm: Vm
    status: VmStatus


@dataclass(frozen=True)
class DrainReport:
    """A VM that is draining, rebooting or proving itself."""

    vm: str
    status: VmStatus


@dataclass(frozen=True)
class JobReport:
    """A job, and how many of its tasks stand in each phase.

    `blocked` says why its tasks can not be placed, if they can not.
    """

    job: Job
    tasks: dict[str, int]
    blocked: str = ""


@dataclass(frozen=True)
class AuditPage:
    """A page of the audit trail; pass `next_after` for the next one."""

    records: tuple[ChangeRecord, ...]
    next_after: int


@dataclass(frozen=True)
class RefusalReport:
    """A ticket that was refused; `refused_at` is epoch seconds."""

    ticket: int
    author: str
    failure: str
    detail: str
    refused_at: float


@dataclass(frozen=True)
class StatusReport:
    """One daemon's own state and the daemons it believes to live."""

    vm: str
    zone: str
    revision: int
    ticket: int
    paused: bool
    ready: bool
    members: tuple[Member, ...]


@dataclass(frozen=True)
class PauseRequest:
    """Who stops or resumes all planned drains and moves."""

    __pydantic_config__ = STRICT

    author: Annotated[str, Field(min_length=1, max_length=200)]


@dataclass(frozen=True)
class PauseReceipt:
    """The revision that stopped or resumed planned drains and moves."""

    revision: int
    paused: bool
