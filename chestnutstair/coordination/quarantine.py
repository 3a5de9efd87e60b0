"""Distinguishes bad workers from bad jobs, and quarantines workers."""

import logging
from collections import Counter, defaultdict
from collections.abc import Collection
from dataclasses import dataclass

from prometheus_client import Gauge
from result import Err, Ok, Result

from chestnutstair.coordination.duty import Duty
from chestnutstair.coordination.platform import Key, Table, Write
from chestnutstair.coordination.task_store import CommitFailure
from chestnutstair.state.codec import STRICT, decode_value, encode_value
from chestnutstair.state.deadline import Clock, Deadline

__all__ = [
    "QUARANTINE_TABLE",
    "FailureEvidence",
    "Quarantine",
    "QuarantinePeriod",
    "QuarantineSettings",
]

logger = logging.getLogger(__name__)

QUARANTINE_TABLE = "quarantine"
SCAN_LIMIT = 10_000  # rows
QUARANTINED = Gauge(
    "chestnutstair_quarantined_workers",
    "Workers that get no tasks because they failed all they had.",
    ["pool"],
)


@dataclass(frozen=True)
class QuarantineSettings:
    """When workers are quarantined and jobs count as failing everywhere.

    A worker is a suspect after `failure_count` failures of jobs that have
    succeeded, or after failures of `job_count` distinct jobs. Failures of
    jobs that fail on two or more other workers too do not count, and any
    success on the worker resets the count.

    - `failure_count`: failures of jobs that have succeeded.
    - `job_count`: distinct jobs that failed on the worker.
    - `worker_count`: the number of distinct workers on which a job fails,
      without a success in between, before it counts as failing everywhere.
    - `share`: the highest share (0 to 1) of a pool's workers that is
      quarantined at a time; one worker is always allowed.
    - `first_seconds`: the length of a worker's first quarantine. Each
      further one is twice as long as the one before.
    - `longest_seconds`: the upper limit of a quarantine's length.
    - `retry_seconds`: the interval at which a job that fails everywhere
      may start one task.
    """

    __pydantic_config__ = STRICT

    failure_count: int = 3
    job_count: int = 3
    worker_count: int = 3
    share: float = 0.25
    first_seconds: float = 600.0
    longest_seconds: float = 86400.0
    retry_seconds: float = 60.0


class FailureEvidence:
    """Counts failures since the last success, by worker and by job."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._failures_by_worker: dict[str, Counter[str]] = defaultdict(
            Counter
        )
        self._failed_workers_by_job: dict[str, set[str]] = defaultdict(set)
        self._last_success_worker: dict[str, str] = {}  # by job

    def record_success(self, worker: str, job: str) -> None:
        """Record that a task of the job succeeded on the worker."""
        self._failures_by_worker.pop(worker, None)
        self._failed_workers_by_job.pop(job, None)
        self._last_success_worker[job] = worker

    def record_failure(self, worker: str, job: str) -> None:
        """Record that a task of the job failed on the worker."""
        self._failures_by_worker[worker][job] += 1
        self._failed_workers_by_job[job].add(worker)

    def clear_workers(self, workers: Collection[str]) -> None:
        """Drop the failures of the workers, as they are now quarantined."""
        for worker in workers:
            self._failures_by_worker.pop(worker, None)

    def retain_jobs(self, jobs: Collection[str]) -> None:
        """Drop the data of all jobs except these."""
        for job in self._failed_workers_by_job.keys() - jobs:
            del self._failed_workers_by_job[job]
        for job in self._last_success_worker.keys() - jobs:
            del self._last_success_worker[job]

    def list_suspects(self, probation: Collection[str]) -> list[str]:
        """Return the workers to quarantine, those with most failures first.

        One failure is enough for workers on probation.
        """
        suspects = [
            worker
            for worker, jobs in self._failures_by_worker.items()
            if self._is_suspect(worker, jobs, worker in probation)
        ]
        return sorted(
            suspects,
            key=lambda worker: (
                -self._failures_by_worker[worker].total(),
                worker,
            ),
        )

    def _is_suspect(
        self, worker: str, jobs: Counter[str], probation: bool
    ) -> bool:
        attributable = {
            job: count
            for job, count in jobs.items()
            if len(self._failed_workers_by_job[job] - {worker}) < 2
        }
        proven_failures = sum(
            count
            for job, count in attributable.items()
            if job in self._last_success_worker
        )
        return (
            proven_failures >= self._settings.failure_count
            or len(attributable) >= self._settings.job_count
            or (probation and bool(attributable))
        )

    def has_failed(self, job: str) -> bool:
        """Return whether the job has failed since its last success."""
        return job in self._failed_workers_by_job

    def list_failed_jobs(self) -> list[str]:
        """Return the jobs that have failed since their last success."""
        return sorted(self._failed_workers_by_job)

    def list_failed_workers(self, job: str) -> tuple[str, ...]:
        """Return the workers the job failed on since its last success."""
        return tuple(sorted(self._failed_workers_by_job.get(job, ())))

    def is_failing(self, job: str, excused: Collection[str]) -> bool:
        """Return whether the job counts as failing everywhere.

        Failures on `excused` workers are ignored.
        """
        workers = self._failed_workers_by_job.get(job, set()).difference(
            excused
        )
        return len(workers) >= self._settings.worker_count


@dataclass(frozen=True)
class QuarantinePeriod:
    """The stored row of one worker's quarantine."""

    __pydantic_config__ = STRICT

    until: float  # wall-clock epoch seconds
    seconds: float  # the length of this quarantine


class Quarantine:
    """The quarantined workers of one pool, stored in the table.

    A worker's row stays after the quarantine has ended: the worker is on
    probation until a task succeeds there.
    """

    def __init__(
        self,
        table: Table,
        pool: str,
        clock: Clock,
        settings: QuarantineSettings,
    ) -> None:
        self._table = table
        self._pool = pool
        self._clock = clock
        self._settings = settings
        self._periods: dict[str, QuarantinePeriod] = {}
        self._recovered: set[str] = set()
        self._loaded = False

    def load(self, deadline: Deadline) -> Result[None, CommitFailure]:
        """Read the pool's rows unless they are cached."""
        if self._loaded:
            return Ok(None)
        start, end = f"{self._pool}/", f"{self._pool}0"
        match self._table.scan(
            QUARANTINE_TABLE, start, end, SCAN_LIMIT, deadline
        ):
            case Err(failure):
                return Err(failure)
            case Ok(rows):
                self._periods = {
                    row.key.key.removeprefix(start): decode_value(
                        QuarantinePeriod, row.value
                    ).unwrap()
                    for row in rows
                }
                self._loaded = True
        return Ok(None)

    def list_quarantined(self) -> frozenset[str]:
        """Return the workers that are in quarantine now."""
        now = self._clock.read_wall()
        return frozenset(
            worker
            for worker, period in self._periods.items()
            if period.until > now
        )

    def record_success(self, worker: str) -> None:
        """End the worker's probation at the next update."""
        if worker in self._periods:
            self._recovered.add(worker)

    def update(
        self,
        duty: Duty,
        evidence: FailureEvidence,
        size: int,
        deadline: Deadline,
    ) -> Result[None, CommitFailure]:
        """Quarantine suspects, up to the allowed share of the pool.

        `size` is the number of workers of the pool.
        """
        quarantined = self.list_quarantined()
        QUARANTINED.labels(self._pool).set(len(quarantined))
        probation = self._periods.keys() - quarantined
        suspects = [
            worker
            for worker in evidence.list_suspects(probation)
            if worker not in quarantined
        ]
        max_quarantined = max(1, int(size * self._settings.share))
        chosen = suspects[: max(0, max_quarantined - len(quarantined))]
        changes: dict[str, QuarantinePeriod | None] = {
            worker: None for worker in self._recovered.difference(chosen)
        }
        changes.update((worker, self._extend(worker)) for worker in chosen)
        if not changes:
            return Ok(None)
        committed = self._commit(duty, changes, deadline)
        if committed.is_ok():
            evidence.clear_workers(chosen)
        return committed

    def _extend(self, worker: str) -> QuarantinePeriod:
        previous = self._periods.get(worker)
        seconds = self._settings.first_seconds
        if previous is not None:
            seconds = min(2 * previous.seconds, self._settings.longest_seconds)
        logger.warning("worker is quarantined", extra={"vm": worker})
        return QuarantinePeriod(self._clock.read_wall() + seconds, seconds)

    def _commit(
        self,
        duty: Duty,
        changes: dict[str, QuarantinePeriod | None],
        deadline: Deadline,
    ) -> Result[None, CommitFailure]:
        writes = [
            Write(
                Key(QUARANTINE_TABLE, f"{self._pool}/{worker}"),
                None if period is None else encode_value(period),
            )
            for worker, period in changes.items()
        ]
        committed = self._table.commit(
            [duty.build_condition()], writes, deadline
        )
        if committed.is_err():
            self._loaded = False
            return committed
        self._recovered.clear()
        for worker, period in changes.items():
            if period is None:
                self._periods.pop(worker, None)
            else:
                self._periods[worker] = period
        return Ok(None)
