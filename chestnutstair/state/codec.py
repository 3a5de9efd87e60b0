"""Conversion between frozen data classes and JSON, checked whole."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from typing import Any, TypeVar

from pydantic import ConfigDict, TypeAdapter, ValidationError
from result import Err, Ok, Result

from chestnutstair.state.failure import Failure

__all__ = [
    "STRICT",
    "DecodeFailure",
    "Mistake",
    "decode_json",
    "decode_value",
    "encode_json",
    "encode_value",
]

T = TypeVar("T")

# Assign as `__pydantic_config__` to refuse unknown keys and loose types.
STRICT = ConfigDict(extra="forbid", allow_inf_nan=False)


@dataclass(frozen=True)
class Mistake:
    """One mistake in a document, with its path such as `vms.2.zone`."""

    path: str
    problem: str


@dataclass(frozen=True)
class DecodeFailure(Failure):
    """A document that does not have the expected shape."""

    mistakes: tuple[Mistake, ...]


_make_adapter: Callable[[Any], TypeAdapter[Any]] = cache(TypeAdapter)


def _get_adapter(kind: Any) -> TypeAdapter[Any]:
    return _make_adapter(kind)


def _collect_mistakes(error: ValidationError) -> DecodeFailure:
    return DecodeFailure(
        tuple(
            Mistake(".".join(str(part) for part in item["loc"]), item["msg"])
            for item in error.errors(include_url=False, include_input=False)
        )
    )


def decode_json(kind: type[T], text: bytes | str) -> Result[T, DecodeFailure]:
    """Parse JSON text into the data class, or list all its mistakes."""
    try:
        return Ok(_get_adapter(kind).validate_json(text))
    except ValidationError as error:
        return Err(_collect_mistakes(error))


def decode_value(kind: type[T], value: Any) -> Result[T, DecodeFailure]:
    """Turn plain JSON values into the data class, or list all mistakes."""
    try:
        return Ok(_get_adapter(kind).validate_python(value))
    except ValidationError as error:
        return Err(_collect_mistakes(error))


def encode_value(value: Any) -> Any:
    """Return plain JSON values for a data class."""
    return _get_adapter(type(value)).dump_python(value, mode="json")


def encode_json(value: Any) -> bytes:
    """Return JSON text for a data class."""
    return bytes(_get_adapter(type(value)).dump_json(value))
