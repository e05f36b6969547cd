"""Ownership of servers: assignment, claims, releases and fencing tokens.

Every instance computes the same assignment from the same rows, by rendezvous hashing
with a maximum per instance, and claims only the servers assigned to itself. A server
returns to its last owner if that instance is live and below the maximum, so that a
restart of an instance moves no other instance's servers.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import xxhash

from arbutuspulley.data import Value
from arbutuspulley.membership import observation as observing
from arbutuspulley.membership.lease import LeaseState
from arbutuspulley.membership.observation import ObservationState
from arbutuspulley.membership.records import (
    OwnerRecord,
    build_owner_key,
    build_session_key,
    encode,
)
from arbutuspulley.ports.platform import ABSENT, Precondition, Transaction, Write

MAX_CLAIMS_PER_TRANSACTION = 16
"""Maximum number of servers claimed in one transaction."""

MAX_HANDOVERS_PER_ROUND = 2
"""Maximum number of servers that an instance hands over in one round, so that ownership
moves gradually."""

HANDOVER_SETTLE_LEASES = 2
"""How long the set of live instances must be unchanged before servers are handed over,
in leases: while an instance is being replaced, its servers stay with the others."""


class OwnerRow(Value, frozen=True):
    """An ownership row and its revision, as read."""

    record: OwnerRecord
    revision: int


def list_owned(owners: Mapping[str, OwnerRow], *, session: str) -> dict[str, OwnerRow]:
    """Return the servers that this session owns, with their rows."""
    if not session:
        return {}
    return {
        server: row for server, row in owners.items() if row.record.session == session
    }


def compute_fair_share(*, servers: int, live: int) -> int:
    """Return the maximum number of servers that one instance should own.

    :param live: number of live instances.
    """
    return math.ceil(servers / max(1, live))


def choose_claims(
    *,
    instance: str,
    servers: Iterable[str],
    owners: Mapping[str, OwnerRow],
    sessions: ObservationState,
) -> tuple[str, ...]:
    """Return the servers without an owner that are assigned to this instance.

    :param servers: all servers of the group's configuration.
    """
    names = sorted(servers)
    live = observing.list_live(sessions)
    counts: Counter[str] = Counter()
    free: list[str] = []
    for server in names:
        row = owners.get(server)
        if row is None or observing.is_expired(sessions, row.record.session):
            free.append(server)
        else:
            counts[row.record.instance] += 1
    fair_share = compute_fair_share(servers=len(names), live=len(live))
    claims: list[str] = []
    for server in free:
        chosen = _choose_owner(server, owners.get(server), live, counts, fair_share)
        if chosen is None:
            continue
        counts[chosen] += 1
        if chosen == instance:
            claims.append(server)
    return tuple(claims[:MAX_CLAIMS_PER_TRANSACTION])


def choose_reclaims(
    owned: Mapping[str, OwnerRow], *, fences: Mapping[str, int]
) -> tuple[str, ...]:
    """Return owned servers that have seen a higher fencing token than their row's.

    A table restored from a backup has older fencing tokens. A server that checks them
    would refuse all orders of its owner as stale, until it is claimed again.

    :param fences: the highest known fencing token of each server.
    """
    outdated = [
        server
        for server, row in sorted(owned.items())
        if fences.get(server, 0) > row.record.fence
    ]
    return tuple(outdated[:MAX_CLAIMS_PER_TRANSACTION])


def choose_releases(
    *,
    instance: str,
    servers: Iterable[str],
    owned: Iterable[str],
    live: frozenset[str],
    unchanged_ms: int,
    lease_ms: int,
) -> tuple[str, ...]:
    """Return the servers to hand over because this instance has more than its share.

    :param owned: the servers that this instance owns.
    :param unchanged_ms: for how long the set of live instances has been unchanged.
    """
    names = frozenset(servers)
    if instance not in live or unchanged_ms < HANDOVER_SETTLE_LEASES * lease_ms:
        return ()
    held = [server for server in owned if server in names]
    excess = len(held) - compute_fair_share(servers=len(names), live=len(live))
    if excess <= 0:
        return ()
    held.sort(key=lambda server: compute_score(server, instance))
    return tuple(held[: min(excess, MAX_HANDOVERS_PER_ROUND)])


def choose_poller(server: str, *, candidates: Iterable[str]) -> str | None:
    """Return the instance that polls a server's reports while it has no owner.

    Polling needs no ownership. Without it, the load of a server whose owner failed
    would be unknown until the owner's lease has expired, or for as long as the store
    is down.
    """
    return max(candidates, key=lambda name: compute_score(server, name), default=None)


def compute_score(server: str, instance: str) -> int:
    """Return the rendezvous hash of an instance for a server; the highest wins."""
    return xxhash.xxh64_intdigest(f"{server}\0{instance}".encode())


def build_claim(
    servers: Sequence[str],
    *,
    group: str,
    token: str,
    lease: LeaseState,
    owners: Mapping[str, OwnerRow],
    sessions: ObservationState,
    fences: Mapping[str, int],
) -> Transaction:
    """Build the transaction that claims servers, each with a higher fencing token.

    It has preconditions on three kinds of rows: the ownership rows (of two claimers,
    one succeeds), the own session row (a claimer that was replaced fails), and the
    session rows of expired owners (an owner that has just renewed keeps its servers).

    :param fences: the highest known fencing token of each server, from rows or
        reports; a restored table may have lower ones.
    """
    assert lease.revision is not None
    own_key = build_session_key(group, lease.instance)
    expected = {own_key: lease.revision}
    writes: list[Write] = []
    for server in servers:
        row = owners.get(server)
        expected[build_owner_key(group, server)] = row.revision if row else ABSENT
        if row is not None:
            expected.update(_build_expired_preconditions(row.record, group, sessions))
        known = max(row.record.fence if row else 0, fences.get(server, 0))
        record = OwnerRecord(
            server=server,
            session=lease.session,
            instance=lease.instance,
            fence=known + 1,
        )
        writes.append(Write(key=build_owner_key(group, server), value=encode(record)))
    return Transaction(
        token=token,
        preconditions=tuple(
            Precondition(key=key, revision=revision)
            for key, revision in expected.items()
        ),
        writes=tuple(writes),
    )


def build_release(
    rows: Iterable[OwnerRow],
    *,
    group: str,
    token: str,
    session_row: tuple[str, int] | None = None,
) -> Transaction:
    """Build the transaction that releases servers; their fencing tokens are kept.

    :param session_row: instance and revision of the own session row, to delete it in
        the same transaction when the process stops.
    """
    preconditions: list[Precondition] = []
    writes: list[Write] = []
    for row in rows:
        key = build_owner_key(group, row.record.server)
        released = OwnerRecord(
            server=row.record.server,
            session="",
            instance=row.record.instance,
            fence=row.record.fence,
        )
        preconditions.append(Precondition(key=key, revision=row.revision))
        writes.append(Write(key=key, value=encode(released)))
    if session_row is not None:
        instance, revision = session_row
        key = build_session_key(group, instance)
        preconditions.append(Precondition(key=key, revision=revision))
        writes.append(Write(key=key, value=None))
    return Transaction(
        token=token, preconditions=tuple(preconditions), writes=tuple(writes)
    )


def _choose_owner(
    server: str,
    row: OwnerRow | None,
    live: frozenset[str],
    counts: Counter[str],
    fair_share: int,
) -> str | None:
    """Return the live instance that a server without owner is assigned to.

    :return: ``None`` if all live instances own their fair share.
    """
    candidates = [name for name in live if counts[name] < fair_share]
    if row is not None and row.record.instance in candidates:
        return row.record.instance
    return max(candidates, key=lambda name: compute_score(server, name), default=None)


def _build_expired_preconditions(
    record: OwnerRecord, group: str, sessions: ObservationState
) -> dict[str, int]:
    """Return the revision at which an expired session's row was found, by its key."""
    row = observing.find_session_row(sessions, record.session)
    if row is None:
        return {}
    return {build_session_key(group, row.instance): row.revision}
