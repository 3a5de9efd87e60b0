"""The settings of a scheduler node, read from one JSON file."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from result import Err, Result

from chestnutstair.state.codec import (
    DecodeFailure,
    Mistake,
    decode_json,
)

__all__ = ["FleetSettings", "PoolTimes", "Processor", "read_fleet_settings"]

# Fields that a later platform adds are left alone.
OPEN = ConfigDict(extra="ignore", allow_inf_nan=False)
Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


@dataclass(frozen=True)
class PoolTimes:
    """How long the platform takes for what it does to VMs.

    `move_seconds` and `maintenance_seconds` are how long a VM is away.
    All nodes together may give `orders_per_second`.
    `turn_seconds` must lie between the orders of two leaders for one VM.
    """

    __pydantic_config__ = OPEN

    move_seconds: float = 1.5
    maintenance_seconds: float = 2.0
    orders_per_second: float = 50.0
    turn_seconds: float = 3.0


@dataclass(frozen=True)
class Processor:
    """The processor of a VM: `share` of its time, on `cores` cores."""

    __pydantic_config__ = OPEN

    share: float = 1.0
    cores: float = 1.0

    @property
    def available_cores(self) -> float:
        """Return the work of the VM, as a multiple of one core's."""
        return self.share * self.cores


@dataclass(frozen=True)
class FleetSettings:
    """Everything that a scheduler node is told.

    Addresses are `IP:port`: `callers_address` takes callers' requests,
    `ready_address` the balancer's health checks, `nodes_address` the other
    nodes' calls and reads of metrics. `store_address`, `vms_address` and
    `policy_address` are the platform's; the last may be empty.
    `longest_lease_seconds` is the most that workers grant.
    `grace_seconds` is how long a stop may take.
    `processor` is what this VM has, by which duties go where there is room.
    """

    __pydantic_config__ = OPEN

    name: str
    zone: str
    callers_address: Address
    ready_address: Address
    nodes_address: Address
    store_address: Address
    vms_address: Address
    policy_address: str = ""
    longest_lease_seconds: float = 6.0
    grace_seconds: float = 6.0
    pools: PoolTimes = field(default_factory=PoolTimes)
    processor: Processor = field(default_factory=Processor)
    log_level: Literal["debug", "info", "warning", "error"] = "info"


def read_fleet_settings(path: Path) -> Result[FleetSettings, DecodeFailure]:
    """Read and check the file; a failure lists every mistake in it."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Err(DecodeFailure((Mistake(str(path), str(error.strerror)),)))
    return decode_json(FleetSettings, text)
