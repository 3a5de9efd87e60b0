"""Loopback proxy that injects faults between a node and the platform."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum

from chestnutstair.standins.webserver import HOST

__all__ = ["FaultProxy", "LinkState"]

CHUNK_BYTES = 65536
# With this SO_LINGER value, closing a socket sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)
DELAY_SECONDS = 0.15  # thirty times the latency of the platform's store
POLL_SECONDS = 0.05


class LinkState(Enum):
    """How the proxy treats bytes in transit."""

    OPEN = "open"
    DELAYED = "delayed"
    RESET = "reset"
    BLOCKED = "silent"  # nothing passes in either direction
    ANSWERS_BLOCKED = "deaf"  # calls pass, answers do not


class FaultProxy:
    """Forwards connections to one address; `link` sets the current fault."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server((HOST, 0), backlog=256)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self.link = LinkState.OPEN
        self._open: set[socket.socket] = set()
        self._silent: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self) -> int:
        """Carry nothing more on the connections that are open now.

        They stay open; return how many they are.
        """
        self._silent |= self._open
        return len(self._silent)

    def close(self) -> None:
        """Stop accepting connections."""
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
            if self.link is LinkState.RESET:
                caller.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                )
                return
            self._open.add(caller)
            with socket.create_connection(self._target) as platform:
                answer_thread = threading.Thread(
                    target=self._relay,
                    args=(platform, caller, True),
                    daemon=True,
                )
                answer_thread.start()
                self._relay(caller, platform, False)
                answer_thread.join()

    def _relay(
        self,
        source: socket.socket,
        destination: socket.socket,
        carries_answers: bool,
    ) -> None:
        """Forward bytes in one direction until either side closes."""
        with contextlib.suppress(OSError):
            caller = destination if carries_answers else source
            while data := source.recv(CHUNK_BYTES):
                if caller in self._silent:
                    continue
                if not self._apply_link_state(destination, carries_answers):
                    break
                destination.sendall(data)
        self._open.discard(caller)
        for end in (source, destination):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def _apply_link_state(
        self, destination: socket.socket, carries_answers: bool
    ) -> bool:
        """Apply the link's fault; return whether to forward the bytes."""
        match self.link:
            case LinkState.DELAYED:
                time.sleep(DELAY_SECONDS)
            case LinkState.RESET:
                destination.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                )
                return False
            case LinkState.BLOCKED:
                self._wait_while_blocked()
                return False  # the bytes that were held back are lost
            case LinkState.ANSWERS_BLOCKED if carries_answers:
                self._wait_while_blocked()
                return False
        return True

    def _wait_while_blocked(self) -> None:
        while self.link in (LinkState.BLOCKED, LinkState.ANSWERS_BLOCKED):
            time.sleep(POLL_SECONDS)
