"""Look-ahead for a planner: its forecasts, and a book for each pool."""

import logging
from collections.abc import Mapping

from chestnutstair.scheduling.lookahead.durations import (
    DurationForecast,
    classify_step,
)
from chestnutstair.scheduling.lookahead.reservations import (
    PoolOutlook,
    ReservationBook,
    ReservationSettings,
)
from chestnutstair.scheduling.metrics import RESERVATIONS, RESERVED_WORKERS
from chestnutstair.scheduling.progress import JobRecord, Lateness
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.workers import PlacedRun, WorkerState

__all__ = ["LookAhead"]

logger = logging.getLogger(__name__)

# Time between two searches for the same job's reservation. Runs end every
# few milliseconds in a busy pool, and their forecasts change little.
SEARCH_SECONDS = 0.1


class LookAhead:
    """Decides in a planning round what may start beside reservations.

    - `forecast`: durations of earlier runs, recorded by the tracker.
    """

    def __init__(
        self, forecast: DurationForecast, settings: ReservationSettings
    ) -> None:
        self._forecast = forecast
        self._settings = settings
        self._books: dict[str, ReservationBook] = {}
        self._arrivals: Mapping[str, tuple[float, ...]] = {}
        # When each job's room was last searched for; monotonic.
        self._searched_at: dict[str, float] = {}
        self._now = 0.0
        self._outlook = PoolOutlook(self._predict_end)
        self._book = ReservationBook(settings)
        self._records: Mapping[str, JobRecord] = {}

    def set_arrivals(self, arrivals: Mapping[str, tuple[float, ...]]) -> None:
        """Set when VMs are expected in each pool, in monotonic time."""
        self._arrivals = arrivals

    def begin_pool(
        self,
        service: str,
        records: Mapping[str, JobRecord],
        workers: list[WorkerState],
        now: float,
    ) -> None:
        """Prepare the decisions of one pool in this round.

        Reservations of jobs that wait no more, and of workers that are not
        usable any more, are dropped.
        """
        self._now = now
        self._records = records
        self._book = self._books.setdefault(
            service, ReservationBook(self._settings)
        )
        arrivals = self._arrivals.get(service, ())
        self._outlook = PoolOutlook(
            self._predict_end, tuple(at for at in arrivals if at > now)
        )
        for name in [job for job in self._searched_at if job not in records]:
            del self._searched_at[name]
        self._book.keep_only(set(self._searched_at))
        self._book.drop_workers({worker.name for worker in workers})
        RESERVED_WORKERS.labels(service).set(
            len(self._book.list_reservations())
        )

    def _predict_end(self, run: PlacedRun) -> float | None:
        step = run.step
        if step.lasting or step.filler:
            return None
        record = self._records.get(run.job)
        queue = "" if record is None else record.submission.queue.name
        kind = classify_step(queue, step)
        began = run.confirmed_at or run.placed_at
        return self._forecast.predict_end(kind, step, began, self._now)

    def allows(
        self, record: JobRecord, step: Step, worker: WorkerState
    ) -> bool:
        """Return whether a task may start on a worker beside reservations."""
        ends_at = None
        if not step.lasting and not step.filler:
            kind = classify_step(record.submission.queue.name, step)
            ends_at = self._now + self._forecast.predict_seconds(kind, step)
        return self._book.allows(
            record.name, step, worker, ends_at, self._outlook, self._now
        )

    @staticmethod
    def is_entitled(record: JobRecord) -> bool:
        """Return whether a job may have room reserved.

        Not if it will be late, as its room serves others better, and not if
        its tasks last, as these go first anyway.
        """
        return record.lateness is Lateness.IN_TIME and not record.is_lasting

    def reserve(
        self,
        record: JobRecord,
        step: Step,
        tasks: int,
        workers: list[WorkerState],
    ) -> None:
        """Reserve room for a job whose tasks fit on no worker now."""
        searched_at = self._searched_at.get(record.name, float("-inf"))
        if self._now - searched_at < SEARCH_SECONDS:
            return
        self._searched_at[record.name] = self._now
        made = self._book.reserve(
            record.name, step, tasks, workers, self._outlook, self._now
        )
        RESERVATIONS.labels("made" if made else "none").inc()
        if made:
            logger.info(
                "room reserved",
                extra={
                    "job": record.name,
                    "workers": [item.worker for item in made],
                    "tasks": sum(item.tasks for item in made),
                    "seconds": round(made[0].start_at - self._now, 3),
                    "closes_in_seconds": round(
                        made[0].closes_at - self._now, 3
                    ),
                    "waits_for": sum(len(item.waits_for) for item in made),
                },
            )

    def release(self, record: JobRecord) -> None:
        """Drop a job's reservations, as its tasks have been placed."""
        if self._searched_at.pop(record.name, None) is not None:
            self._book.release(record.name)
