"""What operators declare: zones, teams, pools, VMs and jobs."""

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
    """What the VMs of a pool do."""

    RUNNERS = "runners"  # answer callers' requests in slots
    WORKERS = "workers"  # run the tasks of jobs


@dataclass(frozen=True)
class UrgencyClass:
    """A class of work; a lower rank is more urgent.

    `floor` is the share (0 to 1) of the pool's slots that other classes
    can not take from it.
    """

    __pydantic_config__ = STRICT

    name: Name
    rank: Count
    floor: Annotated[float, Field(ge=0, le=1)] = 0.0


@dataclass(frozen=True)
class Zone:
    """An availability zone and the region it lies in."""

    __pydantic_config__ = STRICT

    name: Name
    region: Name


@dataclass(frozen=True)
class Team:
    """A team and the most resources that its tasks may hold at once."""

    __pydantic_config__ = STRICT

    name: Name
    quota: Resources


@dataclass(frozen=True)
class Pool:
    """A set of VMs that serve one service or run tasks.

    `availability_budget` is the number of VMs that may be unavailable at
    once, planned and unplanned together.
    """

    __pydantic_config__ = STRICT

    name: Name
    kind: PoolKind
    service: Name
    availability_budget: Count
    slots_per_vm: PositiveCount = 8
    connections_per_vm: PositiveCount = 64
    spare: bool = False  # overflow of the other pools of its kind
    maintenance_period_seconds: Seconds = WEEK_SECONDS
    classes: tuple[UrgencyClass, ...] = (
        UrgencyClass("urgent", 0, 0.2),
        UrgencyClass("normal", 1, 0.1),
        UrgencyClass("patient", 2, 0.0),
    )


@dataclass(frozen=True)
class Vm:
    """A target: a runner or a worker.

    `address` is `IP:port`, where runners take requests.
    """

    __pydantic_config__ = STRICT

    name: Name
    pool: Name
    zone: Name
    rack: Name
    address: Annotated[str, Field(pattern=r"^[0-9a-f.:\[\]]+:\d{1,5}$")]
    resources: Resources = field(default_factory=Resources)


@dataclass(frozen=True)
class Job:
    """A job of `task_count` equal tasks, each run once to its end.

    A task that failed, or may have ended unseen on a worker out of reach,
    starts again only if the job is `restartable`.
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
