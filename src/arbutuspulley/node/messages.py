"""Messages between instances and the coordinator."""

import enum

from arbutuspulley.data import Message
from arbutuspulley.ports.fleet import AttemptOutcome, ModelNeed
from arbutuspulley.ports.store_position import StorePosition
from arbutuspulley.rpc.messages import Suspicion


class NodeInfo(Message, frozen=True):
    """Description of an instance.

    :param site: the instance's data centre.
    :param capacity: capacity in cores, limited by the bandwidth of its network link.
    :param coordinates: whether the instance is the coordinator.
    :param link: address at which other instances reach it; empty: unknown.
    :param reaches_servers: whether it can connect to backend servers.
    """

    name: str
    site: str
    region: str
    frontend: str
    is_ready: bool
    capacity: float = 1.0
    coordinates: bool = False
    link: str = ""
    reaches_servers: bool = True


class RunningRequest(Message, frozen=True):
    """A request in flight that a new coordinator has to count.

    :param pause_ms: gap target of the stream, in ms; 0: none.
    :param ran_ms: how long the request has run when this message is sent, in ms.
    """

    key: str
    incarnation: str
    need: ModelNeed
    pause_ms: int = 0
    ran_ms: int = 0


class ServerLimit(Message, frozen=True, tag="limit"):
    """The limits that a backend server states in its answers.

    The instance that reads it in an answer of the server sends it to the coordinator.

    :param per_s: requests per second, for all instances together; ``None``: the server
        states no limit.
    :param refusals_per_s: refusals per second beyond which the server falls over;
        ``None``: it is not brittle.
    """

    incarnation: str
    per_s: float | None = None
    refusals_per_s: float | None = None


class LeavingNotice(Message, frozen=True, tag="leaving"):
    """Servers that have stated in an answer that they are leaving.

    The instance that reads it sends it to the coordinator, which sends it to all.
    """

    incarnations: tuple[str, ...]


class ServerCooldown(Message, frozen=True, tag="cooldown"):
    """A server wants no requests from the sending instance for a while.

    :param remaining_ms: for how long, in ms.
    """

    incarnation: str
    remaining_ms: int


class StreamCopies(Message, frozen=True, tag="streams"):
    """Streams of callers that began at one software version of a service.

    :param version: name of the version.
    :param streams: key of each stream, and for how long it may be resumed, in ms.
    """

    service: str
    version: str
    streams: tuple[tuple[int, int], ...]


class Trial(Message, frozen=True):
    """A copy of a request that an instance sends while others wait for its outcome.

    :param fingerprint: hash of caller and body, or what stands for a part of prompts.
    :param has_ended: whether the server does not work on it any more.
    """

    fingerprint: str
    instance: str
    has_ended: bool = False


class SuspicionUpdate(Message, frozen=True, tag="suspected"):
    """Requests and parts of prompts that are suspected of crashing servers, or cleared.

    They are suspect if they were in flight when a server broke off. The instance that
    sees it informs the coordinator, which informs all instances.

    :param ages_ms: how long ago each suspicion changed; empty: just now.
    :param trials: copies of suspects that begin or end.
    :param parts: what is known of parts of prompts, by their ids.
    :param part_ages_ms: how long ago each of these changed; empty: just now.
    """

    suspicions: tuple[Suspicion, ...] = ()
    ages_ms: tuple[int, ...] = ()
    trials: tuple[Trial, ...] = ()
    parts: tuple[Suspicion, ...] = ()
    part_ages_ms: tuple[int, ...] = ()


class Hello(Message, frozen=True, tag="hello"):
    """First message of an instance on a connection to the coordinator.

    :param running: requests in flight at the instance.
    :param store_version: store version up to which the instance has the server rows,
        in the era ``store_era``.
    :param configuration: version of its active configuration; 0: none.
    :param reads_updates: whether the instance understands :class:`ConfigurationDelta`.
    :param limits: rate limits that the instance knows.
    :param leaving: incarnations of servers that it knows to be leaving by an answer.
    :param cooldowns: servers that want no requests from it for a while.
    :param streams: streams that it knows to have begun.
    :param suspects: requests that it knows to have been in flight at crashes.
    """

    info: NodeInfo
    running: tuple[RunningRequest, ...] = ()
    store_version: int = 0
    configuration: int = 0
    reads_updates: bool = False
    limits: tuple[ServerLimit, ...] = ()
    leaving: tuple[str, ...] = ()
    cooldowns: tuple[ServerCooldown, ...] = ()
    store_era: int = 0
    streams: tuple[StreamCopies, ...] = ()
    suspects: SuspicionUpdate = SuspicionUpdate()

    @property
    def store_position(self) -> StorePosition:
        """Position of the store up to which the instance has the server rows."""
        return StorePosition(era=self.store_era, version=self.store_version)


class Heartbeat(Message, frozen=True, tag="beat"):
    """Periodic heartbeat of an instance to the coordinator.

    :param is_ready: whether the instance serves callers.
    :param misses_store: whether the instance gets no usable answer from the store;
        ``None``: it has not called the store recently.
    :param follows_store: whether the instance has recently received all changes from
        the store.
    :param roster: version of the instance's roster; 0: it needs the full roster.
    :param configuration: version of its active configuration; 0: none.
    :param number: sequence number of the heartbeat on this connection, from 1.
    :param vouches: number of a coordinator status. When that status arrived, no
        configuration newer than the instance's active one existed; 0: not known.
    :param reaches_servers: whether the instance can connect to backend servers.
    """

    is_ready: bool
    misses_store: bool | None = None
    follows_store: bool = False
    roster: int = 0
    configuration: int = 0
    number: int = 0
    vouches: int = 0
    reaches_servers: bool = True


class RefusalReason(enum.StrEnum):
    """Reasons of a :class:`Refused` beside a lack of capacity or quota.

    ``VERSION_UNKNOWN``: the request resumes a stream whose software version is not
    known. ``VERSION_GONE``: no server of that version is left. ``VERSION_UNREAD``: the
    version may be known once the store can be read.
    """

    VERSION_UNKNOWN = "version unknown"
    VERSION_UNREAD = "version unread"
    VERSION_GONE = "version gone"


SECOND_KEY_SUFFIX = "\n2"
"""What is appended to the attempt id for the key of a second attempt's grant. A header
has no line end, so no caller's id ends in it."""


class GrantRequest(Message, frozen=True, tag="ask"):
    """Asks the coordinator for a model server for a request.

    Answered by :class:`Granted` or :class:`Refused`.

    :param aim_ms: time left until the latency target of the first part, in ms.
    :param left_ms: how long the request may wait for a server, in ms.
    :param avoid: incarnations of servers that must not be granted.
    :param is_repeat: whether a server has refused or failed the request before.
    :param pause_ms: gap target between events of the stream, in ms; 0: none.
    :param team: team that is charged for the request; empty: none.
    :param cost: cost to charge to the team; 0: it has been charged already.
    :param version: software version that the server must have; ``None``: not known.
    :param resumed_stream: key of the stream that the request resumes; ``None``: it
        begins one.
    :param fingerprint: identical when the caller sends the request again; 0: not known.
    :param ends_in_ms: how long the caller waits for the complete answer, in ms; 0: not
        known.
    :param is_second: whether it is for a second attempt beside one that is running. It
        is granted or refused at once, and never waits. An older coordinator would let
        it wait; see ``grants_second`` of :class:`CoordinatorStatus`.
    :param prompt: key of the last part of its prompt if it resumes a stream whose
        version is not known; 0: not stated.
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
    version: str | None = None
    resumed_stream: int | None = None
    fingerprint: int = 0
    ends_in_ms: int = 0
    is_second: bool = False
    prompt: int = 0


class PermissionRequest(Message, frozen=True, tag="permission"):
    """Asks for permission to send a request to a server that states a rate limit.

    Answered by :class:`Granted` or :class:`Refused`.
    """

    key: str
    incarnation: str


class ResponseStarted(Message, frozen=True, tag="started"):
    """The first part of an answer has arrived.

    :param took_ms: time since the request was sent to the server, in ms.
    :param service: service of a stream; empty: the sender states none.
    :param version: software version that began the stream.
    :param retention_ms: for how long the stream may be resumed, in ms; 0: not at all.
    :param stream: key of the stream if the request resumes it; 0: it begins one.
    :param run: key of the grant request if it is another one; empty: ``key``.
    """

    key: str
    incarnation: str
    took_ms: int
    service: str = ""
    version: str = ""
    retention_ms: int = 0
    stream: int = 0
    run: str = ""


class AttemptEnded(Message, frozen=True, tag="ended"):
    """An attempt at a granted server has ended.

    :param events: number of events of the stream that this server sent.
    """

    key: str
    incarnation: str
    how: AttemptOutcome
    events: int = 0


class QuotaUsage(Message, frozen=True, tag="spent"):
    """Cost that an instance has charged to a team's quota without a grant request.

    :param cost: negative if requests that were charged did not run.
    """

    team: str
    cost: int


class CancelRequest(Message, frozen=True, tag="withdraw"):
    """Cancels a grant request whose caller has disconnected."""

    key: str
    service: str


class Granted(Message, frozen=True, tag="granted"):
    """Permits sending the request to this server now."""

    key: str
    incarnation: str
    address: str
    is_late: bool


class Refused(Message, frozen=True, tag="refused"):
    """The request can't be served; it has not run.

    :param is_over_quota: whether the team has used up its quota; the request was not
        charged then.
    :param reason: one of :class:`RefusalReason`; empty: another one.
    """

    key: str
    retry_after_ms: int
    is_over_quota: bool = False
    reason: str = ""


class QuotaExceeded(Message, frozen=True, tag="overdrawn"):
    """A team has used more than its quota.

    :param wait_ms: time until the quota has been refilled, in ms.
    """

    team: str
    wait_ms: int


class CoordinatorStatus(Message, frozen=True, tag="digest"):
    """Periodic status of the coordinator, which is also its heartbeat.

    :param is_holder: whether the coordinator holds the lease; without the lease it
        sends no orders.
    :param instances: number of reachable instances, including the coordinator.
    :param takers: number of advertised instances.
    :param followers: instances that follow the store in addition to the coordinator.
    :param is_store_followed: whether changes of the store currently reach the
        coordinator; the other instances need not call the store then.
    :param store_version: store version up to which all server rows were sent before
        this message, in the era ``store_era``.
    :param configuration: version of the coordinator's active configuration; 0: none.
        That configuration was sent before this message.
    :param beat: number of the last heartbeat from the receiver; 0: none arrived.
    :param number: sequence number of the status on this connection, from 1.
    :param fresh_beat: number of a heartbeat from the receiver. When it was sent, no
        configuration newer than ``configuration`` existed; 0: not known of any.
    :param view_beat: number of a heartbeat from the receiver. When it was sent, no
        server existed whose row was not sent before this message; 0: not known of any.
    :param grants_second: whether the coordinator understands grant requests for second
        attempts.
    :param records_streams: whether the coordinator records in the store which software
        version began each stream, and reads these records.
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
    store_era: int = 0
    grants_second: bool = False
    records_streams: bool = False
    view_beat: int = 0

    @property
    def store_position(self) -> StorePosition:
        """Position of the store up to which all server rows were sent before."""
        return StorePosition(era=self.store_era, version=self.store_version)


class RosterChange(Message, frozen=True, tag="roster"):
    """Delta of the roster, the list of instances.

    :param version: roster version after this change.
    :param base: roster version before the change; 0: this is the full roster.
    :param joined: new instances, and instances whose information has changed.
    :param left: names of the instances that are no longer on the roster.
    """

    version: int
    base: int = 0
    joined: tuple[NodeInfo, ...] = ()
    left: tuple[str, ...] = ()


class RelayedRow(Message, frozen=True):
    """A server row of the store.

    :param version: version of the store's transaction that wrote or removed the row.
        Rows arrive by several paths; the newest position of a row wins.
    :param value: value as stored; empty: the row has been removed.
    :param era: era in which the row was read; 0: the sender states none.
    """

    key: str
    version: int
    value: bytes = b""
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position of the transaction."""
        return StorePosition(era=self.era, version=self.version)


class StoreUpdate(Message, frozen=True, tag="news"):
    """Changes that one instance received from the store, relayed to others.

    :param configuration: configuration as stored; empty: no newer one. Sent only to
        instances that don't understand :class:`ConfigurationDelta`.
    :param was_away: whether the store was unavailable shortly before: rows of servers
        that are still running may have lapsed.
    """

    configuration: bytes = b""
    rows: tuple[RelayedRow, ...] = ()
    was_away: bool = False


class DeltaStep(Message, frozen=True, array_like=True):
    """One step of a configuration delta: copies parts of the base, then adds new parts.

    :param start: index of the first part of the base to copy.
    :param count: number of parts to copy.
    :param fresh: number of new parts that follow.
    """

    start: int
    count: int
    fresh: int


class ConfigurationDelta(Message, frozen=True, tag="configuration"):
    """Delta from one version of the configuration to a newer one.

    :param version: version that the delta produces.
    :param base: version that the steps copy from; 0: none, the delta is self-contained.
    :param text: all new parts, compressed.
    :param checksum: CRC-32 of the newer version as stored.
    """

    version: int
    base: int
    steps: tuple[DeltaStep, ...]
    text: bytes
    checksum: int


class ServerLimits(Message, frozen=True, tag="limits"):
    """Rate limits of servers that the coordinator knows.

    :param limits: changed limits, or all limits.
    :param are_all: whether ``limits`` is complete: all other servers state no limit.
    """

    limits: tuple[ServerLimit, ...]
    are_all: bool = False


class CoordinatorEstimates(Message, frozen=True, tag="learnt"):
    """The coordinator's estimates, sent to its possible successors.

    :param speeds: prefill speed of a server in prompt tokens per ms, by service and
        kind of model.
    :param demand: demand in prompt tokens per second, by service and model.
    :param server_speeds: speed of a server relative to others, by service and
        incarnation; only of servers that differ.
    """

    speeds: dict[str, dict[str, float]]
    demand: dict[str, dict[str, float]] = {}
    server_speeds: dict[str, dict[str, float]] = {}


ToCoordinator = (
    Hello
    | Heartbeat
    | GrantRequest
    | PermissionRequest
    | ServerLimit
    | LeavingNotice
    | ServerCooldown
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
    | LeavingNotice
    | StreamCopies
    | CoordinatorEstimates
    | SuspicionUpdate
    | RosterChange
    | StoreUpdate
    | ConfigurationDelta
)
