"""HTTP interface for callers, which the platform calls requesters."""

import json
import logging
import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from chestnutstair.coordination.platform import UnknownOutcomeFailure
from chestnutstair.platform.decoding import read_submission
from chestnutstair.scheduling.access import Access
from chestnutstair.scheduling.configuration import FleetConfiguration, Queue
from chestnutstair.scheduling.job_requests import JobRequestHandler, Outcome
from chestnutstair.scheduling.metrics import KEY_REFUSALS
from chestnutstair.scheduling.organisations.gang_limits import check_gangs
from chestnutstair.scheduling.organisations.keys import KeyFailure
from chestnutstair.scheduling.specification import (
    JobSpecification,
    SubmissionFailure,
    check_limits,
)
from chestnutstair.state.deadline import Clock, Deadline

__all__ = [
    "MAX_BODY_BYTES",
    "build_ready_application",
    "build_requester_application",
]

logger = logging.getLogger(__name__)

JOB_NAME = re.compile(r"[0-9a-f]{16}")
TIMEOUT_HEADER_KEY = "HTTP_X_CHESTNUTSTAIR_TIMEOUT_MS"
KEY_HEADER_KEY = "HTTP_AUTHORIZATION"
READY_PATH = "/api/ready"
# Timeout of a request without a timeout header.
DEFAULT_TIMEOUT_SECONDS = 3.0
# Longest time that a request waits; a longer timeout counts as this one.
MAX_TIMEOUT_SECONDS = 60.0
MAX_TIMEOUT_DIGITS = 12
MAX_LENGTH_DIGITS = 12
# Not str.isdigit(), which accepts digits such as a superscript two that int()
# rejects.
DIGITS = re.compile(r"[0-9]+")
# Subtracted from a caller's timeout, so that the answer arrives in time.
ANSWER_MARGIN_SECONDS = 0.15
# Largest body of a submission. A row of the store holds 64 KB, and the body is
# stored as a JSON string, with its queue.
MAX_BODY_BYTES = 32 * 1024
# Sent with status 503 if no better estimate is known, as before a
# configuration has been loaded.
RETRY_AFTER_SECONDS = 1

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]


def _answer(
    start_response: StartResponse,
    status: HTTPStatus,
    fields: dict[str, Any] | None = None,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    body = b"" if fields is None else json.dumps(fields).encode()
    start_response(
        f"{status.value} {status.phrase}",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def _find_status(outcome: Outcome) -> HTTPStatus:
    match outcome.failure:
        case None:
            return HTTPStatus.OK if outcome.known else HTTPStatus.GONE
        case UnknownOutcomeFailure():
            return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.SERVICE_UNAVAILABLE


class _RequesterApplication:
    """WSGI application for callers' requests about jobs."""

    def __init__(
        self,
        handler: JobRequestHandler,
        get_configuration: Callable[[], FleetConfiguration | None],
        is_stopping: Callable[[], bool],
        clock: Clock,
        get_cap_share: Callable[[], float],
    ) -> None:
        self._get_cap_share = get_cap_share
        self._handler = handler
        self._get_configuration = get_configuration
        self._is_stopping = is_stopping
        self._clock = clock

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Serve a request of the queue that matches its host and path.

        The status is 503 until a configuration has been loaded, 404 if no
        queue matches, and 401 if the queue needs a key that the request does
        not carry.
        """
        headers: list[tuple[str, str]] = []
        if self._is_stopping():
            headers.append(("Connection", "close"))
        configuration = self._get_configuration()
        if configuration is None:
            return self._answer_unavailable(start_response, headers)
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        path = environ.get("PATH_INFO", "")
        queue = configuration.find_queue(host, path)
        if queue is None:
            return _answer(start_response, HTTPStatus.NOT_FOUND, None, headers)
        match _check_key(configuration, queue, environ):
            case Err(failure):
                return _refuse_key(start_response, headers, failure, environ)
            case Ok(organisations):
                access = Access(configuration, queue, organisations)
        job = path[len(queue.prefix) :]
        return self._serve(environ, start_response, headers, access, job)

    @staticmethod
    def _answer_unavailable(
        start_response: StartResponse,
        headers: list[tuple[str, str]],
        seconds: int = 0,
    ) -> list[bytes]:
        headers.append(("Retry-After", str(seconds or RETRY_AFTER_SECONDS)))
        return _answer(
            start_response, HTTPStatus.SERVICE_UNAVAILABLE, None, headers
        )

    def _serve(
        self,
        environ: Environ,
        start_response: StartResponse,
        headers: list[tuple[str, str]],
        access: Access,
        job: str,
    ) -> list[bytes]:
        queue = access.queue
        method = environ["REQUEST_METHOD"]
        deadline = self._read_deadline(environ)
        fields: dict[str, Any] | None = None
        if method == "GET" and not job:
            outcome = self._handler.count_pending(queue)
            fields = {"pending": outcome.pending}
        elif not JOB_NAME.fullmatch(job):
            return _answer(start_response, HTTPStatus.NOT_FOUND, None, headers)
        elif method == "GET":
            outcome = self._handler.describe_job(job, deadline, access)
            fields = {"state": outcome.state}
        elif method == "DELETE":
            outcome = self._handler.cancel(job, deadline, access)
        elif method == "POST":
            match self._submit(environ, access, job, deadline):
                case Err((refusal, problem)):
                    # The body may not have been read to its end.
                    headers.append(("Connection", "close"))
                    reason = {"reason": problem}
                    return _answer(start_response, refusal, reason, headers)
                case Ok(outcome):
                    pass
        else:
            return _answer(
                start_response, HTTPStatus.METHOD_NOT_ALLOWED, None, headers
            )
        status = _find_status(outcome)
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            return self._answer_unavailable(
                start_response, headers, outcome.retry_after_seconds
            )
        if status is not HTTPStatus.OK:
            fields = None
        return _answer(start_response, status, fields, headers)

    def _submit(
        self, environ: Environ, access: Access, job: str, deadline: Deadline
    ) -> Result[Outcome, tuple[HTTPStatus, str]]:
        """Store a job, or return the status and reason of its refusal."""
        match _read_job(environ):
            case Err(refusal):
                return Err(refusal)
            case Ok((body, specification)):
                organisation = next(iter(access.organisations), "")
        match _check_cap(
            access, organisation, specification, self._get_cap_share()
        ):
            case Err(failure):
                return self._refuse_gang(access, job, failure, deadline)
        return Ok(
            self._handler.submit(
                access.queue, job, body, deadline, organisation
            )
        )

    def _refuse_gang(
        self,
        access: Access,
        job: str,
        failure: SubmissionFailure,
        deadline: Deadline,
    ) -> Result[Outcome, tuple[HTTPStatus, str]]:
        """Refuse a job that its cap never admits, unless it was accepted.

        The answer to its acceptance may have been lost, and the cap lowered
        since.
        """
        stored = self._handler.describe_job(job, deadline, access)
        if stored.known or stored.failure is not None:
            return Ok(stored)
        logger.info(
            "submission refused: gang exceeds the cap",
            extra={
                "job": job,
                "queue": access.queue.name,
                "organisations": access.organisations,
                "version": access.configuration.version,
                "reason": failure.problem,
            },
        )
        return Err((HTTPStatus.BAD_REQUEST, failure.problem))

    def _read_deadline(self, environ: Environ) -> Deadline:
        seconds = DEFAULT_TIMEOUT_SECONDS
        text = environ.get(TIMEOUT_HEADER_KEY, "")
        if DIGITS.fullmatch(text):
            seconds = MAX_TIMEOUT_SECONDS
            if len(text) <= MAX_TIMEOUT_DIGITS:
                seconds = min(seconds, int(text) / 1000)
        return Deadline.after(self._clock, seconds - ANSWER_MARGIN_SECONDS)


def _read_body(environ: Environ) -> bytes | None:
    """Return the body, or None if it is too large."""
    length = environ.get("CONTENT_LENGTH") or ""
    stream = environ["wsgi.input"]
    if DIGITS.fullmatch(length):
        if len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
            return None
        return bytes(stream.read(int(length)))
    data = bytes(stream.read(MAX_BODY_BYTES + 1))
    return data if len(data) <= MAX_BODY_BYTES else None


def _read_job(
    environ: Environ,
) -> Result[tuple[bytes, JobSpecification], tuple[HTTPStatus, str]]:
    """Return a valid submission, encoded and decoded.

    On failure, return the status and reason of the refusal.
    """
    body = _read_body(environ)
    if body is None:
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return Err((status, f"the limit is {MAX_BODY_BYTES} bytes"))
    read = read_submission(body)
    checked = read.and_then(check_limits).and_then(lambda _: read)
    return checked.map(lambda job: (body, job)).map_err(
        lambda failure: (HTTPStatus.BAD_REQUEST, failure.problem)
    )


def _check_cap(
    access: Access,
    organisation: str,
    specification: JobSpecification,
    share: float,
) -> Result[None, SubmissionFailure]:
    known = (access.configuration.organisations or {}).get(organisation)
    if known is None:
        return Ok(None)
    return check_gangs(specification, known.cap, share)


def _check_key(
    configuration: FleetConfiguration, queue: Queue, environ: Environ
) -> Result[tuple[str, ...], KeyFailure]:
    """Return the organisations that a request acts for.

    There are none if the request needs no key.
    """
    index = configuration.key_index
    if index is None or queue.public:
        return Ok(())
    result = index.check_header(environ.get(KEY_HEADER_KEY, ""))
    match result:
        case Err(failure):
            reason = failure.problem.value
            KEY_REFUSALS.labels(reason).inc()
            logger.info(
                "key refused",
                extra={
                    "queue": queue.name,
                    "method": environ["REQUEST_METHOD"],
                    "reason": reason,
                    "version": configuration.version,
                },
            )
    return result


def _refuse_key(
    start_response: StartResponse,
    headers: list[tuple[str, str]],
    failure: KeyFailure,
    environ: Environ,
) -> list[bytes]:
    headers.append(("WWW-Authenticate", "Bearer"))
    if "HTTP_TRANSFER_ENCODING" in environ:
        # Not every server skips the rest of a body in chunks.
        headers.append(("Connection", "close"))
    reason = {"reason": f"{failure.problem.value} key"}
    return _answer(start_response, HTTPStatus.UNAUTHORIZED, reason, headers)


def build_requester_application(
    handler: JobRequestHandler,
    get_configuration: Callable[[], FleetConfiguration | None],
    is_stopping: Callable[[], bool],
    clock: Clock,
    get_cap_share: Callable[[], float] = lambda: 1.0,
) -> Callable[[Environ, StartResponse], list[bytes]]:
    """Return the WSGI application that serves callers.

    While `is_stopping`, answers ask callers to close their connections.
    `get_cap_share` returns the part of a cap that a job's shard may use.
    """
    return _RequesterApplication(
        handler, get_configuration, is_stopping, clock, get_cap_share
    )


def build_ready_application(
    is_ready: Callable[[], bool],
) -> Callable[[Environ, StartResponse], list[bytes]]:
    """Return the WSGI application for the load balancer's health checks."""

    def answer(environ: Environ, start_response: StartResponse) -> list[bytes]:
        if environ.get("PATH_INFO") != READY_PATH:
            return _answer(start_response, HTTPStatus.NOT_FOUND)
        if is_ready():
            return _answer(start_response, HTTPStatus.OK)
        return _answer(start_response, HTTPStatus.SERVICE_UNAVAILABLE)

    return answer
