"""Deadlines on the monotonic clock, and the clock that they use."""

import time
from dataclasses import dataclass

__all__ = ["Clock", "Deadline", "SystemClock"]


class Clock:
    """A source of monotonic and wall-clock seconds."""

    def read_monotonic(self) -> float:
        """Return monotonic seconds, comparable within one process only."""
        raise NotImplementedError

    def read_boottime(self) -> float:
        """Return monotonic seconds, including time in system suspend."""
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
        """Return monotonic seconds, including time in system suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self) -> float:
        """Return seconds since the epoch, for records and due dates."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for the given seconds."""
        time.sleep(seconds)


@dataclass(frozen=True, order=True)
class Deadline:
    """A point in time on this process's monotonic clock, in seconds."""

    at: float

    @classmethod
    def after(cls, clock: Clock, seconds: float) -> "Deadline":
        """Return the deadline that expires in the given seconds."""
        return cls(clock.read_monotonic() + seconds)

    def get_remaining_seconds(self, clock: Clock) -> float:
        """Return the seconds until the deadline, or 0 if it has passed."""
        return max(0.0, self.at - clock.read_monotonic())

    def has_passed(self, clock: Clock) -> bool:
        """Return whether the deadline has passed."""
        return clock.read_monotonic() >= self.at
