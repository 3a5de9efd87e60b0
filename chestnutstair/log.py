"""Logs as JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logging"]

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {
    "asctime": "time",
    "levelname": "level",
    "name": "logger",
}


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
