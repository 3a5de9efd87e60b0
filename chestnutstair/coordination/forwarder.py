"""Forwards callers' requests to targets and reports each outcome."""

import logging
import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

from prometheus_client import Counter
from result import Err, Ok

from chestnutstair.coordination.admission import (
    Admission,
    AdmissionSettings,
)
from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.claims import (
    Claim,
    ClaimStore,
    ClaimTakenFailure,
    ClaimUnavailableFailure,
    ClaimUnknownFailure,
    build_claim_key,
)
from chestnutstair.coordination.grant import AdmittedRequest, Grant, Refusal
from chestnutstair.coordination.messenger import Membership, Messenger
from chestnutstair.coordination.platform import ListedVm
from chestnutstair.coordination.request import (
    AnsweredOutcome,
    ClaimedOutcome,
    ClaimFailure,
    DeadlineFailure,
    NoTargetFailure,
    Ran,
    RefusedOutcome,
    Request,
    RequestOutcome,
    StoppingFailure,
    UnknownOutcome,
)
from chestnutstair.coordination.target import (
    LostAnswerFailure,
    NotSentFailure,
    TargetAnswer,
    TargetClient,
    TargetFailure,
)
from chestnutstair.state.change import ChangeRecord, TicketChange
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.failure import Failure
from chestnutstair.state.view import FleetView

__all__ = ["Forwarder", "ForwarderSettings"]

logger = logging.getLogger(__name__)

OUTCOMES = Counter(
    "chestnutstair_request_outcomes", "Requests by outcome.", ["outcome"]
)
BUSY_STATUS = 503


@dataclass(frozen=True)
class ForwarderSettings:
    """How requests are forwarded.

    - `retry_after_seconds`: delay after which a refused caller should
      retry, where no estimate from the queue is available.
    - `stop_notice_seconds`: how long new requests are still accepted after
      the daemon has begun to stop, so that the load balancer can notice.
    """

    __pydantic_config__ = STRICT

    retry_after_seconds: float = 1.0
    stop_notice_seconds: float = 5.0
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)


@dataclass
class _Progress:
    """State of one request while it is being forwarded."""

    admitted: AdmittedRequest
    claim: Claim | None = None
    refusals: int = 0  # by full targets
    sent_at: float = 0.0  # monotonic seconds, latest attempt
    # failure of an earlier attempt that may have run
    ambiguous_failure: Failure | None = None
    last_failure: Failure | None = None


class Forwarder:
    """Forwards each request to a serving target.

    The target belongs to the service's own pool or, on overflow, to the
    spare pool.
    """

    def __init__(
        self,
        log: ChangeLog,
        client: TargetClient,
        clock: Clock,
        membership: Membership,
        messenger: Messenger,
        claims: ClaimStore,
        settings: ForwarderSettings,
    ) -> None:
        self._client = client
        self._clock = clock
        self._claims = claims
        self._settings = settings
        self._admission = Admission(
            log, clock, membership, messenger, settings.admission
        )
        log.add_listener(self._drop_connections)
        self._idle = threading.Condition()
        self._in_flight = 0
        self._refuse_from: Deadline | None = None

    def start(self) -> None:
        """Start the threads of the admission control and the claims."""
        self._admission.start()
        self._claims.start()

    def stop(self) -> None:
        """Stop the threads; call it when no request is in flight."""
        self._admission.stop()
        self._claims.stop()

    def begin_stop(self) -> None:
        """Report not ready; refuse new requests after a notice period."""
        if self._refuse_from is not None:
            return
        notice = self._settings.stop_notice_seconds
        self._refuse_from = Deadline.after(self._clock, notice)

    def is_stopping(self) -> bool:
        """Return whether the daemon is stopping and so not ready."""
        return self._refuse_from is not None

    def wait_idle(self, deadline: Deadline) -> bool:
        """Block until new requests are refused and none is in flight.

        Return False if the deadline passes first.
        """
        refuse_from = self._refuse_from
        if refuse_from is not None:
            notice = min(refuse_from, deadline)
            self._clock.sleep(notice.get_remaining_seconds(self._clock))
        with self._idle:
            return self._idle.wait_for(
                lambda: self._in_flight == 0,
                deadline.get_remaining_seconds(self._clock),
            )

    def apply_vm_list(self, listed: Sequence[ListedVm]) -> None:
        """Update which targets are leaving from the platform's VM list."""
        self._admission.apply_vm_list(listed)

    def measure_utilization(self) -> dict[str, float]:
        """Return the used share (0 to 1) of this daemon's slots by pool."""
        return self._admission.measure_utilization()

    def run_due(self) -> None:
        """End the backoffs and ejections of targets that are due."""
        self._admission.run_due()

    def _drop_connections(self, record: ChangeRecord, view: FleetView) -> None:
        if isinstance(record.change, TicketChange):
            self._client.retain({vm.address for vm in view.vms.values()})

    def forward(self, request: Request) -> RequestOutcome:
        """Forward the request and block until its outcome or its deadline."""
        with self._idle:
            self._in_flight += 1
        try:
            outcome = self._forward(request)
        finally:
            with self._idle:
                self._in_flight -= 1
                self._idle.notify_all()
        OUTCOMES.labels(type(outcome).__name__).inc()
        return outcome

    def _forward(self, request: Request) -> RequestOutcome:
        refuse_from = self._refuse_from
        if refuse_from is not None and refuse_from.has_passed(self._clock):
            wait = self._settings.retry_after_seconds
            return _refuse(request, StoppingFailure(), wait)
        match self._admission.admit(request):
            case Err(Refusal(failure, retry_after)):
                return _refuse(request, failure, retry_after)
            case Ok(admitted):
                try:
                    return self._run(request, _Progress(admitted))
                finally:
                    self._admission.finish(admitted)
        raise AssertionError(request)

    def _run(self, request: Request, progress: _Progress) -> RequestOutcome:
        is_retry = False
        while True:
            match self._admission.acquire(progress.admitted, is_retry):
                case Err(refusal):
                    return self._give_up(request, progress, refusal)
                case Ok(grant):
                    try:
                        outcome = self._attempt(request, progress, grant)
                    finally:
                        self._admission.release(grant, progress.admitted)
            if outcome is not None:
                self._record_result(request, progress, outcome)
                return outcome
            is_retry = True

    def _attempt(
        self, request: Request, progress: _Progress, grant: Grant
    ) -> RequestOutcome | None:
        """Make one attempt; return None if the request is to be retried."""
        if request.needs_claim():
            refused = self._claim(request, progress)
            if refused is not None:
                return refused
        if request.deadline.has_passed(self._clock):
            late = DeadlineFailure(request.service)
            return self._finish(request, progress, late)
        load = grant.load
        progress.sent_at = self._clock.read_monotonic()
        match self._client.send(load.vm, load.slots, request):
            case Ok(reply):
                return self._handle_answer(request, progress, grant, reply)
            case Err(failure):
                return self._handle_failure(request, progress, grant, failure)
        raise AssertionError(request)

    def _claim(
        self, request: Request, progress: _Progress
    ) -> RequestOutcome | None:
        if progress.claim is not None:
            return None
        key = build_claim_key(request.service, request.id)
        match self._claims.claim(key, request.deadline):
            case Ok(claim):
                progress.claim = claim
                return None
            case Err(ClaimTakenFailure(ran)):
                return ClaimedOutcome(request.id, ran)
            case Err(ClaimUnknownFailure(reason)):
                return UnknownOutcome(request.id, ClaimFailure(reason))
            case Err(ClaimUnavailableFailure(reason)):
                failure = ClaimFailure(reason)
                wait = self._settings.retry_after_seconds
                return _refuse(request, failure, wait)
        raise AssertionError(request)

    def _record_result(
        self, request: Request, progress: _Progress, outcome: RequestOutcome
    ) -> None:
        if progress.claim is None:
            return
        match outcome:
            case AnsweredOutcome(ran=answered):
                ran = answered
            case RefusedOutcome():
                ran = Ran.NO
            case _:
                ran = Ran.UNKNOWN
        key = build_claim_key(request.service, request.id)
        self._claims.record_result(key, progress.claim, ran)

    def _handle_answer(
        self,
        request: Request,
        progress: _Progress,
        grant: Grant,
        reply: TargetAnswer,
    ) -> RequestOutcome | None:
        if reply.leaving:
            self._admission.record_leaving(grant)
        if reply.ran is Ran.NO:
            return self._handle_refusal(request, progress, grant, reply)
        failed = reply.answer.status == BUSY_STATUS
        seconds = self._clock.read_monotonic() - progress.sent_at
        self._admission.record_answer(
            grant, progress.admitted, seconds, failed
        )
        if failed and request.idempotent:
            progress.ambiguous_failure = NoTargetFailure(
                request.service, "answered 503"
            )
            if self._may_retry(request, progress):
                return None
        return AnsweredOutcome(request.id, reply.answer, reply.ran)

    def _handle_refusal(
        self,
        request: Request,
        progress: _Progress,
        grant: Grant,
        reply: TargetAnswer,
    ) -> RequestOutcome | None:
        if not reply.leaving:
            self._admission.record_refusal(grant, progress.admitted)
        progress.refusals += 1
        progress.last_failure = NoTargetFailure(
            request.service, "targets are full"
        )
        if progress.refusals <= self._settings.admission.retry.refusals:
            return None
        return self._finish(request, progress, progress.last_failure)

    def _handle_failure(
        self,
        request: Request,
        progress: _Progress,
        grant: Grant,
        failure: TargetFailure,
    ) -> RequestOutcome | None:
        seconds = self._clock.read_monotonic() - progress.sent_at
        self._admission.record_failure(grant, progress.admitted, seconds)
        progress.last_failure = NoTargetFailure(
            request.service, failure.reason
        )
        match failure:
            case LostAnswerFailure():
                progress.ambiguous_failure = failure
                retryable = request.idempotent
            case NotSentFailure():
                retryable = True
        if retryable and self._may_retry(request, progress):
            return None
        return self._finish(request, progress, progress.last_failure)

    def _may_retry(self, request: Request, progress: _Progress) -> bool:
        if request.deadline.has_passed(self._clock):
            return False
        return self._admission.spend_retry(progress.admitted)

    def _give_up(
        self, request: Request, progress: _Progress, refusal: Refusal
    ) -> RequestOutcome:
        outcome = self._finish(
            request, progress, refusal.failure, refusal.retry_after
        )
        self._record_result(request, progress, outcome)
        return outcome

    def _finish(
        self,
        request: Request,
        progress: _Progress,
        failure: Failure,
        retry_after: float | None = None,
    ) -> RequestOutcome:
        """Return the outcome of a request without an answer.

        The request counts as refused only if no attempt can have run.
        """
        if progress.ambiguous_failure is not None:
            return UnknownOutcome(request.id, progress.ambiguous_failure)
        wait = self._settings.retry_after_seconds
        if retry_after is not None:
            wait = retry_after
        if progress.claim is not None:
            return RefusedOutcome(request.id, failure, wait)
        return _refuse(request, failure, wait)


def _refuse(
    request: Request, failure: Failure, retry_after: float
) -> RefusedOutcome | UnknownOutcome:
    """Refuse a request that has no claim and did not run from here.

    The outcome is unknown if an earlier attempt of the caller may have
    run through another daemon.
    """
    if request.needs_claim() and not request.first_attempt:
        return UnknownOutcome(request.id, failure, retry_after)
    return RefusedOutcome(request.id, failure, retry_after)
