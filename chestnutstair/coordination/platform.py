"""Interfaces of the platform's services, which transports implement."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from result import Result

from chestnutstair.state.deadline import Deadline
from chestnutstair.state.failure import Failure
from chestnutstair.state.resource import Resources

__all__ = [
    "ABSENT",
    "Condition",
    "ConflictFailure",
    "Key",
    "ListedVm",
    "ObjectStore",
    "PlatformFailure",
    "RefusedFailure",
    "Row",
    "Table",
    "TaskPhase",
    "TaskReport",
    "UnavailableFailure",
    "UnknownOutcomeFailure",
    "VmControl",
    "VmDirectory",
    "WorkerControl",
    "Write",
]

ABSENT = 0  # the version of a row that does not exist


@dataclass(frozen=True, order=True)
class Key:
    """The name of a row: its table, and its key within the table."""

    table: str
    key: str


@dataclass(frozen=True)
class Row:
    """A row of plain JSON values; every write raises its version."""

    key: Key
    value: Any
    version: int


@dataclass(frozen=True)
class Condition:
    """Requires that a row has the version; with `ABSENT`, that none exists."""

    key: Key
    version: int


@dataclass(frozen=True)
class Write:
    """Sets a row to a value, or deletes it when the value is None."""

    key: Key
    value: Any


@dataclass(frozen=True)
class ConflictFailure(Failure):
    """A condition did not hold; nothing was written."""

    rows: tuple[Key, ...]


@dataclass(frozen=True)
class UnavailableFailure(Failure):
    """The platform did not accept the operation; it had no effect."""

    reason: str


@dataclass(frozen=True)
class UnknownOutcomeFailure(Failure):
    """No answer came; the operation may have taken effect."""

    reason: str


@dataclass(frozen=True)
class RefusedFailure(Failure):
    """The platform permanently refused the operation; it had no effect."""

    reason: str


PlatformFailure = UnavailableFailure | UnknownOutcomeFailure | RefusedFailure


class Table(ABC):
    """The transactional table service."""

    @abstractmethod
    def read(
        self, keys: Sequence[Key], deadline: Deadline
    ) -> Result[tuple[Row | None, ...], PlatformFailure]:
        """Return the rows as of one moment, None for absent ones."""

    @abstractmethod
    def scan(
        self, table: str, start: str, end: str, limit: int, deadline: Deadline
    ) -> Result[tuple[Row, ...], PlatformFailure]:
        """Return rows with start <= key < end in order, at most limit."""

    @abstractmethod
    def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Result[None, ConflictFailure | PlatformFailure]:
        """Apply all writes atomically if all conditions hold, else none."""


class ObjectStore(ABC):
    """The object store, for large values."""

    @abstractmethod
    def put(
        self, name: str, body: bytes, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Store the object, replacing any of that name."""

    @abstractmethod
    def get(
        self, name: str, deadline: Deadline
    ) -> Result[bytes | None, PlatformFailure]:
        """Return the object, or None if there is none of that name."""


@dataclass(frozen=True)
class ListedVm:
    """A VM as listed by the platform; the list lags.

    `boot` rises with each reboot; `leaving` means that the VM will soon be
    removed.
    """

    name: str
    zone: str
    live: bool
    leaving: bool
    boot: int


class VmDirectory(ABC):
    """The platform's list of VMs, which lags behind their actual state."""

    @abstractmethod
    def list_vms(
        self, deadline: Deadline
    ) -> Result[tuple[ListedVm, ...], PlatformFailure]:
        """Return every VM that the platform knows."""


class VmControl(ABC):
    """Operations on single VMs, idempotent by operation id."""

    @abstractmethod
    def announce_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Announce to the VM that it is being drained."""

    @abstractmethod
    def cancel_drain(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Announce to the VM that its drain was cancelled."""

    @abstractmethod
    def count_running(
        self, vm: str, deadline: Deadline
    ) -> Result[int, PlatformFailure]:
        """Return the number of requests and tasks running on the VM."""

    @abstractmethod
    def reboot(
        self, vm: str, operation: str, token: int, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Reboot the VM once per operation; lower tokens are refused."""


class TaskPhase(StrEnum):
    """The state of a task on its worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # stopped because its lease was not renewed


@dataclass(frozen=True)
class TaskReport:
    """A worker's report on one task; `used` lags behind the actual use."""

    task: str
    worker: str
    token: int
    phase: TaskPhase
    used: Resources
    detail: str = ""


class WorkerControl(ABC):
    """Tasks on workers, each under a lease with a fencing token."""

    @abstractmethod
    def start_task(
        self,
        worker: str,
        task: str,
        token: int,
        lease_seconds: float,
        payload: str,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Start the task once per token; lower tokens are refused.

        The worker ends the task when the lease expires on its clock.
        """

    @abstractmethod
    def renew_tasks(
        self,
        worker: str,
        tokens: Sequence[tuple[str, int]],
        lease_seconds: float,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Extend the leases of the tasks that still have these tokens."""

    @abstractmethod
    def stop_task(
        self,
        worker: str,
        task: str,
        token: int,
        checkpoint: bool,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """End the task, saving a checkpoint for its next start if asked."""

    @abstractmethod
    def throttle_task(
        self,
        worker: str,
        task: str,
        token: int,
        share: float,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Limit the task to a share (0 to 1) of its processor time."""

    @abstractmethod
    def report_tasks(
        self, worker: str, deadline: Deadline
    ) -> Result[tuple[TaskReport, ...], PlatformFailure]:
        """Return the running and recently ended tasks of the worker."""
