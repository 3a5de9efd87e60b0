"""A stand-in of the users' platform: its metadata store and machine service.

Serves one loopback address and follows PROTOCOL.md. Runners are processes of
their own (runner_standin.py) and register through `/standin/register`.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

LIMIT_ROWS = 500
ROW_BYTES = 65_536  # rowBytes: a larger value is refused


class QuietServer(ThreadingHTTPServer):
    """A threaded server that does not report broken connections."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore connections that the other side has closed."""


class Store:
    """Rows with versions, atomic conditional transactions and a feed."""

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}
        self.log = []
        self.version = 0

    def commit(self, call):
        """Apply a transaction; return status and body."""
        with self.changed:
            expected = [
                (self.name(item), item["ver"])
                for item in call.get("expectedRev", [])
            ]
            if any(self.get_version(name) != ver for name, ver in expected):
                rows = [
                    self.encode(name)
                    for name, _ in expected
                    if name in self.rows
                ]
                return 412, {"rows": rows, "ver": self.version}
            self.version += 1
            for item in call.get("puts", []):
                name = self.name(item)
                self.rows[name] = (item["value"], self.version)
                self.log.append((self.version, self.encode(name)))
            for item in call.get("remove", []):
                name = self.name(item)
                if self.rows.pop(name, None) is not None:
                    row = {
                        "table": name[0],
                        "part": name[1],
                        "key": name[2],
                        "ver": self.version,
                        "deleted": True,
                    }
                    self.log.append((self.version, row))
            self.changed.notify_all()
            return 200, {"ver": self.version}

    @staticmethod
    def name(item):
        """Return the identity of a row."""
        return item["table"], item.get("part", ""), item["key"]

    def get_version(self, name):
        """Return the version of a row, 0 if it does not exist."""
        return self.rows[name][1] if name in self.rows else 0

    def encode(self, name):
        """Return a row as it is sent."""
        value, version = self.rows[name]
        return {
            "table": name[0],
            "part": name[1],
            "key": name[2],
            "value": value,
            "ver": version,
        }

    def put(self, table, key, value):
        """Write a row as the operator or a runner does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.commit({"puts": [{"table": table, "key": key, "value": data}]})

    def read(self, query):
        """Answer a read of a range."""
        limit = min(int(query.get("limit", LIMIT_ROWS)), LIMIT_ROWS)
        first, end = query.get("from", ""), query.get("to", "")
        with self.changed:
            names = sorted(
                name
                for name in self.rows
                if name[:2] == (query["table"], query.get("part", ""))
                and name[2] >= first
                and (not end or name[2] < end)
            )
            return {
                "rows": [self.encode(name) for name in names[:limit]],
                "morePages": len(names) > limit,
                "ver": self.version,
                "nowMs": int(time.monotonic() * 1000),
            }

    def follow(self, query):
        """Answer with the changes of a table after a version."""
        after = int(query["after"])
        until = time.monotonic() + min(int(query["waitMs"]), 30_000) / 1000
        with self.changed:
            while True:
                rows = [
                    row
                    for version, row in self.log
                    if version > after and row["table"] == query["table"]
                ]
                remaining = until - time.monotonic()
                if rows or remaining <= 0:
                    break
                self.changed.wait(remaining)
            return {
                "rows": rows,
                "ver": max(self.version, after),
                "nowMs": int(time.monotonic() * 1000),
            }

    def list_parts(self, table):
        """Return the partitions of a table."""
        with self.changed:
            return sorted({name[1] for name in self.rows if name[0] == table})


class Platform:
    """The store and the machine service on one address.

    `lose` is asked for each transaction of the system. It returns None to
    answer it, or the seconds after which it is performed without an answer.
    """

    def __init__(self, record, lose=lambda call: None):
        self.store = Store()
        self.record = record
        self.lose = lose
        self.machines = {}
        self.transactions = 0
        self.lost = 0
        self.refused = 0  # transactions with a value beyond rowBytes
        platform = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                platform.answer(self, None)

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                platform.answer(self, json.loads(body) if body else {})

        self.server = QuietServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, handler, call):
        """Answer one call."""
        parts = urlsplit(handler.path)
        query = dict(parse_qsl(parts.query))
        status, body = 200, {}
        match parts.path:
            case "/api/rows-tx":
                self.transactions += 1
                seconds = self.lose(call)
                if seconds is not None:
                    self.lost += 1
                    timer = threading.Timer(seconds, self._perform, (call,))
                    timer.daemon = True
                    timer.start()
                    # A connection with a lost answer delivers nothing more.
                    time.sleep(seconds + 10)
                    handler.close_connection = True
                    return
                if any(
                    len(base64.b64decode(item["value"])) > ROW_BYTES
                    for item in call.get("puts", [])
                ):
                    self.refused += 1
                    status, body = 400, {"reason": "a value is too large"}
                else:
                    status, body = self.store.commit(call)
            case "/api/rows-get":
                body = self.store.read(query)
            case "/api/rows-feed":
                body = self.store.follow(query)
            case "/api/rows-parts":
                body = {"parts": self.store.list_parts(query["table"])}
            case "/api/machines":
                body = {"machines": list(self.machines.values())}
            case "/standin/register":
                self.store.put("servers", call["id"], call["entry"])
                self.machines[call["entry"]["machine"]] = {
                    "machine": call["entry"]["machine"],
                    "pool": call["entry"]["service"],
                    "state": "up",
                    "zone": call["entry"]["zone"],
                    "labels": call["entry"]["labels"],
                    "capacity": call["entry"]["capacity"],
                    "id": call["id"],
                }
            case "/standin/remove":
                row = {"table": "servers", "key": call["id"]}
                self.store.commit({"remove": [row]})
                self.machines.pop(call["machine"], None)
            case _:
                status = 404
        send_json(handler, status, body)

    def _perform(self, call):
        status, _ = self.store.commit(call)
        self.record(f"store: late write performed, status {status}")


def send_json(handler, status, body):
    """Send an answer with a JSON body."""
    data = json.dumps(body).encode()
    handler.send_response_only(status)
    handler.send_header("Content-Type", "application/json")
    handler.send_header("Content-Length", str(len(data)))
    handler.end_headers()
    handler.wfile.write(data)
