"""Many runners in one process, replaced by others at new addresses.

The argument is one JSON object with prefix, count, cpu, platform, service and
journal. Each line on the standard input is a number: so many runners, the
oldest first, are replaced: a new one comes at a new address, the old one
drains for `DRAIN_S`, leaves and closes its connections.
"""

import http.client
import json
import socket
import sys
import threading
import time
from collections import deque
from http.server import BaseHTTPRequestHandler

from platform_standin import QuietServer
from runner_standin import Runner

DRAIN_S = 2.0
HEARTBEAT_S = 1.5
START_S = 0.02  # how long a runner takes to answer a start


class Server(QuietServer):
    """A server whose connections end with it."""

    def __init__(self, *args):
        self.connections = set()
        super().__init__(*args)

    def process_request(self, request, client_address):
        """Remember a connection."""
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Forget a connection."""
        self.connections.discard(request)
        super().shutdown_request(request)

    def end(self):
        """Stop listening, and close all connections as an exit does."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # closed already


class Life:
    """One runner of the farm."""

    def __init__(self, options, number, journal):
        name = f"i-{options['prefix']}{number}"
        self.options = {
            **options,
            "id": name,
            "machine": f"m-{name}",
            "labels": ["a", f"r1-{options['prefix']}"],
            "gangs": "",
        }
        self.runner = runner = Runner(self.options, journal)

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                if self.path == "/api/run-start":
                    time.sleep(START_S)
                runner.answer(self, json.loads(body) if body else {})

        self.server = Server(("127.0.0.1", 0), Handler)
        port = self.server.server_port
        self.options["address"] = f"127.0.0.1:{port}"
        threading.Thread(
            target=self.server.serve_forever, args=(0.05,), daemon=True
        ).start()
        runner.write("life")
        runner.register()

    def leave(self):
        """Drain, leave the registry and end."""
        self.runner.register("draining")
        time.sleep(DRAIN_S)
        connection = http.client.HTTPConnection(
            self.options["platform"], timeout=5
        )
        body = json.dumps(
            {"id": self.options["id"], "machine": self.options["machine"]}
        )
        connection.request("POST", "/standin/remove", body)
        connection.getresponse().read()
        connection.close()
        self.server.end()


def main():
    """Serve until the standard input ends."""
    options = json.loads(sys.argv[1])
    journal = open(options["journal"], "a", buffering=1)
    lives = deque(
        Life(options, number, journal) for number in range(options["count"])
    )
    number = options["count"]

    def tick():
        while True:
            time.sleep(0.02)
            for life in list(lives):
                life.runner.end_due()

    def beat():
        while True:
            time.sleep(HEARTBEAT_S)
            for life in list(lives):
                life.runner.register()

    for work in (tick, beat):
        threading.Thread(target=work, daemon=True).start()
    for line in sys.stdin:
        for _ in range(int(line)):
            lives.append(Life(options, number, journal))
            number += 1
            threading.Thread(target=lives.popleft().leave, daemon=True).start()


if __name__ == "__main__":
    main()
