"""Watches how long rows of the table stand still."""

from dataclasses import dataclass

from chestnutstair.state.deadline import Clock

__all__ = ["LapseWatch"]


@dataclass(frozen=True)
class Sighting:
    """Versions of rows, and since when they stand, on this clock."""

    versions: tuple[int, ...]
    since: float


class LapseWatch:
    """Remembers versions of rows and when each was first seen."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sightings: dict[str, Sighting] = {}

    def measure_still(self, name: str, versions: tuple[int, ...]) -> float:
        """Return for how many seconds the versions are known to stand."""
        now = self._clock.read_monotonic()
        sighting = self._sightings.get(name)
        if sighting is None or sighting.versions != versions:
            sighting = Sighting(versions, now)
            self._sightings[name] = sighting
        return now - sighting.since
