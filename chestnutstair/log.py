"""Logging as JSON lines, on standard error or through a queue on stdout."""

import logging
import logging.handlers
import queue
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logging", "configure_queued_logging"]

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {
    "asctime": "time",
    "levelname": "level",
    "name": "logger",
}

# About 2 MB; records beyond this are dropped and counted.
MAX_QUEUED_RECORDS = 4000


class _DroppingHandler(logging.handlers.QueueHandler):
    """Queues records for a writer thread; drops them if the queue is full."""

    def __init__(self, records: "queue.Queue[Any]") -> None:
        super().__init__(records)
        self._dropped = 0

    def prepare(self, record: logging.LogRecord) -> Any:
        """Return the record as it is; the writer thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue the record without blocking, or drop it.

        The next queued record has the number of records dropped before it in
        `dropped_before`.
        """
        if self._dropped:
            record.dropped_before = self._dropped
        try:
            self.queue.put_nowait(record)
            self._dropped = 0
        except queue.Full:
            self._dropped += 1


class _Writer(logging.StreamHandler[Any]):
    """Writes records; drops those that cannot be formatted."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record."""
        try:
            super().emit(record)
        except RecursionError:
            # The base class handles all other errors. This one would end the
            # listener's thread, and with it all logging.
            self.handleError(record)


def configure_queued_logging(
    level: str, vm: str, zone: str
) -> logging.handlers.QueueListener:
    """Write records to standard output from a thread, without blocking.

    Returns the listener; stopping it writes the records still queued.
    """
    writer = _Writer(sys.stdout)
    writer.setFormatter(
        JsonFormatter(
            FORMAT,
            rename_fields=RENAMED_FIELDS,
            static_fields={"entry_vm": vm, "zone": zone},
        )
    )
    records: queue.Queue[Any] = queue.Queue(MAX_QUEUED_RECORDS)
    listener = logging.handlers.QueueListener(records, writer)
    handler = _DroppingHandler(records)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in ("cherrypy.access", "cherrypy.error", "urllib3"):
        logging.getLogger(name).setLevel(logging.ERROR)
    listener.start()
    return listener


def configure_logging(level: str, vm: str, zone: str) -> None:
    """Write every record at or above the level to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            FORMAT,
            rename_fields=RENAMED_FIELDS,
            static_fields={"entry_vm": vm, "zone": zone},
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in ("cherrypy.access", "cherrypy.error"):
        logging.getLogger(name).setLevel(logging.WARNING)
