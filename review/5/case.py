"""A runner crashes and starts again under its id, of another kind."""

import json
import os
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import TROUBLE, run_case  # noqa: E402

JOB = "00000000000000c1"
TASK_MS = 100_000
RUNNERS = 8
ROUNDS = 10
DOWN_SECONDS = 1.0
REGISTER_SECONDS = float(os.environ.get("REGISTER_SECONDS", "0.5"))


class Judge:
    """Finds starts on a runner without the label that the step requires."""

    def __init__(self):
        self.lock = threading.Lock()
        self.wrong = []
        self.begun = set()

    def on_start(self, runner, run, call, step):
        with self.lock:
            self.begun.add(run.task)
            if step.get("requires") and step["requires"] not in runner.labels:
                age = time.monotonic() - runner.began
                self.wrong.append((run.task, run.run, runner.name, round(age, 3)))

    def on_end(self, runner, run, how, number):
        pass

    def on_acknowledged(self, runner, end):
        pass


def play(deployment):
    platform = deployment.platform
    judge = Judge()
    platform.listeners.append(judge)
    platform.configure(1, {"mail": {}})
    for number in range(1, RUNNERS + 1):
        kind = "a" if number <= RUNNERS // 2 else "b"
        rack = f"r1-{(number + 3) // 4}"
        platform.add_runner(f"i-r{number}", f"m-{number}", [kind, rack])
    deployment.start()
    body = {
        "spec": json.dumps({"ms": TASK_MS}),
        "steps": [
            {
                "count": 24,
                "cpu": 16000,
                "memMb": 512,
                "estimateMs": TASK_MS,
                "requires": "a",
            }
        ],
    }
    deployment.submit("mail", JOB, body)
    # Four tasks on each of the four runners of kind a; the others wait.
    deployment.wait("16 starts", 15.0, lambda: len(judge.begun) >= 16)
    time.sleep(1.0)
    kinds = ["b", "a"] * (ROUNDS // 2)
    for kind in kinds:
        if not TROUBLE:
            kind = "a"
        runner = platform.runners["m-1"]
        runner.crash()
        time.sleep(DOWN_SECONDS + 0.037 * len(judge.wrong))
        again = platform.add_runner(
            runner.name,
            runner.machine,
            [kind, "r1-1"],
            runner.port,
            register=False,
        )
        time.sleep(REGISTER_SECONDS)
        again.register()
        time.sleep(2.5)
    deployment.record.write("judged", wrong=judge.wrong)
    if judge.wrong:
        return (
            "ROUTE: starts without the required label (task, run, runner,"
            f" seconds since its start): {judge.wrong}"
        )
    return ""


run_case(FOLDER, play)
