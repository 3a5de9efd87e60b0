"""A runner crashes under a gang that checkpoints its progress."""

import json
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import TROUBLE, run_case  # noqa: E402
from platform_standin import Behaviour  # noqa: E402

GANG_JOBS = 3
MEMBERS = 4
WORK_MS = 8000
CHECKPOINT_SECONDS = 1.0  # checkpointS
GANG_TIMEOUT_SECONDS = 3.0  # gangTimeoutMs
RESTORE_SECONDS = 0.1  # restoreMs
LABELS = ["a", "r1-1"]


class Gangs(Behaviour):
    """Gangs that work once all members of one run are present.

    All members produce the same values, at the same moments.
    """

    def __init__(self, world):
        super().__init__(world)
        self.lock = threading.RLock()
        self.present = {}  # (gang, run) -> {task: (runner, run)}
        self.begun = {}  # (gang, run) -> (when its work began, work before)
        self.broken = set()  # (gang, run) of which a member has ended

    @staticmethod
    def name(task):
        return task.rsplit(".", 1)[0]

    def begin(self, runner, run, call, step, now):
        key = (self.name(run.task), run.run)
        run.saved = call.get("lastCheckpoint", "")
        with self.lock:
            members = self.present.setdefault(key, {})
            members[run.task] = (runner, run)
            if len(members) == step["count"]:
                done_ms = min(
                    int(item.saved[:8] or "0", 16)
                    for _, item in members.values()
                )
                self.begun[key] = (now + RESTORE_SECONDS, done_ms)

    def advance(self, runner, run, now):
        key = (self.name(run.task), run.run)
        with self.lock:
            begun = self.begun.get(key)
            if begun is None:
                if now - run.begun > GANG_TIMEOUT_SECONDS:
                    runner._end(run, "alone")
                return
            began, done_ms = begun
            if key in self.broken:
                runner._end(run, "broken")
                return
            saves = int(max(0.0, now - began) / CHECKPOINT_SECONDS)
            worked_ms = done_ms + int(saves * CHECKPOINT_SECONDS * 1000)
            if saves:
                run.saved = f"{worked_ms:08x}" + key[0][8:16]
            run.until = began + (WORK_MS - done_ms) / 1000


class Judge:
    """Finds gangs whose members were told to start with other values."""

    def __init__(self, gangs):
        self.gangs = gangs
        self.lock = threading.Lock()
        self.values = {}  # (gang, run) -> {task: lastCheckpoint}

    def on_start(self, runner, run, call, step):
        key = (Gangs.name(run.task), run.run)
        with self.lock:
            values = self.values.setdefault(key, {})
            values[run.task] = call.get("lastCheckpoint", "")

    def on_end(self, runner, run, how, number):
        if how not in ("done", "broken"):
            # The other members end as well.
            self.gangs.broken.add((Gangs.name(run.task), run.run))

    def on_acknowledged(self, runner, end):
        pass

    def find_mixed(self):
        with self.lock:
            return {
                f"{gang} run {run}": dict(values)
                for (gang, run), values in self.values.items()
                if len(set(values.values())) > 1
            }


def play(deployment):
    platform = deployment.platform
    platform.behaviour = Gangs(platform.world)
    judge = Judge(platform.behaviour)
    platform.listeners.append(judge)
    platform.configure(1, {"mail": {}})
    for number in range(1, 9):
        platform.add_runner(f"i-r{number}", f"m-{number}", LABELS)
    deployment.start()
    jobs = [f"{number + 1:016x}" for number in range(GANG_JOBS)]
    body = {
        "spec": json.dumps({"ms": WORK_MS}),
        "steps": [
            {
                "count": MEMBERS,
                "cpu": 20000,
                "memMb": 512,
                "estimateMs": WORK_MS,
                "gang": True,
                "checkpoint": True,
            }
        ],
    }
    for job in jobs:
        deployment.submit("mail", job, body)
    deployment.wait("the gangs at work", 15.0, lambda: len(
        platform.behaviour.begun
    ) >= GANG_JOBS)
    time.sleep(3.3)
    if TROUBLE:
        # One of the eight runners crashes, and is back after 1.5 s.
        runner = max(
            platform.runners.values(), key=lambda item: len(item.runs)
        )
        runner.crash()
        time.sleep(1.5)
        platform.add_runner(
            runner.name, runner.machine, runner.labels, runner.port
        )
    until = time.monotonic() + 45.0
    states = []
    while time.monotonic() < until:
        states = [deployment.get_state("mail", job) for job in jobs]
        if all(state in ("completed", "failed") for state in states):
            break
        time.sleep(0.5)
    mixed = judge.find_mixed()
    deployment.record.write("judged", mixed=mixed, states=states)
    if mixed:
        return (
            "UNASKED: the members of a gang were told to start with other"
            f" values of lastCheckpoint: {mixed}"
        )
    if states != ["completed"] * GANG_JOBS:
        return f"LOST: states {states}"
    return ""


run_case(FOLDER, play)
