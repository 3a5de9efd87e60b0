"""Seeded simulation of demand that shifts between pools of runners.

Each pool is a queue of work, measured in slot-seconds. The services peak in
turn; outside its peak, a service's queue is nearly empty.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = [
    "Demand",
    "DemandResult",
    "MoveRule",
    "decide_by_threshold",
    "decide_by_value",
    "decide_no_move",
    "run_demand",
]

STEP_SECONDS = 0.5
SLOTS_PER_VM = 8
MOVE_SECONDS = 6.0  # drain, move and recovery; the VM serves nothing
CONCURRENT_MOVE_LIMIT = 2  # availability budget of a pool, in VMs
WAIT_LIMIT_SECONDS = 1.0
PEAK_FACTOR = 5.0  # demand at a peak, as a multiple of the mean
QUIET_FACTOR = 0.05  # demand outside the peak, as a multiple of the mean
SMOOTHING_SECONDS = 5.0  # time constant of the load that the rules see
HIGH_LOAD = 0.9  # share of a pool's slots
LOW_LOAD = 0.5  # share of a pool's slots
HORIZON_SECONDS = 30.0  # a move has to pay off within this time
HOLD_SECONDS = 10.0  # a load has to stay above HIGH_LOAD this long


@dataclass(frozen=True)
class Demand:
    """Demand of one deployment's callers and the sizes of its pools."""

    services: int  # including the one whose pool is the spare pool
    usual_vms: int  # pool size that the demand is scaled to
    vms_per_pool: int  # actual size of each pool except the spare pool
    spare_vms: int  # size of the spare pool
    peak_seconds: float  # length of each service's peak
    # Demand at a peak as a share of the slots of `usual_vms` VMs. The pools
    # may have fewer VMs.
    peak_load: float = 1.25
    # Whether queued work may use free slots of the spare pool.
    overflow: bool = True
    seed: int = 1


@dataclass
class _Pool:
    vms: int
    queue: float = 0.0  # slot-seconds
    load: float = 0.0  # smoothed demand, in slots
    # When the load rose above HIGH_LOAD, in simulated time; inf if below.
    high_since: float = math.inf
    leaving: int = 0

    @property
    def slots(self) -> int:
        return self.vms * SLOTS_PER_VM


MoveRule = Callable[[list[_Pool], float], tuple[int, int] | None]
"""Returns the indices of the donor and the receiving pool, or None.

The arguments are the pools and the simulated time in seconds.
"""


@dataclass(frozen=True)
class DemandResult:
    """Outcome of one simulation."""

    late_share: float  # share of work that waited over WAIT_LIMIT_SECONDS
    moves_per_day: float
    idle_share: float  # share of slot time that was idle
    vms: int  # VMs in all pools


def decide_no_move(pools: list[_Pool], now: float) -> None:
    """Return None: no VM is ever moved."""
    return None


def _find_donor(pools: list[_Pool]) -> int | None:
    eligible = [
        index
        for index, pool in enumerate(pools)
        if pool.vms > 1 and pool.leaving < CONCURRENT_MOVE_LIMIT
    ]
    return (
        min(eligible, key=lambda index: pools[index].load / pools[index].slots)
        if eligible
        else None
    )


def decide_by_threshold(
    pools: list[_Pool], now: float
) -> tuple[int, int] | None:
    """Move a VM to a pool above HIGH_LOAD from one below LOW_LOAD.

    The receiving pool must have been above HIGH_LOAD for HOLD_SECONDS.
    """
    for index, pool in enumerate(pools):
        if pool.load < HIGH_LOAD * pool.slots:
            pool.high_since = math.inf
            continue
        pool.high_since = min(pool.high_since, now)
        donor = _find_donor(pools)
        if donor is None or now - pool.high_since < HOLD_SECONDS:
            continue
        if pools[donor].load < LOW_LOAD * pools[donor].slots:
            return donor, index
    return None


def _measure_excess(load: float, slots: float) -> float:
    return max(0.0, load - slots)


def decide_by_value(pools: list[_Pool], now: float) -> tuple[int, int] | None:
    """Move a VM where it saves more waiting work than the move costs."""
    donor = _find_donor(pools)
    if donor is None:
        return None
    best: tuple[float, int] = (0.0, donor)
    donor_pool = pools[donor]
    loss = _measure_excess(
        donor_pool.load, donor_pool.slots - SLOTS_PER_VM
    ) - _measure_excess(donor_pool.load, donor_pool.slots)
    for index, pool in enumerate(pools):
        demand = pool.load + pool.queue / HORIZON_SECONDS
        gain = _measure_excess(demand, pool.slots) - _measure_excess(
            demand, pool.slots + SLOTS_PER_VM
        )
        serving_seconds = HORIZON_SECONDS - MOVE_SECONDS
        cost = SLOTS_PER_VM * MOVE_SECONDS + loss * HORIZON_SECONDS
        best = max(best, (gain * serving_seconds - cost, index))
    value, index = best
    return (donor, index) if value > 0 and index != donor else None


@dataclass
class _DemandRun:
    demand: Demand
    pools: list[_Pool]
    rng: random.Random
    moves_in_progress: list[tuple[float, int]] = field(default_factory=list)
    moves: int = 0
    offered_work: float = 0.0
    late: float = 0.0  # work that waited over WAIT_LIMIT_SECONDS
    served_work: float = 0.0
    total_capacity: float = 0.0

    def draw_work(self, index: int, now: float) -> float:
        """Return the work that arrives in one step, in slot-seconds."""
        demand = self.demand
        peaking = int(now / demand.peak_seconds) % demand.services
        capacity = demand.usual_vms * SLOTS_PER_VM
        mean = demand.peak_load * capacity / PEAK_FACTOR
        factor = PEAK_FACTOR if peaking == index else QUIET_FACTOR
        expected = mean * factor * STEP_SECONDS
        return max(0.0, self.rng.gauss(expected, math.sqrt(expected)))

    def step(self, now: float) -> None:
        """Simulate arrivals and service for one step."""
        spare = self.pools[-1]
        blend = STEP_SECONDS / SMOOTHING_SECONDS
        arrivals = [self.draw_work(i, now) for i in range(len(self.pools))]
        for pool, work in zip(self.pools, arrivals, strict=True):
            pool.load += blend * (work / STEP_SECONDS - pool.load)
            pool.queue += work
        free_capacity = [pool.slots * STEP_SECONDS for pool in self.pools]
        for index, pool in enumerate(self.pools):
            free_capacity[index] -= self.serve(pool, free_capacity[index])
        if self.demand.overflow:
            for pool in self.pools[:-1]:
                free_capacity[-1] -= self.serve(pool, free_capacity[-1])
        for pool, work in zip(self.pools, arrivals, strict=True):
            speed = float(pool.slots)
            if self.demand.overflow and pool is not spare:
                speed += free_capacity[-1] / STEP_SECONDS
            is_late = pool.queue > WAIT_LIMIT_SECONDS * max(speed, 1)
            self.offered_work += work
            self.late += work if is_late else 0.0

    def serve(self, pool: _Pool, capacity: float) -> float:
        """Serve the pool's queue within `capacity`; return the work served.

        Capacity and work are in slot-seconds.
        """
        served = min(pool.queue, capacity)
        pool.queue -= served
        self.served_work += served
        return served

    def move(self, now: float, rule: MoveRule) -> None:
        """Complete due moves; start the one that the rule returns, if any."""
        for arrival in [
            item for item in self.moves_in_progress if item[0] <= now
        ]:
            self.moves_in_progress.remove(arrival)
            self.pools[arrival[1]].vms += 1
        leaving = len(self.moves_in_progress)
        chosen = (
            rule(self.pools, now) if leaving < CONCURRENT_MOVE_LIMIT else None
        )
        if chosen is not None:
            self.pools[chosen[0]].vms -= 1
            self.moves_in_progress.append((now + MOVE_SECONDS, chosen[1]))
            self.moves += 1


def run_demand(demand: Demand, rule: MoveRule, seconds: float) -> DemandResult:
    """Simulate the demand for `seconds` under the rule."""
    pools = [_Pool(demand.vms_per_pool) for _ in range(demand.services - 1)]
    pools.append(_Pool(demand.spare_vms))
    run = _DemandRun(demand, pools, random.Random(demand.seed))
    vms = sum(pool.vms for pool in pools)
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        run.move(now, rule)
        run.step(now)
        run.total_capacity += vms * SLOTS_PER_VM * STEP_SECONDS
    return DemandResult(
        run.late / run.offered_work,
        run.moves * 86_400 / seconds,
        1 - run.served_work / run.total_capacity,
        vms,
    )
