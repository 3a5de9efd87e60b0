"""Watches how long rows of the table stand still."""

from dataclasses import dataclass

from chestnutstair.state.deadline import Clock

__all__ = ["VersionTracker"]


@dataclass(frozen=True)
class Observation:
    """Versions of rows, and since when they stand, on this clock."""

    versions: tuple[int, ...]
    since: float


class VersionTracker:
    """Remembers versions of rows and when each was first seen."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sightings: dict[str, Observation] = {}

    def measure_unchanged(self, name: str, versions: tuple[int, ...]) -> float:
        """Return for how many seconds the versions are known to stand."""
        now = self._clock.read_monotonic()
        sighting = self._sightings.get(name)
        if sighting is None or sighting.versions != versions:
            sighting = Observation(versions, now)
            self._sightings[name] = sighting
        return now - sighting.since
