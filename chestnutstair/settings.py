"""The settings of a daemon, read from one JSON file and validated."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field
from result import Err, Result

from chestnutstair.coordination.claims import ClaimSettings
from chestnutstair.coordination.compaction import SnapshotSettings
from chestnutstair.coordination.drain import DrainSettings
from chestnutstair.coordination.duties import DutySettings
from chestnutstair.coordination.forecast import ForecastSettings
from chestnutstair.coordination.forwarder import ForwarderSettings
from chestnutstair.coordination.maintenance import MaintenanceSettings
from chestnutstair.coordination.membership import MembershipSettings
from chestnutstair.coordination.outage import OutageSettings
from chestnutstair.coordination.pool_reconciler import PlacementSettings
from chestnutstair.coordination.replication import ReplicationSettings
from chestnutstair.coordination.sweeper import SweepSettings
from chestnutstair.protocol.callers import CallSettings
from chestnutstair.protocol.service import OperatorSettings
from chestnutstair.state.codec import (
    STRICT,
    DecodeFailure,
    Mistake,
    decode_json,
)
from chestnutstair.state.fleet import Name
from chestnutstair.transport.links import LinkSettings
from chestnutstair.transport.peer_server import PeerServerSettings
from chestnutstair.transport.platform import PlatformClientSettings
from chestnutstair.transport.server import ServerSettings
from chestnutstair.transport.targets import TargetSettings

__all__ = [
    "DaemonSettings",
    "LogSettings",
    "LoopSettings",
    "StopSettings",
    "read_settings",
]

Address = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$")
]
Url = Annotated[str, Field(pattern=r"^https?://[^/]+$")]


@dataclass(frozen=True)
class LogSettings:
    """Logging.

    - `level`: lowest level of the records that are logged.
    """

    __pydantic_config__ = STRICT

    level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True)
class LoopSettings:
    """Timing of the control loops.

    - `list_age_seconds`: how long the cached VM list is used before it is
      read again. With `directory_seconds` this bounds the delay until a
      daemon sees in the list that a target is leaving.
    - `directory_seconds`: pause between updates of the forwarding of
      requests from the VM list.
    - `drain_seconds`: pause between rounds of the loop that plans and
      carries out drains.
    - `outage_seconds`: the same for the loop that detects outages of VMs.
    - `load_seconds`: the same for the loop that measures the pools' load.
    - `placement_seconds`: the same for the loop that places tasks.
    - `sweep_seconds`: the same for the loop that deletes expired claims.
    - `round_seconds`: deadline of one round of any of these loops.
    """

    __pydantic_config__ = STRICT

    list_age_seconds: float = 1.5
    directory_seconds: float = 1.0
    drain_seconds: float = 1.0
    outage_seconds: float = 1.0
    load_seconds: float = 5.0
    placement_seconds: float = 0.5
    sweep_seconds: float = 10.0
    round_seconds: float = 5.0


@dataclass(frozen=True)
class StopSettings:
    """How a daemon stops.

    - `finish_seconds`: longest wait for the requests in flight.
    """

    __pydantic_config__ = STRICT

    finish_seconds: float = 60.0


@dataclass(frozen=True)
class DaemonSettings:
    """The settings of one daemon. Addresses are `IP:port`.

    - `name`: name of the entry VM.
    - `zone`: availability zone of the entry VM.
    - `callers_address`: where callers send requests.
    - `admin_address`: where operators call, and where health checks and
      metrics are served.
    - `peers_address`: where the other daemons connect.
    - `platform_url`: base URL of the platform.
    """

    __pydantic_config__ = STRICT

    name: Name
    zone: Name
    callers_address: Address
    admin_address: Address
    peers_address: Address
    platform_url: Url
    log: LogSettings = field(default_factory=LogSettings)
    calls: CallSettings = field(default_factory=CallSettings)
    forwarding: ForwarderSettings = field(default_factory=ForwarderSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    sweep: SweepSettings = field(default_factory=SweepSettings)
    targets: TargetSettings = field(default_factory=TargetSettings)
    platform: PlatformClientSettings = field(
        default_factory=PlatformClientSettings
    )
    links: LinkSettings = field(default_factory=LinkSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    spread: ReplicationSettings = field(default_factory=ReplicationSettings)
    duties: DutySettings = field(default_factory=DutySettings)
    snapshots: SnapshotSettings = field(default_factory=SnapshotSettings)
    maintenance: MaintenanceSettings = field(
        default_factory=MaintenanceSettings
    )
    forecast: ForecastSettings = field(default_factory=ForecastSettings)
    drains: DrainSettings = field(default_factory=DrainSettings)
    outages: OutageSettings = field(default_factory=OutageSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    loops: LoopSettings = field(default_factory=LoopSettings)
    admin_server: ServerSettings = field(default_factory=ServerSettings)
    peers_server: PeerServerSettings = field(
        default_factory=PeerServerSettings
    )
    operators: OperatorSettings = field(default_factory=OperatorSettings)
    stop: StopSettings = field(default_factory=StopSettings)


def read_settings(path: Path) -> Result[DaemonSettings, DecodeFailure]:
    """Read and validate the file; a failure lists every mistake in it."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Err(DecodeFailure((Mistake(str(path), str(error.strerror)),)))
    return decode_json(DaemonSettings, text)
