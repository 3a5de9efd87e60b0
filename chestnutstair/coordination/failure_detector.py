"""When each daemon was last heard of, and what follows from that."""

from dataclasses import dataclass

from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock

__all__ = ["FailureDetector", "MembershipSettings"]

SUSPECT_HEARTBEATS = 2.0  # missed by a peer that sent some before


@dataclass(frozen=True)
class MembershipSettings:
    """How daemons find each other and judge that one lives.

    `seeds` are `IP:port` of peer servers to begin with.
    """

    __pydantic_config__ = STRICT

    seeds: tuple[str, ...] = ()
    heartbeat_seconds: float = 2.0
    renew_seconds: float = 3.0
    scan_seconds: float = 5.0  # least time between scans of all rows
    lease_seconds: float = 6.0
    forget_seconds: float = 600.0
    table_seconds: float = 2.0  # deadline of one operation
    scan_row_seconds: float = 0.25  # between scans, for each daemon
    mesh_limit: int = 8  # daemons that all hold streams to each other
    fact_limit: int = 64  # in one heartbeat


class FailureDetector:
    """Judges on this daemon's monotonic clock whether others live."""

    def __init__(self, clock: Clock, settings: MembershipSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._heard_at: dict[str, float] = {}
        self._heartbeat_at: dict[str, float] = {}

    def record_beat(self, name: str) -> None:
        """Remember that the daemon's beat rose."""
        self._heard_at[name] = self._clock.read_monotonic()

    def record_direct_heartbeat(self, name: str) -> None:
        """Remember that a heartbeat came from the daemon itself."""
        self._heartbeat_at[name] = self._clock.read_monotonic()

    def remove(self, name: str) -> None:
        """Drop the daemon."""
        self._heard_at.pop(name, None)
        self._heartbeat_at.pop(name, None)

    def measure_silence(self, name: str) -> float:
        """Return the seconds since the daemon's beat last rose."""
        return self._clock.read_monotonic() - self._heard_at[name]

    def is_live(self, name: str) -> bool:
        """Tell whether the beat rose within lease and time of a scan."""
        limit = self._settings.lease_seconds + self.choose_scan_interval()
        return self.measure_silence(name) < limit

    def misses_heartbeats(self, name: str) -> bool:
        """Tell whether a daemon that sent heartbeats here ceased to."""
        now = self._clock.read_monotonic()
        limit = self._settings.heartbeat_seconds * SUSPECT_HEARTBEATS
        return now - self._heartbeat_at.get(name, now) >= limit

    def choose_scan_interval(self) -> float:
        """Return the seconds between scans of the table's rows.

        They grow with the rows, so that bytes stay bounded.
        """
        rows = len(self._heard_at)
        return max(
            self._settings.scan_seconds,
            rows * self._settings.scan_row_seconds,
        )
