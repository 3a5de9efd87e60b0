"""Calls to workers about tasks, made by the holder of a placement duty."""

import logging
from collections.abc import Iterable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    RefusedFailure,
    TaskReport,
    UnavailableFailure,
    UnknownOutcomeFailure,
    WorkerControl,
)
from chestnutstair.coordination.stop_orders import StopOrder
from chestnutstair.coordination.worker_lease import WorkerLeases
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import Failure
from chestnutstair.state.task import TaskName, TaskRecord

__all__ = ["WorkerClient", "WorkerClientSettings"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class WorkerClientSettings:
    """How often workers with tasks are polled, and how long calls take.

    - `visit_seconds`: the interval at which a worker is polled. While a
      start or stop is unconfirmed, it is polled in every round.
    - `retry_seconds`: the backoff after a failed call, during which
      nothing is sent to the worker. It doubles with each further failure.
    - `retry_limit_seconds`: the upper limit of the backoff.
    - `call_seconds`: the timeout of one call.
    - `call_threads`: how many workers are polled at the same time.
    """

    __pydantic_config__ = STRICT

    visit_seconds: float = 4.0
    retry_seconds: float = 1.0
    retry_limit_seconds: float = 16.0
    call_seconds: float = 1.0
    call_threads: int = 16


def _pick_newest(reports: Iterable[TaskReport]) -> dict[str, TaskReport]:
    newest: dict[str, TaskReport] = {}
    for report in reports:
        previous = newest.get(report.task)
        if previous is None or report.token >= previous.token:
            newest[report.task] = report
    return newest


class WorkerClient:
    """Calls workers and tracks which of them are unresponsive."""

    def __init__(
        self,
        workers: WorkerControl,
        clock: Clock,
        leases: WorkerLeases,
        settings: WorkerClientSettings,
        executor: Executor,
    ) -> None:
        self._workers = workers
        self._clock = clock
        self._leases = leases
        self._settings = settings
        self._executor = executor
        self._next_polls: dict[str, Deadline] = {}
        # By task, the token of the last start whose stop was accepted.
        self._fenced: dict[TaskName, int] = {}
        # By worker, the number of failed calls since its last report.
        self._failed_calls: dict[str, int] = {}

    def is_due(self, worker: str) -> bool:
        """Return whether the worker should be polled now."""
        due = self._next_polls.get(worker)
        return due is None or due.has_passed(self._clock)

    def is_unresponsive(self, worker: str) -> bool:
        """Return whether a call to the worker failed since its last report."""
        return worker in self._failed_calls

    def list_unresponsive(self) -> list[str]:
        """Return the workers with failed calls since their last report."""
        return sorted(self._failed_calls)

    def poll_next_round(self, worker: str) -> None:
        """Poll the worker in the next round, unless it is unresponsive."""
        if worker not in self._failed_calls:
            self._next_polls.pop(worker, None)

    def _make_call_deadline(self, deadline: Deadline) -> Deadline:
        seconds = self._settings.call_seconds
        return min(deadline, Deadline.after(self._clock, seconds))

    def _record_failed_call(self, worker: str, failure: Failure) -> None:
        logger.warning(
            "worker does not answer: %s", failure, extra={"vm": worker}
        )
        failures = self._failed_calls.get(worker, 0)
        self._failed_calls[worker] = failures + 1
        seconds = min(
            self._settings.retry_seconds * 2.0 ** min(failures, 10),
            self._settings.retry_limit_seconds,
        )
        self._next_polls[worker] = Deadline.after(self._clock, seconds)

    def read_reports(
        self, workers: Sequence[str], deadline: Deadline
    ) -> dict[str, dict[str, TaskReport]]:
        """Poll the workers; return the newest report of each task.

        The result has an entry for each worker that answered. Workers are
        polled concurrently, so that a rack that does not answer delays a
        round by one timeout only.
        """

        def read(worker: str) -> Result[tuple[TaskReport, ...], Failure]:
            call_deadline = self._make_call_deadline(deadline)
            return self._workers.report_tasks(worker, call_deadline)

        answers: dict[str, dict[str, TaskReport]] = {}
        outcomes = self._executor.map(read, workers)
        for worker, outcome in zip(workers, outcomes, strict=True):
            match outcome:
                case Ok(reports):
                    answers[worker] = _pick_newest(reports)
                    self._failed_calls.pop(worker, None)
                    self._next_polls[worker] = Deadline.after(
                        self._clock, self._settings.visit_seconds
                    )
                case Err(failure):
                    self._record_failed_call(worker, failure)
        return answers

    def renew(
        self,
        worker: str,
        tokens: list[tuple[str, int]],
        deadline: Deadline,
    ) -> None:
        """Renew the leases of all the tasks in one call."""
        outcome = self._workers.renew_tasks(
            worker,
            tokens,
            self._leases.lease_seconds,
            self._make_call_deadline(deadline),
        )
        self._record_lease_call(worker, outcome)

    def start(
        self,
        task: TaskName,
        record: TaskRecord,
        payload: str,
        deadline: Deadline,
    ) -> Result[None, PlatformFailure]:
        """Request the start from the worker; the call is idempotent."""
        outcome = self._workers.start_task(
            record.worker,
            str(task),
            record.token,
            self._leases.lease_seconds,
            payload,
            self._make_call_deadline(deadline),
        )
        self._record_lease_call(record.worker, outcome)
        self.poll_next_round(record.worker)
        return outcome

    def _record_lease_call(
        self, worker: str, outcome: Result[None, PlatformFailure]
    ) -> None:
        match outcome:
            case Ok():
                self._leases.record_extension(worker)
            case Err(UnknownOutcomeFailure() as failure):
                self._leases.record_extension(worker)
                self._record_failed_call(worker, failure)
            case Err(UnavailableFailure() as failure):
                self._record_failed_call(worker, failure)
            case Err(failure):
                logger.warning(
                    "worker refused a call: %s", failure, extra={"vm": worker}
                )

    def stop(self, order: StopOrder, deadline: Deadline) -> None:
        """Request the stop from the worker; the call is idempotent."""
        worker = order.record.worker
        outcome = self._workers.stop_task(
            worker,
            str(order.task),
            order.record.token,
            order.checkpoint,
            self._make_call_deadline(deadline),
        )
        match outcome:
            case Ok():
                self._fenced[order.task] = order.record.token
                self.poll_next_round(worker)
            case Err(RefusedFailure()):
                self.poll_next_round(worker)
            case Err(failure):
                self._record_failed_call(worker, failure)

    def is_fenced(self, task: TaskName, token: int) -> bool:
        """Return whether a worker accepted the stop of this start.

        If so, the worker refuses a start with this token that arrives later.
        """
        return self._fenced.get(task) == token

    def throttle(
        self,
        task: TaskName,
        record: TaskRecord,
        share: float,
        deadline: Deadline,
    ) -> bool:
        """Limit the task's share of processor time; return True on success."""
        outcome = self._workers.throttle_task(
            record.worker,
            str(task),
            record.token,
            share,
            self._make_call_deadline(deadline),
        )
        return outcome.is_ok()
