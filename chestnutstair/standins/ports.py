"""Allocation of free ports for processes that need a fixed address."""

import contextlib
import fcntl
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

from chestnutstair.standins.webserver import HOST

__all__ = ["PORT_RANGE", "pick_port"]

PORT_RANGE = (12000, 30000)  # below the ephemeral ports of the system

# Locks are held until this process exits, so that a restarted daemon finds
# its port still free.
_held_locks: list[IO[str]] = []


def pick_port(ports: tuple[int, int] = PORT_RANGE) -> int:
    """Return a free port that no other call returns until this process exits.

    A lock file for each port excludes other processes of this machine too.
    `ports` is a half-open range (first, end).
    """
    folder = Path(tempfile.gettempdir(), "chestnutstair-ports")
    folder.mkdir(exist_ok=True)
    while True:
        port = random.SystemRandom().randrange(*ports)
        lock = open(folder / str(port), "a")  # noqa: SIM115
        with contextlib.suppress(OSError):
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            with socket.socket() as probe:
                probe.bind((HOST, port))
            _held_locks.append(lock)
            return port
        lock.close()
