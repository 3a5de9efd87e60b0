"""Faults that a stand-in brings about on demand."""

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
    """How a stand-in that is out answers."""

    NONE = "none"
    ERROR = "error"  # with status 503
    CLOSE = "close"  # the connection is closed without an answer


@dataclass(frozen=True)
class Faults:
    """The faults in force.

    Parties and zones are those that callers name in headers; calls of
    cut ones have no effect and their connections are closed. The counts
    are of answers yet to be spoiled after the call took its effect.
    """

    __pydantic_config__ = STRICT

    delay_seconds: float = 0.0
    outage: OutageKind = OutageKind.NONE
    cut_parties: tuple[str, ...] = ()
    cut_zones: tuple[str, ...] = ()
    lost_answers: int = 0
    truncated_answers: int = 0
    crossed_answers: int = 0
    failing_workers: tuple[str, ...] = ()
    unreachable_workers: tuple[str, ...] = ()


class FaultInjector:
    """Holds the faults in force, and applies them to requests."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._lock = threading.Lock()

    @property
    def faults(self) -> Faults:
        """The faults in force."""
        return self._faults

    def change(self, values: dict[str, Any]) -> Result[Faults, DecodeFailure]:
        """Replace the named faults and keep the others."""
        with self._lock:
            merged = {**encode_value(self._faults), **values}
            changed = decode_value(Faults, merged)
            self._faults = changed.unwrap_or(self._faults)
        logger.info("Faults changed", extra={"faults": values})
        return changed

    def handle_change_request(self, request: Request) -> Answer:
        """Change the faults that the body of a request names."""
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
        """Use up one of the named count; tell whether one was left."""
        with self._lock:
            left: int = getattr(self._faults, name)
            if left > 0:
                fewer: dict[str, Any] = {name: left - 1}
                self._faults = replace(self._faults, **fewer)
            return left > 0

    def apply_to_request(self, request: Request) -> Answer | None:
        """Delay the request, break its connection, or answer it with 503."""
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
        """Lose the answer, or send only half of it."""
        if self.consume("lost_answers"):
            break_connection()
        if self.consume("truncated_answers"):
            return replace(answer, sent_bytes=len(answer.body) // 2)
        return answer
