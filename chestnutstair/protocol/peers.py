"""Conversion of messages between daemons to and from envelopes."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from chestnutstair.coordination.messenger import Message
from chestnutstair.protocol.peer_pb2 import Envelope
from chestnutstair.state.codec import DecodeFailure, decode_json, encode_json
from chestnutstair.state.failure import Failure

__all__ = [
    "Envelope",
    "MessageKinds",
    "UnknownKindFailure",
    "build_message_kinds",
    "decode_envelope",
    "encode_message",
]

MessageKinds = Mapping[str, type[Message]]


@dataclass(frozen=True)
class UnknownKindFailure(Failure):
    """A peer sent a message of a kind that this daemon does not support."""

    kind: str


def build_message_kinds(classes: Iterable[type[Message]]) -> MessageKinds:
    """Map the class names, which envelopes carry as `kind`, to classes."""
    return {item.__name__: item for item in classes}


def encode_message(message: Message) -> Envelope:
    """Encode the message as an envelope."""
    return Envelope(kind=type(message).__name__, body=encode_json(message))


def decode_envelope(
    kinds: MessageKinds, envelope: Envelope
) -> Result[Message, UnknownKindFailure | DecodeFailure]:
    """Decode the message in the envelope."""
    message_class = kinds.get(envelope.kind)
    if message_class is None:
        return Err(UnknownKindFailure(envelope.kind))
    match decode_json(message_class, envelope.body):
        case Ok(message):
            return Ok(message)
        case Err(failure):
            return Err(failure)
    raise AssertionError(envelope)
