"""Checks the scheduler's guarantees during a soak."""

import threading
import time
from collections import defaultdict

from chestnutstair.tests.platform_emulator import EmulatedRunner, RunObserver

__all__ = ["CANCEL_SECONDS", "CONTACT_SECONDS", "SoakJudge"]

# The deployments' bounds: how long after the answer to its cancellation a task
# may start, and how long the store has to be calm for that.
CANCEL_SECONDS = 3.0
CONTACT_SECONDS = 3.0


class SoakJudge(RunObserver):
    """Records runs on runners and answers to callers; collects violations."""

    def __init__(self, runners: dict[str, EmulatedRunner]) -> None:
        self.runners = runners
        self.violations: list[str] = []
        self.run_count = 0
        self._lock = threading.RLock()
        # Completed tasks. The value is False where a rerun is allowed, as the
        # runner's lease expired before the completion was acknowledged.
        self._completed: dict[str, bool] = {}
        # Tasks with an unacknowledged completion, by id() of the runner.
        self._unacknowledged: dict[int, set[str]] = defaultdict(set)
        self._started_jobs: set[str] = set()
        self._accepted_jobs: set[str] = set()
        self._answers: dict[str, set[str]] = defaultdict(set)
        # When the cancellation of a job was answered, in monotonic time.
        self._cancelled_at: dict[str, float] = {}
        # When the store last lost an answer, in monotonic time.
        self.impaired_at = float("-inf")

    # Events of the runners

    def on_started(self, runner: EmulatedRunner, task: str) -> None:
        """Check that the task may start.

        It must neither run elsewhere nor be completed, and the previous step
        must have been completed.
        """
        with self._lock:
            self.run_count += 1
            self._started_jobs.add(task.partition(".")[0])
            other_runners = []
            for other in list(self.runners.values()):
                if other is not runner:
                    other.settle()  # process the runs that have ended by now
                    if task in other.runs:
                        other_runners.append(other.name)
            if other_runners:
                self._add_violation(
                    f"{task} runs on {runner.name} and {other_runners}"
                )
            if self._completed.get(task):
                self._add_violation(f"{task} starts again after it was done")
            self._check_step_order(task)
            self._check_cancellation(task)

    def _check_cancellation(self, task: str) -> None:
        now = time.monotonic()
        at = self._cancelled_at.get(task.partition(".")[0], now)
        calm_seconds = now - self.impaired_at
        if now - at > CANCEL_SECONDS and calm_seconds > CONTACT_SECONDS:
            self._add_violation(
                f"{task} starts {now - at:.2f} s after its cancellation"
            )

    def _check_step_order(self, task: str) -> None:
        job, occurrence, step, _ = task.split(".")
        if step == "0":
            return
        previous_step = f"{job}.{occurrence}.{int(step) - 1}."
        if not any(name.startswith(previous_step) for name in self._completed):
            self._add_violation(
                f"{task} starts before the step that it waits for"
            )

    def on_ended(self, runner: EmulatedRunner, task: str, how: str) -> None:
        """Record that a task has completed on a runner."""
        if how == "done":
            with self._lock:
                self._completed[task] = True
                self._unacknowledged[id(runner)].add(task)

    def on_end_acknowledged(
        self, runner: EmulatedRunner, task: str, how: str
    ) -> None:
        """Make a completion final: the task may never run again."""
        with self._lock:
            self._unacknowledged[id(runner)].discard(task)

    def on_lease_expired(self, runner: EmulatedRunner) -> None:
        """Allow reruns of tasks whose completion was not acknowledged."""
        with self._lock:
            for task in self._unacknowledged.pop(id(runner), set()):
                self._completed[task] = False

    # Observations of the callers

    def record_answer(self, job: str, answer: str) -> None:
        """Record the answer to an attempt to submit a job."""
        with self._lock:
            self._answers[job].add(answer)
            if answer == "accepted":
                self._accepted_jobs.add(job)

    def record_cancelled(self, job: str) -> None:
        """Record that the cancellation of a job was answered."""
        with self._lock:
            self._cancelled_at.setdefault(job, time.monotonic())

    def list_cancelled(self) -> list[str]:
        """Return the jobs whose cancellation was answered."""
        with self._lock:
            return sorted(self._cancelled_at)

    def list_accepted(self) -> list[str]:
        """Return the jobs that were accepted and not cancelled."""
        with self._lock:
            return sorted(self._accepted_jobs - self._cancelled_at.keys())

    def check_final_state(self, job: str, state: str) -> None:
        """Check the state that a caller was last shown for an accepted job."""
        with self._lock:
            if state != "completed":
                self._add_violation(
                    f"{job} was accepted and is shown as {state}"
                )
            elif not any(
                name.startswith(f"{job}.") for name in self._completed
            ):
                self._add_violation(
                    f"{job} is shown as completed but was never run"
                )

    def check_refused_jobs(self) -> None:
        """Check that jobs whose submission was always refused have not run."""
        with self._lock:
            for job in self._started_jobs:
                if self._answers.get(job) == {"refused"}:
                    self._add_violation(
                        f"{job} was refused each time but has run"
                    )

    def _add_violation(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)
