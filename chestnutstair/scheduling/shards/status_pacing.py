"""Tells pollers how long to wait, so that a leader gets few status calls."""

import threading

from chestnutstair.state.deadline import Clock

__all__ = ["PollPacer"]

POLL_SECONDS = 0.25  # interval of a leader with few pollers
# A status call takes about 0.5 ms of processor time, so that this many use
# 0.04 of a core.
CALLS_PER_SECOND = 80
# How long a poller is remembered after its last call: several of its
# intervals while there are fewer than 270 of them.
MEMORY_SECONDS = 10.0


class PollPacer:
    """Counts pollers and derives their interval.

    A node that polls for two shards counts as two pollers.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._heard_at: dict[str, float] = {}
        self._pruned_at = clock.read_monotonic()

    def count_nodes(self, shard: int) -> int:
        """Return how many nodes have polled for a shard lately."""
        with self._lock:
            suffix = f"/{shard}"
            return sum(name.endswith(suffix) for name in self._heard_at)

    def record(self, node: str, shard: int) -> float:
        """Record a call and return the seconds until the node's next."""
        poller = f"{node}/{shard}"
        now = self._clock.read_monotonic()
        with self._lock:
            self._heard_at[poller] = now
            longest = 3 * len(self._heard_at) / CALLS_PER_SECOND
            memory_seconds = max(MEMORY_SECONDS, longest)
            if now - self._pruned_at >= memory_seconds / 10:
                self._pruned_at = now
                self._heard_at = {
                    name: at
                    for name, at in self._heard_at.items()
                    if now - at <= memory_seconds
                }
            interval = len(self._heard_at) / CALLS_PER_SECOND
            return max(POLL_SECONDS, interval)
