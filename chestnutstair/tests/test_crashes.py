"""Tests of tasks whose workers crash, without a network.

A deadly task crashes each worker that starts it. The VM's next worker
registers some seconds later, under another name.
"""

import unittest
from dataclasses import replace

from chestnutstair.scheduling.placement import Placement
from chestnutstair.scheduling.ports import RunEnd
from chestnutstair.scheduling.progress import JobState
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import TrackerHarness, build_entry

WORKERS = ("w1", "w2", "w3", "w4")
RETURN_SECONDS = 3.3  # from a worker's crash to the start of the next one
LEASE_SECONDS = 6.0
RUN_SECONDS = 1.0
ROUND_SECONDS = 0.1
BATCH = Step(6, 3500, estimate_ms=1000)
DEADLY = "deadly.0.0.0"


class CrashSimulation:
    """Workers that run tasks, and crash when they start a deadly one."""

    def __init__(self, deadly: set[str]) -> None:
        self.deadly = deadly
        self.harness = TrackerHarness(WORKERS)
        self.starts: list[str] = []  # tasks, in the order of their starts
        # When runs end, by worker and task.
        self._end_times: dict[str, dict[str, float]] = {
            name: {} for name in WORKERS
        }
        self._end_numbers = dict.fromkeys(WORKERS, 0)
        self._returns: list[tuple[float, str]] = []  # time and VM

    def run(self, seconds: float) -> None:
        """Let the leader and the workers act for the given time."""
        until = self.harness.clock.now + seconds
        while self.harness.clock.now < until:
            self.harness.clock.now += ROUND_SECONDS
            self._return_workers()
            self._stop_runs()
            for name in list(self._end_times):
                self._answer(name)
            self.harness.tracker.release_expired()
            for placement in self.harness.plan():
                self._start(placement)

    def count_starts(self, task: str) -> int:
        """Return how often a worker has started a task."""
        return self.starts.count(task)

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
        if task in self.deadly:
            self._crash(name)
        else:
            end = self.harness.clock.now + RUN_SECONDS
            self._end_times[name][task] = end

    def _crash(self, name: str) -> None:
        del self._end_times[name]
        at = self.harness.clock.now + RETURN_SECONDS
        self._returns.append((at, self.harness.get_worker(name).entry.vm))

    def _return_workers(self) -> None:
        now = self.harness.clock.now
        due = [item for item in self._returns if item[0] <= now]
        for item in due:
            self._returns.remove(item)
            name = f"worker-{len(self._end_numbers)}"
            entry = replace(
                build_entry(name), vm=item[1], born_ms=int(now * 1000)
            )
            self.harness.tracker.apply_worker_entry(entry)
            self._end_times[name] = {}
            self._end_numbers[name] = 0

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
            name, runs, ends, sent=now + 0.01, born_ms=worker.entry.born_ms
        )


class DeadlyTaskTest(unittest.TestCase):
    """A task under which workers crash is given up; other tasks are not."""

    # Guards against starting a task again without limit while each worker
    # that starts it crashes.
    def test_a_task_that_crashes_each_of_its_workers_is_given_up(self) -> None:
        simulation = CrashSimulation({DEADLY})
        deadly = simulation.harness.admit("deadly", [BATCH])
        innocent = [
            simulation.harness.admit(f"job{number}", [BATCH])
            for number in range(8)
        ]
        simulation.run(40.0)
        self.assertLessEqual(simulation.count_starts(DEADLY), 5)
        self.assertIs(deadly.ended, JobState.FAILED)
        self.assertEqual(
            {record.ended for record in innocent}, {JobState.COMPLETED}
        )
