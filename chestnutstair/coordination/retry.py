"""A token bucket that limits retries to a share of first attempts."""

from dataclasses import dataclass

from chestnutstair.state.codec import STRICT

__all__ = ["RetryBudget", "RetrySettings"]


@dataclass(frozen=True)
class RetrySettings:
    """Limits on sending requests again.

    - `share`: retries that each first attempt adds to its pool's budget.
    - `burst`: the most retries that a pool's budget can hold, and its
      initial value.
    - `refusals`: how often full targets may refuse one request. These
      retries don't count against the budget.
    """

    __pydantic_config__ = STRICT

    share: float = 0.1
    burst: float = 10.0
    refusals: int = 50


class RetryBudget:
    """The retry budget of one pool. Not thread-safe."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._tokens = settings.burst

    def earn(self) -> None:
        """Add to the budget for a first attempt."""
        earned = self._tokens + self._settings.share
        self._tokens = min(self._settings.burst, earned)

    def spend(self) -> bool:
        """Spend one retry; return False if the budget has none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
