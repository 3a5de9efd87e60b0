"""Temporary ejection of targets that fail or are slow."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from chestnutstair.coordination.router import (
    ClosedReason,
    Router,
    TargetLoad,
)
from chestnutstair.state.codec import STRICT

__all__ = ["EjectionSettings", "Ejector"]

logger = logging.getLogger(__name__)

EWMA_WEIGHT = 0.1  # of the newest sample in an average


@dataclass(frozen=True)
class EjectionSettings:
    """When targets are ejected and for how long.

    - `failures`: consecutive failures after which a target is ejected.
    - `slow_factor`: a target is ejected as slow if its average answer time
      exceeds the average of the pool by this factor.
    - `slow_samples`: answers needed before a target counts as slow.
    - `share`: the largest share of a pool's targets that may be ejected at
      the same time.
    - `first_seconds`: duration of the first ejection. Each further one
      lasts twice as long.
    - `last_seconds`: the longest duration of an ejection.
    """

    __pydantic_config__ = STRICT

    failures: int = 3
    slow_factor: float = 4.0
    slow_samples: int = 20
    share: float = 0.34
    first_seconds: float = 5.0
    last_seconds: float = 60.0


@dataclass
class _Health:
    pool: str
    failures: int = 0  # consecutive
    samples: int = 0
    seconds: float = 0.0  # average time of an answer
    ejections: int = 0  # doublings of the next ejection's duration
    ejected: bool = False


class Ejector:
    """Ejects targets by the results of their requests.

    A readmitted target starts with one request at a time. Each success
    doubles this limit up to the target's slots. Not thread-safe.
    """

    def __init__(
        self,
        router: Router,
        settings: EjectionSettings,
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self._router = router
        self._settings = settings
        self._schedule = schedule
        self._healths: dict[str, _Health] = {}
        self._ejected: dict[str, int] = {}  # by pool

    def record_success(
        self, load: TargetLoad, seconds: float, pool_seconds: float
    ) -> None:
        """Record an answer after `seconds` and eject a slow target.

        `pool_seconds` is the average answer time in the pool.
        """
        health = self._find(load)
        health.failures = 0
        health.samples += 1
        weight = max(EWMA_WEIGHT, 1 / health.samples)
        health.seconds += weight * (seconds - health.seconds)
        limit = self._settings.slow_factor * pool_seconds
        if (
            health.samples >= self._settings.slow_samples
            and health.seconds > limit
        ):
            self._eject(load, health)
        elif load.limit < load.slots:
            health.ejections = max(0, health.ejections - 1)
            self._router.set_limit(load, min(load.slots, 2 * load.limit))

    def record_failure(self, load: TargetLoad) -> None:
        """Record a lost or failed request; eject after too many in a row."""
        health = self._find(load)
        health.failures += 1
        if health.failures >= self._settings.failures:
            self._eject(load, health)

    def _readmit(self, load: TargetLoad) -> None:
        """Readmit an ejected target with one request at a time."""
        health = self._find(load)
        health.ejected = False
        health.failures = 0
        health.samples = 0
        self._ejected[health.pool] -= 1
        self._router.set_limit(load, 1)
        self._router.reopen(load.vm.name, ClosedReason.EJECTED)

    def _find(self, load: TargetLoad) -> _Health:
        name = load.vm.name
        return self._healths.setdefault(name, _Health(load.pool))

    def _eject(self, load: TargetLoad, health: _Health) -> None:
        limit = self._settings.share * self._router.count_targets(load.pool)
        ejected = self._ejected.get(load.pool, 0)
        if health.ejected or ejected + 1 > limit:
            return
        health.ejected = True
        health.pool = load.pool
        self._ejected[load.pool] = ejected + 1
        self._router.close(load.vm.name, ClosedReason.EJECTED)
        logger.warning("target ejected", extra={"vm": load.vm.name})
        seconds = self._settings.first_seconds * 2.0**health.ejections
        health.ejections += 1
        duration = min(seconds, self._settings.last_seconds)
        self._schedule(duration, lambda: self._readmit(load))
