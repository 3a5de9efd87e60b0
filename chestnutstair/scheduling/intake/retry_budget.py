"""The budget of second attempts and relays of a node."""

from collections import deque
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryBudgetSettings"]


@dataclass(frozen=True)
class RetryBudgetSettings:
    """Retries that are allowed in relation to submissions.

    A tenth keeps the load of retries small while every write fails. The
    least rate lets a node with few submissions retry.
    """

    window_seconds: int = 10
    share: float = 0.1
    least_per_second: float = 1.0


class RetryBudget:
    """Counts submissions and retries of the window, by second."""

    def __init__(
        self, settings: RetryBudgetSettings = RetryBudgetSettings()
    ) -> None:
        self._settings = settings
        # Second, submissions, retries; oldest first.
        self._counts: deque[list[int]] = deque()

    def _get_counts(self, now: float) -> list[int]:
        second = int(now)
        oldest = second - self._settings.window_seconds
        while self._counts and self._counts[0][0] <= oldest:
            self._counts.popleft()
        if not self._counts or self._counts[-1][0] != second:
            self._counts.append([second, 0, 0])
        return self._counts[-1]

    def record_submission(self, now: float) -> None:
        """Count a submission."""
        self._get_counts(now)[1] += 1

    def try_spend(self, now: float) -> bool:
        """Count a retry and return True, or return False if it is too many."""
        counts = self._get_counts(now)
        settings = self._settings
        submissions = sum(item[1] for item in self._counts)
        retries = sum(item[2] for item in self._counts)
        allowed = max(
            submissions * settings.share,
            settings.least_per_second * settings.window_seconds,
        )
        if retries + 1 > allowed:
            return False
        counts[2] += 1
        return True
