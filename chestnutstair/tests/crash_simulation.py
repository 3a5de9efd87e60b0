"""Workers that crash when they run a deadly task, without a network."""

from dataclasses import replace

from chestnutstair.scheduling.placement import Placement
from chestnutstair.scheduling.ports import RunEnd, WorkerEntry
from chestnutstair.scheduling.progress import JobRecord
from chestnutstair.tests.scheduling_support import TrackerHarness, build_entry

__all__ = ["CrashSimulation"]

WORKERS = ("w1", "w2", "w3", "w4")
RETURN_SECONDS = 3.3  # from a worker's crash to the start of the next one
LEASE_SECONDS = 6.0
RUN_SECONDS = 1.0
ROUND_SECONDS = 0.1


class CrashSimulation:
    """A leader and workers, of which those that run a deadly task crash.

    - `deadly`: names of the tasks.
    - `crash_seconds`: from a deadly task's start to the crash.
    - `return_seconds`: from a crash to the registration of the next worker.
    - `keeps_name`: the next worker has the name of the one before.
    """

    def __init__(
        self,
        deadly: set[str],
        crash_seconds: float = 0.0,
        return_seconds: float = RETURN_SECONDS,
        keeps_name: bool = False,
    ) -> None:
        self.deadly = deadly
        self.starts: list[str] = []  # tasks, in the order of their starts
        self.harness = TrackerHarness(())
        self._crash_seconds = crash_seconds
        self._return_seconds = return_seconds
        self._keeps_name = keeps_name
        self._entries: dict[str, WorkerEntry] = {}
        # When runs end, by worker and task.
        self._end_times: dict[str, dict[str, float]] = {}
        self._end_numbers: dict[str, int] = {}
        self._crashes: list[tuple[float, str]] = []  # time and worker
        self._returns: list[tuple[float, WorkerEntry]] = []
        for name in WORKERS:
            self._register(build_entry(name))

    def run(self, seconds: float) -> None:
        """Let the leader and the workers act for the given time."""
        until = self.harness.clock.now + seconds
        while self.harness.clock.now < until:
            self.harness.clock.now += ROUND_SECONDS
            self._crash_due()
            self._return_due()
            self._stop_runs()
            for name in list(self._end_times):
                self._answer(name)
            self.harness.tracker.release_expired()
            for placement in self.harness.plan():
                self._start(placement)

    def replace_leader(self) -> None:
        """Continue with another leader, which knows what was stored."""
        previous = self.harness
        self.harness = TrackerHarness((), previous.clock.now)
        for record in previous.tracker.jobs.values():
            self.harness.tracker.restore_job(
                record.submission, record.encode()
            )
        for name in self._end_times:
            self.harness.tracker.apply_worker_entry(self._entries[name])

    def get_job(self, name: str) -> JobRecord:
        """Return a job as the present leader knows it."""
        return self.harness.tracker.jobs[name]

    def count_starts(self, task: str) -> int:
        """Return how often workers have started a task."""
        return self.starts.count(task)

    def _register(self, entry: WorkerEntry) -> None:
        self._entries[entry.name] = entry
        self._end_times[entry.name] = {}
        self._end_numbers[entry.name] = 0
        self.harness.tracker.apply_worker_entry(entry)

    def _start(self, placement: Placement) -> None:
        name = placement.worker.name
        task = placement.record.name_task(placement.key)
        if name not in self._end_times:
            # It has crashed in this round: the start is refused.
            self.harness.tracker.withdraw(
                placement.worker, task, placement.run, "refused"
            )
            return
        self.starts.append(task)
        self.harness.start_all([placement])
        now = self.harness.clock.now
        self._end_times[name][task] = now + RUN_SECONDS
        if task in self.deadly:
            self._end_times[name][task] = float("inf")
            self._crashes.append((now + self._crash_seconds, name))
            self._crash_due()

    def _crash_due(self) -> None:
        now = self.harness.clock.now
        for item in [item for item in self._crashes if item[0] <= now]:
            self._crashes.remove(item)
            if self._end_times.pop(item[1], None) is not None:
                self._schedule_return(self._entries[item[1]])

    def _schedule_return(self, entry: WorkerEntry) -> None:
        at = self.harness.clock.now + self._return_seconds
        name = entry.name
        if not self._keeps_name:
            name = f"worker-{len(self._end_numbers) + len(self._returns)}"
        self._returns.append(
            (at, replace(entry, name=name, born_ms=int(at * 1000)))
        )
        worker = self.harness.get_worker(entry.name)
        worker.unresponsive = True  # its connections are closed

    def _return_due(self) -> None:
        now = self.harness.clock.now
        for item in [item for item in self._returns if item[0] <= now]:
            self._returns.remove(item)
            self._register(item[1])

    def _stop_runs(self) -> None:
        for stop in self.harness.tracker.list_stop_requests():
            end_times = self._end_times.get(stop.worker.name)
            if end_times is not None:
                end_times.pop(stop.task, None)
                self.harness.tracker.confirm_stop(
                    stop.worker, stop.task, stop.run
                )

    def _answer(self, name: str) -> None:
        worker = self.harness.get_worker(name)
        end_times = self._end_times[name]
        now = self.harness.clock.now
        ends = []
        for task in [task for task, at in end_times.items() if at <= now]:
            del end_times[task]
            if task not in worker.runs:
                continue
            self._end_numbers[name] += 1
            run = worker.runs[task].run
            number = self._end_numbers[name]
            ends.append(RunEnd(number, task, run, "done", ""))
        runs = [
            run
            for run in self.harness.list_runs(name)
            if run.task in end_times
        ]
        worker.sent_deadline_ms = int((now + LEASE_SECONDS) * 1000)
        self.harness.answer(
            name,
            runs,
            ends,
            sent=now + 0.01,
            born_ms=self._entries[name].born_ms,
        )
