"""Tests of how events change the state of jobs and workers."""

import json
import unittest
from dataclasses import replace

from chestnutstair.scheduling.configuration import FleetConfiguration
from chestnutstair.scheduling.ports import RunEnd, RunListing
from chestnutstair.scheduling.progress import (
    JobState,
    TaskKey,
    TaskStatus,
)
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import TrackerHarness, build_entry

FIRST = TaskKey(0, 0, 0)
LASTING = Step(3, 4000, lasting=True, max_unavailable=1, spread_limit=1)


class EndsTest(unittest.TestCase):
    """Ends of runs advance their jobs, and each counts once."""

    def setUp(self) -> None:
        self.harness = TrackerHarness()

    def test_a_job_is_completed_by_the_end_of_its_last_task(self) -> None:
        record = self.harness.admit(
            "j", [Step(1, 1000), Step(1, 1000, after=(0,))]
        )
        first = self.harness.plan()
        self.assertEqual([item.key for item in first], [FIRST])
        self.harness.start_all(first)
        self.harness.end(first[0], "done")
        second = self.harness.plan()
        self.assertEqual([item.key for item in second], [TaskKey(0, 1, 0)])
        self.harness.start_all(second)
        self.harness.end(second[0], "done", 2)
        self.assertIs(record.ended, JobState.COMPLETED)
        self.assertEqual(self.harness.tracker.active, {})

    def test_an_end_listed_again_counts_once(self) -> None:
        record = self.harness.admit("j", [Step(1, 1000)])
        placed = self.harness.plan()
        self.harness.start_all(placed)
        self.harness.end(placed[0], "failed")
        self.harness.end(placed[0], "failed")
        self.assertEqual(record.get_task(FIRST).failures, 1)

    def test_a_job_fails_after_its_attempts(self) -> None:
        record = self.harness.admit("j", [Step(1, 1000)])
        for number in (1, 2):
            placed = self.harness.plan()
            self.assertEqual(len(placed), 1)
            self.harness.start_all(placed)
            self.harness.end(placed[0], "failed", number)
        self.assertIs(record.ended, JobState.FAILED)

    def test_attempts_count_before_the_configuration_is_known(self) -> None:
        # A leader that started right after a power loss of all nodes, still
        # without a configuration, reported 33 jobs as failed too early.
        self.harness.tracker.configuration = FleetConfiguration(0)
        record = self.harness.admit("j", [Step(1, 1000)])
        placed = self.harness.plan()
        self.harness.start_all(placed)
        self.harness.end(placed[0], "failed")
        self.assertIsNone(record.ended)

    def test_a_late_success_of_an_older_run_stops_the_newer_run(self) -> None:
        record = self.harness.admit("j", [Step(1, 1000)])
        old = self.harness.plan()[0]
        self.harness.tracker.withdraw(old.worker, "j.0.0.0", 1, "lapsed")
        new = self.harness.plan()[0]
        self.assertEqual(new.run, 2)
        ends = [RunEnd(1, "j.0.0.0", 1, "done", "")]
        self.harness.answer(old.worker.name, (), ends)
        self.assertIs(record.get_task(FIRST).status, TaskStatus.DONE)
        stops = self.harness.tracker.list_stop_requests()
        self.assertIn(("j.0.0.0", 2), [(s.task, s.run) for s in stops])

    def test_progress_is_restored_from_its_stored_form(self) -> None:
        record = self.harness.admit("j", [Step(2, 1000)])
        placed = self.harness.plan()
        self.harness.start_all(placed)
        self.harness.end(placed[0], "done")
        new_leader = TrackerHarness()
        new_leader.tracker.restore_job(record.submission, record.encode())
        restored = new_leader.tracker.jobs["j"]
        self.assertEqual(restored.tasks, record.tasks)
        self.assertIs(restored.state, JobState.RUNNING)

    def test_a_new_leader_does_not_count_a_failure_again(self) -> None:
        # The end was stored but not yet acknowledged when the leader stopped,
        # so the worker listed it again and the failure counted twice.
        record = self.harness.admit("j", [Step(1, 1000)])
        placed = self.harness.plan()
        self.harness.start_all(placed)
        self.harness.end(placed[0], "failed")
        self.harness.plan()
        new_leader = TrackerHarness(())
        new_leader.tracker.restore_job(record.submission, record.encode())
        new_leader.tracker.apply_worker_entry(
            build_entry(placed[0].worker.name)
        )
        new_leader.clock.now += 0.01
        ends = [RunEnd(1, "j.0.0.0", 1, "failed", "")]
        new_leader.answer(placed[0].worker.name, (), ends)
        restored = new_leader.tracker.jobs["j"]
        self.assertEqual(restored.get_task(FIRST).failures, 1)
        self.assertIsNone(restored.ended)


class RoomTest(unittest.TestCase):
    """A worker gets no more than it has, even if it does not check."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.worker = self.harness.get_worker("w1")

    def count_started(self, job: str, millicores: int) -> int:
        """Start tasks of a size; return how many."""
        self.harness.admit(job, [Step(100, millicores)])
        placed = self.harness.plan()
        self.harness.start_all(placed)
        return len(placed)

    # Guards against starts on a worker whose capacity has shrunk meanwhile.
    def test_a_worker_that_has_shrunk_gets_only_what_it_has_now(self) -> None:
        self.harness.move_entry("w1", millicores=20_000)
        self.assertEqual(self.count_started("j", 8000), 2)
        self.harness.move_entry("w1", millicores=10_000)
        self.assertEqual(self.harness.plan(), [])
        self.harness.move_entry("w1", millicores=64_000)
        self.assertEqual(len(self.harness.plan()), 6)

    # Guards against counting the room of a run as free before it has ended.
    def test_a_run_that_is_being_stopped_keeps_its_room(self) -> None:
        self.assertEqual(self.count_started("j", 32_000), 2)
        self.harness.tracker.cancel("j")
        self.assertEqual(self.count_started("k", 32_000), 0)
        for task, run in list(self.worker.runs.items()):
            self.harness.tracker.confirm_stop(self.worker, task, run.run)
        self.assertEqual(self.harness.plan(), [])
        self.harness.clock.now += 0.1
        self.harness.answer("w1")
        self.assertEqual(len(self.harness.plan()), 2)

    # Guards against starts beside a run that was taken for ended, as after a
    # partition, and is still there.
    def test_a_listed_run_that_was_released_keeps_its_room(self) -> None:
        self.assertEqual(self.count_started("j", 32_000), 2)
        listed = self.harness.list_runs("w1")
        for task, run in list(self.worker.runs.items()):
            self.harness.tracker.withdraw(self.worker, task, run.run, "lapsed")
        self.harness.answer("w1", listed)
        self.assertEqual(self.harness.plan(), [])
        self.harness.clock.now += 0.1
        self.harness.answer("w1", listed[:1])
        self.assertEqual(len(self.harness.plan()), 1)
        self.harness.answer("w1", self.harness.list_runs("w1"))
        self.assertEqual(len(self.harness.plan()), 1)


class InDoubtRunsTest(unittest.TestCase):
    """A task runs again only once its previous run cannot be running."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.record = self.harness.admit("j", [Step(1, 1000)])
        self.placed = self.harness.plan()[0]
        self.worker = self.placed.worker

    def test_a_start_without_answer_is_stopped_before_the_next(self) -> None:
        self.harness.tracker.mark_in_doubt(self.worker, "j.0.0.0", 1)
        self.assertEqual(self.harness.plan(), [])
        stops = self.harness.tracker.list_stop_requests()
        self.assertEqual([(s.task, s.run) for s in stops], [("j.0.0.0", 1)])
        self.harness.answer("w1")
        self.assertEqual(self.harness.plan(), [], "the stop has no answer yet")
        self.harness.tracker.confirm_stop(self.worker, "j.0.0.0", 1)
        self.harness.answer("w1", sent=self.harness.clock.now)
        self.assertEqual(self.harness.plan(), [], "listed before the stop")
        self.harness.clock.now += 0.1
        self.harness.answer("w1")
        self.assertEqual(self.harness.plan()[0].run, 2)

    def test_a_listing_older_than_the_start_is_ignored(self) -> None:
        sent = self.harness.clock.now
        self.harness.clock.now += 0.01
        self.harness.tracker.confirm_start(self.worker, "j.0.0.0", 1)
        self.harness.answer("w1", sent=sent)
        self.assertEqual(self.harness.plan(), [])

    def test_runs_of_an_unresponsive_worker_are_released_after_expiry(
        self,
    ) -> None:
        self.harness.tracker.confirm_start(self.worker, "j.0.0.0", 1)
        # Long after the start of the term, so that all leases from the
        # previous leader have expired.
        self.harness.clock.now += 20.0
        self.harness.answer_all()
        now_ms = int(self.harness.clock.now * 1000)
        self.worker.sent_deadline_ms = now_ms + 6000
        self.harness.clock.now += 6.05
        self.harness.tracker.release_expired()
        self.assertIs(
            self.record.get_task(FIRST).status,
            TaskStatus.PLACED,
            "a lease on a clock that is 2% slow has not expired yet",
        )
        self.harness.clock.now += (
            0.1 + self.harness.settings.check_interval_seconds
        )
        self.harness.tracker.release_expired()
        self.assertIs(self.record.get_task(FIRST).status, TaskStatus.WAITING)

    def test_leases_of_the_previous_leader_are_waited_for(self) -> None:
        # A new leader that had reached the worker once, but not sent it a
        # lease yet, considered its runs expired (seed 0 of test_protocol).
        self.harness.tracker.confirm_start(self.worker, "j.0.0.0", 1)
        self.harness.answer_all()
        self.harness.clock.now += 1.2
        self.harness.tracker.release_expired()
        status = self.record.get_task(FIRST).status
        self.assertIs(status, TaskStatus.PLACED)

    def test_a_restart_of_a_worker_ends_its_runs(self) -> None:
        self.harness.tracker.confirm_start(self.worker, "j.0.0.0", 1)
        self.harness.answer_all()
        self.harness.answer("w1", born_ms=2)
        self.assertIs(self.record.get_task(FIRST).status, TaskStatus.WAITING)
        self.assertEqual(self.harness.get_worker("w1").entry.born_ms, 2)

    def test_a_start_may_reach_the_worker_after_its_restart(self) -> None:
        # A start in flight while its worker restarted was executed after the
        # restart, and the task ran on another worker as well (seed 31 of the
        # soak test and seed 3 of test_protocol).
        self.harness.tracker.confirm_start(self.worker, "j.0.0.0", 1)
        self.harness.answer("w1", born_ms=2)
        self.assertEqual(self.harness.plan(), [])
        successor = self.harness.get_worker("w1")
        stops = self.harness.tracker.list_stop_requests()
        self.assertEqual([stop.worker for stop in stops], [successor])
        self.harness.tracker.confirm_stop(successor, "j.0.0.0", 1)
        self.harness.clock.now += 0.1
        self.harness.answer("w1", born_ms=2)
        self.assertIs(self.record.get_task(FIRST).status, TaskStatus.WAITING)

    def test_an_orphaned_run_is_stopped(self) -> None:
        listing = RunListing("j.0.0.0", 7, "", 0)
        self.harness.answer("w1", [*self.harness.list_runs("w1"), listing])
        self.harness.tracker.withdraw(self.worker, "j.0.0.0", 1, "refused")
        self.harness.answer("w1", [listing])
        stops = [
            (s.task, s.run) for s in self.harness.tracker.list_stop_requests()
        ]
        self.assertIn(("j.0.0.0", 7), stops)

    def test_a_new_leader_adopts_running_tasks(self) -> None:
        self.harness.tracker.confirm_start(self.worker, "j.0.0.0", 1)
        new_leader = TrackerHarness(())
        new_leader.tracker.restore_job(
            self.record.submission, self.record.encode()
        )
        new_leader.tracker.apply_worker_entry(build_entry("w1"))
        new_leader.clock.now += 0.01
        new_leader.answer("w1", [RunListing("j.0.0.0", 1, "", 0)])
        self.assertEqual(new_leader.plan(), [])
        new_leader.clock.now += 0.01
        new_leader.answer("w1", [])
        self.assertEqual(new_leader.plan()[0].run, 2)

    def test_a_new_leader_waits_for_unreachable_workers(
        self,
    ) -> None:
        new_leader = TrackerHarness(())
        new_leader.tracker.restore_job(
            self.record.submission, self.record.encode()
        )
        for seconds, status in ((6.9, "p"), (0.2, "w")):
            new_leader.clock.now += seconds
            new_leader.tracker.release_expired()
            state = new_leader.tracker.jobs["j"].get_task(FIRST)
            self.assertEqual(state.status, status)


class LastingTasksTest(unittest.TestCase):
    """Planned maintenance respects the limit of unavailable lasting tasks."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1", "w2", "w3", "w4"))
        self.record = self.harness.admit("j", [LASTING])
        placed = self.harness.plan()
        self.assertEqual(len(placed), 3)
        self.harness.start_all(placed)
        # Long after the begin of the term.
        self.harness.clock.now += 10.0

    def test_one_may_be_unavailable_while_the_others_are_ready(self) -> None:
        self.assertFalse(
            self.harness.tracker.allows_disruption(self.record, FIRST)
        )
        self.harness.answer_all()
        self.assertTrue(
            self.harness.tracker.allows_disruption(self.record, FIRST)
        )

    def test_a_new_leader_first_waits_for_stops_of_the_previous_one(
        self,
    ) -> None:
        # A worker that stops runs in 0.9 s listed a task as ready that the
        # leader before had stopped, and a second one of its step was stopped.
        stored = self.record.encode()
        harness = TrackerHarness(())
        harness.tracker.restore_job(self.record.submission, stored)
        record = harness.tracker.jobs["j"]
        for name in ("w1", "w2", "w3", "w4"):
            harness.tracker.apply_worker_entry(build_entry(name))
        harness.answer_all()
        self.assertFalse(harness.tracker.allows_disruption(record, FIRST))
        settings = harness.settings
        harness.clock.now += (
            settings.late_stop_seconds
            + settings.longest_stop_seconds
            + settings.contact_seconds
        )
        harness.answer_all()
        self.assertTrue(harness.tracker.allows_disruption(record, FIRST))

    def test_a_task_on_an_unresponsive_worker_counts_as_unavailable(
        self,
    ) -> None:
        # Tasks in a failed rack were still considered ready.
        self.harness.answer_all()
        failed_worker = self.record.get_task(TaskKey(0, 0, 1)).worker
        self.harness.clock.now += 4.7
        for name in list(self.harness.tracker.workers):
            if name != failed_worker:
                self.harness.answer(name, self.harness.list_runs(name))
        self.assertFalse(
            self.harness.tracker.allows_disruption(self.record, FIRST)
        )


class PendingCountTest(unittest.TestCase):
    """Jobs wait until a worker has begun one of their tasks.

    Jobs whose first start was refused or never sent counted as started: an
    overloaded leader told callers of 6 waiting jobs where 15 waited.
    """

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.record = self.harness.admit("j", [Step(1, 1000)])
        self.placed = self.harness.plan()[0]

    def count(self) -> int:
        return self.harness.tracker.count_pending("quick")

    def test_a_refused_start_leaves_the_job_waiting(self) -> None:
        self.assertEqual(self.count(), 1)
        self.harness.tracker.withdraw(self.placed.worker, "j.0.0.0", 1, "room")
        self.assertEqual(self.count(), 1)

    def test_a_start_that_was_acknowledged_has_begun(self) -> None:
        self.harness.start_all([self.placed])
        self.assertEqual(self.count(), 0)

    def test_a_listed_run_has_begun_though_its_answer_was_lost(self) -> None:
        self.harness.answer("w1", self.harness.list_runs("w1"))
        self.assertEqual(self.count(), 0)

    def restore(self, progress: bytes) -> TrackerHarness:
        """Return the harness of a new leader with the given progress."""
        harness = TrackerHarness(())
        harness.tracker.restore_job(self.record.submission, progress)
        return harness

    def test_a_new_leader_counts_jobs_whose_starts_were_not_sent(self) -> None:
        # After a loss of all nodes, 11 jobs were said to wait where 47 did:
        # stored placements whose starts were never sent counted as begun.
        placed = self.restore(self.record.encode())
        self.assertEqual(placed.tracker.count_pending("quick"), 1)
        self.harness.tracker.withdraw(
            self.placed.worker, "j.0.0.0", 1, "not sent"
        )
        withdrawn = self.restore(self.record.encode())
        self.assertEqual(withdrawn.tracker.count_pending("quick"), 1)

    def test_a_new_leader_takes_listed_runs_as_begun(self) -> None:
        restored = self.restore(self.record.encode())
        restored.tracker.apply_worker_entry(build_entry("w1"))
        restored.answer("w1", restored.list_runs("w1"))
        self.assertEqual(restored.tracker.count_pending("quick"), 0)

    def test_a_new_leader_takes_acknowledged_starts_as_begun(self) -> None:
        self.harness.start_all([self.placed])
        restored = self.restore(self.record.encode())
        self.assertEqual(restored.tracker.count_pending("quick"), 0)

    def test_progress_of_earlier_versions_can_be_restored(self) -> None:
        fields = json.loads(self.record.encode())
        del fields["start_confirmed"]
        restored = self.restore(json.dumps(fields).encode())
        self.assertEqual(restored.tracker.count_pending("quick"), 0)


class LastingRunsInDoubtTest(unittest.TestCase):
    """A lasting task whose start got no answer may be at work already.

    Stopping it while another task of its step is away, whose start was in
    doubt too, took the step below its limit.
    """

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.record = self.harness.admit("j", [Step(1, 1000, lasting=True)])
        self.placed = self.harness.plan()[0]
        self.harness.clock.now += 0.5
        self.harness.tracker.mark_in_doubt(self.placed.worker, "j.0.0.0", 1)

    def list_stops(self) -> list[str]:
        return [s.task for s in self.harness.tracker.list_stop_requests()]

    def test_a_run_that_the_worker_lists_goes_on(self) -> None:
        self.assertEqual(self.list_stops(), [])
        self.harness.clock.now += 0.1
        self.harness.answer("w1", self.harness.list_runs("w1"))
        self.harness.clock.now += 5.0
        self.harness.answer("w1", self.harness.list_runs("w1"))
        self.assertEqual(self.list_stops(), [])
        self.assertTrue(self.placed.worker.runs["j.0.0.0"].is_ready)

    def test_a_run_of_a_job_that_its_crash_ends_is_stopped(self) -> None:
        # Guards against a run of a failed job that goes on for ever: the
        # crash of its worker ended the job, and its start reached the
        # restarted worker.
        state = self.record.get_task(self.placed.key)
        crashed = replace(state, crashed_runs=(-3, -2, -1))
        self.record.set_task(self.placed.key, crashed)
        self.harness.clock.now += 0.1
        self.harness.answer("w1", born_ms=2)
        self.assertIsNotNone(self.record.ended)
        self.assertEqual(self.list_stops(), ["j.0.0.0"])
        self.harness.answer("w1", self.harness.list_runs("w1"), born_ms=2)
        self.assertEqual(self.list_stops(), ["j.0.0.0"])

    def test_a_run_that_the_worker_does_not_list_is_stopped(self) -> None:
        sent = self.harness.clock.now - 0.2
        self.harness.answer("w1", sent=sent)
        self.assertEqual(self.list_stops(), [], "listed before the doubt")
        self.harness.clock.now += 0.1
        self.harness.answer("w1")
        self.assertEqual(self.list_stops(), ["j.0.0.0"])
        self.assertEqual(self.harness.plan(), [], "the start may come later")

    def test_a_run_that_is_listed_before_its_stop_is_sent_goes_on(
        self,
    ) -> None:
        # A start was carried out 2 s late, after a listing without it. Its
        # stop was sent 1.5 s after that, while three others were away.
        self.harness.clock.now += 0.1
        self.harness.answer("w1")
        (stop,) = self.harness.tracker.list_stop_requests()
        self.harness.clock.now += 0.1
        self.harness.answer("w1", self.harness.list_runs("w1"))
        self.assertEqual(self.list_stops(), [])
        self.assertFalse(self.harness.tracker.is_still_due(stop))
        self.assertTrue(self.harness.tracker._is_ready(self.record, FIRST))

    def test_a_stop_without_answer_is_repeated_only_after_a_listing(
        self,
    ) -> None:
        # A stop was repeated 3 s after the last listing, which had not had
        # the run; its start had been carried out in between.
        self.harness.clock.now += 0.1
        self.harness.answer("w1")
        (stop,) = self.harness.tracker.list_stop_requests()
        self.harness.clock.now += 3.0
        self.assertEqual(self.list_stops(), [])
        self.assertFalse(self.harness.tracker.is_still_due(stop))
        # The age of a listing counts from the call that it answers.
        self.harness.answer("w1", sent=self.harness.clock.now - 0.5)
        self.assertEqual(self.list_stops(), [])
        self.harness.answer("w1")
        self.assertEqual(self.list_stops(), ["j.0.0.0"])

    def test_a_stop_that_was_answered_is_not_undone_by_a_listing(
        self,
    ) -> None:
        # The listing may be older than the stop.
        self.harness.clock.now += 0.1
        self.harness.answer("w1")
        self.harness.tracker.confirm_stop(self.placed.worker, "j.0.0.0", 1)
        self.harness.answer("w1", self.harness.list_runs("w1"))
        self.assertFalse(self.harness.tracker._is_ready(self.record, FIRST))
        self.harness.clock.now += 0.1
        self.harness.answer("w1")
        self.assertIs(self.record.get_task(FIRST).status, TaskStatus.WAITING)

    # Guards against ending a task at work, as a start without any answer for
    # 3 s was stopped without a look at the worker's listing.
    def test_an_overdue_start_is_stopped_only_if_it_is_not_listed(
        self,
    ) -> None:
        for listed in (True, False):
            with self.subTest(listed=listed):
                harness = TrackerHarness(("w1",))
                harness.admit("j", [Step(1, 1000, lasting=True)])
                harness.plan()
                harness.clock.now += 3.5
                harness.tracker.stop_stuck_runs()
                self.assertEqual(harness.tracker.list_stop_requests(), [])
                harness.clock.now += 0.1
                harness.answer("w1", harness.list_runs("w1") if listed else ())
                stops = harness.tracker.list_stop_requests()
                self.assertEqual(len(stops), 0 if listed else 1)

    # Guards against ending a task at work whose start reached the worker's
    # next process.
    def test_a_start_that_reached_the_restarted_worker_goes_on(self) -> None:
        for listed in (True, False):
            with self.subTest(listed=listed):
                harness = TrackerHarness(("w1",))
                harness.admit("j", [Step(1, 1000, lasting=True)])
                harness.start_all(harness.plan())
                harness.answer("w1", born_ms=2)
                self.assertEqual(harness.tracker.list_stop_requests(), [])
                harness.clock.now += 0.1
                runs = harness.list_runs("w1") if listed else ()
                harness.answer("w1", runs, born_ms=2)
                stops = harness.tracker.list_stop_requests()
                self.assertEqual(len(stops), 0 if listed else 1)
                self.assertEqual(harness.plan(), [], "it may run there")

    def test_a_cancelled_job_is_stopped_whatever_is_listed(self) -> None:
        self.harness.clock.now += 0.1
        self.harness.answer("w1")
        self.harness.tracker.cancel("j")
        self.harness.answer("w1", self.harness.list_runs("w1"))
        self.harness.clock.now += 3.0
        self.assertEqual(self.list_stops(), ["j.0.0.0"])


class StuckRunsTest(unittest.TestCase):
    """A stuck run is retried once on another worker."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1", "w2"))
        self.harness.admit("j", [Step(1, 1000, estimate_ms=1000)])
        self.first = self.harness.plan()[0]
        self.harness.start_all([self.first])

    def wait(self, seconds: float) -> list[int]:
        """Advance the clock; return the numbers of the runs to stop."""
        self.harness.clock.now += seconds
        self.harness.answer_all()
        self.harness.tracker.stop_stuck_runs()
        return [stop.run for stop in self.harness.tracker.list_stop_requests()]

    def test_a_run_within_three_times_its_estimate_continues(self) -> None:
        self.assertEqual(self.wait(3.0), [])

    def test_a_start_that_was_never_answered_is_stopped(self) -> None:
        self.harness.admit("k", [Step(1, 1000, estimate_ms=1000)])
        self.harness.plan()
        self.harness.clock.now += 3.5
        self.harness.tracker.stop_stuck_runs()
        stops = [
            stop.task for stop in self.harness.tracker.list_stop_requests()
        ]
        self.assertEqual(stops, ["k.0.0.0"])

    def test_a_stuck_run_is_tried_elsewhere_once(self) -> None:
        self.assertEqual(self.wait(5.5), [1])
        worker = self.first.worker
        ends = [RunEnd(1, "j.0.0.0", 1, "stopped", "")]
        self.harness.answer(worker.name, (), ends)
        second = self.harness.plan()
        self.assertNotEqual(second[0].worker.name, worker.name)
        self.harness.start_all(second)
        self.assertEqual(
            self.wait(60.0), [], "the task may simply take that long"
        )


class RegistryTest(unittest.TestCase):
    """Registry entries arrive late, disappear and return."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))

    def test_a_draining_worker_gets_no_tasks(self) -> None:
        self.harness.move_entry("w1", draining=True)
        self.harness.admit("j", [Step(1, 1000)])
        self.assertEqual(self.harness.plan(), [])

    def test_lasting_tasks_leave_a_draining_worker(self) -> None:
        self.harness.admit("j", [Step(1, 1000, lasting=True)])
        self.harness.start_all(self.harness.plan())
        self.harness.answer_all()
        self.harness.move_entry("w1", draining=True)
        self.harness.planner.evict_from_draining()
        self.assertEqual(
            self.harness.tracker.list_stop_requests(), [], "no other has room"
        )
        self.harness.tracker.apply_worker_entry(build_entry("w2"))
        self.harness.answer("w2")
        self.harness.planner.evict_from_draining()
        self.assertEqual(len(self.harness.tracker.list_stop_requests()), 1)

    def test_a_worker_that_left_and_came_back_is_used(self) -> None:
        self.harness.admit("j", [Step(1, 1000)])
        self.harness.tracker.mark_worker_gone("w1")
        self.assertEqual(self.harness.plan(), [])
        self.harness.tracker.apply_worker_entry(build_entry("w1"))
        self.assertEqual(len(self.harness.plan()), 1)

    def test_a_retired_worker_does_not_come_back(self) -> None:
        self.harness.tracker.retire_worker(self.harness.get_worker("w1"))
        self.assertIsNone(
            self.harness.tracker.apply_worker_entry(build_entry("w1"))
        )
        self.assertEqual(self.harness.tracker.workers, {})
        reborn = replace(build_entry("w1"), born_ms=2)
        self.assertIsNotNone(self.harness.tracker.apply_worker_entry(reborn))


class IncarnationTest(unittest.TestCase):
    """A worker's own answer decides which incarnation of it runs."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1",))
        self.tracker = self.harness.tracker
        self.record = self.harness.admit("j", [Step(1, 1000)])
        self.harness.start_all(self.harness.plan())
        self.harness.answer_all()

    def get_status(self) -> TaskStatus:
        return self.record.get_task(FIRST).status

    def test_an_entry_alone_frees_no_runs(self) -> None:
        # Guards against a task that runs twice: an entry of a running worker
        # with a later start freed its runs, and its true entry was refused
        # from then on.
        for born_ms in (2, 10**15, 10**300, 0):
            self.harness.move_entry("w1", born_ms=born_ms)
            self.harness.clock.now += 0.5
            self.harness.answer("w1", self.harness.list_runs("w1"))
            self.tracker.release_expired()
            self.assertEqual(self.get_status(), TaskStatus.PLACED)
            self.assertEqual(self.harness.plan(), [])
        self.tracker.apply_worker_entry(
            replace(build_entry("w1"), draining=True)
        )
        self.assertTrue(self.harness.get_worker("w1").entry.draining)

    def test_a_restarted_worker_is_known_from_its_first_answer(self) -> None:
        self.harness.move_entry("w1", born_ms=2, service="crates")
        self.harness.answer("w1", born_ms=2)
        self.assertEqual(self.get_status(), TaskStatus.WAITING)
        worker = self.harness.get_worker("w1")
        self.assertEqual(
            (worker.entry.born_ms, worker.entry.service), (2, "crates")
        )

    def test_an_entry_frees_no_runs_of_a_silent_worker(self) -> None:
        # A worker that is cut off from the leader goes on until its lease
        # lapses, whatever the registry says.
        worker = self.harness.get_worker("w1")
        worker.sent_deadline_ms = int(self.harness.clock.now * 1000) + 6000
        worker.unresponsive = True
        self.harness.move_entry("w1", born_ms=2)
        self.harness.clock.now += 5.9
        self.tracker.release_expired()
        self.assertEqual(self.get_status(), TaskStatus.PLACED)
        self.harness.clock.now += 2.0
        self.tracker.release_expired()
        self.assertEqual(self.get_status(), TaskStatus.WAITING)

    def test_a_worker_restarted_with_its_clock_set_back_is_used(self) -> None:
        # Its entry and its answers counted as those of an earlier process, so
        # that it was never used again.
        self.harness.move_entry("w1", born_ms=-5)
        self.harness.answer("w1", born_ms=-5)
        self.harness.clock.now += 0.1
        self.harness.answer("w1", born_ms=-5)
        self.assertEqual(len(self.harness.plan()), 1)

    def test_a_worker_first_known_by_a_wrong_entry_is_used(self) -> None:
        # Its true entry and its answers were refused as those of an earlier
        # process.
        wrong = replace(build_entry("w9", "crates"), born_ms=10**15)
        self.tracker.apply_worker_entry(wrong)
        self.tracker.apply_worker_entry(build_entry("w9"))
        self.harness.answer("w9")
        self.harness.answer("w9")
        worker = self.harness.get_worker("w9")
        self.assertEqual(worker.entry, build_entry("w9"))
        self.assertTrue(worker.is_answering)

    def test_a_lease_meant_for_the_process_before_is_waited_for(self) -> None:
        # Guards against a task that runs twice: a start carried out by the
        # restarted worker gave it a lease of which the leader knew nothing,
        # so that the run counted as lapsed after a second of silence.
        self.harness.clock.now += 20.0
        self.harness.answer_all()
        self.harness.admit("k", [Step(1, 1000)])
        self.harness.start_all(self.harness.plan())
        self.harness.answer("w1", born_ms=2)
        listing = RunListing("k.0.0.0", 1, "", 0)
        self.harness.answer("w1", [listing], born_ms=2)
        self.harness.get_worker("w1").unresponsive = True
        self.harness.clock.now += 5.9
        self.tracker.release_expired()
        self.assertIn("k.0.0.0", self.harness.get_worker("w1").runs)
        self.harness.clock.now += 2.0
        self.tracker.release_expired()
        self.assertNotIn("k.0.0.0", self.harness.get_worker("w1").runs)
