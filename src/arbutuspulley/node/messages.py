"""Messages between instances, several to a frame, in msgpack."""

import msgspec

from arbutuspulley.data import Message
from arbutuspulley.ports.fleet import ModelNeed, TryEnd
from arbutuspulley.rpc.messages import Suspicion


class NodeInfo(Message, frozen=True):
    """An instance as it says of itself.

    :param site: its data centre.
    """

    name: str
    site: str
    region: str
    frontend: str
    is_ready: bool


class RunningRequest(Message, frozen=True):
    """A request in flight that a new coordinator has to count."""

    key: str
    incarnation: str
    need: ModelNeed
    pause_ms: int = 0


class Hello(Message, frozen=True, tag="hello"):
    """First message of an instance to a coordinator."""

    info: NodeInfo
    running: tuple[RunningRequest, ...] = ()


class Beat(Message, frozen=True, tag="beat"):
    """Sent at intervals.

    :param is_ready: whether the instance takes callers.
    :param misses_store: whether the store gives it no usable answer.
    """

    is_ready: bool
    misses_store: bool = False


class Ask(Message, frozen=True, tag="ask"):
    """A request that needs a model server.

    :param aim_ms: how long until its first part is late.
    :param left_ms: how long it may wait at all.
    :param is_repeat: whether a server has refused or failed it before.
    :param pause_ms: the longest pause between events that is on time; 0: any.
    """

    key: str
    service: str
    need: ModelNeed
    zone: str
    priority: int
    aim_ms: int
    left_ms: int
    avoid: tuple[str, ...] = ()
    is_repeat: bool = False
    pause_ms: int = 0


class Started(Message, frozen=True, tag="started"):
    """The first part of an answer came so many ms after the request was sent."""

    key: str
    incarnation: str
    took_ms: int


class Ended(Message, frozen=True, tag="ended"):
    """A granted request ended.

    :param events: of its stream, as far as this server made them.
    """

    key: str
    incarnation: str
    how: TryEnd
    events: int = 0


class Withdraw(Message, frozen=True, tag="withdraw"):
    """The caller of a waiting request has left."""

    key: str
    service: str


class Granted(Message, frozen=True, tag="granted"):
    """The request may go to this server now."""

    key: str
    incarnation: str
    address: str
    is_late: bool


class Refused(Message, frozen=True, tag="refused"):
    """The request can't be served; it has not run."""

    key: str
    retry_after_ms: int


class Digest(Message, frozen=True, tag="digest"):
    """The coordinator's account, sent at intervals; it also shows it lives.

    :param is_holder: whether it holds the lease; without, it gives no orders.
    """

    nodes: tuple[NodeInfo, ...]
    is_holder: bool


class Suspected(Message, frozen=True, tag="suspected"):
    """Requests that were in flight as a server broke off, or were cleared of that.

    Sent by whoever finds it to the coordinator, and by it to all.
    """

    suspicions: tuple[Suspicion, ...]


class Learnt(Message, frozen=True, tag="learnt"):
    """What the coordinator has learnt of its servers, for whoever succeeds it.

    :param speeds: prompt tokens that a server reads in a ms, by service and kind of
        model.
    :param demand: prompt tokens a second asked for, by service and model.
    """

    speeds: dict[str, dict[str, float]]
    demand: dict[str, dict[str, float]] = {}


ToCoordinator = Hello | Beat | Ask | Started | Ended | Withdraw | Suspected
ToNode = Granted | Refused | Digest | Learnt | Suspected

_ENCODER = msgspec.msgpack.Encoder()
_FROM_NODE = msgspec.msgpack.Decoder(list[ToCoordinator])
_FROM_COORDINATOR = msgspec.msgpack.Decoder(list[ToNode])


def encode_frame(messages: list[ToCoordinator] | list[ToNode]) -> bytes:
    """Encode a frame."""
    return _ENCODER.encode(messages)


def decode_from_node(frame: bytes) -> list[ToCoordinator]:
    """Decode a frame that an instance sent to its coordinator."""
    return _FROM_NODE.decode(frame)


def decode_from_coordinator(frame: bytes) -> list[ToNode]:
    """Decode a frame that a coordinator sent."""
    return _FROM_COORDINATOR.decode(frame)
