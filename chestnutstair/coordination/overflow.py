"""Decides when a pool's requests may spill into the spare pool."""

from dataclasses import dataclass

from chestnutstair.coordination.queueing import PoolQueue
from chestnutstair.state.codec import STRICT

__all__ = ["OverflowSettings", "may_overflow"]


@dataclass(frozen=True)
class OverflowSettings:
    """When to spill; times in seconds.

    A queue that would take longer than `start_seconds` spills until it
    would take less than `stop_seconds`; `spare_kept` is the share of the
    spare pool that is left to the pool's own service.
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
    """Tell whether one more request may start in the spare pool.

    `share` is this daemon's part of the spare pool's slots. Notes in the
    queue whether it spills, for the next decision.
    """
    wait = queue.estimate_wait(queue.count_waiting() + 1, now)
    bound = settings.start_seconds
    if queue.overflowing:
        bound = settings.stop_seconds
    queue.overflowing = wait > bound
    room = share * (1 - settings.spare_kept)
    return (
        queue.overflowing
        and not spare.count_waiting()
        and spare.overflow_running + 1 <= room
    )
