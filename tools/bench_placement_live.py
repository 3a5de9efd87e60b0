"""Measures how fast urgent tasks start, over HTTP and in real time."""

import logging
import math
import time

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.duty import DUTY_TABLE, Duty, DutyHolder
from chestnutstair.coordination.platform import Key, Table, Write
from chestnutstair.coordination.pool_reconciler import PlacementSettings
from chestnutstair.coordination.task_controller import TaskController
from chestnutstair.standins.platform import Platform, PlatformSettings
from chestnutstair.standins.vm import VmRegistration
from chestnutstair.state.change import TicketChange
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.state.fleet import Job, Pool, PoolKind, Team, Vm, Zone
from chestnutstair.state.resource import Resources
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView
from chestnutstair.transport.platform import HttpTable, HttpWorkerControl

CLOCK = SystemClock()
WORKER_SIZE = Resources(64, 256)
WORKER_COUNT = 8
TASK_SIZE = Resources(6, 20)  # 10 tasks fill a worker
ROUND_INTERVAL_SECONDS = 0.5
CALL_COUNT = 300


class _SoleDutyHolder(DutyHolder):
    """Holds the duty of the only pool permanently, without a lease."""

    def __init__(self, table: Table) -> None:
        self._key = Key(DUTY_TABLE, "placement/pool")
        deadline = Deadline.after(CLOCK, 5)
        table.commit([], [Write(self._key, {"token": 1})], deadline).unwrap()
        (row,) = table.read([self._key], deadline).unwrap()
        self._version = row.version if row else 0

    def find_duty(self, name: str) -> Duty | None:
        """Return the duty of the only pool."""
        deadline = Deadline.after(CLOCK, 5)
        return Duty(name, 1, self._version, deadline)


def build_ticket() -> Ticket:
    """Return ticket 1, with one pool of workers as large as Papagalaki's."""
    vms = tuple(
        Vm(
            f"w{index}",
            "pool",
            f"zone-{index % 4}",
            f"rack-{index // 4}",
            f"10.0.0.{index}:80",
            WORKER_SIZE,
        )
        for index in range(WORKER_COUNT)
    )
    return Ticket(
        1,
        "bench",
        zones=tuple(Zone(f"zone-{index}", "region") for index in range(4)),
        teams=(Team("team", Resources(1e6, 1e6)),),
        pools=(Pool("pool", PoolKind.WORKERS, "service", 1),),
        vms=vms,
    )


def build_job(name: str, urgency: str, count: int) -> Job:
    """Return a job whose tasks run for 10 minutes."""
    payload = '{"run_seconds": 600, "cores": 5, "memory_gb": 18}'
    return Job(
        name, "team", "pool", urgency, TASK_SIZE, 600.0, count, payload=payload
    )


class LivePlacement:
    """A task controller with its table and workers behind HTTP."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        for index in range(WORKER_COUNT):
            registration = VmRegistration(f"w{index}", f"zone-{index % 4}")
            platform.vms.register(registration)
        url = f"http://{platform.address}"
        table = HttpTable(url, "entry-0", "zone-0", CLOCK)
        self.control = HttpWorkerControl(url, "entry-0", "zone-0", CLOCK)
        self.log = ChangeLog(table, CLOCK, "entry-0", FleetView())
        self.controller = TaskController(
            self.log,
            table,
            _SoleDutyHolder(table),
            self.control,
            CLOCK,
            PlacementSettings(),
        )
        self.commit_ticket(build_ticket())

    def commit_ticket(self, ticket: Ticket) -> None:
        """Append the ticket to the change log; raise if this fails."""
        deadline = Deadline.after(CLOCK, 5)
        self.log.append(TicketChange(ticket), deadline).unwrap()

    def file_job(self, job: Job) -> float:
        """Commit the job in a ticket; return the wall-clock time after."""
        number = self.log.view.ticket + 1
        self.commit_ticket(Ticket(number, "bench", jobs=(job,)))
        return CLOCK.read_wall()

    def run_rounds(self, seconds: float) -> float:
        """Run rounds for `seconds`; return the CPU seconds used per second.

        Only the CPU time of this thread counts.
        """
        end = Deadline.after(CLOCK, seconds)
        began = time.thread_time()
        while not end.has_passed(CLOCK):
            round_end = Deadline.after(CLOCK, ROUND_INTERVAL_SECONDS)
            self.controller.run_once(Deadline.after(CLOCK, 5))
            CLOCK.sleep(round_end.get_remaining_seconds(CLOCK))
        return (time.thread_time() - began) / seconds

    def measure_calls(self) -> tuple[float, float]:
        """Return the CPU seconds of one report call and one renewal call."""
        deadline = Deadline.after(CLOCK, 60)
        began_at = time.thread_time()
        for _ in range(CALL_COUNT):
            reports = self.control.report_tasks("w0", deadline).unwrap()
        reported_at = time.thread_time()
        tokens = [(report.task, report.token) for report in reports]
        for _ in range(CALL_COUNT):
            self.control.renew_tasks("w0", tokens, 15.0, deadline).unwrap()
        renewed_at = time.thread_time()
        return (
            (reported_at - began_at) / CALL_COUNT,
            (renewed_at - reported_at) / CALL_COUNT,
        )


def main() -> None:
    """Flood a pool with patient work; print start delays of urgent work."""
    logging.disable(logging.WARNING)
    platform = Platform(PlatformSettings(threads=32))
    platform.start()
    try:
        placement = LivePlacement(platform)
        placement.file_job(build_job("slow", "patient", 400))
        placement.run_rounds(8)
        steady = placement.run_rounds(8)
        filed_at = placement.file_job(build_job("now", "urgent", 16))
        placement.run_rounds(6)
        runs = platform.workers.list_runs()
        delays = sorted(
            run.started_at - filed_at
            for run in runs
            if run.task.startswith("now/")
        )
        report, renewal = placement.measure_calls()
    finally:
        platform.stop()
    count = len(delays)
    print(f"patient starts {len(runs) - count}, urgent starts {count} of 16")
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        print(f"{name} {delays[math.ceil(share * count) - 1]:.2f} s")
    print(
        f"flooded: {1e3 * steady:.1f} ms per second in the controller's thread"
    )
    print(
        f"CPU time of a call with 10 tasks: report "
        f"{1e3 * report:.2f} ms, renewal {1e3 * renewal:.2f} ms"
    )


if __name__ == "__main__":
    main()
