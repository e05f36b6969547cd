"""What controllers tell one another: changes only, and who is silent.

Each controller asks each peer for news about once a second. A reply carries the
server summaries and suspicions that changed since the asker's last reply from the
same process, so that a quiet system exchanges little more than empty messages.
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
"""Time without a reply after which a peer counts as unreachable."""


class _ServerChange(Value, frozen=True):
    """A summary with the number under which it last changed.

    :param summary: with age 0; ``None`` if the server is no longer told of.
    """

    number: int
    summary: ServerSummary | None


class _SuspicionChange(Value, frozen=True):
    number: int
    suspicion: Suspicion


class OutgoingUpdates(State):
    """What this controller tells its peers.

    :param epoch: names this process; numbers start anew with each.
    :param number: counts changes.
    :param ages: age of each server's load numbers as last updated.
    """

    epoch: str
    number: int = 0
    servers: dict[str, _ServerChange] = {}
    ages: dict[str, int] = {}
    suspicions: dict[str, _SuspicionChange] = {}
    demand: tuple[ItemDemand, ...] = ()
    demand_number: int = 0


class PeerState(State):
    """What one peer told.

    :param address: ``host:port`` of its controller.
    :param instance: its name; empty until it answered once.
    :param replied_at: when its last reply came; ``None`` before the first.
    :param next_at: earliest time of the next call while it doesn't answer.
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
    """Take in what this controller now knows and number what changed.

    The age of a summary is no change: a peer that gets no news of a server knows
    that its numbers still hold.
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
        told = state.suspicions.get(suspicion.fingerprint)
        if told is None or told.suspicion != suspicion:
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
    """Answer a peer with what is new to it.

    A server that no longer holds an item the peer serves is told as gone, since
    the peer may still know it as a holder.
    """
    after = request.after if request.epoch == state.epoch else 0
    wanted = frozenset(request.items)
    told: list[ServerSummary] = []
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
        told.append(msgspec.structs.replace(change.summary, age_ms=age))
    known = request.configuration_version
    is_newer = known is not None and configuration.version > known
    return ExchangeReply(
        instance=instance,
        epoch=state.epoch,
        number=state.number,
        configuration_version=configuration.version,
        configuration=configuration if is_newer else None,
        servers=tuple(told),
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
    """Ask a peer for what is new since its last reply.

    :param configuration_version: the version in force, if the peer's whole
        configuration is wanted should it be newer.
    """
    return ExchangeRequest(
        instance=instance,
        epoch=peer.epoch,
        after=peer.number,
        items=items,
        configuration_version=configuration_version,
    )


def choose_configuration_source(
    peers: Iterable[PeerState], *, version: int, now: int, chance: random.Random
) -> PeerState | None:
    """Choose the one peer to ask for its configuration, if one has a newer one.

    A change comes by the table within a second or so; peers are for instances that
    the table fails. If every peer sent its configuration to whoever is a version
    behind, a change would bring as many whole copies to each instance as it has
    peers. So the version is told by all, and the rest by one.
    """
    newer = [
        peer
        for peer in peers
        if peer.configuration_version > version and not is_unreachable(peer, now=now)
    ]
    if not newer:
        return None
    best = max(peer.configuration_version for peer in newer)
    return chance.choice([one for one in newer if one.configuration_version == best])


def apply_reply(peer: PeerState, reply: ExchangeReply, *, now: int) -> bool:
    """Take in a peer's news.

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
    peer.suspicions |= {one.fingerprint: one for one in reply.suspicions}
    peer.entries, peer.usage = reply.entries, reply.usage
    peer.status = reply.status
    if reply.demand is not None:
        peer.demand = reply.demand
    peer.replied_at, peer.failures, peer.next_call_at = now, 0, 0
    return was_unreachable


def is_unreachable(peer: PeerState, *, now: int) -> bool:
    """Tell whether a peer has not answered for :data:`PEER_TIMEOUT_MS`, or never."""
    return peer.replied_at is None or now - peer.replied_at > PEER_TIMEOUT_MS
