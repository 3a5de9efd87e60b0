"""HTTP calls with JSON bodies, with error statuses mapped to failures."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import urllib3
from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.state.deadline import Deadline
from chestnutstair.transport.platform_client import PlatformClient

__all__ = ["JSON_HEADERS", "JsonAnswer", "call_json", "parse_json_object"]

JSON_HEADERS = {"Content-Type": "application/json"}

# The status, and the JSON object in the answer's body ({} if it has none).
JsonAnswer = tuple[int, dict[str, Any]]


def parse_json_object(data: bytes) -> dict[str, Any] | None:
    """Return the JSON object in the data, or None if there is none."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def _read_answer(
    answer: urllib3.BaseHTTPResponse,
) -> Result[JsonAnswer, PlatformFailure]:
    body = parse_json_object(answer.data) if answer.data else {}
    status = answer.status
    if status in (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ):
        return Err(UnavailableFailure(f"status {status}"))
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Err(UnknownOutcomeFailure(f"status {status}"))
    if body is None:
        if status < HTTPStatus.BAD_REQUEST:
            return Err(UnknownOutcomeFailure("unreadable answer"))
        body = {}
    if status == HTTPStatus.FORBIDDEN:
        return Err(RefusedFailure(f"status {status}"))
    return Ok((status, body))


def call_json(
    client: PlatformClient,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    deadline: Deadline,
    headers: Mapping[str, str] | None = None,
) -> Result[JsonAnswer, PlatformFailure]:
    """Make a call and return its status and JSON object.

    Statuses 403, 429 and 5xx are returned as failures, and so is an answer
    below 400 whose body is not a JSON object.
    """
    data = None
    if body is not None:
        data = json.dumps(body, separators=(",", ":")).encode()
        headers = {**JSON_HEADERS, **(headers or {})}
    response = client.send(method, path, data, deadline, headers)
    return response.and_then(_read_answer)
