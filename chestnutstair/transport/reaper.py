"""Shuts down sockets whose deadline has passed."""

import contextlib
import heapq
import itertools
import logging
import socket
import threading

from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["SocketReaper"]

logger = logging.getLogger(__name__)

# Entries below which outdated ones are left in the heap.
MIN_HEAP = 128


class SocketReaper:
    """Limits the total time of an exchange, which socket timeouts cannot.

    A socket timeout restarts with every byte that arrives, so a peer that
    sends a byte now and then would occupy its thread forever.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._wakeup = threading.Condition()
        # Entries by deadline: (deadline, number, socket). An entry is out of
        # date unless its number is the socket's current one.
        self._heap: list[tuple[float, int, socket.socket]] = []
        self._current_numbers: dict[socket.socket, int] = {}
        self._numbers = itertools.count()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="socket-reaper", daemon=True
        )
        self._thread.start()

    def add(self, sock: socket.socket, deadline: Deadline) -> None:
        """Shut the socket down at the deadline; replaces its previous one."""
        with self._wakeup:
            number = next(self._numbers)
            self._current_numbers[sock] = number
            heapq.heappush(self._heap, (deadline.at, number, sock))
            if self._heap[0][1] == number:
                self._wakeup.notify()

    def discard(self, sock: socket.socket) -> None:
        """Cancel the deadline of the socket."""
        with self._wakeup:
            self._current_numbers.pop(sock, None)
            if len(self._heap) > 2 * len(self._current_numbers) + MIN_HEAP:
                self._remove_outdated()

    def _remove_outdated(self) -> None:
        """Remove entries that would keep sockets until their deadlines."""
        self._heap = [
            entry
            for entry in self._heap
            if self._current_numbers.get(entry[2]) == entry[1]
        ]
        heapq.heapify(self._heap)

    def stop(self) -> None:
        """Stop the thread; sockets with a pending deadline stay open."""
        with self._wakeup:
            self._stopped = True
            self._wakeup.notify()
        self._thread.join()

    def _run(self) -> None:
        with self._wakeup:
            while not self._stopped:
                self._shut_down_expired()
                self._wakeup.wait(self._measure_wait())

    def _measure_wait(self) -> float | None:
        if not self._heap:
            return None
        return max(0.0, self._heap[0][0] - self._clock.read_monotonic())

    def _shut_down_expired(self) -> None:
        now = self._clock.read_monotonic()
        while self._heap and self._heap[0][0] <= now:
            _, number, sock = heapq.heappop(self._heap)
            if self._current_numbers.get(sock) != number:
                continue
            del self._current_numbers[sock]
            logger.info("shutting down a socket past its deadline")
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
