"""An in-memory row store with injectable outages and lost answers."""

import threading

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
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
from chestnutstair.state.deadline import Deadline

__all__ = ["MemoryRowStore"]


class MemoryRowStore(RowStore):
    """Keeps rows and the history of their changes in memory."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rows: dict[RowKey, Row] = {}
        self._history: list[Row] = []
        self._oldest = 0  # changes after this version are in the history
        self._delayed: list[tuple[list[Expectation], list[RowWrite]]] = []
        self.version = 0
        self.down = False  # makes every call fail as unavailable
        # How many of the next commits are applied but lose their answers.
        self.lose_answers = 0
        # How many of the next commits wait for `apply_delayed_commits`.
        self.delay_commits = 0
        self.commit_count = 0

    def commit(
        self,
        expectations: list[Expectation],
        writes: list[RowWrite],
        deadline: Deadline,
    ) -> Result[int, StoreFailure | ConditionFailure]:
        """Apply all writes or none; return the new version."""
        with self._lock:
            self.commit_count += 1
            if self.down:
                return Err(UnavailableFailure("down"))
            if self.delay_commits:
                self.delay_commits -= 1
                self._delayed.append((expectations, writes))
                return Err(UnknownOutcomeFailure("delayed"))
            outcome = self._apply(expectations, writes)
            if self.lose_answers:
                self.lose_answers -= 1
                return Err(UnknownOutcomeFailure("answer lost"))
            return outcome

    def _apply(
        self, expectations: list[Expectation], writes: list[RowWrite]
    ) -> Result[int, StoreFailure | ConditionFailure]:
        mismatched = [
            self._rows.get(item.key, Row(item.key, None, 0))
            for item in expectations
            if self._find_version(item.key) != item.version
        ]
        if mismatched:
            return Err(ConditionFailure(tuple(mismatched)))
        self.version += 1
        for write in writes:
            row = Row(write.key, write.value, self.version)
            self._history.append(row)
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = row
        return Ok(self.version)

    def _find_version(self, key: RowKey) -> int:
        row = self._rows.get(key)
        return row.version if row is not None else 0

    def apply_delayed_commits(self) -> None:
        """Apply the waiting commits whose conditions hold; drop the others."""
        with self._lock:
            for expectations, writes in self._delayed:
                self._apply(expectations, writes)
            self._delayed.clear()

    def read(
        self,
        table: str,
        partition: str,
        deadline: Deadline,
        first: str = "",
        end: str = "",
    ) -> Result[Changes, StoreFailure]:
        """Return a consistent snapshot of the rows with first <= key < end.

        An empty `end` sets no upper bound.
        """
        with self._lock:
            if self.down:
                return Err(UnavailableFailure("down"))
            rows = [
                row
                for key, row in sorted(
                    self._rows.items(), key=lambda item: item[0].key
                )
                if (key.table, key.partition) == (table, partition)
                and first <= key.key
                and (not end or key.key < end)
            ]
            return Ok(Changes(tuple(rows), self.version))

    def follow(
        self, table: str, after: int, seconds: float, deadline: Deadline
    ) -> Result[Changes, StoreFailure | HistoryLostFailure]:
        """Return the changes of a table after a version, without waiting."""
        with self._lock:
            if self.down:
                return Err(UnavailableFailure("down"))
            if after < self._oldest:
                return Err(HistoryLostFailure())
            rows = tuple(
                row
                for row in self._history
                if row.version > after and row.key.table == table
            )
            return Ok(Changes(rows, self.version))

    def forget_history(self) -> None:
        """Drop the change history, as the real store is allowed to do."""
        with self._lock:
            self._history.clear()
            self._oldest = self.version
