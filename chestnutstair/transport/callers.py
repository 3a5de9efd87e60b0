"""The HTTP server for callers, built on cherrypy and cheroot."""

import re
import uuid
from typing import Any, ClassVar

import cheroot.wsgi
import cherrypy
from cheroot.errors import MaxSizeExceeded
from result import Err, Ok, Result

from chestnutstair.coordination.forwarder import Forwarder
from chestnutstair.coordination.request import Answer, Ran, Request
from chestnutstair.protocol.callers import (
    BadHeaderFailure,
    BodyFailure,
    BodyTooLargeFailure,
    CallOptions,
    CallSettings,
    InternalFailure,
    UnknownPathFailure,
    build_error,
    build_outcome_answer,
    parse_options,
)
from chestnutstair.state.deadline import Clock, Deadline, SystemClock
from chestnutstair.state.failure import Failure
from chestnutstair.transport.server import (
    BODY_READ_KEY,
    Refusal,
    ServerSettings,
    build_server,
)

__all__ = ["build_callers_application", "build_callers_server"]

PATH_PREFIX = "/call/"
CHUNK_BYTES = 65536
# Headers that cherrypy may also set. The answer's values replace those of
# cherrypy, so that each header is sent only once.
REPLACED_HEADERS = ("Content-Length", "Content-Type", "Date", "Server")


class _CallHandler:
    """Handles each request on the server thread that has read its headers."""

    def __init__(
        self, forwarder: Forwarder, settings: CallSettings, clock: Clock
    ) -> None:
        self._forwarder = forwarder
        self._settings = settings
        self._clock = clock

    def dispatch(self, path_info: str) -> None:
        """Route every path to `handle` instead of cherrypy's object tree."""
        request = cherrypy.serving.request
        request.config = {**cherrypy.config, **request.app.config["/"]}
        request.handler = self.handle

    def handle(self) -> bytes:
        """Forward the current request and return the answer's body."""
        request = cherrypy.serving.request
        parsed = parse_options(request.method, request.headers, self._settings)
        match parsed:
            case Err(failure):
                answer = build_error(uuid.uuid4().hex, failure, Ran.NO)
                self._close_after_answer()
            case Ok(options):
                answer = self._forward_request(request, options)
        if self._forwarder.is_stopping():
            # The caller's next request then goes to another daemon.
            self._close_after_answer()
        return _set_response(request, answer)

    def _close_after_answer(self) -> None:
        """Set the header that makes the server close the connection."""
        cherrypy.serving.response.headers["Connection"] = "close"

    def _forward_request(self, request: Any, options: CallOptions) -> Answer:
        arrived = self._clock.read_monotonic()
        deadline = Deadline(arrived + options.timeout_seconds)
        uri = request.wsgi_environ.get("REQUEST_URI", request.path_info)
        path_parts = _split_path(uri)
        if isinstance(path_parts, Err):
            self._close_after_answer()
            return build_error(
                options.request_id, path_parts.err_value, Ran.NO
            )
        body = self._read_body(request)
        if isinstance(body, Err):
            self._close_after_answer()
            return build_error(options.request_id, body.err_value, Ran.NO)
        # The body has arrived: end the time limit on reading the request.
        request.wsgi_environ.get(BODY_READ_KEY, bool)()
        if "Transfer-Encoding" in request.headers:
            # Not every server that may run this application reads trailers.
            # The remaining bytes must not be read as another request.
            self._close_after_answer()
        service, path = path_parts.ok_value
        call = Request(
            id=options.request_id,
            service=service,
            method=request.method,
            path=path,
            deadline=deadline,
            headers=_build_headers(request.wsgi_environ),
            body=body.ok_value,
            urgency=options.urgency,
            idempotent=options.idempotent,
            has_caller_id=options.has_caller_id,
            first_attempt=options.first_attempt,
        )
        return build_outcome_answer(self._forwarder.forward(call))

    def _read_body(self, request: Any) -> Result[bytes, Failure]:
        chunked = "Transfer-Encoding" in request.headers
        declared_length = (
            "0" if chunked else request.headers.get("Content-Length", "0")
        )
        if not re.fullmatch(r"[0-9]{1,18}", declared_length):
            return Err(BadHeaderFailure("Content-Length", "not a number"))
        limit = self._settings.body_bytes
        if int(declared_length) > limit:
            return Err(BodyTooLargeFailure(limit))
        try:
            body = _read_stream(request.wsgi_environ["wsgi.input"], limit)
        except MaxSizeExceeded:
            return Err(BodyTooLargeFailure(limit))
        except (OSError, ValueError) as error:
            return Err(BodyFailure(type(error).__name__))
        if len(body) > limit:
            return Err(BodyTooLargeFailure(limit))
        if not chunked and len(body) != int(declared_length):
            return Err(BodyFailure("ended early"))
        return Ok(body)


def _build_headers(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    headers = [
        (key.removeprefix("HTTP_").replace("_", "-").title(), value)
        for key, value in environ.items()
        if key.startswith("HTTP_")
    ]
    if "CONTENT_TYPE" in environ:
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _read_stream(stream: Any, limit: int) -> bytes:
    parts = []
    size = 0
    while size <= limit and (part := stream.read(CHUNK_BYTES)):
        parts.append(part)
        size += len(part)
    return b"".join(parts)


def _split_path(uri: str) -> Result[tuple[str, str], UnknownPathFailure]:
    if not uri.startswith(PATH_PREFIX):
        return Err(UnknownPathFailure(uri))
    service, slash, rest = uri[len(PATH_PREFIX) :].partition("/")
    if not service or not slash:
        return Err(UnknownPathFailure(uri))
    return Ok((service, "/" + rest))


def _set_response(request: Any, answer: Answer) -> bytes:
    """Set the status and headers of the response, and return its body."""
    response = cherrypy.serving.response
    response.status = answer.status
    response.headers.pop("Content-Type", None)
    for name in REPLACED_HEADERS:
        for key, value in answer.headers:
            if key.lower() == name.lower():
                response.headers[name] = value
    if request.method != "HEAD" or answer.body:
        response.headers["Content-Length"] = str(len(answer.body))
    others = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
        if name.title() not in REPLACED_HEADERS
    ]
    request.hooks.attach(
        "on_end_resource", lambda: response.header_list.extend(others)
    )
    return answer.body


def _render_error(status: str, message: str, **_: str) -> str:
    """Render an error raised by cherrypy in the format of `build_error`.

    cherrypy raises 4xx errors before the request is forwarded, so nothing ran.
    """
    response = cherrypy.serving.response
    ran = Ran.NO if status.startswith("4") else Ran.UNKNOWN
    answer = build_error(uuid.uuid4().hex, InternalFailure(status), ran)
    for name, value in answer.headers:
        response.headers[name] = value
    response.headers["Connection"] = "close"
    return answer.body.decode()


def _render_refusal(status: str, reason: str) -> Refusal:
    """Render a refusal of the server.

    It refuses with 4xx and 503 before the application gets the request.
    """
    failure = InternalFailure(f"{status}: {reason}")
    ran = Ran.NO if status.startswith(("4", "503")) else Ran.UNKNOWN
    answer = build_error(uuid.uuid4().hex, failure, ran)
    return tuple(answer.headers), answer.body


class _CallRequest(cherrypy.Application.request_class):
    """A request whose errors before dispatch are rendered as JSON."""

    show_tracebacks = False
    error_page: ClassVar = {"default": _render_error}


def build_callers_application(
    forwarder: Forwarder,
    settings: CallSettings,
    clock: Clock | None = None,
) -> cherrypy.Application:
    """Return the WSGI application that serves /call/{service}/{path}."""
    handler = _CallHandler(forwarder, settings, clock or SystemClock())
    config = {
        "request.dispatch": handler.dispatch,
        "request.process_request_body": False,
        "request.query_string_encoding": "latin-1",
        "tools.log_headers.on": False,
        "tools.log_tracebacks.on": False,
        "tools.trailing_slash.on": False,
    }
    application = cherrypy.Application(None, "", {"/": config})
    application.request_class = _CallRequest
    application.log.access_log.propagate = False
    application.log.screen = False
    return application


def build_callers_server(
    application: Any,
    address: tuple[str, int],
    settings: CallSettings,
    threads: int,
    backlog: int = 1024,
    clock: Clock | None = None,
) -> cheroot.wsgi.Server:
    """Return the server, not yet listening.

    `backlog` limits the connections that wait to be accepted.
    """
    server_settings = ServerSettings(
        threads=threads,
        backlog=backlog,
        connections=settings.connections,
        waiting_requests=settings.waiting_requests,
        header_bytes=settings.header_bytes,
        body_bytes=settings.body_bytes,
        idle_seconds=settings.idle_seconds,
        read_seconds=settings.read_seconds,
    )
    server = build_server(
        address,
        application,
        server_settings,
        clock or SystemClock(),
        "callers",
        _render_refusal,
    )
    # The application refuses a larger declared length.
    server.max_request_body_size = 0
    return server
