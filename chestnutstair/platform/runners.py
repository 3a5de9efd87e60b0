"""Calls to workers, which the platform calls runners."""

from dataclasses import dataclass
from functools import cache
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
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
from chestnutstair.transport.json_calls import JsonAnswer, call_json
from chestnutstair.transport.platform_client import (
    PlatformClient,
    PlatformClientSettings,
)

__all__ = ["PlatformWorkerControl", "RunnerSettings"]

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


def _read_run(item: list[Any]) -> RunListing:
    gauge = float(item[4]) if len(item) > 4 else 0.0
    return RunListing(item[0], item[1], item[2], item[3], gauge)


def _read_hold(body: dict[str, Any]) -> HoldAnswer:
    return HoldAnswer(
        clock_ms=int(body["clockMs"]),
        born_ms=int(body.get("born", 0)),
        runs=tuple(_read_run(item) for item in body.get("running", [])),
        ends=tuple(RunEnd(*item[:5]) for item in body.get("finished", [])),
    )


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
    reason = str(body.get("reason", f"status {status}"))
    return Err(StartRefusedFailure(reason, int(body.get("clockMs", 0))))


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

    def _build_client(self, address: str) -> PlatformClient:
        return PlatformClient(
            f"http://{address}",
            "",
            "",
            self._clock,
            PlatformClientSettings(self._settings.connections),
        )

    def _call(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict[str, Any],
        seconds: float,
    ) -> Result[dict[str, Any], WorkerCallFailure]:
        answer = call_json(
            self._connect(worker.address),
            "POST",
            path,
            body,
            Deadline.after(self._clock, seconds),
            {INSTANCE_HEADER: worker.name},
        )
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
        return answer.map(lambda read: int(read.get("clockMs", 0)))

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
        except (KeyError, IndexError, TypeError, ValueError) as error:
            return Err(
                UnknownOutcomeFailure(
                    f"invalid answer to a hold call: {error}"
                )
            )

    def advise(
        self, step: str, workers: list[str]
    ) -> Result[dict[str, str], WorkerCallFailure]:
        """Return the tickets of the workers that may run the step, by name."""
        answer = call_json(
            self._connect(self._advice_address),
            "POST",
            "/api/advise",
            {"step": step, "workers": workers},
            Deadline.after(self._clock, self._settings.advice_seconds),
        )
        match answer:
            case Ok((HTTPStatus.OK, body)):
                return Ok({row[0]: row[1] for row in body.get("good", [])})
            case Ok((status, _)):
                return Err(UnavailableFailure(f"status {status}"))
            case Err(failure):
                return Err(UnavailableFailure(str(failure)))
        raise AssertionError(answer)
