"""Learns the load of each pool by the hour of the day."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["ForecastSettings", "LoadForecaster", "LoadObserver"]

HOUR_SECONDS = 3600
HOURS_PER_DAY = 24


@dataclass(frozen=True)
class ForecastSettings:
    """How fast what was seen is forgotten.

    `recent_seconds` smooths the current load; a day counts for
    `day_weight` (0 to 1) in what is known of an hour.
    """

    __pydantic_config__ = STRICT

    recent_seconds: float = 300.0
    day_weight: float = 0.3


class LoadObserver:
    """Feeds a forecaster with the loads that this daemon measures."""

    def __init__(
        self,
        measure: Callable[[], Mapping[str, float]],
        forecaster: "LoadForecaster",
    ) -> None:
        self._measure = measure
        self._forecaster = forecaster

    def run_once(self, deadline: Deadline) -> None:
        """Observe the load of each pool once."""
        for pool, share in self._measure().items():
            self._forecaster.observe(pool, share)


@dataclass
class _LoadHistory:
    recent: float
    observed_at: float  # monotonic seconds
    hour: int = 0  # since the epoch
    total: float = 0.0
    count: int = 0
    means: dict[int, float] = field(default_factory=dict)  # by hour of day


class LoadForecaster:
    """Expects of an hour what the same hour of earlier days had.

    It knows what this daemon has seen since it started.
    """

    def __init__(
        self, clock: Clock, settings: ForecastSettings | None = None
    ) -> None:
        self._clock = clock
        self._settings = settings or ForecastSettings()
        self._loads: dict[str, _LoadHistory] = {}

    def observe(self, pool: str, share: float) -> None:
        """Note the share (0 to 1) of the pool that is in use now."""
        now = self._clock.read_monotonic()
        load = self._loads.setdefault(pool, _LoadHistory(share, now))
        past = now - load.observed_at
        blend = past / (past + self._settings.recent_seconds)
        load.recent += blend * (share - load.recent)
        load.observed_at = now
        hour = int(self._clock.read_wall() // HOUR_SECONDS)
        if hour != load.hour:
            self._close_hour(load)
            load.hour = hour
        load.total += share
        load.count += 1

    def _close_hour(self, load: _LoadHistory) -> None:
        if load.count:
            hour = load.hour % HOURS_PER_DAY
            mean = load.total / load.count
            known = load.means.get(hour, mean)
            weight = self._settings.day_weight
            load.means[hour] = known + weight * (mean - known)
        load.total = 0.0
        load.count = 0

    def predict(self, pool: str) -> float:
        """Return the share expected now: of late or at this hour."""
        load = self._loads.get(pool)
        if load is None:
            return 0.0
        hour = int(self._clock.read_wall() // HOUR_SECONDS) % HOURS_PER_DAY
        return max(load.recent, load.means.get(hour, 0.0))
