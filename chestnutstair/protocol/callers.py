"""The callers' HTTP protocol: headers, limits and error answers."""

import json
import math
import re
import uuid
from collections.abc import Mapping
from dataclasses import asdict, dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.request import (
    Answer,
    AnsweredOutcome,
    ClaimedOutcome,
    ClaimFailure,
    DeadlineFailure,
    NoTargetFailure,
    QueueFullFailure,
    Ran,
    RefusedOutcome,
    RequestOutcome,
    StoppingFailure,
    UnknownClassFailure,
    UnknownOutcome,
    UnknownServiceFailure,
)
from chestnutstair.state.codec import STRICT
from chestnutstair.state.failure import Failure

__all__ = [
    "BadHeaderFailure",
    "BodyFailure",
    "BodyTooLargeFailure",
    "CallOptions",
    "CallSettings",
    "InternalFailure",
    "UnknownPathFailure",
    "build_error",
    "build_outcome_answer",
    "parse_options",
]

IDEMPOTENT_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE")
KEY_PATTERN = re.compile(r"[!-~]{1,200}")
MILLISECONDS_PER_SECOND = 1000
JSON_TYPE = ("Content-Type", "application/json")


@dataclass(frozen=True)
class CallSettings:
    """Limits of a caller's request.

    - `default_timeout_seconds`: timeout of a request that names none.
    - `maximum_timeout_seconds`: longest timeout of a request; longer
      timeouts from callers are reduced to this value.
    - `body_bytes`: largest body.
    - `header_bytes`: largest size of all headers together.
    - `read_seconds`: longest time for headers and body together to
      arrive, from the first byte.
    - `idle_seconds`: longest wait for the next byte.
    - `connections`: how many connections may be open. For one more, the
      connection that has waited longest for a request is closed.
    - `waiting_requests`: how many requests may wait for a thread; further
      ones are answered with 503.
    """

    __pydantic_config__ = STRICT

    default_timeout_seconds: float = 30.0
    maximum_timeout_seconds: float = 300.0
    body_bytes: int = 4 * 1024 * 1024
    header_bytes: int = 32 * 1024
    read_seconds: float = 10.0
    idle_seconds: int = 10
    connections: int = 1024
    waiting_requests: int = 512


@dataclass(frozen=True)
class CallOptions:
    """Options of a request, read from its headers."""

    request_id: str
    has_caller_id: bool  # the caller chose the id by Idempotency-Key
    timeout_seconds: float
    urgency: str  # name of an urgency class, or empty
    idempotent: bool
    first_attempt: bool  # the caller guarantees that this is not a retry


@dataclass(frozen=True)
class BadHeaderFailure(Failure):
    """A header has an invalid value."""

    header: str
    problem: str


@dataclass(frozen=True)
class BodyTooLargeFailure(Failure):
    """The body exceeds the limit."""

    limit: int


@dataclass(frozen=True)
class BodyFailure(Failure):
    """The body ended early, arrived too slowly or has invalid framing."""

    problem: str


@dataclass(frozen=True)
class InternalFailure(Failure):
    """An unexpected error occurred in this daemon."""

    problem: str


@dataclass(frozen=True)
class UnknownPathFailure(Failure):
    """The path is not of the form /call/{service}/{path}."""

    path: str


def _read_timeout(
    text: str | None, settings: CallSettings
) -> Result[float, BadHeaderFailure]:
    if text is None:
        return Ok(settings.default_timeout_seconds)
    if not re.fullmatch(r"[0-9]{1,9}", text) or int(text) == 0:
        return Err(
            BadHeaderFailure("X-Timeout-Ms", "not a positive whole number")
        )
    seconds = int(text) / MILLISECONDS_PER_SECOND
    return Ok(min(seconds, settings.maximum_timeout_seconds))


def _read_flag(
    name: str, text: str | None, default: bool
) -> Result[bool, BadHeaderFailure]:
    match text:
        case None:
            return Ok(default)
        case "true":
            return Ok(True)
        case "false":
            return Ok(False)
    return Err(BadHeaderFailure(name, "not true or false"))


def _read_idempotency_key(text: str | None) -> Result[str, BadHeaderFailure]:
    if text is None:
        return Ok(uuid.uuid4().hex)
    if not KEY_PATTERN.fullmatch(text):
        problem = "not 1 to 200 printable ASCII characters"
        return Err(BadHeaderFailure("Idempotency-Key", problem))
    return Ok(text)


def parse_options(
    method: str, headers: Mapping[str, str], settings: CallSettings
) -> Result[CallOptions, BadHeaderFailure]:
    """Parse the options; a failure names one of the invalid headers."""
    given_key = headers.get("Idempotency-Key")
    key = _read_idempotency_key(given_key)
    timeout = _read_timeout(headers.get("X-Timeout-Ms"), settings)
    idempotent_by_default = method in IDEMPOTENT_METHODS
    idempotent = _read_flag(
        "X-Idempotent", headers.get("X-Idempotent"), idempotent_by_default
    )
    first_attempt = _read_flag(
        "X-First-Attempt", headers.get("X-First-Attempt"), False
    )
    if isinstance(first_attempt, Err):
        return first_attempt
    if isinstance(key, Err):
        return key
    if isinstance(timeout, Err):
        return timeout
    if isinstance(idempotent, Err):
        return idempotent
    return Ok(
        CallOptions(
            key.ok_value,
            given_key is not None,
            timeout.ok_value,
            headers.get("X-Urgency", ""),
            idempotent.ok_value,
            first_attempt.ok_value,
        )
    )


def _choose_status(failure: Failure) -> int:
    match failure:
        case UnknownServiceFailure() | UnknownPathFailure():
            return 404
        case UnknownClassFailure() | BadHeaderFailure():
            return 400
        case BodyFailure():
            return 400
        case BodyTooLargeFailure():
            return 413
        case DeadlineFailure():
            return 504
        case (
            NoTargetFailure()
            | QueueFullFailure()
            | StoppingFailure()
            | ClaimFailure()
        ):
            return 503
        case InternalFailure():
            return 500
    return 502


def build_error(
    request_id: str, failure: Failure, ran: Ran, retry_after: float = 0.0
) -> Answer:
    """Build the answer that reports the failure.

    `retry_after` is in seconds; 0 leaves out the Retry-After header.
    """
    document = {"error": type(failure).__name__, "detail": asdict(failure)}
    headers = [JSON_TYPE, ("X-Request-Id", request_id), ("X-Ran", ran)]
    if retry_after > 0:
        headers.append(("Retry-After", str(math.ceil(retry_after))))
    body = json.dumps(document).encode()
    return Answer(_choose_status(failure), tuple(headers), body)


def _build_claimed_answer(outcome: ClaimedOutcome) -> Answer:
    document = {"error": "ClaimedOutcome", "detail": {"ran": outcome.ran}}
    headers = (
        JSON_TYPE,
        ("X-Request-Id", outcome.request_id),
        ("X-Ran", outcome.ran),
    )
    return Answer(409, headers, json.dumps(document).encode())


def build_outcome_answer(outcome: RequestOutcome) -> Answer:
    """Build the answer that the caller gets for the outcome."""
    match outcome:
        case AnsweredOutcome(request_id, answer, ran):
            added = (("X-Request-Id", request_id), ("X-Ran", ran))
            headers = (*answer.headers, *added)
            return Answer(answer.status, headers, answer.body)
        case RefusedOutcome(request_id, failure, retry_after):
            return build_error(request_id, failure, Ran.NO, retry_after)
        case UnknownOutcome(request_id, failure, retry_after):
            ran = Ran.UNKNOWN
            return build_error(request_id, failure, ran, retry_after)
        case ClaimedOutcome():
            return _build_claimed_answer(outcome)
