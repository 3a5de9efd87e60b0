"""Startup functions shared by the daemons' command lines."""

import os
import sys
from pathlib import Path
from typing import NoReturn, TypeVar

from result import Err, Ok, Result

from chestnutstair.state.codec import DecodeFailure

__all__ = [
    "EXIT_BAD_SETTINGS",
    "EXIT_NOT_STARTED",
    "exit_after_bind_error",
    "get_settings_or_exit",
]

T = TypeVar("T")

EXIT_BAD_SETTINGS = 2
EXIT_NOT_STARTED = 3


def get_settings_or_exit(settings: Result[T, DecodeFailure], path: Path) -> T:
    """Return the settings, or print every mistake and exit with 2."""
    match settings:
        case Ok(value):
            return value
        case Err(failure):
            for mistake in failure.mistakes:
                print(f"{mistake.path}: {mistake.problem}", file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
    raise AssertionError(path)


def exit_after_bind_error(error: OSError) -> NoReturn:
    """Report that an address could not be bound, and exit with 3."""
    print(f"can not listen: {error}", file=sys.stderr, flush=True)
    # Threads of parts that already started would keep the process alive.
    os._exit(EXIT_NOT_STARTED)
