"""A token bucket that bounds retries to a share of first attempts."""

from dataclasses import dataclass

from chestnutstair.state.codec import STRICT

__all__ = ["RetryBudget", "RetrySettings"]


@dataclass(frozen=True)
class RetrySettings:
    """Limits of sending a request again.

    `share` is how many retries each first attempt earns its pool, and
    `burst` how many a pool may save up. `refusals` bounds how often full
    targets may refuse one request.
    """

    __pydantic_config__ = STRICT

    share: float = 0.1
    burst: float = 10.0
    refusals: int = 50


class RetryBudget:
    """The retries that one pool may still make."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._tokens = settings.burst

    def earn(self) -> None:
        """Count a first attempt."""
        earned = self._tokens + self._settings.share
        self._tokens = min(self._settings.burst, earned)

    def spend(self) -> bool:
        """Take one retry if there is one left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
