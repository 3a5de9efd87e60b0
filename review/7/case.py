"""A caller cancels a job of whose submission it got no answer.

The store loses the answers of the writes that hold the submission and
performs them 5.5 s later. The caller gets 504, cancels at another node, and
is told that no such job exists (410). The job runs all the same.
"""

import json
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from deployment import has_trouble, play  # noqa: E402

JOB = "00000000000000a7"
OTHER = "00000000000001{:02x}"
CANCEL_S = 3.0  # cancel_ms
LATE_S = 5.5  # platform_lost, how late: done 1 to 6 s later
LOST_S = 1.2  # for_s of platform_lost; the site file has up to 4.5
OTHER_JOBS = 40
OTHER_PAUSE_S = 0.1
STEPS = [{"count": 2, "cpu": 2000, "memMb": 256, "estimateMs": 1000}]


class Loss:
    """Loses the answers of writes of one job's submission for a while."""

    def __init__(self):
        self.until = 0.0
        self.writes = 0
        self.lost = 0

    def __call__(self, call):
        """Return when a write is performed without an answer, or None."""
        if time.monotonic() >= self.until:
            return None
        self.writes += 1
        if all(item["key"] != f"job/{JOB}" for item in call.get("puts", [])):
            return None
        self.lost += 1
        return LATE_S


loss = Loss()


def run(deployment):
    """Return what broke the rule, or None."""
    deployment.configure()
    for number in range(4):
        deployment.start_runner(f"i-{number}", 16_000, ["a", "r1-1"])
    deployment.start_nodes()
    time.sleep(1.0)
    first, second = deployment.nodes

    def submit_others():
        for number in range(OTHER_JOBS):
            deployment.submit(
                OTHER.format(number), STEPS, second, cpu=2000, workS=0.5
            )
            time.sleep(OTHER_PAUSE_S)

    # Other callers' jobs are served all the while.
    others = threading.Thread(target=submit_others)
    others.start()
    time.sleep(0.5)
    body = {"spec": json.dumps({"cpu": 2000, "workS": 1.0}), "steps": STEPS}
    if has_trouble():
        loss.until = time.monotonic() + LOST_S
        deployment.record("the store begins to lose answers")
    deployment.call(first, "POST", JOB, body)
    status, _ = deployment.call(second, "DELETE", JOB)
    cancelled_at = time.time()
    if status not in (200, 410):
        others.join()
        deployment.record("the cancelling was not acknowledged")
        return None
    others.join()
    time.sleep(LATE_S + 2.0)
    deployment.get_state(JOB)
    deployment.record(f"writes {loss.writes}, answers lost {loss.lost}")
    starts = [
        event["at"] - cancelled_at
        for event in deployment.read_journal()
        if event["event"] == "started" and event["task"].startswith(JOB)
    ]
    late = [round(seconds, 3) for seconds in starts if seconds > CANCEL_S]
    deployment.record(f"starts after the cancelling: {starts}")
    if late:
        return (
            f"tasks of {JOB} start {late} s after its cancelling was"
            f" acknowledged with {status}"
        )
    return None


sys.exit(play(HERE, run, lose=loss))
