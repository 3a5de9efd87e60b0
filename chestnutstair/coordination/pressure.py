"""Tells all daemons to hold classes to their shares of a pool."""

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
    """A class of the pool found the slots of its floor taken."""

    pool: str


@dataclass(frozen=True)
class PressureSettings:
    """How long classes are held to their shares after a message."""

    __pydantic_config__ = STRICT

    clamp_seconds: float = 2.0


class PressureController:
    """Clamps pools here and, at a bounded rate, on the other daemons.

    Without pressure any daemon may use any free slot, and pays nothing to
    coordinate. Not safe for threads.
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
        """Hold the pool's classes to their shares for a while."""
        seconds = self._settings.clamp_seconds
        queue.clamped_until = Deadline.after(self._clock, seconds)
        self._schedule(seconds, lambda: None)

    def announce(self, queue: PoolQueue) -> None:
        """Clamp the pool, and tell the others unless just told."""
        half = self._settings.clamp_seconds / 2
        if queue.clamped_until.measure_left(self._clock) > half:
            return
        self.clamp(queue)
        own = self._membership.get_self().name
        for member in self._membership.list_live():
            if member.name != own:
                message = PressureMessage(queue.pool.name)
                self._messenger.send(member.name, message)
