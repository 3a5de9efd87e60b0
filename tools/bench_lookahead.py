"""Measures what reservations add to a planning round."""

import gc
import time

from chestnutstair.scheduling.advice import AdviceCache
from chestnutstair.scheduling.lookahead import ReservationSettings
from chestnutstair.scheduling.placement import PlacementSettings, Planner
from chestnutstair.scheduling.specification import Step
from chestnutstair.tests.scheduling_support import TrackerHarness

__all__ = ["main"]

ROUNDS = 9
# Workers, and jobs of ten tasks that wait.
SIZES = ((100, 100), (300, 300), (1_000, 1_000))


def measure_round(workers: int, jobs: int, lookahead: bool) -> float:
    """Return the least processor time of a round in a full pool, in ms."""
    harness = TrackerHarness(tuple(f"w{number}" for number in range(workers)))
    settings = PlacementSettings(
        lookahead=ReservationSettings() if lookahead else None
    )
    harness.planner = Planner(
        harness.tracker,
        harness.clock,
        settings,
        AdviceCache(harness.policy, harness.clock),
    )
    harness.admit("full", [Step(workers, 60_000, 1024, estimate_ms=60_000)])
    harness.start_all(harness.plan())
    for number in range(jobs):
        millicores = 8_000 + 1_000 * (number % 40)
        step = Step(10, millicores, 1024, estimate_ms=1_000)
        harness.admit(f"{number:016x}", [step])
    least = float("inf")
    gc.disable()
    for _ in range(ROUNDS):
        harness.clock.now += 0.02
        began = time.process_time()
        harness.plan()
        least = min(least, time.process_time() - began)
    gc.enable()
    return least * 1000


def main() -> None:
    """Print a line for each size of a pool."""
    print("workers  jobs  off ms   on ms  ratio")
    for workers, jobs in SIZES:
        off = measure_round(workers, jobs, False)
        on = measure_round(workers, jobs, True)
        print(f"{workers:7} {jobs:5} {off:7.2f} {on:7.2f} {on / off:6.2f}")


if __name__ == "__main__":
    main()
