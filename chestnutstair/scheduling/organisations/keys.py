"""API keys of organisations: their digests, their index and their check."""

import hashlib
import hmac
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from chestnutstair.scheduling.organisations.organisation import Organisation
from chestnutstair.state.failure import Failure

__all__ = [
    "KeyFailure",
    "KeyIndex",
    "KeyProblem",
    "compute_key_digest",
    "parse_bearer_key",
]

SCHEME = "bearer"
# Digests are indexed by this many of their first bytes, so that a lookup
# compares the whole digest with about one candidate, in constant time.
INDEXED_BYTES = 8


class KeyProblem(Enum):
    """Why a request's key was refused."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class KeyFailure(Failure):
    """A request has no key that the configuration in force accepts."""

    problem: KeyProblem


def compute_key_digest(key: bytes) -> bytes:
    """Return the SHA-256 digest of a key."""
    return hashlib.sha256(key).digest()


def parse_bearer_key(header: str) -> Result[bytes, KeyFailure]:
    """Return the key in an `Authorization` header, as sent.

    `header` is decoded as Latin-1, as WSGI servers do; empty if absent.
    """
    scheme, _, key = header.strip().partition(" ")
    key = key.strip()
    if not scheme:
        return Err(KeyFailure(KeyProblem.MISSING))
    if scheme.lower() != SCHEME or not key:
        return Err(KeyFailure(KeyProblem.MALFORMED))
    return Ok(key.encode("latin-1", "replace"))


class KeyIndex:
    """Finds the organisations that a key acts for."""

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        names: dict[bytes, list[str]] = {}
        for organisation in organisations:
            for digest in organisation.key_digests:
                names.setdefault(digest, []).append(organisation.name)
        self._entries: dict[bytes, list[tuple[bytes, tuple[str, ...]]]] = {}
        for digest, owners in names.items():
            entry = (digest, tuple(sorted(owners)))
            self._entries.setdefault(digest[:INDEXED_BYTES], []).append(entry)

    def find_organisations(self, key: bytes) -> tuple[str, ...]:
        """Return the names of the key's organisations, in order."""
        digest = compute_key_digest(key)
        for known, names in self._entries.get(digest[:INDEXED_BYTES], ()):
            if hmac.compare_digest(known, digest):
                return names
        return ()

    def check_header(self, header: str) -> Result[tuple[str, ...], KeyFailure]:
        """Return the organisations that an `Authorization` header acts for.

        There is at least one, and they are in the order of their names.
        """
        return parse_bearer_key(header).and_then(self._check_key)

    def _check_key(self, key: bytes) -> Result[tuple[str, ...], KeyFailure]:
        names = self.find_organisations(key)
        return Ok(names) if names else Err(KeyFailure(KeyProblem.UNKNOWN))
