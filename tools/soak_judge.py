"""Judges a soak by what runners and callers have seen."""

import threading
from collections import defaultdict

from chestnutstair.tests.platform_emulator import EmulatedRunner, RunObserver

__all__ = ["SoakJudge"]


class SoakJudge(RunObserver):
    """Notes every begin and end of a run, and what callers were told."""

    def __init__(self, runners: dict[str, EmulatedRunner]) -> None:
        self.runners = runners
        self.broken: list[str] = []
        self.begun = 0
        self._lock = threading.RLock()
        self._done: dict[str, bool] = {}  # by task; whether it still binds
        self._unseen: dict[int, set[str]] = defaultdict(set)
        self._started: set[str] = set()  # jobs
        self._accepted: set[str] = set()
        self._answers: dict[str, set[str]] = defaultdict(set)

    # What runners do

    def on_started(self, runner: EmulatedRunner, task: str) -> None:
        """Check that nobody else runs the task, and that it is not done."""
        with self._lock:
            self.begun += 1
            self._started.add(task.partition(".")[0])
            others = []
            for other in list(self.runners.values()):
                if other is not runner:
                    other.settle()  # what has ended there until now
                    if task in other.runs:
                        others.append(other.name)
            if others:
                self._break(f"{task} runs on {runner.name} and {others}")
            if self._done.get(task):
                self._break(f"{task} begins again after it was done")
            self._check_turn(task)

    def _check_turn(self, task: str) -> None:
        job, occurrence, step, _ = task.split(".")
        if step == "0":
            return
        before = f"{job}.{occurrence}.{int(step) - 1}."
        if not any(name.startswith(before) for name in self._done):
            self._break(f"{task} begins before the step that it waits for")

    def on_ended(self, runner: EmulatedRunner, task: str, how: str) -> None:
        """Remember that a task is done."""
        if how == "done":
            with self._lock:
                self._done[task] = True
                self._unseen[id(runner)].add(task)

    def on_end_acknowledged(
        self, runner: EmulatedRunner, task: str, how: str
    ) -> None:
        """Let an end that was taken note of bind for good."""
        with self._lock:
            self._unseen[id(runner)].discard(task)

    def on_lease_expired(self, runner: EmulatedRunner) -> None:
        """Forget ends of which nobody has taken note; they bind nobody."""
        with self._lock:
            for task in self._unseen.pop(id(runner), set()):
                self._done[task] = False

    # What callers see

    def note_answer(self, job: str, answer: str) -> None:
        """Remember how an attempt to hand a job in was answered."""
        with self._lock:
            self._answers[job].add(answer)
            if answer == "accepted":
                self._accepted.add(job)

    def list_accepted(self) -> list[str]:
        """Return the jobs that were accepted."""
        with self._lock:
            return sorted(self._accepted)

    def note_state(self, job: str, state: str) -> None:
        """Check the state that a caller was shown in the end."""
        with self._lock:
            if state != "completed":
                self._break(f"{job} was accepted and is shown as {state}")
            elif not any(name.startswith(f"{job}.") for name in self._done):
                self._break(f"{job} is shown as completed and was never run")

    def check_refusals(self) -> None:
        """Check that no job has run that was refused each time."""
        with self._lock:
            for job in self._started:
                if self._answers.get(job) == {"refused"}:
                    self._break(f"{job} was refused each time, and has run")

    def _break(self, what: str) -> None:
        if what not in self.broken:
            self.broken.append(what)
