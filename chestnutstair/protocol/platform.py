"""Messages of the platform's HTTP API."""

from dataclasses import dataclass

from chestnutstair.coordination.platform import Condition, Key, Write
from chestnutstair.state.codec import STRICT

__all__ = [
    "PARTY_HEADER",
    "ZONE_HEADER",
    "CommitCall",
    "ReadCall",
    "RefusalAnswer",
    "RenewCall",
    "ScanCall",
    "StartCall",
    "StopCall",
    "ThrottleCall",
    "VmCall",
]

PARTY_HEADER = "X-Party"  # the name of the calling process
ZONE_HEADER = "X-Zone"  # the availability zone of the calling process


@dataclass(frozen=True)
class ReadCall:
    """Reads rows atomically: all of them as of one moment."""

    __pydantic_config__ = STRICT

    keys: tuple[Key, ...]


@dataclass(frozen=True)
class ScanCall:
    """Reads at most `limit` rows with start <= key < end."""

    __pydantic_config__ = STRICT

    table: str
    start: str
    end: str
    limit: int


@dataclass(frozen=True)
class CommitCall:
    """Commits all writes if all conditions hold, and none otherwise."""

    __pydantic_config__ = STRICT

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True)
class VmCall:
    """Orders one operation on a VM; `token` is the fencing token."""

    __pydantic_config__ = STRICT

    operation: str
    token: int


@dataclass(frozen=True)
class StartCall:
    """Orders a worker to start a task under a lease."""

    __pydantic_config__ = STRICT

    task: str
    token: int
    lease_seconds: float
    payload: str


@dataclass(frozen=True)
class RenewCall:
    """Orders a worker to extend leases, given as pairs of task and token."""

    __pydantic_config__ = STRICT

    tokens: tuple[tuple[str, int], ...]
    lease_seconds: float


@dataclass(frozen=True)
class StopCall:
    """Orders a worker to stop a task."""

    __pydantic_config__ = STRICT

    task: str
    token: int
    checkpoint: bool


@dataclass(frozen=True)
class ThrottleCall:
    """Orders a worker to limit a task to a share of its processor time."""

    __pydantic_config__ = STRICT

    task: str
    token: int
    share: float


@dataclass(frozen=True)
class RefusalAnswer:
    """The platform's answer to a call that it refused."""

    __pydantic_config__ = STRICT

    reason: str
    rows: tuple[Key, ...] = ()  # those whose condition did not hold
