"""Removes the rows of cancellations whose jobs have not been stored."""

import logging
from dataclasses import dataclass

from result import Err, Ok

from chestnutstair.scheduling.cancellations import Cancellation
from chestnutstair.scheduling.intake import IntakeLayout, parse_job_name
from chestnutstair.scheduling.job_tracker import JobTracker
from chestnutstair.scheduling.metrics import CANCELLATIONS_REMOVED
from chestnutstair.scheduling.ports import (
    ConditionFailure,
    Expectation,
    RowStore,
    RowWrite,
)
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import describe_failure

__all__ = ["CancellationSweep", "CancellationSweepSettings"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class CancellationSweepSettings:
    """Size and pace of removals."""

    # Each has a row and two conditions; the store accepts 100 in a write.
    batch_cancellations: int = 30
    # How many expired ones are looked through for those of one partition.
    scanned_cancellations: int = 500
    # Time between two removals while there are expired cancellations.
    pause_seconds: float = 0.1
    # Time until the next attempt after the store refused or did not answer.
    retry_seconds: float = 2.0
    # The next write of the term waits for a removal, and other nodes replace
    # a leader that does not write.
    timeout_seconds: float = 0.4


class CancellationSweep:
    """Removes expired cancellations, a batch of one partition at a time.

    The rows of a cancellation without a scope whose job is known are removed
    with the job.
    """

    def __init__(
        self,
        store: RowStore,
        layout: IntakeLayout,
        tracker: JobTracker,
        clock: Clock,
        settings: CancellationSweepSettings = CancellationSweepSettings(),
    ) -> None:
        self._store = store
        self._layout = layout
        self._tracker = tracker
        self._clock = clock
        self._settings = settings
        self._next_at = float("-inf")

    def run(self) -> None:
        """Remove one batch if one is due."""
        now = self._clock.read_monotonic()
        if now < self._next_at:
            return
        with self._tracker.lock:
            batch, expectations = self._choose_batch(now)
        if not batch:
            return
        self._next_at = now + self._settings.pause_seconds
        writes = [RowWrite(item.key, None) for item in batch]
        deadline = Deadline.after(self._clock, self._settings.timeout_seconds)
        match self._store.commit(expectations, writes, deadline):
            case Ok(_):
                self._forget(batch)
            case Err(ConditionFailure(rows)):
                versions = {item.key: item.version for item in expectations}
                changed = {
                    parse_job_name(row)
                    for row in rows
                    if versions.get(row.key) != row.version
                }
                self._keep(batch, changed, now)
            case Err(failure):
                self._next_at = now + self._settings.retry_seconds
                logger.info(
                    "cannot remove cancellations",
                    extra={"reason": describe_failure(failure)},
                )

    def _choose_batch(
        self, now: float
    ) -> tuple[list[Cancellation], list[Expectation]]:
        """Return cancellations to remove, and the conditions.

        They have not been stored again meanwhile, and their jobs have not
        been stored. A job that is known has been cancelled, or belongs to
        others; its progress is stored before the row is removed.
        """
        tracker = self._tracker
        expired = tracker.early_cancellations.list_expired(
            now, self._settings.scanned_cancellations
        )
        batch: list[Cancellation] = []
        expectations = []
        for item in expired:
            if len(batch) >= self._settings.batch_cancellations:
                break
            if item.key.partition != expired[0].key.partition:
                continue
            if item.job in tracker.dirty or not item.version:
                tracker.early_cancellations.add(item, now)
                continue
            batch.append(item)
            expectations.append(Expectation(item.key, item.version))
            if item.job not in tracker.jobs:
                key = self._layout.build_job_key(item.job, item.key.partition)
                expectations.append(Expectation(key, 0))
        return batch, expectations

    def _forget(self, batch: list[Cancellation]) -> None:
        with self._tracker.lock:
            for item in batch:
                self._tracker.early_cancellations.remove(item.key)
        CANCELLATIONS_REMOVED.inc(len(batch))
        logger.info(
            "cancellations removed",
            extra={"count": len(batch), "partition": batch[0].key.partition},
        )

    def _keep(
        self, batch: list[Cancellation], changed: set[str], now: float
    ) -> None:
        """Keep those of which the leader has not read the newest rows."""
        kept = [item for item in batch if item.job in changed] or batch
        with self._tracker.lock:
            for item in kept:
                self._tracker.early_cancellations.add(item, now)
        logger.info(
            "cancellations kept, as their rows have changed",
            extra={"count": len(kept), "partition": batch[0].key.partition},
        )
