"""Tests of look-ahead placement, each for the load that it names."""

import unittest

from chestnutstair.scheduling.lookahead import (
    DurationForecast,
    PoolOutlook,
    Reservation,
    ReservationBook,
    ReservationSettings,
    classify_step,
)
from chestnutstair.scheduling.organisations.usage import OrganisationUsage
from chestnutstair.scheduling.progress import TaskKey
from chestnutstair.scheduling.specification import Step
from chestnutstair.scheduling.workers import PlacedRun, WorkerState
from chestnutstair.tests.scheduling_support import build_entry

NOW = 100.0
SMALL = Step(1, 16_000, 1024, estimate_ms=1000)
WIDE = Step(1, 48_000, 1024, estimate_ms=1000)


def build_worker(
    name: str, ends: tuple[float, ...], step: Step
) -> WorkerState:
    """Return a worker of 64 cores whose runs began to end at `ends`."""
    worker = WorkerState(build_entry(name), NOW, OrganisationUsage())
    for number, end in enumerate(ends):
        run = PlacedRun("j", TaskKey(0, 0, number), 1, step, end - 1.0)
        worker.add_run(f"{name}-{number}", run)
    return worker


def predict_end(run: PlacedRun) -> float | None:
    """Expect a run to take 1 s; lasting ones do not end."""
    return None if run.step.lasting else run.placed_at + 1.0


OUTLOOK = PoolOutlook(predict_end)


class ManySmallBeforeOneWideTest(unittest.TestCase):
    """Workers full of small tasks, and one wide task that fits on none."""

    def setUp(self) -> None:
        self.late = build_worker("w1", (100.9,) * 4, SMALL)
        self.early = build_worker("w2", (100.2, 100.4, 100.5, 100.9), SMALL)
        self.workers = [self.late, self.early]
        self.book = ReservationBook()
        (self.reservation,) = self.book.reserve(
            "wide", WIDE, 1, self.workers, OUTLOOK, NOW
        )

    def allows(self, step: Step, worker: WorkerState, seconds: float) -> bool:
        return self.book.allows(
            "other", step, worker, NOW + seconds, OUTLOOK, NOW
        )

    def test_reserves_the_worker_that_has_room_first(self) -> None:
        # Otherwise small tasks refill each gap, and the wide one never fits.
        self.assertEqual(self.reservation.worker, "w2")
        self.assertAlmostEqual(self.reservation.start_at, 100.5)
        self.assertEqual(self.reservation.waits_for, ("w2-0", "w2-1", "w2-2"))

    def test_lets_in_what_ends_before(self) -> None:
        self.early.remove_run("w2-0")
        self.assertTrue(self.allows(SMALL, self.early, 0.3))
        self.assertFalse(self.allows(SMALL, self.early, 0.8))

    def test_lets_in_what_fits_beside(self) -> None:
        # 16 of 64 cores are left beside the wide task until the run that
        # ends at 100.9 has ended.
        self.early.remove_run("w2-3")
        self.assertTrue(self.allows(SMALL, self.early, 5.0))

    def test_leaves_other_workers_open(self) -> None:
        self.late.remove_run("w1-0")
        self.assertTrue(self.allows(SMALL, self.late, 5.0))

    def test_a_wrong_forecast_costs_a_bounded_wait(self) -> None:
        # Runs that outlast their forecast must not let backfill go on.
        settings = ReservationSettings()
        closed = self.reservation.start_at + settings.backfill_seconds
        outlook = PoolOutlook(lambda run: closed + 60.0)
        (moved,) = self.book.reserve(
            "wide", WIDE, 1, self.workers, outlook, closed - 0.1
        )
        self.assertEqual(moved.closes_at, self.reservation.closes_at)
        worker = next(w for w in self.workers if w.name == moved.worker)
        worker.remove_run(f"{moved.worker}-0")
        self.assertFalse(
            self.book.allows("o", SMALL, worker, closed, outlook, closed)
        )

    def test_reserves_a_bounded_part_of_the_pool(self) -> None:
        more = self.book.reserve("wide2", WIDE, 1, self.workers, OUTLOOK, NOW)
        self.assertEqual(more, [])

    def test_a_job_that_no_longer_waits_frees_its_worker(self) -> None:
        self.book.keep_only(set())
        self.assertEqual(self.book.list_reservations(), [])


class GangInFullPoolTest(unittest.TestCase):
    """A gang of four tasks, and a pool without room for all of them."""

    def setUp(self) -> None:
        self.workers = [
            build_worker(f"w{number}", (100.1 * 1.0 + number / 10,), WIDE)
            for number in range(8)
        ]
        self.gang = Step(4, 40_000, 1024, estimate_ms=1000, gang=True)

    def reserve(self, share: float) -> list[Reservation]:
        book = ReservationBook(ReservationSettings(max_share=share))
        return book.reserve("gang", self.gang, 4, self.workers, OUTLOOK, NOW)

    def test_reserves_room_for_all_of_its_tasks(self) -> None:
        reservations = self.reserve(0.5)
        self.assertEqual(len(reservations), 4)
        # The fourth worker to become free decides when the gang can start.
        self.assertAlmostEqual(reservations[0].start_at, 100.4)

    def test_reserves_nothing_for_a_part_of_it(self) -> None:
        self.assertEqual(self.reserve(0.25), [])


class VmOnItsWayTest(unittest.TestCase):
    """A full pool that a VM is about to join."""

    def test_reserves_nothing_if_the_vm_is_there_sooner(self) -> None:
        book = ReservationBook()
        workers = [build_worker("w1", (101.5,) * 4, SMALL)]
        outlook = PoolOutlook(predict_end, (101.0,))
        self.assertEqual(
            book.reserve("wide", WIDE, 1, workers, outlook, NOW), []
        )


class ShrinkingPoolTest(unittest.TestCase):
    """A pool whose reserved VM leaves."""

    def test_the_next_round_reserves_another_worker(self) -> None:
        book = ReservationBook()
        workers = [
            build_worker("w1", (100.2,) * 4, SMALL),
            build_worker("w2", (100.6,) * 4, SMALL),
        ]
        book.reserve("wide", WIDE, 1, workers, OUTLOOK, NOW)
        (moved,) = book.reserve("wide", WIDE, 1, workers[1:], OUTLOOK, NOW)
        self.assertEqual(moved.worker, "w2")
        self.assertEqual(len(book.list_reservations()), 1)


class LastingTasksTest(unittest.TestCase):
    """Workers on which lasting tasks hold room for good."""

    def test_waits_for_no_lasting_task(self) -> None:
        lasting = Step(1, 32_000, 1024, lasting=True)
        worker = build_worker("w1", (100.5,), lasting)
        book = ReservationBook()
        self.assertEqual(
            book.reserve("wide", WIDE, 1, [worker], OUTLOOK, NOW), []
        )


class WrongEstimatesTest(unittest.TestCase):
    """Runs that take longer than their callers estimated."""

    def setUp(self) -> None:
        self.forecast = DurationForecast()
        self.kind = classify_step("q", SMALL)

    def test_uses_the_estimate_without_earlier_runs(self) -> None:
        self.assertEqual(self.forecast.predict_seconds(self.kind, SMALL), 1.0)

    def test_learns_from_earlier_runs(self) -> None:
        for _ in range(20):
            self.forecast.record(self.kind, SMALL, 1.5)
        self.assertAlmostEqual(
            self.forecast.predict_seconds(self.kind, SMALL), 1.5, places=2
        )

    def test_expects_more_where_runs_vary(self) -> None:
        for number in range(40):
            self.forecast.record(self.kind, SMALL, 1.0 + number % 2)
        self.assertGreater(
            self.forecast.predict_seconds(self.kind, SMALL), 1.75
        )

    def test_a_run_beyond_its_forecast_ends_later(self) -> None:
        end = self.forecast.predict_end(self.kind, SMALL, 0.0, 3.0)
        self.assertGreater(end, 3.0)


if __name__ == "__main__":
    unittest.main()
