"""Tests of tasks whose workers crash, without a network.

A deadly task crashes each worker that starts it. The VM's next worker
registers some seconds later, under another name.
"""

import json
import unittest
from dataclasses import replace

from chestnutstair.scheduling.progress import JobRecord, JobState, TaskKey
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.crash_simulation import CrashSimulation
from chestnutstair.tests.scheduling_support import TrackerHarness, build_entry

BATCH = Step(6, 3500, estimate_ms=1000)
LASTING = Step(3, 4000, lasting=True, max_unavailable=1)
DEADLY = "deadly.0.0.0"
FIRST = TaskKey(0, 0, 0)
# A task may be started twice more after three crashes, and no more.
MAX_STARTS = 5


class DeadlyTaskTest(unittest.TestCase):
    """A task under which workers crash is given up; other tasks are not."""

    def admit_jobs(self, simulation: CrashSimulation, count: int = 8) -> None:
        simulation.harness.admit("deadly", [BATCH])
        for number in range(count):
            simulation.harness.admit(f"job{number}", [BATCH])

    def check_outcome(self, simulation: CrashSimulation) -> None:
        """Check that only the deadly job failed, after few starts."""
        self.assertLessEqual(simulation.count_starts(DEADLY), MAX_STARTS)
        for name, record in simulation.harness.tracker.jobs.items():
            expected = JobState.COMPLETED
            if name == "deadly":
                expected = JobState.FAILED
            self.assertIs(record.ended, expected, name)

    # Guards against starting a task again without limit while each worker
    # that starts it crashes.
    def test_a_task_that_crashes_each_of_its_workers_is_given_up(self) -> None:
        simulation = CrashSimulation({DEADLY})
        self.admit_jobs(simulation)
        simulation.run(40.0)
        self.check_outcome(simulation)

    # Guards against more crashes than it takes to be sure of the cause.
    def test_two_crashes_are_enough_if_the_task_ran_alone(self) -> None:
        simulation = CrashSimulation({DEADLY})
        self.admit_jobs(simulation)
        simulation.run(40.0)
        self.assertEqual(simulation.count_starts(DEADLY), 2)

    # Guards against losing the count of crashes with the leader.
    def test_crashes_count_across_leaders(self) -> None:
        simulation = CrashSimulation({DEADLY})
        self.admit_jobs(simulation)
        for _ in range(8):
            simulation.run(2.0)
            simulation.replace_leader()
        simulation.run(30.0)
        self.check_outcome(simulation)

    # Guards against a crash that is seen only after the leases have lapsed,
    # as while the registry cannot be read.
    def test_a_crash_counts_that_is_known_after_the_lapse(self) -> None:
        simulation = CrashSimulation({DEADLY}, return_seconds=9.0)
        self.admit_jobs(simulation)
        simulation.run(60.0)
        self.check_outcome(simulation)

    # Guards against crashes of workers that return under their old name.
    def test_crashes_of_workers_that_keep_their_name_count(self) -> None:
        simulation = CrashSimulation({DEADLY}, keeps_name=True)
        self.admit_jobs(simulation)
        simulation.run(40.0)
        self.check_outcome(simulation)

    # Guards against a task that has run for a while when its worker crashes.
    def test_a_task_that_crashes_its_workers_late_is_given_up(self) -> None:
        simulation = CrashSimulation({DEADLY}, crash_seconds=0.8)
        self.admit_jobs(simulation)
        simulation.run(60.0)
        self.assertLessEqual(simulation.count_starts(DEADLY), MAX_STARTS)
        self.assertIs(simulation.get_job("deadly").ended, JobState.FAILED)

    # Guards against blaming tasks that ran beside a deadly one.
    def test_many_deadly_tasks_at_once_take_no_other_job_down(self) -> None:
        simulation = CrashSimulation(
            {f"bad{number}.0.0.{number}" for number in range(4)}
        )
        for number in range(8):
            simulation.harness.admit(f"job{number}", [BATCH])
        for number in range(4):
            simulation.harness.admit(f"bad{number}", [BATCH])
            simulation.run(0.5)
        simulation.run(90.0)
        for task in simulation.deadly:
            self.assertLessEqual(simulation.count_starts(task), MAX_STARTS)
        ended = {
            name: record.ended
            for name, record in simulation.harness.tracker.jobs.items()
        }
        self.assertEqual(
            {
                name
                for name, state in ended.items()
                if state is JobState.FAILED
            },
            {f"bad{number}" for number in range(4)},
        )
        self.assertNotIn(None, ended.values())

    # Guards against giving up lasting tasks, which outlive many crashes.
    def test_lasting_tasks_beside_deadly_ones_are_not_given_up(self) -> None:
        deadly = {f"bad{number}.0.0.0" for number in range(6)}
        simulation = CrashSimulation(deadly)
        simulation.harness.admit("lasting", [LASTING])
        simulation.run(2.0)
        for number in range(6):
            simulation.harness.admit(f"bad{number}", [BATCH])
            simulation.run(8.0)
        simulation.run(10.0)
        self.assertIsNone(simulation.get_job("lasting").ended)
        for number in range(6):
            job = simulation.get_job(f"bad{number}")
            self.assertIs(job.ended, JobState.FAILED)

    # Guards against a lasting task that crashes each of its workers.
    def test_a_deadly_lasting_task_is_given_up(self) -> None:
        simulation = CrashSimulation({DEADLY})
        simulation.harness.admit("deadly", [LASTING])
        simulation.run(40.0)
        self.assertLessEqual(simulation.count_starts(DEADLY), MAX_STARTS)
        self.assertIs(simulation.get_job("deadly").ended, JobState.FAILED)


class CrashEvidenceTest(unittest.TestCase):
    """Only workers that have certainly ended count as crashed."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1", "w2"))
        self.record = self.harness.admit("j", [Step(1, 1000)])
        (self.placed,) = self.harness.plan()
        self.harness.start_all([self.placed])
        self.worker = self.placed.worker
        self.worker.sent_deadline_ms = int(self.harness.clock.now * 1000)
        self.worker.sent_deadline_ms += 6000

    def register_successor(
        self, answers: bool = True, service: str = "boxes"
    ) -> None:
        entry = replace(
            self.worker.entry, name="next", born_ms=2, service=service
        )
        self.harness.tracker.apply_worker_entry(entry)
        if answers:
            self.harness.answer("next", born_ms=2)

    def count_crashes(self) -> int:
        return len(self.record.get_task(FIRST).crashed_runs)

    def release(self, seconds: float) -> None:
        self.harness.clock.now += seconds
        self.harness.tracker.release_expired()

    def test_a_crashed_worker_is_released_before_its_lease_lapses(
        self,
    ) -> None:
        self.worker.unresponsive = True
        self.register_successor()
        self.release(0.2)
        self.assertEqual(self.worker.runs, {})
        self.assertEqual(self.count_crashes(), 1)
        self.assertNotIn(self.worker.name, self.harness.tracker.workers)
        self.harness.tracker.apply_worker_entry(self.worker.entry)
        self.assertNotIn(self.worker.name, self.harness.tracker.workers)

    def test_a_worker_that_answered_last_is_not_taken_for_replaced(
        self,
    ) -> None:
        # Guards against a task that runs twice: with the VM's clock set back,
        # its present worker counted as the one before, and a silence of it
        # freed runs that went on.
        self.harness.clock.now += 0.1
        entry = replace(self.worker.entry, name="next", born_ms=-5)
        self.harness.tracker.apply_worker_entry(entry)
        self.harness.answer("next", born_ms=-5)
        successor = self.harness.get_worker("next")
        successor.unresponsive = True
        self.release(0.2)
        self.assertIs(self.harness.get_worker("next"), successor)

    def test_an_entry_with_another_vm_ends_no_worker(self) -> None:
        # Guards against a task that runs twice: a worker that was cut off and
        # whose entry was overwritten by one of another VM went on.
        other = replace(build_entry("w9"), born_ms=9)
        self.harness.tracker.apply_worker_entry(other)
        self.worker.unresponsive = True
        self.harness.move_entry(self.worker.name, vm="vm-w9")
        self.harness.clock.now += 0.1
        self.harness.answer("w9", born_ms=9)
        self.release(0.2)
        self.assertTrue(self.worker.runs)

    def test_a_new_leader_trusts_no_entry_with_another_vm(self) -> None:
        # As above, with the entry written before the new leader began.
        new_leader = TrackerHarness(())
        new_leader.tracker.restore_job(
            self.record.submission, self.record.encode()
        )
        new_leader.tracker.apply_worker_entry(
            replace(self.worker.entry, vm="vm-w9")
        )
        other = replace(build_entry("w9"), born_ms=9)
        new_leader.tracker.apply_worker_entry(other)
        new_leader.answer("w9", born_ms=9)
        new_leader.tracker.release_expired()
        self.assertTrue(new_leader.get_worker(self.worker.name).runs)

    def test_a_worker_that_is_cut_off_has_not_crashed(self) -> None:
        self.worker.unresponsive = True
        self.release(15.0)
        self.assertEqual(self.worker.runs, {})
        self.harness.answer(self.worker.name)  # the same process
        self.release(0.2)
        self.assertEqual(self.count_crashes(), 0)
        self.worker.unresponsive = True
        self.register_successor()
        self.release(0.2)
        self.assertEqual(self.count_crashes(), 0)

    def test_a_worker_that_answers_has_not_crashed(self) -> None:
        # The registry may have wrong entries.
        self.register_successor()
        self.release(0.2)
        self.assertIn("j.0.0.0", self.worker.runs)

    def test_a_successor_counts_once_it_has_answered(self) -> None:
        self.worker.unresponsive = True
        self.register_successor(answers=False)
        self.release(0.2)
        self.assertIn("j.0.0.0", self.worker.runs)

    def test_the_end_of_a_draining_worker_is_no_crash(self) -> None:
        self.harness.move_entry(self.worker.name, draining=True)
        self.worker.unresponsive = True
        self.register_successor()
        self.release(0.2)
        self.assertEqual(self.worker.runs, {})
        self.assertEqual(self.count_crashes(), 0)

    # The next five guard against jobs that are given up without cause (LOST):
    # tasks were blamed for the end of a worker whose VM had been ordered.

    def test_the_end_of_a_lapsed_worker_by_a_move_is_no_crash(self) -> None:
        self.worker.unresponsive = True
        self.release(15.0)
        self.register_successor(service="other")
        self.release(0.2)
        self.release(0.2)
        self.assertEqual(self.count_crashes(), 0)

    def test_a_move_that_keeps_the_name_is_no_crash(self) -> None:
        self.worker.unresponsive = True
        entry = replace(self.worker.entry, born_ms=2, service="other")
        self.harness.tracker.apply_worker_entry(entry)
        self.harness.answer(self.worker.name, born_ms=2)
        self.assertIsNot(
            self.harness.get_worker(self.worker.name), self.worker
        )
        self.assertEqual(self.count_crashes(), 0)

    def test_a_new_leader_takes_a_move_for_no_crash(self) -> None:
        new_leader = TrackerHarness(())
        new_leader.tracker.restore_job(
            self.record.submission, self.record.encode()
        )
        entry = replace(
            self.worker.entry, name="next", born_ms=2, service="other"
        )
        new_leader.tracker.apply_worker_entry(entry)
        new_leader.answer("next", born_ms=2)
        new_leader.tracker.release_expired()
        state = new_leader.tracker.jobs["j"].get_task(FIRST)
        self.assertEqual((state.crashed_runs, state.worker), ((), ""))

    def test_the_end_by_an_order_in_the_same_pool_is_no_crash(self) -> None:
        # As during maintenance.
        self.harness.clock.now += 0.1
        self.harness.tracker.retire_worker(self.worker)
        self.worker.unresponsive = True
        self.register_successor()
        self.release(0.2)
        self.assertEqual(self.worker.runs, {})
        self.assertEqual(self.count_crashes(), 0)

    def test_a_new_leader_knows_the_orders_of_the_one_before(self) -> None:
        new_leader = TrackerHarness(())
        new_leader.tracker.restore_job(
            self.record.submission, self.record.encode()
        )
        vm = self.worker.entry.vm
        new_leader.tracker.ordered_vms = frozenset({vm})
        entry = replace(self.worker.entry, name="next", born_ms=2)
        new_leader.tracker.apply_worker_entry(entry)
        new_leader.answer("next", born_ms=2)
        new_leader.tracker.release_expired()
        state = new_leader.tracker.jobs["j"].get_task(FIRST)
        self.assertEqual((state.crashed_runs, state.worker), ((), ""))

    def test_a_worker_that_outlived_an_order_may_crash(self) -> None:
        # Guards against a deadly task whose crashes do not count for as long
        # as a worker lasts whose VM was ordered once.
        self.harness.clock.now += 0.1
        self.harness.tracker.retire_worker(self.worker)
        self.harness.clock.now += 0.1
        name = self.worker.name
        self.harness.answer(name, self.harness.list_runs(name))
        self.worker.unresponsive = True
        self.harness.clock.now += 0.1
        self.register_successor()
        self.release(0.2)
        self.assertEqual(self.count_crashes(), 1)

    def test_a_crash_counts_once(self) -> None:
        self.worker.unresponsive = True
        self.release(15.0)
        self.register_successor()
        self.release(0.2)
        self.release(0.2)
        self.assertEqual(self.count_crashes(), 1)

    def test_runs_of_an_earlier_leader_are_released_with_their_vm(
        self,
    ) -> None:
        new_leader = TrackerHarness(())
        new_leader.tracker.restore_job(
            self.record.submission, self.record.encode()
        )
        entry = replace(self.worker.entry, name="next", born_ms=2)
        new_leader.tracker.apply_worker_entry(entry)
        new_leader.answer("next", born_ms=2)
        new_leader.tracker.release_expired()
        state = new_leader.tracker.jobs["j"].get_task(FIRST)
        self.assertEqual((state.crashed_runs, state.worker), ((1,), ""))


class IsolationTest(unittest.TestCase):
    """A suspected task starts where nothing else could be blamed."""

    def setUp(self) -> None:
        self.harness = TrackerHarness(("w1", "w2"))
        self.record = self.harness.admit("j", [Step(1, 1000)])
        self.record.set_task(
            FIRST,
            replace(
                self.record.get_task(FIRST),
                run=1,
                crashed_runs=(1,),
                suspected=True,
            ),
        )

    def prove(self, seconds: float = 0.5) -> None:
        self.harness.clock.now += seconds
        self.harness.answer_all()

    def test_nothing_else_starts_beside_a_suspected_run(self) -> None:
        (placed,) = self.harness.plan()
        self.harness.start_all([placed])
        self.harness.admit("k", [Step(100, 1000)])
        others = self.harness.plan()
        self.assertGreater(len(others), 0)
        self.assertNotIn(placed.worker, [item.worker for item in others])
        self.prove()
        self.assertFalse(self.record.get_task(FIRST).suspected)
        beside = [item.worker for item in self.harness.plan()]
        self.assertIn(placed.worker, beside)

    def test_a_suspected_task_waits_until_other_runs_have_proven(self) -> None:
        harness = TrackerHarness(("w1",))
        other = harness.admit("a", [Step(1, 1000)])
        harness.start_all(harness.plan())
        record = harness.admit("j", [Step(1, 1000)])
        state = record.get_task(FIRST)
        record.set_task(FIRST, replace(state, run=1, suspected=True))
        self.assertEqual(harness.plan(), [])
        harness.clock.now += 0.5
        harness.answer_all()
        (placed,) = harness.plan()
        self.assertEqual(placed.run, 2)
        self.assertIsNone(other.ended)

    def test_other_work_does_not_starve_a_suspected_task(self) -> None:
        # A worker never becomes quiet by itself under a steady load.
        harness = TrackerHarness(("w1", "w2"))
        for number in range(10):
            harness.admit(f"a{number}", [Step(2, 1000)])
        harness.start_all(harness.plan())
        record = harness.admit("j", [Step(1, 1000)])
        state = record.get_task(FIRST)
        record.set_task(FIRST, replace(state, run=1, suspected=True))
        for number in range(10, 20):
            harness.admit(f"a{number}", [Step(2, 1000)])
            harness.start_all(harness.plan())
            harness.clock.now += 0.1
            harness.answer_all()
        self.assertEqual(record.get_task(FIRST).run, 2)

    # Guards against keeping half of a pool, or all of a small one, free for a
    # task that none of its workers can take.
    def test_no_worker_is_reserved_for_a_task_that_fits_nowhere(self) -> None:
        for step in (
            Step(1, 100_000),
            Step(1, 1000, required_label="none"),
            Step(1, 62_000),
        ):
            with self.subTest(step=step):
                harness = TrackerHarness(("w1",))
                harness.admit("lasting", [Step(1, 4000, lasting=True)])
                harness.start_all(harness.plan())
                record = harness.admit("j", [step])
                state = record.get_task(FIRST)
                record.set_task(FIRST, replace(state, run=1, suspected=True))
                harness.clock.now += 0.5
                harness.answer_all()
                harness.admit("k", [Step(1, 1000)])
                names = [item.record.name for item in harness.plan()]
                self.assertEqual(names, ["k"])

    # Guards against keeping workers free for tasks that never start alone.
    def test_no_worker_is_reserved_for_a_suspected_gang(self) -> None:
        harness = TrackerHarness(("w1",))
        record = harness.admit("gang", [Step(3, 1000, gang=True)])
        for index in range(3):
            key = TaskKey(0, 0, index)
            state = record.get_task(key)
            record.set_task(key, replace(state, run=1, suspected=True))
        placed = harness.plan()
        self.assertEqual([item.record.name for item in placed], ["gang"] * 3)

    def test_reserved_workers_are_opened_again(self) -> None:
        (placed,) = self.harness.plan()
        self.harness.start_all([placed])
        self.prove()
        self.harness.plan()
        workers = self.harness.tracker.workers.values()
        self.assertEqual([item for item in workers if item.reserved], [])


class StoredCrashesTest(unittest.TestCase):
    """Stored crashes are read by this version and by the one before."""

    def build_record(self) -> JobRecord:
        harness = TrackerHarness(("w1",))
        record = harness.admit("j", [Step(2, 1000)])
        harness.plan()
        state = record.get_task(FIRST)
        record.set_task(
            FIRST, replace(state, crashed_runs=(1, 2), suspected=True)
        )
        return record

    def test_crashes_are_restored(self) -> None:
        record = self.build_record()
        restored = JobRecord(record.submission)
        restored.restore(record.encode())
        self.assertEqual(restored.tasks, record.tasks)

    def test_a_row_of_the_previous_version_is_read(self) -> None:
        record = self.build_record()
        fields = json.loads(record.encode())
        del fields["vms"], fields["crashes"]
        restored = JobRecord(record.submission)
        restored.restore(json.dumps(fields).encode())
        self.assertEqual(restored.get_task(FIRST).crashed_runs, ())

    def test_the_previous_version_can_read_a_row(self) -> None:
        # It unpacks six fields of each task and ignores other parts.
        fields = json.loads(self.build_record().encode())
        self.assertEqual({len(item) for item in fields["tasks"].values()}, {6})


class RegistryTest(unittest.TestCase):
    """Entries of other VMs end no worker."""

    def test_workers_of_different_vms_are_not_successors(self) -> None:
        harness = TrackerHarness(("w1",))
        harness.get_worker("w1").unresponsive = True
        entry = replace(build_entry("w2"), born_ms=9)
        harness.tracker.apply_worker_entry(entry)
        harness.answer("w2", born_ms=9)
        harness.tracker.release_expired()
        self.assertIn("w1", harness.tracker.workers)
