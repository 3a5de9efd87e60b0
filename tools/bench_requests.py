"""Measures the request path: slots, routing, claims, floods and retries.

Prints tables and writes no files.
"""

import itertools
import statistics
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from result import Err

from chestnutstair.coordination.admission import Admission, AdmissionSettings
from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.claims import (
    ClaimSettings,
    ClaimStore,
    build_claim_key,
)
from chestnutstair.coordination.forwarder import ForwarderSettings
from chestnutstair.coordination.grant import AdmittedRequest
from chestnutstair.coordination.pressure import PressureSettings
from chestnutstair.coordination.request import Request
from chestnutstair.coordination.retry import RetrySettings
from chestnutstair.coordination.target import LostAnswerFailure
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.state.fleet import Vm
from chestnutstair.tests.requests_support import (
    FakeTargetClient,
    FixedMembership,
    RecordingMessenger,
    build_forwarder,
    build_request,
    build_runner_log,
)
from chestnutstair.tests.support import ManualClock
from tools.flood_load import (
    SERVICES,
    URGENCY_SHARES,
    Flood,
    FloodReport,
    run_flood,
)
from tools.request_load import (
    CallReport,
    run_callers,
    serve_daemon,
    serve_naive,
    serve_targets,
    start_process,
)
from tools.slot_model import SlotModel, SlotPolicy, SlotScenario
from tools.slot_policy import (
    BackoffSlotPolicy,
    LeastLoadedSlotPolicy,
    ShareSlotPolicy,
    TwoChoicesSlotPolicy,
    ZoneFirstSlotPolicy,
)

__all__ = ["main"]

SLOT_POLICIES: dict[str, Callable[[], SlotPolicy]] = {
    "shares, lent": ShareSlotPolicy,
    "random pair": TwoChoicesSlotPolicy,
    "least loaded": LeastLoadedSlotPolicy,
    "own zone first": ZoneFirstSlotPolicy,
    "one at a time": BackoffSlotPolicy,
}
SLOT_CASES: dict[str, dict] = {
    "load 0.8": {"load": 0.8},
    "load 0.8, half to one daemon": {"load": 0.8, "skew": 0.5},
    "load 1.3": {"load": 1.3},
    "load 1.3, daemon dies": {"load": 1.3, "death": True},
    "load 0.9, daemon dies": {"load": 0.9, "death": True},
    "load 1.3, zone cut off": {"load": 1.3, "cut": True},
}
MICROSECONDS_PER_SECOND = 1_000_000
DECISION_COUNT = 5000
ATTEMPT_SECONDS = 0.1
COMMIT_SECONDS = 0.005
CLAIM_RUN_SECONDS = 3.0
WARMUP_SECONDS = 0.5
CALL_RUN_SECONDS = 2.0
ROUND_COUNT = 3
FLEETS = {"papagalaki": (8, 4), "rosaleda": (6, 3)}  # targets, zones


def measure_slots() -> None:
    """Compare policies by which daemons share the slots of targets."""
    print("fleet daemons case | policy: used, queue ms mean/p99,")
    print(
        "refusals per request, peak running on a target, messages per request"
    )
    for fleet, (targets, zones) in FLEETS.items():
        for daemons in (7, 28):
            for case, fields in SLOT_CASES.items():
                print(f"{fleet} {daemons} {case}")
                scenario = SlotScenario(daemons, targets, zones, **fields)
                for name, build in SLOT_POLICIES.items():
                    report = SlotModel(scenario, build()).run()
                    print(
                        f"  {name:15} {report.utilisation:5.3f}"
                        f" {report.mean_queue_seconds * 1000:7.1f}"
                        f" {report.p99_queue_seconds * 1000:8.1f}"
                        f" {report.refusals:6.3f}"
                        f" {report.peak_running:3d}"
                        f" {report.messages:6.3f}"
                    )


def measure_throughput() -> None:
    """Compare the full request path with a daemon that only forwards."""
    print("callers | median requests per second: naive, full path |")
    print("ratio of the medians | ratio in each round, both run in turn")
    with start_process(serve_targets, 8) as addresses:
        for callers in (1, 8, 64):
            rounds = [
                _call_both(addresses, callers) for _ in range(ROUND_COUNT)
            ]
            naive = statistics.median(pair[0].rate for pair in rounds)
            full = statistics.median(pair[1].rate for pair in rounds)
            ratios = sorted(pair[1].rate / pair[0].rate for pair in rounds)
            print(f"{callers:3d} {naive:6.0f} {full:6.0f}", end="")
            print(f" {full / naive:5.2f} |", end="")
            print(*(f" {ratio:4.2f}" for ratio in ratios), flush=True)


def _call_both(
    addresses: list[str], callers: int
) -> tuple[CallReport, CallReport]:
    reports = []
    for serve in (serve_naive, serve_daemon):
        with start_process(serve, addresses) as port:
            reports.append(_call_daemon(port, callers))
    return reports[0], reports[1]


def _call_daemon(port: int, callers: int) -> CallReport:
    with start_process(run_callers, port, callers, WARMUP_SECONDS):
        pass
    with start_process(run_callers, port, callers, CALL_RUN_SECONDS) as report:
        return report


def measure_routing() -> None:
    """Time routing decisions and applying a new view, by pool size."""
    print("targets | microseconds per decision | microseconds per new view")
    for count in (40, 400, 4000):
        addresses = [f"127.0.0.1:{port}" for port in range(1, count + 1)]
        clock = SystemClock()
        log = build_runner_log(clock, addresses, zones=4)
        admission = Admission(
            log,
            clock,
            FixedMembership(),
            RecordingMessenger(),
            AdmissionSettings(),
        )
        request = build_request(clock, 3600.0)
        entry = admission.admit(request).unwrap()
        held_grants = [admission.acquire(entry).unwrap() for _ in range(20)]
        decision_time = min(
            _time_decisions(admission, entry) for _ in range(5)
        )
        rebuild_time = min(
            _time_rebuild(admission, log, request) for _ in range(5)
        )
        print(
            f"{count:5d} {decision_time:8.2f} {rebuild_time:10.0f}", flush=True
        )
        for grant in held_grants:
            admission.release(grant, entry)


def _time_decisions(admission: Admission, entry: AdmittedRequest) -> float:
    started = time.perf_counter()
    for _ in range(DECISION_COUNT):
        grant = admission.acquire(entry).unwrap()
        admission.release(grant, entry)
    return (
        (time.perf_counter() - started)
        / DECISION_COUNT
        * MICROSECONDS_PER_SECOND
    )


def _time_rebuild(
    admission: Admission, log: ChangeLog, request: Request
) -> float:
    log.install_view(replace(log.view, revision=log.view.revision + 1))
    started = time.perf_counter()
    entry = admission.admit(request).unwrap()
    admission.finish(entry)
    return (time.perf_counter() - started) * MICROSECONDS_PER_SECOND


class _SlowTable(MemoryTable):
    """A table whose commits take COMMIT_SECONDS longer."""

    def commit(self, *arguments: Any) -> Any:
        """Sleep, then commit."""
        time.sleep(COMMIT_SECONDS)
        return super().commit(*arguments)


def measure_claims() -> None:
    """Compare grouped claims with one transaction per claim."""
    print("threads | mode | claims per second | ms p50/p99 | claims per write")
    variants = {
        "grouped": ClaimSettings(),
        "single": ClaimSettings(group_size=1),
    }
    for threads in (1, 16, 64):
        for name, settings in variants.items():
            _measure_claims(threads, name, settings)


def _measure_claims(threads: int, name: str, settings: ClaimSettings) -> None:
    clock = SystemClock()
    table = _SlowTable()
    store = ClaimStore(table, clock, FixedMembership(), settings)
    store.start()
    latencies: list[float] = []
    end = time.monotonic() + CLAIM_RUN_SECONDS

    def claim(number: int) -> None:
        for index in itertools.count():
            if time.monotonic() >= end:
                return
            started = time.monotonic()
            key = build_claim_key("quotes", f"{number}-{index}")
            if store.claim(key, Deadline.after(clock, 5.0)).is_ok():
                latencies.append(time.monotonic() - started)

    workers = [
        threading.Thread(target=claim, args=(number,))
        for number in range(threads)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    store.stop()
    latencies.sort()
    median = latencies[len(latencies) // 2] * 1000
    p99 = latencies[int(len(latencies) * 0.99)] * 1000
    print(
        f"{threads:3d} {name:8} {len(latencies) / CLAIM_RUN_SECONDS:7.0f}"
        f" {median:7.1f} {p99:7.1f} {len(latencies) / table.write_count:6.1f}",
        flush=True,
    )


def measure_floods() -> None:
    """Compare the completions in floods with and without protection."""
    print("fleet flood protection | completed share: worst other service |")
    print(
        "by class of the flooded service | refused, peak running on a target"
    )
    protected = AdmissionSettings()
    unprotected = replace(
        protected, pool_share=1.0, pressure=PressureSettings(clamp_seconds=0.0)
    )
    for fleet, (targets, zones) in FLEETS.items():
        for name, settings in (("on", protected), ("off", unprotected)):
            baseline = run_flood(Flood(targets, zones, ""), settings)
            for urgency in ("patient", "urgent"):
                report = run_flood(Flood(targets, zones, urgency), settings)
                _print_flood(f"{fleet} {urgency} {name}", baseline, report)


def _print_flood(
    name: str, baseline: FloodReport, report: FloodReport
) -> None:
    others = [service for service in SERVICES if service != SERVICES[0]]
    kept = min(
        _measure_kept_share(
            baseline, report, service, [c for c, _ in URGENCY_SHARES]
        )
        for service in others
    )
    classes = " ".join(
        f"{urgency} "
        f"{_measure_kept_share(baseline, report, SERVICES[0], [urgency]):.2f}"
        for urgency, _ in URGENCY_SHARES
    )
    print(
        f"{name:24} {kept:5.3f} | {classes} |"
        f" {report.refused:5d} {report.peak_running}",
        flush=True,
    )


def _measure_kept_share(
    baseline: FloodReport,
    report: FloodReport,
    service: str,
    classes: list[str],
) -> float:
    """Return completions as a share of those without a flood."""
    keys = [(service, urgency) for urgency in classes]
    before = sum(baseline.completed[key] for key in keys)
    return sum(report.completed[key] for key in keys) / max(1, before)


def measure_retries() -> None:
    """Count the attempts per request while all targets of a pool fail."""
    print("retries | attempts per request, of 500 idempotent requests")
    settings = ForwarderSettings()
    unlimited = RetrySettings(share=1.0, burst=1e9)
    unbounded = replace(
        settings, admission=replace(settings.admission, retry=unlimited)
    )
    for name, chosen in (("budget", settings), ("none", unbounded)):
        clock = ManualClock()

        def fail(vm: Vm, request: Request, clock: Any = clock) -> Any:
            clock.now += ATTEMPT_SECONDS
            return Err(LostAnswerFailure(vm.name, "reset"))

        client = FakeTargetClient(fail)
        log = build_runner_log(clock, ["127.0.0.1:1", "127.0.0.1:2"])
        forwarder, _ = build_forwarder(log, client, clock, settings=chosen)
        for _ in range(500):
            forwarder.forward(build_request(clock, 1.0, idempotent=True))
        print(f"{name:8} {len(client.sent) / 500:6.2f}", flush=True)


MEASUREMENTS = {
    "retries": measure_retries,
    "floods": measure_floods,
    "slots": measure_slots,
    "routing": measure_routing,
    "claims": measure_claims,
    "throughput": measure_throughput,
}


def main() -> None:
    """Run the measurements named on the command line, or all of them."""
    for name in sys.argv[1:] or MEASUREMENTS:
        print(f"== {name}", flush=True)
        MEASUREMENTS[name]()


if __name__ == "__main__":
    main()
