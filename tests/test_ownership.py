"""Assignment of servers, claims with increasing fences, and gradual handover."""

from collections import Counter

import pytest

from arbutuspulley.controller.rows import list_written
from arbutuspulley.membership import observation as observing
from arbutuspulley.membership import ownership
from arbutuspulley.membership.lease import LeaseState
from arbutuspulley.membership.observation import ObservationState, SessionRow
from arbutuspulley.membership.ownership import OwnerRow
from arbutuspulley.membership.records import (
    OwnerRecord,
    SessionRecord,
    build_session_key,
    decode_owner,
    encode,
)
from arbutuspulley.ports.platform import Committed, Conflict, Transaction, Write
from tests.fakes import FakePlatform

LEASE_MS = 10_000


def build_sessions(names, *, now=0):
    """Return the state of an observer that has just seen each instance's session."""
    state = ObservationState(lease_ms=LEASE_MS)
    rows = [
        SessionRow(
            instance=name,
            revision=number,
            record=SessionRecord(
                instance=name, session=f"s-{name}", site="x", address="x:1"
            ),
        )
        for number, name in enumerate(names, start=1)
    ]
    observing.apply_scan(state, rows, sent_at=now, now=now)
    return state


def build_owner_row(server, instance, *, fence=1, session=None):
    record = OwnerRecord(
        server=server,
        session=f"s-{instance}" if session is None else session,
        instance=instance,
        fence=fence,
    )
    return OwnerRow(record=record, revision=fence)


def assign_all(names, servers, owners=None, sessions=None):
    """Let all instances claim from the same rows until there are no more claims."""
    owners = dict(owners or {})
    sessions = sessions or build_sessions(names)
    while True:
        claimed = {
            name: ownership.choose_claims(
                instance=name, servers=servers, owners=owners, sessions=sessions
            )
            for name in names
        }
        if not any(claimed.values()):
            return owners
        for name, chosen in claimed.items():
            for server in chosen:
                assert observing.is_expired(
                    sessions, owners[server].record.session if server in owners else ""
                )
                fence = owners[server].record.fence if server in owners else 0
                owners[server] = build_owner_row(server, name, fence=fence + 1)


def count(owners):
    return Counter(row.record.instance for row in owners.values())


def build_names(prefix, number):
    return [f"{prefix}{index:03d}" for index in range(number)]


@pytest.mark.parametrize(
    ("servers", "instances"), [(8, 6), (12, 6), (3, 6), (1, 1), (580, 40)]
)
def test_all_servers_are_assigned_with_a_fair_maximum(servers, instances):
    names = build_names("i", instances)
    owners = assign_all(names, build_names("s", servers))
    assert len(owners) == servers
    assert max(count(owners).values()) <= -(-servers // instances)
    assert {row.record.fence for row in owners.values()} == {1}


def test_replaced_instance_moves_only_its_own_servers():
    """An instance is replaced by one with another name.

    With plain hashing over the set of instances, each change would move servers between
    instances that are both live, and each move interrupts the server's orders.
    """
    names, servers = build_names("i", 6), build_names("s", 24)
    before = assign_all(names, servers)
    lost = {name for name, row in before.items() if row.record.instance == "i000"}
    rest = names[1:]
    free = {
        name: build_owner_row(name, "i000", session="") if name in lost else row
        for name, row in before.items()
    }
    after = assign_all(rest, servers, free)
    moved = {
        name
        for name in servers
        if before[name].record.instance != after[name].record.instance
    }
    assert moved == lost


def test_restarted_instances_get_their_own_servers_back():
    """Three of six instances restart together; hashing alone would swap their servers.

    Each swap interrupts orders and reports of a server without benefit.
    """
    names, servers = build_names("i", 6), build_names("s", 24)
    last = {server: names[place % 6] for place, server in enumerate(servers)}
    owners = {
        server: build_owner_row(server, name, session="" if name in names[:3] else None)
        for server, name in last.items()
    }
    after = assign_all(names, servers, owners)
    assert {server: row.record.instance for server, row in after.items()} == last


def release(owners, names, unchanged_ms):
    live = frozenset(names)
    return {
        name: ownership.choose_releases(
            instance=name,
            servers=owners,
            owned=[s for s, row in owners.items() if row.record.instance == name],
            live=live,
            unchanged_ms=unchanged_ms,
            lease_ms=LEASE_MS,
        )
        for name in names
    }


def test_excess_servers_are_handed_over_gradually():
    servers, names = build_names("s", 24), build_names("i", 6)
    owners = assign_all(names[:1], servers)
    assert not any(release(owners, names, 2 * LEASE_MS - 1).values())
    rounds = 0
    while any(chosen := release(owners, names, 2 * LEASE_MS).values()):
        rounds += 1
        released = [server for part in chosen for server in part]
        assert len(released) <= ownership.MAX_HANDOVERS_PER_ROUND
        for server in released:
            last = owners[server].record
            owners[server] = build_owner_row(
                server, last.instance, fence=last.fence, session=""
            )
        owners = assign_all(names, servers, owners)
    assert set(count(owners).values()) == {4}
    assert rounds == 10


def build_claim(name, servers, owners, sessions, *, revision, fences=None):
    lease = LeaseState(
        instance=name, lease_ms=LEASE_MS, session=f"s-{name}", revision=revision
    )
    return ownership.build_claim(
        servers,
        group="main",
        token=f"t-{name}",
        lease=lease,
        owners=owners,
        sessions=sessions,
        fences=fences or {},
    )


def write_record(fake, key, record):
    outcome = fake.platform.table.transact(
        Transaction(
            token="t", preconditions=(), writes=(Write(key=key, value=encode(record)),)
        )
    )
    return outcome.revision


def write_session(fake, name, renewal=1):
    record = SessionRecord(
        instance=name, session=f"s-{name}", site="x", address="x:1", renewal=renewal
    )
    return write_record(fake, build_session_key("main", name), record)


def test_only_one_of_two_concurrent_claims_succeeds():
    """An owner fails; two instances with different views both compute to be next.

    Both claim at the same time. If both succeeded, they would give orders to one server
    with the same fencing token.
    """
    fake = FakePlatform()
    revisions = {name: write_session(fake, name) for name in ("a", "b")}
    sessions = build_sessions(["a", "b"])
    outcomes = [
        fake.platform.table.transact(
            build_claim(name, ["s1"], {}, sessions, revision=revisions[name])
        )
        for name in ("a", "b")
    ]
    assert [type(outcome) for outcome in outcomes] == [Committed, Conflict]


@pytest.mark.parametrize("renewed", ["c", "a"])
def test_claim_fails_if_a_session_row_has_changed(renewed):
    """The owner ``c`` seems expired, and renews just before ``a`` claims its server.

    Or the claimer itself was paused after its decision, and its replacement has
    overwritten its row. In both cases the claim is based on outdated rows.
    """
    fake = FakePlatform()
    sessions = ObservationState(lease_ms=LEASE_MS)
    revisions = {name: write_session(fake, name) for name in ("a", "c")}
    owners = {"s1": build_owner_row("s1", "c", fence=4)}
    fence_revision = write_record(fake, "main/owner/s1", owners["s1"].record)
    owners["s1"] = OwnerRow(record=owners["s1"].record, revision=fence_revision)
    record = SessionRecord(instance="c", session="s-c", site="x", address="x:1")
    row = SessionRow(instance="c", revision=revisions["c"], record=record)
    observing.apply_scan(sessions, (row,), sent_at=0, now=0)
    claim = build_claim("a", ["s1"], owners, sessions, revision=revisions["a"])
    write_session(fake, renewed, renewal=2)
    assert isinstance(fake.platform.table.transact(claim), Conflict)


@pytest.mark.parametrize(
    ("row_fence", "known_fence", "expected"),
    [(None, 0, 1), (4, 0, 5), (4, 9, 10), (9, 4, 10)],
)
def test_claim_raises_the_fence_above_all_known_fences(
    row_fence, known_fence, expected
):
    """A table is restored from a backup and has fence 4; a server has seen 9.

    With fence 5, that server would refuse all orders.
    """
    owners = {}
    if row_fence is not None:
        owners["s1"] = build_owner_row("s1", "b", fence=row_fence, session="")
    claim = build_claim(
        "a",
        ["s1"],
        owners,
        build_sessions(["a"]),
        revision=1,
        fences={"s1": known_fence},
    )
    (row,) = list_written(claim, revision=1)
    assert decode_owner(row.value).fence == expected


def test_owned_server_with_a_higher_fence_is_claimed_again():
    owned = {name: build_owner_row(name, "a", fence=3) for name in ("s1", "s2", "s3")}
    fences = {"s1": 3, "s2": 8}
    assert ownership.choose_reclaims(owned, fences=fences) == ("s2",)


def test_release_keeps_the_fence_and_deletes_the_session_row():
    release = ownership.build_release(
        [build_owner_row("s1", "a", fence=7)],
        group="main",
        token="t",
        session_row=("a", 3),
    )
    owner, session = list_written(release, revision=9)
    record = decode_owner(owner.value)
    assert (record.session, record.fence, session.deleted) == ("", 7, True)
    expected = {part.key: part.revision for part in release.preconditions}
    assert expected == {"main/owner/s1": 7, "main/session/a": 3}


def test_exactly_one_instance_polls_a_server_without_owner():
    names = build_names("i", 6)
    pollers = {
        server: ownership.choose_poller(server, candidates=names)
        for server in build_names("s", 60)
    }
    assert set(pollers.values()) == set(names)
    assert ownership.choose_poller("s1", candidates=()) is None
