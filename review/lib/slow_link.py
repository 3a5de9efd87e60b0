"""A loopback proxy that gives a node's link to the store a bandwidth."""

import socket
import threading
import time

CHUNK_BYTES = 2048


class Link:
    """One direction of a link, which its connections share in turns."""

    def __init__(self, megabits):
        self._bytes_per_second = megabits * 1e6 / 8
        self._free_at = 0.0
        self._lock = threading.Lock()
        self.carried = 0

    def carry(self, count):
        """Wait until the link has carried so many bytes."""
        with self._lock:
            now = time.monotonic()
            begin = max(now, self._free_at)
            self._free_at = begin + count / self._bytes_per_second
            until = self._free_at
            self.carried += count
        time.sleep(max(0.0, until - now))


class SlowLinkProxy:
    """Forwards connections over a link of limited bandwidth each way."""

    def __init__(self, host, port, target, megabits):
        self._target = target
        self.down = Link(megabits)
        self.up = Link(megabits)
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(client,), daemon=True
            ).start()

    def _serve(self, client):
        server = socket.socket()
        # Small windows, as on the platform's links.
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        try:
            server.connect(self._target)
        except OSError:
            client.close()
            return
        for item in (client, server):
            item.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(
            target=self._pump, args=(server, client, self.down), daemon=True
        )
        back.start()
        self._pump(client, server, self.up)

    @staticmethod
    def _pump(source, sink, link):
        try:
            while data := source.recv(CHUNK_BYTES):
                link.carry(len(data))
                sink.sendall(data)
        except OSError:
            pass
        for item in (source, sink):
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
