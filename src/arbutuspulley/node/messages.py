"""Messages between instances, several to a frame, in msgpack."""

from typing import TypeVar

import msgspec

from arbutuspulley.data import Message
from arbutuspulley.events import Event, log_event
from arbutuspulley.ports.fleet import AttemptOutcome, ModelNeed
from arbutuspulley.rpc.messages import Suspicion


class NodeInfo(Message, frozen=True):
    """An instance as it says of itself.

    :param site: its data centre.
    :param capacity: how much work it can take, in cores that its link can feed.
    :param coordinates: whether it is the coordinator.
    """

    name: str
    site: str
    region: str
    frontend: str
    is_ready: bool
    capacity: float = 1.0
    coordinates: bool = False


class RunningRequest(Message, frozen=True):
    """A request in flight that a new coordinator has to count.

    :param ran_ms: for how long it has run as this is told.
    """

    key: str
    incarnation: str
    need: ModelNeed
    pause_ms: int = 0
    ran_ms: int = 0


class ServerLimit(Message, frozen=True, tag="limit"):
    """A server's rate limit.

    Sent by whoever reads it in an answer to the coordinator.

    :param per_s: requests a second from all instances; ``None``: it names no limit.
    """

    incarnation: str
    per_s: float | None = None


class Hello(Message, frozen=True, tag="hello"):
    """First message of an instance to a coordinator.

    :param store_version: up to which version of the store it knows the servers' rows.
    :param configuration: version that it has in force; 0: none.
    :param reads_updates: whether it understands :class:`ConfigurationDelta`.
    :param limits: that it knows.
    """

    info: NodeInfo
    running: tuple[RunningRequest, ...] = ()
    store_version: int = 0
    configuration: int = 0
    reads_updates: bool = False
    limits: tuple[ServerLimit, ...] = ()


class Heartbeat(Message, frozen=True, tag="beat"):
    """Sent at intervals.

    :param is_ready: whether the instance takes callers.
    :param misses_store: whether the store gives it no usable answer; ``None`` if it has
        not asked lately.
    :param follows_store: whether the store has lately told it all changes.
    :param roster: version of its list of instances; 0: it needs the whole.
    :param configuration: version that it has in force; 0: none.
    :param number: counts the beats of a link, from 1.
    :param vouches: number of a digest. When that came, no newer configuration existed
        than the one that this instance has in force; 0: it can't say.
    """

    is_ready: bool
    misses_store: bool | None = None
    follows_store: bool = False
    roster: int = 0
    configuration: int = 0
    number: int = 0
    vouches: int = 0


class GrantRequest(Message, frozen=True, tag="ask"):
    """A request that needs a model server.

    :param aim_ms: how long until its first part is late.
    :param left_ms: how long it may wait at all.
    :param is_repeat: whether a server has refused or failed it before.
    :param pause_ms: the longest pause between events that is on time; 0: any.
    :param team: that is charged for it; empty: none.
    :param cost: what it is charged; 0: it was before.
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
    team: str = ""
    cost: int = 0


class PermissionRequest(Message, frozen=True, tag="permission"):
    """Asks to send a request to a server that names a rate limit.

    Answered by :class:`Granted` or :class:`Refused`.
    """

    key: str
    incarnation: str


class ResponseStarted(Message, frozen=True, tag="started"):
    """The first part of an answer came so many ms after the request was sent."""

    key: str
    incarnation: str
    took_ms: int


class AttemptEnded(Message, frozen=True, tag="ended"):
    """A granted request ended.

    :param events: of its stream, as far as this server made them.
    """

    key: str
    incarnation: str
    how: AttemptOutcome
    events: int = 0


class QuotaUsage(Message, frozen=True, tag="spent"):
    """What an instance has spent of a team's quota without asking.

    :param cost: negative if requests that were charged did not run.
    """

    team: str
    cost: int


class CancelRequest(Message, frozen=True, tag="withdraw"):
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
    """The request can't be served; it has not run.

    :param is_over_quota: whether its team has used up its quota; it was not charged.
    """

    key: str
    retry_after_ms: int
    is_over_quota: bool = False


class QuotaExceeded(Message, frozen=True, tag="overdrawn"):
    """A team has spent more than its quota.

    :param wait_ms: how long until that has come back.
    """

    team: str
    wait_ms: int


class CoordinatorStatus(Message, frozen=True, tag="digest"):
    """The coordinator's account, sent at intervals; it also shows it lives.

    :param is_holder: whether it holds the lease; without, it gives no orders.
    :param instances: that it hears of, itself included.
    :param takers: instances to which callers are sent.
    :param followers: instances that follow the store beside the coordinator.
    :param is_store_followed: whether what the store tells reaches the coordinator now;
        all others need not ask the store then.
    :param store_version: up to which version all servers' rows were sent before this.
    :param configuration: version that the coordinator has in force; 0: none. It was
        sent before this.
    :param beat: number of the last beat of the instance that gets this; 0: none came.
    :param number: counts the digests of a link, from 1.
    :param fresh_beat: number of a beat of that instance. When it was sent, no newer
        configuration than the one above existed; 0: that is not known of any.
    """

    is_holder: bool
    instances: int = 0
    takers: int = 0
    followers: tuple[str, ...] = ()
    is_store_followed: bool = False
    store_version: int = 0
    configuration: int = 0
    beat: int = 0
    number: int = 0
    fresh_beat: int = 0


class RosterChange(Message, frozen=True, tag="roster"):
    """What has changed in the list of instances.

    :param version: of the list after this change.
    :param base: of the list before; 0: this is the whole list.
    :param joined: new instances, and those that say something else of themselves.
    :param left: names of those that are not told of any more.
    """

    version: int
    base: int = 0
    joined: tuple[NodeInfo, ...] = ()
    left: tuple[str, ...] = ()


class RelayedRow(Message, frozen=True):
    """A row of the store on a server.

    :param version: of the store's transaction that wrote or removed it; the newest one
        of a row counts, whichever way it came.
    :param value: as the store holds it; empty: the row is gone.
    """

    key: str
    version: int
    value: bytes = b""


class StoreUpdate(Message, frozen=True, tag="news"):
    """What the store told one instance, for others.

    :param configuration: as the store holds it; empty: nothing new. Sent only to who
        does not understand :class:`ConfigurationDelta`.
    :param was_away: whether the store was away shortly before: rows may be gone of
        servers that live.
    """

    configuration: bytes = b""
    rows: tuple[RelayedRow, ...] = ()
    was_away: bool = False


class DeltaStep(Message, frozen=True, array_like=True):
    """One step of an update: parts of the base are copied, new ones follow.

    :param start: first of the parts that are copied.
    :param count: how many are.
    :param fresh: how many new parts follow.
    """

    start: int
    count: int
    fresh: int


class ConfigurationDelta(Message, frozen=True, tag="configuration"):
    """What leads from one version of the configuration to a newer one.

    :param base: the version that the steps copy from; 0: none.
    :param text: all new parts, compressed.
    :param checksum: CRC-32 of the newer version as the store holds it.
    """

    version: int
    base: int
    steps: tuple[DeltaStep, ...]
    text: bytes
    checksum: int


class SuspicionUpdate(Message, frozen=True, tag="suspected"):
    """Requests that were in flight as a server broke off, or were cleared of that.

    Sent by whoever finds it to the coordinator, and by it to all.
    """

    suspicions: tuple[Suspicion, ...]


class ServerLimits(Message, frozen=True, tag="limits"):
    """Rate limits that the coordinator has heard of.

    :param limits: those that have changed, or all.
    :param are_all: whether all others name none.
    """

    limits: tuple[ServerLimit, ...]
    are_all: bool = False


class CoordinatorEstimates(Message, frozen=True, tag="learnt"):
    """What the coordinator has learnt of its servers, for whoever succeeds it.

    :param speeds: prompt tokens that a server reads in a ms, by service and kind of
        model.
    :param demand: prompt tokens a second asked for, by service and model.
    """

    speeds: dict[str, dict[str, float]]
    demand: dict[str, dict[str, float]] = {}


ToCoordinator = (
    Hello
    | Heartbeat
    | GrantRequest
    | PermissionRequest
    | ServerLimit
    | ResponseStarted
    | AttemptEnded
    | QuotaUsage
    | CancelRequest
    | SuspicionUpdate
    | StoreUpdate
    | ConfigurationDelta
)
ToNode = (
    Granted
    | Refused
    | QuotaExceeded
    | CoordinatorStatus
    | ServerLimits
    | CoordinatorEstimates
    | SuspicionUpdate
    | RosterChange
    | StoreUpdate
    | ConfigurationDelta
)

M = TypeVar("M")

_ENCODER = msgspec.msgpack.Encoder()
_FROM_NODE = msgspec.msgpack.Decoder(list[ToCoordinator])
_FROM_COORDINATOR = msgspec.msgpack.Decoder(list[ToNode])
_ONE_FROM_NODE: msgspec.msgpack.Decoder[ToCoordinator] = msgspec.msgpack.Decoder(
    ToCoordinator
)
_ONE_FROM_COORDINATOR: msgspec.msgpack.Decoder[ToNode] = msgspec.msgpack.Decoder(ToNode)
_RAW = msgspec.msgpack.Decoder(list[msgspec.Raw])


def encode_frame(messages: list[ToCoordinator] | list[ToNode]) -> bytes:
    """Encode a frame."""
    return _ENCODER.encode(messages)


def decode_from_node(frame: bytes) -> list[ToCoordinator]:
    """Decode a frame that an instance sent to its coordinator.

    :raises msgspec.MsgspecError: if it is no frame at all.
    """
    try:
        return _FROM_NODE.decode(frame)
    except msgspec.ValidationError:
        return _decode_known(frame, _ONE_FROM_NODE)


def decode_from_coordinator(frame: bytes) -> list[ToNode]:
    """Decode a frame that a coordinator sent.

    :raises msgspec.MsgspecError: if it is no frame at all.
    """
    try:
        return _FROM_COORDINATOR.decode(frame)
    except msgspec.ValidationError:
        return _decode_known(frame, _ONE_FROM_COORDINATOR)


def _decode_known(frame: bytes, decoder: msgspec.msgpack.Decoder[M]) -> list[M]:
    """Decode the messages of a frame one by one, and leave out those not understood.

    While a release rolls through the instances, some speak another version. One of its
    messages that is not known here must not take the others of its frame along, nor
    the link.
    """
    known: list[M] = []
    for raw in _RAW.decode(frame):
        try:
            known.append(decoder.decode(raw))
        except msgspec.ValidationError as error:
            log_event(Event.MESSAGE_SKIPPED, detail=str(error))
    return known
