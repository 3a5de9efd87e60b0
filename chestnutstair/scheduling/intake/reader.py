"""Reads of intake rows: of one job, and of all partitions."""

from concurrent.futures import ThreadPoolExecutor

from result import Err, Ok, Result

from chestnutstair.scheduling.intake.layout import IntakeLayout
from chestnutstair.scheduling.ports import (
    Changes,
    ConditionFailure,
    Expectation,
    HistoryLostFailure,
    Row,
    RowKey,
    RowStore,
    RowWrite,
    StoreFailure,
)
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["IntakeReader", "IntakeTable", "find_row"]

# Follows the separator of a scope in the order of keys.
END_OF_SCOPES = "0"


def find_row(
    store: RowStore, key: RowKey, deadline: Deadline
) -> Result[bytes | None, StoreFailure]:
    """Return the value of a row, or None if it does not exist."""
    answer = store.read(
        key.table, key.partition, deadline, key.key, key.key + "\0"
    )
    return answer.map(
        lambda changes: changes.rows[0].value if changes.rows else None
    )


class IntakeReader:
    """Looks up the rows of one job.

    Reads the job's own partition first and then partition 0, where jobs are
    that were stored before the number of partitions was raised.
    """

    def __init__(
        self, store: RowStore, clock: Clock, attempt_seconds: float
    ) -> None:
        self._store = store
        self._clock = clock
        self._attempt_seconds = attempt_seconds

    def read_key(
        self, key: RowKey, deadline: Deadline
    ) -> Result[bytes | None, StoreFailure]:
        """Return the value of a row, in at most one attempt's time."""
        return find_row(self._store, key, self._limit_attempt(deadline))

    def _limit_attempt(self, deadline: Deadline) -> Deadline:
        remaining_seconds = deadline.get_remaining_seconds(self._clock)
        seconds = min(remaining_seconds, self._attempt_seconds)
        return Deadline.after(self._clock, seconds)

    def find_submission(
        self, layout: IntakeLayout, job: str, deadline: Deadline
    ) -> Result[bytes | None, StoreFailure]:
        """Return a job's submission, or None if there is none."""
        for partition in layout.list_lookup_partitions(job):
            answer = self.read_key(
                layout.build_job_key(job, partition), deadline
            )
            if answer.is_err() or answer.unwrap() is not None:
                return answer
        return Ok(None)

    def find_cancellations(
        self, layout: IntakeLayout, job: str, deadline: Deadline
    ) -> Result[tuple[Row, ...], StoreFailure]:
        """Return the rows that cancel a job, each for its scope."""
        rows: tuple[Row, ...] = ()
        for partition in layout.list_lookup_partitions(job):
            key = layout.build_cancel_key(job, partition)
            answer = self._store.read(
                key.table,
                key.partition,
                self._limit_attempt(deadline),
                key.key,
                key.key + END_OF_SCOPES,
            )
            match answer:
                case Err(failure):
                    return Err(failure)
                case Ok(changes):
                    rows += changes.rows
        return Ok(rows)


class IntakeTable(RowStore):
    """The store as seen by a reader of the whole intake table.

    A read returns the rows of all partitions, whatever partition is named:
    the change feed reads the whole table when the store has lost its history.
    """

    def __init__(self, store: RowStore, layout: IntakeLayout) -> None:
        self._store = store
        self._layout = layout

    def commit(
        self,
        expectations: list[Expectation],
        writes: list[RowWrite],
        deadline: Deadline,
    ) -> Result[int, StoreFailure | ConditionFailure]:
        """Apply all writes or none; return the new version."""
        return self._store.commit(expectations, writes, deadline)

    def read(
        self,
        table: str,
        partition: str,
        deadline: Deadline,
        first: str = "",
        end: str = "",
    ) -> Result[Changes, StoreFailure]:
        """Return the rows of all partitions, which are read in parallel.

        The version is the lowest of the partitions' versions, so that a
        reader who follows the table from it misses no change.
        """
        partitions = self._layout.list_partitions()
        with ThreadPoolExecutor(len(partitions), "intake") as threads:
            answers = list(
                threads.map(
                    lambda name: self._store.read(
                        table, name, deadline, first, end
                    ),
                    partitions,
                )
            )
        rows: list[Row] = []
        versions = []
        for answer in answers:
            if answer.is_err():
                return Err(answer.unwrap_err())
            rows += answer.unwrap().rows
            versions.append(answer.unwrap().version)
        return Ok(Changes(tuple(rows), min(versions)))

    def follow(
        self, table: str, after: int, seconds: float, deadline: Deadline
    ) -> Result[Changes, StoreFailure | HistoryLostFailure]:
        """Wait up to `seconds` for changes of a table after a version."""
        return self._store.follow(table, after, seconds, deadline)
