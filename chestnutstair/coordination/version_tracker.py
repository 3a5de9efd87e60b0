"""Tracks how long rows of the table stay unchanged."""

from dataclasses import dataclass

from chestnutstair.state.deadline import Clock

__all__ = ["VersionTracker"]


@dataclass(frozen=True)
class Observation:
    """Versions of rows, and when they were first seen (monotonic)."""

    versions: tuple[int, ...]
    since: float


class VersionTracker:
    """Keeps the last seen versions of rows and when they first appeared."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sightings: dict[str, Observation] = {}

    def measure_unchanged(self, name: str, versions: tuple[int, ...]) -> float:
        """Return the seconds since these versions were first seen."""
        now = self._clock.read_monotonic()
        sighting = self._sightings.get(name)
        if sighting is None or sighting.versions != versions:
            sighting = Observation(versions, now)
            self._sightings[name] = sighting
        return now - sighting.since
