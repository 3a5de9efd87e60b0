"""Deadlines on the monotonic clock, and the clock they are read from."""

import time
from dataclasses import dataclass

__all__ = ["Clock", "Deadline", "SystemClock"]


class Clock:
    """A source of monotonic and wall-clock seconds."""

    def read_monotonic(self) -> float:
        """Return monotonic seconds, comparable within one process only."""
        raise NotImplementedError

    def read_boottime(self) -> float:
        """Return monotonic seconds that also count time in suspension."""
        return self.read_monotonic()

    def read_wall(self) -> float:
        """Return seconds since the epoch, for records and due dates."""
        raise NotImplementedError

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for the given seconds."""
        raise NotImplementedError


class SystemClock(Clock):
    """The clock of the operating system."""

    def read_monotonic(self) -> float:
        """Return monotonic seconds, comparable within one process only."""
        return time.monotonic()

    def read_boottime(self) -> float:
        """Return monotonic seconds that also count time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self) -> float:
        """Return seconds since the epoch, for records and due dates."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for the given seconds."""
        time.sleep(seconds)


@dataclass(frozen=True, order=True)
class Deadline:
    """A moment on the monotonic clock of this process, in seconds."""

    at: float

    @classmethod
    def after(cls, clock: Clock, seconds: float) -> "Deadline":
        """Return the deadline that lies the given seconds ahead."""
        return cls(clock.read_monotonic() + seconds)

    def get_remaining_seconds(self, clock: Clock) -> float:
        """Return the seconds left, never below zero."""
        return max(0.0, self.at - clock.read_monotonic())

    def has_passed(self, clock: Clock) -> bool:
        """Tell whether the deadline lies in the past."""
        return clock.read_monotonic() >= self.at
