"""Frames of messages between instances and the coordinator, in msgpack."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from arbutuspulley.decoding import guard_decoding
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import ToCoordinator, ToNode

M = TypeVar("M")

_ENCODER = msgspec.msgpack.Encoder()
_FROM_NODE = msgspec.msgpack.Decoder(list[ToCoordinator])
_FROM_COORDINATOR = msgspec.msgpack.Decoder(list[ToNode])
_ONE_FROM_NODE: msgspec.msgpack.Decoder[ToCoordinator] = msgspec.msgpack.Decoder(
    ToCoordinator
)
_ONE_FROM_COORDINATOR: msgspec.msgpack.Decoder[ToNode] = msgspec.msgpack.Decoder(ToNode)
_RAW = msgspec.msgpack.Decoder(list[msgspec.Raw])

_ENCODING_ERRORS = (OverflowError, ValueError)
"""Errors of the encoder: a number beyond 64 bits, a text that is not UTF-8."""


def encode_frame(messages: list[ToCoordinator] | list[ToNode]) -> bytes:
    """Encode messages as one frame, without those that can't be encoded."""
    try:
        return _ENCODER.encode(messages)
    except _ENCODING_ERRORS:
        return _encode_each(messages)


def _encode_each(messages: Iterable[ToCoordinator | ToNode]) -> bytes:
    """Encode the messages of a frame one by one and skip those that fail.

    A number that does not fit into 64 bits must not cost the link.
    """
    encoded: list[msgspec.Raw] = []
    for message in messages:
        try:
            encoded.append(msgspec.Raw(_ENCODER.encode(message)))
        except _ENCODING_ERRORS as error:
            detail = f"{type(message).__name__} can't be encoded: {error}"
            log_event(Event.MESSAGE_SKIPPED, detail=detail)
    return _ENCODER.encode(encoded)


@guard_decoding
def decode_from_node(frame: bytes) -> list[ToCoordinator]:
    """Decode a frame that an instance sent to the coordinator.

    :raises UndecodableError: if the data is not a frame.
    """
    try:
        return _FROM_NODE.decode(frame)
    except msgspec.ValidationError:
        return _decode_known(frame, _ONE_FROM_NODE)


@guard_decoding
def decode_from_coordinator(frame: bytes) -> list[ToNode]:
    """Decode a frame that the coordinator sent.

    :raises UndecodableError: if the data is not a frame.
    """
    try:
        return _FROM_COORDINATOR.decode(frame)
    except msgspec.ValidationError:
        return _decode_known(frame, _ONE_FROM_COORDINATOR)


def _decode_known(frame: bytes, decoder: msgspec.msgpack.Decoder[M]) -> list[M]:
    """Decode the messages of a frame one by one and skip unknown ones.

    During a rolling upgrade some instances run another version. A message that is
    unknown here must not discard the rest of its frame, nor close the link.
    """
    known: list[M] = []
    for raw in _RAW.decode(frame):
        try:
            known.append(decoder.decode(raw))
        except msgspec.ValidationError as error:
            log_event(Event.MESSAGE_SKIPPED, detail=str(error))
    return known
