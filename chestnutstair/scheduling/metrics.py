"""Prometheus metrics of the scheduler."""

from prometheus_client import Counter, Gauge, Histogram

__all__ = [
    "ENDS",
    "FIRST_STARTS",
    "LEADING",
    "PLANNING",
    "STARTS",
    "STORE_WRITES",
    "SUBMISSIONS",
    "SUBMISSION_SECONDS",
    "VM_ORDERS",
]

# Buckets cover a fast store and one that is a hundred times slower.
SECONDS = (0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

SUBMISSIONS = Counter(
    "chestnutstair_submissions", "Jobs submitted.", ["outcome"]
)
SUBMISSION_SECONDS = Histogram(
    "chestnutstair_submission_seconds",
    "Time from a submission to its answer.",
    buckets=SECONDS,
)
FIRST_STARTS = Histogram(
    "chestnutstair_first_start_seconds",
    "Time from a job's acceptance to its first start.",
    buckets=SECONDS,
)
STARTS = Counter(
    "chestnutstair_starts", "Start orders sent to workers.", ["outcome"]
)
ENDS = Counter(
    "chestnutstair_ends", "Ends of runs reported by workers.", ["how"]
)
STORE_WRITES = Histogram(
    "chestnutstair_term_write_seconds",
    "Duration of the leader's writes to the store, with retries.",
    buckets=SECONDS,
)
PLANNING = Histogram(
    "chestnutstair_planning_seconds",
    "Duration of a planning round, without its write.",
    buckets=(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1),
)
VM_ORDERS = Counter(
    "chestnutstair_vm_orders", "Orders to move or maintain VMs.", ["kind"]
)
LEADING = Gauge(
    "chestnutstair_leading", "1 while this node is the leader, else 0."
)
