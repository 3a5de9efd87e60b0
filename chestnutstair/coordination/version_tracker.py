"""Tracks how long rows of the table stay unchanged."""

from dataclasses import dataclass

from chestnutstair.state.deadline import Clock

__all__ = ["VersionTracker"]


@dataclass(frozen=True)
class Observation:
    """Versions of rows; `since`, when first seen, is in monotonic seconds."""

    versions: tuple[int, ...]
    since: float


class VersionTracker:
    """Keeps the last seen versions of rows and when they first appeared."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._observations: dict[str, Observation] = {}

    def measure_unchanged(self, name: str, versions: tuple[int, ...]) -> float:
        """Return the seconds since these versions were first seen."""
        now = self._clock.read_monotonic()
        observation = self._observations.get(name)
        if observation is None or observation.versions != versions:
            observation = Observation(versions, now)
            self._observations[name] = observation
        return now - observation.since
