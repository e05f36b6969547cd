"""Slopes at sizes that cannot be started here: the product's functions, called.

Times are processor time of this process, the least of several calls; memory is what
Python's allocator hands out while a structure is decoded and taken in.
"""

import gc
import time
import tracemalloc
import zlib
from collections.abc import Callable

import msgspec

from arbutuspulley.configuration import schema
from arbutuspulley.configuration.changes import Change
from arbutuspulley.configuration.difference import build_delta, compute_digest
from arbutuspulley.configuration.force import ForceState, apply_changes, offer
from arbutuspulley.controller.exchange import PeerState, build_reply, take_reply
from arbutuspulley.controller.following import _take_page
from arbutuspulley.controller.polling import choose_read
from arbutuspulley.controller.publishing import build_status, list_summaries, publish
from arbutuspulley.controller.state import Controller
from arbutuspulley.entry.index import build_index
from arbutuspulley.placement.ledger import reconcile
from arbutuspulley.placement.planner import (
    DOWN_AFTER_MS,
    PlannerInputs,
    PlannerState,
    plan,
)
from arbutuspulley.ports.engines import Report
from arbutuspulley.ports.platform import Page
from arbutuspulley.rpc.messages import (
    CallerUsage,
    ExchangeReply,
    ExchangeRequest,
    ItemDemand,
    View,
)
from scripts import slope_groups as groups
from scripts.slope_figures import Figure, build_slope
from scripts.slope_fit import Point
from scripts.slope_groups import Size

MODELS = (100, 400, 1_400)
SERVERS = (100, 1_000, 5_200)
CELLS = (
    Size(nodes=10, servers=145, models=350),
    Size(nodes=20, servers=290, models=700),
    Size(nodes=40, servers=580, models=1_400),
)
"""A quarter, a half and the whole of one cell at the target."""

CALLS = 3
_NS_PER_MS = 1_000_000
_KIB = 1_024

Work = Callable[[], object]


def measure_sizes() -> list[Figure]:
    """Call the product's functions at three sizes each."""
    return [
        *_measure_models(),
        *_measure_sites(),
        *_measure_servers(),
        *_measure_cells(),
        *_measure_messages(),
    ]


def _measure_models() -> list[Figure]:
    """What a model more in the configuration of one site costs."""
    points: dict[str, list[Point]] = {}
    for count in MODELS:
        configuration = groups.build_configuration(servers=10, models=count, callers=10)
        data = msgspec.json.encode(configuration, order="sorted")
        change = _build_change(configuration)

        def add(name: str, value: float, size: int = count) -> None:
            points.setdefault(name, []).append(Point(size=size, value=value))

        add("snapshot_bytes", len(data))
        add("snapshot_packed_bytes", len(zlib.compress(data)))
        add("memory", _measure_memory(lambda d=data: _decode_configuration(d)) / _KIB)
        add("change_cpu", _time_change(configuration, change))
        add("index_cpu", _time(lambda c=configuration: build_index(c, site=groups.SITE)))
    units = {
        "snapshot_bytes": "bytes a model and site",
        "snapshot_packed_bytes": "bytes a model and site, compressed",
        "memory": "KiB a model and site, configuration",
        "change_cpu": "ms a change, a model and site",
        "index_cpu": "ms a change at an entry, a model",
    }
    return [
        build_slope(f"configuration.{name}", units[name], points[name])
        for name in points
    ]


def _measure_sites() -> list[Figure]:
    """The whole configuration of 9 sites, at three numbers of models."""
    snapshot: list[Point] = []
    change_cpu: list[Point] = []
    memory: list[Point] = []
    for count in MODELS:
        configuration = groups.build_configuration(
            servers=5_200 * count // MODELS[-1], models=count, sites=9
        )
        data = msgspec.json.encode(configuration, order="sorted")
        size = 9 * count
        snapshot.append(Point(size=size, value=len(data)))
        memory.append(
            Point(
                size=size,
                value=_measure_memory(lambda d=data: _decode_configuration(d)) / _KIB,
            )
        )
        change = _build_change(configuration)
        change_cpu.append(Point(size=size, value=_time_change(configuration, change)))
    unit = "9 sites, servers in proportion up to 5,200, a model and site"
    return [
        build_slope("fleet.snapshot_bytes", f"bytes; {unit}", snapshot),
        build_slope("fleet.configuration_memory", f"KiB; {unit}", memory),
        build_slope("fleet.change_cpu", f"ms a change; {unit}", change_cpu),
    ]


def _measure_servers() -> list[Figure]:
    """What a server more costs in rows, summaries, configuration and View."""
    points: dict[str, list[Point]] = {}
    for count in SERVERS:
        size = Size(nodes=40, servers=count, models=3 * count)
        rows = groups.build_rows(size)
        configuration = groups.build_configuration(servers=count, models=10, callers=10)
        data = msgspec.json.encode(configuration)
        view = View(
            number=1,
            ready=True,
            store_up=True,
            configuration=schema.EMPTY,
            servers=tuple(groups.build_summary(size, one) for one in range(count)),
        )
        packed = msgspec.msgpack.encode(view)

        def add(name: str, value: float, size: int = count) -> None:
            points.setdefault(name, []).append(Point(size=size, value=value))

        add("rows_bytes", sum(len(row.key) + len(row.value) for row in rows))
        add("rows_memory", _measure_memory(lambda r=rows: groups.build_rows_state(r)) / _KIB)
        add("rows_cpu", _time(lambda r=rows: groups.build_rows_state(r)))
        add("configuration_memory", _measure_memory(lambda d=data: _decode_configuration(d)) / _KIB)
        add("view_bytes", len(packed))
        add("view_memory", _measure_memory(lambda p=packed: _decode_view(p)) / _KIB)
        add("view_encode_cpu", _time(lambda v=view: msgspec.msgpack.encode(v)))
        add("view_decode_cpu", _time(lambda p=packed: _decode_view(p)))
    units = {
        "rows_bytes": "bytes a server, with 3 copies",
        "rows_memory": "KiB a server, with 3 copies",
        "rows_cpu": "ms a server, with 3 copies, first read",
        "configuration_memory": "KiB a server",
        "view_bytes": "bytes a server, with 3 copies",
        "view_memory": "KiB a server, with 3 copies",
        "view_encode_cpu": "ms a server",
        "view_decode_cpu": "ms a server",
    }
    return [build_slope(f"server.{name}", units[name], points[name]) for name in points]


def _measure_cells() -> list[Figure]:
    """The periodic steps of one controller, by servers of its group.

    Models and nodes grow in proportion, 2.4 models and 0.07 nodes a server.
    """
    points: dict[str, list[Point]] = {}
    for size in CELLS:
        controller = groups.build_state(size)
        inputs = PlannerInputs(
            configuration=controller.force.configuration,
            ledgers={
                name: seen.ledger for name, seen in controller.rows.ledgers.items()
            },
            summaries=list_summaries(controller),
        )
        view = View(
            number=1,
            ready=True,
            store_up=True,
            configuration=controller.force.configuration,
            servers=tuple(inputs.summaries.values()),
        )
        packed = msgspec.msgpack.encode(view)
        steps: dict[str, Work] = {
            "plan_steady": lambda i=inputs: plan(PlannerState(), i, now=0),
            "plan_after_death": lambda i=inputs: _plan_after_death(i),
            "publish": lambda c=controller: publish(c),
            "choose_read": lambda c=controller: choose_read(c),
            "follow": lambda c=controller: _follow(c),
            "view_encode": lambda v=view: msgspec.msgpack.encode(v),
            "view_decode": lambda p=packed: _decode_view(p),
        }
        for name, work in steps.items():
            point = Point(size=size.servers, value=_time(work))
            points.setdefault(name, []).append(point)
        sizes = points.setdefault("view_bytes", [])
        sizes.append(Point(size=size.servers, value=len(packed)))
        memory = _measure_memory(lambda s=size: groups.build_state(s)) / _KIB
        points.setdefault("memory", []).append(Point(size=size.servers, value=memory))
    units = {"view_bytes": "bytes", "memory": "KiB"}
    return [
        build_slope(
            f"cell.{name}", f"{units.get(name, 'ms')}, a server of the group", points[name]
        )
        for name in points
    ]


def _measure_messages() -> list[Figure]:
    """Bytes and processor time of one report and of one exchange."""
    points: dict[str, list[Point]] = {}
    for count in (1, 14, 42):
        size = Size(nodes=1, servers=42, models=126)
        reply = groups.build_peer_reply(size, 0, servers=count)
        packed = msgspec.msgpack.encode(reply)
        controller = groups.build_state(Size(nodes=1, servers=count, models=3 * count))
        publish(controller)
        points.setdefault("reply_bytes", []).append(
            Point(size=count, value=len(packed))
        )
        points.setdefault("reply_build_cpu", []).append(
            Point(size=count, value=_time(lambda c=controller: _answer_peer(c)))
        )
        points.setdefault("reply_take_cpu", []).append(
            Point(size=count, value=_time(lambda p=packed: _take_reply(p)))
        )
    usage = [
        Point(size=count, value=len(msgspec.msgpack.encode(_build_usage(count))))
        for count in (1, 50, 200)
    ]
    demand = [
        Point(size=count, value=len(msgspec.msgpack.encode(_build_demand(count))))
        for count in (1, 50, 200)
    ]
    size = Size(nodes=1, servers=1, models=3)
    data = msgspec.json.encode(groups.build_report(size, 0))
    ledger = groups.build_ledger(size, 0)
    server = groups.build_configuration(servers=1, models=3).sites[groups.SITE].servers
    return [
        *(
            build_slope(f"exchange.{name}", "a changed server", points[name])
            for name in points
        ),
        build_slope("exchange.usage_bytes", "bytes a caller in use", usage),
        build_slope("exchange.demand_bytes", "bytes an item in demand", demand),
        Figure(
            name="exchange.request_bytes",
            value=len(msgspec.msgpack.encode(ExchangeRequest(instance="instance-0", epoch="0" * 32, after=123_456, configuration_version=3_700))),
            unit="bytes, without HTTP/2",
        ),
        Figure(name="report.body_bytes", value=len(data), unit="bytes, 3 items"),
        Figure(
            name="report.reconcile_cpu",
            value=_time(
                lambda: reconcile(
                    ledger,
                    server=server[groups.build_server_name(0)],
                    report=msgspec.json.decode(data, type=Report),
                )
            ),
            unit="ms, decoded and reconciled, nothing changed",
        ),
    ]


def _build_change(configuration: schema.Configuration) -> Change:
    """Return a change of one model, as an operator's approval leaves it."""
    site = configuration.sites[groups.SITE]
    name = next(iter(site.models))
    model = msgspec.structs.replace(site.models[name], version="next")
    sites = {
        key: msgspec.structs.replace(one, models={**one.models, name: model})
        for key, one in configuration.sites.items()
    }
    result = msgspec.structs.replace(configuration, version=2, sites=sites)
    return Change(
        version=2,
        base_version=1,
        proposal="0" * 16,
        approver="ayu",
        digest=compute_digest(result),
        delta=build_delta(configuration, result),
    )


def _time_change(configuration: schema.Configuration, change: Change) -> float:
    """Return the time to bring an accepted change into force."""

    def prepare() -> ForceState:
        state = ForceState()
        offer(state, configuration)
        return state

    times: list[float] = []
    for _ in range(CALLS):
        state = prepare()
        times.append(_time_once(lambda s=state: apply_changes(s, (change,))))
        if state.configuration.version != change.version:
            raise AssertionError("the change did not come into force")
    return min(times)


def _plan_after_death(inputs: PlannerInputs) -> object:
    """Plan as the wait for one server that died is over."""
    name = next(iter(inputs.summaries))
    dead = msgspec.structs.replace(inputs.summaries[name], alive=False)
    summaries = {**inputs.summaries, name: dead}
    state = PlannerState(down_since={name: 0})
    after = msgspec.structs.replace(inputs, summaries=summaries)
    actions = plan(state, after, now=DOWN_AFTER_MS + 1)
    if not actions:
        raise AssertionError("the dead server's models are not planned anew")
    return actions


def _follow(controller: Controller) -> None:
    """Take in an empty page of rows, as each second brings at least."""
    now = controller.clock.now()
    page = Page(rows=(), revision=controller.rows.revision)
    _take_page(controller, page, sent_at=now)


def _answer_peer(controller: Controller) -> bytes:
    reply = build_reply(
        controller.news,
        ExchangeRequest(instance="instance-1"),
        instance="instance-0",
        configuration=schema.EMPTY,
        entries=(),
        usage=(),
        status=build_status(controller),
    )
    return msgspec.msgpack.encode(reply)


def _take_reply(packed: bytes) -> None:
    peer = PeerState(address="10.0.0.1:7000")
    reply = msgspec.msgpack.decode(packed, type=ExchangeReply)
    take_reply(peer, reply, now=0)


def _build_usage(count: int) -> tuple[CallerUsage, ...]:
    return tuple(
        CallerUsage(caller=f"caller-{number:04d}", tokens_per_s=123.456, waiting=2)
        for number in range(count)
    )


def _build_demand(count: int) -> tuple[ItemDemand, ...]:
    return tuple(
        ItemDemand(item=f"model-{number:04d}@2026-01", requests=120, tokens=54_000)
        for number in range(count)
    )


def _decode_configuration(data: bytes) -> schema.Configuration:
    return msgspec.json.decode(data, type=schema.Configuration)


def _decode_view(packed: bytes) -> View:
    return msgspec.msgpack.decode(packed, type=View)


def _time(work: Work) -> float:
    return min(_time_once(work) for _ in range(CALLS))


def _time_once(work: Work) -> float:
    began = time.process_time_ns()
    work()
    return (time.process_time_ns() - began) / _NS_PER_MS


def _measure_memory(build: Work) -> float:
    """Return the bytes that stay allocated with what a function returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before
