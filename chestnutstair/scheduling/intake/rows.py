"""Encoding of the rows that submit and cancel jobs."""

import json
from dataclasses import dataclass
from dataclasses import fields as dataclass_fields

from result import Err, Ok, Result

from chestnutstair.scheduling.cancellations import Cancellation, decode_scope
from chestnutstair.scheduling.configuration import Queue
from chestnutstair.scheduling.intake.layout import (
    CANCEL_PREFIX,
    DEFAULT_LAYOUT,
    IntakeLayout,
)
from chestnutstair.scheduling.ports import Row, RowKey, SubmissionCodec
from chestnutstair.scheduling.progress import Submission
from chestnutstair.state.failure import Failure
from chestnutstair.state.fields import (
    MAX_NUMBER,
    MAX_TIME_MS,
    MalformedFieldError,
    is_text,
    read_amount,
)

__all__ = [
    "MalformedRowFailure",
    "build_cancel_key",
    "build_job_key",
    "decode_cancellation",
    "decode_submission",
    "encode_submission",
    "is_cancellation",
    "parse_job_name",
]


@dataclass(frozen=True)
class MalformedRowFailure(Failure):
    """An intake row cannot be decoded."""

    reason: str


def build_job_key(job: str, layout: IntakeLayout = DEFAULT_LAYOUT) -> RowKey:
    """Return the key of a job's submission row."""
    return layout.build_job_key(job)


def build_cancel_key(
    job: str, layout: IntakeLayout = DEFAULT_LAYOUT
) -> RowKey:
    """Return the key of the row whose presence cancels a job."""
    return layout.build_cancel_key(job)


def is_cancellation(row: Row) -> bool:
    """Return whether the row cancels a job."""
    return row.key.key.startswith(CANCEL_PREFIX)


def parse_job_name(row: Row) -> str:
    """Return the name of the job that an intake row refers to."""
    name = row.key.key.partition("/")[2]
    return name.partition("/")[0] if is_cancellation(row) else name


def decode_cancellation(
    row: Row,
) -> Result[Cancellation, MalformedRowFailure]:
    """Decode the row of a cancellation."""
    job, _, scope = row.key.key.removeprefix(CANCEL_PREFIX).partition("/")
    if not scope:
        return Ok(Cancellation(row.key, job, None, row.version))
    try:
        decoded = decode_scope(row.value or b"")
    except MalformedFieldError as error:
        return Err(MalformedRowFailure(str(error)))
    return Ok(Cancellation(row.key, job, decoded, row.version))


def encode_submission(
    queue: Queue, accepted_ms: int, body: bytes, organisation: str = ""
) -> bytes:
    """Encode the value of a submission's row as JSON.

    It includes the queue's current settings, because the job may outlive
    its queue, and a leader may need them before it has read a configuration.
    """
    # The fields hold no data classes, and asdict() takes 30 us.
    queue_fields = dict(vars(queue))
    if not queue.public:
        # Nodes of the previous version cannot read queues with this field.
        del queue_fields["public"]
    value = {
        "queue": queue_fields,
        "accepted_ms": accepted_ms,
        "body": body.decode(),
    }
    if organisation:
        value["organisation"] = organisation
    return json.dumps(value, separators=(",", ":")).encode()


def _check_queue(queue: Queue) -> None:
    """Reject a stored queue with values that planning cannot compare."""
    numbers = (
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.latency_objective_ms,
        queue.advice_seconds,
    )
    texts = (queue.name, queue.host, queue.prefix, queue.service)
    if not (
        all(type(number) in (int, float) for number in numbers)
        and all(abs(number) <= MAX_NUMBER for number in numbers)
        and all(map(is_text, texts))
    ):
        raise MalformedFieldError("queue: a value of another type or range")


def decode_submission(
    job: str, value: bytes, codec: SubmissionCodec
) -> Result[Submission, Failure]:
    """Decode the value of a submission's row.

    Rows of other versions of this program may lack fields or have more.
    """
    try:
        fields = json.loads(value)
        known = {item.name for item in dataclass_fields(Queue)}
        stored_queue = dict(fields["queue"])
        queue = Queue(
            **{key: stored_queue[key] for key in known & stored_queue.keys()}
        )
        _check_queue(queue)
        accepted_ms = read_amount(fields, "accepted_ms", None, MAX_TIME_MS)
        body = fields["body"].encode()
        organisation = str(fields.get("organisation", ""))
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        return Err(MalformedRowFailure(repr(error)))
    return codec.read_job(body).map(
        lambda specification: Submission(
            job, queue, accepted_ms, specification, organisation
        )
    )
