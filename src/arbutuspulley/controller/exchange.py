"""Delta exchange between controllers, and detection of unreachable peers.

Each controller polls each peer about once a second. A reply carries only the server
summaries and suspicions that changed since the last reply that the requesting
controller got from the same process, so replies are almost empty while nothing
changes.
"""

import random
from collections.abc import Iterable, Mapping

import msgspec

from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import State, Value
from arbutuspulley.rpc.messages import (
    CallerUsage,
    EntryAddress,
    ExchangeReply,
    ExchangeRequest,
    InstanceStatus,
    ItemDemand,
    ServerSummary,
    Suspicion,
)

PEER_TIMEOUT_MS = 3_000
"""Time since a peer's last reply after which it counts as unreachable."""


class _ServerChange(Value, frozen=True):
    """A server's summary and the number of its last change.

    :param summary: with age 0; ``None`` if the server is no longer reported.
    """

    number: int
    summary: ServerSummary | None


class _SuspicionChange(Value, frozen=True):
    number: int
    suspicion: Suspicion


class OutgoingUpdates(State):
    """State that this controller sends to its peers, with a number for each change.

    :param epoch: identifies this process; change numbers restart with each process.
    :param number: number of the latest change.
    :param ages: age of each server's load figures at the last update, in ms.
    """

    epoch: str
    number: int = 0
    servers: dict[str, _ServerChange] = {}
    ages: dict[str, int] = {}
    suspicions: dict[str, _SuspicionChange] = {}
    demand: tuple[ItemDemand, ...] = ()
    demand_number: int = 0


class PeerState(State):
    """State received from one peer.

    :param address: ``host:port`` of its controller.
    :param instance: its name; empty before its first reply.
    :param replied_at: when the request of its last reply was sent, in ms; ``None``
        before the first.
    :param next_call_at: earliest time of the next call after a failure, in ms.
    """

    address: str
    instance: str = ""
    epoch: str = ""
    number: int = 0
    configuration_version: int = 0
    replied_at: int | None = None
    failures: int = 0
    next_call_at: int = 0
    servers: dict[str, ServerSummary] = {}
    entries: tuple[EntryAddress, ...] = ()
    suspicions: dict[str, Suspicion] = {}
    usage: tuple[CallerUsage, ...] = ()
    demand: tuple[ItemDemand, ...] = ()
    status: InstanceStatus | None = None


def record_changes(
    state: OutgoingUpdates,
    *,
    servers: Mapping[str, ServerSummary],
    suspicions: Iterable[Suspicion],
    demand: tuple[ItemDemand, ...],
) -> None:
    """Store the current state and give each change a number.

    A change of a summary's age alone is no change: a peer that receives no update of
    a server can take its load figures as still valid.
    """
    state.ages = {name: summary.age_ms for name, summary in servers.items()}
    for name in state.servers.keys() | servers.keys():
        summary = servers.get(name)
        bare = msgspec.structs.replace(summary, age_ms=0) if summary else None
        known = state.servers.get(name)
        if known is None or known.summary != bare:
            state.number += 1
            state.servers[name] = _ServerChange(number=state.number, summary=bare)
    for suspicion in suspicions:
        last = state.suspicions.get(suspicion.fingerprint)
        if last is None or last.suspicion != suspicion:
            state.number += 1
            state.suspicions[suspicion.fingerprint] = _SuspicionChange(
                number=state.number, suspicion=suspicion
            )
    if demand != state.demand:
        state.number += 1
        state.demand, state.demand_number = demand, state.number


def build_reply(
    state: OutgoingUpdates,
    request: ExchangeRequest,
    *,
    instance: str,
    configuration: Configuration,
    entries: tuple[EntryAddress, ...],
    usage: tuple[CallerUsage, ...],
    status: InstanceStatus,
) -> ExchangeReply:
    """Return the changes that a peer has not received yet.

    A server that has none of the items in the request is listed as gone, since the
    peer may still know it as a holder of one.
    """
    after = request.after if request.epoch == state.epoch else 0
    wanted = frozenset(request.items)
    changed: list[ServerSummary] = []
    gone: list[str] = []
    for name, change in state.servers.items():
        if change.number <= after:
            continue
        if change.summary is None or (
            wanted and wanted.isdisjoint(change.summary.items)
        ):
            gone.append(name)
            continue
        age = state.ages.get(name, 0)
        changed.append(msgspec.structs.replace(change.summary, age_ms=age))
    known = request.configuration_version
    is_newer = known is not None and configuration.version > known
    return ExchangeReply(
        instance=instance,
        epoch=state.epoch,
        number=state.number,
        configuration_version=configuration.version,
        configuration=configuration if is_newer else None,
        servers=tuple(changed),
        gone=tuple(gone),
        entries=entries,
        suspicions=tuple(
            change.suspicion
            for change in state.suspicions.values()
            if change.number > after
        ),
        usage=usage,
        demand=state.demand if state.demand_number > after or not after else None,
        status=status,
    )


def build_request(
    peer: PeerState,
    *,
    instance: str,
    configuration_version: int | None,
    items: tuple[str, ...],
) -> ExchangeRequest:
    """Return a request for a peer's changes since its last reply.

    :param configuration_version: the active version if the peer should send its full
        configuration in case that is newer; else ``None``.
    """
    return ExchangeRequest(
        instance=instance,
        epoch=peer.epoch,
        after=peer.number,
        items=items,
        configuration_version=configuration_version,
    )


def choose_configuration_source(
    peers: Iterable[PeerState], *, version: int, now: int, rng: random.Random
) -> PeerState | None:
    """Choose one peer to fetch a newer configuration from, if a peer has one.

    A change normally arrives through the table within about a second; peers are a
    fallback for instances that cannot read the table. If every peer sent its full
    configuration to each outdated instance, a change would transfer as many copies to
    each instance as it has peers. So all peers send the version, and one the content.
    """
    newer = [
        peer
        for peer in peers
        if peer.configuration_version > version and not is_unreachable(peer, now=now)
    ]
    if not newer:
        return None
    best = max(peer.configuration_version for peer in newer)
    return rng.choice([peer for peer in newer if peer.configuration_version == best])


def apply_reply(peer: PeerState, reply: ExchangeReply, *, now: int) -> bool:
    """Apply a peer's reply; ignore one that is older than the state held.

    :return: whether the peer was unreachable or unknown until now.
    """
    was_unreachable = is_unreachable(peer, now=now)
    if reply.epoch != peer.epoch:
        peer.servers, peer.suspicions, peer.demand = {}, {}, ()
    elif reply.number < peer.number:
        return False
    peer.instance, peer.epoch, peer.number = reply.instance, reply.epoch, reply.number
    peer.configuration_version = reply.configuration_version
    peer.servers |= {summary.server: summary for summary in reply.servers}
    for name in reply.gone:
        peer.servers.pop(name, None)
    peer.suspicions |= {
        suspicion.fingerprint: suspicion for suspicion in reply.suspicions
    }
    peer.entries, peer.usage = reply.entries, reply.usage
    peer.status = reply.status
    if reply.demand is not None:
        peer.demand = reply.demand
    peer.replied_at, peer.failures, peer.next_call_at = now, 0, 0
    return was_unreachable


def is_unreachable(peer: PeerState, *, now: int) -> bool:
    """Return whether a peer has not replied for :data:`PEER_TIMEOUT_MS`, or never."""
    return peer.replied_at is None or now - peer.replied_at > PEER_TIMEOUT_MS
