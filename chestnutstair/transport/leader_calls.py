"""HTTP calls with JSON bodies between the nodes of a scheduler."""

import base64
import json
import logging
import threading
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import lru_cache
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlencode

from prometheus_client import generate_latest
from result import Err, Ok, Result

from chestnutstair.coordination.platform import (
    PlatformFailure,
    RefusedFailure,
    UnavailableFailure,
    UnknownOutcomeFailure,
)
from chestnutstair.scheduling.access import JobOwner
from chestnutstair.scheduling.election import LeaderStatus, StatusSource
from chestnutstair.scheduling.job_requests import JobRequestHandler, LeaderLink
from chestnutstair.scheduling.leader import Leader
from chestnutstair.scheduling.members import MAX_MEMBERS, Members
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.transport.json_calls import call_json, parse_json_object
from chestnutstair.transport.platform_client import (
    PlatformClient,
    PlatformClientSettings,
)

__all__ = ["HttpLeaderLink", "build_node_application"]

logger = logging.getLogger(__name__)

STATUS_PATH = "/node/status"
CONFIGURATION_PATH = "/node/configuration"
JOB_PATH = "/node/job"
PENDING_PATH = "/node/pending"
STORED_PATH = "/node/stored"
CANCELLED_PATH = "/node/cancelled"
SUBMIT_PATH = "/node/submit"
CANCEL_PATH = "/node/cancel"
METRICS_PATH = "/metrics"

CONNECTIONS_PER_NODE = 8
# The leader and the members, and as many that have been replaced.
MAX_CLIENTS = 2 * MAX_MEMBERS
# Most addresses that are read from a status, and their greatest length.
MAX_STATUS_ADDRESSES = 64
MAX_ADDRESS_LENGTH = 255
# Losing a message is safe: the leader also reads the store's change feed.
MESSAGE_TIMEOUT_SECONDS = 0.5
# Messages queued while the leader does not answer; beyond that, the oldest
# are dropped.
MESSAGE_QUEUE_LENGTH = 500
# How long this node tries to store a relayed submission or cancellation.
RELAY_TIMEOUT_SECONDS = 0.8


class HttpLeaderLink(LeaderLink, StatusSource):
    """Client for calls to the leader's node and to other nodes.

    `get_address` returns the leader's address, empty if none is known. `name`
    and `address` are this node's, which the nodes that it calls remember.
    Parameters called `seconds` are timeouts.
    """

    def __init__(
        self,
        clock: Clock,
        get_address: Callable[[], str],
        name: str = "",
        address: str = "",
    ) -> None:
        self._clock = clock
        self._get_address = get_address
        self._identity = {"name": name, "address": address}
        # Bounded, because nodes that have been replaced are not called again.
        self._connect = lru_cache(MAX_CLIENTS)(self._build_client)
        self._messages: deque[tuple[str, dict[str, Any]]] = deque(
            maxlen=MESSAGE_QUEUE_LENGTH
        )
        self._queued_count = threading.Semaphore(0)
        threading.Thread(
            target=self._send_messages, name="messages", daemon=True
        ).start()

    def _build_client(self, address: str) -> PlatformClient:
        settings = PlatformClientSettings(CONNECTIONS_PER_NODE)
        return PlatformClient(
            f"http://{address}", "", "", self._clock, settings
        )

    def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        seconds: float,
    ) -> Result[dict[str, Any], PlatformFailure]:
        if not address:
            return Err(UnavailableFailure("no leader is known"))
        deadline = Deadline.after(self._clock, seconds)
        answer = call_json(
            self._connect(address), method, path, body, deadline
        )
        match answer:
            case Ok((HTTPStatus.OK, fields)):
                return Ok(fields)
            case Ok((status, _)):
                return Err(RefusedFailure(f"status {status}"))
            case Err(failure):
                return Err(failure)
        raise AssertionError(answer)

    def _query_leader(
        self, path: str, seconds: float, **query: str
    ) -> Result[dict[str, Any], PlatformFailure]:
        path_and_query = f"{path}?{urlencode(query)}"
        return self._call(
            self._get_address(), "GET", path_and_query, None, seconds
        )

    def ask_status(
        self, address: str, seconds: float
    ) -> Result[LeaderStatus, PlatformFailure]:
        """Return the status of the node at the address."""
        return self._ask_status(address, seconds, self._identity)

    def ask_member_status(
        self, address: str, seconds: float
    ) -> Result[LeaderStatus, PlatformFailure]:
        """Return the status of a member, which may refuse if it has many."""
        query = {**self._identity, "member": "1"}
        return self._ask_status(address, seconds, query)

    def _ask_status(
        self, address: str, seconds: float, query: dict[str, str]
    ) -> Result[LeaderStatus, PlatformFailure]:
        path = f"{STATUS_PATH}?{urlencode(query)}"
        answer = self._call(address, "GET", path, None, seconds)
        return answer.and_then(_read_status)

    def ask_configuration(
        self, address: str, seconds: float
    ) -> Result[bytes, PlatformFailure]:
        """Return the configuration of the node at the address, as JSON."""
        answer = self._call(address, "GET", CONFIGURATION_PATH, None, seconds)
        return answer.map(lambda body: json.dumps(body).encode())

    def ask_job_state(
        self, job: str, seconds: float
    ) -> Result[str, PlatformFailure]:
        """Return a job's state, empty if the leader does not know the job."""
        answer = self._query_leader(JOB_PATH, seconds, job=job)
        return answer.map(lambda body: str(body["state"]))

    def ask_job_owner(
        self, job: str, seconds: float
    ) -> Result[JobOwner | None, PlatformFailure]:
        """Return a job's owner, None if the leader does not know the job.

        A leader of a version without organisations fails.
        """
        answer = self._query_leader(JOB_PATH, seconds, job=job)
        return answer.and_then(_read_job_owner)

    def ask_pending_count(
        self, queue: str, seconds: float
    ) -> Result[int, PlatformFailure]:
        """Return how many jobs of a queue have not started any task."""
        answer = self._query_leader(PENDING_PATH, seconds, queue=queue)
        return answer.map(lambda body: int(body["pending"]))

    def relay_submission(
        self, job: str, value: bytes, seconds: float
    ) -> Result[None, PlatformFailure]:
        """Store a submission through the leader's node."""
        body = {"job": job, "value": base64.b64encode(value).decode()}
        address = self._get_address()
        answer = self._call(address, "POST", SUBMIT_PATH, body, seconds)
        return answer.map(lambda _: None)

    def relay_cancel(
        self, job: str, seconds: float
    ) -> Result[bool, PlatformFailure]:
        """Cancel a job through the leader's node.

        Returns whether the job exists.
        """
        address = self._get_address()
        answer = self._call(
            address, "POST", CANCEL_PATH, {"job": job}, seconds
        )
        return answer.map(lambda body: bool(body["known"]))

    def notify_stored(self, job: str, value: bytes) -> None:
        """Notify the leader of a stored submission, without waiting."""
        body = {"job": job, "value": base64.b64encode(value).decode()}
        self._queue_message(STORED_PATH, body)

    def notify_cancelled(self, job: str) -> None:
        """Notify the leader of a stored cancellation, without waiting."""
        self._queue_message(CANCELLED_PATH, {"job": job})

    def _queue_message(self, path: str, body: dict[str, Any]) -> None:
        self._messages.append((path, body))
        self._queued_count.release()

    def _send_messages(self) -> None:
        while True:
            self._queued_count.acquire()
            try:
                path, body = self._messages.popleft()
            except IndexError:
                continue  # the deque dropped it when it was full
            address = self._get_address()
            answer = self._call(
                address, "POST", path, body, MESSAGE_TIMEOUT_SECONDS
            )
            if answer.is_err():
                logger.info(
                    "message to the leader lost; "
                    "the leader will read the change from the store",
                    extra={"job": body["job"], "reason": str(answer.err())},
                )


def _read_status(
    body: dict[str, Any],
) -> Result[LeaderStatus, PlatformFailure]:
    """Decode a status; fields that this version does not know are ignored."""
    # A node of another version, or another program, may answer otherwise.
    try:
        return Ok(
            LeaderStatus(
                leading=body["leading"],
                epoch=body["epoch"],
                age_seconds=body["age_seconds"],
                configuration_version=body["configuration_version"],
                leader_address=str(body.get("leader_address", "")),
                members=_read_addresses(body.get("members", ())),
            )
        )
    except (KeyError, TypeError) as error:
        return Err(UnavailableFailure(f"unreadable status: {error!r}"))


def _read_addresses(items: Iterable[Any]) -> tuple[str, ...]:
    return tuple(item for item in items if isinstance(item, str))[
        :MAX_STATUS_ADDRESSES
    ]


def _encode_status(status: LeaderStatus, extended: bool) -> dict[str, Any]:
    """Encode a status; nodes of the previous version read no more fields.

    They treat a status with unknown fields as no answer, and then the leader
    as lost.
    """
    fields: dict[str, Any] = {
        "leading": status.leading,
        "epoch": status.epoch,
        "age_seconds": status.age_seconds,
        "configuration_version": status.configuration_version,
    }
    if extended:
        fields["leader_address"] = status.leader_address
        fields["members"] = status.members
    return fields


def _read_job_owner(
    body: dict[str, Any],
) -> Result[JobOwner | None, PlatformFailure]:
    try:
        fields = body["owner"]
        if fields is None:
            return Ok(None)
        return Ok(
            JobOwner(
                str(fields["organisation"]),
                str(fields["queue"]),
                fields["public"] is True,
            )
        )
    except (KeyError, TypeError) as error:
        return Err(UnavailableFailure(f"unreadable owner: {error!r}"))


StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]


class _NodeApplication:
    """Serves calls from other nodes, and metrics."""

    def __init__(
        self,
        get_status: Callable[[], LeaderStatus],
        get_leader: Callable[[], Leader | None],
        get_configuration: Callable[[], bytes | None],
        request_handler: JobRequestHandler,
        clock: Clock,
        members: Members,
    ) -> None:
        self._members = members
        self._get_status = get_status
        self._get_leader = get_leader
        self._get_configuration = get_configuration
        self._request_handler = request_handler
        self._clock = clock

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Serve one call as a WSGI application."""
        path = environ.get("PATH_INFO", "")
        if path == METRICS_PATH:
            return _send_response(
                start_response, HTTPStatus.OK, generate_latest(), "text/plain"
            )
        if environ["REQUEST_METHOD"] == "GET":
            query = parse_qs(environ.get("QUERY_STRING", ""))
            status, body = self._handle_query(path, query)
        else:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            fields = (
                parse_json_object(environ["wsgi.input"].read(length)) or {}
            )
            status, body = self._handle_command(path, fields)
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return _send_response(start_response, status, data, "application/json")

    def _handle_query(
        self, path: str, query: dict[str, list[str]]
    ) -> tuple[HTTPStatus, Any]:
        if path == STATUS_PATH:
            return self._handle_status_query(query)
        if path == CONFIGURATION_PATH:
            value = self._get_configuration()
            if value is None:
                return HTTPStatus.SERVICE_UNAVAILABLE, {}
            return HTTPStatus.OK, value
        leader = self._get_leader()
        if leader is None:
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        if path == JOB_PATH:
            job = query["job"][0]
            state = self._request_handler.get_stored_state(leader, job)
            owner = self._request_handler.get_owner(leader, job)
            return HTTPStatus.OK, {
                "state": state,
                "owner": None if owner is None else vars(owner),
            }
        if path == PENDING_PATH:
            with leader.tracker.lock:
                count = leader.tracker.count_pending(query["queue"][0])
            return HTTPStatus.OK, {"pending": count}
        return HTTPStatus.NOT_FOUND, {}

    def _handle_status_query(
        self, query: dict[str, list[str]]
    ) -> tuple[HTTPStatus, Any]:
        # Nodes of the previous version do not say who they are.
        name = query.get("name", [""])[0][:MAX_ADDRESS_LENGTH]
        address = query.get("address", [""])[0]
        is_usable = len(address) <= MAX_ADDRESS_LENGTH
        names_members = is_usable and self._members.record_call(name, address)
        if "member" in query and not self._members.admit_call():
            return HTTPStatus.TOO_MANY_REQUESTS, {}
        status = self._get_status()
        if names_members:
            status = replace(status, members=self._members.sample_heard())
        return HTTPStatus.OK, _encode_status(status, bool(address))

    def _handle_command(
        self, path: str, fields: dict[str, Any]
    ) -> tuple[HTTPStatus, Any]:
        leader = self._get_leader()
        job = str(fields.get("job", ""))
        value = base64.b64decode(fields.get("value", ""))
        deadline = Deadline.after(self._clock, RELAY_TIMEOUT_SECONDS)
        if path == SUBMIT_PATH:
            submitted = self._request_handler.store_submission(
                job, value, deadline
            )
            return _choose_status(submitted), {}
        if path == CANCEL_PATH:
            cancelled = self._request_handler.store_cancel(job, deadline)
            return _choose_status(cancelled), {
                "known": cancelled.unwrap_or(False)
            }
        if leader is None:
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        if path == STORED_PATH:
            leader.apply_submission(job, value)
            return HTTPStatus.OK, {}
        if path == CANCELLED_PATH:
            leader.apply_cancellation(job)
            return HTTPStatus.OK, {}
        return HTTPStatus.NOT_FOUND, {}


def _choose_status(result: Result[Any, PlatformFailure]) -> HTTPStatus:
    match result:
        case Ok(_):
            return HTTPStatus.OK
        case Err(UnknownOutcomeFailure()):
            return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.SERVICE_UNAVAILABLE


def _send_response(
    start_response: StartResponse,
    status: HTTPStatus,
    data: bytes,
    content_type: str,
) -> list[bytes]:
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(data))),
    ]
    start_response(f"{status.value} {status.phrase}", headers)
    return [data]


def build_node_application(
    get_status: Callable[[], LeaderStatus],
    get_leader: Callable[[], Leader | None],
    get_configuration: Callable[[], bytes | None],
    request_handler: JobRequestHandler,
    clock: Clock,
    members: Members,
) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    """Return the WSGI application for calls from other nodes.

    `get_leader` returns None while this node does not lead.
    """
    return _NodeApplication(
        get_status,
        get_leader,
        get_configuration,
        request_handler,
        clock,
        members,
    )
