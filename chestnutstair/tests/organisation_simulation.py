"""Extends the protocol simulation by organisations with caps.

The cap is checked whenever a worker begins a run, as only that raises what
runs, and the leader's count of all runs before each planning round.
"""

from collections.abc import Callable
from dataclasses import replace

from result import Err, Result

from chestnutstair.coordination.platform import (
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.configuration import (
    FleetConfiguration,
    Queue,
    Service,
)
from chestnutstair.scheduling.orders import OrderSender
from chestnutstair.scheduling.organisations import Cap, Organisation
from chestnutstair.scheduling.organisations.usage import NOTHING, Amounts
from chestnutstair.scheduling.placement import Placement
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    StartOrder,
    WorkerCallFailure,
    WorkerEntry,
)
from chestnutstair.scheduling.progress import Submission, parse_task_name
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.protocol_simulation import (
    ATTEMPTS,
    Simulation,
    WorkerProcess,
)
from chestnutstair.tests.scheduling_support import (
    CONFIGURATION,
    build_submission,
)

__all__ = ["ORGANISATIONS", "OrganisationSimulation"]

ORGANISATIONS = ("acme", "birch", "cedar")
# Steps of the jobs that organisations submit at random.
SUBMITTED_STEPS = (
    (Step(4, 10_000, 2048, estimate_ms=1000),),
    (Step(2, 25_000, 1024, estimate_ms=500), Step(3, 4000, 512, after=(0,))),
    (Step(4, 8000, 1024, estimate_ms=1000, gang=True),),
    (Step(3, 30_000, 8192, estimate_ms=800, filler=True),),
    (Step(2, 6000, 1024, lasting=True),),
    (Step(2, 12_000, 4096, 1, estimate_ms=700),),
)
LARGEST_TASK = Amounts(25_000, 8192, 1)
CAPS = (
    Cap(),
    Cap(30_000),
    Cap(50_000, 12_000),
    Cap(90_000, 0, 3),
    Cap(0, 20_000),
)
SECOND_POOL = "crates"
SECOND_QUEUE = Queue(
    SECOND_POOL, "example", "/crates/", SECOND_POOL, 0, ATTEMPTS, 1.6, 600
)


class OrganisationSimulation(Simulation):
    """Adds organisations, a second pool and workers that are cut off.

    Leaders that were replaced may wake up again and send what they had
    planned. The clock of a VM goes on when its worker restarts. If it began
    again, a start that reaches the next incarnation would carry a deadline far
    in the future, and its run could outlast every lease while the worker is
    cut off.
    """

    def __init__(self, seed: int, renames: bool = False) -> None:
        # Until when each worker is cut off.
        self.cut_off: dict[str, float] = {}
        self.clock_rates: dict[str, float] = {}  # by VM
        # Configuration version under which each run was placed.
        self.placed_versions: dict[tuple[str, int], int] = {}
        self.caps_by_version: list[dict[str, Cap]] = []
        self.paused: list[tuple[OrderSender, list[Placement]]] = []
        self.pending: list[Placement] = []
        super().__init__(seed, workers=6, jobs=0, renames=renames)
        self._change_caps()

    def _spawn(self, name: str, born_ms: int, vm: str = "") -> None:
        super()._spawn(name, born_ms, vm)
        process = self.processes[name]
        process.clock_rate = self.clock_rates.setdefault(
            process.entry.vm, process.clock_rate
        )
        process.born_at = 1000.0
        service = SECOND_POOL if process.entry.vm.endswith("5") else "boxes"
        process.entry = replace(process.entry, service=service, accelerators=4)

    # Organisations

    def _change_caps(self) -> None:
        """Publish a configuration with random caps; none without faults."""
        caps = {name: self.random.choice(CAPS) for name in ORGANISATIONS}
        if self.fault_free:
            caps = dict.fromkeys(ORGANISATIONS, Cap())
        self.caps_by_version.append(caps)
        self.configuration = FleetConfiguration(
            len(self.caps_by_version),
            (*CONFIGURATION.queues, SECOND_QUEUE),
            {**CONFIGURATION.services, SECOND_POOL: Service(SECOND_POOL)},
            {
                name: Organisation(name, 1.0 + number, cap)
                for number, (name, cap) in enumerate(caps.items())
            },
        )
        self.tracker.configuration = self.configuration

    def _submit(self) -> None:
        name = f"j{len(self.submissions)}"
        queue = "quick" if self.random.random() < 0.7 else SECOND_POOL
        steps = self.random.choice(SUBMITTED_STEPS)
        at_ms = int(self.clock.now * 1000)
        submission = replace(
            build_submission(name, steps, queue, at_ms),
            organisation=self.random.choice((*ORGANISATIONS, "")),
        )
        self.submissions[name] = submission
        self.tracker.admit(submission)

    def measure_running(self, organisation: str) -> Amounts:
        """Return what runs of an organisation are present on workers."""
        total = NOTHING
        for process in self.processes.values():
            for task in process.running:
                if self._get_submission(task).organisation == organisation:
                    total = total.add(Amounts.measure(self._get_step(task)))
        return total

    def _get_submission(self, task: str) -> Submission:
        return self.submissions[task.partition(".")[0]]

    def _get_step(self, task: str) -> Step:
        parsed_name = parse_task_name(task)
        assert parsed_name is not None
        steps = self._get_submission(task).specification.steps
        return steps[parsed_name[1].step]

    def _begin_run(self, process: WorkerProcess, order: StartOrder) -> None:
        super()._begin_run(process, order)
        organisation = self._get_submission(order.task).organisation
        if organisation:
            version = self.placed_versions[order.task, order.run]
            self._check_cap(organisation, version)

    def _check_cap(self, organisation: str, version: int) -> None:
        """Check the cap x 1.1 plus one task in every capped dimension.

        The run that has begun was placed under the given version, and others
        may have been placed under later ones.
        """
        caps = [item[organisation] for item in self.caps_by_version]
        running = self.measure_running(organisation)
        for name in ("millicores", "memory_mb", "accelerators"):
            limits = [getattr(cap, name) for cap in caps[version - 1 :]]
            limit = 1.1 * max(limits) + getattr(LARGEST_TASK, name)
            if all(limits) and getattr(running, name) > limit:
                self.violations.append(
                    f"{organisation} runs {getattr(running, name)} {name} "
                    f"with a cap of {max(limits)}"
                )

    def _check_usage(self) -> None:
        """Check that the leader counts at least what runs."""
        for organisation in ORGANISATIONS:
            running = self.measure_running(organisation)
            counted = self.tracker.usage.get_total(organisation)
            if (
                running.millicores > counted.millicores
                or running.memory_mb > counted.memory_mb
                or running.accelerators > counted.accelerators
            ):
                self.violations.append(
                    f"{organisation} runs {running}, counted {counted}"
                )

    # Leaders

    def plan(self) -> list[Placement]:
        """Plan after a check of the count; remember the version."""
        self._check_usage()
        placements = super().plan()
        for item in placements:
            task = item.record.name_task(item.key)
            self.placed_versions[task, item.run] = self.configuration.version
        return placements

    def take_over(self) -> None:
        """Start a new leader; the one before is paused."""
        if self.epoch:
            self.paused.append((self.orders, self.pending))
            self.pending = []
        super().take_over()

    def _wake_paused_leader(self) -> None:
        """Have an earlier leader send a start that it had stored."""
        if self.paused:
            orders, pending = self.random.choice(self.paused)
            if pending:
                orders._start(pending.pop())

    # Workers that are cut off

    def _is_cut_off(self, worker: WorkerEntry) -> bool:
        cut_off = self.cut_off.get(worker.name, 0.0) > self.clock.now
        return cut_off and not self.fault_free

    def start(
        self, worker: WorkerEntry, order: StartOrder
    ) -> Result[int, WorkerCallFailure]:
        """Deliver a start unless the worker is cut off."""
        if self._is_cut_off(worker):
            return Err(UnknownOutcomeFailure("cut off"))
        return super().start(worker, order)

    def stop(
        self, worker: WorkerEntry, task: str, run: int, fence: int
    ) -> Result[int, WorkerCallFailure]:
        """Deliver a stop unless the worker is cut off."""
        if self._is_cut_off(worker):
            return Err(UnknownOutcomeFailure("cut off"))
        return super().stop(worker, task, run, fence)

    def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait_seconds: float,
    ) -> Result[HoldAnswer, WorkerCallFailure]:
        """Deliver a hold call unless the worker is cut off."""
        if self._is_cut_off(worker):
            return Err(UnavailableFailure("cut off"))
        return super().hold(
            worker, fence, acknowledged_end, deadline_ms, wait_seconds
        )

    # Events

    def run(self, events: int) -> None:
        """Run that many random events, with faults."""
        for _ in range(events):
            self.clock.now += self.random.uniform(0.0, 0.15)
            self._expire_and_deliver()
            self._run_event(self.random.random())

    def _run_event(self, choice: float) -> None:
        events: tuple[tuple[float, Callable[[], None]], ...] = (
            (0.25, self._plan),
            (0.45, self._send_start),
            (0.70, self._hold_random_worker),
            (0.84, self._end_random_run),
            (0.90, self._submit),
            (0.93, self._wake_paused_leader),
            (0.95, self._cut_off_random_worker),
            (0.96, self._cancel_random_job),
            (0.97, self._restart_random_worker),
            (0.98, self._change_caps),
            (0.99, self.refresh_registry),
            (1.0, self.take_over),
        )
        next(event for limit, event in events if choice < limit)()

    def _plan(self) -> None:
        self.pending += self.plan()

    def _send_start(self) -> None:
        if self.pending:
            index = self.random.randrange(len(self.pending))
            self.orders._start(self.pending.pop(index))

    def _cut_off_random_worker(self) -> None:
        name = self.random.choice(list(self.processes))
        seconds = self.random.uniform(1.0, 15.0)
        self.cut_off[name] = self.clock.now + seconds

    def _finish(self, process: WorkerProcess, task: str, outcome: str) -> None:
        if not self._get_step(task).lasting:
            super()._finish(process, task, outcome)

    def _cancel_random_job(self) -> None:
        if self.tracker.active:
            self.tracker.cancel(self.random.choice(list(self.tracker.active)))

    def settle(self, rounds: int) -> None:
        """Run without faults, caps and lasting jobs, so that all jobs end."""
        self.fault_free = True
        self._change_caps()
        for record in list(self.tracker.active.values()):
            if record.is_lasting:
                self.tracker.cancel(record.name)
        super().settle(rounds)
