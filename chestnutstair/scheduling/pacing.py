"""Throttles filler tasks while they slow down serving tasks."""

from dataclasses import dataclass, replace

from chestnutstair.scheduling.workers import PlacedRun, WorkerState
from chestnutstair.state.deadline import Clock

__all__ = ["Pace", "Pacer", "PacingSettings"]

FULL_PERCENT = 100


@dataclass(frozen=True)
class PacingSettings:
    """Steps by which fillers are slowed down and sped up again."""

    # Percentage points subtracted from the fillers' speed with each listing
    # while a serving task exceeds its tail latency target, so that fillers
    # stop within two or three seconds.
    slowdown_percent: int = 50
    # Percentage points added back every speedup_seconds while tail latencies
    # are below recovery_share of the target.
    speedup_percent: int = 20
    recovery_share: float = 0.7
    speedup_seconds: float = 3.0
    # An order without an answer may be carried out seconds later, after newer
    # ones. The order in force is repeated for this long.
    late_order_seconds: float = 15.0


@dataclass(frozen=True)
class Pace:
    """An order to run at `percent` of full speed."""

    task: str
    run: int
    percent: int


class Pacer:
    """Adjusts the speed of a worker's fillers after each listing."""

    def __init__(self, clock: Clock, settings: PacingSettings) -> None:
        self._clock = clock
        self._settings = settings

    def adjust(self, worker: WorkerState) -> list[Pace]:
        """Return the orders that follow from the worker's latest listing."""
        fillers = {
            task: run for task, run in worker.runs.items() if run.step.filler
        }
        if not fillers:
            worker.filler_percent = FULL_PERCENT
            return []
        tail_ratios = [
            run.listing.gauge / run.step.tail_target_ms
            for run in worker.runs.values()
            if run.listing is not None and run.step.tail_target_ms
        ]
        self._set_percent(worker, max(tail_ratios, default=0.0))
        return [
            Pace(task, run.run, worker.filler_percent)
            for task, run in fillers.items()
            if self._needs_order(run, worker.filler_percent)
        ]

    def _set_percent(
        self, worker: WorkerState, worst_tail_ratio: float
    ) -> None:
        now = self._clock.read_monotonic()
        settings = self._settings
        percent = worker.filler_percent
        if worst_tail_ratio > 1.0:
            percent = max(0, percent - settings.slowdown_percent)
        elif (
            worst_tail_ratio < settings.recovery_share
            and now - worker.paced_at >= settings.speedup_seconds
        ):
            percent = min(FULL_PERCENT, percent + settings.speedup_percent)
        else:
            return
        if percent != worker.filler_percent or worst_tail_ratio > 1.0:
            worker.paced_at = now
        worker.filler_percent = percent

    def _needs_order(self, run: PlacedRun, percent: int) -> bool:
        if not run.confirmed_at or run.stopping:
            return False
        now = self._clock.read_monotonic()
        return run.percent != percent or now < run.pace_in_doubt_until

    @staticmethod
    def record_pace(worker: WorkerState, pace: Pace) -> None:
        """Record a speed that the worker has accepted."""
        run = worker.runs.get(pace.task)
        if run is not None and run.run == pace.run:
            worker.replace_run(pace.task, replace(run, percent=pace.percent))

    def record_doubt(self, worker: WorkerState, pace: Pace) -> None:
        """Record that an order got no answer and may still be carried out."""
        run = worker.runs.get(pace.task)
        if run is not None and run.run == pace.run:
            until = (
                self._clock.read_monotonic()
                + self._settings.late_order_seconds
            )
            worker.replace_run(
                pace.task, replace(run, pace_in_doubt_until=until)
            )
