"""Follows configurations and maintenance waves, on every node."""

import logging
import threading
from collections.abc import Callable

from chestnutstair.scheduling.change_feed import ChangeFeed
from chestnutstair.scheduling.configuration import (
    FleetConfiguration,
    MaintenanceWave,
)
from chestnutstair.scheduling.metrics import MALFORMED_ENTRIES
from chestnutstair.scheduling.ports import (
    Changes,
    Row,
    RowStore,
    WireDecoder,
)
from chestnutstair.state.deadline import Clock
from chestnutstair.state.fields import MalformedFieldError

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
        # The last one that could not be decoded.
        self._rejected: bytes | None = None
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
    def is_feed_failing(self) -> bool:
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
        """The configuration in force, for other nodes; None before the first.

        As the operator wrote it, but with digests instead of keys.
        """
        return self._value

    @property
    def waves(self) -> list[MaintenanceWave]:
        """The requested maintenance waves, oldest (lowest number) first."""
        with self._lock:
            return [self._waves[number] for number in sorted(self._waves)]

    def _apply(self, changes: Changes) -> None:
        for row in changes.rows:
            try:
                self._apply_row(row)
            except Exception:
                # An error for one row must not keep the others from being
                # applied.
                logger.exception(
                    "operator's row cannot be applied",
                    extra={"key": row.key.key},
                )
        self._on_change()

    def _apply_row(self, row: Row) -> None:
        if row.key.key == CONFIGURATION_KEY and row.value is not None:
            self.apply_if_newer(row.value, "store")
        elif row.key.key.startswith(WAVE_PREFIX):
            self._apply_wave(row)

    def _apply_wave(self, row: Row) -> None:
        if row.value is None:
            return
        wave = self._decoder.read_wave(row.value)
        if wave is None:
            MALFORMED_ENTRIES.labels("wave").inc()
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
        if value == self._rejected:
            # Nodes offer it again and again.
            MALFORMED_ENTRIES.labels("configuration").inc()
            return
        configuration = self._decoder.read_configuration(value)
        try:
            encoded = self._decoder.remove_keys(value)
        except MalformedFieldError:
            configuration = None
        if configuration is None:
            self._rejected = value
            MALFORMED_ENTRIES.labels("configuration").inc()
            logger.error(
                "configuration cannot be decoded", extra={"source": source}
            )
            return
        with self._lock:
            if configuration.version <= self.configuration_version:
                return
            previous_version = self.configuration_version
            self._value = encoded
            self._configuration = configuration
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "before": previous_version,
                "source": source,
                "queues": len(configuration.queues),
                "organisations": len(configuration.organisations or {}),
            },
        )
        self._on_change()
