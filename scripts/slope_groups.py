"""Builds the state of one controller as it would be in a group of a given size.

Nothing is started: the state comes from the same functions that take in rows,
configurations and peers' replies in the running product.
"""

import hashlib
from collections.abc import Iterator

from arbutuspulley.configuration import schema
from arbutuspulley.configuration.force import offer
from arbutuspulley.controller.exchange import PeerState, take_reply
from arbutuspulley.controller.reports import ServerState
from arbutuspulley.controller.rows import GroupRows, take_rows
from arbutuspulley.controller.state import Controller, ControllerSettings
from arbutuspulley.data import Value
from arbutuspulley.membership.observation import observe
from arbutuspulley.membership.records import (
    OwnerRecord,
    SessionRecord,
    build_owner_key,
    build_session_key,
)
from arbutuspulley.membership.records import encode as encode_membership
from arbutuspulley.placement.records import (
    CopiesRecord,
    EntryState,
    LedgerEntry,
    ServerLedger,
    build_copies_key,
    build_ledger_key,
    encode,
)
from arbutuspulley.ports.engines import ItemState, Report, ReportedItem
from arbutuspulley.ports.platform import Row
from arbutuspulley.programs.controller import build_controller
from arbutuspulley.rpc.messages import (
    EntryAddress,
    ExchangeReply,
    InstanceStatus,
    ServerSummary,
)

GROUP = "main"
SITE = "semarang-a"
MODEL_MIB = 14_000
SERVER_MIB = 120_000
CALLERS = 200
"""Callers of a configuration; the brief names no number, so this is an assumption."""


class Size(Value, frozen=True):
    """How large a group is.

    :param nodes: instances of the group; they own the servers in equal parts.
    :param models: models configured; each is loaded on one server.
    """

    nodes: int
    servers: int
    models: int


def build_configuration(
    *, servers: int, models: int, callers: int = CALLERS, sites: int = 1
) -> schema.Configuration:
    """Return a configuration whose sites all have the same models and callers."""
    shared_models = {
        f"model-{number:04d}": schema.Model(
            version=f"2026-{number % 12 + 1:02d}",
            size_mib=MODEL_MIB,
            kv_floor_mib=1_000,
        )
        for number in range(models)
    }
    shared_callers = {
        f"caller-{number:04d}": schema.Caller(
            key_sha256=hashlib.sha256(str(number).encode()).hexdigest()
        )
        for number in range(callers)
    }
    names = [SITE, *(f"site-{number}" for number in range(2, sites + 1))]
    return schema.Configuration(
        version=1,
        sites={
            name: schema.Site(
                models=shared_models,
                callers=shared_callers,
                servers={
                    build_server_name(number): schema.Server(
                        address=build_address(number),
                        memory_mib=SERVER_MIB,
                        checks_orders=True,
                    )
                    for number in range(servers)
                    if number % sites == index
                },
            )
            for index, name in enumerate(names)
        },
    )


def build_server_name(number: int) -> str:
    """Return the name of a server."""
    return f"server-{number:04d}"


def build_address(number: int) -> str:
    """Return the address of a server."""
    return f"10.{number // 250 % 250}.{number % 250}.1:8000"


def list_held(size: Size, server: int) -> list[str]:
    """Return the items that a server holds: each model is on one server."""
    return [
        f"model-{model:04d}@2026-{model % 12 + 1:02d}"
        for model in range(server, size.models, size.servers)
    ]


def build_summary(size: Size, server: int, *, running: int = 4) -> ServerSummary:
    """Return what is told of a server."""
    return ServerSummary(
        server=build_server_name(server),
        site=SITE,
        address=build_address(server),
        items=tuple(list_held(size, server)),
        running=running,
        waiting_tokens=1_200,
        tokens_per_s=310.0,
        boot_id="0123456789ab",
        age_ms=120,
    )


def build_report(size: Size, server: int, *, sequence: int = 1) -> Report:
    """Return a server's own report."""
    items = tuple(
        ReportedItem(
            item=item, state=ItemState.LOADED, memory_mib=15_000, number=number + 1
        )
        for number, item in enumerate(list_held(size, server))
    )
    return Report(
        server=build_server_name(server),
        boot_id="0123456789ab",
        sequence=sequence,
        items=items,
        memory_total_mib=SERVER_MIB,
        memory_used_mib=15_000 * len(items),
        running=4,
        waiting_tokens=1_200,
        tokens_per_s=310.0,
        fence=1,
        last_order=len(items),
    )


def build_ledger(size: Size, server: int) -> ServerLedger:
    """Return a server's ledger with all its items loaded."""
    entries = tuple(
        LedgerEntry(
            item=item,
            memory_mib=15_000,
            state=EntryState.LOADED,
            number=number + 1,
            fence=1,
            boot_id="0123456789ab",
            sends=1,
            accepted=1,
            seen=True,
        )
        for number, item in enumerate(list_held(size, server))
    )
    return ServerLedger(
        server=build_server_name(server),
        fence=1,
        next_order=len(entries) + 1,
        boot_id="0123456789ab",
        sequence=1,
        entries=entries,
    )


def build_rows(size: Size) -> list[Row]:
    """Return all rows of the group's table prefix."""
    values = [*_list_sessions(size), *_list_servers(size), *_list_copies(size)]
    return [
        Row(key=key, value=value, revision=number, token="0" * 32)
        for number, (key, value) in enumerate(values, start=1)
    ]


def build_rows_state(rows: list[Row]) -> GroupRows:
    """Return what a controller keeps of these rows."""
    state = GroupRows(group=GROUP)
    take_rows(state, rows, now=1_000)
    return state


def build_state(size: Size) -> Controller:
    """Return the controller of instance 0, which owns its part of the servers."""
    controller = build_controller(_build_settings())
    offer(
        controller.force,
        build_configuration(servers=size.servers, models=size.models),
    )
    now = controller.clock.now()
    sessions = take_rows(controller.rows, build_rows(size), now=now)
    observe(controller.sessions, sessions, sent_at=now, now=now)
    controller.lease.session = "session-0"
    controller.lease.sent_at = now
    for server in range(0, size.servers, size.nodes):
        name = build_server_name(server)
        controller.servers[name] = ServerState(
            name=name,
            address=build_address(server),
            report=build_report(size, server),
            received_at=now,
        )
    for node in range(1, size.nodes):
        peer = PeerState(address=f"10.200.0.{node}:7000")
        take_reply(peer, build_peer_reply(size, node), now=now)
        controller.peers[peer.address] = peer
    return controller


def build_peer_reply(
    size: Size, node: int, *, servers: int | None = None
) -> ExchangeReply:
    """Return a peer's reply that tells of its servers.

    :param servers: how many of them changed; by default all that it owns.
    """
    owned = range(node, size.servers, size.nodes)
    told = owned if servers is None else owned[:servers]
    return ExchangeReply(
        instance=f"instance-{node}",
        epoch="0123456789abcdef0123456789abcdef",
        number=1,
        configuration_version=1,
        servers=tuple(build_summary(size, server) for server in told),
        entries=(_build_entry(node),),
        demand=(),
        status=InstanceStatus(
            instance=f"instance-{node}",
            site=SITE,
            configuration_version=1,
            lease_held=True,
            store_up=True,
            owned=tuple(build_server_name(server) for server in owned),
            entry_versions={f"10.201.0.{node}:8080": 1},
        ),
    )


def _build_entry(node: int) -> EntryAddress:
    return EntryAddress(
        instance=f"instance-{node}",
        site=SITE,
        address=f"10.201.0.{node}:8080",
        load=0.4,
        boot_id="0123456789abcdef0123456789abcdef",
    )


def _build_settings() -> ControllerSettings:
    return ControllerSettings(
        instance="instance-0",
        site=SITE,
        group=GROUP,
        listen="127.0.0.1:1",
        http="127.0.0.1:1",
        platform="127.0.0.1:1",
        peers=(),
        peer_key="peer-key",
        lease_ms=10_000,
        renew_ms=2_500,
        report_ms=500,
        exchange_ms=1_000,
        follow_ms=1_000,
    )


def _list_sessions(size: Size) -> Iterator[tuple[str, bytes]]:
    for node in range(size.nodes):
        record = SessionRecord(
            instance=f"instance-{node}",
            session=f"session-{node}",
            site=SITE,
            address=f"10.200.0.{node}:7000",
            entries=(f"10.201.0.{node}:8080",),
            renewal=7,
        )
        key = build_session_key(GROUP, record.instance)
        yield key, encode_membership(record)


def _list_servers(size: Size) -> Iterator[tuple[str, bytes]]:
    for server in range(size.servers):
        name = build_server_name(server)
        node = server % size.nodes
        owner = OwnerRecord(
            server=name, session=f"session-{node}", instance=f"instance-{node}", fence=1
        )
        yield build_owner_key(GROUP, name), encode_membership(owner)
        yield build_ledger_key(GROUP, name), encode(build_ledger(size, server))


def _list_copies(size: Size) -> Iterator[tuple[str, bytes]]:
    for server in range(size.servers):
        for item in list_held(size, server):
            record = CopiesRecord(item=item, servers=(build_server_name(server),))
            yield build_copies_key(GROUP, item), encode(record)
