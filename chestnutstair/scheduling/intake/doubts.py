"""Jobs whose submission or cancellation has an unknown outcome."""

from collections import OrderedDict

from chestnutstair.scheduling.ports import RowKey

__all__ = ["DoubtfulRows"]

# A write without a response may be done up to 6 s later.
KEEP_SECONDS = 10.0
MAX_ROWS = 10_000


class DoubtfulRows:
    """The rows that this node sent lately without learning the outcome."""

    def __init__(self) -> None:
        self._until: OrderedDict[RowKey, float] = OrderedDict()

    def add(self, key: RowKey, now: float) -> None:
        """Record that the outcome of a write of the row is unknown."""
        self._until[key] = now + KEEP_SECONDS
        self._until.move_to_end(key)
        while len(self._until) > MAX_ROWS:
            self._until.popitem(last=False)

    def remove(self, key: RowKey) -> None:
        """Record that the row is stored."""
        self._until.pop(key, None)

    def contains(self, key: RowKey, now: float) -> bool:
        """Return whether a write of the row may still be done."""
        while self._until:
            oldest, until = next(iter(self._until.items()))
            if until > now:
                break
            del self._until[oldest]
        return key in self._until
