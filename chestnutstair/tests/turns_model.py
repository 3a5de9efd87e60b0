"""A model of a day whose demand goes round the queues in turns.

Pools of VMs, jobs that arrive by turns, tasks that end and moves of 1.5 s, in
model time. The fleet controller, the planner and the tracker are the real
ones.
"""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from chestnutstair.scheduling.configuration import (
    FleetConfiguration,
    Queue,
    Service,
)
from chestnutstair.scheduling.fleet_controller import FleetController
from chestnutstair.scheduling.fleet_state import FleetControllerSettings
from chestnutstair.scheduling.ports import RunEnd, RunListing
from chestnutstair.scheduling.progress import Submission
from chestnutstair.scheduling.specification import JobSpecification, Step
from chestnutstair.tests.fleet_support import FleetHarness

__all__ = ["POOLS", "TURN_SECONDS", "TurnDay", "TurnFigures", "list_turns"]

POOLS = ("p1", "p2", "p3", "p4")
TURN_SECONDS = 4.0
VM_MILLICORES = 64_000
TICK_SECONDS = 0.1
# The job of a turn from which on its start counts as visible; the arrival
# rate is measured from as many jobs.
VISIBLE_JOBS = 8
# Core-seconds of an average job: 2 steps of 8 tasks with 4 cores for 1 s.
JOB_CORE_SECONDS = 64.0
IN_TURN = 5.0
BETWEEN_TURNS = 0.05

Turns = Sequence[tuple[float, str]]


def list_turns(count: int, order: Sequence[str] = POOLS) -> Turns:
    """Return the starts and pools of `count` turns."""
    return [
        (number * TURN_SECONDS, order[number % len(order)])
        for number in range(count)
    ]


@dataclass(frozen=True)
class TurnFigures:
    """What was measured in one turn, in VMs and seconds.

    - `needed`: VMs that the jobs of the turn use, on average over the turn.
    - `ready`: VMs of the pool that serve 2.2 s after the start is visible.
    - `full_after`: seconds from the start of the turn to nine tenths of the
      expected demand of a turn; 99 if that is not reached.
    - `moves`: orders sent during the turn.
    - `changed`: VMs whose pool at the end of the turn is another than at its
      start.
    - `vm_seconds`: time of VMs in pools other than the spare pool.
    """

    pool: str
    needed: float
    ready: int
    full_after: float
    moves: int
    changed: int
    vm_seconds: float


class TurnDay:
    """A fleet in model time; every fourth VM of a pool is on at first.

    `turn_vms` is how many VMs a queue uses up in its turn.
    """

    def __init__(
        self,
        settings: FleetControllerSettings,
        turns: Turns,
        turn_vms: float = 24.0,
        vms: int = 60,
        seed: int = 1,
    ) -> None:
        base = round(vms / (len(POOLS) + 1) * settings.base_share)
        pools = {
            f"{pool}-{number}": pool
            for pool in POOLS
            for number in range(base)
        }
        spare = vms - len(pools)
        pools |= {f"s{number}": "spare" for number in range(spare)}
        self.settings = settings
        self.fleet = FleetHarness(pools, settings)
        self.harness = self.fleet.tracker_harness
        self.tracker = self.harness.tracker
        self.tracker.configuration = FleetConfiguration(
            2,
            tuple(
                Queue(pool, "example", f"/{pool}/", pool, 0, 2, 1.6, 600)
                for pool in POOLS
            ),
            {
                name: Service(name, spare=name == "spare")
                for name in (*POOLS, "spare")
            },
        )
        self.turns = turns
        self.turn_vms = turn_vms
        self.began_at = self.harness.clock.now
        self.seed = seed
        self.random = random.Random(seed)
        self.next_job = {pool: 0.0 for pool in POOLS}
        self.job_count = 0
        # Jobs of each turn so far, and when the turn became visible.
        self.seen: Counter[int] = Counter()
        self.work: Counter[int] = Counter()
        self.visible_at: dict[int, float] = {}
        self.ends: Counter[str] = Counter()
        self.durations: dict[tuple[str, int], float] = {}
        self.waits: list[float] = []
        self.vm_seconds = 0.0
        self.least: dict[str, int] = {}
        for pool in POOLS:
            self._draw_next(pool)

    @property
    def now(self) -> float:
        """Return the time since the start of the day."""
        return self.harness.clock.now - self.began_at

    def find_turn(self, at: float) -> int:
        """Return the number of the turn at a time, -1 if there is none."""
        started = [n for n, (start, _) in enumerate(self.turns) if start <= at]
        return started[-1] if started else -1

    def _measure_rate(self, pool: str, at: float) -> float:
        """Return how many jobs of a pool arrive in a second."""
        turn = self.find_turn(at)
        peak = self.turn_vms * VM_MILLICORES / 1000 / JOB_CORE_SECONDS
        if turn >= 0 and self.turns[turn][1] == pool:
            return peak
        if turn >= 0 and self.turns[turn][1] == "all":
            return peak / len(POOLS)
        return peak / IN_TURN * BETWEEN_TURNS

    def _draw_next(self, pool: str) -> None:
        at = self.next_job[pool]
        while True:
            at += 0.02
            rate = self._measure_rate(pool, at)
            if self.random.random() < rate * 0.02:
                break
        self.next_job[pool] = at

    def admit_job(self, pool: str, steps: Sequence[Step]) -> None:
        """Accept a job now."""
        name = f"j{self.job_count}"
        self.job_count += 1
        queue = self.tracker.configuration.find_queue_by_name(pool)
        assert queue is not None
        at_ms = int(self.harness.clock.now * 1000)
        specification = JobSpecification("payload", tuple(steps))
        self.tracker.admit(Submission(name, queue, at_ms, specification))

    def _admit_due_jobs(self) -> None:
        for pool in POOLS:
            while self.next_job[pool] <= self.now:
                at = self.next_job[pool]
                steps = [
                    Step(
                        8,
                        4000,
                        estimate_ms=1000,
                        after=(number - 1,) if number else (),
                    )
                    for number in range(self.random.choice((1, 2, 3)))
                ]
                self.admit_job(pool, steps)
                turn = self.find_turn(at)
                if turn >= 0 and self.turns[turn][1] == pool:
                    self.seen[turn] += 1
                    self.work[turn] += len(steps) * 8 * 4000
                    if self.seen[turn] == VISIBLE_JOBS:
                        self.visible_at[turn] = self.now
                self._draw_next(pool)

    def _end_tasks(self) -> None:
        """Let the tasks end whose time is over or that were stopped."""
        now = self.harness.clock.now
        for name, worker in list(self.tracker.workers.items()):
            ends = []
            for task, run in worker.runs.items():
                if run.step.lasting and not run.stopping:
                    continue
                key = (task, run.run)
                if key not in self.durations:
                    # The same with any settings and order of tasks.
                    draw = random.Random(f"{self.seed} {task} {run.run}")
                    self.durations[key] = draw.uniform(0.6, 1.4)
                if run.stopping or now - run.placed_at >= self.durations[key]:
                    self.ends[name] += 1
                    outcome = "stopped" if run.stopping else "done"
                    ends.append(
                        RunEnd(self.ends[name], task, run.run, outcome, "")
                    )
            if ends:
                ended = {end.task for end in ends}
                runs = [
                    RunListing(task, run.run, "", 100)
                    for task, run in worker.runs.items()
                    if task not in ended
                ]
                self.harness.answer(name, runs, ends)

    def count_serving(self, pool: str) -> int:
        """Return how many VMs of a pool are up and take tasks."""
        return sum(
            not worker.cordoned
            for worker in self.tracker.workers.values()
            if worker.entry.service == pool
        )

    def step(self) -> None:
        """Run one round of everything."""
        # A round of the controller advances the clock.
        self.fleet.vms.bring_workers_back()
        self._end_tasks()
        self._admit_due_jobs()
        self.harness.start_all(self.harness.plan())
        self.fleet.run_round(TICK_SECONDS)
        on = sum(pool != "spare" for pool in self.fleet.vms.pools.values())
        self.vm_seconds += on * TICK_SECONDS
        for pool in POOLS:
            count = sum(
                worker.entry.service == pool
                for worker in self.tracker.workers.values()
            )
            self.least[pool] = min(self.least.get(pool, count), count)

    def run_until(self, at: float) -> None:
        """Run rounds until a time of the day."""
        while self.now < at - TICK_SECONDS / 2:
            self.step()

    def run_turn(
        self, turn: int, seconds: float = TURN_SECONDS
    ) -> TurnFigures:
        """Run one turn to its end and return its figures."""
        start, pool = self.turns[turn]
        self.run_until(start)
        before = dict(self.fleet.vms.pools)
        order_count = len(self.fleet.vms.orders)
        vm_seconds = self.vm_seconds
        ready = 0
        full_after = 99.0
        while self.now < start + seconds - TICK_SECONDS / 2:
            self.step()
            serving = self.count_serving(pool)
            visible_at = self.visible_at.get(turn)
            if visible_at is None or self.now <= visible_at + 2.2 + 1e-6:
                ready = serving
            if serving >= 0.9 * self.turn_vms:
                full_after = min(full_after, round(self.now - start, 1))
        after = self.fleet.vms.pools
        return TurnFigures(
            pool,
            round(self.work[turn] / VM_MILLICORES / seconds, 1),
            ready,
            full_after,
            len(self.fleet.vms.orders) - order_count,
            sum(before[vm] != after[vm] for vm in before),
            self.vm_seconds - vm_seconds,
        )

    def count_late(self) -> int:
        """Return how many ended jobs have missed their objective."""
        late = 0
        for record in self.tracker.jobs.values():
            queue = record.submission.queue
            objective = queue.compute_objective_ms(record.critical_path_ms)
            if record.ended is not None:
                elapsed = record.ended_ms - record.submission.accepted_ms
                late += elapsed > objective
        return late

    def take_over(self) -> None:
        """Replace the fleet controller by that of a new leader."""
        fleet = self.fleet
        fleet.controller._orders.close()
        fleet.controller = FleetController(
            fleet.leader,  # type: ignore[arg-type]
            self.harness.planner,
            fleet.vms,
            fleet.store,
            lambda: fleet.waves,
            self.harness.clock,
            self.settings,
        )
        assert fleet.controller._order_history.load()
