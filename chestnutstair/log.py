"""Logging as JSON lines, on standard error or through a queue on stdout."""

import logging
import logging.handlers
import queue
import sys
import time
from typing import Any

from pythonjsonlogger.json import JsonFormatter

__all__ = [
    "BatchHandler",
    "BatchListener",
    "DroppingHandler",
    "build_formatter",
    "configure_logging",
    "configure_queued_logging",
]

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {
    "asctime": "time",
    "levelname": "level",
    "name": "logger",
}

# About 2 MB; records beyond this are dropped and counted.
MAX_QUEUED_RECORDS = 4000
# How long records are collected before they are written together. A wake-up
# of the writer thread and a write for each record took four times as long as
# formatting it.
WRITE_INTERVAL_SECONDS = 0.05


class DroppingHandler(logging.handlers.QueueHandler):
    """Queues records for a writer thread; drops them if the queue is full."""

    def __init__(
        self,
        records: "queue.SimpleQueue[Any]",
        limit: int = MAX_QUEUED_RECORDS,
    ) -> None:
        super().__init__(records)
        self._records = records
        self._limit = limit
        self._dropped = 0

    def prepare(self, record: logging.LogRecord) -> Any:
        """Return the record as it is; the writer thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue the record without blocking, or drop it.

        The next queued record has the number of records dropped before it in
        `dropped_before`.
        """
        if self._records.qsize() >= self._limit:
            self._dropped += 1
            return
        if self._dropped:
            record.dropped_before = self._dropped
            self._dropped = 0
        self._records.put(record)


class BatchHandler(logging.StreamHandler[Any]):
    """Leaves it to the listener when the stream is flushed.

    Drops records that cannot be formatted.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Format a record."""
        try:
            super().emit(record)
        except RecursionError:
            # The base class handles all other errors. This one would end the
            # listener's thread, and with it all logging.
            self.handleError(record)

    def flush(self) -> None:
        """Do nothing, as the base class flushes after each record."""

    def flush_batch(self) -> None:
        """Write the records that have been formatted."""
        super().flush()


class BatchListener(logging.handlers.QueueListener):
    """Writes the records of an interval together, on one thread."""

    def __init__(
        self, records: "queue.SimpleQueue[Any]", writer: BatchHandler
    ) -> None:
        super().__init__(records, writer)
        self._records = records
        self._writer = writer

    def dequeue(self, block: bool) -> Any:
        """Return the next record; write all before it if there is none yet."""
        if self._records.empty():
            self._writer.flush_batch()
            time.sleep(WRITE_INTERVAL_SECONDS)
        return super().dequeue(block)

    def stop(self) -> None:
        """Write the records that are still queued, and end the thread."""
        super().stop()
        self._writer.flush_batch()


def build_formatter(vm: str, zone: str) -> JsonFormatter:
    """Return the formatter of the log lines of a node."""
    return JsonFormatter(
        FORMAT,
        rename_fields=RENAMED_FIELDS,
        static_fields={"entry_vm": vm, "zone": zone},
    )


def _skip_unused_fields() -> None:
    """Record neither the position in the source nor process and thread.

    The lines do not have them, and the process ID takes a system call for
    each record.
    """
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False


def configure_queued_logging(
    level: str, vm: str, zone: str
) -> logging.handlers.QueueListener:
    """Write records to standard output from a thread, without blocking.

    Returns the listener; stopping it writes the records still queued.
    """
    _skip_unused_fields()
    writer = BatchHandler(sys.stdout)
    writer.setFormatter(build_formatter(vm, zone))
    records: queue.SimpleQueue[Any] = queue.SimpleQueue()
    listener = BatchListener(records, writer)
    handler = DroppingHandler(records)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in ("cherrypy.access", "cherrypy.error", "urllib3"):
        logging.getLogger(name).setLevel(logging.ERROR)
    listener.start()
    return listener


def configure_logging(level: str, vm: str, zone: str) -> None:
    """Write every record at or above the level to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(build_formatter(vm, zone))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for name in ("cherrypy.access", "cherrypy.error"):
        logging.getLogger(name).setLevel(logging.WARNING)
