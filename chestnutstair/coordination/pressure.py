"""Enforces the floors of urgency classes in a pool on all daemons."""

from collections.abc import Callable
from dataclasses import dataclass

from chestnutstair.coordination.messenger import (
    Membership,
    Message,
    Messenger,
)
from chestnutstair.coordination.queueing import PoolQueue
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline

__all__ = ["PressureController", "PressureMessage", "PressureSettings"]


@dataclass(frozen=True)
class PressureMessage(Message):
    """A class below its floor found no free slot in the pool."""

    pool: str


@dataclass(frozen=True)
class PressureSettings:
    """How the floors of urgency classes are enforced under pressure.

    - `clamp_seconds`: how long a pool is clamped after a daemon announced
      that a class below its floor found no free slot. In a clamped pool
      each daemon keeps to its share of the slots and keeps the unused
      floors in it free.
    """

    __pydantic_config__ = STRICT

    clamp_seconds: float = 2.0


class PressureController:
    """Clamps pools here and, at a bounded rate, on the other daemons.

    In a clamped pool each daemon keeps to its share of the slots and
    keeps the unused floors of the classes free. In other pools any daemon
    may use any free slot, which needs no coordination. Not thread-safe.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        messenger: Messenger,
        schedule: Callable[[float, Callable[[], None]], None],
        settings: PressureSettings,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._messenger = messenger
        self._schedule = schedule
        self._settings = settings

    def clamp(self, queue: PoolQueue) -> None:
        """Enforce the floors of the pool's classes for `clamp_seconds`."""
        seconds = self._settings.clamp_seconds
        queue.clamped_until = Deadline.after(self._clock, seconds)
        self._schedule(seconds, lambda: None)

    def announce(self, queue: PoolQueue) -> None:
        """Clamp the pool here and on all other live daemons.

        Does nothing while more than half of the current clamp is left,
        which bounds the rate of messages.
        """
        half = self._settings.clamp_seconds / 2
        if queue.clamped_until.get_remaining_seconds(self._clock) > half:
            return
        self.clamp(queue)
        own = self._membership.get_self().name
        for member in self._membership.list_live():
            if member.name != own:
                message = PressureMessage(queue.pool.name)
                self._messenger.send(member.name, message)
