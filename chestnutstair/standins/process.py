"""Command line and startup output shared by the stand-in processes."""

import argparse
import json
import sys
from pathlib import Path
from typing import TypeVar

from chestnutstair.state.codec import decode_json

__all__ = ["print_addresses", "read_arguments"]

T = TypeVar("T")


def read_arguments(settings_type: type[T]) -> tuple[int, T]:
    """Parse the command line; return the port and the decoded settings.

    Exits with an error if the settings are invalid.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--settings", type=Path, help="a JSON file")
    arguments = parser.parse_args()
    text = arguments.settings.read_text() if arguments.settings else "{}"
    decoded = decode_json(settings_type, text)
    if decoded.is_err():
        sys.exit(f"invalid settings: {decoded.unwrap_err()}")
    return arguments.port, decoded.unwrap()


def print_addresses(**addresses: str) -> None:
    """Print the addresses as one line of JSON."""
    print(json.dumps(addresses), flush=True)
