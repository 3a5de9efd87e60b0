"""Limits how often a node checks leaders that do not answer."""

from chestnutstair.state.deadline import Clock

__all__ = ["READS_PER_SECOND", "ReadBudget"]

# Each check is a status call and a read of the term's row. With 300 nodes and
# no leader at all these are 1,500 reads a second, a quarter of what the store
# serves, and 94 on average for each of 16 shards' rows.
READS_PER_SECOND = 5.0


class ReadBudget:
    """A token bucket for one read at a time; used by one thread."""

    def __init__(self, clock: Clock, reads_per_second: float) -> None:
        self._clock = clock
        self._interval = 1.0 / reads_per_second
        self._next_at = clock.read_monotonic()

    def consume(self) -> bool:
        """Return whether a row may be read now, and count the read."""
        now = self._clock.read_monotonic()
        if now < self._next_at:
            return False
        self._next_at = now + self._interval
        return True
