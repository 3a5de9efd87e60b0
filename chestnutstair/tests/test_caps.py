"""Tests of the caps of organisations: what may start, and what counts.

An organisation may have `cap` x 1.1 plus one task running at any moment.
"""

import unittest
from collections.abc import Sequence
from dataclasses import replace
from typing import cast
from unittest import mock

from prometheus_client import REGISTRY
from result import Ok

from chestnutstair.scheduling import metrics
from chestnutstair.scheduling.configuration import FleetConfiguration
from chestnutstair.scheduling.job_tracker import JobTrackerSettings
from chestnutstair.scheduling.leadership import Leadership
from chestnutstair.scheduling.load import PoolLoad, measure_loads
from chestnutstair.scheduling.orders import OrderSender, OrderSettings
from chestnutstair.scheduling.organisations import Cap, Organisation
from chestnutstair.scheduling.organisations.gang_limits import check_gangs
from chestnutstair.scheduling.organisations.usage import (
    Amounts,
    OrganisationUsage,
)
from chestnutstair.scheduling.pacing import Pacer, PacingSettings
from chestnutstair.scheduling.placement import Placement
from chestnutstair.scheduling.ports import (
    RunListing,
    StartOrder,
    WorkerControl,
)
from chestnutstair.scheduling.progress import (
    JobRecord,
    TaskKey,
    TaskStatus,
)
from chestnutstair.scheduling.specification import JobSpecification, Step
from chestnutstair.scheduling.term import Term, TermRow, TermSettings
from chestnutstair.standins.rows import MemoryRowStore
from chestnutstair.tests.scheduling_support import (
    CONFIGURATION,
    TrackerHarness,
    build_entry,
    build_submission,
)

CORE = 1000
FIRST = TaskKey(0, 0, 0)
WORKERS = ("w1", "w2", "w3", "w4")


def build_configuration(
    version: int, *organisations: Organisation
) -> FleetConfiguration:
    """Return a configuration with the given organisations."""
    return replace(
        CONFIGURATION,
        version=version,
        organisations={item.name: item for item in organisations},
    )


class CapHarness(TrackerHarness):
    """A harness with the organisations `acme`, with a cap, and `birch`."""

    def __init__(
        self, cap: Cap, workers: Sequence[str] = WORKERS, now: float = 1000.0
    ) -> None:
        super().__init__(workers, now)
        self.set_cap(cap, 1)

    def set_cap(self, cap: Cap, version: int) -> None:
        """Put a configuration with another cap in force."""
        self.tracker.configuration = build_configuration(
            version, Organisation("acme", cap=cap), Organisation("birch")
        )

    def admit_for(
        self,
        organisation: str,
        name: str,
        steps: Sequence[Step],
        queue: str = "quick",
    ) -> JobRecord:
        """Accept a job of an organisation now."""
        at_ms = int(self.clock.now * 1000)
        submission = build_submission(name, steps, queue, at_ms)
        self.tracker.admit(replace(submission, organisation=organisation))
        return self.tracker.jobs[name]

    def measure(self, organisation: str = "acme") -> Amounts:
        """Return what counts against an organisation's cap."""
        return self.tracker.usage.get_total(organisation)

    def take_over(self) -> "CapHarness":
        """Return a new leader that has loaded what this one stored."""
        leader = CapHarness(Cap(), (), self.clock.now)
        leader.tracker.configuration = self.tracker.configuration
        for record in self.tracker.jobs.values():
            leader.tracker.restore_job(record.submission, record.encode())
        return leader


class StartTest(unittest.TestCase):
    """A task starts only while the usage is below the cap."""

    def test_the_last_task_may_exceed_the_cap(self) -> None:
        # Load: one wide job of an organisation, in an empty pool.
        harness = CapHarness(Cap(10 * CORE))
        harness.admit_for("acme", "j", [Step(20, 4 * CORE)])
        self.assertEqual(len(harness.plan()), 3)
        self.assertEqual(harness.plan(), [])
        self.assertLessEqual(
            harness.measure().millicores, 1.1 * 10 * CORE + 4 * CORE
        )

    def test_each_capped_dimension_limits(self) -> None:
        # Load: tasks that need most of another resource than CPU.
        steps = [Step(20, CORE, 1024, 1)]
        for cap, count in (
            (Cap(memory_mb=4096), 4),
            (Cap(accelerators=3), 3),
            (Cap(100 * CORE, 100_000, 5), 5),
        ):
            harness = CapHarness(cap)
            for name in WORKERS:
                harness.move_entry(name, accelerators=8)
            harness.admit_for("acme", "j", steps)
            self.assertEqual(len(harness.plan()), count, cap)

    def test_a_cap_of_0_is_no_limit(self) -> None:
        harness = CapHarness(Cap(0, 0, 0))
        harness.admit_for("acme", "j", [Step(20, 4 * CORE)])
        self.assertEqual(len(harness.plan()), 20)

    def test_the_cap_covers_all_pools(self) -> None:
        # Load: jobs in two queues with a pool each.
        harness = CapHarness(Cap(10 * CORE))
        harness.tracker.apply_worker_entry(build_entry("x1", "crates"))
        harness.answer("x1")
        harness.admit_for("acme", "j", [Step(2, 5 * CORE)])
        harness.admit_for("acme", "k", [Step(2, 5 * CORE)], "crates")
        self.assertEqual(len(harness.plan()), 2)

    def test_a_job_without_an_organisation_has_no_cap(self) -> None:
        harness = CapHarness(Cap(CORE))
        harness.admit_for("", "j", [Step(20, 4 * CORE)])
        self.assertEqual(len(harness.plan()), 20)

    def test_the_cpu_of_a_filler_does_not_count(self) -> None:
        # Load: fillers, whose memory does count.
        harness = CapHarness(Cap(10 * CORE, 4096))
        harness.admit_for("acme", "f", [Step(9, 50 * CORE, 1024, filler=True)])
        self.assertEqual(len(harness.plan()), 4)
        self.assertEqual(harness.measure(), Amounts(0, 4096, 0))

    def test_a_lasting_task_counts(self) -> None:
        harness = CapHarness(Cap(10 * CORE))
        harness.admit_for("acme", "l", [Step(2, 4 * CORE, lasting=True)])
        harness.admit_for("acme", "j", [Step(9, CORE)])
        self.assertEqual(len(harness.plan()), 4)

    def test_suspects_that_start_alone_are_held_back(self) -> None:
        # Load: three tasks that crashed their workers before.
        harness = CapHarness(Cap(4 * CORE))
        record = harness.admit_for("acme", "j", [Step(3, 4 * CORE)])
        for index in range(3):
            key = TaskKey(0, 0, index)
            suspected = replace(
                record.get_task(key), suspected=True, crashed_runs=(1,), run=1
            )
            record.set_task(key, suspected)
        self.assertEqual(len(harness.plan()), 1)
        self.assertEqual(harness.plan(), [])

    def test_nothing_of_an_organisation_starts_before_its_cap_is_known(
        self,
    ) -> None:
        # A leader that has not read a configuration yet.
        harness = CapHarness(Cap())
        harness.tracker.configuration = FleetConfiguration(0)
        harness.admit_for("acme", "j", [Step(1, CORE)])
        harness.admit_for("", "k", [Step(1, CORE)])
        self.assertEqual([p.record.name for p in harness.plan()], ["k"])
        harness.set_cap(Cap(), 1)
        self.assertEqual([p.record.name for p in harness.plan()], ["j"])

    def test_a_shard_uses_its_part_of_the_cap(self) -> None:
        harness = CapHarness(Cap(16 * CORE))
        harness.tracker.caps.share = 0.25
        harness.admit_for("acme", "j", [Step(20, 2 * CORE)])
        self.assertEqual(len(harness.plan()), 2)
        self.assertEqual(JobTrackerSettings().cap_share, 1.0)


class GangTest(unittest.TestCase):
    """A gang starts as a whole if all of its tasks but one fit."""

    def setUp(self) -> None:
        self.harness = CapHarness(Cap(10 * CORE))

    def test_all_tasks_but_one_have_to_fit(self) -> None:
        gang = Step(4, 3 * CORE, gang=True)
        self.harness.admit_for("acme", "g", [gang])
        self.assertEqual(len(self.harness.plan()), 4)
        harness = CapHarness(Cap(9 * CORE))
        harness.admit_for("acme", "g", [gang])
        self.assertEqual(harness.plan(), [])

    def start_small_jobs(self, count: int) -> list[Placement]:
        for number in range(count):
            self.harness.admit_for("acme", f"s{number}", [Step(1, 2 * CORE)])
        placed = self.harness.plan()
        self.harness.start_all(placed)
        return placed

    def end_all(self, placed: Sequence[Placement]) -> None:
        self.harness.clock.now += 0.1
        for item in placed:
            number = item.worker.applied_end + 1
            self.harness.end(item, "done", number)

    # Guards against a gang that waits for ever, as small jobs take each part
    # of the room that becomes free.
    def test_later_work_does_not_take_the_room_of_a_waiting_gang(self) -> None:
        running = self.start_small_jobs(5)
        gang = Step(4, 3 * CORE, gang=True)
        self.harness.admit_for("acme", "g", [gang], "heavy")
        for number in range(5):
            self.harness.clock.now += 0.01
            self.harness.admit_for(
                "acme", f"t{number}", [Step(1, 2 * CORE)], "heavy"
            )
            self.end_all([running.pop()])
            placed = self.harness.plan()
            if running:
                self.assertEqual(placed, [])
        self.assertEqual({item.record.name for item in placed}, {"g"})

    # The pool that is planned first must not take the room either.
    def test_later_work_in_another_pool_waits_as_well(self) -> None:
        self.harness.tracker.apply_worker_entry(build_entry("x1", "crates"))
        self.harness.answer("x1")
        first = self.harness.admit_for(
            "birch", "first", [Step(1, CORE)], "crates"
        )
        running = self.start_small_jobs(5)
        self.harness.admit_for("acme", "g", [Step(4, 3 * CORE, gang=True)])
        self.assertEqual(self.harness.plan(), [])
        self.harness.clock.now += 0.01
        self.harness.admit_for("acme", "x", [Step(1, CORE)], "crates")
        self.end_all(running[:2])
        self.assertEqual(self.harness.plan(), [])
        self.end_all(running[2:])
        placed = {item.record.name for item in self.harness.plan()}
        self.assertEqual(placed, {"g"})
        self.assertTrue(first.started)

    def test_the_work_of_others_does_not_wait_for_a_gang(self) -> None:
        self.start_small_jobs(5)
        self.harness.admit_for("acme", "g", [Step(4, 3 * CORE, gang=True)])
        self.harness.admit_for("birch", "b", [Step(8, 4 * CORE)])
        self.harness.admit_for("", "n", [Step(8, 4 * CORE)])
        placed = {item.record.name for item in self.harness.plan()}
        self.assertEqual(placed, {"b", "n"})

    # Guards against an organisation that stands still.
    def test_a_gang_that_never_fits_holds_nothing_back(self) -> None:
        harness = CapHarness(Cap(90 * CORE))
        harness.admit_for("acme", "l", [Step(1, 4 * CORE, lasting=True)])
        harness.start_all(harness.plan())
        harness.set_cap(Cap(10 * CORE), 2)
        harness.admit_for("acme", "g", [Step(4, 3 * CORE, gang=True)])
        harness.admit_for("acme", "j", [Step(9, 2 * CORE)])
        placed = [item.record.name for item in harness.plan()]
        self.assertEqual(placed, ["j"] * 3)

    def test_a_job_with_a_gang_that_never_fits_is_refused(self) -> None:
        steps = (Step(1, 50 * CORE), Step(4, 3 * CORE, gang=True))
        job = JobSpecification("", steps)
        self.assertTrue(check_gangs(job, Cap(10 * CORE)).is_ok())
        self.assertTrue(check_gangs(job, Cap()).is_ok())
        refusal = check_gangs(job, Cap(9 * CORE)).unwrap_err()
        self.assertIn("step 1", refusal.problem)
        self.assertTrue(check_gangs(job, Cap(16 * CORE), 0.5).is_err())


class CountedRunsTest(unittest.TestCase):
    """Every run counts until it cannot be running any more."""

    def setUp(self) -> None:
        self.harness = CapHarness(Cap(4 * CORE), ("w1", "w2"))
        self.record = self.harness.admit_for(
            "acme", "j", [Step(1, 4 * CORE, estimate_ms=1000)]
        )
        (self.placed,) = self.harness.plan()
        self.worker = self.placed.worker
        self.harness.admit_for("acme", "k", [Step(1, 4 * CORE)])
        self.assertEqual(self.harness.plan(), [])

    def test_a_run_in_doubt_counts(self) -> None:
        self.harness.tracker.mark_in_doubt(self.worker, "j.0.0.0", 1)
        self.assertEqual(self.harness.plan(), [])

    def test_a_run_that_is_being_stopped_counts(self) -> None:
        self.harness.start_all([self.placed])
        self.harness.tracker.cancel("j")
        self.assertEqual(self.harness.plan(), [])
        self.harness.tracker.confirm_stop(self.worker, "j.0.0.0", 1)
        self.assertEqual(self.harness.plan(), [])
        self.harness.clock.now += 0.1
        self.harness.answer_all()
        self.harness.clock.now += 0.1
        self.harness.answer(self.worker.name)
        self.assertEqual(len(self.harness.plan()), 1)

    def test_a_run_that_was_given_up_counts_while_it_is_listed(self) -> None:
        listed = self.harness.list_runs(self.worker.name)
        self.harness.tracker.withdraw(self.worker, "j.0.0.0", 1, "lapsed")
        self.harness.answer(self.worker.name, listed)
        self.assertEqual(self.harness.plan(), [])
        self.harness.clock.now += 0.1
        self.harness.answer(self.worker.name)
        self.assertEqual(len(self.harness.plan()), 1)

    def test_runs_of_a_worker_that_is_cut_off_count_until_its_lease_ends(
        self,
    ) -> None:
        self.harness.start_all([self.placed])
        # Long after the start of the term, so that only this lease counts.
        self.harness.clock.now += 20.0
        self.harness.answer_all()
        now_ms = int(self.harness.clock.now * 1000)
        self.worker.sent_deadline_ms = now_ms + 6000
        self.worker.unresponsive = True
        other = next(
            item
            for item in self.harness.tracker.workers.values()
            if item is not self.worker
        )
        self.harness.clock.now += 6.05
        self.harness.answer(other.name)
        self.harness.tracker.release_expired()
        self.assertEqual(
            self.harness.plan(),
            [],
            "a lease on a clock that is 2% slow has not expired yet",
        )
        self.harness.clock.now += 0.2
        self.harness.answer(other.name)
        self.harness.tracker.release_expired()
        self.assertEqual(len(self.harness.plan()), 1)

    # A worker that crashed leaves orphans and runs behind.
    def test_runs_of_a_crashed_worker_count_until_its_successor_answers(
        self,
    ) -> None:
        self.harness.start_all([self.placed])
        self.harness.answer_all()
        entry = replace(self.worker.entry, name="next", born_ms=2)
        self.harness.tracker.apply_worker_entry(entry)
        self.worker.unresponsive = True
        self.harness.clock.now += 0.2
        self.harness.tracker.release_expired()
        self.assertEqual(self.harness.plan(), [])
        self.harness.clock.now += 0.2
        self.harness.answer("next", born_ms=2)
        self.harness.tracker.release_expired()
        self.assertEqual(len(self.harness.plan()), 1)

    def test_a_run_reassigned_to_a_successor_counts(self) -> None:
        # Its start may have reached the worker after its restart.
        self.harness.answer(self.worker.name, born_ms=2)
        self.assertEqual(self.harness.measure().millicores, 4 * CORE)
        self.assertEqual(self.harness.plan(), [])

    def test_an_unstored_gang_leaves_nothing_behind(self) -> None:
        harness = CapHarness(Cap(), ("w1",))
        harness.admit_for("acme", "g", [Step(2, 40 * CORE, gang=True)])
        self.assertEqual(harness.plan(), [])
        self.assertEqual(harness.measure(), Amounts())

    def test_usage_is_counted_by_pool_and_for_lasting_tasks(self) -> None:
        usage = OrganisationUsage()
        step = Step(1, CORE, 100, 1, lasting=True)
        usage.add("acme", "boxes", step)
        usage.add("acme", "crates", replace(step, lasting=False))
        self.assertEqual(usage.get_total("acme"), Amounts(2 * CORE, 200, 2))
        self.assertEqual(usage.get_lasting("acme"), Amounts(CORE, 100, 1))
        self.assertEqual(
            usage.get_in_pool("acme", "crates"), Amounts(CORE, 100, 1)
        )
        usage.remove("acme", "boxes", step)
        self.assertEqual(usage.get_lasting("acme"), Amounts())


class TakeoverTest(unittest.TestCase):
    """A new leader counts what may still run before it starts anything."""

    def setUp(self) -> None:
        self.harness = CapHarness(Cap(4 * CORE), ("w1", "w2"))
        self.record = self.harness.admit_for(
            "acme", "j", [Step(1, 4 * CORE), Step(1, CORE)]
        )

    # The leader is killed between storing a start and sending it.
    def test_a_start_that_was_stored_and_not_sent_counts(self) -> None:
        (placed,) = self.harness.plan()
        leader = self.harness.take_over()
        self.assertEqual(leader.measure().millicores, 4 * CORE)
        other = "w2" if placed.worker.name == "w1" else "w1"
        leader.tracker.apply_worker_entry(build_entry(other))
        leader.answer(other)
        self.assertEqual(leader.plan(), [])
        # The worker registers, and then answers without the run.
        leader.tracker.apply_worker_entry(placed.worker.entry)
        self.assertEqual(leader.measure().millicores, 4 * CORE)
        self.assertEqual(leader.plan(), [])
        leader.clock.now += 0.1
        leader.answer(placed.worker.name)
        self.assertEqual(leader.measure().millicores, 0)
        self.assertTrue(leader.plan())

    def test_a_run_on_a_worker_that_never_registers_counts_for_a_lease(
        self,
    ) -> None:
        self.harness.plan()
        leader = self.harness.take_over()
        leader.tracker.apply_worker_entry(build_entry("w9"))
        leader.clock.now += leader.settings.takeover_wait_seconds - 0.1
        leader.answer("w9")
        leader.tracker.release_expired()
        self.assertEqual(leader.plan(), [])
        leader.clock.now += 0.2
        leader.answer("w9")
        leader.tracker.release_expired()
        self.assertTrue(leader.plan())

    def test_a_gang_whose_first_task_has_ended_counts(self) -> None:
        # One end completes the whole gang, and the other runs are stopped.
        harness = CapHarness(Cap(20 * CORE), ("w1", "w2"))
        harness.admit_for("acme", "g", [Step(2, 10 * CORE, gang=True)])
        placed = harness.plan()
        harness.start_all(placed)
        harness.end(placed[0], "done")
        self.assertEqual(harness.measure().millicores, 10 * CORE)
        leader = harness.take_over()
        self.assertEqual(leader.measure().millicores, 10 * CORE)
        leader.tracker.apply_worker_entry(placed[1].worker.entry)
        stops = leader.tracker.list_stop_requests()
        self.assertEqual([stop.task for stop in stops], ["g.0.0.1"])
        leader.clock.now += 0.1
        leader.answer(placed[1].worker.name)
        self.assertEqual(leader.measure().millicores, 0)

    def test_a_start_that_may_have_reached_the_successor_counts(self) -> None:
        # The worker restarted under its name while the start was on its way,
        # and the leader changed before it knew. The run was released and, one
        # takeover later, neither stopped nor counted (seed 24 of
        # test_cap_protocol).
        (placed,) = self.harness.plan()
        leader = self.harness.take_over()
        entry = replace(placed.worker.entry, born_ms=2)
        leader.tracker.apply_worker_entry(entry)
        listing = RunListing("j.0.0.0", 1, "", 100)
        leader.clock.now += 0.2
        leader.answer(entry.name, [listing], born_ms=2)
        leader.tracker.release_expired()
        state = leader.tracker.jobs["j"].get_task(FIRST)
        self.assertIs(state.status, TaskStatus.PLACED)
        self.assertEqual((state.worker, state.born_ms), (entry.name, 2))
        stops = leader.tracker.list_stop_requests()
        self.assertEqual({stop.task for stop in stops}, {"j.0.0.0"})
        self.assertGreaterEqual(
            leader.take_over().measure().millicores, 4 * CORE
        )

    def test_all_tasks_of_a_job_with_unreadable_progress_count(self) -> None:
        self.harness.plan()
        leader = CapHarness(Cap(4 * CORE), ())
        with self.assertLogs("chestnutstair", "ERROR"):
            leader.tracker.restore_job(self.record.submission, b"[]")
        self.assertEqual(leader.measure().millicores, 5 * CORE)
        leader.clock.now += leader.settings.takeover_wait_seconds + 0.1
        leader.tracker.release_expired()
        self.assertEqual(leader.measure().millicores, 0)


class ChangedCapTest(unittest.TestCase):
    """Caps apply to starts from their version on."""

    def setUp(self) -> None:
        self.harness = CapHarness(Cap(8 * CORE))
        self.record = self.harness.admit_for(
            "acme", "j", [Step(9, 2 * CORE, estimate_ms=1000)]
        )
        self.placed = self.harness.plan()
        self.harness.start_all(self.placed)
        self.assertEqual(len(self.placed), 4)

    def test_a_lowered_cap_stops_nothing_and_holds_for_new_starts(
        self,
    ) -> None:
        self.harness.set_cap(Cap(4 * CORE), 2)
        self.assertEqual(self.harness.plan(), [])
        self.assertEqual(self.harness.tracker.list_stop_requests(), [])
        self.harness.clock.now += 0.1
        for number, item in enumerate(self.placed[:3]):
            self.harness.end(item, "done", number + 1)
        self.assertEqual(len(self.harness.plan()), 1)

    def test_a_raised_cap_is_used_in_the_next_round(self) -> None:
        self.harness.set_cap(Cap(12 * CORE), 2)
        self.assertEqual(len(self.harness.plan()), 2)

    def test_an_organisation_that_leaves_keeps_its_cap_for_the_term(
        self,
    ) -> None:
        self.harness.tracker.configuration = build_configuration(
            2, Organisation("birch")
        )
        self.assertEqual(self.harness.plan(), [])
        leader = self.harness.take_over()
        for worker in self.harness.tracker.workers.values():
            leader.tracker.apply_worker_entry(worker.entry)
            leader.answer(worker.name, self.harness.list_runs(worker.name))
        self.assertEqual(len(leader.plan()), 5, "no cap after a takeover")

    # Guards against a task that is stopped for a move and cannot start again.
    def test_a_lasting_task_is_not_moved_while_a_lowered_cap_keeps_it_out(
        self,
    ) -> None:
        harness = CapHarness(Cap(8 * CORE))
        record = harness.admit_for(
            "acme", "l", [Step(2, 4 * CORE, lasting=True)]
        )
        harness.start_all(harness.plan())
        self.assertIsNotNone(harness.planner.find_worker(record, FIRST))
        harness.set_cap(Cap(3 * CORE), 2)
        harness.plan()
        self.assertIsNone(harness.planner.find_worker(record, FIRST))


class RecordingWorkers:
    """Workers that accept each start; records their tasks."""

    def __init__(self) -> None:
        self.started: list[str] = []

    def start(self, worker: object, order: StartOrder) -> Ok[int]:
        """Accept a start."""
        self.started.append(order.task)
        return Ok(0)


class PausedLeaderTest(unittest.TestCase):
    """A leader is paused between storing its starts and sending them."""

    def setUp(self) -> None:
        self.harness = CapHarness(Cap(8 * CORE))
        self.harness.admit_for("acme", "j", [Step(1, 2 * CORE)])
        clock = self.harness.clock
        row = TermRow("n", "n:1", 1, 0)
        term = Term(MemoryRowStore(), clock, row, 0, TermSettings())
        term.renewed_at = clock.now
        self.workers = RecordingWorkers()
        self.orders = OrderSender(
            Leadership(term),
            self.harness.tracker,
            cast(WorkerControl, self.workers),
            self.harness.advice,
            Pacer(clock, PacingSettings()),
            clock,
            OrderSettings(),
        )
        self.addCleanup(self.orders.close)

    def pause(self, seconds: float) -> list[str]:
        """Return the starts that are sent after a pause."""
        (placed,) = self.harness.plan()
        self.harness.clock.now += seconds
        self.harness.answer_all()
        self.harness.set_cap(Cap(CORE), 2)
        self.orders._start(placed)
        return self.workers.started

    # A cap may have been lowered meanwhile, and the next leader acts by it.
    def test_no_start_is_sent_2_s_after_the_last_renewal(self) -> None:
        self.assertEqual(self.pause(2.1), [])
        self.assertEqual(self.harness.measure().millicores, 0)

    def test_a_start_is_sent_before_that(self) -> None:
        self.assertEqual(self.pause(1.0), ["j.0.0.0"])


class IsolationTest(unittest.TestCase):
    """An organisation at its cap does not delay the work of others."""

    def place_others(self, capped_jobs: int) -> set[tuple[str, str]]:
        """Return what another organisation gets, by task and worker."""
        harness = CapHarness(Cap(4 * CORE), ("w1", "w2"))
        harness.admit_for("acme", "r", [Step(1, 4 * CORE)])
        harness.start_all(harness.plan())
        for number in range(capped_jobs):
            steps = [Step(8, 4 * CORE, gang=number % 10 == 0)]
            harness.admit_for("acme", f"a{number}", steps)
        for number in range(10):
            harness.admit_for("birch", f"b{number}", [Step(8, 4 * CORE)])
        return {
            (item.record.name_task(item.key), item.worker.name)
            for item in harness.plan()
        }

    def test_others_get_the_same_beside_jobs_that_the_cap_holds_back(
        self,
    ) -> None:
        # Load: 200 jobs of an organisation at its cap, some with a gang.
        alone = self.place_others(0)
        self.assertEqual(len(alone), 31)
        self.assertEqual(self.place_others(200), alone)

    def test_suspects_at_the_cap_reserve_no_workers(self) -> None:
        # Load: an organisation at its cap whose tasks crash their workers.
        # Up to half of a pool is kept free for suspects that wait.
        harness = CapHarness(Cap(4 * CORE), ("w1", "w2"))
        harness.admit_for("acme", "r", [Step(1, 4 * CORE)])
        harness.start_all(harness.plan())
        record = harness.admit_for("acme", "s", [Step(1, 4 * CORE)])
        suspected = replace(
            record.get_task(FIRST), suspected=True, crashed_runs=(1,), run=1
        )
        record.set_task(FIRST, suspected)
        harness.admit_for("birch", "b", [Step(40, 4 * CORE)])
        self.assertEqual(len(harness.plan()), 31)
        self.assertFalse(
            any(w.reserved for w in harness.tracker.workers.values())
        )


class LoadTest(unittest.TestCase):
    """What a cap holds back requests no VMs."""

    def measure(self, harness: CapHarness) -> PoolLoad:
        loads = measure_loads(harness.tracker, harness.clock.now)
        return next(load for load in loads if load.service == "boxes")

    def test_waiting_work_counts_up_to_the_last_task(self) -> None:
        # Load: 20 jobs of an organisation, as a burst in a small pool.
        harness = CapHarness(Cap(10 * CORE), ("w1",))
        for number in range(20):
            harness.admit_for(
                "acme",
                f"j{number}",
                [
                    Step(2, 4 * CORE, estimate_ms=1000),
                    Step(9, CORE, after=(0,)),
                ],
            )
        load = self.measure(harness)
        self.assertEqual(load.waiting, 12 * CORE)
        self.assertEqual(load.rate, 0)
        harness.plan()
        load = self.measure(harness)
        self.assertEqual((load.waiting, load.coming), (0, 0))

    def test_what_fits_below_the_cap_requests_as_before(self) -> None:
        capped = CapHarness(Cap(900 * CORE), ("w1",))
        free = CapHarness(Cap(), ("w1",))
        steps = [
            Step(2, 4 * CORE, estimate_ms=1000),
            Step(9, CORE, after=(0,)),
        ]
        for harness in (capped, free):
            for number in range(20):
                harness.admit_for("acme", f"j{number}", steps)
        self.assertEqual(self.measure(capped), self.measure(free))
        self.assertGreater(self.measure(capped).rate, 0)

    def test_the_work_of_others_counts_in_full(self) -> None:
        harness = CapHarness(Cap(CORE), ("w1",))
        harness.admit_for("acme", "a", [Step(50, 4 * CORE)])
        harness.admit_for("birch", "b", [Step(50, 4 * CORE)])
        self.assertEqual(self.measure(harness).waiting, 51 * 4 * CORE)

    def test_a_gang_that_waits_for_its_cap_requests_nothing(self) -> None:
        harness = CapHarness(Cap(10 * CORE), ("w1",))
        harness.admit_for("acme", "j", [Step(1, 4 * CORE)])
        harness.plan()
        harness.admit_for("acme", "g", [Step(4, 3 * CORE, gang=True)])
        self.assertEqual(self.measure(harness).waiting, 0)

    def test_other_dimensions_hold_back_as_well(self) -> None:
        harness = CapHarness(Cap(memory_mb=4096), ("w1",))
        harness.admit_for("acme", "j", [Step(50, 4 * CORE, 1024)])
        self.assertEqual(self.measure(harness).waiting, 16 * CORE)

    def test_suspects_at_the_cap_request_nothing(self) -> None:
        harness = CapHarness(Cap(4 * CORE), ("w1",))
        harness.admit_for("acme", "r", [Step(1, 4 * CORE)])
        harness.plan()
        record = harness.admit_for("acme", "s", [Step(1, 4 * CORE)])
        suspected = replace(
            record.get_task(FIRST), suspected=True, crashed_runs=(1,), run=1
        )
        record.set_task(FIRST, suspected)
        self.assertEqual(self.measure(harness).suspects, 0)


class MetricsTest(unittest.TestCase):
    """Usage, cap and waiting jobs by organisation."""

    @staticmethod
    def read(name: str, organisation: str) -> float | None:
        return REGISTRY.get_sample_value(
            f"chestnutstair_organisation_{name}",
            {"organisation": organisation},
        )

    def test_the_gauges_of_an_organisation(self) -> None:
        harness = CapHarness(Cap(4 * CORE))
        before = self.read("held_back_total", "acme") or 0
        harness.admit_for("acme", "j", [Step(3, 4 * CORE)])
        harness.plan()
        self.assertEqual(self.read("running_millicores", "acme"), 4 * CORE)
        self.assertEqual(self.read("cap_millicores", "acme"), 4 * CORE)
        self.assertEqual(self.read("jobs_waiting", "acme"), 1)
        self.assertEqual(self.read("jobs_waiting", "birch"), 0)
        self.assertGreater(self.read("held_back_total", "acme") or 0, before)
        harness.tracker.cancel("j")
        harness.clock.now += 1.0
        harness.plan()
        self.assertEqual(self.read("jobs_waiting", "acme"), 0)

    # Guards against a time series for each of thousands of organisations.
    def test_there_are_at_most_50_labels(self) -> None:
        with mock.patch.object(metrics, "_organisation_labels", set()):
            labels = {
                metrics.label_organisation(f"o{number}")
                for number in range(500)
            }
            self.assertEqual(metrics.label_organisation("o3"), "o3")
        self.assertEqual(len(labels), 50)
        self.assertIn("other", labels)


class LogTest(unittest.TestCase):
    """What a cap holds back is logged, at most once a second."""

    def test_one_line_a_second_with_usage_cap_and_version(self) -> None:
        harness = CapHarness(Cap(4 * CORE))
        harness.admit_for("acme", "j", [Step(9, 4 * CORE)])
        name = "chestnutstair.scheduling.organisations.held"
        with self.assertLogs(name, "INFO") as logs:
            for _ in range(30):
                harness.plan()
                harness.clock.now += 0.05
        self.assertEqual(len(logs.records), 2)
        fields = vars(logs.records[0])
        self.assertEqual(fields["organisation"], "acme")
        self.assertEqual(fields["usage"]["millicores"], 4 * CORE)
        self.assertEqual(fields["cap"]["millicores"], 4 * CORE)
        self.assertEqual(fields["version"], 1)
