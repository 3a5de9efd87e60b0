"""The learned limit of a node's writes in flight."""

from dataclasses import dataclass

__all__ = ["WriteLimit", "WriteLimitSettings"]


@dataclass(frozen=True)
class WriteLimitSettings:
    """Bounds of the limit, and when a write counts as slow."""

    minimum: int = 1
    maximum: int = 8
    # A caller's submission has 0.95 s at this node, in which it may wait for
    # writes of other nodes. One that takes more than a tenth of it shows a
    # queue in the store; a write usually takes 0.012 s.
    slow_seconds: float = 0.1
    decrease_factor: float = 0.5


class WriteLimit:
    """Additive increase and multiplicative decrease by write durations.

    Starts at the maximum, so that a node whose store is calm never waits.
    """

    def __init__(
        self, settings: WriteLimitSettings = WriteLimitSettings()
    ) -> None:
        self._settings = settings
        self._limit = float(settings.maximum)
        self._decreased_at = float("-inf")

    @property
    def value(self) -> int:
        """Return how many writes may be in flight."""
        return int(self._limit)

    def record(self, began: float, ended: float, has_answer: bool) -> None:
        """Learn from a write that ended, with or without an answer.

        Writes that were in flight together decrease the limit once.
        """
        settings = self._settings
        if has_answer and ended - began <= settings.slow_seconds:
            self._limit = min(
                settings.maximum, self._limit + 1.0 / self._limit
            )
        elif began >= self._decreased_at:
            self._limit = max(
                settings.minimum, self._limit * settings.decrease_factor
            )
            self._decreased_at = ended
