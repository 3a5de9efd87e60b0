"""Values that another writer may leave where numbers and texts belong."""

import json
from typing import Any

__all__ = [
    "MALFORMED_DOCUMENTS",
    "MALFORMED_NUMBERS",
    "MALFORMED_TEXTS",
    "encode_raw",
    "nest",
]

NESTING = 50_000


def nest(depth: int = NESTING) -> str:
    """Return JSON text that is nested too deeply to be decoded."""
    return "[" * depth + "]" * depth


# JSON texts that are no usable amount.
MALFORMED_NUMBERS = (
    "1e400",
    "-1e400",
    "NaN",
    "Infinity",
    "-Infinity",
    "-1",
    "1" + "0" * 400,
    "1" + "0" * 5000,
    "1e300",
    "true",
    "false",
    '"7"',
    '"much"',
    "null",
    "[]",
    "[7]",
    "{}",
    '{"a": {"b": [1]}}',
    nest(),
)
# JSON texts that are no usable text.
MALFORMED_TEXTS = (
    "7",
    "1e400",
    "true",
    "null",
    "[]",
    '["a"]',
    "{}",
    '{"a": 1}',
    '"\\ud800"',
    json.dumps("x" * 100_000),
    nest(),
)
# Bytes that are no JSON object.
MALFORMED_DOCUMENTS = (
    b"",
    b"\x00",
    b"\xff\xfe\xfa",
    b"{",
    b"null",
    b"7",
    b"NaN",
    b'"text"',
    b"[]",
    b'{"a": ' + b"9" * 5000 + b"}",
    b"[" * NESTING,
    b'{"a":' * NESTING,
)


def encode_raw(fields: dict[str, Any], **raw: str) -> bytes:
    """Encode an object, with some fields replaced by JSON texts."""
    parts = {name: json.dumps(value) for name, value in fields.items()}
    parts.update(raw)
    items = (f"{json.dumps(name)}: {text}" for name, text in parts.items())
    return ("{" + ", ".join(items) + "}").encode()
