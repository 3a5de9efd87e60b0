"""The queue of one pool: classes by rank, floors and the drain rate."""

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

EWMA_WEIGHT = 0.05  # weight of the newest sample in an average
RATE_DECAY_SECONDS = 1.0  # time constant of the measured drain rate


@dataclass(eq=False)
class Waiter:
    """A request that waits for a slot, on the thread that serves it."""

    request: Request
    urgency: UrgencyClass
    decided: threading.Event = field(default_factory=threading.Event)
    load: TargetLoad | None = None
    failure: Failure | None = None


class PoolQueue:
    """What one pool's requests hold and wait for on this daemon.

    Not safe for threads: its user holds a lock.
    """

    def __init__(self, pool: Pool, budget: RetryBudget) -> None:
        self.pool = pool
        self.budget = budget
        self.running: Counter[str] = Counter()  # by class
        self.held: Counter[str] = Counter()  # waiting or running, by class
        self.overflow_running = 0  # running here for other pools
        self.overflowing = False
        self.clamped_until = Deadline(0.0)
        self.service_seconds = 0.0  # average run time
        self._queues: dict[str, deque[Waiter]] = {}
        self._completions = 0.0
        self._completions_at = 0.0

    def count_running(self) -> int:
        """Return how many requests run in the pool's slots."""
        return self.running.total() + self.overflow_running

    def list_classes(self) -> list[UrgencyClass]:
        """Return the classes of the pool, the most urgent first."""
        return sorted(self.pool.classes, key=lambda item: item.rank)

    def find_class(self, name: str) -> UrgencyClass | None:
        """Return the class, or the least urgent one for an empty name."""
        if not name:
            return self.list_classes()[-1]
        return next((c for c in self.pool.classes if c.name == name), None)

    def push(self, waiter: Waiter, at_head: bool) -> None:
        """Add the waiter at the end of its class, or at its head."""
        queue = self._queues.setdefault(waiter.urgency.name, deque())
        if at_head:
            queue.appendleft(waiter)
        else:
            queue.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Drop a waiter that gave up."""
        queue = self._queues.get(waiter.urgency.name)
        if queue is not None and waiter in queue:
            queue.remove(waiter)

    def get_queue(self, urgency: UrgencyClass) -> deque[Waiter]:
        """Return the waiters of one class, the oldest first."""
        return self._queues.setdefault(urgency.name, deque())

    def list_waiting_classes(self, share: float) -> list[UrgencyClass]:
        """Return the classes that wait, those below their floor first."""
        waiting = [c for c in self.list_classes() if self.get_queue(c)]
        waiting.sort(key=lambda item: not self.is_below_floor(item, share))
        return waiting

    def count_ahead(self, urgency: UrgencyClass) -> int:
        """Return how many wait in this class and the more urgent ones."""
        return sum(
            len(self.get_queue(item))
            for item in self.pool.classes
            if item.rank <= urgency.rank
        )

    def count_waiting(self) -> int:
        """Return how many wait in all classes."""
        return sum(len(queue) for queue in self._queues.values())

    def evict_less_urgent(self, urgency: UrgencyClass) -> bool:
        """Refuse the youngest waiter of the least urgent lower class."""
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
        """Return the seconds in which all that wait should have started."""
        return max(1.0, self.estimate_wait(self.count_waiting() + 1, now))

    def may_start(self, urgency: UrgencyClass, share: float) -> bool:
        """Tell whether the class may start one more within the share.

        `share` is this daemon's part of the pool's slots. What other
        classes have not used of their floors is kept free for them.
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
        """Tell whether one more may be held, by the pool or by a floor."""
        kept = urgency.floor * limit
        return self.held.total() < limit or self.held[urgency.name] < kept

    def is_below_floor(self, urgency: UrgencyClass, share: float) -> bool:
        """Tell whether the class runs less than its floor of the share."""
        return self.running[urgency.name] < urgency.floor * share

    def record_completion(self, seconds: float, now: float) -> None:
        """Count a request that ran for the seconds."""
        weight = EWMA_WEIGHT if self.service_seconds else 1.0
        self.service_seconds += weight * (seconds - self.service_seconds)
        self._completions = self._decay(now) + 1.0
        self._completions_at = now

    def _decay(self, now: float) -> float:
        return self._completions * math.exp(
            (self._completions_at - now) / RATE_DECAY_SECONDS
        )

    def measure_completion_rate(self, now: float) -> float:
        """Return the requests a second that end here, 0 if not known."""
        measured = self._decay(now) / RATE_DECAY_SECONDS
        if self.service_seconds <= 0:
            return measured
        return max(measured, self.running.total() / self.service_seconds)

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until that many have started, 0 if unknown."""
        rate = self.measure_completion_rate(now)
        return ahead / rate if rate > 0 else 0.0
