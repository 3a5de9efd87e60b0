"""An in-memory table and object store with injectable faults."""

import threading
from bisect import bisect_left, insort
from collections.abc import Sequence
from copy import deepcopy

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    ABSENT,
    Condition,
    ConflictFailure,
    Key,
    ObjectStore,
    PlatformFailure,
    Row,
    Table,
    UnavailableFailure,
    UnknownOutcomeFailure,
    Write,
)
from chestnutstair.state.deadline import Deadline

__all__ = ["MemoryObjectStore", "MemoryTable"]


class MemoryTable(Table):
    """An in-memory table with conditional commits."""

    def __init__(self) -> None:
        self._rows: dict[Key, Row] = {}
        self._keys: dict[str, list[str]] = {}  # of each table, sorted
        self._version = ABSENT
        self._lock = threading.Lock()
        self.down = False  # makes every call fail as unavailable
        # How many of the next commits are applied but lose their answers.
        self.lose_answers = 0
        self.read_count = 0
        self.write_count = 0

    def read(
        self, keys: Sequence[Key], deadline: Deadline
    ) -> Result[tuple[Row | None, ...], PlatformFailure]:
        """Return a consistent snapshot of the rows, None for absent ones."""
        if self.down:
            return Err(UnavailableFailure("the table is down"))
        with self._lock:
            self.read_count += 1
            return Ok(tuple(deepcopy(self._rows.get(key)) for key in keys))

    def scan(
        self, table: str, start: str, end: str, limit: int, deadline: Deadline
    ) -> Result[tuple[Row, ...], PlatformFailure]:
        """Return up to `limit` rows with start <= key < end, in key order."""
        if self.down:
            return Err(UnavailableFailure("the table is down"))
        with self._lock:
            self.read_count += 1
            keys = self._keys.get(table, [])
            first = bisect_left(keys, start)
            last = min(bisect_left(keys, end), first + limit)
            return Ok(
                tuple(
                    deepcopy(self._rows[Key(table, key)])
                    for key in keys[first:last]
                )
            )

    def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        deadline: Deadline,
    ) -> Result[None, ConflictFailure | PlatformFailure]:
        """Apply all writes if all conditions hold, otherwise none.

        The failure names the keys whose versions differ.
        """
        if self.down:
            return Err(UnavailableFailure("the table is down"))
        with self._lock:
            self.write_count += 1
            mismatched = tuple(
                condition.key
                for condition in conditions
                if self._get_version(condition.key) != condition.version
            )
            if mismatched:
                return Err(ConflictFailure(mismatched))
            for write in writes:
                self._apply(write)
            if self.lose_answers > 0:
                self.lose_answers -= 1
                return Err(UnknownOutcomeFailure("the answer was lost"))
            return Ok(None)

    def _get_version(self, key: Key) -> int:
        row = self._rows.get(key)
        return ABSENT if row is None else row.version

    def _apply(self, write: Write) -> None:
        self._version += 1
        exists = write.key in self._rows
        keys = self._keys.setdefault(write.key.table, [])
        if write.value is None:
            if exists:
                del self._rows[write.key]
                del keys[bisect_left(keys, write.key.key)]
        else:
            if not exists:
                insort(keys, write.key.key)
            value = deepcopy(write.value)
            self._rows[write.key] = Row(write.key, value, self._version)


class MemoryObjectStore(ObjectStore):
    """An in-memory object store; fails as unavailable while `down` is set."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}
        self.down = False

    def put(
        self, name: str, body: bytes, deadline: Deadline
    ) -> Result[None, PlatformFailure]:
        """Store the object, replacing an existing one with the same name."""
        if self.down:
            return Err(UnavailableFailure("the object store is down"))
        self._objects[name] = body
        return Ok(None)

    def get(
        self, name: str, deadline: Deadline
    ) -> Result[bytes | None, PlatformFailure]:
        """Return the object, or None if it does not exist."""
        if self.down:
            return Err(UnavailableFailure("the object store is down"))
        return Ok(self._objects.get(name))
