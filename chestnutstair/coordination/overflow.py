"""Overflow of a pool's requests into the spare pool."""

from dataclasses import dataclass

from chestnutstair.coordination.queueing import PoolQueue
from chestnutstair.state.codec import STRICT

__all__ = ["OverflowSettings", "may_overflow"]


@dataclass(frozen=True)
class OverflowSettings:
    """When requests of a pool may run in the spare pool.

    - `start_seconds`: estimated wait in the queue above which overflow
      starts.
    - `stop_seconds`: estimated wait at or below which overflow stops.
    - `spare_kept`: the share of the spare pool's slots that is kept for
      the spare pool's own service.
    """

    __pydantic_config__ = STRICT

    start_seconds: float = 0.2
    stop_seconds: float = 0.05
    spare_kept: float = 0.4


def may_overflow(
    queue: PoolQueue,
    spare: PoolQueue,
    share: float,
    now: float,
    settings: OverflowSettings,
) -> bool:
    """Return whether one more request may start in the spare pool.

    `share` is this daemon's share of the spare pool, in slots, and `now`
    is in monotonic seconds. Sets `queue.overflowing`, which the next call
    reads to choose between the two bounds of the wait.
    """
    wait = queue.estimate_wait(queue.count_waiting() + 1, now)
    threshold = settings.start_seconds
    if queue.overflowing:
        threshold = settings.stop_seconds
    queue.overflowing = wait > threshold
    overflow_limit = share * (1 - settings.spare_kept)
    return (
        queue.overflowing
        and not spare.count_waiting()
        and spare.overflow_running + 1 <= overflow_limit
    )
