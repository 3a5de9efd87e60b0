"""Objects that operators declare: zones, teams, pools, VMs and jobs."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

from pydantic import Field

from chestnutstair.state.codec import STRICT
from chestnutstair.state.resource import Resources

__all__ = [
    "Job",
    "Pool",
    "PoolKind",
    "Team",
    "UrgencyClass",
    "Vm",
    "Zone",
]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Count = Annotated[int, Field(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, Field(ge=1, le=1_000_000)]
Seconds = Annotated[float, Field(gt=0)]
WEEK_SECONDS = 7 * 24 * 3600.0


class PoolKind(StrEnum):
    """The work that the VMs of a pool do."""

    RUNNERS = "runners"  # serve callers' requests, one in each slot
    WORKERS = "workers"  # run the tasks of jobs


@dataclass(frozen=True)
class UrgencyClass:
    """An urgency class of requests or jobs."""

    __pydantic_config__ = STRICT

    name: Name
    rank: Count  # a lower rank is more urgent
    # Share of the pool's slots (0 to 1) that other classes cannot use.
    floor: Annotated[float, Field(ge=0, le=1)] = 0.0


@dataclass(frozen=True)
class Zone:
    """An availability zone and its region."""

    __pydantic_config__ = STRICT

    name: Name
    region: Name


@dataclass(frozen=True)
class Team:
    """A team; its quota limits the resources that its tasks use at once."""

    __pydantic_config__ = STRICT

    name: Name
    quota: Resources


@dataclass(frozen=True)
class Pool:
    """A set of VMs that serve one service or run tasks."""

    __pydantic_config__ = STRICT

    name: Name
    kind: PoolKind
    service: Name
    # Number of VMs that may be unavailable at once, whether planned or not.
    availability_budget: Count
    slots_per_vm: PositiveCount = 8
    connections_per_vm: PositiveCount = 64
    spare: bool = False  # accepts the overflow of other pools of its kind
    maintenance_period_seconds: Seconds = WEEK_SECONDS
    classes: tuple[UrgencyClass, ...] = (
        UrgencyClass("urgent", 0, 0.2),
        UrgencyClass("normal", 1, 0.1),
        UrgencyClass("patient", 2, 0.0),
    )


@dataclass(frozen=True)
class Vm:
    """A target: a runner or a worker."""

    __pydantic_config__ = STRICT

    name: Name
    pool: Name
    zone: Name
    rack: Name
    # `IP:port`, where a runner accepts requests.
    address: Annotated[str, Field(pattern=r"^[0-9a-f.:\[\]]+:\d{1,5}$")]
    resources: Resources = field(default_factory=Resources)


@dataclass(frozen=True)
class Job:
    """A job of `task_count` equal tasks, each run to completion once.

    A task that failed, or that may have ended on an unreachable worker
    without a report, starts again only if the job is `restartable`.
    """

    __pydantic_config__ = STRICT

    name: Name
    team: Name
    pool: Name
    urgency: Name
    resources: Resources  # declared, of one task
    run_seconds: Seconds  # declared, of one task
    task_count: PositiveCount = 1
    cancelled: bool = False
    restartable: bool = True
    payload: str = ""
