"""Converts failures to error answers with an HTTP status."""

from dataclasses import fields
from typing import Any

from chestnutstair.coordination.changelog import RaceFailure
from chestnutstair.coordination.platform import (
    ConflictFailure,
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.coordination.tickets import (
    TicketContentFailure,
    UnknownTicketFailure,
)
from chestnutstair.protocol.operators import ErrorAnswer
from chestnutstair.state.codec import DecodeFailure, encode_value
from chestnutstair.state.failure import Failure
from chestnutstair.state.validation import (
    InvalidTicketFailure,
    TicketNumberFailure,
)

__all__ = ["RETRY_AFTER_SECONDS", "build_error", "choose_status"]

RETRY_AFTER_SECONDS = 2


def choose_status(failure: Failure) -> int:
    """Return the HTTP status of the failure's answer."""
    match failure:
        case DecodeFailure() | InvalidTicketFailure():
            return 400
        case UnknownTicketFailure():
            return 404
        case UnavailableFailure() | UnknownOutcomeFailure():
            return 503
        case RefusedFailure():
            return 502
        case _:
            return 409


def _build_hint(failure: Failure) -> str:
    match failure:
        case DecodeFailure() | InvalidTicketFailure():
            return "Correct every mistake listed, then file the ticket again."
        case TicketNumberFailure(expected=expected):
            return f"File the ticket as number {expected}."
        case TicketContentFailure(author=author, expected=expected):
            return (
                f"{author} filed another ticket under this number. Read it, "
                f"then file yours as number {expected}."
            )
        case UnknownTicketFailure(expected=expected):
            return f"The tickets so far are 1 to {expected - 1}."
        case RaceFailure(author=author):
            return (
                f"{author} made a change first. "
                "Read the new state, then decide."
            )
        case UnavailableFailure():
            return "Nothing changed. Try again when the platform is available."
        case UnknownOutcomeFailure() | ConflictFailure():
            return "File the same ticket again; filing is idempotent."
        case _:
            return ""


def _list_fields(failure: Failure) -> dict[str, Any]:
    return {
        field.name: _encode(getattr(failure, field.name))
        for field in fields(failure)
    }


def _encode(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_encode(item) for item in value]
    return encode_value(value)


def build_error(failure: Failure) -> ErrorAnswer:
    """Build the error answer that describes the failure."""
    return ErrorAnswer(
        type(failure).__name__, _list_fields(failure), _build_hint(failure)
    )
