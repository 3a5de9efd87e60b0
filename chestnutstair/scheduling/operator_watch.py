"""Follows configurations and maintenance waves, on every node."""

import logging
import threading
from collections.abc import Callable

from chestnutstair.scheduling.change_feed import ChangeFeed
from chestnutstair.scheduling.configuration import (
    FleetConfiguration,
    MaintenanceWave,
)
from chestnutstair.scheduling.ports import (
    Changes,
    Row,
    RowStore,
    WireDecoder,
)
from chestnutstair.state.deadline import Clock

__all__ = ["OperatorWatch"]

logger = logging.getLogger(__name__)

OPERATOR_TABLE = "op"
OPERATOR_PARTITION = ""
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
# Duration of one long poll. A dead connection is detected after this and the
# slack of a read, early enough for a configuration to be in force within two
# more seconds.
WAIT_SECONDS = 1.0


class OperatorWatch:
    """Holds the newest configuration and the maintenance waves.

    A configuration is never replaced by one of a lower version, whether it
    comes from the store or from another node. `on_change` is called after
    every change.
    """

    def __init__(
        self,
        store: RowStore,
        decoder: WireDecoder,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        self._decoder = decoder
        self._on_change = on_change
        self._lock = threading.Lock()
        self._configuration: FleetConfiguration | None = None
        self._value: bytes | None = None
        self._waves: dict[int, MaintenanceWave] = {}
        self._feed = ChangeFeed(
            store,
            clock,
            OPERATOR_TABLE,
            OPERATOR_PARTITION,
            None,
            self._apply,
            self._apply,
            0.0,
            WAIT_SECONDS,
        )

    def start(self) -> None:
        """Start following the operator's table."""
        self._feed.start()

    def stop(self) -> None:
        """Stop following the operator's table."""
        self._feed.stop()

    @property
    def is_failing(self) -> bool:
        """Whether the store does not answer this node."""
        return self._feed.is_failing

    @property
    def configuration(self) -> FleetConfiguration | None:
        """The configuration in force, None before the first."""
        return self._configuration

    @property
    def configuration_version(self) -> int:
        """The version of the configuration in force, 0 before the first."""
        configuration = self._configuration
        return configuration.version if configuration is not None else 0

    @property
    def encoded_configuration(self) -> bytes | None:
        """The configuration in force as the operator wrote it.

        None before the first.
        """
        return self._value

    @property
    def waves(self) -> list[MaintenanceWave]:
        """The requested maintenance waves, oldest (lowest number) first."""
        with self._lock:
            return [self._waves[number] for number in sorted(self._waves)]

    def _apply(self, changes: Changes) -> None:
        for row in changes.rows:
            if row.key.key == CONFIGURATION_KEY and row.value is not None:
                self.apply_if_newer(row.value, "store")
            elif row.key.key.startswith(WAVE_PREFIX):
                self._apply_wave(row)
        self._on_change()

    def _apply_wave(self, row: Row) -> None:
        if row.value is None:
            return
        wave = self._decoder.read_wave(row.value)
        if wave is None:
            logger.error(
                "maintenance wave cannot be decoded",
                extra={"key": row.key.key},
            )
            return
        with self._lock:
            self._waves[wave.number] = wave
        logger.info(
            "maintenance wave received",
            extra={
                "wave": wave.number,
                "vms": len(wave.vms),
                "cap": wave.cap,
                "seconds": wave.seconds,
            },
        )

    def apply_if_newer(self, value: bytes, source: str) -> None:
        """Put a configuration in force if its version is higher.

        `value` is the encoded configuration; one that cannot be decoded is
        logged and ignored. `source` names its origin in the log.
        """
        configuration = self._decoder.read_configuration(value)
        if configuration is None:
            logger.error(
                "configuration cannot be decoded", extra={"source": source}
            )
            return
        with self._lock:
            if configuration.version <= self.configuration_version:
                return
            previous_version = self.configuration_version
            self._value = value
            self._configuration = configuration
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "before": previous_version,
                "source": source,
                "queues": len(configuration.queues),
            },
        )
        self._on_change()
