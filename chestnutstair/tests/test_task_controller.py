"""Tests the control loop that places tasks."""

import unittest
from dataclasses import replace

from chestnutstair.coordination.platform import Key, TaskPhase, Write
from chestnutstair.coordination.pool_reconciler import PlacementSettings
from chestnutstair.coordination.task_controller import (
    JobStatus,
    TaskController,
)
from chestnutstair.standins.memory_workers import (
    MemoryWorkers,
    Reachability,
    TaskBehaviour,
)
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.change import DrainChange, OutageChange, TicketChange
from chestnutstair.state.deadline import Deadline
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import Resources
from chestnutstair.state.ticket import Removal, Ticket
from chestnutstair.tests.support import (
    FixedDutyHolder,
    ManualClock,
    build_log,
    build_ticket,
)


class ControllerCase(unittest.TestCase):
    """Sets up a pool of 8 workers and its controller."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.log = build_log(self.table, self.clock)
        self.workers = MemoryWorkers(self.clock)
        self.controller = self.open()
        self.accept(replace(build_ticket(), jobs=()))

    def open(self) -> TaskController:
        return TaskController(
            self.log,
            self.table,
            FixedDutyHolder(self.table, self.clock),
            self.workers,
            self.clock,
            PlacementSettings(),
        )

    def take_over(self) -> None:
        """Replace the controller by one that holds a higher duty token."""
        write = Write(Key("duty", "placement/boxes"), {"token": 2})
        self.table.commit([], [write], self.deadline()).unwrap()
        self.controller = self.open()

    def deadline(self) -> Deadline:
        return Deadline.after(self.clock, 5.0)

    def accept(self, ticket: Ticket) -> None:
        self.log.append(TicketChange(ticket), self.deadline()).unwrap()

    def submit(self, *jobs: Job, removed: tuple[str, ...] = ()) -> None:
        number = self.log.view.ticket + 1
        self.accept(
            Ticket(number, "ana", jobs=jobs, remove=Removal(jobs=removed))
        )

    def build_job(self, name: str = "build", count: int = 4) -> Job:
        size = Resources(32, 64)
        return Job(name, "toys", "boxes", "normal", size, 60.0, count)

    def run_rounds(self, seconds: float, step: float = 1.0) -> None:
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.controller.run_once(self.deadline())
            self.clock.now += step

    def count(self, name: str = "build") -> dict[str, int]:
        return self.get_status(name).tasks

    def get_status(self, name: str) -> JobStatus:
        statuses = self.controller.report_jobs(self.deadline()).unwrap()
        return next(s for s in statuses if s.job.name == name)


class ControllerTest(ControllerCase):
    """Tasks are started, monitored and stopped as the view requires."""

    def test_runs_every_task_once(self) -> None:
        self.submit(self.build_job(count=20))
        self.run_rounds(140)
        self.assertEqual(self.count(), {"finished": 20})
        finishes = self.workers.count_finished_runs()
        self.assertEqual(set(finishes.values()), {1})
        self.assertEqual(self.workers.find_overlaps(), [])

    def test_resolves_a_start_whose_answer_was_lost(self) -> None:
        for index in range(8):
            self.workers.reachability[f"boxes-{index}"] = (
                Reachability.ANSWERS_LOST
            )
        self.submit(self.build_job(count=1))
        self.run_rounds(3)
        self.workers.reachability.clear()
        self.run_rounds(80)
        self.assertEqual(self.count(), {"finished": 1})
        self.assertEqual(len(self.workers.runs), 1)

    def test_starts_elsewhere_only_after_the_lease(self) -> None:
        self.submit(self.build_job(count=1))
        self.run_rounds(3)
        (run,) = self.workers.runs.values()
        self.workers.reachability[run.worker] = Reachability.UNREACHABLE
        self.workers.clock_rates[run.worker] = 0.995
        self.run_rounds(120)
        self.assertEqual(len(self.workers.runs), 2)
        self.assertEqual(self.workers.find_overlaps(), [])
        self.assertEqual(self.count(), {"finished": 1})

    def test_stops_cancelled_tasks_before_starting_others(self) -> None:
        self.submit(self.build_job(count=16))
        self.run_rounds(3)
        cancelled = replace(self.build_job(count=16), cancelled=True)
        self.submit(cancelled, self.build_job("other", 16))
        self.run_rounds(2)
        self.assertEqual(self.count(), {"cancelled": 16})
        self.assertEqual(self.count("other"), {"running": 16})

    def test_clears_the_block_once_a_job_runs(self) -> None:
        self.submit(self.build_job(count=17))
        self.run_rounds(3)
        self.assertIn("NoRoomBlock", self.get_status("build").blocked)
        self.run_rounds(80)
        self.assertEqual(self.get_status("build").blocked, "")

    def test_deletes_the_rows_of_a_removed_job(self) -> None:
        self.submit(self.build_job())
        self.run_rounds(3)
        self.submit(removed=("build",))
        self.run_rounds(3)
        rows = self.table.scan("tasks", "", "~", 10, self.deadline())
        self.assertEqual(rows.unwrap(), ())

    def test_runs_every_task_of_a_resubmitted_job(self) -> None:
        self.submit(self.build_job(count=6))
        self.run_rounds(3)
        worker = self.find_worker("build/5")
        self.workers.reachability[worker] = Reachability.UNREACHABLE
        self.submit(removed=("build",))
        self.run_rounds(3)
        self.submit(self.build_job(count=6))
        self.run_rounds(150)
        self.assertEqual(self.count(), {"finished": 6})

    def find_worker(self, task: str) -> str:
        runs = self.workers.runs.values()
        return next(run.worker for run in runs if run.task == task)

    def test_moves_tasks_off_a_draining_worker(self) -> None:
        self.submit(self.build_job(count=1))
        self.run_rounds(31)
        (run,) = self.workers.runs.values()
        drain = DrainChange(run.worker, "wave-1", 0.0)
        self.log.append(drain, self.deadline()).unwrap()
        self.run_rounds(35)  # enough only if resumed from the checkpoint
        self.assertEqual(self.count(), {"finished": 1})
        workers = {run.worker for run in self.workers.runs.values()}
        self.assertEqual(len(workers), 2)

    def test_gives_up_a_job_that_fails_everywhere(self) -> None:
        self.workers.behaviours["build"] = TaskBehaviour(fails=True)
        self.submit(self.build_job(count=1))
        self.run_rounds(80)  # the last try is a probe after 60 s
        self.assertEqual(self.count(), {"failed": 1})
        workers = {run.worker for run in self.workers.runs.values()}
        self.assertEqual(len(workers), 4)

    def test_retries_on_the_only_serving_worker(self) -> None:
        self.workers.behaviours["build"] = TaskBehaviour(fails=True)
        self.submit(self.build_job(count=1))
        for index in range(1, 8):
            outage = OutageChange(f"boxes-{index}")
            self.log.append(outage, self.deadline()).unwrap()
        self.run_rounds(40)
        self.assertEqual(self.count(), {"failed": 1})
        tokens = [run.token for run in self.workers.runs.values()]
        self.assertEqual(len(tokens), 4)
        self.assertEqual(sorted(set(tokens)), tokens)

    def test_reports_an_oversize_job_and_runs_the_others(self) -> None:
        huge = replace(self.build_job("huge"), resources=Resources(65, 1))
        self.submit(huge, self.build_job())
        self.run_rounds(3)
        self.controller = self.open()  # any daemon can report it
        self.assertIn("OversizeBlock", self.get_status("huge").blocked)
        self.assertEqual(self.count(), {"running": 4})

    def submit_urgent_to_full_pool(self, checkpoint_seconds: float) -> None:
        """Fill the pool with tasks of low urgency, then submit urgent ones."""
        patient = replace(self.build_job("slow", 32), urgency="patient")
        self.workers.behaviours["slow"] = TaskBehaviour(
            600.0, checkpoint_seconds=checkpoint_seconds
        )
        self.submit(patient)
        self.run_rounds(20, 0.5)
        self.submit(replace(self.build_job("now", 5), urgency="urgent"))
        self.submitted_at = self.clock.now

    def test_starts_urgent_work_in_time(self) -> None:
        self.submit_urgent_to_full_pool(checkpoint_seconds=1.2)
        self.run_rounds(3.8, 0.5)
        runs = [r for r in self.workers.runs.values() if "now" in r.task]
        self.assertEqual(len(runs), 5)
        last = max(run.started_at for run in runs)
        self.assertLess(
            last - self.submitted_at, 2.0
        )  # seconds of model time; the limit is 3.8
        stopped = [
            run
            for run in self.workers.runs.values()
            if run.phase is TaskPhase.STOPPED
        ]
        self.assertEqual(len(stopped), 5)

    def test_stops_a_task_whose_checkpoint_takes_too_long(self) -> None:
        self.submit_urgent_to_full_pool(checkpoint_seconds=60.0)
        self.run_rounds(3.8, 0.5)
        self.assertEqual(self.count("now"), {"running": 5})
