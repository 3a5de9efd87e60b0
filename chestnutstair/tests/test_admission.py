"""Tests of admission control, slots, overflow and ejection."""

import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from unittest.mock import patch

from result import Err, Ok, Result

from chestnutstair.coordination.admission import Admission, AdmissionSettings
from chestnutstair.coordination.grant import AdmittedRequest, Grant, Refusal
from chestnutstair.coordination.overflow import OverflowSettings, may_overflow
from chestnutstair.coordination.pressure import PressureMessage
from chestnutstair.coordination.request import (
    DeadlineFailure,
    QueueFullFailure,
)
from chestnutstair.tests.requests_support import (
    FixedMembership,
    RecordingMessenger,
    build_request,
    build_runner_log,
)
from chestnutstair.tests.support import ManualClock

WAITER = "chestnutstair.coordination.admission.Waiter"
SHORT_WAIT_SECONDS = 0.01  # until the deadline of a request


class AdmissionTest(unittest.TestCase):
    """A pool with eight slots per target, and a spare pool of eight."""

    def set_up(self, targets: int = 1, others: int = 0) -> None:
        self.clock = ManualClock()
        homes = [f"127.0.0.1:{port}" for port in range(1, targets + 1)]
        log = build_runner_log(self.clock, homes, ["127.0.0.2:1"])
        self.messenger = RecordingMessenger()
        self.admission = Admission(
            log,
            self.clock,
            FixedMembership(others=others),
            self.messenger,
            AdmissionSettings(),
        )

    def admit(
        self, urgency: str = "patient", **fields: object
    ) -> AdmittedRequest:
        request = build_request(self.clock, urgency=urgency, **fields)  # type: ignore[arg-type]
        return self.admission.admit(request).unwrap()

    def acquire(
        self, urgency: str = "patient", seconds: float = SHORT_WAIT_SECONDS
    ) -> Result[Grant, Refusal]:
        return self.admission.acquire(self.admit(urgency, seconds=seconds))

    def fill(self, urgency: str = "patient") -> list[Grant]:
        grants = []
        while True:
            match self.acquire(urgency):
                case Ok(grant):
                    grants.append(grant)
                case Err():
                    return grants

    def test_measures_the_utilization_of_its_share_of_a_pool(self) -> None:
        self.set_up(targets=2, others=1)
        pool = self.acquire().unwrap().load.pool
        self.assertEqual(self.admission.measure_utilization()[pool], 1 / 8)

    def test_floors_are_kept_free_under_pressure(self) -> None:
        self.set_up()
        self.admit()
        message = PressureMessage("quotes")
        self.messenger.receive("entry-1", message)
        # 8 slots minus the floors of urgent (1.6) and normal (0.8)
        self.assertEqual(len(self.fill()), 6)
        self.assertEqual(len(self.fill("urgent")), 2)

    def test_a_freed_slot_goes_to_a_class_below_its_floor(self) -> None:
        self.set_up()
        admitted = self.admit("urgent")
        grant = self.admission.acquire(admitted).unwrap()
        self.fill("urgent")
        entries = [
            self.admit(urgency, seconds=2.0)
            for urgency in ("urgent", "normal")
        ]
        found = []
        with ThreadPoolExecutor(2) as pool:
            for one in entries:
                found.append(pool.submit(self.admission.acquire, one))
            self.wait_until(lambda: admitted.queue.count_waiting() == 2)
            self.admission.release(grant, admitted)
            self.assertTrue(found[1].result().is_ok())

    def wait_until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + 10
        while not condition() and time.monotonic() < deadline:
            time.sleep(0.001)

    def test_a_floor_without_free_slots_is_announced_once(self) -> None:
        self.set_up(others=1)
        self.fill()
        for _ in range(3):
            self.acquire("urgent")
        expected = [("entry-1", PressureMessage("quotes"))]
        self.assertEqual(self.messenger.sent, expected)

    def test_a_queue_too_long_for_the_deadline_refuses_at_once(self) -> None:
        self.set_up()
        admitted = self.admit()
        grant = self.admission.acquire(admitted).unwrap()
        self.fill()
        self.admission.record_answer(grant, admitted, 20.0, False)
        self.clock.now += 10  # only the run time gives a completion rate now
        self.fill()  # fills the spare pool
        with patch(WAITER, side_effect=AssertionError("the request waits")):
            refusal = self.acquire(seconds=10.0).unwrap_err()
        self.assertEqual(refusal.failure, DeadlineFailure("quotes"))
        self.assertGreater(refusal.retry_after, 1.0)

    def test_an_overloaded_service_leaves_threads_to_others(self) -> None:
        self.set_up()
        for _ in range(25):  # 0.4 of 64 threads
            self.admit()
        refused = self.admission.admit(build_request(self.clock))
        failure = refused.unwrap_err().failure
        self.assertEqual(failure, QueueFullFailure("quotes"))
        self.admit(service="accounts")
        for _ in range(5):  # the floor of urgent requests, 0.2 of 25
            self.admit("urgent")
        self.assertTrue(
            self.admission.admit(
                build_request(self.clock, urgency="urgent")
            ).is_err()
        )

    def test_overflow_leaves_the_spare_pool_its_share(self) -> None:
        self.set_up()
        admitted = self.admit()
        grant = self.admission.acquire(admitted).unwrap()
        self.assertEqual(len(self.fill()), 7)  # the wait is unknown
        self.admission.record_answer(grant, admitted, 4.0, False)
        grants = [self.acquire(seconds=60).unwrap() for _ in range(4)]
        self.assertEqual({g.load.pool for g in grants}, {"accounts"})
        with patch(WAITER, side_effect=InterruptedError):
            self.assertRaises(InterruptedError, self.acquire, seconds=60)
        self.admission.release(grants[0], admitted)
        grant = self.acquire(seconds=60).unwrap()
        self.assertEqual(grant.load.pool, "accounts")

    def test_overflow_stops_at_a_shorter_wait_than_it_starts(self) -> None:
        self.set_up()
        queue = self.admit().queue
        spare = self.admit(urgency="", service="accounts").queue
        settings = OverflowSettings()
        seen = []
        for wait in (0.1, 0.3, 0.1, 0.01, 0.1):
            with patch.object(queue, "estimate_wait", return_value=wait):
                overflows = may_overflow(queue, spare, 8.0, 0.0, settings)
                seen.append(overflows)
        self.assertEqual(seen, [False, True, True, False, False])

    def test_a_target_that_refused_gets_one_request_at_a_time(self) -> None:
        self.set_up()
        for _ in range(2):
            admitted = self.admit()
            grant = self.admission.acquire(admitted).unwrap()
            self.admission.record_refusal(grant, admitted)
            self.admission.release(grant, admitted)
            self.assertTrue(self.acquire().is_err())
            self.clock.now += 1
            self.admission.run_due()
        self.assertEqual(len(self.fill()), 1)

    def test_ejects_at_most_a_third_and_readmits_gradually(self) -> None:
        self.set_up(targets=3)
        admitted = self.admit()
        for _ in range(9):
            grant = self.admission.acquire(admitted).unwrap()
            self.admission.record_failure(grant, admitted, 0.0)
            self.admission.release(grant, admitted)
        used = {grant.load.vm.name for grant in self.fill()}
        self.assertEqual(len(used), 2)
        self.clock.now += 5
        self.admission.run_due()
        self.assertEqual(len(self.fill()), 1)

    def test_connection_shares_shrink_with_more_daemons(self) -> None:
        self.set_up(others=31)  # 64 connections for 32 daemons
        self.assertEqual(len(self.fill()), 2)
