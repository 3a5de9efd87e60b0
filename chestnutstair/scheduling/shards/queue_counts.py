"""Counts of waiting jobs by queue, summed over all shards."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    UnavailableFailure,
)
from chestnutstair.state.deadline import Clock

__all__ = ["QueueCounts", "QueueCountsSettings"]


@dataclass(frozen=True)
class QueueCountsSettings:
    """Ages of counts, and threads that ask for them."""

    # Counts of this age are asked for again.
    fresh_seconds: float = 0.8
    # Counts of a shard whose leader does not answer are used up to this age:
    # until another node leads it.
    longest_seconds: float = 5.0
    # Shards asked in parallel.
    threads: int = 8


@dataclass(frozen=True)
class _ShardCounts:
    """Counts of one shard; `asked_at` and `at` are monotonic times."""

    asked_at: float
    at: float
    counts: dict[str, int]


class QueueCounts:
    """Asks each shard at most once in `fresh_seconds`, for all queues.

    `ask` returns the counts of one shard by queue.
    """

    def __init__(
        self,
        ask: Callable[[int], Result[dict[str, int], PlatformFailure]],
        clock: Clock,
        settings: QueueCountsSettings,
    ) -> None:
        self._ask = ask
        self._clock = clock
        self._settings = settings
        self._lock = threading.Lock()
        self._shards: dict[int, _ShardCounts] = {}
        self._threads = ThreadPoolExecutor(
            settings.threads, thread_name_prefix="counts"
        )

    def count(self, queue: str, shards: int) -> Result[int, PlatformFailure]:
        """Return how many jobs of a queue wait in all shards together.

        Fails while a shard's leader has not answered for longer than
        `longest_seconds`.
        """
        with self._lock:
            now = self._clock.read_monotonic()
            asked = [
                shard
                for shard in range(shards)
                if self._is_due(self._shards.get(shard), now)
            ]
            for shard, counts in zip(
                asked, self._threads.map(self._ask, asked), strict=True
            ):
                self._record(shard, counts)
            now = self._clock.read_monotonic()
            known = [self._shards[shard] for shard in range(shards)]
        oldest = min(counts.at for counts in known)
        if now - oldest > self._settings.longest_seconds:
            return Err(UnavailableFailure("the leader of a shard is silent"))
        return Ok(sum(counts.counts.get(queue, 0) for counts in known))

    def _is_due(self, counts: _ShardCounts | None, now: float) -> bool:
        if counts is None:
            return True
        return now - counts.asked_at >= self._settings.fresh_seconds

    def _record(
        self, shard: int, answer: Result[dict[str, int], PlatformFailure]
    ) -> None:
        now = self._clock.read_monotonic()
        before = self._shards.get(shard)
        match answer:
            case Ok(counts):
                self._shards[shard] = _ShardCounts(now, now, counts)
            case Err(_):
                at = before.at if before is not None else float("-inf")
                counts = before.counts if before is not None else {}
                self._shards[shard] = _ShardCounts(now, at, counts)
