"""Calls to workers, which the platform calls runners."""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from http import HTTPStatus
from typing import Annotated, Any, Literal

from pydantic import Field, Strict, TypeAdapter, ValidationError
from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.metrics import MALFORMED_ENTRIES
from chestnutstair.scheduling.ports import (
    HoldAnswer,
    PolicyService,
    RunEnd,
    RunListing,
    StartOrder,
    StartRefusedFailure,
    WorkerCallFailure,
    WorkerControl,
    WorkerEntry,
    WrongIncarnationFailure,
)
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fields import (
    MAX_NAME_LENGTH,
    MAX_NUMBER,
    MAX_TIME_MS,
    MalformedFieldError,
    is_text,
    is_whole,
    read_list,
    read_whole,
)
from chestnutstair.transport.json_calls import JsonAnswer, call_json
from chestnutstair.transport.platform_client import (
    PlatformClient,
    PlatformClientSettings,
    connect_to_address,
)

__all__ = ["PlatformWorkerControl", "RunnerSettings"]

logger = logging.getLogger(__name__)

# A task's name consists of its job's ID, which is part of a row's key, and
# three numbers.
MAX_TASK_LENGTH = MAX_NAME_LENGTH
MAX_CHECKPOINT_LENGTH = 1000
Whole = Annotated[int, Strict(), Field(ge=0, le=MAX_NUMBER)]
Number = Annotated[
    float,
    Strict(),
    Field(ge=-MAX_NUMBER, le=MAX_NUMBER, allow_inf_nan=False),
]
TaskName = Annotated[str, Strict(), Field(max_length=MAX_TASK_LENGTH)]
Checkpoint = Annotated[str, Strict(), Field(max_length=MAX_CHECKPOINT_LENGTH)]
Outcome = Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
# Validated by pydantic-core, as thousands of rows are read a second.
RUN_VALUES = 5
# Most ends in one answer; a worker with more lists the first of them.
MAX_ENDS = 500
RUNS = TypeAdapter(list[tuple[TaskName, Whole, Checkpoint, Number, Number]])
END_VALUES = 5
ENDS = TypeAdapter(list[tuple[Whole, TaskName, Whole, Outcome, Checkpoint]])
INSTANCE_HEADER = "X-Chestnutstair-Expect-Instance"


@dataclass(frozen=True)
class RunnerSettings:
    """Timeouts and connections of the calls to workers."""

    __pydantic_config__ = STRICT

    # Timeout of an order, twenty times what a worker usually takes.
    order_seconds: float = 0.5
    # Added to the requested wait for the timeout of a hold call.
    hold_slack_seconds: float = 0.6
    # Timeout of a call to the policy service.
    advice_seconds: float = 1.0
    # Connections kept open to each worker.
    connections: int = 6


def _trim(row: Any, length: int) -> Any:
    """Return a row with `length` values; 0 for the last if it is missing."""
    return [*row, 0][:length] if type(row) is list else row


def _read_hold(body: dict[str, Any]) -> HoldAnswer:
    """Decode an answer, or raise MalformedFieldError.

    All of it must be readable: a run that is left out would count as ended,
    and start again elsewhere.
    """
    runs = [
        row
        if type(row) is list and len(row) == RUN_VALUES
        # Before there were gauges a row had four values.
        else _trim(row, RUN_VALUES)
        for row in read_list(body, "running")
    ]
    ends = [_trim(row, END_VALUES) for row in read_list(body, "finished", [])]
    try:
        return HoldAnswer(
            clock_ms=read_whole(body, "clockMs"),
            born_ms=read_whole(body, "born", 0, MAX_TIME_MS),
            runs=tuple(
                [RunListing(*row) for row in RUNS.validate_python(runs)]
            ),
            ends=tuple([RunEnd(*row) for row in ENDS.validate_python(ends)]),
            has_more_ends="finished" not in body or len(ends) >= MAX_ENDS,
        )
    except ValidationError as error:
        raise MalformedFieldError(_name_mistake(error)) from None


def _name_mistake(error: ValidationError) -> str:
    """Return the first mistake without its value, which may be of any size."""
    mistakes = error.errors(include_url=False, include_input=False)
    return f"row, value {mistakes[0]['loc']}: {mistakes[0]['type']}"


def _read_clock(body: dict[str, Any]) -> int:
    """Return the worker's clock; 0 if unreadable, as no outcome needs it."""
    value = body.get("clockMs")
    return value if type(value) is int and is_whole(value) else 0


def _check_answer(
    answer: JsonAnswer,
) -> Result[dict[str, Any], WorkerCallFailure]:
    status, body = answer
    if status == HTTPStatus.OK:
        return Ok(body)
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return Err(WrongIncarnationFailure())
    # The reason is more specific than the status: a late start may be
    # answered with 400 or 409.
    reason = body.get("reason")
    text = str(reason) if is_text(reason) else f"status {status}"
    return Err(StartRefusedFailure(text, _read_clock(body)))


def _read_tickets(body: dict[str, Any]) -> dict[str, str]:
    """Return the tickets by worker; rows that are unreadable are left out."""
    rows = read_list(body, "good", [])
    tickets = {
        row[0]: row[1]
        for row in rows
        if type(row) is list
        and len(row) > 1
        and is_text(row[0])
        and is_text(row[1])
    }
    if len(tickets) < len(rows):
        MALFORMED_ENTRIES.labels("advice").inc(len(rows) - len(tickets))
        logger.warning(
            "rows of an advice answer are not usable",
            extra={"rows": len(rows), "usable": len(tickets)},
        )
    return tickets


class PlatformWorkerControl(WorkerControl, PolicyService):
    """Client of workers and of the policy service.

    Keeps connections open.
    """

    def __init__(
        self, clock: Clock, advice_address: str, settings: RunnerSettings
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._advice_address = advice_address
        self._connect = cache(self._build_client)

    def _build_client(
        self, address: str
    ) -> Result[PlatformClient, UnavailableFailure]:
        settings = PlatformClientSettings(self._settings.connections)
        return connect_to_address(address, self._clock, settings)

    def _call_json(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        seconds: float,
        headers: Mapping[str, str] | None = None,
    ) -> Result[JsonAnswer, PlatformFailure]:
        deadline = Deadline.after(self._clock, seconds)
        return self._connect(address).and_then(
            lambda client: call_json(
                client, "POST", path, body, deadline, headers
            )
        )

    def _call(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict[str, Any],
        seconds: float,
    ) -> Result[dict[str, Any], WorkerCallFailure]:
        headers = {INSTANCE_HEADER: worker.name}
        answer = self._call_json(worker.address, path, body, seconds, headers)
        match answer:
            case Ok(read):
                return _check_answer(read)
            case Err(RefusedFailure(reason)):
                return Err(UnavailableFailure(reason))
            case Err(UnavailableFailure() as failure):
                return Err(failure)
            case Err(UnknownOutcomeFailure() as failure):
                return Err(failure)
        raise AssertionError(answer)

    def _order(
        self, worker: WorkerEntry, path: str, body: dict[str, Any]
    ) -> Result[int, WorkerCallFailure]:
        seconds = self._settings.order_seconds
        answer = self._call(worker, path, body, seconds)
        return answer.map(_read_clock)

    def start(
        self, worker: WorkerEntry, order: StartOrder
    ) -> Result[int, WorkerCallFailure]:
        """Start a run; return the worker's clock in ms."""
        body: dict[str, Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
            "fence": order.fence,
        }
        if order.checkpoint:
            body["lastCheckpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._order(worker, "/api/run-start", body)

    def stop(
        self, worker: WorkerEntry, task: str, run: int, fence: int
    ) -> Result[int, WorkerCallFailure]:
        """Stop a run; return the worker's clock in ms.

        If the run has not started there yet, its start will be refused.
        """
        body = {"task": task, "run": run, "fence": fence}
        return self._order(worker, "/api/run-stop", body)

    def pace(
        self,
        worker: WorkerEntry,
        task: str,
        run: int,
        percent: int,
        fence: int,
    ) -> Result[int, WorkerCallFailure]:
        """Throttle a run to `percent` of its speed.

        Returns the worker's clock in ms.
        """
        body = {"task": task, "run": run, "percent": percent, "fence": fence}
        return self._order(worker, "/api/pace", body)

    def hold(
        self,
        worker: WorkerEntry,
        fence: int,
        acknowledged_end: int,
        deadline_ms: int | None,
        wait_seconds: float,
    ) -> Result[HoldAnswer, WorkerCallFailure]:
        """Extend the lease of all runs; list those running and ended.

        - `acknowledged_end`: number of the last end to acknowledge.
        - `deadline_ms`: end of the lease on the worker's clock; None to leave
          the lease as it is.
        - `wait_seconds`: how long the worker waits for the end of a run
          before it answers.
        """
        body: dict[str, Any] = {
            "fence": fence,
            "lastSeen": acknowledged_end,
            "waitMs": int(wait_seconds * 1000),
        }
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        seconds = wait_seconds + self._settings.hold_slack_seconds
        answer = self._call(worker, "/api/hold", body, seconds)
        try:
            return answer.map(_read_hold)
        except MalformedFieldError as error:
            MALFORMED_ENTRIES.labels("hold answer").inc()
            return Err(
                UnknownOutcomeFailure(
                    f"invalid answer to a hold call: {error}"
                )
            )

    def advise(
        self, step: str, workers: list[str]
    ) -> Result[dict[str, str], WorkerCallFailure]:
        """Return the tickets of the workers that may run the step, by name."""
        answer = self._call_json(
            self._advice_address,
            "/api/advise",
            {"step": step, "workers": workers},
            self._settings.advice_seconds,
        )
        match answer:
            case Ok((HTTPStatus.OK, body)):
                try:
                    return Ok(_read_tickets(body))
                except MalformedFieldError as error:
                    MALFORMED_ENTRIES.labels("advice").inc()
                    return Err(UnavailableFailure(str(error)))
            case Ok((status, _)):
                return Err(UnavailableFailure(f"status {status}"))
            case Err(failure):
                return Err(UnavailableFailure(str(failure)))
        raise AssertionError(answer)
