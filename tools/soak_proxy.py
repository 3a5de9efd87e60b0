"""A loopback proxy between a node and the platform that can misbehave."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum

from chestnutstair.standins.webserver import HOST

__all__ = ["FaultProxy", "Link"]

CHUNK = 65536
RESET = struct.pack("ii", 1, 0)  # closing with this linger sends a reset
DELAY_SECONDS = 0.15  # thirty times what the platform's store takes
POLL_SECONDS = 0.05


class Link(Enum):
    """What becomes of bytes on the way."""

    OPEN = "open"
    DELAYED = "delayed"
    RESET = "reset"
    SILENT = "silent"  # nothing passes, either way
    DEAF = "deaf"  # calls arrive, and their answers do not come back


class FaultProxy:
    """Forwards connections to one address, as its `link` says."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server((HOST, 0), backlog=256)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self.link = Link.OPEN
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Take no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):  # the listener was closed
            while True:
                caller, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(caller,), daemon=True
                ).start()

    def _serve(self, caller: socket.socket) -> None:
        with contextlib.suppress(OSError), caller:
            if self.link is Link.RESET:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                return
            with socket.create_connection(self._target) as platform:
                back = threading.Thread(
                    target=self._pump,
                    args=(platform, caller, True),
                    daemon=True,
                )
                back.start()
                self._pump(caller, platform, False)
                back.join()

    def _pump(
        self, source: socket.socket, sink: socket.socket, answers: bool
    ) -> None:
        """Pass bytes on in one direction until either side closes."""
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK):
                if not self._let_pass(sink, answers):
                    break
                sink.sendall(data)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def _let_pass(self, sink: socket.socket, answers: bool) -> bool:
        """Wait as the link says; tell whether the bytes go on."""
        match self.link:
            case Link.DELAYED:
                time.sleep(DELAY_SECONDS)
            case Link.RESET:
                sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                return False
            case Link.SILENT:
                self._wait_open()
                return False  # what was held up is lost
            case Link.DEAF if answers:
                self._wait_open()
                return False
        return True

    def _wait_open(self) -> None:
        while self.link in (Link.SILENT, Link.DEAF):
            time.sleep(POLL_SECONDS)
