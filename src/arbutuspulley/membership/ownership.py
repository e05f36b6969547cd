"""Who owns which server: sharing out, claims, releases and fencing numbers.

Every instance computes the same assignment from the same rows, by rendezvous
hashing under a fair bound, and claims only what falls to itself. A server goes
back to the instance that last had it if that one is there with room, so that a
restarted instance moves nobody else's servers.
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
"""Most servers claimed in one transaction."""

MAX_HANDOVERS_PER_ROUND = 2
"""Most servers handed over in one round, so that ownership shifts gradually."""

HANDOVER_SETTLE_LEASES = 2
"""Leases that the set of instances must be unchanged before servers are handed
over: an instance that is replaced meanwhile finds its own still with the others."""


class OwnerRow(Value, frozen=True):
    """An ownership row as read."""

    record: OwnerRecord
    revision: int


def list_owned(owners: Mapping[str, OwnerRow], *, session: str) -> dict[str, OwnerRow]:
    """Return the servers whose row names this session."""
    if not session:
        return {}
    return {
        server: row for server, row in owners.items() if row.record.session == session
    }


def compute_fair_share(*, servers: int, live: int) -> int:
    """Return how many servers one instance should own at most."""
    return math.ceil(servers / max(1, live))


def choose_claims(
    *,
    instance: str,
    servers: Iterable[str],
    owners: Mapping[str, OwnerRow],
    sessions: ObservationState,
) -> tuple[str, ...]:
    """Return the servers without an owner that fall to this instance.

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
    """Return own servers that have seen a higher fencing number than ours.

    A table restored from a backup holds fences of an earlier time. A server that
    checks orders would refuse all of ours as stale, for as long as we hold it.

    :param fences: the highest fencing number ever met for a server.
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
    """Return the servers to hand over because this instance has too many.

    :param owned: the servers that this instance owns.
    :param unchanged_ms: for how long the set of live instances has been the same.
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
    """Return the instance that reads a server's reports while it has no owner.

    Reading reports needs no ownership. Without this, the load of a server whose
    owner died would be unknown until the lease is over, or for as long as the
    store is down.
    """
    return max(candidates, key=lambda name: compute_score(server, name), default=None)


def compute_score(server: str, instance: str) -> int:
    """Return the rendezvous score of an instance for a server; highest wins."""
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
    """Build the transaction that claims servers, each with a higher fence.

    It holds three things fast: the ownership rows (two claimers race, one wins),
    the own session row (a claimer that was replaced gets nothing), and the row of
    a lapsed owner's session (an owner that renewed just now keeps its servers).

    :param fences: the highest fencing number ever met for a server, from rows or
        reports; a restored table may hold lower ones.
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
    """Build the transaction that hands servers over, fencing numbers kept.

    :param session_row: instance and revision of the own session row, to delete it
        in the same transaction as the process stops.
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
    """Return the live instance with room that a server without owner falls to."""
    candidates = [name for name in live if counts[name] < fair_share]
    if row is not None and row.record.instance in candidates:
        return row.record.instance
    return max(candidates, key=lambda name: compute_score(server, name), default=None)


def _build_expired_preconditions(
    record: OwnerRecord, group: str, sessions: ObservationState
) -> dict[str, int]:
    """Expect a lapsed session's row to be as it was when it was found lapsed."""
    row = observing.find_session_row(sessions, record.session)
    if row is None:
        return {}
    return {build_session_key(group, row.instance): row.revision}
