"""Finds out whether a whole request has arrived, before a thread reads it."""

import re
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "CHUNK_SIZE",
    "CRLF",
    "FIELD",
    "MAX_BUFFERED_CHUNKS",
    "MAX_LENGTH_DIGITS",
    "Arrival",
    "BadFraming",
    "ChunkedFraming",
    "Framing",
    "LengthFraming",
    "RequestScan",
    "read_framing",
]

CRLF = b"\r\n"
# cheroot refuses a head with a bare line feed, so no more of it is needed.
HEAD_END = re.compile(rb"\r\n\r\n|(?<!\r)\n")
HEAD_END_BYTES = 4
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
FIELD = re.compile(TOKEN + rb":[\t\x20-\x7e\x80-\xff]*+")
# RFC 9112 advises to skip an empty line before a request.
HEAD = re.compile(
    rb"(?:\r\n)?%s [\x21-\x7e\x80-\xff]++ HTTP/1\.[01](?:\r\n%s)*+"
    % (TOKEN, FIELD.pattern)
)
FRAMING_FIELDS = re.compile(
    rb"\r\n(content-length|transfer-encoding|expect|host):([^\r\n]*)",
    re.IGNORECASE,
)
MAX_LENGTH_DIGITS = 18
LENGTH = re.compile(rb"[0-9]{1,%d}" % MAX_LENGTH_DIGITS)
# The loop that receives for all connections scans no more chunks and trailers
# of one request.
MAX_BUFFERED_CHUNKS = 1024
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;[^\r\n]*)?")


@dataclass(frozen=True)
class LengthFraming:
    """The body has a declared length; 0 also stands for no body."""

    length: int


@dataclass(frozen=True)
class ChunkedFraming:
    """The body arrives in chunks."""


@dataclass(frozen=True)
class BadFraming:
    """The end of the body is in doubt."""

    problem: str


Framing = LengthFraming | ChunkedFraming | BadFraming


class Arrival(Enum):
    """How much of a request has arrived."""

    PARTIAL = "partial"
    # A thread that serves it never waits for the client.
    WHOLE = "whole"
    # A thread reads the rest from the client: the request is larger than the
    # buffer or has many chunks, or the client waits for "100 Continue".
    UNBUFFERED = "unbuffered"


def read_framing(head: bytes) -> tuple[Framing, bool]:
    """Return how the body is framed, and whether the client expects 100.

    Only syntax of RFC 9112 is accepted, so that no other reader of the same
    bytes finds another end.
    """
    if HEAD.fullmatch(head) is None:
        return BadFraming("head"), False
    hosts = 0
    lengths: list[bytes] = []
    encodings: list[bytes] = []
    expects_continue = False
    for name, value in FRAMING_FIELDS.findall(head):
        match name.lower():
            case b"content-length":
                lengths.append(value.strip())
            case b"transfer-encoding":
                encodings.append(value.strip().lower())
            case b"host":
                hosts += 1
            case _:
                expects_continue = True
    if hosts > 1:
        return BadFraming("Host"), expects_continue
    if encodings and (lengths or encodings != [b"chunked"]):
        return BadFraming("Transfer-Encoding"), expects_continue
    if encodings:
        return ChunkedFraming(), expects_continue
    if len(lengths) > 1 or not all(map(LENGTH.fullmatch, lengths)):
        return BadFraming("Content-Length"), expects_continue
    return LengthFraming(int(lengths[0]) if lengths else 0), expects_continue


class RequestScan:
    """Follows the arrival of one request, reading each byte once.

    `header_bytes` is the largest head, `body_bytes` the largest body that may
    be declared, `buffer_bytes` the largest request that is buffered.
    """

    def __init__(
        self, header_bytes: int, body_bytes: int, buffer_bytes: int
    ) -> None:
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes
        self._buffer_bytes = buffer_bytes
        self._position = 0  # of the head's end, a chunk or a trailer
        self._is_buffered = True
        self._in_trailers = False
        self._chunks = 0
        self.framing: Framing | None = None  # None until the head has arrived
        self.end = 0  # of the request, once it has arrived as a whole

    def check(self, data: bytes) -> Arrival:
        """Return how much of the request is in `data`.

        `data` is all that has arrived of it, and may go on beyond its end.
        """
        if self.framing is None and not self._find_head(data):
            if len(data) <= self._header_bytes:
                return Arrival.PARTIAL
            self.framing = BadFraming("head too large")
        if self._has_body(data):
            return Arrival.WHOLE
        if self._is_buffered and len(data) < self._buffer_bytes:
            return Arrival.PARTIAL
        return Arrival.UNBUFFERED

    def _find_head(self, data: bytes) -> bool:
        found = HEAD_END.search(data, self._position)
        if found is None:
            self._position = max(0, len(data) - HEAD_END_BYTES + 1)
            return False
        self._position = found.end()
        if found[0] == b"\n":
            self.framing = BadFraming("bare line feed")
            return True
        head = data[: found.start()]
        self.framing, expects_continue = read_framing(head)
        self._is_buffered = not expects_continue
        return True

    def _has_body(self, data: bytes) -> bool:
        """Return whether the rest of the request is in `data`.

        That is also the case once its framing is known to be bad.
        """
        match self.framing:
            case LengthFraming(length):
                end = self._position + length
                if length > self._body_bytes or end > self._buffer_bytes:
                    self._is_buffered = False
                self.end = end
                return len(data) >= end
            case ChunkedFraming():
                if not self._has_chunks(data):
                    return False
                self.end = self._position
        if isinstance(self.framing, BadFraming):
            self.end = len(data)
        return True

    def _has_chunks(self, data: bytes) -> bool:
        while (end := data.find(CRLF, self._position)) >= 0:
            self._chunks += 1
            if self._chunks > MAX_BUFFERED_CHUNKS:
                self._is_buffered = False
                return False
            if self._in_trailers:
                if end == self._position:
                    self._position = end + len(CRLF)
                    return True
                if FIELD.fullmatch(data, self._position, end) is None:
                    self.framing = BadFraming("trailer")
                    return True
                self._position = end + len(CRLF)
                continue
            size = CHUNK_SIZE.fullmatch(data, self._position, end)
            if size is None:
                self.framing = BadFraming("chunk size")
                return True
            chunk_end = end + len(CRLF) + int(size[1], 16)
            if int(size[1], 16) == 0:
                self._in_trailers = True
                self._position = chunk_end
                continue
            if len(data) < chunk_end + len(CRLF):
                return False
            if data[chunk_end : chunk_end + len(CRLF)] != CRLF:
                self.framing = BadFraming("chunk end")
                return True
            self._position = chunk_end + len(CRLF)
        return False
