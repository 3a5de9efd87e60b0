"""Processes for load tests: targets, daemons and callers."""

import http.client
import multiprocessing
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any

import cherrypy
import urllib3

from chestnutstair.coordination.admission import AdmissionSettings
from chestnutstair.coordination.claims import ClaimSettings, ClaimStore
from chestnutstair.coordination.forwarder import Forwarder, ForwarderSettings
from chestnutstair.protocol.callers import CallSettings
from chestnutstair.standins.table import MemoryTable
from chestnutstair.state.deadline import SystemClock
from chestnutstair.tests.requests_support import (
    FixedMembership,
    RecordingMessenger,
    build_runner_log,
)
from chestnutstair.transport.callers import (
    build_callers_application,
    build_callers_server,
)
from chestnutstair.transport.reaper import SocketReaper
from chestnutstair.transport.targets import HttpTargetClient, TargetSettings

__all__ = [
    "CallReport",
    "run_callers",
    "serve_daemon",
    "serve_naive",
    "serve_targets",
    "start_process",
]

THREADS = 96
SETTLE_SECONDS = 0.5
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + b"x" * 100


def _serve_connection(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = sock.makefile("rb")
    while reader.readline():
        while reader.readline() not in (b"\r\n", b""):
            pass
        sock.sendall(ANSWER)


def _accept(listener: socket.socket) -> None:
    while True:
        sock, _ = listener.accept()
        thread = threading.Thread(
            target=_serve_connection, args=(sock,), daemon=True
        )
        thread.start()


def serve_targets(pipe: Connection, count: int) -> None:
    """Serve targets that answer every request at once with the same text.

    Sends the list of their addresses over the pipe.
    """
    listeners = [
        socket.create_server(("127.0.0.1", 0), backlog=512)
        for _ in range(count)
    ]
    for listener in listeners:
        threading.Thread(target=_accept, args=(listener,), daemon=True).start()
    pipe.send([f"127.0.0.1:{s.getsockname()[1]}" for s in listeners])
    threading.Event().wait()


def _serve(pipe: Connection, application: Any) -> None:
    server = build_callers_server(
        application, ("127.0.0.1", 0), CallSettings(), THREADS
    )
    server.prepare()
    pipe.send(server.bind_addr[1])
    server.serve()


def serve_daemon(pipe: Connection, addresses: list[str]) -> None:
    """Serve the full request path of one daemon; send its port."""
    clock = SystemClock()
    membership = FixedMembership()
    forwarder = Forwarder(
        build_runner_log(clock, addresses),
        HttpTargetClient(clock, TargetSettings(), SocketReaper(clock)),
        clock,
        membership,
        RecordingMessenger(),
        ClaimStore(MemoryTable(), clock, membership, ClaimSettings()),
        ForwarderSettings(
            admission=AdmissionSettings(threads=THREADS, pool_share=1.0)
        ),
    )
    forwarder.start()
    _serve(pipe, build_callers_application(forwarder, CallSettings()))


class _NaiveForwarder:
    """Forwards to the targets round-robin, without admission control."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._next = 0
        self._manager = urllib3.PoolManager(maxsize=THREADS)

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Forward the current request."""
        request = cherrypy.serving.request
        self._next += 1
        address = self._addresses[self._next % len(self._addresses)]
        answer = self._manager.request(
            request.method,
            f"http://{address}/" + "/".join(path[2:]),
            headers=dict(request.headers),
            retries=False,
        )
        cherrypy.serving.response.status = answer.status
        return answer.data


def serve_naive(pipe: Connection, addresses: list[str]) -> None:
    """Serve a daemon that only forwards, as a baseline; send its port."""
    application = cherrypy.Application(
        _NaiveForwarder(addresses), "", {"/": {}}
    )
    application.log.screen = False
    application.log.access_log.propagate = False
    _serve(pipe, application)


@dataclass(frozen=True)
class CallReport:
    """Throughput and latency of the successful calls."""

    rate: float  # calls a second
    median_ms: float
    p99_ms: float


def _call(port: int, end: float, times: list[float]) -> None:
    connection = http.client.HTTPConnection("127.0.0.1", port, 10)
    while time.monotonic() < end:
        started = time.monotonic()
        connection.request("GET", "/call/quotes/price")
        answer = connection.getresponse()
        answer.read()
        if answer.status == 200:
            times.append(time.monotonic() - started)
    connection.close()


def run_callers(
    pipe: Connection, port: int, callers: int, seconds: float
) -> None:
    """Call in a closed loop on `callers` threads and send a CallReport."""
    times: list[float] = []
    end = time.monotonic() + seconds
    threads = [
        threading.Thread(target=_call, args=(port, end, times))
        for _ in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    times.sort()
    pipe.send(
        CallReport(
            len(times) / seconds,
            times[len(times) // 2] * 1000,
            times[int(len(times) * 0.99)] * 1000,
        )
    )


@contextmanager
def start_process(target: Callable[..., None], *args: Any) -> Iterator[Any]:
    """Run the function in a new process; yield the first value it sends."""
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(
        target=target, args=(theirs, *args), daemon=True
    )
    process.start()
    try:
        yield ours.recv()
    finally:
        process.terminate()
        process.join()
