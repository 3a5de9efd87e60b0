"""Strict readers of the fields of JSON objects that others write.

Each reader returns a value of the stated type and range, or raises
MalformedFieldError. Nothing is converted from another type: `json.loads`
accepts NaN, infinity and integers of thousands of digits, and `int()` and
`float()` accept texts and Booleans.
"""

import json
import math
import re
from typing import Any

__all__ = [
    "MAX_AMOUNT",
    "MAX_NAME_LENGTH",
    "MAX_NUMBER",
    "MAX_TEXT_LENGTH",
    "MAX_TIME_MS",
    "MalformedFieldError",
    "check_name",
    "is_text",
    "is_whole",
    "parse_object",
    "read_address",
    "read_amount",
    "read_list",
    "read_number",
    "read_object",
    "read_text",
    "read_texts",
    "read_whole",
]

# Largest amount of a resource, such as a VM's memory in MB.
MAX_AMOUNT = 2**31
# Largest counter, clock or version: JSON numbers are exact up to here.
MAX_NUMBER = 2**53
# The end of the year 9999, in ms since 1970.
MAX_TIME_MS = 253_402_300_800_000
# Longest text that names something, such as a pool or a VM.
MAX_TEXT_LENGTH = 1000
# The store's limit of a row's key, in bytes.
MAX_NAME_LENGTH = 200
# A name of 253 characters or an IPv6 address, and a port.
MAX_ADDRESS_LENGTH = 260
ADDRESS = re.compile(
    r"(?:(?:[A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9_-]{1,63}"
    r"|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})"
)
MAX_PORT = 65535


class MalformedFieldError(ValueError):
    """A field is missing, or of another type or range; says which and why."""


def parse_object(data: bytes) -> dict[str, Any]:
    """Return the JSON object in the data.

    Raises MalformedFieldError if there is none, or it is nested too deeply.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        raise MalformedFieldError("not JSON") from None
    if type(value) is not dict:
        raise MalformedFieldError("not a JSON object")
    return value


def read_whole(
    fields: dict[str, Any],
    name: str,
    default: int | None = None,
    maximum: int = MAX_NUMBER,
) -> int:
    """Return a whole number from 0 to `maximum`.

    `default` is returned for an absent field; None if it must be present.
    """
    value: Any = fields.get(name, default)
    if type(value) is int and 0 <= value <= maximum:
        return value
    if type(value) is float and 0 <= value <= maximum and value.is_integer():
        return int(value)
    raise MalformedFieldError(_describe(fields, name, value, "whole number"))


def read_amount(
    fields: dict[str, Any],
    name: str,
    default: int | None = None,
    maximum: int = MAX_AMOUNT,
) -> int:
    """Return a number from 0 to `maximum`, rounded down.

    `default` is returned for an absent field; None if it must be present.
    """
    value: Any = fields.get(name, default)
    if type(value) is int and 0 <= value <= maximum:
        return value
    # False for NaN and infinity.
    if type(value) is float and 0 <= value <= maximum:
        return int(value)
    raise MalformedFieldError(_describe(fields, name, value, "number"))


def read_number(
    fields: dict[str, Any],
    name: str,
    default: float | None = None,
    maximum: float = MAX_NUMBER,
) -> float:
    """Return a finite number from 0 to `maximum`.

    `default` is returned for an absent field; None if it must be present.
    """
    value: Any = fields.get(name, default)
    if type(value) in (int, float) and 0 <= value <= maximum:
        return float(value)
    raise MalformedFieldError(_describe(fields, name, value, "number"))


def read_text(
    fields: dict[str, Any],
    name: str,
    default: str | None = None,
    max_length: int = MAX_TEXT_LENGTH,
) -> str:
    """Return a text that can be encoded in UTF-8.

    `default` is returned for an absent field; None if it must be present.
    """
    value: Any = fields.get(name, default)
    if is_text(value, max_length):
        return value
    raise MalformedFieldError(_describe(fields, name, value, "text"))


def is_whole(value: Any, maximum: int = MAX_NUMBER) -> bool:
    """Return whether a value is an integer from 0 to `maximum`."""
    return type(value) is int and 0 <= value <= maximum


def is_text(value: Any, max_length: int = MAX_TEXT_LENGTH) -> bool:
    """Return whether a value is a text that can be encoded in UTF-8.

    JSON may contain lone surrogates, which no header, key or label can.
    """
    if type(value) is not str or len(value) > max_length:
        return False
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def read_list(
    fields: dict[str, Any], name: str, default: list[Any] | None = None
) -> list[Any]:
    """Return a list of values of any type.

    `default` is returned for an absent field; None if it must be present.
    """
    value: Any = fields.get(name, default)
    if type(value) is list:
        return value
    raise MalformedFieldError(_describe(fields, name, value, "list"))


def read_texts(fields: dict[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of texts, which must be present."""
    value = read_list(fields, name)
    for item in value:
        if not is_text(item):
            raise MalformedFieldError(f"{name}: an item is not a text")
    return tuple(value)


def read_object(fields: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object, which must be present."""
    value: Any = fields.get(name)
    if type(value) is dict:
        return value
    raise MalformedFieldError(_describe(fields, name, value, "object"))


def read_address(fields: dict[str, Any], name: str) -> str:
    """Return the `host:port` of a server, which must be present."""
    value: Any = fields.get(name)
    if type(value) is str and len(value) <= MAX_ADDRESS_LENGTH:
        match = ADDRESS.fullmatch(value)
        if match is not None and 0 < int(match[1]) <= MAX_PORT:
            return value
    raise MalformedFieldError(_describe(fields, name, value, "host and port"))


def check_name(name: str) -> None:
    """Reject a name that cannot be sent in a header as it is."""
    if not (
        name.isascii()
        and name.isprintable()
        and name == name.strip()
        and 0 < len(name) <= MAX_NAME_LENGTH
    ):
        raise MalformedFieldError("the name cannot be sent in a header")


def _describe(
    fields: dict[str, Any], name: str, value: Any, expected: str
) -> str:
    """Return what is wrong with a field, without its value.

    The value may be of any size, and cannot always be written as text.
    """
    if name not in fields:
        return f"{name}: missing"
    if type(value) is float and not math.isfinite(value):
        return f"{name}: not finite"
    return f"{name}: not a {expected} in range ({type(value).__name__})"
