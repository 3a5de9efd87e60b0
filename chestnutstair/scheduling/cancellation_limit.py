"""Limits the cancellations of unknown jobs that a node stores."""

import threading
from dataclasses import dataclass

from chestnutstair.coordination.platform import UnavailableFailure
from chestnutstair.state.deadline import Clock

__all__ = [
    "CancellationLimit",
    "CancellationLimitFailure",
    "CancellationLimitSettings",
]


@dataclass(frozen=True)
class CancellationLimitFailure(UnavailableFailure):
    """Nothing was sent: too many unknown jobs were cancelled lately."""


@dataclass(frozen=True)
class CancellationLimitSettings:
    """Cancellations of unknown jobs that a node stores.

    Their rows stay for `early_cancellations.KEEP_SECONDS` and in the memory
    of a leader, and a caller can name any number of jobs.
    """

    per_second: float = 5.0
    burst: int = 50


class CancellationLimit:
    """A token bucket; may be used by several threads."""

    def __init__(
        self,
        clock: Clock,
        settings: CancellationLimitSettings = CancellationLimitSettings(),
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._lock = threading.Lock()
        self._tokens = float(settings.burst)
        self._counted_at = clock.read_monotonic()

    def admit(self) -> bool:
        """Return whether a cancellation may be stored now, and count it."""
        now = self._clock.read_monotonic()
        with self._lock:
            elapsed = now - self._counted_at
            self._counted_at = now
            self._tokens = min(
                float(self._settings.burst),
                self._tokens + elapsed * self._settings.per_second,
            )
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
