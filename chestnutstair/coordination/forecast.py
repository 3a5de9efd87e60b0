"""Forecasts each pool's load from recent load and the hour of the day."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["ForecastSettings", "LoadForecaster", "LoadSampler"]

HOUR_SECONDS = 3600
HOURS_PER_DAY = 24


@dataclass(frozen=True)
class ForecastSettings:
    """How fast older observations of the load lose weight.

    - `recent_seconds`: the time constant of the moving average of the
      current load.
    - `day_weight`: the weight (0 to 1) of the latest day in the moving
      average for an hour of the day.
    """

    __pydantic_config__ = STRICT

    recent_seconds: float = 300.0
    day_weight: float = 0.3


class LoadSampler:
    """Measures the load of each pool and passes it to a forecaster."""

    def __init__(
        self,
        measure: Callable[[], Mapping[str, float]],
        forecaster: "LoadForecaster",
    ) -> None:
        self._measure = measure
        self._forecaster = forecaster

    def run_once(self, deadline: Deadline) -> None:
        """Measure the load of each pool once and record it."""
        for pool, share in self._measure().items():
            self._forecaster.observe(pool, share)


@dataclass
class _LoadHistory:
    """The observed load of one pool, as shares of it (0 to 1)."""

    recent: float  # moving average
    observed_at: float  # monotonic seconds
    epoch_hour: int = 0  # hours since the epoch
    total: float = 0.0  # sum of the observations in this hour
    count: int = 0  # observations in this hour
    hourly_means: dict[int, float] = field(
        default_factory=dict
    )  # by hour of day


class LoadForecaster:
    """Predicts load from recent load and the same hour on earlier days.

    It only uses what this daemon has observed since it started.
    """

    def __init__(
        self, clock: Clock, settings: ForecastSettings | None = None
    ) -> None:
        self._clock = clock
        self._settings = settings or ForecastSettings()
        self._histories: dict[str, _LoadHistory] = {}

    def observe(self, pool: str, share: float) -> None:
        """Record the load, the share (0 to 1) of the pool in use now."""
        now = self._clock.read_monotonic()
        history = self._histories.setdefault(pool, _LoadHistory(share, now))
        elapsed = now - history.observed_at
        weight = elapsed / (elapsed + self._settings.recent_seconds)
        history.recent += weight * (share - history.recent)
        history.observed_at = now
        epoch_hour = int(self._clock.read_wall() // HOUR_SECONDS)
        if epoch_hour != history.epoch_hour:
            self._close_hour(history)
            history.epoch_hour = epoch_hour
        history.total += share
        history.count += 1

    def _close_hour(self, history: _LoadHistory) -> None:
        if history.count:
            hour_of_day = history.epoch_hour % HOURS_PER_DAY
            mean = history.total / history.count
            previous = history.hourly_means.get(hour_of_day, mean)
            weight = self._settings.day_weight
            history.hourly_means[hour_of_day] = previous + weight * (
                mean - previous
            )
        history.total = 0.0
        history.count = 0

    def predict(self, pool: str) -> float:
        """Return the load (0 to 1) to expect at this hour of the day.

        This is the larger of the moving average of recent loads and the
        mean load at this hour of earlier days, or 0 for a pool that was
        never observed.
        """
        history = self._histories.get(pool)
        if history is None:
            return 0.0
        hour_of_day = (
            int(self._clock.read_wall() // HOUR_SECONDS) % HOURS_PER_DAY
        )
        return max(history.recent, history.hourly_means.get(hour_of_day, 0.0))
