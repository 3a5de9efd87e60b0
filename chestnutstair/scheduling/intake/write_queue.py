"""The queue of rows to write, by partition and deadline."""

from bisect import insort
from dataclasses import dataclass, field

from chestnutstair.scheduling.ports import RowKey

__all__ = ["BATCH_BYTES", "BATCH_ROWS", "Place", "WriteEntry", "WriteQueue"]

# The store accepts 100 rows and 1 MB, in base64, in one transaction.
BATCH_ROWS = 90
BATCH_BYTES = 500_000

# Table and partition: the rows of one transaction share them.
Place = tuple[str, str]


@dataclass(frozen=True, order=True)
class WriteEntry:
    """A row to write until `deadline_at`, in monotonic seconds.

    - `is_submission`: the row must not exist; otherwise it is replaced.
    - `is_alone`: not sent together with others, after a refusal that one
      row of a batch may have caused.
    """

    deadline_at: float
    sequence: int
    key: RowKey = field(compare=False)
    value: bytes = field(compare=False)
    is_submission: bool = field(compare=False)
    is_alone: bool = field(compare=False, default=False)

    @property
    def place(self) -> Place:
        """Return the table and partition of the row."""
        return self.key.table, self.key.partition


class WriteQueue:
    """Entries that wait to be sent, earliest deadline first."""

    def __init__(self) -> None:
        self._entries: dict[Place, list[WriteEntry]] = {}

    def __len__(self) -> int:
        return sum(len(entries) for entries in self._entries.values())

    def add(self, entry: WriteEntry) -> None:
        """Add an entry in the order of deadlines."""
        insort(self._entries.setdefault(entry.place, []), entry)

    def remove(self, entry: WriteEntry) -> bool:
        """Remove an entry; return whether it was still in the queue."""
        entries = self._entries.get(entry.place, [])
        for index, item in enumerate(entries):
            if item.key == entry.key:
                del entries[index]
                self._drop_if_empty(entry.place)
                return True
        return False

    def _drop_if_empty(self, place: Place) -> None:
        if not self._entries[place]:
            del self._entries[place]

    def list_places(self) -> list[Place]:
        """Return the places with entries, earliest deadline first."""
        return sorted(self._entries, key=lambda item: self._entries[item][0])

    def count_before(self, place: Place, deadline_at: float) -> int:
        """Return how many entries of a place have an earlier deadline."""
        return sum(
            item.deadline_at <= deadline_at
            for item in self._entries.get(place, ())
        )

    def count_places_before(self, place: Place, deadline_at: float) -> int:
        """Return how many other places have an earlier deadline."""
        return sum(
            other != place and entries[0].deadline_at <= deadline_at
            for other, entries in self._entries.items()
        )

    def take_late(self, place: Place, latest: float) -> list[WriteEntry]:
        """Remove and return entries whose deadline is before `latest`."""
        entries = self._entries.get(place, [])
        count = 0
        while count < len(entries) and entries[count].deadline_at < latest:
            count += 1
        late, self._entries[place] = entries[:count], entries[count:]
        self._drop_if_empty(place)
        return late

    def take_batch(self, place: Place) -> tuple[WriteEntry, ...]:
        """Remove and return the entries of the next write of a place."""
        entries = self._entries.get(place, [])
        batch: list[WriteEntry] = []
        size = 0
        for entry in entries:
            size += len(entry.value)
            if batch and (
                len(batch) >= BATCH_ROWS
                or size > BATCH_BYTES
                or entry.is_alone
                or batch[0].is_alone
            ):
                break
            batch.append(entry)
        del entries[: len(batch)]
        if not entries:
            self._entries.pop(place, None)
        return tuple(batch)

    def take_all(self) -> list[WriteEntry]:
        """Remove and return all entries."""
        taken = [item for items in self._entries.values() for item in items]
        self._entries.clear()
        return taken
