"""Backoff from targets that refuse requests because they are full."""

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
    """Backoff from a target that refused a request because it was full.

    - `first_seconds`: pause after the first refusal. The pause doubles
      with each further refusal.
    - `last_seconds`: the longest pause.
    """

    __pydantic_config__ = STRICT

    first_seconds: float = 0.01
    last_seconds: float = 0.32


class SlotBackoff:
    """Closes full targets for a pause with exponential backoff.

    Daemons share the slots of a target without coordination: each sends
    until the target refuses. A target that refused gets one request at a
    time, as it is closed for a pause after each one. The pause doubles
    with each refusal and has jitter. When one of this daemon's requests
    to the target ends, the target is opened and the next pause is halved.
    Not thread-safe.
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
        # A timer reopens a target only if its count has not changed since.
        self._close_counts: Counter[str] = Counter()

    def record_send(self, load: TargetLoad) -> None:
        """Close a recently full target until the pause or a request ends."""
        pause = self._pauses.get(load.vm.name, 0.0)
        if pause > self._settings.first_seconds:
            self._close(load, pause)

    def record_refusal(self, load: TargetLoad) -> None:
        """Close a target that was full and double its next pause."""
        first = self._settings.first_seconds
        pause = self._pauses.get(load.vm.name, first)
        doubled = min(2 * pause, self._settings.last_seconds)
        self._pauses[load.vm.name] = doubled
        self._close(load, pause)

    def record_completion(self, load: TargetLoad) -> None:
        """Open a target that has just freed a slot; halve its next pause."""
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
