"""Base class of the failures that functions return instead of raising."""

from dataclasses import dataclass, fields

__all__ = ["Failure", "describe_failure"]


@dataclass(frozen=True)
class Failure:
    """The reason why an operation failed; subclasses add its details."""


def describe_failure(failure: Failure) -> str:
    """Return one line naming the failure and its fields."""
    parts = [
        f"{field.name}={getattr(failure, field.name)!r}"
        for field in fields(failure)
    ]
    return f"{type(failure).__name__}({', '.join(parts)})"
