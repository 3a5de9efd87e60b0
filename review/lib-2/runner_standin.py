"""A stand-in of one runner, as a process of its own.

Arguments: one JSON object with id, address, machine, service, labels, cpu,
platform, heartbeatS, registerAfterS, journal, gangs. A job's spec says what
its tasks do: `{"workS": 2.0}`; tasks that last run until they are stopped.
With `"gang": N` the N tasks of a run work once all are present, and end as
soon as one of them has gone; they checkpoint their progress. Each event is a
line of the journal: wall-clock time, event, life, task, run and how.
"""

import http.client
import json
import os
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler
from pathlib import Path

from platform_standin import QuietServer, send_json

READY_S = 0.5  # a task that lasts is at work after this
HOLD_MAX_MS = 6000
TICK_S = 0.01
CHECKPOINT_S = 0.5
RESTORE_S = 0.25
GANG_TIMEOUT_S = 3.0


class Gang:
    """The members of one run of a gang, as files that name their process."""

    def __init__(self, folder, task, run, count, checkpoint):
        step = task.rpartition(".")[0]
        self.folder = Path(folder) / f"{step}-{run}"
        self.folder.mkdir(exist_ok=True)
        self.file = self.folder / task
        self.file.write_text(str(os.getpid()))
        self.count = count
        self.began = time.monotonic()
        self.works_since = None
        self.base_s = int(checkpoint, 16) / 1000 if checkpoint else 0.0

    def is_complete(self):
        """Return whether all members are present."""
        present = 0
        for path in self.folder.iterdir():
            try:
                os.kill(int(path.read_text()), 0)
                present += 1
            except (OSError, ValueError):
                pass
        return present >= self.count

    def get_progress(self):
        """Return the seconds of work that are done."""
        if self.works_since is None:
            return self.base_s
        restore = RESTORE_S if self.base_s else 0.0
        worked = time.monotonic() - self.works_since - restore
        return self.base_s + max(0.0, worked)

    def get_checkpoint(self):
        """Return the last value; empty before the first."""
        saved = int(self.get_progress() / CHECKPOINT_S) * CHECKPOINT_S
        return f"{int(saved * 1000):016x}" if saved else ""

    def advance(self, work):
        """Return how the run ends now, or None."""
        if self.works_since is None:
            if self.is_complete():
                self.works_since = time.monotonic()
            elif time.monotonic() - self.began > GANG_TIMEOUT_S:
                return "alone"
            return None
        if self.get_progress() >= work:
            return "done"
        return None if self.is_complete() else "broken"

    def leave(self):
        """Remove this member."""
        self.file.unlink(missing_ok=True)


class Runner:
    """One life of a runner: its runs, ends, fence and lease."""

    def __init__(self, options, journal):
        self.options = options
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.changed = threading.Condition()
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_count = 0
        self.journal = journal
        self.seq = 0

    def read_clock(self):
        """Return the steady clock of this life in ms."""
        return int((time.monotonic() - self.began) * 1000) + 1000

    def write(self, event, task="", run=0, how="", checkpoint=""):
        """Write an event into the journal."""
        line = {
            "at": round(time.time(), 3),
            "event": event,
            "id": self.options["id"],
            "born": self.born,
            "labels": self.options["labels"],
            "task": task,
            "run": run,
            "how": how,
            "checkpoint": checkpoint,
        }
        self.journal.write(json.dumps(line) + "\n")

    def register(self, state="ready"):
        """Write the entry into the platform's store."""
        options = self.options
        self.seq += 1
        entry = {
            "service": options["service"],
            "address": options["address"],
            "zone": "zone-a",
            "version": "1",
            "slots": 8,
            "state": state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
            "machine": options["machine"],
            "capacity": {"cpu": options["cpu"], "memMb": 65536, "gpu": 0},
            "labels": options["labels"],
        }
        connection = http.client.HTTPConnection(options["platform"], timeout=2)
        body = json.dumps({"id": options["id"], "entry": entry})
        connection.request("POST", "/standin/register", body)
        connection.getresponse().read()
        connection.close()

    def keep_registered(self):
        """Register every heartbeat."""
        time.sleep(self.options["registerAfterS"])
        while True:
            try:
                self.register()
            except OSError:
                pass
            time.sleep(self.options["heartbeatS"])

    def tick(self):
        """End what is done, and everything once the lease has expired."""
        while True:
            time.sleep(TICK_S)
            self.end_due()

    def end_due(self):
        """End the runs that are done, or all if the lease has expired."""
        with self.changed:
            now = time.monotonic()
            lapsed = self.read_clock() > self.lease_ms
            for task, run in list(self.runs.items()):
                gang = run["gang"]
                how = gang.advance(run["work"]) if gang else None
                if how:
                    self.end(task, how)
                elif run["until"] is not None and run["until"] <= now:
                    self.end(task, "done")
                elif lapsed:
                    self.end(task, "lapsed")

    def end(self, task, how):
        """End a run and list its end."""
        ended = self.runs.pop(task)
        run, gang = ended["run"], ended["gang"]
        saved = gang.get_checkpoint() if gang else ""
        if gang:
            gang.leave()
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, task, run, how, saved])
        self.write("ended", task, run, how, saved)
        self.changed.notify_all()

    def extend(self, call):
        """Extend the lease; it never shortens."""
        if "deadlineMs" in call:
            latest = self.read_clock() + HOLD_MAX_MS
            self.lease_ms = max(self.lease_ms, min(call["deadlineMs"], latest))

    def start(self, call):
        """Handle an order to start a run."""
        task, run = call["task"], call["run"]
        if call["deadlineMs"] < self.read_clock():
            return 409, {"reason": "late"}
        self.extend(call)
        if task in self.runs and self.runs[task]["run"] == run:
            return 200, {}
        if run <= self.highest.get(task, 0) or task in self.runs:
            return 409, {"reason": "old"}
        spec = json.loads(call["spec"])
        used = sum(item["cpu"] for item in self.runs.values())
        if used + spec["cpu"] > self.options["cpu"]:
            return 409, {"reason": "room"}
        now = time.monotonic()
        work = spec.get("workS")
        checkpoint = call.get("lastCheckpoint", "")
        gang = None
        if "gang" in spec:
            folder = self.options["gangs"]
            gang = Gang(folder, task, run, spec["gang"], checkpoint)
        self.runs[task] = {
            "run": run,
            "cpu": spec["cpu"],
            "began": now,
            "work": work,
            "until": None if work is None or gang else now + work,
            "gang": gang,
        }
        self.write("started", task, run, "", checkpoint)
        return 200, {}

    def stop(self, call):
        """Handle an order to stop a run."""
        task, run = call["task"], call["run"]
        if task in self.runs and self.runs[task]["run"] == run:
            self.end(task, "stopped")
        self.highest[task] = max(run, self.highest.get(task, 0))
        return 200, {}

    def hold(self, call):
        """Handle a hold call; waits for an end if asked to."""
        self.extend(call)
        seen = call.get("lastSeen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.wait(max(0.0, until - time.monotonic()))
        now = time.monotonic()
        running = []
        for task, run in self.runs.items():
            percent = 50
            if run["work"] is None and now - run["began"] >= READY_S:
                percent = 100
            saved = run["gang"].get_checkpoint() if run["gang"] else ""
            running.append([task, run["run"], saved, percent, run["cpu"]])
        return 200, {"running": running, "finished": self.ends[:500]}

    def answer(self, handler, call):
        """Answer an order."""
        expected = handler.headers.get("X-Chestnutstair-Expect-Instance")
        if expected and expected != self.options["id"]:
            send_json(handler, 421, {"clockMs": self.read_clock()})
            return
        with self.changed:
            fence = call.get("fence", 0)
            if fence < self.fence:
                status, body = 409, {"reason": "fence"}
            else:
                self.fence = fence
                match handler.path:
                    case "/api/run-start":
                        status, body = self.start(call)
                    case "/api/run-stop":
                        status, body = self.stop(call)
                    case "/api/hold":
                        status, body = self.hold(call)
                    case "/api/pace":
                        status, body = 200, {}
                    case _:
                        status, body = 404, {}
            body = {**body, "clockMs": self.read_clock(), "born": self.born}
        send_json(handler, status, body)


def main():
    """Serve until the process is ended."""
    options = json.loads(sys.argv[1])
    runner = Runner(options, open(options["journal"], "a", buffering=1))

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *args):
            pass

        def do_GET(self):
            send_json(self, 200, {})

        def do_POST(self):
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length)
            runner.answer(self, json.loads(body) if body else {})

    host, port = options["address"].split(":")
    server = QuietServer((host, int(port)), Handler)
    runner.write("life")
    for work in (runner.keep_registered, runner.tick):
        threading.Thread(target=work, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
