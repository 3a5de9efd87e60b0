"""Takes callers' requests to targets and says how each one ended."""

import logging
import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

from prometheus_client import Counter
from result import Err, Ok

from chestnutstair.coordination.changelog import ChangeLog
from chestnutstair.coordination.leaving import (
    LeavingMessage,
    LeavingSettings,
    LeavingTracker,
)
from chestnutstair.coordination.messenger import Membership, Messenger
from chestnutstair.coordination.platform import ListedVm
from chestnutstair.coordination.request import (
    AnsweredOutcome,
    NoTargetFailure,
    Ran,
    RefusedOutcome,
    Request,
    RequestOutcome,
    StoppingFailure,
    UnknownOutcome,
    UnknownServiceFailure,
)
from chestnutstair.coordination.router import (
    ClosedReason,
    Router,
    TargetLoad,
)
from chestnutstair.coordination.target import (
    LostAnswerFailure,
    NotSentFailure,
    TargetClient,
)
from chestnutstair.state.codec import STRICT
from chestnutstair.state.deadline import Clock
from chestnutstair.state.fleet import Pool

__all__ = ["Forwarder", "ForwarderSettings"]

logger = logging.getLogger(__name__)

OUTCOMES = Counter(
    "chestnutstair_request_outcomes",
    "Callers' requests by service and outcome.",
    ["service", "outcome"],
)


@dataclass(frozen=True)
class ForwarderSettings:
    """How requests are forwarded."""

    __pydantic_config__ = STRICT

    attempts: int = 3
    retry_after_seconds: float = 1.0
    leaving: LeavingSettings = field(default_factory=LeavingSettings)


class Forwarder:
    """Forwards each request to a serving target of its service's pool."""

    def __init__(
        self,
        log: ChangeLog,
        client: TargetClient,
        clock: Clock,
        membership: Membership,
        messenger: Messenger,
        settings: ForwarderSettings,
    ) -> None:
        self._log = log
        self._client = client
        self._clock = clock
        self._settings = settings
        self._router = Router(membership.get_self().zone)
        self._lock = threading.Lock()
        self._stopping = False
        self._leaving = LeavingTracker(
            clock, messenger, membership, self._mark_leaving, settings.leaving
        )
        messenger.add_handler(LeavingMessage, self._take_message)

    def forward(self, request: Request) -> RequestOutcome:
        """Forward the request; block until its outcome or deadline."""
        outcome = self._forward(request)
        kind = type(outcome).__name__
        OUTCOMES.labels(request.service, kind).inc()
        return outcome

    def begin_stop(self) -> None:
        """Refuse new requests and let those in flight end."""
        self._stopping = True

    def note_directory(self, listed: Sequence[ListedVm]) -> None:
        """Take the platform's list of VMs into account."""
        with self._lock:
            self._leaving.note_directory(listed, self._log.view)

    def _take_message(self, peer: str, message: LeavingMessage) -> None:
        with self._lock:
            self._leaving.note_message(message, self._log.view)

    def _mark_leaving(self, vm: str, leaving: bool) -> None:
        if leaving:
            self._router.close(vm, ClosedReason.LEAVING)
        else:
            self._router.reopen(vm, ClosedReason.LEAVING)

    def _forward(self, request: Request) -> RequestOutcome:
        if self._stopping:
            return self._refuse(request, StoppingFailure())
        with self._lock:
            self._install_view()
            pool = self._router.find_pool(request.service)
        if pool is None:
            failure = UnknownServiceFailure(request.service)
            return RefusedOutcome(request.id, failure)
        for _ in range(self._settings.attempts):
            load = self._take(pool)
            if load is None:
                break
            outcome = self._attempt(pool, load, request)
            if outcome is not None:
                return outcome
        return self._refuse(request, NoTargetFailure(request.service))

    def _install_view(self) -> None:
        view = self._log.view
        if self._router.install_view(view):
            self._leaving.note_view(view)

    def _refuse(
        self, request: Request, failure: NoTargetFailure | StoppingFailure
    ) -> RefusedOutcome:
        return RefusedOutcome(
            request.id, failure, self._settings.retry_after_seconds
        )

    def _take(self, pool: Pool) -> TargetLoad | None:
        with self._lock:
            self._install_view()
            zones = self._router.list_zones(pool.name)
            return self._router.take(pool.name, zones)

    def _attempt(
        self, pool: Pool, load: TargetLoad, request: Request
    ) -> RequestOutcome | None:
        limit = pool.connections_per_vm
        revision = self._log.view.revision
        try:
            sent = self._client.send(load.vm, limit, request)
        finally:
            with self._lock:
                self._router.release(load)
        match sent:
            case Ok(found):
                if found.leaving:
                    with self._lock:
                        self._leaving.note_target(
                            load.vm.name, revision, self._log.view
                        )
                if found.ran is Ran.NO:
                    return None
                return AnsweredOutcome(request.id, found.answer, found.ran)
            case Err(NotSentFailure()):
                return None
            case Err(LostAnswerFailure() as failure):
                return UnknownOutcome(request.id, failure)
        raise AssertionError(sent)
