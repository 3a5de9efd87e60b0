"""Stand-in of one life of a runner, as PROTOCOL.md describes it.

Usage: runner_standin.py SETTINGS

SETTINGS is a JSON file: `id`, `machine`, `service`, `platform` (address),
`heartbeatMs`, `events` (file to append to), `port` (0 for a free one) and
`holdMaxMs`; `startMs` is how long it takes to answer a start. A task's `spec` is a JSON object with `workMs`; 0 for a task that
lasts. `failRuns` there lists run numbers that end `failed`.
"""

import http.client
import json
import os
import sys
import threading
import time
from pathlib import Path

from web import HOST, build_server

CPU, MEMORY_MB = 64000, 262144
STOP_SECONDS = 0.02
LONGEST_PAUSE_SECONDS = 0.5
TASK_START_SECONDS = 0.05


class Runner:
    """Runs, ends, the lease and the highest fence of one life."""

    def __init__(self, settings):
        self.settings = settings
        self.lock = threading.Condition()
        self.born = time.time_ns() // 1_000_000
        self.began = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}  # task -> [run, began, work seconds, fails]
        self.highest = {}  # task -> highest run that ended or was stopped
        self.ends = []
        self.end_count = 0
        self.events = open(settings["events"], "a", buffering=1)

    def read_clock(self):
        """Return this life's steady clock in ms."""
        return int((time.monotonic() - self.began) * 1000) + 1000

    def report(self, what, **fields):
        """Append an event to the record."""
        item = {
            "at": round(time.monotonic(), 3),
            "runner": self.settings["id"],
            "machine": self.settings["machine"],
            "born": self.born,
            "what": what,
            **fields,
        }
        self.events.write(json.dumps(item) + "\n")

    def end(self, task, how):
        """End a run and list its end."""
        run = self.runs.pop(task)[0]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, task, run, how, ""])
        self.report("end", task=task, run=run, how=how)
        self.lock.notify_all()

    def settle(self):
        """End what is done, or everything once the lease is over."""
        now = time.monotonic()
        is_over = self.runs and self.read_clock() > self.lease_ms
        for task, (_, began, seconds, fails) in list(self.runs.items()):
            if is_over:
                self.end(task, "lapsed")
            elif seconds and now - began >= seconds:
                self.end(task, "failed" if fails else "done")

    def find_pause(self):
        """Return the seconds until a run or the lease is over."""
        if not self.runs:
            return LONGEST_PAUSE_SECONDS
        now = time.monotonic()
        pauses = [(self.lease_ms - self.read_clock()) / 1000]
        pauses += [
            began + seconds - now
            for _, began, seconds, _ in self.runs.values()
            if seconds
        ]
        return min(LONGEST_PAUSE_SECONDS, max(0.001, min(pauses)))

    def run_clock(self):
        """Settle whenever something is over."""
        with self.lock:
            while True:
                self.settle()
                self.lock.wait(self.find_pause())

    def describe(self, **fields):
        """Return an answer's body."""
        return {"clockMs": self.read_clock(), "born": self.born, **fields}

    def extend(self, deadline_ms):
        """Extend the lease; it is never shortened."""
        longest = self.read_clock() + self.settings["holdMaxMs"]
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    def refuse(self, reason):
        """Return the answer to an order that is not carried out."""
        return 409, self.describe(reason=reason)

    def answer(self, method, path, query, headers, body):
        """Answer one call."""
        if path == "/health":
            return 200, {}
        expected = headers.get("X-Chestnutstair-Expect-Instance")
        if expected not in (None, self.settings["id"]):
            return 421, self.describe()
        with self.lock:
            if body.get("fence", 0) < self.fence:
                return self.refuse("fence")
            self.fence = body.get("fence", 0)
            self.settle()
            if path == "/api/run-start":
                self.lock.wait(self.settings.get("startMs", 0) / 1000)
                return self.start(body)
            if path == "/api/run-stop":
                return self.stop(body)
            if path == "/api/hold":
                return self.hold(body)
            if path == "/api/pace":
                return 200, self.describe()
        return 404, self.describe()

    def start(self, body):
        """Begin a run."""
        task, run = body["task"], body["run"]
        if body["deadlineMs"] < self.read_clock():
            return self.refuse("late")
        self.extend(body["deadlineMs"])
        if task in self.runs and self.runs[task][0] == run:
            return 200, self.describe()
        if task in self.runs or run <= self.highest.get(task, 0):
            return self.refuse("old")
        spec = json.loads(body["spec"])
        seconds = spec["workMs"] / 1000
        fails = run in spec.get("failRuns", [])
        self.runs[task] = [run, time.monotonic(), seconds, fails]
        self.report("start", task=task, run=run, fence=self.fence)
        self.lock.notify_all()
        return 200, self.describe()

    def stop(self, body):
        """Stop a run, or refuse it from now on."""
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        if task in self.runs and self.runs[task][0] == run:
            self.end(task, "stopped")
        return 200, self.describe()

    def hold(self, body):
        """Extend the lease; wait for an end; list runs and ends."""
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        seen = body.get("lastSeen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + min(2000, body.get("waitMs", 0)) / 1000
        while not self.ends and (left := until - time.monotonic()) > 0:
            self.lock.wait(left)
        now = time.monotonic()
        running = [
            [
                task,
                run,
                "",
                100 if now - began > TASK_START_SECONDS else 10,
                0,
            ]
            for task, (run, began, _, _) in self.runs.items()
        ]
        return 200, self.describe(running=running, finished=self.ends[:500])


def beat(runner, address):
    """Write the entry into the store again and again."""
    settings = runner.settings
    sequence = 0
    while True:
        sequence += 1
        entry = {
            "service": settings["service"],
            "address": address,
            "zone": settings["zone"],
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": sequence,
            "born": runner.born,
            "machine": settings["machine"],
            "capacity": {"cpu": CPU, "memMb": MEMORY_MB, "gpu": 0},
            "labels": ["a", settings["rack"]],
        }
        machine = {
            "machine": settings["machine"],
            "pool": settings["service"],
            "state": "up",
            "zone": settings["zone"],
            "labels": entry["labels"],
            "capacity": entry["capacity"],
            "id": settings["id"],
        }
        try:
            call(settings["platform"], "/standin/machine", machine)
            item = {"id": settings["id"], "entry": json.dumps(entry)}
            call(settings["platform"], "/standin/entry", item)
        except OSError:
            pass
        time.sleep(settings["heartbeatMs"] / 1000)


def call(address, path, body):
    """Make one call to the platform's stand-in."""
    connection = http.client.HTTPConnection(address, timeout=2)
    try:
        connection.request("POST", path, json.dumps(body))
        connection.getresponse().read()
    finally:
        connection.close()


def main():
    """Serve until killed."""
    settings = json.loads(Path(sys.argv[1]).read_text())
    runner = Runner(settings)
    server = build_server(runner.answer, settings.get("port", 0))
    address = f"{HOST}:{server.server_address[1]}"
    runner.report("life", pid=os.getpid(), address=address)
    threading.Thread(target=runner.run_clock, daemon=True).start()
    threading.Thread(target=beat, args=(runner, address), daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
