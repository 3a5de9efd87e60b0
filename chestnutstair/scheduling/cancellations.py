"""What a cancellation applies to.

A cancellation may be stored before its job, as the write of a submission may
be done after the caller has given up. Who owns the job is not known by then.
"""

import hashlib
import json
from dataclasses import asdict, dataclass

from chestnutstair.scheduling.access import Access, JobOwner
from chestnutstair.scheduling.ports import RowKey
from chestnutstair.state.fields import (
    parse_object,
    read_text,
    read_texts,
)

__all__ = [
    "CancelScope",
    "Cancellation",
    "build_scope",
    "decode_scope",
    "encode_scope",
    "name_scope",
]

NAME_DIGITS = 16


@dataclass(frozen=True)
class CancelScope:
    """The jobs that a caller may cancel where organisations have jobs.

    - `queue`, `public`: name of the caller's queue, and whether it needs no
      key.
    - `organisations`: those that the caller's key acts for.
    """

    queue: str
    public: bool
    organisations: tuple[str, ...] = ()

    def covers(self, owner: JobOwner) -> bool:
        """Return whether the caller may cancel a job of the owner.

        Unlike `Access.may_see`, a job of an organisation that is not
        configured is not covered: this node may not have read of it yet.
        """
        if owner.organisation:
            return owner.organisation in self.organisations
        return not self.public or owner.public or owner.queue == self.queue


@dataclass(frozen=True)
class Cancellation:
    """A stored cancellation of a job; without a scope, whoever owns it.

    `version` is that of its row, 0 if another node told of it.
    """

    key: RowKey
    job: str
    scope: CancelScope | None = None
    version: int = 0


def build_scope(access: Access) -> CancelScope:
    """Return the scope of a caller's cancellation."""
    queue = access.queue
    return CancelScope(queue.name, queue.public, access.organisations)


def encode_scope(scope: CancelScope) -> bytes:
    """Encode a scope as JSON."""
    return json.dumps(asdict(scope), separators=(",", ":")).encode()


def name_scope(scope: CancelScope) -> str:
    """Return a name of fixed length, which differs from other scopes'."""
    return hashlib.sha256(encode_scope(scope)).hexdigest()[:NAME_DIGITS]


def decode_scope(value: bytes) -> CancelScope:
    """Decode a scope, or raise MalformedFieldError."""
    fields = parse_object(value)
    return CancelScope(
        read_text(fields, "queue"),
        fields.get("public") is True,
        read_texts(fields, "organisations"),
    )
