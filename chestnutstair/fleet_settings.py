"""The settings of a scheduler node, read from one JSON file."""

from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Annotated, Any, Literal, cast

from pydantic import AliasChoices, BeforeValidator, ConfigDict, Field
from result import Err, Ok, Result

from chestnutstair.platform import (
    DESCRIPTORS_NAME,
    MAX_BODY_BYTES,
    MEMORY_NAME,
)
from chestnutstair.state.codec import (
    DecodeFailure,
    Mistake,
    decode_json,
)
from chestnutstair.transport.client_budget import (
    BudgetFailure,
    VmLimits,
    check_budget,
    fit_servers,
)
from chestnutstair.transport.server import ServerSettings

__all__ = [
    "CallersServer",
    "EntryVm",
    "FleetSettings",
    "IntakeRates",
    "NodesServer",
    "PoolTimes",
    "Processor",
    "ReadyServer",
    "Servers",
    "read_fleet_settings",
]

# Unknown fields are ignored, as later versions of the platform may add some.
OPEN = ConfigDict(extra="ignore", allow_inf_nan=False)
VmCount = Annotated[int, Field(gt=0)]
Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


@dataclass(frozen=True)
class PoolTimes:
    """Times and rates of the platform's operations on VMs.

    - `move_seconds`: how long a VM is unavailable during a move.
    - `maintenance_seconds`: how long a VM is unavailable during
      maintenance.
    - `orders_per_second`: rate limit on orders, for all nodes together.
    - `turn_seconds`: minimum time between the orders of two leaders for
      the same VM.
    - `follow_turns`: whether demand goes round the queues in turns, so that
      VMs are moved straight from pool to pool and ahead of the next turn.
    """

    __pydantic_config__ = OPEN

    move_seconds: float = 1.5
    maintenance_seconds: float = 2.0
    orders_per_second: float = 50.0
    turn_seconds: float = 3.0
    follow_turns: bool = False


@dataclass(frozen=True)
class Processor:
    """The processor of a VM.

    - `share`: share of the cores' time that the VM may use.
    - `cores`: number of cores.
    """

    __pydantic_config__ = OPEN

    share: float = 1.0
    cores: float = 1.0

    @property
    def available_cores(self) -> float:
        """Return the processor capacity of the VM, in cores."""
        return self.share * self.cores


# A load reads all partitions in parallel, with one connection for each of
# them; a node has 16 connections to the store.
MAX_INTAKE_PARTITIONS = 16


@dataclass(frozen=True)
class IntakeRates:
    """Write rates of the store, which give the number of intake partitions.

    - `store_writes_per_second`: of the store, for all nodes together; 0 if
      it is not known.
    - `partition_writes_per_second`: of one partition; 0 if it is not known.
    """

    __pydantic_config__ = OPEN

    store_writes_per_second: float = 0.0
    partition_writes_per_second: float = 0.0

    def count_partitions(self, shards: int = 1) -> int:
        """Return the number of intake partitions of a shard, at least 1."""
        if self.partition_writes_per_second <= 0:
            return 1
        partitions = (
            self.store_writes_per_second / self.partition_writes_per_second
        )
        return max(1, min(int(partitions / shards), MAX_INTAKE_PARTITIONS))


@dataclass(frozen=True)
class CallersServer(ServerSettings):
    """Limits of the server for callers."""

    __pydantic_config__ = OPEN

    threads: int = 24  # a request occupies one for about 0.02 s
    backlog: int = 512
    connections: int = 1536
    body_bytes: int = MAX_BODY_BYTES
    buffer_bytes: int = 80 * 1024
    receive_bytes: int = 8 * 1024
    idle_seconds: int = 15
    stop_seconds: int = 2


@dataclass(frozen=True)
class ReadyServer(ServerSettings):
    """Limits of the server for health checks of the load balancer."""

    __pydantic_config__ = OPEN

    threads: int = 2
    backlog: int = 512
    connections: int = 256
    waiting_requests: int = 256
    body_bytes: int = 4 * 1024
    buffer_bytes: int = 64 * 1024
    held_bytes: int = 1024 * 1024
    receive_bytes: int = 4 * 1024
    idle_seconds: int = 15
    stop_seconds: int = 2


@dataclass(frozen=True)
class NodesServer(ServerSettings):
    """Limits of the server for other nodes, which also serves metrics."""

    __pydantic_config__ = OPEN

    threads: int = 12
    backlog: int = 512
    connections: int = 1024
    body_bytes: int = 128 * 1024
    buffer_bytes: int = 256 * 1024
    receive_bytes: int = 8 * 1024
    idle_seconds: int = 15
    stop_seconds: int = 2


@dataclass(frozen=True)
class Servers:
    """The servers of a node."""

    __pydantic_config__ = OPEN

    callers: CallersServer = field(default_factory=CallersServer)
    ready: ReadyServer = field(default_factory=ReadyServer)
    nodes: NodesServer = field(default_factory=NodesServer)


def _read_limit(value: Any) -> Any:
    """Return 0 for a limit that the platform leaves out by null."""
    return 0 if value is None else value


@dataclass(frozen=True)
class EntryVm(VmLimits):
    """Limits of the VM for the process, also by the platform's names.

    A limit of 0 is not known.

    - `memory_mb`: memory, in units of 1,000,000 bytes.
    - `descriptors`: open descriptors.
    - `reserved_memory_mb`: what the process needs for its own work.
    - `reserved_descriptors`: descriptors for the store, for workers and other
      nodes, and for files.

    The rest of each is what the servers may hold for their clients.
    """

    __pydantic_config__ = OPEN

    memory_mb: Annotated[
        float,
        BeforeValidator(_read_limit),
        Field(validation_alias=AliasChoices("memory_mb", MEMORY_NAME)),
    ] = 0.0
    descriptors: Annotated[
        int,
        BeforeValidator(_read_limit),
        Field(validation_alias=AliasChoices("descriptors", DESCRIPTORS_NAME)),
    ] = 0


@dataclass(frozen=True)
class FleetSettings:
    """The settings of one scheduler node. Addresses are `IP:port`.

    - `name`: name of the node.
    - `zone`: availability zone of the node.
    - `callers_address`: where callers send requests.
    - `ready_address`: where the load balancer sends health checks.
    - `nodes_address`: where other nodes call, and where metrics are read.
    - `store_address`: the platform's store.
    - `vms_address`: the platform's API for operations on VMs.
    - `policy_address`: the platform's policy service, which says which
      workers may run a step; may be empty.
    - `longest_lease_seconds`: longest lease that workers grant.
    - `longest_stop_seconds`: longest time in which a worker stops a run.
    - `grace_seconds`: how long a stop may take.
    - `vms_per_shard`: most VMs of one shard when the number of shards is
      decided, at the first start of the deployment.
    - `contracts`: the parts of the platform's rules that are in force, by the
      platform's names. Where callers compete for too little room, VMs follow
      the turns of the queues as with `follow_turns`.
    - `lookahead`: whether room that becomes free soon is reserved for tasks
      that do not fit yet.
    - `vm`: limits of the entry VM. What `servers` allows clients to hold must
      fit; the default limits are reduced for a smaller VM.
    - `log_level`: lowest level of the records that are logged.

    The capacity of `processor` determines how soon the node takes over as
    leader: with less capacity than a leader needs, it first waits for other
    nodes to take over.
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
    longest_stop_seconds: float = 1.0
    grace_seconds: float = 6.0
    vms_per_shard: VmCount = 300
    pools: PoolTimes = field(default_factory=PoolTimes)
    processor: Processor = field(default_factory=Processor)
    intake: IntakeRates = field(default_factory=IntakeRates)
    contracts: tuple[str, ...] = ()
    lookahead: bool = False
    servers: Servers = field(default_factory=Servers)
    vm: EntryVm = field(default_factory=EntryVm)
    log_level: Literal["debug", "info", "warning", "error"] = "info"


def read_fleet_settings(path: Path) -> Result[FleetSettings, DecodeFailure]:
    """Read and validate the file; a failure lists every mistake in it."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Err(DecodeFailure((Mistake(str(path), str(error.strerror)),)))
    return decode_json(FleetSettings, text).and_then(_fit_servers)


def _fit_servers(
    settings: FleetSettings,
) -> Result[FleetSettings, DecodeFailure]:
    """Check that the VM has what clients may hold; reduce default limits."""
    servers: dict[str, ServerSettings] = {
        "callers": settings.servers.callers,
        "ready": settings.servers.ready,
        "nodes": settings.servers.nodes,
    }
    fitted: Result[dict[str, ServerSettings], BudgetFailure]
    if settings.servers == Servers():
        fitted = fit_servers(servers, settings.vm)
    else:
        fitted = check_budget(servers, settings.vm).map(lambda _: servers)
    match fitted:
        case Ok(limits):
            reduced = Servers(**cast("dict[str, Any]", limits))
            return Ok(replace(settings, servers=reduced))
        case Err(failure):
            mistake = Mistake(f"vm.{failure.figure}", str(failure))
            return Err(DecodeFailure((mistake,)))
