"""Delayed actions that run on a thread of their own."""

import heapq
import itertools
import threading
from collections.abc import Callable

from chestnutstair.state.deadline import Clock

__all__ = ["Timers"]


class Timers:
    """Runs delayed actions under the owner's lock.

    `after_batch` is called once after each batch of due actions, also
    under the lock.
    """

    def __init__(
        self,
        clock: Clock,
        lock: threading.Condition,
        after_batch: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._lock = lock
        self._after_batch = after_batch
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()  # orders actions due together
        self._stopped = False

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Run the action after `seconds`; the caller holds the lock."""
        at = self._clock.read_monotonic() + seconds
        number = next(self._sequence)
        heapq.heappush(self._heap, (at, number, action))
        if self._heap[0][1] == number:
            self._lock.notify_all()

    def run_due(self) -> None:
        """Run all actions that are due."""
        with self._lock:
            now = self._clock.read_monotonic()
            if not self._heap or self._heap[0][0] > now:
                return
            while self._heap and self._heap[0][0] <= now:
                heapq.heappop(self._heap)[2]()
            self._after_batch()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name="timers", daemon=True).start()

    def stop(self) -> None:
        """Make the thread end, without waiting for it."""
        with self._lock:
            self._stopped = True
            self._lock.notify_all()

    def _run(self) -> None:
        while True:
            with self._lock:
                if self._stopped:
                    return
                wait = None
                if self._heap:
                    now = self._clock.read_monotonic()
                    wait = max(0.0, self._heap[0][0] - now)
                self._lock.wait(wait)
            self.run_due()
