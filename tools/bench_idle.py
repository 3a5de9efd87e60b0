"""Measures the control plane cost of complete daemons without caller traffic.

Starts daemons as processes on loopback with the stand-in platform, files the
ticket of a deployment, and reads CPU time, memory, and the message body bytes
that each daemon counts. HTTP and HTTP/2 headers are not included.
"""

import re
import sys
import time
from dataclasses import dataclass, replace
from pathlib import Path

import urllib3

from chestnutstair.standins.cluster import LocalCluster, wait_until
from chestnutstair.state.codec import encode_value
from tools.deployments import (
    ENTRY_VM_COUNT,
    PAPAGALAKI,
    ROSALEDA,
    Deployment,
    build_ticket,
)

__all__ = ["main"]

SETTLE_SECONDS = 20.0
MEASURE_SECONDS = 40.0
TICKS_PER_SECOND = 100  # unit of the CPU times in /proc/PID/stat
BYTES_PATTERN = re.compile(
    r"^chestnutstair_(?:platform|peer)_bytes_total\S* (\S+)$", re.MULTILINE
)
CALLS_PATTERN = re.compile(
    r"^chestnutstair_platform_calls_total\S* (\S+)$", re.MULTILINE
)


@dataclass(frozen=True)
class Sample:
    """Resources that one daemon has used since its start."""

    processor_seconds: float
    memory_mb: float  # resident set now
    body_bytes: float  # to and from the platform and peers
    calls: float  # to the platform


def _read_sample(cluster: LocalCluster, name: str) -> Sample:
    pid = cluster.get_pid(name)
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    memory = re.search(r"VmRSS:\s+(\d+)", status)
    assert memory is not None
    url = f"http://{cluster.daemons[name].admin}/metrics"
    text = urllib3.request("GET", url).data.decode()
    return Sample(
        (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND,
        int(memory.group(1)) / 1024,
        sum(map(float, BYTES_PATTERN.findall(text))),
        sum(map(float, CALLS_PATTERN.findall(text))),
    )


def _start(cluster: LocalCluster, deployment: Deployment, count: int) -> None:
    cluster.start_platform({})
    zones = deployment.list_zones()
    # No VM processes run. All VMs are registered like workers, without an
    # address, so that the platform lists them as live. Nothing calls runners.
    ticket = build_ticket(deployment)
    for vm in ticket.vms:
        cluster.register_vm(vm.name, vm.zone)
    for index in range(count):
        cluster.start_daemon(
            f"entry-{index}",
            zones[index % len(zones)],
            {"log": {"level": "warning"}},
        )
    for name in cluster.daemons:
        cluster.wait_ready(name)
    value = encode_value(replace(ticket, jobs=()))
    cluster.call_admin("entry-0", "POST", "/tickets", value)

    def is_in_force() -> bool:
        report = cluster.call_admin("entry-0", "GET", "/tickets/1")[1]
        return bool(report.get("in_force"))

    wait_until("ticket 1 in force", is_in_force)


def _measure(deployment: Deployment, count: int) -> None:
    with LocalCluster() as cluster:
        _start(cluster, deployment, count)
        time.sleep(SETTLE_SECONDS)
        before = {n: _read_sample(cluster, n) for n in cluster.daemons}
        time.sleep(MEASURE_SECONDS)
        after = {n: _read_sample(cluster, n) for n in cluster.daemons}
    rows = [
        (
            (after[n].processor_seconds - before[n].processor_seconds)
            / MEASURE_SECONDS,
            after[n].memory_mb,
            (after[n].body_bytes - before[n].body_bytes) / MEASURE_SECONDS,
            (after[n].calls - before[n].calls) / MEASURE_SECONDS,
        )
        for n in before
    ]
    mean = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
    highest = [max(column) for column in zip(*rows, strict=True)]
    print(f"{deployment.name}, {count} daemons: mean (maximum) per daemon")
    print(f"  processor share  {mean[0]:.2%} ({highest[0]:.2%})")
    print(f"  memory           {mean[1]:.0f} MB ({highest[1]:.0f} MB)")
    print(f"  bodies           {mean[2]:.0f} B/s ({highest[2]:.0f} B/s)")
    print(f"  platform calls   {mean[3]:.2f} /s ({highest[3]:.2f} /s)")


def main() -> int:
    """Measure both deployments with each number of daemons.

    The numbers are command-line arguments; without any, it is the number of
    entry VMs that the deployments have today.
    """
    counts = [int(text) for text in sys.argv[1:]] or [ENTRY_VM_COUNT]
    for count in counts:
        for deployment in (PAPAGALAKI, ROSALEDA):
            _measure(deployment, count)
    return 0


if __name__ == "__main__":
    sys.exit(main())
