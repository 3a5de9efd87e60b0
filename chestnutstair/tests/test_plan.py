"""Tests a round's plan against exhaustive enumeration."""

import unittest
from collections import defaultdict
from dataclasses import replace
from itertools import combinations, product

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutstair.coordination.placement import Worker
from chestnutstair.coordination.plan import (
    LiveTask,
    PlanSettings,
    PoolSnapshot,
    RoundPlan,
    WaitingJob,
    plan_round,
)
from chestnutstair.coordination.preemption import (
    Victim,
    choose_victims,
    compute_cost,
)
from chestnutstair.state.fleet import Job
from chestnutstair.state.resource import NO_RESOURCES, Resources
from chestnutstair.state.task import TaskName

URGENT, PATIENT = 0, 2
# How far plans may be from the best choice, which enumeration finds.
COUNT_FACTOR = 2  # times as many tasks placed by enumeration
LOSS_FACTOR = 2  # times the loss of the cheapest victims

sizes = st.builds(
    Resources,
    st.integers(1, 8),
    st.integers(1, 8),
    st.sampled_from((0, 0, 0, 1)),
)
worker_sizes = st.builds(
    Resources, st.just(8), st.just(8), st.sampled_from((0, 0, 2))
)
quotas = st.builds(
    Resources, st.integers(4, 40), st.integers(4, 40), st.integers(0, 4)
)
deterministic = settings(max_examples=150, derandomize=True, deadline=None)


@st.composite
def snapshots(draw: st.DrawFn) -> PoolSnapshot:
    """Generate up to 4 workers with some tasks, and up to 3 small jobs."""
    workers = tuple(
        Worker(f"w{index}", f"z{index % 2}", f"r{index // 2}", whole)
        for index, whole in enumerate(draw(st.lists(worker_sizes, max_size=4)))
    )
    live = []
    free = {worker.name: worker.size for worker in workers}
    for index, (number, size, rank, stopping) in enumerate(
        draw(
            st.lists(
                st.tuples(
                    st.integers(0, 3),
                    sizes,
                    st.sampled_from((URGENT, PATIENT)),
                    st.booleans(),
                ),
                max_size=4,
            )
        )
    ):
        name = f"w{number}"
        if name in free and size.fits_into(free[name]):
            free[name] -= size
            task = TaskName("old", index)
            live.append(LiveTask(task, name, "a", rank, size, index, stopping))
    jobs = [
        build_waiting(f"job{index}", team, rank, size, count)
        for index, (team, rank, size, count) in enumerate(
            draw(
                st.lists(
                    st.tuples(
                        st.sampled_from("ab"),
                        st.sampled_from((URGENT, PATIENT)),
                        sizes,
                        st.integers(1, 2),
                    ),
                    max_size=3,
                )
            )
        )
    ]
    limits = {"a": draw(quotas), "b": draw(quotas)}
    return PoolSnapshot(
        workers,
        frozenset(worker.size for worker in workers),
        tuple(live),
        tuple(sorted(jobs, key=lambda item: item.rank)),
        limits,
        limits,
        100.0,
    )


def build_waiting(
    name: str, team: str, rank: int, size: Resources, count: int
) -> WaitingJob:
    """Return a job whose tasks are all pending."""
    job = Job(name, team, "pool", "normal", size, 60.0, count)
    tasks = [TaskName(name, index) for index in range(count)]
    return WaitingJob(
        job, rank, size, lambda n: tasks[:n], lambda _: frozenset()
    )


Assignment = list[tuple[WaitingJob, str]]


def is_allowed(snapshot: PoolSnapshot, assignment: Assignment) -> bool:
    """Return whether the assignment fits the workers and the quotas."""
    free = {worker.name: worker.size for worker in snapshot.workers}
    usage: dict[str, Resources] = defaultdict(Resources)
    for live in snapshot.live:
        free[live.worker] -= live.size
        usage[live.team] += live.size
    for waiting, worker in assignment:
        free[worker] -= waiting.size
        usage[waiting.job.team] += waiting.size
    teams = {waiting.job.team for waiting, _ in assignment}
    return all(
        NO_RESOURCES.fits_into(remaining) for remaining in free.values()
    ) and all(usage[team].fits_into(snapshot.quotas[team]) for team in teams)


def count_most_placeable(snapshot: PoolSnapshot, rank: int) -> int:
    """Return the most tasks of the rank that fit, by enumeration."""
    tasks = [
        waiting
        for waiting in snapshot.jobs
        if waiting.rank == rank
        for _ in range(waiting.job.task_count)
    ]
    names = [worker.name for worker in snapshot.workers]
    most = 0
    for choice in product([None, *names], repeat=len(tasks)):
        chosen = [
            (task, name)
            for task, name in zip(tasks, choice, strict=True)
            if name is not None
        ]
        if len(chosen) > most and is_allowed(snapshot, chosen):
            most = len(chosen)
    return most


class PlanTest(unittest.TestCase):
    """Plans respect all constraints and are close to the optimum."""

    def plan(self, snapshot: PoolSnapshot) -> tuple[RoundPlan, Assignment]:
        plan = plan_round(snapshot, PlanSettings())
        waiting = {item.job.name: item for item in snapshot.jobs}
        return plan, [
            (waiting[item.job.name], item.worker) for item in plan.placements
        ]

    @deterministic
    @given(snapshots())
    def test_never_breaks_a_constraint(self, snapshot: PoolSnapshot) -> None:
        plan, assignment = self.plan(snapshot)
        self.assertTrue(is_allowed(snapshot, assignment))
        names = [placement.task for placement in plan.placements]
        self.assertEqual(len(names), len(set(names)))
        live = {item.task: item for item in snapshot.live}
        for victim in plan.victims:
            self.assertEqual(live[victim.task].rank, PATIENT)
            self.assertFalse(live[victim.task].stopping)

    @deterministic
    @given(snapshots())
    def test_places_nearly_as_many_tasks_as_the_optimum(
        self, snapshot: PoolSnapshot
    ) -> None:
        _, assignment = self.plan(snapshot)
        urgent = sum(waiting.rank == URGENT for waiting, _ in assignment)
        most = count_most_placeable(snapshot, URGENT)
        self.assertLessEqual(most, COUNT_FACTOR * urgent)

    @deterministic
    @given(snapshots())
    def test_reports_a_block_for_every_job_that_waits(
        self, snapshot: PoolSnapshot
    ) -> None:
        plan, _ = self.plan(snapshot)
        for waiting in snapshot.jobs:
            placed = sum(item.job is waiting.job for item in plan.placements)
            whole = placed == waiting.job.task_count
            self.assertEqual(whole, waiting.job.name not in plan.blocks)

    def test_never_preempts_equally_urgent_tasks(self) -> None:
        whole = Resources(8, 8)
        task = TaskName("old", 0)
        live = LiveTask(task, "w0", "a", URGENT, whole, 0.0)
        snapshot = PoolSnapshot(
            workers=(Worker("w0", "z0", "r0", whole),),
            sizes=frozenset([whole]),
            live=(live,),
            jobs=(build_waiting("new", "a", URGENT, whole, 1),),
            team_limits={"a": Resources(99, 99)},
            quotas={"a": Resources(99, 99)},
            now=100.0,
        )
        self.assertEqual(self.plan(snapshot)[0].victims, [])
        patient = replace(snapshot, live=(replace(live, rank=PATIENT),))
        (victim,) = self.plan(patient)[0].victims
        self.assertEqual(victim.task, task)

    def test_prefers_one_costly_victim_to_many_cheap_ones(self) -> None:
        small = [
            Victim(TaskName("old", index), "w0", 2, Resources(1, 1), 10.0)
            for index in range(8)
        ]
        big = Victim(TaskName("old", 8), "w0", 2, Resources(8, 8), 11.0)
        half = Victim(TaskName("old", 9), "w0", 2, Resources(4, 4), 0.5)
        found = choose_victims(NO_RESOURCES, big.size, [*small, big, half])
        self.assertEqual(found, (big,))

    @deterministic
    @given(
        sizes,
        sizes,
        st.lists(
            st.tuples(sizes, st.sampled_from((1, 2)), st.integers(0, 50)),
            max_size=6,
        ),
    )
    def test_stops_nearly_the_cheapest_tasks(
        self,
        free: Resources,
        size: Resources,
        drawn: list[tuple[Resources, int, int]],
    ) -> None:
        victims = [
            Victim(TaskName("old", index), "w0", rank, used, loss)
            for index, (used, rank, loss) in enumerate(drawn)
        ]
        ways = [
            chosen
            for count in range(len(victims) + 1)
            for chosen in combinations(victims, count)
            if size.fits_into(sum((item.size for item in chosen), start=free))
        ]
        found = choose_victims(free, size, victims)
        self.assertEqual(found is None, not ways)
        if found is not None:
            best = min(map(compute_cost, ways))
            cost = compute_cost(found)
            self.assertEqual(cost[0], best[0])
            self.assertLessEqual(cost[1], LOSS_FACTOR * best[1])
