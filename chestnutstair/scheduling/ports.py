"""What the scheduler needs from the platform, as interfaces."""

from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from chestnutstair.coordination.platform import (
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.configuration import (
    FleetConfiguration,
    MaintenanceWave,
)
from chestnutstair.scheduling.specification import JobSpecification
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.failure import Failure

__all__ = [
    "Changes",
    "ConditionFailure",
    "Expectation",
    "HistoryLostFailure",
    "HoldAnswer",
    "PolicyService",
    "RefusalReason",
    "Row",
    "RowKey",
    "RowStore",
    "RowWrite",
    "RunEnd",
    "RunListing",
    "StartOrder",
    "StartRefusedFailure",
    "StoreFailure",
    "SubmissionCodec",
    "Vm",
    "VmControl",
    "WireDecoder",
    "WorkerCallFailure",
    "WorkerControl",
    "WorkerEntry",
    "WrongIncarnationFailure",
]


@dataclass(frozen=True)
class RowKey:
    """Where a row lies; rows of one partition can change together."""

    table: str
    partition: str
    key: str


@dataclass(frozen=True)
class Row:
    """A stored row; `value` is None if the row is gone."""

    key: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True)
class RowWrite:
    """A row to put, or to remove if `value` is None."""

    key: RowKey
    value: bytes | None


@dataclass(frozen=True)
class Expectation:
    """The version that a row must have; 0 if it must not exist."""

    key: RowKey
    version: int


@dataclass(frozen=True)
class ConditionFailure(Failure):
    """A row had another version; `rows` are the current ones."""

    rows: tuple[Row, ...]


@dataclass(frozen=True)
class HistoryLostFailure(Failure):
    """Changes since the given version are no longer known."""


@dataclass(frozen=True)
class Changes:
    """Rows that changed, in order, and the version to go on from."""

    rows: tuple[Row, ...]
    version: int


StoreFailure = UnavailableFailure | UnknownOutcomeFailure | RefusedFailure


class RowStore(Protocol):
    """The platform's transactional rows."""

    def commit(
        self,
        expectations: list[Expectation],
        writes: list[RowWrite],
        deadline: Deadline,
    ) -> Result[int, StoreFailure | ConditionFailure]:
        """Apply all writes or none; return the version."""
        ...

    def read(
        self,
        table: str,
        partition: str,
        deadline: Deadline,
        first: str = "",
        end: str = "",
    ) -> Result[Changes, StoreFailure]:
        """Return the rows with first <= key < end, as of one moment."""
        ...

    def follow(
        self, table: str, after: int, seconds: float, deadline: Deadline
    ) -> Result[Changes, StoreFailure | HistoryLostFailure]:
        """Wait for changes of a table after a version."""
        ...


@dataclass(frozen=True)
class WorkerEntry:
    """What a worker says of itself in the registry.

    `born_ms` is the start of its process; the same `name` with another
    one is another incarnation that knows nothing of what ran before.
    """

    name: str
    born_ms: int
    service: str
    address: str
    zone: str
    draining: bool
    millicores: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...] = ()
    rack: str = ""
    vm: str = ""


@dataclass(frozen=True)
class RunListing:
    """A run that a worker has now.

    `percent` is 100 once a lasting task is at work. `gauge` is the tail
    latency in ms of a task that serves, else the millicores in use.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    gauge: float = 0.0


@dataclass(frozen=True)
class RunEnd:
    """The end of a run, numbered from 1 in each incarnation.

    `how` is done, failed, stopped, lapsed, broken or alone.
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True)
class HoldAnswer:
    """What a worker runs, what has ended there, and its own clock."""

    clock_ms: int
    born_ms: int
    runs: tuple[RunListing, ...]
    ends: tuple[RunEnd, ...]


@dataclass(frozen=True)
class StartOrder:
    """The start of one run of a task; lapses at `deadline_ms`.

    `deadline_ms` is a time on the worker's own clock.
    """

    task: str
    run: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class RefusalReason:
    """Why a worker refused an order."""

    FENCE = "fence"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"


@dataclass(frozen=True)
class StartRefusedFailure(Failure):
    """The worker did nothing, for the reason given."""

    reason: str
    clock_ms: int = 0


@dataclass(frozen=True)
class WrongIncarnationFailure(Failure):
    """Another incarnation answered; the one meant is gone."""


WorkerCallFailure = (
    UnavailableFailure
    | UnknownOutcomeFailure
    | StartRefusedFailure
    | WrongIncarnationFailure
)


class WorkerControl(Protocol):
    """Orders to workers; each call has a time limit of its own."""

    def start(
        self, worker: WorkerEntry, order: StartOrder
    ) -> Result[int, WorkerCallFailure]:
        """Start a run; return the worker's clock in ms."""
        ...

    def stop(
        self, worker: WorkerEntry, task: str, run: int, fence: int
    ) -> Result[int, WorkerCallFailure]:
        """Stop a run, or forbid it if it has not arrived yet."""
        ...

    def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        seen: int,
        deadline_ms: int | None,
        wait_seconds: float,
    ) -> Result[HoldAnswer, WorkerCallFailure]:
        """Extend the lease of all runs and list what runs and ended.

        Ends up to `seen` are forgotten by the worker.
        """
        ...

    def pace(
        self,
        worker: WorkerEntry,
        task: str,
        run: int,
        percent: int,
        fence: int,
    ) -> Result[int, WorkerCallFailure]:
        """Let a run work at that share of its speed."""
        ...


class PolicyService(Protocol):
    """Tells which workers may run a step."""

    def advise(
        self, step: str, workers: list[str]
    ) -> Result[dict[str, str], WorkerCallFailure]:
        """Return the tickets of the workers that may run the step."""
        ...


@dataclass(frozen=True)
class Vm:
    """A VM of the fleet; `state` is up, moving, upkeep or down."""

    name: str
    service: str
    state: str
    zone: str
    worker: str
    labels: tuple[str, ...] = field(default=())
    millicores: int = 0


class VmControl(Protocol):
    """Moves VMs between pools and takes them down for maintenance."""

    def list_vms(self) -> Result[list[Vm], WorkerCallFailure]:
        """Return every VM."""
        ...

    def move(
        self, vm: str, service: str, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """End all that runs on the VM and let it join another pool."""
        ...

    def maintain(
        self, vm: str, wave: int, holder: str, fence: int
    ) -> Result[None, WorkerCallFailure]:
        """End all that runs on the VM and take it down for maintenance."""
        ...


class WireDecoder(Protocol):
    """Reads what the operator and the workers write into the store."""

    def read_configuration(self, value: bytes) -> FleetConfiguration | None:
        """Return the configuration, or None if it can not be read."""
        ...

    def read_wave(self, value: bytes) -> MaintenanceWave | None:
        """Return the wave, or None if it can not be read."""
        ...

    def read_worker(self, name: str, value: bytes) -> WorkerEntry | None:
        """Return the worker, or None if the entry names none to use."""
        ...


class SubmissionCodec(Protocol):
    """Reads a submission as it was stored."""

    def read_job(self, body: bytes) -> Result[JobSpecification, Failure]:
        """Return the job, or why it can not be one."""
        ...
