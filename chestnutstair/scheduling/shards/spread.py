"""Spreads the actions of many nodes over time by a hash of their names."""

import zlib

__all__ = ["compute_fraction"]


def compute_fraction(*parts: object) -> float:
    """Return a number from 0 to 1 (exclusive) that the parts determine."""
    text = "/".join(str(part) for part in parts)
    # The low bits of a CRC of similar names differ by regular steps;
    # multiplying by a large odd number mixes them into the high bits.
    mixed = (zlib.crc32(text.encode()) * 2654435761) % 2**32
    return mixed / 2**32
