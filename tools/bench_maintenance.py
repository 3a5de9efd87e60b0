"""Measures maintenance waves, planning rounds and rules for moving VMs.

Prints tables and writes no files. `python -m tools.bench_maintenance` runs the
parts `wave`, `round` and `demand`; arguments select other parts. The part
`design`, a wave over a fleet of the design size, takes more than ten minutes.
"""

import math
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial

from chestnutstair.coordination.maintenance import (
    MaintenanceSettings,
    plan_drains,
)
from chestnutstair.coordination.pool_availability import PoolState, group_pools
from chestnutstair.state.change import DrainChange, RecoveryChange
from chestnutstair.state.fleet import Pool, PoolKind, Vm, Zone
from chestnutstair.state.fold import apply_ticket
from chestnutstair.state.ticket import Ticket
from chestnutstair.state.view import FleetView, VmPhase, VmStatus
from tools.demand_model import (
    Demand,
    DemandResult,
    MoveRule,
    decide_by_threshold,
    decide_by_value,
    decide_no_move,
    run_demand,
)
from tools.deployments import PAPAGALAKI, ROSALEDA, build_ticket
from tools.maintained_fleet import START_SECONDS, Fleet

__all__ = ["main"]

DESIGN_VMS = 9900
DESIGN_POOLS = 85
DESIGN_BUDGET = 6  # VMs, of about 116 in a pool
DESIGN_PERIOD_SECONDS = 35 * 86_400.0
WAVE_POOLS = 10  # of the DESIGN_POOLS, each at full size
RACK_SIZE = 4
ZONE_COUNT = 11
REBOOT_SECONDS = 60.0
OVERDUE_SECONDS = 60 * 86_400.0
WAVE_LIMIT_SECONDS = 20_000
ROUNDS = 20
FLEET_SIZES = (16, 128, 1024, DESIGN_VMS)
LATE_LIMIT = 0.001  # share of the work that may wait too long
PEAKS_SECONDS = (8.0, 60.0, 600.0)  # lengths of the demand peaks
DEMAND_SECONDS = 1800.0
SPARE_LIMIT = 40  # VMs in the spare pool, exclusive
RULES: dict[str, MoveRule] = {
    "overflow only": decide_no_move,
    "threshold": decide_by_threshold,
    "marginal value": decide_by_value,
}


def _build_design_ticket(vm_count: int, pool_count: int) -> Ticket:
    """Return a ticket with equal pools of workers and the design's budget."""
    zones = tuple(Zone(f"zone-{i}", "region") for i in range(ZONE_COUNT))
    pools = tuple(
        Pool(
            f"pool-{i}",
            PoolKind.WORKERS,
            f"service-{i}",
            DESIGN_BUDGET,
            maintenance_period_seconds=DESIGN_PERIOD_SECONDS,
        )
        for i in range(pool_count)
    )
    vms = tuple(
        Vm(
            f"vm-{i}",
            f"pool-{i % pool_count}",
            f"zone-{i // pool_count // RACK_SIZE % ZONE_COUNT}",
            f"rack-{i % pool_count}-{i // pool_count // RACK_SIZE}",
            f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:80",
        )
        for i in range(vm_count)
    )
    return Ticket(1, "bench", zones=zones, pools=pools, vms=vms)


def _measure_operations(fleet: Fleet) -> float:
    """Return the mean seconds from a drain's start to the VM's recovery."""
    started: dict[str, float] = {}
    spans = []
    records = fleet.log.read_records(0, 1_000_000, fleet.deadline).unwrap()
    for record in records:
        match record.change:
            case DrainChange(vm=vm):
                started[vm] = record.recorded_at
            case RecoveryChange(vm=vm):
                spans.append(record.recorded_at - started[vm])
    return sum(spans) / len(spans)


def _run_wave(name: str, ticket: Ticket) -> None:
    """Maintain a fleet with all VMs overdue; print time and cost."""
    fleet = Fleet(ticket, daemons=1)
    fleet.vms.reboot_seconds = REBOOT_SECONDS
    fleet.clock.sleep(OVERDUE_SECONDS)
    began_at = fleet.clock.now
    began_writes = fleet.table.write_count
    began_cpu = time.process_time()
    fleet.tick_until(
        lambda view: all(
            status.cleaned_at > began_at for status in view.statuses.values()
        ),
        WAVE_LIMIT_SECONDS,
    )
    seconds = fleet.clock.now - began_at
    cpu = time.process_time() - began_cpu
    writes = fleet.table.write_count - began_writes
    operation = _measure_operations(fleet)
    minimum_operations = max(
        math.ceil(len(state.vms) / state.pool.availability_budget)
        for state in group_pools(fleet.log.view).values()
    )
    print(
        f"{name:28} {len(ticket.vms):5} VMs  wave {seconds:6.0f} s"
        f"  drain to recovery {operation:5.1f} s"
        f"  minimum by budget {minimum_operations * operation:6.0f} s"
        f"  ratio {seconds / (minimum_operations * operation):4.2f}"
        f"  writes/VM {writes / len(ticket.vms):4.2f}"
        f"  writes/s {writes / seconds:5.2f}"
        f"  cpu/round {cpu / seconds * 1000:6.2f} ms"
    )


def run_waves() -> None:
    """Print waves of both deployments and of some design pools."""
    print("waves: every VM overdue, one daemon, rounds of 1 s")
    _run_wave("papagalaki", build_ticket(PAPAGALAKI))
    _run_wave("rosaleda", build_ticket(ROSALEDA))
    vm_count = DESIGN_VMS * WAVE_POOLS // DESIGN_POOLS
    ticket = _build_design_ticket(vm_count, WAVE_POOLS)
    _run_wave(f"{WAVE_POOLS} of {DESIGN_POOLS} design pools", ticket)


def _spread_ages(view: FleetView) -> FleetView:
    """Return the view with ages spread evenly and 1% of the VMs draining.

    The ages end at 0.69 of the maintenance period, just below the 0.7 at
    which maintenance is due under low load.
    """
    statuses = {}
    for index, (name, status) in enumerate(view.statuses.items()):
        age = index / len(view.statuses) * 0.69 * DESIGN_PERIOD_SECONDS
        phase = VmPhase.SERVING if index % 100 else VmPhase.DRAINING
        statuses[name] = VmStatus(
            status.pool, phase, cleaned_at=START_SECONDS - age
        )
    return replace(view, statuses=statuses)


def _measure_call(function: Callable[[], object]) -> float:
    """Return the CPU seconds of one call, the minimum of ROUNDS calls."""
    spans = []
    for _ in range(ROUNDS):
        began = time.process_time()
        function()
        spans.append(time.process_time() - began)
    return min(spans)


def _plan_all(states: Mapping[str, PoolState]) -> None:
    settings = MaintenanceSettings()
    for state in states.values():
        plan_drains(state, START_SECONDS, 0.1, settings)


def _run_quiet_rounds() -> None:
    """Print the cost of a round in a daemon that maintains all pools.

    No maintenance is due.
    """
    ticket = _build_design_ticket(DESIGN_VMS, DESIGN_POOLS)
    fleet = Fleet(ticket, daemons=1)
    fleet.tick()
    list_seconds = _measure_call(lambda: fleet.vms.list_vms(fleet.deadline))
    outage_seconds = _measure_call(
        lambda: fleet.detectors[0].run_once(fleet.deadline)
    )
    drain_seconds = _measure_call(
        lambda: fleet.controllers[0].run_once(fleet.deadline)
    )
    print(
        f"{DESIGN_VMS} VMs, nothing due, without the cost of the fake list:"
        f"  outage detector {(outage_seconds - list_seconds) * 1000:.1f} ms"
        f"  drain controller {(drain_seconds - list_seconds) * 1000:.1f} ms"
    )


def run_rounds() -> None:
    """Print the CPU time of planning all pools once, by fleet size."""
    print("planning rounds: all pools of the fleet in one daemon")
    costs = []
    for size in FLEET_SIZES:
        pools = max(1, round(DESIGN_POOLS * size / DESIGN_VMS))
        ticket = _build_design_ticket(size, pools)
        view = _spread_ages(apply_ticket(FleetView(), ticket))
        grouping = _measure_call(partial(group_pools, view))
        planning = _measure_call(partial(_plan_all, group_pools(view)))
        costs.append(planning)
        print(
            f"{size:6} VMs {pools:3} pools  group {grouping * 1000:7.3f} ms"
            f"  plan {planning * 1000:7.3f} ms"
            f"  per VM {planning / size * 1e6:5.2f} us"
        )
    slope = (costs[-1] - costs[0]) / (FLEET_SIZES[-1] - FLEET_SIZES[0])
    print(f"slope {slope * 1e6:.2f} us per VM and round")
    _run_quiet_rounds()


def _format_result(result: DemandResult) -> str:
    return (
        f"VMs {result.vms:3}  late {result.late_share:7.4%}"
        f"  moves/day {result.moves_per_day:6.0f}"
        f"  idle {result.idle_share:5.1%}"
    )


def _find_minimum_spare(
    usual_vms: int,
    vms_per_service: int,
    peak_seconds: float,
    rule: MoveRule,
    spare_limit: int,
) -> DemandResult | None:
    """Return the result with the smallest sufficient spare pool, if any.

    A spare pool is sufficient if at most LATE_LIMIT of the work is late.
    `usual_vms` and `vms_per_service` are the VMs that each service's pool
    has today and in the model. The spare pool has fewer VMs than
    `spare_limit`.
    """
    for spare in range(1, spare_limit):
        demand = Demand(5, usual_vms, vms_per_service, spare, peak_seconds)
        result = run_demand(
            demand, rule, max(DEMAND_SECONDS, 10 * peak_seconds)
        )
        if result.late_share <= LATE_LIMIT:
            return result
    return None


def _find_minimum_total(
    usual_vms: int, peak_seconds: float, rule: MoveRule
) -> DemandResult:
    """Return the result with the fewest VMs over several pool sizes."""
    best: DemandResult | None = None
    for vms_per_service in (1, 2, 3, 4, usual_vms):
        spare_limit = best.vms - 4 * vms_per_service if best else SPARE_LIMIT
        best = (
            _find_minimum_spare(
                usual_vms, vms_per_service, peak_seconds, rule, spare_limit
            )
            or best
        )
    assert best is not None
    return best


def run_demands() -> None:
    """Print the results of each move rule for both deployments."""
    for deployment in (PAPAGALAKI, ROSALEDA):
        usual_vms = deployment.vms_per_pool
        for peak_seconds in PEAKS_SECONDS:
            print(
                f"demand: {deployment.name}, "
                f"peaks of {peak_seconds:.0f} s in turn"
            )
            for name, rule in RULES.items():
                today = run_demand(
                    Demand(5, usual_vms, usual_vms, usual_vms, peak_seconds),
                    rule,
                    max(DEMAND_SECONDS, 10 * peak_seconds),
                )
                print(f"  {name:15} today's pools   {_format_result(today)}")
                spare = _find_minimum_spare(
                    usual_vms, usual_vms, peak_seconds, rule, SPARE_LIMIT
                )
                assert spare is not None
                print(f"  {name:15} minimum spare   {_format_result(spare)}")
                total = _find_minimum_total(usual_vms, peak_seconds, rule)
                print(f"  {name:15} minimum total   {_format_result(total)}")


def run_design_wave() -> None:
    """Print a wave over a fleet of the design size."""
    _run_wave("design", _build_design_ticket(DESIGN_VMS, DESIGN_POOLS))


PARTS = {
    "wave": run_waves,
    "round": run_rounds,
    "demand": run_demands,
    "design": run_design_wave,
}
DEFAULT_PARTS = ("wave", "round", "demand")


def main(names: list[str] | None = None) -> None:
    """Run the named parts, or DEFAULT_PARTS."""
    for name in names or DEFAULT_PARTS:
        PARTS[name]()


if __name__ == "__main__":
    main(sys.argv[1:])
