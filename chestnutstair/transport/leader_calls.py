"""HTTP calls with JSON bodies between the nodes of a scheduler."""

import base64
import json
import logging
import re
import threading
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import asdict, replace
from functools import cache, lru_cache
from http import HTTPStatus
from typing import Any, TypeVar
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
from chestnutstair.scheduling.shards.layout import MAX_SHARDS
from chestnutstair.state.deadline import Clock, Deadline
from chestnutstair.state.fields import (
    MalformedFieldError,
    is_text,
    parse_object,
    read_list,
    read_number,
    read_object,
    read_text,
    read_whole,
)
from chestnutstair.transport.json_calls import call_json
from chestnutstair.transport.platform_client import (
    PlatformClient,
    PlatformClientSettings,
    connect_to_address,
)

__all__ = ["HttpLeaderLink", "ShardStatusSource", "build_node_application"]

T = TypeVar("T")

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
# Longest pause between status calls that a leader may ask for: that of 2,400
# pollers at 80 calls a second.
MAX_POLL_SECONDS = 30.0
SHARD = re.compile(r"[0-9]{1,3}")
# The store's limit of a row's value, in base64.
MAX_VALUE_LENGTH = 90_000


class _Messages:
    """Messages to one shard's leader that wait to be sent."""

    def __init__(self) -> None:
        self.queue: deque[tuple[str, dict[str, Any]]] = deque(
            maxlen=MESSAGE_QUEUE_LENGTH
        )
        self.count = threading.Semaphore(0)


class ShardStatusSource(StatusSource):
    """Status calls to other nodes about one shard."""

    def __init__(self, link: "HttpLeaderLink", shard: int) -> None:
        self._link = link
        self._shard = shard

    def ask_status(
        self, address: str, seconds: float
    ) -> Result[LeaderStatus, PlatformFailure]:
        """Return the status of the node at the address in the shard."""
        return self._link.ask_status(address, seconds, self._shard)


class HttpLeaderLink(LeaderLink):
    """Client for calls to the leaders' nodes and to other nodes.

    Parameters called `seconds` are timeouts.

    - `get_address`: returns the address of a shard's leader, empty if none
      is known.
    - `find_shard`: returns the shard of a job.
    - `on_failure`: called with a shard whose leader did not answer.
    - `name`, `address`: those of this node. The nodes that it calls remember
      them, and leaders count their pollers by name.
    """

    def __init__(
        self,
        clock: Clock,
        get_address: Callable[[int], str],
        find_shard: Callable[[str], int] = lambda job: 0,
        on_failure: Callable[[int], None] = lambda shard: None,
        name: str = "",
        address: str = "",
    ) -> None:
        self._clock = clock
        self._get_address = get_address
        self._find_shard = find_shard
        self._on_failure = on_failure
        self._identity = {"name": name, "address": address}
        # Bounded, because nodes that have been replaced are not called again.
        self._connect = lru_cache(MAX_CLIENTS)(self._build_client)
        # One queue for each shard, so that a leader that does not answer
        # delays no messages to the others.
        self._get_messages = cache(self._start_messages)
        self._messages_lock = threading.Lock()

    def _start_messages(self, shard: int) -> "_Messages":
        messages = _Messages()
        threading.Thread(
            target=self._send_messages,
            args=(shard, messages),
            name=f"messages {shard}",
            daemon=True,
        ).start()
        return messages

    def _build_client(
        self, address: str
    ) -> Result[PlatformClient, UnavailableFailure]:
        settings = PlatformClientSettings(CONNECTIONS_PER_NODE)
        return connect_to_address(address, self._clock, settings)

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
        answer = self._connect(address).and_then(
            lambda client: call_json(client, method, path, body, deadline)
        )
        match answer:
            case Ok((HTTPStatus.OK, fields)):
                return Ok(fields)
            case Ok((status, _)):
                return Err(RefusedFailure(f"status {status}"))
            case Err(failure):
                return Err(failure)
        raise AssertionError(answer)

    def _call_leader(
        self,
        shard: int,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        seconds: float,
    ) -> Result[dict[str, Any], PlatformFailure]:
        address = self._get_address(shard)
        answer = self._call(address, method, path, body, seconds)
        if answer.is_err():
            self._on_failure(shard)
        return answer

    def _query_leader(
        self, shard: int, path: str, seconds: float, **query: str
    ) -> Result[dict[str, Any], PlatformFailure]:
        path_and_query = f"{path}?{urlencode({**query, 'shard': shard})}"
        return self._call_leader(shard, "GET", path_and_query, None, seconds)

    def ask_status(
        self, address: str, seconds: float, shard: int = 0
    ) -> Result[LeaderStatus, PlatformFailure]:
        """Return the status of the node at the address in a shard."""
        query = {**self._identity, "shard": str(shard)}
        return self._ask_status(address, seconds, query)

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
        return _read_answer(answer, _encode_body)

    def ask_job_state(
        self, job: str, seconds: float
    ) -> Result[str, PlatformFailure]:
        """Return a job's state, empty if the leader does not know the job."""
        shard = self._find_shard(job)
        answer = self._query_leader(shard, JOB_PATH, seconds, job=job)
        return _read_answer(answer, lambda body: read_text(body, "state"))

    def ask_job_owner(
        self, job: str, seconds: float
    ) -> Result[JobOwner | None, PlatformFailure]:
        """Return a job's owner, None if the leader does not know the job.

        A leader of a version without organisations fails.
        """
        shard = self._find_shard(job)
        answer = self._query_leader(shard, JOB_PATH, seconds, job=job)
        return answer.and_then(_read_job_owner)

    def ask_pending_count(
        self, queue: str, seconds: float
    ) -> Result[int, PlatformFailure]:
        """Return how many jobs of a queue have not started any task."""
        answer = self._query_leader(0, PENDING_PATH, seconds, queue=queue)
        return _read_answer(answer, lambda body: read_whole(body, "pending"))

    def ask_pending_counts(
        self, shard: int, seconds: float
    ) -> Result[dict[str, int], PlatformFailure]:
        """Return a shard's counts of jobs without a started task, by queue."""
        answer = self._query_leader(shard, PENDING_PATH, seconds)
        return _read_answer(answer, _read_counts)

    def relay_submission(
        self, job: str, value: bytes, seconds: float
    ) -> Result[None, PlatformFailure]:
        """Store a submission through the leader's node."""
        shard = self._find_shard(job)
        body = {
            "job": job,
            "value": base64.b64encode(value).decode(),
            "shard": shard,
        }
        answer = self._call_leader(shard, "POST", SUBMIT_PATH, body, seconds)
        return answer.map(lambda _: None)

    def relay_cancel(
        self, job: str, seconds: float
    ) -> Result[bool, PlatformFailure]:
        """Cancel a job through the leader's node.

        Returns whether the job exists.
        """
        shard = self._find_shard(job)
        body = {"job": job, "shard": shard}
        answer = self._call_leader(shard, "POST", CANCEL_PATH, body, seconds)
        return _read_answer(answer, _read_cancelled)

    def notify_stored(self, job: str, value: bytes) -> None:
        """Notify the leader of a stored submission, without waiting."""
        body = {"job": job, "value": base64.b64encode(value).decode()}
        self._queue_message(STORED_PATH, body)

    def notify_cancelled(self, job: str) -> None:
        """Notify the leader of a stored cancellation, without waiting."""
        self._queue_message(CANCELLED_PATH, {"job": job})

    def _queue_message(self, path: str, body: dict[str, Any]) -> None:
        shard = self._find_shard(body["job"])
        with self._messages_lock:
            messages = self._get_messages(shard)
        messages.queue.append((path, {**body, "shard": shard}))
        messages.count.release()

    def _send_messages(self, shard: int, messages: "_Messages") -> None:
        while True:
            messages.count.acquire()
            try:
                path, body = messages.queue.popleft()
            except IndexError:
                continue  # the deque dropped it when it was full
            try:
                answer = self._call_leader(
                    shard, "POST", path, body, MESSAGE_TIMEOUT_SECONDS
                )
            except Exception:
                # If the thread ended, the leader would get no more messages
                # of this node.
                logger.exception("message to the leader raised an error")
                continue
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
                leading=_read_flag(body, "leading"),
                epoch=read_whole(body, "epoch"),
                age_seconds=read_number(body, "age_seconds"),
                configuration_version=read_whole(
                    body, "configuration_version"
                ),
                leader_address=read_text(body, "leader_address", ""),
                members=_read_addresses(body, "members", MAX_STATUS_ADDRESSES),
                poll_seconds=min(
                    read_number(body, "poll_seconds", 0.0), MAX_POLL_SECONDS
                ),
                leaders=_read_addresses(body, "leaders", MAX_SHARDS),
            )
        )
    except MalformedFieldError as error:
        return Err(UnavailableFailure(f"unreadable status: {error}"))


def _read_flag(body: dict[str, Any], name: str) -> bool:
    value = body.get(name)
    if type(value) is not bool:
        raise MalformedFieldError(f"{name}: not a Boolean")
    return value


def _read_cancelled(body: dict[str, Any]) -> bool:
    """Return whether a job that has been cancelled is known.

    A node of an earlier version stores nothing for one that is not.
    """
    is_known = _read_flag(body, "known")
    if not is_known and body.get("stored") is not True:
        raise MalformedFieldError("stored: the job is not cancelled")
    return is_known


def _read_addresses(
    body: dict[str, Any], name: str, limit: int
) -> tuple[str, ...]:
    items = read_list(body, name, [])
    return tuple(item for item in items if is_text(item))[:limit]


def _read_answer(
    answer: Result[dict[str, Any], PlatformFailure],
    read: Callable[[dict[str, Any]], T],
) -> Result[T, PlatformFailure]:
    """Decode an answer; one that cannot be decoded counts as none."""
    try:
        return answer.map(read)
    except MalformedFieldError as error:
        return Err(UnknownOutcomeFailure(f"unreadable answer: {error}"))


def _encode_body(body: dict[str, Any]) -> bytes:
    try:
        return json.dumps(body).encode()
    except RecursionError:
        raise MalformedFieldError("nested too deeply") from None


def _read_counts(body: dict[str, Any]) -> dict[str, int]:
    counts = read_object(body, "counts")
    return {queue: read_whole(counts, queue) for queue in counts}


# Fields of a status since the first version of this program. It rejects a
# status with others, and its calls do not name the caller.
FIRST_STATUS_FIELDS = (
    "leading",
    "epoch",
    "age_seconds",
    "configuration_version",
)


def _encode_status(status: LeaderStatus, extended: bool) -> dict[str, Any]:
    """Encode a status, with the first fields only unless `extended`.

    The first version treats a status with unknown fields as no answer, and
    then the leader as lost.
    """
    body = asdict(status)
    if extended:
        return body
    return {name: body[name] for name in FIRST_STATUS_FIELDS}


def _read_job_owner(
    body: dict[str, Any],
) -> Result[JobOwner | None, PlatformFailure]:
    try:
        fields = body["owner"]
        if fields is None:
            return Ok(None)
        fields = read_object(body, "owner")
        return Ok(
            JobOwner(
                read_text(fields, "organisation"),
                read_text(fields, "queue"),
                fields["public"] is True,
            )
        )
    except (KeyError, MalformedFieldError) as error:
        return Err(UnavailableFailure(f"unreadable owner: {error!r}"))


StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]


class _NodeApplication:
    """Serves calls from other nodes, and metrics."""

    def __init__(
        self,
        get_status: Callable[[int, str], LeaderStatus],
        get_leader: Callable[[int], Leader | None],
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
            status, body = self._handle_body(path, environ)
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return _send_response(start_response, status, data, "application/json")

    def _handle_body(
        self, path: str, environ: Environ
    ) -> tuple[HTTPStatus, Any]:
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            fields = parse_object(environ["wsgi.input"].read(length))
            job = read_text(fields, "job", "")
            value = base64.b64decode(
                read_text(fields, "value", "", MAX_VALUE_LENGTH)
            )
        except ValueError as error:
            return HTTPStatus.BAD_REQUEST, {"reason": str(error)}
        shard = _read_shard(fields.get("shard", 0))
        return self._handle_command(path, shard, job, value)

    def _handle_query(
        self, path: str, query: dict[str, list[str]]
    ) -> tuple[HTTPStatus, Any]:
        shard = _read_shard(query.get("shard", ["0"])[0])
        if path == STATUS_PATH:
            return self._handle_status_query(shard, query)
        if path == CONFIGURATION_PATH:
            value = self._get_configuration()
            if value is None:
                return HTTPStatus.SERVICE_UNAVAILABLE, {}
            return HTTPStatus.OK, value
        leader = self._get_leader(shard)
        if leader is None:
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        if path == JOB_PATH:
            job = query.get("job", [""])[0]
            state = self._request_handler.get_stored_state(leader, job)
            owner = self._request_handler.get_owner(leader, job)
            return HTTPStatus.OK, {
                "state": state,
                "owner": None if owner is None else vars(owner),
            }
        if path == PENDING_PATH and "queue" not in query:
            return HTTPStatus.OK, {"counts": leader.count_pending_by_queue()}
        if path == PENDING_PATH:
            with leader.tracker.lock:
                count = leader.tracker.count_pending(query["queue"][0])
            return HTTPStatus.OK, {"pending": count}
        return HTTPStatus.NOT_FOUND, {}

    def _handle_status_query(
        self, shard: int, query: dict[str, list[str]]
    ) -> tuple[HTTPStatus, Any]:
        # Nodes of the previous version do not say who they are.
        name = query.get("name", [""])[0][:MAX_ADDRESS_LENGTH]
        address = query.get("address", [""])[0]
        is_usable = len(address) <= MAX_ADDRESS_LENGTH
        names_members = is_usable and self._members.record_call(name, address)
        if "member" in query and not self._members.admit_call():
            return HTTPStatus.TOO_MANY_REQUESTS, {}
        status = self._get_status(shard, name)
        if names_members:
            status = replace(status, members=self._members.sample_heard())
        return HTTPStatus.OK, _encode_status(status, bool(name))

    def _handle_command(
        self, path: str, shard: int, job: str, value: bytes
    ) -> tuple[HTTPStatus, Any]:
        leader = self._get_leader(shard)
        deadline = Deadline.after(self._clock, RELAY_TIMEOUT_SECONDS)
        if path == SUBMIT_PATH:
            submitted = self._request_handler.store_submission(
                job, value, deadline
            )
            return _choose_status(submitted), {}
        if path == CANCEL_PATH:
            cancelled = self._request_handler.store_cancel(job, deadline)
            return _choose_status(cancelled), {
                "known": cancelled.unwrap_or(False),
                "stored": cancelled.is_ok(),
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


def _read_shard(value: object) -> int:
    """Return the number of a shard, -1 for none."""
    if type(value) is int and 0 <= value < MAX_SHARDS:
        return value
    if type(value) is str and SHARD.fullmatch(value):
        return int(value)
    return -1


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
    get_status: Callable[[int, str], LeaderStatus],
    get_leader: Callable[[int], Leader | None],
    get_configuration: Callable[[], bytes | None],
    request_handler: JobRequestHandler,
    clock: Clock,
    members: Members,
) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    """Return the WSGI application for calls from other nodes.

    `get_status` is called with a shard and the name of the node that asks,
    empty for one of the first version of this program. `get_leader` returns
    None while this node does not lead the shard.
    """
    return _NodeApplication(
        get_status,
        get_leader,
        get_configuration,
        request_handler,
        clock,
        members,
    )
