"""The base of every failure that a caller of a function has to handle."""

from dataclasses import dataclass, fields

__all__ = ["Failure", "describe_failure"]


@dataclass(frozen=True)
class Failure:
    """A typed reason why an operation did not succeed."""


def describe_failure(failure: Failure) -> str:
    """Return one line naming the failure and its fields."""
    parts = [
        f"{field.name}={getattr(failure, field.name)!r}"
        for field in fields(failure)
    ]
    return f"{type(failure).__name__}({', '.join(parts)})"
