"""Ports for processes that are started with an address to listen on."""

import contextlib
import fcntl
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

from chestnutstair.standins.webserver import HOST

__all__ = ["PORT_RANGE", "pick_port"]

PORT_RANGE = (12000, 30000)  # below the ports of outgoing connections

# A port stays this process's until it ends, as its daemons may restart.
_held_locks: list[IO[str]] = []


def pick_port(ports: tuple[int, int] = PORT_RANGE) -> int:
    """Return a free port that no other pick returns meanwhile.

    Picks of other processes on this machine count as well: each port has a
    lock file. `ports` are the first one and the one after the last.
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
