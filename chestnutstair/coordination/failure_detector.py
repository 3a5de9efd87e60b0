"""Failure detection from the heartbeats of other daemons."""

from dataclasses import dataclass

from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock

__all__ = ["FailureDetector", "MembershipSettings"]

# A peer that sent heartbeats before is suspected after missing this many.
SUSPECT_HEARTBEATS = 2.0


@dataclass(frozen=True)
class MembershipSettings:
    """How daemons find each other and detect failures.

    - `seeds`: `IP:port` of peer servers through which to find the others.
    - `heartbeat_seconds`: time between two heartbeats to a peer.
    - `renew_seconds`: time between two renewals of a daemon's row in the
      table.
    - `scan_seconds`: least time between two scans of all daemons' rows.
    - `lease_seconds`: a daemon counts as live if its heartbeat counter has
      risen within this time plus the time between two scans.
    - `forget_seconds`: silence after which the row of a daemon is deleted
      if the platform reports its VM as gone.
    - `table_seconds`: deadline for the reads and writes of one renewal.
    - `scan_row_seconds`: scans are at least this far apart for each known
      daemon, which bounds the bytes read from the table.
    - `mesh_limit`: up to this many daemons all keep streams to each other;
      more of them form a ring. Also limits how many silent peers a daemon
      keeps trying to reach.
    - `fact_limit`: facts about daemons in one heartbeat.
    """

    __pydantic_config__ = STRICT

    seeds: tuple[str, ...] = ()
    heartbeat_seconds: float = 2.0
    renew_seconds: float = 3.0
    scan_seconds: float = 5.0
    lease_seconds: float = 6.0
    forget_seconds: float = 600.0
    table_seconds: float = 2.0
    scan_row_seconds: float = 0.25
    mesh_limit: int = 8
    fact_limit: int = 64


class FailureDetector:
    """Decides by this daemon's monotonic clock which daemons are live."""

    def __init__(self, clock: Clock, settings: MembershipSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._heard_at: dict[str, float] = {}
        self._heartbeat_at: dict[str, float] = {}

    def record_beat(self, name: str) -> None:
        """Record that the daemon's heartbeat counter rose."""
        self._heard_at[name] = self._clock.read_monotonic()

    def record_direct_heartbeat(self, name: str) -> None:
        """Record a heartbeat received from the daemon itself."""
        self._heartbeat_at[name] = self._clock.read_monotonic()

    def remove(self, name: str) -> None:
        """Stop tracking the daemon."""
        self._heard_at.pop(name, None)
        self._heartbeat_at.pop(name, None)

    def measure_silence(self, name: str) -> float:
        """Return the seconds since the daemon's counter last rose."""
        return self._clock.read_monotonic() - self._heard_at[name]

    def is_live(self, name: str) -> bool:
        """Return whether the counter rose within lease plus scan interval."""
        limit = self._settings.lease_seconds + self.choose_scan_interval()
        return self.measure_silence(name) < limit

    def misses_heartbeats(self, name: str) -> bool:
        """Return whether the daemon stopped sending heartbeats to this one.

        Return False for a daemon that never sent any.
        """
        now = self._clock.read_monotonic()
        limit = self._settings.heartbeat_seconds * SUSPECT_HEARTBEATS
        return now - self._heartbeat_at.get(name, now) >= limit

    def choose_scan_interval(self) -> float:
        """Return the seconds between scans of the table's rows.

        The interval grows with the number of rows, which bounds the bytes
        that are read in a given time.
        """
        rows = len(self._heard_at)
        return max(
            self._settings.scan_seconds,
            rows * self._settings.scan_row_seconds,
        )
