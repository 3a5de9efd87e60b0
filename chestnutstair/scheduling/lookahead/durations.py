"""Forecast of how long runs take, from earlier runs of their kind."""

from dataclasses import dataclass

from chestnutstair.scheduling.specification import Step

__all__ = ["DurationForecast", "SizeClass", "classify_step"]

# Weight of the newest run in the averages, so that about the last ten runs
# count.
NEWEST_WEIGHT = 0.2
# Runs of a kind after which its average replaces the declared estimate.
MIN_RUNS = 4
# A forecast exceeds the average by this many deviations, as a reservation
# whose runs end late delays its task, and one whose runs end early does not.
SPREAD_FACTOR = 1.0
# A run that has outlasted its forecast is expected to take this share of the
# forecast longer.
OVERTIME_SHARE = 0.25
# Kinds that are remembered; the least recently used one is dropped first.
MAX_KINDS = 1000
# Duration of a run without estimate and without earlier runs.
UNKNOWN_SECONDS = 1.0


@dataclass(frozen=True)
class SizeClass:
    """A kind of runs: their queue and the rough size of a task.

    `size` is the number of binary digits of a task's millicores.
    """

    queue: str
    size: int
    has_estimate: bool


@dataclass(frozen=True)
class _Average:
    """Averages over the runs of a kind, relative to the estimate if any."""

    runs: int
    mean: float
    deviation: float


def classify_step(queue: str, step: Step) -> SizeClass:
    """Return the kind of a step's runs."""
    return SizeClass(queue, step.millicores.bit_length(), step.estimate_ms > 0)


class DurationForecast:
    """Learns durations by kind; the owner must lock access."""

    def __init__(self) -> None:
        self._averages: dict[SizeClass, _Average] = {}

    def record(self, kind: SizeClass, step: Step, seconds: float) -> None:
        """Record that a run of the kind has ended as done."""
        value = seconds / _get_unit_seconds(step)
        before = self._averages.pop(kind, None)
        if before is None:
            now = _Average(1, value, 0.0)
        else:
            error = value - before.mean
            now = _Average(
                before.runs + 1,
                before.mean + NEWEST_WEIGHT * error,
                before.deviation
                + NEWEST_WEIGHT * (abs(error) - before.deviation),
            )
        self._averages[kind] = now
        if len(self._averages) > MAX_KINDS:
            del self._averages[next(iter(self._averages))]

    def predict_seconds(self, kind: SizeClass, step: Step) -> float:
        """Return how long a run of the step is expected to take at most."""
        average = self._averages.get(kind)
        unit_seconds = _get_unit_seconds(step)
        if average is None or average.runs < MIN_RUNS:
            return unit_seconds
        factor = average.mean + SPREAD_FACTOR * average.deviation
        return factor * unit_seconds

    def predict_end(
        self, kind: SizeClass, step: Step, began_at: float, now: float
    ) -> float:
        """Return when a run that began at `began_at` is expected to end."""
        seconds = self.predict_seconds(kind, step)
        if now < began_at + seconds:
            return began_at + seconds
        return now + OVERTIME_SHARE * seconds


def _get_unit_seconds(step: Step) -> float:
    return step.estimate_ms / 1000 if step.estimate_ms else UNKNOWN_SECONDS
