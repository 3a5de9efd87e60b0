"""Fault injection for the stand-ins."""

import logging
import threading
import time
from dataclasses import dataclass, replace
from enum import StrEnum
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from chestnutstair.protocol.platform import PARTY_HEADER, ZONE_HEADER
from chestnutstair.standins.webserver import (
    Answer,
    Request,
    answer_json,
    break_connection,
)
from chestnutstair.state.codec import (
    STRICT,
    DecodeFailure,
    decode_json,
    decode_value,
    encode_value,
)

__all__ = ["FaultInjector", "Faults", "OutageKind"]

logger = logging.getLogger(__name__)


class OutageKind(StrEnum):
    """How a stand-in responds to requests during an outage."""

    NONE = "none"  # no outage
    ERROR = "error"  # answers with status 503
    CLOSE = "close"  # closes the connection without an answer


@dataclass(frozen=True)
class Faults:
    """The currently injected faults.

    A count is the number of next answers that the fault affects; each
    affected answer decrements it. The call itself takes effect.
    """

    __pydantic_config__ = STRICT

    # Delay of every request, before it is processed.
    delay_seconds: float = 0.0
    outage: OutageKind = OutageKind.NONE
    # Requests that name one of these in their party or zone header have no
    # effect, and their connections are closed.
    cut_parties: tuple[str, ...] = ()
    cut_zones: tuple[str, ...] = ()
    # Answers withheld: the connection is closed instead.
    lost_answers: int = 0
    # Answers of which only the first half of the body is sent.
    truncated_answers: int = 0
    # Answers of a target that carry the nonce of another request.
    crossed_answers: int = 0
    # Workers on which every task fails at its start.
    failing_workers: tuple[str, ...] = ()
    # Workers that do not respond to calls.
    unreachable_workers: tuple[str, ...] = ()


class FaultInjector:
    """Holds the current faults and applies them to requests and answers."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._lock = threading.Lock()

    @property
    def faults(self) -> Faults:
        """The currently injected faults."""
        return self._faults

    def change(self, values: dict[str, Any]) -> Result[Faults, DecodeFailure]:
        """Set the given fields of the faults and keep the others.

        Returns the new faults, or the failure if the values are invalid.
        """
        with self._lock:
            merged = {**encode_value(self._faults), **values}
            changed = decode_value(Faults, merged)
            self._faults = changed.unwrap_or(self._faults)
        logger.info("Faults changed", extra={"faults": values})
        return changed

    def handle_change_request(self, request: Request) -> Answer:
        """Set the fields of the faults that the request's JSON body names.

        Answers with all faults, or with status 400 if a value is invalid.
        """
        changed = decode_json(dict[str, Any], request.body).and_then(
            self.change
        )
        match changed:
            case Ok(faults):
                return answer_json(faults)
            case Err(failure):
                return answer_json(failure, HTTPStatus.BAD_REQUEST)
        raise AssertionError(changed)

    def consume(self, name: str) -> bool:
        """Decrement the named count; return whether it was above zero."""
        with self._lock:
            remaining: int = getattr(self._faults, name)
            if remaining > 0:
                changed: dict[str, Any] = {name: remaining - 1}
                self._faults = replace(self._faults, **changed)
            return remaining > 0

    def apply_to_request(self, request: Request) -> Answer | None:
        """Delay the request, close its connection, or answer it with 503.

        Returns None if the request should be processed.
        """
        faults = self._faults
        if faults.delay_seconds > 0:
            time.sleep(faults.delay_seconds)
        party = request.headers.get(PARTY_HEADER.lower(), "")
        zone = request.headers.get(ZONE_HEADER.lower(), "")
        if party in faults.cut_parties or zone in faults.cut_zones:
            break_connection()
        if faults.outage is OutageKind.CLOSE:
            break_connection()
        if faults.outage is OutageKind.ERROR:
            body = b'{"reason":"outage"}'
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE, body)
        return None

    def apply_to_answer(self, answer: Answer) -> Answer:
        """Return the answer, or close the connection without one.

        A truncated answer sends half of its body.
        """
        if self.consume("lost_answers"):
            break_connection()
        if self.consume("truncated_answers"):
            return replace(answer, sent_bytes=len(answer.body) // 2)
        return answer
