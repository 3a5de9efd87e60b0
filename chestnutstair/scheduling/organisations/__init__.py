"""Organisations: the owners of jobs, with their keys, caps and shares."""

from chestnutstair.scheduling.organisations.organisation import (
    Cap,
    Organisation,
)

__all__ = ["Cap", "Organisation"]
