"""Messages of the operators' API, shared by daemon and client."""

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
    """The reason why a call was refused."""

    error: str  # class name of the failure, such as `TicketNumberFailure`
    detail: dict[str, Any]  # fields of the failure
    hint: str = ""  # what the operator can do next


@dataclass(frozen=True)
class TicketReceipt:
    """The acknowledgement of an accepted ticket."""

    ticket: int
    revision: int
    repeated: bool  # the same ticket had been accepted before


@dataclass(frozen=True)
class Difference:
    """One object that a ticket would add, change or remove."""

    path: str  # such as `vms.quotes-3`
    before: Any  # None if added
    after: Any  # None if removed


@dataclass(frozen=True)
class LaggingVm:
    """An entry VM that has not confirmed a ticket."""

    vm: str
    zone: str
    revision: int
    reason: str  # `behind`, `cut off`, `starting` or `stopped`
    since: float  # wall-clock epoch seconds


@dataclass(frozen=True)
class TicketReport:
    """A ticket, and whether every live entry VM has it in force."""

    number: int
    author: str
    reason: str
    revision: int
    recorded_at: float  # wall-clock epoch seconds
    in_force: bool
    confirmed: tuple[str, ...]  # names of entry VMs
    lagging: tuple[LaggingVm, ...]
    # Names of VMs that are not yet in the pool that the ticket declares.
    pending_moves: tuple[str, ...]


@dataclass(frozen=True)
class PoolReport:
    """A pool, with how much of its availability budget is in use."""

    pool: Pool
    vm_count: int
    unavailable: int
    budget_left: int


@dataclass(frozen=True)
class VmReport:
    """A VM as declared, and its present status."""

    vm: Vm
    status: VmStatus


@dataclass(frozen=True)
class DrainReport:
    """A VM that is being drained, cleaned or moved."""

    vm: str
    status: VmStatus


@dataclass(frozen=True)
class JobReport:
    """A job, and the number of its tasks in each stage."""

    job: Job
    tasks: dict[str, int]  # number of tasks by stage
    blocked: str = ""  # why its tasks cannot be placed; empty if they can


@dataclass(frozen=True)
class AuditPage:
    """A page of the audit trail."""

    records: tuple[ChangeRecord, ...]
    next_after: int  # the `after` that requests the next page


@dataclass(frozen=True)
class RefusalReport:
    """A ticket that was refused."""

    ticket: int
    author: str
    failure: str
    detail: str
    refused_at: float  # wall-clock epoch seconds


@dataclass(frozen=True)
class StatusReport:
    """One daemon's state and the daemons it considers alive."""

    vm: str
    zone: str
    revision: int
    ticket: int
    paused: bool
    ready: bool
    members: tuple[Member, ...]


@dataclass(frozen=True)
class PauseRequest:
    """A request to pause or resume all planned drains and moves."""

    __pydantic_config__ = STRICT

    author: Annotated[str, Field(min_length=1, max_length=200)]


@dataclass(frozen=True)
class PauseReceipt:
    """The acknowledgement of a pause or resume, with its revision."""

    revision: int
    paused: bool
