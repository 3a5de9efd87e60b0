"""Logs as JSON lines on standard error, decisions on standard output."""

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

MAX_QUEUED_RECORDS = (
    4000  # about 2 MB; beyond, records are dropped and counted
)


class _DroppingHandler(logging.handlers.QueueHandler):
    """Hands records to the writer's thread, and drops what it can't take."""

    def __init__(self, records: "queue.Queue[Any]") -> None:
        super().__init__(records)
        self._dropped = 0

    def prepare(self, record: logging.LogRecord) -> Any:
        """Leave the formatting to the writer's thread."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Never block; tell with the next record how many were dropped."""
        if self._dropped:
            record.dropped_before = self._dropped
        try:
            self.queue.put_nowait(record)
            self._dropped = 0
        except queue.Full:
            self._dropped += 1


def configure_queued_logging(
    level: str, vm: str, zone: str
) -> logging.handlers.QueueListener:
    """Send records to standard output from a thread; never block a caller.

    Returns the writer; stop it to write what still waits.
    """
    writer = logging.StreamHandler(sys.stdout)
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
    """Send every record at or above the level to standard error."""
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
