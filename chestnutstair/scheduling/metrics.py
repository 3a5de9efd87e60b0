"""Prometheus metrics of the scheduler."""

from prometheus_client import Counter, Gauge, Histogram

__all__ = [
    "CANCELLATIONS_REMOVED",
    "FIRST_START_SECONDS",
    "INTAKE_BATCH_ROWS",
    "INTAKE_CIRCUIT_OPEN",
    "INTAKE_QUEUED",
    "INTAKE_RETRIES",
    "INTAKE_WRITES",
    "INTAKE_WRITE_LIMIT",
    "INTAKE_WRITE_SECONDS",
    "JOBS_GIVEN_UP",
    "KEY_REFUSALS",
    "LEADING",
    "MALFORMED_ENTRIES",
    "MAX_ORGANISATION_LABELS",
    "ORGANISATION_CAP",
    "ORGANISATION_JOBS_WAITING",
    "ORGANISATION_RUNNING",
    "OTHER_ORGANISATIONS",
    "PLANNING_SECONDS",
    "RESERVATIONS",
    "RESERVED_WORKERS",
    "RUNS_LOST",
    "RUN_ENDS",
    "STARTS_HELD_BACK",
    "START_ORDERS",
    "SUBMISSIONS",
    "SUBMISSION_SECONDS",
    "TERM_WRITE_SECONDS",
    "TURN_PREDICTIONS",
    "UNKNOWN_CANCELLATIONS",
    "VMS_HANDED_OVER",
    "VMS_HELD",
    "VM_ORDERS",
    "WORKER_CRASHES",
    "label_organisation",
]

# Labels for organisations, one of which is for all others.
MAX_ORGANISATION_LABELS = 50
OTHER_ORGANISATIONS = "other"

# Buckets cover a fast store and one that is a hundred times slower.
SECONDS_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

SUBMISSIONS = Counter(
    "chestnutstair_submissions", "Jobs submitted.", ["outcome"]
)
SUBMISSION_SECONDS = Histogram(
    "chestnutstair_submission_seconds",
    "Time from a submission to its answer.",
    buckets=SECONDS_BUCKETS,
)
INTAKE_WRITES = Counter(
    "chestnutstair_intake_writes",
    "Writes of submissions and cancellations.",
    ["answer"],
)
INTAKE_WRITE_SECONDS = Histogram(
    "chestnutstair_intake_write_seconds",
    "Duration of these writes.",
    buckets=SECONDS_BUCKETS,
)
INTAKE_BATCH_ROWS = Histogram(
    "chestnutstair_intake_batch_rows",
    "Rows of these writes.",
    buckets=(1, 2, 5, 10, 20, 50, 90),
)
INTAKE_RETRIES = Counter(
    "chestnutstair_intake_retries",
    "Second attempts, relays to the leader's node and relays not made.",
    ["kind"],
)
UNKNOWN_CANCELLATIONS = Counter(
    "chestnutstair_unknown_cancellations",
    "Cancellations of unknown jobs.",
    ["outcome"],
)
CANCELLATIONS_REMOVED = Counter(
    "chestnutstair_cancellations_removed",
    "Cancellations removed whose jobs were not stored.",
)
INTAKE_WRITE_LIMIT = Gauge(
    "chestnutstair_intake_write_limit",
    "How many of these writes may be in flight.",
)
INTAKE_QUEUED = Gauge(
    "chestnutstair_intake_queued", "Rows that wait to be written."
)
INTAKE_CIRCUIT_OPEN = Gauge(
    "chestnutstair_intake_circuit_open",
    "1 while only probes are sent, because the store gave no response.",
)
FIRST_START_SECONDS = Histogram(
    "chestnutstair_first_start_seconds",
    "Time from a job's acceptance to its first start.",
    buckets=SECONDS_BUCKETS,
)
KEY_REFUSALS = Counter(
    "chestnutstair_key_refusals",
    "Requests refused because of their key.",
    ["reason"],
)
START_ORDERS = Counter(
    "chestnutstair_starts", "Start orders sent to workers.", ["outcome"]
)
RUN_ENDS = Counter(
    "chestnutstair_ends", "Ends of runs reported by workers.", ["how"]
)
RUNS_LOST = Counter(
    "chestnutstair_runs_lost",
    "Runs given up together with their worker.",
    ["reason"],
)
WORKER_CRASHES = Counter(
    "chestnutstair_worker_crashes", "Crashes of workers that had runs."
)
JOBS_GIVEN_UP = Counter(
    "chestnutstair_jobs_given_up",
    "Jobs failed because a task crashed its workers.",
)
TERM_WRITE_SECONDS = Histogram(
    "chestnutstair_term_write_seconds",
    "Duration of the leader's writes to the store, with retries.",
    buckets=SECONDS_BUCKETS,
)
PLANNING_SECONDS = Histogram(
    "chestnutstair_planning_seconds",
    "Duration of a planning round, without its write.",
    buckets=(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1),
)
VM_ORDERS = Counter(
    "chestnutstair_vm_orders", "Orders to move or maintain VMs.", ["kind"]
)
VMS_HANDED_OVER = Counter(
    "chestnutstair_vms_handed_over",
    "Surplus VMs sent straight to a pool that lacks VMs.",
)
VMS_HELD = Gauge(
    "chestnutstair_vms_held", "Empty surplus VMs held for a queue's turn."
)
TURN_PREDICTIONS = Counter(
    "chestnutstair_turn_predictions",
    "Predictions of the pool whose turn comes next.",
    ["outcome"],
)
MALFORMED_ENTRIES = Counter(
    "chestnutstair_malformed_entries",
    "Entries, answers and rows read that could not be used.",
    ["kind"],
)
LEADING = Gauge(
    "chestnutstair_leading", "Number of shards that this node leads."
)
ORGANISATION_RUNNING = Gauge(
    "chestnutstair_organisation_running_millicores",
    "Millicores that count against an organisation's cap.",
    ["organisation"],
)
ORGANISATION_CAP = Gauge(
    "chestnutstair_organisation_cap_millicores",
    "This leader's part of an organisation's cap; 0 for no limit.",
    ["organisation"],
)
ORGANISATION_JOBS_WAITING = Gauge(
    "chestnutstair_organisation_jobs_waiting",
    "Jobs with tasks that could start if there were room.",
    ["organisation"],
)
STARTS_HELD_BACK = Counter(
    "chestnutstair_organisation_held_back",
    "Decisions of planning rounds not to start work because of a cap.",
    ["organisation"],
)

RESERVATIONS = Counter(
    "chestnutstair_reservations",
    "Searches for room that a waiting task can have soon.",
    ["outcome"],
)
RESERVED_WORKERS = Gauge(
    "chestnutstair_reserved_workers",
    "Workers with room reserved for a waiting task.",
    ["service"],
)

_organisation_labels: set[str] = set()


def label_organisation(name: str) -> str:
    """Return the label of an organisation, or the one for all others.

    The first organisations that are seen keep their label for the life of the
    process, so that the number of time series is bounded.
    """
    if name not in _organisation_labels:
        if len(_organisation_labels) >= MAX_ORGANISATION_LABELS - 1:
            return OTHER_ORGANISATIONS
        _organisation_labels.add(name)
    return name
