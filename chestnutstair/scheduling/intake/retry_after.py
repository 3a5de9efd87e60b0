"""When a refused caller should return."""

import math

__all__ = ["MAX_RETRY_AFTER_SECONDS", "compute_retry_after"]

# Slow periods of the store last up to 5 s; a caller that waits longer than
# that finds an idle queue.
MAX_RETRY_AFTER_SECONDS = 5


def compute_retry_after(drain_seconds: float, spread: float) -> int:
    """Return the whole seconds of a Retry-After header.

    The time in which the queue drains is rounded up and then extended by up
    to half, by the random number `spread` between 0 and 1, so that callers
    don't return together. Within a second the spread can't be expressed, so
    the fraction is the probability of the next whole second.
    """
    base = min(max(1, math.ceil(drain_seconds)), MAX_RETRY_AFTER_SECONDS)
    if base == 1:
        return 2 if spread > 0.5 else 1
    return base + math.floor(spread * (base // 2 + 1))
