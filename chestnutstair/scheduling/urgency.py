"""The order in which the jobs of a pool get room."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum

from chestnutstair.scheduling.organisations.held import JobRank
from chestnutstair.scheduling.progress import JobRecord, Lateness

__all__ = [
    "PASSED_OVER_INTERVAL",
    "PassedOver",
    "Prospect",
    "Urgency",
    "rank_job",
]

# Tasks placed in a pool for each one of a job that others go before.
PASSED_OVER_INTERVAL = 40
# Bounds what a job that is passed over may place at once after a long round.
MAX_PASSED_OVER_CREDIT = 10 * PASSED_OVER_INTERVAL


class Prospect(IntEnum):
    """How likely a job is to be in time, apart from how late it is.

    Where more is due than there is room for, jobs that start at the last
    moment end late as soon as a task takes longer than estimated, and room
    that they used is lost to others. So jobs without slack go last, whatever
    their due times are; those that have begun, and so used room, go first.
    """

    BEGUN = 0  # has begun and has no slack left
    SAFE = 1  # in time even if tasks use all of the objective's stretch
    TIGHT = 2


@dataclass(frozen=True)
class Urgency:
    """Sort key of the order in which jobs get room, smallest first."""

    lateness: Lateness
    priority: int
    due_ms: float
    prospect: Prospect = Prospect.SAFE

    @property
    def is_passed_over(self) -> bool:
        """Return whether new jobs of its priority go before the job."""
        return (
            self.lateness is not Lateness.IN_TIME
            or self.prospect is Prospect.TIGHT
        )


class PassedOver:
    """Lets jobs that others go before have a bounded part of a pool.

    While they wait, one task in `PASSED_OVER_INTERVAL` is one of the job that
    is due first among them. Without this, jobs that cannot be in time any
    more would wait for as long as new ones arrive.
    """

    def __init__(self) -> None:
        self._credit = 0  # placed tasks of jobs that can be in time
        self._promoted = ""
        # Jobs that could place nothing, such as one that fits on no worker.
        self._tried: set[str] = set()

    def promote(
        self,
        jobs: list[tuple[Urgency, str]],
        records: Mapping[str, JobRecord],
    ) -> list[tuple[Urgency, str]]:
        """Return the jobs, with one that is passed over before all others."""
        self._promoted = ""
        if self._credit < PASSED_OVER_INTERVAL:
            return jobs
        waiting = [
            (urgency.due_ms, position)
            for position, (urgency, name) in enumerate(jobs)
            if urgency.is_passed_over
            and name not in self._tried
            and records[name].outlook.startable
        ]
        if not waiting:
            if not self._tried:
                self._credit = 0
            self._tried.clear()
            return jobs
        _, position = min(waiting)
        urgency, self._promoted = jobs[position]
        first = replace(
            urgency,
            lateness=Lateness.IN_TIME,
            priority=0,
            prospect=Prospect.BEGUN,
        )
        return [
            *jobs[:position],
            (first, self._promoted),
            *jobs[position + 1 :],
        ]

    def record(self, placed: Iterable[JobRecord]) -> None:
        """Record the jobs of the tasks that a round has placed."""
        if self._promoted:
            self._tried.add(self._promoted)
        for record in placed:
            if record.name == self._promoted:
                self._tried.discard(record.name)
                self._credit -= PASSED_OVER_INTERVAL
            elif record.lateness is Lateness.IN_TIME:
                self._credit += 1
        self._credit = min(self._credit, MAX_PASSED_OVER_CREDIT)


def rank_job(job: tuple[Urgency, str]) -> JobRank:
    """Return the sort key of a job, given by its urgency and name."""
    # Compares faster than the data class: a round sorts all active jobs.
    urgency, name = job
    return (
        urgency.lateness,
        urgency.priority,
        urgency.prospect,
        urgency.due_ms,
        name,
    )
