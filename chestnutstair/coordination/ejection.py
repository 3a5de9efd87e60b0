"""Takes targets that fail or are slow out of use for a while."""

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

EWMA_WEIGHT = 0.1  # weight of the newest sample in an average


@dataclass(frozen=True)
class EjectionSettings:
    """When targets are ejected and for how long.

    `share` bounds the ejected part of a pool. The first ejection lasts
    `first_seconds`; each further one twice as long, up to `last_seconds`.
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
    failures: int = 0
    samples: int = 0
    seconds: float = 0.0
    ejections: int = 0
    ejected: bool = False


class Ejector:
    """Judges targets by how their requests end.

    A target that returns starts with one request at a time; each success
    doubles that up to its slots. Not safe for threads.
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
        self._ejected: dict[str, int] = {}

    def record_success(
        self, load: TargetLoad, seconds: float, pool_seconds: float
    ) -> None:
        """Note an answer; `pool_seconds` is the average of the pool."""
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
        """Note a lost or failed request."""
        health = self._find(load)
        health.failures += 1
        if health.failures >= self._settings.failures:
            self._eject(load, health)

    def _readmit(self, load: TargetLoad) -> None:
        """Let an ejected target back with one request at a time."""
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
        bounded = min(seconds, self._settings.last_seconds)
        self._schedule(bounded, lambda: self._readmit(load))
