"""Measures how fast tickets roll out, and the cost of the control plane.

Starts daemons as processes on loopback, with the stand-in platform. Times are
differences of monotonic clock readings from several processes, which share
one clock because they run on the same Linux machine.
"""

import argparse
import multiprocessing
import random
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from chestnutstair.standins.cluster import LocalCluster, wait_until
from chestnutstair.state.fleet import Vm
from chestnutstair.state.ticket import Ticket
from tools.configuration_node import (
    NodeSettings,
    ReplicationMode,
    Usage,
    run_node,
)
from tools.deployments import PAPAGALAKI, build_ticket

__all__ = ["main"]

SETTLE_SECONDS = 50.0  # for handing over duties and closing streams
IDLE_RUN_SECONDS = 20.0
APPLY_TIMEOUT_SECONDS = 60.0
ZONES = PAPAGALAKI.list_zones()


@dataclass(frozen=True)
class Case:
    """Parameters of one benchmark run."""

    mode: ReplicationMode = ReplicationMode.PUSH
    daemons: int = 7
    loss_share: float = 0.0  # share of the peer messages dropped, 0 to 1
    vms: int = 0  # in addition to those of the deployment
    tickets: int = 0  # filed while measuring, after ticket 1
    gap_seconds: float = 0.5  # between tickets; in rollouts, the mean


class NodeGroup:
    """The node processes of one run."""

    def __init__(self, case: Case, cluster: LocalCluster) -> None:
        self.case = case
        self.cluster = cluster
        self.pipes: list[Any] = []
        self.zones = [ZONES[i % len(ZONES)] for i in range(case.daemons)]
        self.ticket_number = 0
        context = multiprocessing.get_context("spawn")
        seeds: tuple[str, ...] = ()
        for index in range(case.daemons):
            ours, theirs = context.Pipe()
            settings = NodeSettings(
                f"entry-{index:02d}",
                self.zones[index],
                cluster.platform_address,
                seeds,
                case.mode,
                case.loss_share,
                index,
            )
            context.Process(
                target=run_node, args=(settings, theirs), daemon=True
            ).start()
            self.pipes.append(ours)
            address = ours.recv()
            if index < 2:
                seeds = (*seeds, address)

    def ask_all(self, *command: Any) -> list[Any]:
        """Send a command to every node; return the answers in node order."""
        for pipe in self.pipes:
            pipe.send(command)
        return [pipe.recv() for pipe in self.pipes]

    def file(self, index: int, ticket: Ticket) -> tuple[int, float]:
        """File a ticket at one node; return its revision and apply time."""
        self.pipes[index].send(("file", ticket))
        answer: tuple[int, float] = self.pipes[index].recv()
        return answer

    def file_next(self, index: int) -> tuple[int, float]:
        """File the next ticket at one node; return what `file` returns.

        Ticket 1 declares the deployment and the additional VMs; each later
        ticket changes the availability budget of one pool.
        """
        self.ticket_number += 1
        first = build_ticket(PAPAGALAKI)
        if self.ticket_number == 1:
            return self.file(index, add_vms(first, self.case.vms))
        pool = first.pools[self.ticket_number % len(first.pools)]
        pool = replace(pool, availability_budget=1 + self.ticket_number % 3)
        ticket = Ticket(self.ticket_number, "bench", "a budget", pools=(pool,))
        return self.file(index, ticket)

    def wait_for_revision(
        self, revision: int, indexes: Sequence[int] = ()
    ) -> None:
        """Block until the given nodes, or all, have applied the revision."""
        chosen = indexes or range(len(self.pipes))

        def reached() -> bool:
            revisions = self.ask_all("revision")
            return all(revisions[index] >= revision for index in chosen)

        wait_until(f"revision {revision}", reached, APPLY_TIMEOUT_SECONDS)

    def stop(self) -> None:
        """Tell all processes to exit."""
        for pipe in self.pipes:
            pipe.send(("stop",))


def add_vms(ticket: Ticket, count: int) -> Ticket:
    """Return the ticket with `count` additional VMs."""
    sample = ticket.vms[0]
    additional = tuple(build_vm(sample, index) for index in range(count))
    return replace(ticket, vms=(*ticket.vms, *additional))


def build_vm(sample: Vm, index: int) -> Vm:
    """Return an additional VM in the pool of the sample."""
    address = f"10.{100 + index // 62500}.{index // 250 % 250}.{index % 250}:1"
    return replace(sample, name=f"more-{index}", address=address)


def start_nodes(case: Case, cluster: LocalCluster) -> NodeGroup:
    """Start the daemons, file ticket 1 and wait until all have settled."""
    cluster.start_platform({})
    nodes = NodeGroup(case, cluster)
    wait_until(
        "all daemons live",
        lambda: set(nodes.ask_all("live")) == {case.daemons},
        APPLY_TIMEOUT_SECONDS,
    )
    nodes.wait_for_revision(nodes.file_next(0)[0])
    time.sleep(SETTLE_SECONDS)
    return nodes


def find_quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile of the values at the share, from 0 to 1.

    It is the smallest value with more than the share of the values at or
    below it.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def format_times(values: Sequence[float]) -> str:
    """Return p50, p99 and maximum of times in seconds as columns."""
    p50, p99 = (find_quantile(values, share) for share in (0.5, 0.99))
    return f"{p50:7.3f} {p99:7.3f} {max(values):7.3f}"


def format_usage(before: list[Usage], after: list[Usage]) -> str:
    """Return the usage as columns.

    CPU and traffic are mean and maximum per node and second, reads and
    writes are sums per second, memory is the maximum.
    """
    pairs = list(zip(before, after, strict=True))
    spans = [b.measured_at - a.measured_at for a, b in pairs]
    rows: dict[str, list[float]] = {
        "cpu": [b.cpu_seconds - a.cpu_seconds for a, b in pairs],
        "out": [b.sent_bytes - a.sent_bytes for a, b in pairs],
        "in": [b.received_bytes - a.received_bytes for a, b in pairs],
        "reads": [b.table_reads - a.table_reads for a, b in pairs],
        "writes": [b.table_writes - a.table_writes for a, b in pairs],
    }
    rates = {
        name: [value / spans[index] for index, value in enumerate(values)]
        for name, values in rows.items()
    }
    mean = {name: statistics.mean(values) for name, values in rates.items()}
    memory = max(item.memory_mb for item in after)
    return (
        f"{mean['cpu'] * 100:6.2f} {max(rates['cpu']) * 100:6.2f} "
        f"{mean['out']:7.0f} {max(rates['out']):7.0f} "
        f"{mean['in']:7.0f} {max(rates['in']):7.0f} "
        f"{sum(rates['reads']):6.1f} {sum(rates['writes']):6.1f} "
        f"{memory:6.0f}"
    )


USAGE_HEADER = (
    " cpu%   max%   out/s     max    in/s     max  reads writes     MB"
)


def run_rollout(case: Case) -> None:
    """Print the time from accepting a ticket to applying it on each node."""
    rng = random.Random(1)
    with LocalCluster() as cluster:
        nodes = start_nodes(case, cluster)
        accepted = []
        before = nodes.ask_all("measure")
        for _ in range(case.tickets):
            time.sleep(rng.expovariate(1 / case.gap_seconds))
            accepted.append(nodes.file_next(rng.randrange(case.daemons)))
        nodes.wait_for_revision(accepted[-1][0])
        after = nodes.ask_all("measure")
        applied_at = nodes.ask_all("folds")
        nodes.stop()
    node_delays = [
        item[rev] - at for rev, at in accepted for item in applied_at
    ]
    slowest_delays = [
        max(item[rev] for item in applied_at) - at for rev, at in accepted
    ]
    print(
        f"{case.mode:5} {case.daemons:3} {case.loss_share:4.1f} "
        f"{format_times(node_delays)} {format_times(slowest_delays)} "
        f"{format_usage(before, after)}",
        flush=True,
    )


def run_idle(case: Case) -> None:
    """Print the usage of a node with no tickets or a few."""
    rng = random.Random(1)
    with LocalCluster() as cluster:
        nodes = start_nodes(case, cluster)
        before = nodes.ask_all("measure")
        end = time.monotonic() + IDLE_RUN_SECONDS
        for _ in range(case.tickets):
            time.sleep(case.gap_seconds)
            nodes.file_next(rng.randrange(case.daemons))
        time.sleep(max(0.0, end - time.monotonic()))
        after = nodes.ask_all("measure")
        nodes.stop()
    print(
        f"{case.daemons:7} {case.vms:6} {case.tickets:7} "
        f"{format_usage(before, after)}",
        flush=True,
    )


def run_partition(case: Case, with_platform: bool) -> None:
    """Print rollout times while one zone is partitioned and afterwards."""
    with LocalCluster() as cluster:
        nodes = start_nodes(case, cluster)
        inside_nodes = [i for i, z in enumerate(nodes.zones) if z == ZONES[1]]
        outside_nodes = [
            i for i in range(case.daemons) if i not in inside_nodes
        ]
        names = [f"entry-{index:02d}" for index in range(case.daemons)]
        for index, pipe in enumerate(nodes.pipes):
            blocked = outside_nodes if index in inside_nodes else inside_nodes
            pipe.send(("cut", [names[other] for other in blocked]))
            pipe.recv()
        zones = [ZONES[1]] if with_platform else []
        cluster.call_platform("POST", "/faults", {"cut_zones": zones})
        accepted = []
        for _ in range(case.tickets):
            time.sleep(case.gap_seconds)
            accepted.append(nodes.file_next(outside_nodes[0]))
        nodes.wait_for_revision(accepted[-1][0], outside_nodes)
        healed_at = time.monotonic()
        cluster.call_platform("POST", "/faults", {"cut_zones": []})
        nodes.ask_all("cut", [])
        nodes.wait_for_revision(accepted[-1][0])
        applied_at = nodes.ask_all("folds")
        nodes.stop()
    outside_delays = [
        applied_at[i][rev] - at for rev, at in accepted for i in outside_nodes
    ]
    inside_delays = [
        applied_at[i][rev] - at for rev, at in accepted for i in inside_nodes
    ]
    last = accepted[-1][0]
    recovery_seconds = (
        max(applied_at[i][last] for i in inside_nodes) - healed_at
    )
    partition = "and platform" if with_platform else "peers only"
    print(
        f"{case.daemons:3} {partition:12}"
        f" {format_times(outside_delays)} {format_times(inside_delays)}"
        f" {recovery_seconds:7.3f}",
        flush=True,
    )


def print_rollouts(sizes: Sequence[int], tickets: int) -> None:
    """Run every replication mode at every size, with and without loss."""
    print("seconds until applied: p50 p99 max per daemon, then on all")
    print(f"mode  n   loss {' ' * 48}{USAGE_HEADER}")
    for size in sizes:
        for loss_share in (0.0, 0.2):
            for mode in ReplicationMode:
                run_rollout(Case(mode, size, loss_share, tickets=tickets))


def print_idle_usage(sizes: Sequence[int]) -> None:
    """Print the usage of idle daemons by daemon, VM and ticket count."""
    print(f"daemons    VMs tickets{USAGE_HEADER}")
    for size in sizes:
        run_idle(Case(daemons=size))
    run_idle(Case(daemons=7, vms=2000))
    run_idle(Case(daemons=7, vms=9900))
    run_idle(Case(daemons=7, tickets=10, gap_seconds=1.9))
    run_idle(Case(daemons=7, tickets=38, gap_seconds=0.5))


def main() -> None:
    """Run the part of the benchmark that is named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=["rollout", "idle", "cut"])
    parser.add_argument("--sizes", type=int, nargs="+", default=[7, 28])
    parser.add_argument("--tickets", type=int, default=60)
    arguments = parser.parse_args()
    match arguments.part:
        case "rollout":
            print_rollouts(arguments.sizes, arguments.tickets)
        case "idle":
            print_idle_usage(arguments.sizes)
        case "cut":
            for size in arguments.sizes:
                for with_platform in (False, True):
                    run_partition(
                        Case(daemons=size, tickets=10), with_platform
                    )


if __name__ == "__main__":
    main()
