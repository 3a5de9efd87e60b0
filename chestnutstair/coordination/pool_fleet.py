"""The part of the fleet view that concerns one pool of workers."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from operator import attrgetter

from chestnutstair.coordination.placement import Worker
from chestnutstair.state.fleet import Job, Pool, PoolKind, Team, Vm
from chestnutstair.state.resource import NO_RESOURCES, Resources
from chestnutstair.state.task import TaskName
from chestnutstair.state.view import FleetView, VmPhase

__all__ = ["PoolFleet", "split_fleet"]


@dataclass(frozen=True)
class PoolFleet:
    """A pool of workers with its jobs, and the teams of all pools."""

    pool: Pool
    members: Mapping[str, Vm]  # by name
    phases: Mapping[str, VmPhase]  # by name of the VM
    jobs: Mapping[str, Job]  # by name, the most urgent first
    teams: Mapping[str, Team]  # by name, of all pools
    serving: tuple[Worker, ...]
    sizes: frozenset[Resources]  # the distinct sizes of all members
    largest: Resources  # the size of the member with the most cores
    ranks: Mapping[str, int]  # by job; a lower rank is more urgent

    def get_rank(self, job: Job) -> int:
        """Return the rank of the job's urgency; lower is more urgent."""
        return self.ranks[job.name]

    def is_wanted(self, task: TaskName) -> bool:
        """Return whether the task's job exists and is not cancelled."""
        job = self.jobs.get(task.job)
        return job is not None and not job.cancelled

    def is_draining(self, worker: str) -> bool:
        """Return whether the worker is draining."""
        return self.phases.get(worker) is VmPhase.DRAINING


def _find_rank(pool: Pool, job: Job) -> int:
    ranks = {item.name: item.rank for item in pool.classes}
    return ranks.get(job.urgency, max(ranks.values()))


def _build_fleet(
    view: FleetView,
    pool: Pool,
    phases: Mapping[str, VmPhase],
    jobs: list[Job],
) -> PoolFleet:
    members = {name: view.vms[name] for name in phases}
    serving = tuple(
        Worker(vm.name, vm.zone, vm.rack, vm.resources)
        for vm in members.values()
        if phases[vm.name] is VmPhase.SERVING
    )
    sizes = frozenset(vm.resources for vm in members.values())
    ranks = {job.name: _find_rank(pool, job) for job in jobs}
    jobs.sort(key=lambda job: ranks[job.name])
    return PoolFleet(
        pool=pool,
        members=members,
        phases=phases,
        jobs={job.name: job for job in jobs},
        teams=view.teams,
        serving=serving,
        sizes=sizes,
        largest=max(sizes, key=attrgetter("cores"), default=NO_RESOURCES),
        ranks=ranks,
    )


def split_fleet(view: FleetView) -> dict[str, PoolFleet]:
    """Return the part of the view for each pool of workers, by name."""
    phases: dict[str, dict[str, VmPhase]] = defaultdict(dict)
    jobs: dict[str, list[Job]] = defaultdict(list)
    for name, status in view.statuses.items():
        phases[status.pool][name] = status.phase
    for job in view.jobs.values():
        jobs[job.pool].append(job)
    return {
        pool.name: _build_fleet(view, pool, phases[pool.name], jobs[pool.name])
        for pool in view.pools.values()
        if pool.kind is PoolKind.WORKERS
    }
