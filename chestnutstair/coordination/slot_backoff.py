"""Backs off from targets that refused because their slots were full."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from chestnutstair.coordination.router import (
    ClosedReason,
    Router,
    TargetLoad,
)
from chestnutstair.state.codec import STRICT

__all__ = ["SlotBackoff", "SlotSettings"]


@dataclass(frozen=True)
class SlotSettings:
    """The shortest and the longest pause after a refusal, in seconds."""

    __pydantic_config__ = STRICT

    first_seconds: float = 0.01
    last_seconds: float = 0.32


class SlotBackoff:
    """Daemons share a target's slots by sending and being refused.

    A target that refused gets one request at a time: it is closed for a
    pause, which doubles with each refusal. An end of one of this daemon's
    own requests there opens it again and halves the next pause. Not safe
    for threads.
    """

    def __init__(
        self,
        router: Router,
        settings: SlotSettings,
        schedule: Callable[[float, Callable[[], None]], None],
        seed: int | None = None,
    ) -> None:
        self._router = router
        self._settings = settings
        self._schedule = schedule
        self._random = random.Random(seed)
        self._pauses: dict[str, float] = {}
        self._close_counts: Counter[str] = Counter()

    def record_send(self, load: TargetLoad) -> None:
        """Close a target that refused lately while this request is there."""
        pause = self._pauses.get(load.vm.name, 0.0)
        if pause > self._settings.first_seconds:
            self._close(load, pause)

    def record_refusal(self, load: TargetLoad) -> None:
        """Close a target that was full, and double its next pause."""
        first = self._settings.first_seconds
        pause = self._pauses.get(load.vm.name, first)
        doubled = min(2 * pause, self._settings.last_seconds)
        self._pauses[load.vm.name] = doubled
        self._close(load, pause)

    def record_completion(self, load: TargetLoad) -> None:
        """Open a target on which a slot has just become free."""
        name = load.vm.name
        pause = self._pauses.get(name)
        if pause is None:
            return
        self._router.reopen(name, ClosedReason.FULL)
        if pause <= self._settings.first_seconds:
            del self._pauses[name]
        else:
            self._pauses[name] = pause / 2

    def _close(self, load: TargetLoad, pause: float) -> None:
        name = load.vm.name
        self._router.close(name, ClosedReason.FULL)
        self._close_counts[name] += 1
        number = self._close_counts[name]

        def reopen() -> None:
            if self._close_counts[name] == number:
                self._router.reopen(name, ClosedReason.FULL)

        self._schedule(pause * self._random.uniform(0.5, 1.0), reopen)
