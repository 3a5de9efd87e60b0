"""A client of the operators' API that tries several addresses."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from chestnutstair.protocol.operators import ErrorAnswer
from chestnutstair.state.codec import decode_json
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import Failure

__all__ = [
    "ClientFailure",
    "OperatorClient",
    "RefusalFailure",
    "UnansweredFailure",
    "UnreachableFailure",
    "UnreadableFailure",
]

API_PATH = "/api/v1"
MIN_CALL_SECONDS = 0.5  # for each address, even when the timeout is used up


@dataclass(frozen=True)
class UnreachableFailure(Failure):
    """No connection could be made; nothing was sent."""

    address: str
    reason: str


@dataclass(frozen=True)
class UnansweredFailure(Failure):
    """A call was sent, but no complete answer arrived."""

    address: str
    reason: str


@dataclass(frozen=True)
class RefusalFailure(Failure):
    """A daemon answered with an error."""

    address: str
    status: int
    answer: ErrorAnswer
    retry_after: str = ""  # seconds, if the daemon gave them


@dataclass(frozen=True)
class UnreadableFailure(Failure):
    """A daemon's answer could not be decoded."""

    address: str
    status: int


ClientFailure = (
    UnreachableFailure | UnansweredFailure | RefusalFailure | UnreadableFailure
)


class OperatorClient:
    """Makes calls, and repeats them at other addresses if they fail.

    All calls of the API are idempotent: reads change nothing, a ticket is
    identified by its number and content, and a second pause has no effect.
    """

    def __init__(
        self, addresses: Sequence[str], timeout_seconds: float, clock: Clock
    ) -> None:
        self.addresses = tuple(addresses)
        self._timeout_seconds = timeout_seconds
        self._clock = clock
        self._http = urllib3.PoolManager(retries=False)

    def get(
        self,
        answer_type: Any,
        path: str,
        query: Mapping[str, Any] | None = None,
        command_deadline: Deadline | None = None,
    ) -> Result[Any, ClientFailure]:
        """Send a GET request and decode the answer.

        The call ends at `command_deadline` if that is before its timeout.
        """
        return self._call(
            answer_type, "GET", path, query, None, command_deadline
        )

    def post(
        self,
        answer_type: Any,
        path: str,
        body: bytes,
        query: Mapping[str, Any] | None = None,
    ) -> Result[Any, ClientFailure]:
        """Send a POST request and decode the answer."""
        return self._call(answer_type, "POST", path, query, body)

    def _call(
        self,
        answer_type: Any,
        method: str,
        path: str,
        query: Mapping[str, Any] | None,
        body: bytes | None,
        command_deadline: Deadline | None = None,
    ) -> Result[Any, ClientFailure]:
        """Try the addresses in order until one gives a final answer.

        The remaining time is divided among the addresses not yet tried.
        """
        deadline = Deadline.after(self._clock, self._timeout_seconds)
        deadline = min(deadline, command_deadline or deadline)
        failures: list[ClientFailure] = []
        for index, address in enumerate(self.addresses):
            outcome: Result[Any, ClientFailure]
            remaining = deadline.get_remaining_seconds(self._clock)
            seconds = remaining / (len(self.addresses) - index)
            match self._send(address, method, path, query, body, seconds):
                case Ok(answer):
                    outcome = _decode_answer(answer_type, address, answer)
                case Err(failure):
                    outcome = Err(failure)
            match outcome:
                case Err(failure) if _is_retryable(failure):
                    failures.append(failure)
                case _:
                    return outcome
        return Err(_choose_failure(failures))

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        query: Mapping[str, Any] | None,
        body: bytes | None,
        seconds: float,
    ) -> Result[urllib3.BaseHTTPResponse, ClientFailure]:
        url = f"http://{address}{API_PATH}{path}"
        if query:
            url += "?" + urlencode(query)
        headers = {"Content-Type": "application/json"}
        timeout = urllib3.Timeout(total=max(seconds, MIN_CALL_SECONDS))
        try:
            return Ok(
                self._http.request(
                    method, url, body=body, headers=headers, timeout=timeout
                )
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Err(UnreachableFailure(address, _describe(error)))
        except HTTPError as error:
            return Err(UnansweredFailure(address, _describe(error)))


def _describe(error: Exception) -> str:
    return str(error).rpartition(": ")[2] or type(error).__name__


def _decode_answer(
    answer_type: Any, address: str, answer: urllib3.BaseHTTPResponse
) -> Result[Any, ClientFailure]:
    if answer.status in (HTTPStatus.OK, HTTPStatus.CREATED):
        return decode_json(answer_type, answer.data).map_err(
            lambda _: UnreadableFailure(address, answer.status)
        )
    match decode_json(ErrorAnswer, answer.data):
        case Ok(error):
            retry_after = answer.headers.get("Retry-After", "")
            return Err(
                RefusalFailure(address, answer.status, error, retry_after)
            )
    return Err(UnreadableFailure(address, answer.status))


def _is_retryable(failure: ClientFailure) -> bool:
    """Return whether a call at another address may succeed."""
    match failure:
        case RefusalFailure(status=status):
            return status >= HTTPStatus.INTERNAL_SERVER_ERROR
        case UnreadableFailure():
            return False
    return True


def _choose_failure(failures: Sequence[ClientFailure]) -> ClientFailure:
    """Return the failure to report for all addresses.

    An unanswered call comes first, as it may have taken effect.
    """
    for failure_type in (UnansweredFailure, RefusalFailure):
        for failure in failures:
            if isinstance(failure, failure_type):
                return failure
    return failures[-1]
