"""What clients may make a process hold, against the limits of its VM."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from pydantic import ConfigDict
from result import Err, Ok, Result

from chestnutstair.state.failure import Failure
from chestnutstair.transport.server import ServerSettings

__all__ = [
    "BudgetFailure",
    "ClientUse",
    "ServerLimits",
    "VmLimits",
    "check_budget",
    "fit_servers",
    "measure_use",
]

MEGABYTE = 1_000_000
CONNECTION_BYTES = 2300  # of an idle connection, beside its buffers
# The shares of their default limits that servers may have on a smaller VM.
PERCENTAGES = range(100, 0, -10)

ServerLimits = Mapping[str, ServerSettings]  # by name of the server


@dataclass(frozen=True)
class VmLimits:
    """Limits of the VM for the process. A limit of 0 is not known.

    - `memory_mb`: memory, in units of 1,000,000 bytes.
    - `descriptors`: open descriptors.
    - `reserved_memory_mb`: what the process needs for its own work.
    - `reserved_descriptors`: descriptors for the store, for workers and other
      nodes, and for files.

    The rest of each is what the servers may hold for their clients.
    """

    __pydantic_config__ = ConfigDict(extra="ignore", allow_inf_nan=False)

    memory_mb: float = 0.0
    descriptors: int = 0
    reserved_memory_mb: float = 83.0
    reserved_descriptors: int = 1200


@dataclass(frozen=True)
class ClientUse:
    """What clients may hold at most."""

    memory_bytes: int
    descriptors: int


@dataclass(frozen=True)
class BudgetFailure(Failure):
    """The servers may hold more than the VM has beside the reserve.

    `figure` names the limit: `memory_mb` or `descriptors`. `needed` and
    `reserved` together exceed `available`.
    """

    figure: str
    needed: float
    reserved: float
    available: float

    def __str__(self) -> str:
        """Return the sum that is too large."""
        return (
            f"clients may hold {self.needed:.0f} and {self.reserved:.0f} are "
            f"reserved, together more than {self.available:.0f}"
        )


def measure_use(servers: ServerLimits) -> ClientUse:
    """Return what the clients of all servers together may hold."""
    return ClientUse(
        sum(map(_measure_memory, servers.values())),
        sum(server.connections for server in servers.values()),
    )


def _measure_memory(server: ServerSettings) -> int:
    """Return the bytes that clients of one server may hold.

    Connections in the backlog hold only what the system has received.
    """
    unbuffered = server.body_bytes + server.framing_bytes + server.header_bytes
    return (
        server.connections * CONNECTION_BYTES
        + (server.connections + server.backlog) * server.receive_bytes
        + server.held_bytes
        + server.threads * server.buffer_bytes
        + server.readers * unbuffered
    )


def check_budget(
    servers: ServerLimits, vm: VmLimits
) -> Result[None, BudgetFailure]:
    """Compare what clients may hold with what the VM has for them."""
    use = measure_use(servers)
    memory_mb = use.memory_bytes / MEGABYTE
    for figure, needed, reserved, available in (
        ("memory_mb", memory_mb, vm.reserved_memory_mb, vm.memory_mb),
        (
            "descriptors",
            use.descriptors,
            vm.reserved_descriptors,
            vm.descriptors,
        ),
    ):
        if available and needed + reserved > available:
            return Err(BudgetFailure(figure, needed, reserved, available))
    return Ok(None)


def fit_servers(
    servers: ServerLimits, vm: VmLimits
) -> Result[dict[str, ServerSettings], BudgetFailure]:
    """Reduce default limits to what the VM has for clients.

    Fails if a tenth of them is still too much.
    """
    checked: Result[None, BudgetFailure] = Ok(None)
    for percentage in PERCENTAGES:
        reduced = {
            name: _reduce(server, percentage)
            for name, server in servers.items()
        }
        checked = check_budget(reduced, vm)
        if checked.is_ok():
            return Ok(reduced)
    return Err(checked.unwrap_err())


def _reduce(server: ServerSettings, percentage: int) -> ServerSettings:
    """Return the server with a share of its connections and held bytes."""
    return replace(
        server,
        connections=server.connections * percentage // 100,
        backlog=server.backlog * percentage // 100,
        held_bytes=server.held_bytes * percentage // 100,
    )
