"""Conversion between frozen data classes and JSON, with validation."""

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

# Assign as `__pydantic_config__` to reject unknown keys, NaN and infinity.
STRICT = ConfigDict(extra="forbid", allow_inf_nan=False)


@dataclass(frozen=True)
class Mistake:
    """One mistake in a document, with its path such as `vms.2.zone`."""

    path: str
    problem: str


@dataclass(frozen=True)
class DecodeFailure(Failure):
    """A document does not match the expected data class."""

    mistakes: tuple[Mistake, ...]


_make_adapter: Callable[[Any], TypeAdapter[Any]] = cache(TypeAdapter)


def _get_adapter(expected_type: Any) -> TypeAdapter[Any]:
    return _make_adapter(expected_type)


def _collect_mistakes(error: ValidationError) -> DecodeFailure:
    return DecodeFailure(
        tuple(
            Mistake(".".join(str(part) for part in item["loc"]), item["msg"])
            for item in error.errors(include_url=False, include_input=False)
        )
    )


def decode_json(
    expected_type: type[T], text: bytes | str
) -> Result[T, DecodeFailure]:
    """Parse JSON text as the type; a failure lists all mistakes."""
    try:
        return Ok(_get_adapter(expected_type).validate_json(text))
    except ValidationError as error:
        return Err(_collect_mistakes(error))


def decode_value(
    expected_type: type[T], value: Any
) -> Result[T, DecodeFailure]:
    """Convert JSON values to the type; a failure lists all mistakes."""
    try:
        return Ok(_get_adapter(expected_type).validate_python(value))
    except ValidationError as error:
        return Err(_collect_mistakes(error))


def encode_value(value: Any) -> Any:
    """Return an instance of a data class as plain JSON values."""
    return _get_adapter(type(value)).dump_python(value, mode="json")


def encode_json(value: Any) -> bytes:
    """Return an instance of a data class as JSON text."""
    return bytes(_get_adapter(type(value)).dump_json(value))
