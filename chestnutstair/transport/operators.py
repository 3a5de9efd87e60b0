"""The HTTP API for operators, with health, readiness and metrics."""

import logging
from collections.abc import Callable
from typing import Any

import cherrypy
import prometheus_client
from result import Err, Ok, Result

from chestnutstair.protocol.error import (
    RETRY_AFTER_SECONDS,
    build_error,
    choose_status,
)
from chestnutstair.protocol.operators import ErrorAnswer, PauseRequest
from chestnutstair.protocol.service import OperatorService
from chestnutstair.state.codec import (
    DecodeFailure,
    Mistake,
    decode_json,
    encode_json,
)
from chestnutstair.state.failure import Failure, describe_failure
from chestnutstair.state.ticket import Ticket
from chestnutstair.transport.server import BODY_READ_KEY

__all__ = ["build_operator_application"]

logger = logging.getLogger(__name__)


def _respond(status: int, value: Any) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return encode_json(value)


def _respond_failure(failure: Failure) -> bytes:
    status = choose_status(failure)
    if status == 503:
        cherrypy.response.headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
    logger.info("operator call refused: %s", describe_failure(failure))
    return _respond(status, build_error(failure))


def _respond_outcome(outcome: Result[Any, Any], status: int = 200) -> bytes:
    match outcome:
        case Ok(value):
            return _respond(status, value)
        case Err(failure):
            return _respond_failure(failure)
    raise AssertionError(outcome)


def _read_body() -> bytes:
    body = cherrypy.request.body.read()
    cherrypy.request.wsgi_environ.get(BODY_READ_KEY, bool)()
    return bytes(body)


def _require_method(*methods: str) -> None:
    if cherrypy.request.method not in methods:
        cherrypy.response.headers["Allow"] = ", ".join(methods)
        raise cherrypy.HTTPError(405)


class _TicketResource:
    """Serves `/api/v1/tickets` and `/api/v1/tickets/N`."""

    def __init__(self, service: OperatorService) -> None:
        self._service = service

    @cherrypy.expose
    def default(
        self,
        number: str = "",
        after: str = "0",
        limit: str = "100",
        dry_run: str = "",
    ) -> bytes:
        """List, show, file or preview tickets."""
        _require_method("GET", "POST")
        if cherrypy.request.method == "POST":
            return self._file(dry_run in ("1", "true"))
        if number:
            return self._show(number)
        return _respond_page(self._service.list_tickets, after, limit)

    index = default

    def _show(self, number: str) -> bytes:
        if not number.isdecimal():
            return _respond_failure(
                _build_decode_failure("number", "is not a whole number")
            )
        return _respond_outcome(self._service.show_ticket(int(number)))

    def _file(self, dry_run: bool) -> bytes:
        match decode_json(Ticket, _read_body()):
            case Err(failure):
                return _respond_failure(failure)
            case Ok(ticket):
                return self._file_decoded(ticket, dry_run)
        raise AssertionError

    def _file_decoded(self, ticket: Ticket, dry_run: bool) -> bytes:
        if dry_run:
            return _respond_outcome(self._service.preview_ticket(ticket))
        outcome = self._service.file_ticket(ticket)
        repeated = outcome.is_ok() and outcome.unwrap().repeated
        return _respond_outcome(outcome, 200 if repeated else 201)


def _build_decode_failure(path: str, problem: str) -> DecodeFailure:
    return DecodeFailure((Mistake(path, problem),))


def _respond_page(
    call: Callable[[int, int], Result[Any, Any]], after: str, limit: str
) -> bytes:
    if not after.isdecimal() or not limit.isdecimal():
        return _respond_failure(
            _build_decode_failure("after, limit", "are not whole numbers")
        )
    return _respond_outcome(call(int(after), int(limit)))


class _ApiV1:
    """Serves the other paths under `/api/v1`."""

    def __init__(self, service: OperatorService) -> None:
        self._service = service
        self.tickets = _TicketResource(service)

    @cherrypy.expose
    def pools(self) -> bytes:
        """List the pools and their budgets."""
        _require_method("GET")
        return _respond(200, self._service.list_pools())

    @cherrypy.expose
    def vms(self) -> bytes:
        """List the VMs and their status."""
        _require_method("GET")
        return _respond(200, self._service.list_vms())

    @cherrypy.expose
    def jobs(self) -> bytes:
        """List the jobs and the number of their tasks in each stage."""
        _require_method("GET")
        return _respond_outcome(self._service.list_jobs())

    @cherrypy.expose
    def drains(self) -> bytes:
        """List the VMs that are being drained, cleaned or moved."""
        _require_method("GET")
        return _respond(200, self._service.list_drains())

    @cherrypy.expose
    def audit(self, after: str = "0", limit: str = "100") -> bytes:
        """Return a page of the audit trail."""
        _require_method("GET")
        return _respond_page(self._service.read_audit_trail, after, limit)

    @cherrypy.expose
    def refusals(self) -> bytes:
        """List the newest refused tickets."""
        _require_method("GET")
        return _respond_outcome(self._service.list_refusals())

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the status of this daemon."""
        _require_method("GET")
        return _respond(200, self._service.describe_status())

    @cherrypy.expose
    def pause(self) -> bytes:
        """Stop all planned drains and moves."""
        return self._pause(True)

    @cherrypy.expose
    def resume(self) -> bytes:
        """Resume planned drains and moves."""
        return self._pause(False)

    def _pause(self, paused: bool) -> bytes:
        _require_method("POST")
        match decode_json(PauseRequest, _read_body()):
            case Err(failure):
                return _respond_failure(failure)
            case Ok(request):
                return _respond_outcome(
                    self._service.pause(request.author, paused)
                )
        raise AssertionError


class _Root:
    """Serves health, readiness and metrics."""

    def __init__(self, service: OperatorService) -> None:
        self._service = service

    @cherrypy.expose
    def healthz(self) -> str:
        """Answer while the process runs."""
        return "ok\n"

    @cherrypy.expose
    def readyz(self) -> str:
        """Answer 200 while this daemon accepts callers, else 503."""
        if not self._service.is_ready():
            cherrypy.response.status = 503
            return "not ready\n"
        return "ready\n"

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = (
            prometheus_client.CONTENT_TYPE_LATEST
        )
        return prometheus_client.generate_latest()


def _render_error(status: str, message: str, **_: Any) -> str:
    cherrypy.response.headers["Content-Type"] = "application/json"
    answer = ErrorAnswer("HttpFailure", {"status": status, "why": message})
    return encode_json(answer).decode()


def _handle_unexpected() -> None:
    logger.exception("operator call failed with an unexpected error")
    cherrypy.response.status = 500
    cherrypy.response.headers["Content-Type"] = "application/json"
    answer = ErrorAnswer(
        "InternalFailure", {}, "See the daemon's log; report the fault."
    )
    cherrypy.response.body = [encode_json(answer)]


def build_operator_application(
    service: OperatorService,
) -> cherrypy.Application:
    """Return the WSGI application of the daemon's admin address."""
    root = _Root(service)
    root.api = type("_Versions", (), {"v1": _ApiV1(service)})()  # type: ignore[attr-defined]
    config = {
        "/": {
            "request.show_tracebacks": False,
            "tools.trailing_slash.on": False,
            "request.process_request_body": True,
            "request.body.processors": {},
            "error_page.default": _render_error,
            "request.error_response": _handle_unexpected,
        }
    }
    application = cherrypy.Application(root, "", config)
    # No log line per call on standard output: writing there blocks once
    # nobody reads it.
    application.log.screen = False
    application.log.access_log.propagate = False
    return application
