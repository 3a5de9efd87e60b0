"""Reads the body of a request, and says what is wrong with it."""

import contextlib
from collections.abc import Iterator
from typing import Any

import cheroot.server
from cheroot.errors import MaxSizeExceeded

from chestnutstair.transport.arrival import CHUNK_SIZE, CRLF, FIELD

__all__ = ["TOO_LARGE", "BodyError", "RequestBody"]

TOO_LARGE = "Request Entity Too Large"  # the text of cheroot's errors


class BodyError(ValueError):
    """A body has invalid framing."""


class _ChunkLines:
    """Checks the lines around chunks, of which cheroot checks little."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream

    def read(self, size: int) -> bytes:
        """Read the data of a chunk, or the end of its line."""
        return bytes(self._stream.read(size))

    def readline(self) -> bytes:
        """Read the size of a chunk, and the trailers behind the last one.

        Raises ValueError if one of them is malformed or incomplete.
        """
        line = self._stream.readline()
        size = CHUNK_SIZE.fullmatch(line.removesuffix(CRLF))
        if size is None or not line.endswith(CRLF):
            raise ValueError("malformed chunk size")
        if int(size[1], 16) == 0:
            self._read_trailers()
        return bytes(line)

    def _read_trailers(self) -> None:
        while (line := self._stream.readline()) != CRLF:
            field = FIELD.fullmatch(line.removesuffix(CRLF))
            if field is None or not line.endswith(CRLF):
                raise ValueError("malformed trailer")


class RequestBody:
    """The body of a request, with errors that say what is wrong with it.

    Raises MaxSizeExceeded if it is too large, BodyError if its framing is
    invalid, OSError if the connection fails.
    """

    def __init__(self, stream: Any, limit: int) -> None:
        if isinstance(stream, cheroot.server.ChunkedRFile):
            stream.rfile = _ChunkLines(stream.rfile)
        self._stream = stream
        self._limit = limit

    def read(self, size: int | None = None) -> bytes:
        """Read at most `size` bytes, or all."""
        with self._convert_errors():
            data = bytes(self._stream.read(size))
            if size is None or len(data) < size:
                self._check_end()
            return data

    def readline(self, size: int | None = None) -> bytes:
        """Read a line of at most `size` bytes."""
        with self._convert_errors():
            line = bytes(self._stream.readline(size))
            if not line.endswith(b"\n") and (size is None or len(line) < size):
                self._check_end()
            return line

    def _check_end(self) -> None:
        """Raise ValueError if the client has sent less than it declared."""
        if getattr(self._stream, "remaining", 0) > 0:
            raise ValueError("incomplete body")

    @contextlib.contextmanager
    def _convert_errors(self) -> Iterator[None]:
        try:
            yield
        except ValueError as error:
            raise BodyError(str(error)) from error
        except OSError as error:
            # cheroot raises it for a chunk that is larger than the limit.
            if error.errno is None and TOO_LARGE in error.args:
                raise MaxSizeExceeded(TOO_LARGE, self._limit) from error
            raise
