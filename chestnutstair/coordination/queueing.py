"""The queues of one pool: urgency classes, floors and wait estimates."""

import math
import threading
from collections import Counter, deque
from dataclasses import dataclass, field

from chestnutstair.coordination.request import QueueFullFailure, Request
from chestnutstair.coordination.retry import RetryBudget
from chestnutstair.coordination.router import TargetLoad
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.failure import Failure
from chestnutstair.state.fleet import Pool, UrgencyClass

__all__ = ["PoolQueue", "Waiter"]

EWMA_WEIGHT = 0.05  # of the newest sample in the average run time
RATE_DECAY_SECONDS = 1.0  # time constant of the completion rate


@dataclass(eq=False)
class Waiter:
    """A request waiting for a slot; its thread blocks on `decided`.

    Once `decided` is set, `load` is the granted target, or `failure` the
    reason of an eviction. Neither is set if the deadline passes first.
    """

    request: Request
    urgency: UrgencyClass
    decided: threading.Event = field(default_factory=threading.Event)
    load: TargetLoad | None = None
    failure: Failure | None = None


class PoolQueue:
    """The requests of one pool that this daemon holds, by urgency class.

    Shares are this daemon's share of the pool's slots, as a number of
    slots. Not thread-safe: the caller holds a lock.
    """

    def __init__(self, pool: Pool, budget: RetryBudget) -> None:
        self.pool = pool
        self.budget = budget
        self.running: Counter[str] = Counter()  # in the pool's slots, by class
        self.held: Counter[str] = Counter()  # waiting or running, by class
        self.overflow_running = 0  # other pools' requests in its slots
        self.overflowing = False  # sends requests to the spare pool
        self.clamped_until = Deadline(0.0)  # floors are enforced
        self.service_seconds = 0.0  # average run time
        self._queues: dict[str, deque[Waiter]] = {}
        self._completions = 0.0  # exponentially decaying count
        self._completions_at = 0.0  # monotonic seconds of the last one

    def count_running(self) -> int:
        """Return the number of requests that run in the pool's slots."""
        return self.running.total() + self.overflow_running

    def list_classes(self) -> list[UrgencyClass]:
        """Return the classes of the pool, most urgent first."""
        return sorted(self.pool.classes, key=lambda item: item.rank)

    def find_class(self, name: str) -> UrgencyClass | None:
        """Return the class, or the least urgent one for an empty name."""
        if not name:
            return self.list_classes()[-1]
        return next((c for c in self.pool.classes if c.name == name), None)

    def push(self, waiter: Waiter, at_head: bool) -> None:
        """Add the waiter at the tail or the head of its class's queue."""
        queue = self._queues.setdefault(waiter.urgency.name, deque())
        if at_head:
            queue.appendleft(waiter)
        else:
            queue.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove the waiter if it is still queued."""
        queue = self._queues.get(waiter.urgency.name)
        if queue is not None and waiter in queue:
            queue.remove(waiter)

    def get_queue(self, urgency: UrgencyClass) -> deque[Waiter]:
        """Return the waiters of one class, oldest first."""
        return self._queues.setdefault(urgency.name, deque())

    def list_waiting_classes(self, share: float) -> list[UrgencyClass]:
        """Return the classes with waiting requests, in order of service.

        Classes that run below their floor come first, then the more
        urgent ones.
        """
        waiting = [c for c in self.list_classes() if self.get_queue(c)]
        waiting.sort(key=lambda item: not self.is_below_floor(item, share))
        return waiting

    def count_ahead(self, urgency: UrgencyClass) -> int:
        """Return how many requests wait in this class or more urgent ones."""
        return sum(
            len(self.get_queue(item))
            for item in self.pool.classes
            if item.rank <= urgency.rank
        )

    def count_waiting(self) -> int:
        """Return the number of waiting requests of all classes."""
        return sum(len(queue) for queue in self._queues.values())

    def evict_less_urgent(self, urgency: UrgencyClass) -> bool:
        """Evict the newest waiter of the least urgent class that has any.

        Return False if no class less urgent than `urgency` has a waiter.
        """
        for item in reversed(self.list_classes()):
            if item.rank <= urgency.rank:
                return False
            queue = self.get_queue(item)
            if queue:
                waiter = queue.pop()
                waiter.failure = QueueFullFailure(self.pool.service)
                waiter.decided.set()
                return True
        return False

    def estimate_retry_after(self, now: float) -> float:
        """Estimate the seconds until all waiting requests have started.

        The estimate is at least 1 s.
        """
        return max(1.0, self.estimate_wait(self.count_waiting() + 1, now))

    def may_start(self, urgency: UrgencyClass, share: float) -> bool:
        """Return whether the class may start one more within the share.

        A class below its floor always may. For others the unused parts of
        the other classes' floors are kept free.
        """
        if self.is_below_floor(urgency, share):
            return True
        kept = sum(
            max(0.0, item.floor * share - self.running[item.name])
            for item in self.pool.classes
            if item.name != urgency.name
        )
        return self.running.total() + self.overflow_running + kept < share

    def has_room(self, urgency: UrgencyClass, limit: int) -> bool:
        """Return whether one more request may be held.

        Either the pool is below the limit, or the class is below its floor
        of the limit.
        """
        kept = urgency.floor * limit
        return self.held.total() < limit or self.held[urgency.name] < kept

    def is_below_floor(self, urgency: UrgencyClass, share: float) -> bool:
        """Return whether the class runs below its floor of the share."""
        return self.running[urgency.name] < urgency.floor * share

    def record_completion(self, seconds: float, now: float) -> None:
        """Record that a request ended after running for `seconds`."""
        weight = EWMA_WEIGHT if self.service_seconds else 1.0
        self.service_seconds += weight * (seconds - self.service_seconds)
        self._completions = self._decay(now) + 1.0
        self._completions_at = now

    def _decay(self, now: float) -> float:
        return self._completions * math.exp(
            (self._completions_at - now) / RATE_DECAY_SECONDS
        )

    def measure_completion_rate(self, now: float) -> float:
        """Return the completed requests per second, 0 if unknown.

        It is the larger of the recently measured rate and the running
        requests divided by the average run time.
        """
        measured = self._decay(now) / RATE_DECAY_SECONDS
        if self.service_seconds <= 0:
            return measured
        return max(measured, self.running.total() / self.service_seconds)

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until `ahead` requests start, 0 if unknown."""
        rate = self.measure_completion_rate(now)
        return ahead / rate if rate > 0 else 0.0
