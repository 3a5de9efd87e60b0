"""Connections that wait for their clients without a thread, within limits."""

import array
import contextlib
import fcntl
import io
import socket
import termios
import time
from collections.abc import Callable
from typing import Any

import cheroot.server
from cheroot.errors import MaxSizeExceeded
from cheroot.makefile import MakeFile, StreamReader, StreamWriter

from chestnutstair.state.deadline import Deadline
from chestnutstair.transport.arrival import (
    Arrival,
    ChunkedFraming,
    Framing,
    LengthFraming,
    RequestScan,
)
from chestnutstair.transport.request_body import TOO_LARGE, BodyError

__all__ = ["Connection", "RequestReader"]

RECEIVE_BYTES = 16 * 1024
SEND_BYTES = 256 * 1024
# How long a connection that is closed after an unread body is still read, so
# that the client can receive the answer.
LINGER_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1


class RequestReader(StreamReader):
    """Buffers the bytes of a connection, and knows when to read them.

    `build_scan` returns the scan of a request that begins.
    """

    # Of the base class, which has no type hints.
    _read_buf: bytes
    _read_pos: int

    def __init__(
        self, sock: socket.socket, build_scan: Callable[[], RequestScan]
    ) -> None:
        super().__init__(sock, "rb", RECEIVE_BYTES)
        self._build_scan = build_scan
        self._has_ended = False
        self.began_at = 0.0  # in seconds since the epoch, as cheroot counts
        self.begin_request()

    def begin_request(self) -> None:
        """Begin with the next request, of which a part may be buffered."""
        self.began_at = time.time()
        self._scan = self._build_scan()
        # peek() reads from the socket if nothing is buffered.
        self._check(self.peek(1) if super().has_data() else b"")

    def _check(self, data: bytes) -> None:
        self.size = len(data)
        self.arrival = Arrival.PARTIAL
        if data:
            self.arrival = self._scan.check(data)

    @property
    def framing(self) -> Framing | None:
        """Return the framing of the request, None without a whole head."""
        return self._scan.framing

    def receive(self) -> bool:
        """Receive once; return whether the connection is of further use."""
        try:
            data = self.raw.read(RECEIVE_BYTES)
        except OSError:
            return False
        if data:
            if not self.size:
                self.began_at = time.time()
            self._read_buf = self._read_buf[self._read_pos :] + data
            self._read_pos = 0
            self._check(self._read_buf)
        self._has_ended = data == b""
        return self.size > 0 or not self._has_ended

    def has_data(self) -> bool:
        """Return whether a thread should serve what has been buffered."""
        return self.arrival is not Arrival.PARTIAL or self._has_ended

    def take_request(self) -> io.BytesIO:
        """Remove the request, or what has arrived of it, from the buffer."""
        whole = self.arrival is Arrival.WHOLE
        return io.BytesIO(self.read(self._scan.end if whole else self.size))


class AnswerWriter(StreamWriter):
    """Sends what the socket takes at once, and keeps the rest of an answer."""

    _write_buf: bytearray  # of the base class, which has no type hints

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "wb")

    @property
    def unsent(self) -> int:
        """Return how many bytes the client has not made room for."""
        return len(self._write_buf)

    def _flush_unlocked(self) -> None:
        while self._write_buf:
            sent = self.raw.write(bytes(self._write_buf[:SEND_BYTES]))
            if sent is None:
                return
            del self._write_buf[:sent]


class _RestOfRequest(io.RawIOBase):
    """What has been buffered of a request, then what the client sends."""

    def __init__(self, buffered: io.BytesIO, raw: Any) -> None:
        self._buffered = buffered
        self._raw = raw

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read some bytes; none at the end of the stream."""
        return self._buffered.readinto(buffer) or self._raw.readinto(buffer)


class _UnbufferedRequest:
    """Reads a request from its client, within limits.

    `line_bytes` is the maximum size of all its lines: of head, chunk sizes
    and trailers.
    """

    closed = False

    def __init__(
        self, reader: RequestReader, most_bytes: int, line_bytes: int
    ) -> None:
        rest = _RestOfRequest(reader.take_request(), reader.raw)
        self._stream = io.BufferedReader(rest, RECEIVE_BYTES)
        self._most_bytes = most_bytes
        self._left = most_bytes
        self._lines_left = line_bytes

    def read(self, size: int) -> bytes:
        """Read `size` bytes; raises MaxSizeExceeded beyond the limit."""
        self._left -= size
        self._check()
        return self._stream.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Read a line; raises MaxSizeExceeded beyond the limit."""
        most = max(self._lines_left, 0) + 1
        line = self._stream.readline(min(size, most) if size >= 0 else most)
        self._left -= len(line)
        self._lines_left -= len(line)
        self._check()
        return line

    def _check(self) -> None:
        if min(self._left, self._lines_left) < 0:
            raise MaxSizeExceeded(TOO_LARGE, self._most_bytes)


class _Request(cheroot.server.HTTPRequest):
    """A request whose body ends where the scan of its bytes says."""

    def read_request_headers(self) -> bool:
        """Read the headers; refuse a request whose end is in doubt."""
        if not super().read_request_headers():
            return False
        if self._has_agreed_framing():
            return True
        self.simple_response("400 Bad Request", "Malformed framing")
        return False

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse the request, and let the connection be closed."""
        self.close_connection = True
        headers, body = self.server.render_refusal(str(status), msg)
        fields = {
            **dict(headers),
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
        if str(status).startswith("503"):
            fields["Retry-After"] = str(RETRY_AFTER_SECONDS)
        lines = [f"{self.server.protocol} {status}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self.conn.wfile.write(head + body)

    def respond(self) -> None:
        """Let the application answer; refuse a body that it cannot read."""
        try:
            super().respond()
        except (BodyError, MaxSizeExceeded) as error:
            self.close_connection = True
            if not self.sent_headers:
                is_large = isinstance(error, MaxSizeExceeded)
                status = f"413 {TOO_LARGE}" if is_large else "400 Bad Request"
                self.simple_response(status, str(error.args[0]))

    def _has_agreed_framing(self) -> bool:
        length = self.inheaders.get(b"Content-Length")
        encoding = self.inheaders.get(b"Transfer-Encoding")
        match self.conn.framing:
            case LengthFraming(expected):
                return encoding is None and int(length or 0) == expected
            case ChunkedFraming():
                return bool(self.chunked_read) and length is None
        return False


class Connection(cheroot.server.HTTPConnection):
    """A connection that occupies a thread only to serve a request."""

    RequestHandlerClass = _Request
    rfile: Any

    def __init__(
        self, server: Any, sock: socket.socket, makefile: Any = MakeFile
    ) -> None:
        sock.setblocking(False)
        self.reader = RequestReader(sock, server.build_scan)
        self.writer = AnswerWriter(sock)
        self._closes = False
        super().__init__(server, sock, self._make_file)
        # These caches refer to the connection, which would stay in memory
        # with its buffers until the next garbage collection.
        del self.resolve_peer_creds, self.get_peer_creds

    def _make_file(self, sock: socket.socket, mode: str, size: int) -> Any:
        return self.reader if "r" in mode else self.writer

    @property
    def framing(self) -> Framing | None:
        """Return the framing of the current request."""
        return self.reader.framing

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open.

        It also stays open for an answer that the client has not read.
        """
        server = self.server
        deadline = Deadline.after(server.clock, server.read_seconds)
        server.reaper.add(self.socket, deadline)
        try:
            if self.reader.arrival is Arrival.UNBUFFERED:
                self._serve_unbuffered()
                return False
            whole = self.reader.arrival is Arrival.WHOLE
            request = self.reader.take_request()
            server.table.release(self)
            if whole:
                keeps = self._serve(request)
            else:
                # The client has ended in the middle of a request.
                self._answer("400 Bad Request", "incomplete request")
                keeps = False
        finally:
            server.reaper.discard(self.socket)
        self._closes = not keeps
        return keeps or self.writer.unsent > 0

    def _serve(self, request: Any) -> bool:
        self.rfile = request
        try:
            return bool(super().communicate())
        finally:
            self.rfile = self.reader

    def _serve_unbuffered(self) -> None:
        """Serve a request that this thread reads from the client."""
        server = self.server
        with server.admit_reader() as admitted:
            if not admitted:
                self.refuse()
                return
            self.socket.settimeout(server.timeout)
            request = _UnbufferedRequest(
                self.reader, server.unbuffered_bytes, server.line_bytes
            )
            self._serve(request)
            self._linger()

    def send_rest(self) -> bool:
        """Send more of an answer; return whether the connection is of use."""
        try:
            self.writer.flush()
        except OSError:
            return False
        return self.writer.unsent > 0 or not self._closes

    def send_all(self) -> None:
        """Send the rest of an answer, and wait until the client has room."""
        with contextlib.suppress(OSError):
            self.socket.settimeout(self.server.timeout)
            self.writer.flush()

    def refuse(self) -> None:
        """Answer that the request was not served, and may be repeated."""
        self._answer("503 Service Unavailable", "too many requests")

    def _answer(self, status: str, reason: str) -> None:
        request = _Request(self.server, self)
        with contextlib.suppress(OSError):
            request.simple_response(status, reason)

    def _linger(self) -> None:
        """Read what the client still sends, so that it gets the answer."""
        deadline = Deadline.after(self.server.clock, LINGER_SECONDS)
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(LINGER_SECONDS)
            while not deadline.has_passed(self.server.clock):
                if not self.socket.recv(RECEIVE_BYTES):
                    return

    @property
    def unsent(self) -> int:
        """Return how many bytes of answers wait for the client."""
        return self.writer.unsent

    def count_unread(self) -> int:
        """Return how many bytes wait in the system's buffer."""
        size = array.array("i", [0])
        try:
            fcntl.ioctl(self.socket.fileno(), termios.FIONREAD, size)
        except (OSError, ValueError):
            return 0  # it has been closed
        return size[0]

    def close(self) -> None:
        """Close the socket."""
        super().close()
        self.server.table.forget(self)
