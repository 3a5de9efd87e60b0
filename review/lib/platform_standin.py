"""Stand-ins of the platform for the review's scripts; standard library only.

They serve the store, the runners, the VM service and the policy service as
the platform's pages describe them, each on a loopback address of its own.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

STARTED_AT = time.monotonic()


class Record:
    """The log of a case: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def write(self, kind, **fields):
        now = time.monotonic() - STARTED_AT
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock:
            self._file.write(f"{now:8.3f} {kind} {text}\n")
            self._file.flush()


class Drop(Exception):
    """The connection is closed without an answer."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass


class Endpoint:
    """An HTTP/1.1 server; `answer(method, path, query, headers, body)`
    returns a status, a JSON object and headers."""

    def __init__(self, host, port, answer):
        endpoint = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                endpoint.sockets.add(self.connection)

            def finish(self):
                endpoint.sockets.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def log_message(self, *args):
                pass

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                parts = urlsplit(self.path)
                query = {
                    key: values[0]
                    for key, values in parse_qs(
                        parts.query, keep_blank_values=True
                    ).items()
                }
                try:
                    status, fields, headers = answer(
                        self.command, parts.path, query, self.headers, body
                    )
                except Drop:
                    self.close_connection = True
                    return
                data = json.dumps(fields, separators=(",", ":")).encode()
                self.send_response_only(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                for name, value in headers.items():
                    self.send_header(name, value)
                head = b"".join(self._headers_buffer) + b"\r\n"
                self._headers_buffer = []
                try:
                    self.wfile.write(head + data)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = do_PUT = do_DELETE = _serve

        self.sockets = set()
        self.port = port
        self._server = _Server((host, port), Handler)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        )
        self._thread.start()

    def close(self):
        """Stop listening and break all connections."""
        self._server.shutdown()
        self._server.server_close()
        for item in list(self.sockets):
            try:
                item.shutdown(2)
            except OSError:
                pass
        self.sockets.clear()


class Store:
    """The metadata store: rows, transactions and change feeds."""

    def __init__(self, host, port, record, tx_seconds=0.005):
        self.record = record
        self.tx_seconds = tx_seconds
        self.rows = {}  # (table, part, key) -> (value in base64, version)
        self.version = 1
        self.log = []  # (version, key)
        self.history_from = 0
        self.blind_until = 0.0  # feeds report nothing before this time
        self.lock = threading.Condition()
        self.lock_tx = threading.Lock()
        self.on_tx = None  # called with the body after a transaction
        self.endpoint = Endpoint(host, port, self.answer)

    def answer(self, method, path, query, headers, body):
        if path == "/api/rows-tx":
            return self._commit(json.loads(body))
        if path == "/api/rows-get":
            return self._read(query)
        if path == "/api/rows-feed":
            return self._follow(query)
        if path == "/api/rows-parts":
            with self.lock:
                parts = sorted(
                    {
                        key[1]
                        for key in self.rows
                        if key[0] == query["table"]
                        and key[1] > query.get("after", "")
                    }
                )
            return 200, {"parts": parts[:1000]}, {}
        return 404, {}, {}

    @staticmethod
    def _key(item):
        return item["table"], item.get("part", ""), item["key"]

    def _encode(self, key):
        found = self.rows.get(key)
        fields = {"table": key[0], "part": key[1], "key": key[2]}
        if found is None:
            return {**fields, "ver": 0, "deleted": True}
        return {**fields, "value": found[0], "ver": found[1]}

    def _now(self):
        return int(time.monotonic() * 1000)

    def _commit(self, call):
        expected = call.get("expectedRev") or []
        puts = call.get("puts") or []
        removals = call.get("remove") or []
        parts = {
            item.get("part", "") for item in [*expected, *puts, *removals]
        }
        if len(parts) > 1 or len(expected) + len(puts) + len(removals) > 100:
            return 400, {}, {}
        tables = {item["table"] for item in [*puts, *removals]}
        if tables & {"op", "servers"}:
            return 403, {}, {}
        time.sleep(self.tx_seconds)
        with self.lock:
            for item in expected:
                found = self.rows.get(self._key(item))
                if (found[1] if found else 0) != item.get("ver", 0):
                    rows = [
                        self._encode(self._key(other))
                        for other in expected
                        if self._key(other) in self.rows
                    ]
                    body = {
                        "rows": rows,
                        "ver": self.version,
                        "nowMs": self._now(),
                    }
                    return 412, body, {}
            self.version += 1
            for item in puts:
                key = self._key(item)
                self.rows[key] = (item["value"], self.version)
                self.log.append((self.version, key))
            for item in removals:
                key = self._key(item)
                if self.rows.pop(key, None) is not None:
                    self.log.append((self.version, key))
            version = self.version
            self.lock.notify_all()
        if self.on_tx is not None:
            self.on_tx(puts)
        return 200, {"ver": version, "nowMs": self._now()}, {}

    def _read(self, query):
        first, end = query.get("from", ""), query.get("to", "")
        limit = min(500, int(query.get("limit") or 500))
        with self.lock:
            keys = sorted(
                (
                    key
                    for key in self.rows
                    if key[0] == query["table"]
                    and key[1] == query.get("part", "")
                    and key[2] >= first
                    and (not end or key[2] < end)
                ),
                key=lambda key: key[2].encode(),
            )
            rows = []
            size = 0
            for key in keys[:limit]:
                size += len(self.rows[key][0]) + 200
                if rows and size > 1_000_000:
                    break
                rows.append(self._encode(key))
            body = {
                "rows": rows,
                "morePages": len(keys) > len(rows),
                "ver": self.version,
                "nowMs": self._now(),
            }
        return 200, body, {}

    def _follow(self, query):
        table, after = query["table"], int(query.get("after") or 0)
        until = time.monotonic() + int(query.get("waitMs") or 0) / 1000
        with self.lock:
            while True:
                now = time.monotonic()
                if now < self.blind_until:
                    self.lock.wait(self.blind_until - now)
                    continue
                if after < self.history_from:
                    return 410, {"ver": self.version}, {}
                latest = {}
                for version, key in reversed(self.log):
                    if version <= after:
                        break
                    if key[0] == table:
                        latest.setdefault(key, version)
                if latest or now >= until:
                    rows = [
                        {**self._encode(key), "ver": latest[key]}
                        for key in sorted(latest, key=latest.get)
                    ]
                    body = {
                        "rows": rows,
                        "ver": self.version,
                        "nowMs": self._now(),
                    }
                    return 200, body, {}
                self.lock.wait(max(0.001, until - now))

    def put(self, table, key, value):
        """Write a row as the operator or a runner does; None removes it."""
        name = (table, "", key)
        with self.lock:
            self.version += 1
            if value is None:
                self.rows.pop(name, None)
            else:
                data = base64.b64encode(json.dumps(value).encode()).decode()
                self.rows[name] = (data, self.version)
            self.log.append((self.version, name))
            self.lock.notify_all()

    def get(self, table, key, part=""):
        """Return the JSON value of a row, or None."""
        with self.lock:
            found = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(found[0])) if found else None

    def drop_history(self, blind_seconds=1.0):
        """Feeds hear nothing for a while; then the history is gone."""
        with self.lock:
            self.blind_until = time.monotonic() + blind_seconds

        def finish():
            while True:
                left = self.blind_until - time.monotonic()
                if left <= 0.02:
                    break
                time.sleep(left - 0.02)
            with self.lock:
                self.history_from = self.version
                self.log.clear()
                self.blind_until = 0.0
                self.lock.notify_all()
            self.record.write("store-history-dropped", ver=self.version)

        threading.Thread(target=finish, daemon=True).start()


class World:
    """What requesters submitted, for stand-ins that run the tasks."""

    def __init__(self):
        self.jobs = {}  # ID -> the submitted body

    def find_step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]


class Run:
    """A run that a runner has begun."""

    def __init__(self, task, run, now):
        self.task = task
        self.run = run
        self.begun = now
        self.until = None  # when its work is done; None while it waits
        self.saved = ""
        self.base_ms = 0
        self.cpu = 0
        self.memory = 0


class Runner:
    """One life of a runner. Times are monotonic seconds."""

    def __init__(
        self,
        platform,
        name,
        machine,
        service,
        host,
        port,
        labels,
        cpu=64000,
        memory=262144,
        clock_offset=None,
    ):
        self.platform = platform
        self.name, self.machine, self.service = name, machine, service
        self.host, self.port = host, port
        self.labels = labels
        self.capacity = {"cpu": cpu, "memMb": memory}
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.clock_offset = 1000 if clock_offset is None else clock_offset
        self.state = "ready"
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_count = 0
        self.dead = False
        self.seq = 0
        self.lock = threading.Condition()
        self.endpoint = Endpoint(host, port, self.answer)
        threading.Thread(target=self._tick, daemon=True).start()

    @property
    def record(self):
        return self.platform.record

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + self.clock_offset

    def describe(self):
        self.seq += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {**self.capacity, "gpu": 0},
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clockMs": self.clock_ms(),
            "seq": self.seq,
        }

    def register(self):
        """Write its entry, as a runner does with each heartbeat."""
        if not self.dead:
            self.platform.store.put("servers", self.name, self.describe())

    def _tick(self):
        beat = time.monotonic() + self.platform.heartbeat_seconds
        while not self.dead:
            time.sleep(0.01)
            with self.lock:
                self._settle()
            if time.monotonic() >= beat:
                beat += self.platform.heartbeat_seconds
                self.register()

    def crash(self):
        """End at once: what runs here is gone, and nothing is reported."""
        with self.lock:
            self.dead = True
            lost = list(self.runs.values())
            self.runs = {}
        self.endpoint.close()
        self.record.write("runner-crashed", runner=self.name, born=self.born)
        for run in lost:
            self.platform.on_end(self, run, "crashed")

    def _end(self, run, how):
        del self.runs[run.task]
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.run, how, run.saved])
        self.platform.on_end(self, run, how, self.end_count)
        self.lock.notify_all()

    def _settle(self):
        """End what is done, and everything once the lease has expired."""
        if self.dead:
            return
        now = time.monotonic()
        for run in list(self.runs.values()):
            self.platform.behaviour.advance(self, run, now)
            if run.task not in self.runs:
                continue
            if run.until is not None and run.until <= now:
                self._end(run, self.platform.behaviour.choose_end(run))
        if self.runs and self.clock_ms() > self.lease_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def answer(self, method, path, query, headers, body):
        if self.dead:
            raise Drop
        instance = headers.get("X-Chestnutstair-Expect-Instance", "")
        if instance and instance != self.name:
            return 421, {}, {}
        call = json.loads(body) if body else {}
        handler = {
            "/api/run-start": self._start,
            "/api/run-stop": self._stop,
            "/api/hold": self._hold,
            "/api/pace": self._pace,
        }.get(path)
        if path == "/health":
            return 200, {}, {"X-Chestnutstair-Instance-Id": self.name}
        if handler is None:
            return 404, {}, {}
        with self.lock:
            self._settle()
            status, fields = handler(call)
            if self.dead:
                raise Drop
            fields = {"clockMs": self.clock_ms(), **fields}
        return status, fields, {}

    def _check_fence(self, call):
        fence = call.get("fence", 0)
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _extend(self, call):
        deadline = call.get("deadlineMs")
        if deadline is not None:
            limit = self.clock_ms() + self.platform.hold_max_ms
            self.lease_ms = max(self.lease_ms, min(deadline, limit))

    def _start(self, call):
        task, number = call["task"], call["run"]
        fields = {
            "runner": self.name,
            "born": self.born,
            "task": task,
            "run": number,
            "fence": call.get("fence", 0),
            "checkpoint": call.get("lastCheckpoint", "") or "-",
        }
        refusal = self._refuse_start(call, task, number)
        if refusal:
            self.record.write("start-refused", **fields, reason=refusal)
            return 409, {"reason": refusal}
        if task in self.runs:
            return 200, {}
        now = time.monotonic()
        run = Run(task, number, now)
        step = self.platform.world.find_step(task)
        run.cpu = 0 if step.get("fills") else step.get("cpu", 0)
        run.memory = step.get("memMb", 0)
        self.runs[task] = run
        self.record.write("start", **fields, labels=",".join(self.labels))
        self.platform.on_start(self, run, call, step)
        self.platform.behaviour.begin(self, run, call, step, now)
        return 200, {}

    def _refuse_start(self, call, task, number):
        if not self._check_fence(call):
            return "fence"
        if call["deadlineMs"] < self.clock_ms():
            return "late"
        self._extend(call)
        if task in self.runs and self.runs[task].run == number:
            return ""
        if task in self.runs or number <= self.highest.get(task, 0):
            return "old"
        step = self.platform.world.find_step(task)
        cpu = 0 if step.get("fills") else step.get("cpu", 0)
        used_cpu = sum(run.cpu for run in self.runs.values())
        used_memory = sum(run.memory for run in self.runs.values())
        if (
            used_cpu + cpu > self.capacity["cpu"]
            or used_memory + step.get("memMb", 0) > self.capacity["memMb"]
        ):
            return "room"
        return ""

    def _stop(self, call):
        if not self._check_fence(call):
            return 409, {"reason": "fence"}
        task, number = call["task"], call["run"]
        self.record.write("stop", runner=self.name, task=task, run=number)
        run = self.runs.get(task)
        if run is not None and run.run == number:
            self._end(run, "stopped")
        self.highest[task] = max(number, self.highest.get(task, 0))
        return 200, {}

    def _pace(self, call):
        return (200, {}) if self._check_fence(call) else (
            409,
            {"reason": "fence"},
        )

    def _hold(self, call):
        if not self._check_fence(call):
            return 409, {"reason": "fence"}
        self._extend(call)
        seen = call.get("lastSeen", 0)
        for end in self.ends:
            if end[0] <= seen:
                self.platform.on_acknowledged(self, end)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + min(2000, call.get("waitMs", 0)) / 1000
        while not self.ends and not self.dead:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(left)
        now = time.monotonic()
        running = [
            [
                run.task,
                run.run,
                run.saved,
                self.platform.behaviour.percent(run, now),
                0,
            ]
            for run in self.runs.values()
        ]
        # The others are returned again, 500 at a time.
        return 200, {
            "born": self.born,
            "running": running,
            "finished": [list(end) for end in self.ends[:500]],
        }


class Behaviour:
    """What the tasks of a case do; `spec` holds `ms`, the work of a task."""

    def __init__(self, world):
        self.world = world

    def begin(self, runner, run, call, step, now):
        work = json.loads(call["spec"])
        if step.get("longRunning"):
            return
        run.until = now + work["ms"] / 1000

    def advance(self, runner, run, now):
        pass

    def choose_end(self, run):
        return "done"

    def percent(self, run, now):
        step = self.world.find_step(run.task)
        if step.get("longRunning"):
            return 100 if now - run.begun > 0.5 else 50
        if run.until is None:
            return 0
        total = max(0.001, run.until - run.begun)
        return max(0, min(99, int(100 * (now - run.begun) / total)))


class Platform:
    """The store, the runners and the other services of one deployment."""

    def __init__(self, record, ports, heartbeat_seconds=1.5):
        self.record = record
        self.heartbeat_seconds = heartbeat_seconds
        self.hold_max_ms = 10000
        self.world = World()
        self.behaviour = Behaviour(self.world)
        self.store = Store("127.0.0.1", ports.take(), record)
        self.cloud_port = ports.take()
        self.cloud = Endpoint("127.0.0.1", self.cloud_port, self._machines)
        self.advice_port = ports.take()
        self.advice = Endpoint("127.0.0.1", self.advice_port, self._advise)
        self.runners = {}
        self.listeners = []
        self._ports = ports

    def add_runner(self, name, machine, labels, port=None, register=True, **options):
        """Start a runner, and write its entry unless told not to."""
        runner = Runner(
            self,
            name,
            machine,
            "boxes",
            "127.0.0.1",
            port or self._ports.take(),
            labels,
            **options,
        )
        self.runners[machine] = runner
        self.record.write(
            "runner-started",
            runner=name,
            born=runner.born,
            machine=machine,
            labels=",".join(labels),
        )
        if register:
            runner.register()
        return runner

    def remove_entry(self, name):
        self.store.put("servers", name, None)

    def configure(self, version, queues):
        routes = [
            {
                "name": f"r-{name}",
                "host": "jobs.example",
                "prefix": f"/{name}/",
                "kind": "unsafe",
                "timeoutMs": 3000,
                "targetLatencyMs": 600,
                "priority": 0,
                "service": "boxes",
                "maxAttempts": 4,
                "stretch": 1.6,
                **options,
            }
            for name, options in queues.items()
        ]
        services = [
            {
                "name": "boxes",
                "healthPath": "/health",
                "maxConns": 64,
                "protocol": "h1",
                "tls": False,
                "enforcesCapacity": True,
                "spare": False,
            }
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": limits,
            },
        )

    def _machines(self, method, path, query, headers, body):
        if method != "GET":
            return 409, {"reason": "busy"}, {}
        machines = [
            {
                "machine": machine,
                "pool": runner.service,
                "state": "down" if runner.dead else "up",
                "zone": "zone-a",
                "labels": runner.labels,
                "capacity": {**runner.capacity, "gpu": 0},
                "id": runner.name,
            }
            for machine, runner in sorted(self.runners.items())
        ]
        return 200, {"machines": machines, "nextToken": None}, {}

    @staticmethod
    def _advise(method, path, query, headers, body):
        return 200, {"good": [], "validMs": 3000}, {}

    def on_start(self, runner, run, call, step):
        for listener in self.listeners:
            listener.on_start(runner, run, call, step)

    def on_end(self, runner, run, how, number=0):
        self.record.write(
            "end",
            runner=runner.name,
            born=runner.born,
            task=run.task,
            run=run.run,
            how=how,
            number=number,
            saved=run.saved or "-",
        )
        for listener in self.listeners:
            listener.on_end(runner, run, how, number)

    def on_acknowledged(self, runner, end):
        self.record.write(
            "end-noted", runner=runner.name, task=end[1], run=end[2]
        )
        for listener in self.listeners:
            listener.on_acknowledged(runner, end)
