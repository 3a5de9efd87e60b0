"""A job is cancelled while the store drops its history, and runs on."""

import http.client
import json
import os
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import TROUBLE, run_case  # noqa: E402

ROUNDS = 1
JOBS = 20  # handed in together in each round
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.2
HEADERS = {"Host": "jobs.example", "Content-Type": "application/json"}


class Judge:
    """Keeps which runs of each job are at work."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running = {}  # job -> tasks
        self.starts = []

    def on_start(self, runner, run, call, step):
        job = run.task.split(".")[0]
        with self.lock:
            self.running.setdefault(job, set()).add(run.task)
            self.starts.append((time.monotonic(), run.task, run.run))

    def on_end(self, runner, run, how, number):
        with self.lock:
            self.running[run.task.split(".")[0]].discard(run.task)

    def on_acknowledged(self, runner, end):
        pass


def submit_and_kill(deployment, node, jobs, body):
    """Hand jobs in together; the machine is killed once it accepted all.

    Returns the jobs that were accepted.
    """
    accepted = {}

    def submit(job):
        client = http.client.HTTPConnection(
            node.host, deployment.front_port, timeout=3.0
        )
        try:
            client.connect()
            start.wait(5.0)
            client.request("POST", f"/mail/{job}", json.dumps(body), HEADERS)
            accepted[job] = client.getresponse().status
        except (OSError, http.client.HTTPException) as error:
            accepted[job] = type(error).__name__
        client.close()

    start = threading.Event()
    threads = []
    for job in jobs:
        deployment.platform.world.jobs[job] = body
        threads.append(threading.Thread(target=submit, args=(job,)))
        threads[-1].start()
    time.sleep(0.1)
    start.set()
    for thread in threads:
        thread.join()
    if TROUBLE:
        os.kill(node.process.pid, signal.SIGKILL)
        node.process.wait()
    for job, answer in accepted.items():
        deployment.record.write(
            "request", node=node.name, method="POST", path=f"/mail/{job}",
            answer=answer,
        )
    if TROUBLE:
        deployment.record.write("node-signalled", node=node.name, signal="SIGKILL")
    return [job for job, answer in accepted.items() if answer == 200]


def play(deployment):
    platform = deployment.platform
    judge = Judge()
    platform.listeners.append(judge)
    platform.configure(1, {"mail": {}})
    for number in range(1, 5):
        platform.add_runner(f"i-r{number}", f"m-{number}", ["a", "r1-1"])
    deployment.start()
    body = {
        "spec": json.dumps({}),
        "steps": [
            {"count": 2, "cpu": 500, "memMb": 64, "longRunning": True}
        ],
    }
    cancelled = {}  # job -> when its cancelling was acknowledged
    for number in range(ROUNDS):
        jobs = [f"{number + 1:08x}{n:08x}" for n in range(JOBS)]
        deployment.wait(
            "nodes ready",
            20.0,
            lambda: all(node.is_ready() for node in deployment.nodes),
        )
        leader = deployment.find_leader()
        taker, other = [n for n in deployment.nodes if n is not leader]
        if TROUBLE:
            platform.store.drop_history(1.0)
            time.sleep(0.05)
        for job in submit_and_kill(deployment, taker, jobs, body):
            answer, _ = other.call("DELETE", f"/mail/{job}")
            if answer == 200:
                cancelled[job] = time.monotonic()
        if TROUBLE:
            taker.start()
        time.sleep(2.0)
    # A calm stretch, much longer than cancel_ms and stopMs.
    time.sleep(10.0)
    now = time.monotonic()
    with judge.lock:
        at_work = {
            job: (sorted(judge.running[job]), round(now - at, 1))
            for job, at in cancelled.items()
            if judge.running.get(job)
        }
    states = {job: deployment.get_state("mail", job) for job in at_work}
    deployment.record.write(
        "judged", cancelled=len(cancelled), at_work=at_work, states=states
    )
    if not cancelled:
        return ""
    if at_work:
        return (
            f"UNASKED: {len(at_work)} of {len(cancelled)} cancelled jobs are"
            " at work (tasks, seconds since the cancelling was"
            f" acknowledged): {at_work}; shown as {states}"
        )
    return ""


run_case(FOLDER, play)
