"""Measures the decisions of the request path; prints tables only."""

import sys
from collections.abc import Callable

from tools.slot_model import (
    BackoffSlotPolicy,
    HybridSlotPolicy,
    LeastLoadedSlotPolicy,
    RandomPairSlotPolicy,
    ShareSlotPolicy,
    SlotModel,
    SlotPolicy,
    SlotScene,
)

__all__ = ["main"]

SLOT_POLICIES: dict[str, Callable[[], SlotPolicy]] = {
    "shares, lent": ShareSlotPolicy,
    "random pair": RandomPairSlotPolicy,
    "least loaded": LeastLoadedSlotPolicy,
    "own zone first": HybridSlotPolicy,
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
FLEETS = {"papagalaki": (8, 4), "rosaleda": (6, 3)}  # targets, zones


def measure_slots() -> None:
    """Compare the ways of sharing slots."""
    print("fleet daemons case | policy: used, queue ms mean/p99,")
    print("refusals a request, peak running on a target, messages a request")
    for fleet, (targets, zones) in FLEETS.items():
        for daemons in (7, 28):
            for case, fields in SLOT_CASES.items():
                print(f"{fleet} {daemons} {case}")
                scene = SlotScene(daemons, targets, zones, **fields)
                for name, build in SLOT_POLICIES.items():
                    found = SlotModel(scene, build()).run()
                    print(
                        f"  {name:15} {found.used:5.3f}"
                        f" {found.queue_mean * 1000:7.1f}"
                        f" {found.queue_p99 * 1000:8.1f}"
                        f" {found.refusals:6.3f}"
                        f" {found.peak_running:3d}"
                        f" {found.messages:6.3f}"
                    )


MEASUREMENTS = {"slots": measure_slots}


def main() -> None:
    """Run the measurements named as arguments, or all of them."""
    for name in sys.argv[1:] or MEASUREMENTS:
        print(f"== {name}", flush=True)
        MEASUREMENTS[name]()


if __name__ == "__main__":
    main()
