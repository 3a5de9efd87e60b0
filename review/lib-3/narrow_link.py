"""A proxy that carries what a server sends at a limited rate.

The rate holds for all connections together, as for the link of a machine.
"""

import socket
import threading
import time

HOST = "127.0.0.1"
CHUNK_BYTES = 8192


class NarrowLink:
    """Forwards connections to `host:port`; `address` is its own address."""

    def __init__(self, target, megabits):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.seconds_a_byte = 8 / (megabits * 1e6)
        self.free_at = 0.0
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Serve connections until the process ends."""
        while True:
            client, _ = self.listener.accept()
            threading.Thread(
                target=self.serve, args=(client,), daemon=True
            ).start()

    def serve(self, client):
        """Carry one connection."""
        try:
            server = socket.create_connection(self.target)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(
            target=self.carry, args=(server, client, True), daemon=True
        ).start()
        self.carry(client, server, False)

    def carry(self, source, target, is_limited):
        """Carry one direction until it ends, then end both sockets."""
        try:
            while data := source.recv(CHUNK_BYTES):
                if is_limited:
                    self.wait_turn(len(data))
                target.sendall(data)
        except OSError:
            pass
        for sock in (source, target):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        source.close()

    def wait_turn(self, size):
        """Wait until the link has carried so many bytes more."""
        with self.lock:
            now = time.monotonic()
            self.free_at = max(now, self.free_at) + size * self.seconds_a_byte
            pause = self.free_at - now
        time.sleep(pause)
