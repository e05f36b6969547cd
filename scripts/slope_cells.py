"""Slopes of a controller's periodic steps, and of its messages, in a group of a size.

The state is that of one controller whose peers have told it all; its steps are then
called one by one, as its loops do.
"""

import asyncio

import msgspec

from arbutuspulley.configuration import schema
from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.controller.exchange import PeerState, build_reply, take_reply
from arbutuspulley.controller.ledgers import Ledgers
from arbutuspulley.controller.placing import Placing, place
from arbutuspulley.controller.polling import choose_read
from arbutuspulley.controller.publishing import build_status, publish
from arbutuspulley.controller.state import Controller
from arbutuspulley.membership.ownership import choose_claims
from arbutuspulley.placement.actions import Action, Load
from arbutuspulley.placement.ledger import reconcile
from arbutuspulley.placement.planner import (
    DOWN_AFTER_MS,
    PlannerInputs,
    PlannerState,
    plan,
)
from arbutuspulley.placement.records import ServerLedger
from arbutuspulley.ports.engines import Report
from arbutuspulley.rpc.messages import (
    CallerUsage,
    ExchangeReply,
    ExchangeRequest,
    ItemDemand,
    View,
)
from scripts import slope_groups as groups
from scripts.slope_calls import Sample, build_slopes, measure_memory, time_call
from scripts.slope_figures import Figure
from scripts.slope_groups import Size
from scripts.slope_sizes import decode_view

CELLS = (
    Size(nodes=10, servers=145, models=350),
    Size(nodes=20, servers=290, models=700),
    Size(nodes=40, servers=580, models=1_400),
)
"""A quarter, a half and the whole of one cell at the target."""

TOLD = (1, 14, 42)
"""Changed servers in one reply of a peer."""

LISTED = (1, 50, 200)
"""Callers or items in one reply of a peer."""


def measure_cells() -> list[Figure]:
    """Call the steps of one controller at three sizes of its group."""
    unit = "a server of the group (with 2.4 models, 0.07 nodes)"
    ms = f"ms, {unit}"
    units = {
        "plan_steady_cpu": ms,
        "plan_after_death_cpu": ms,
        "place_cpu": ms,
        "publish_cpu": ms,
        "choose_read_cpu": ms,
        "choose_claims_cpu": ms,
        "view_encode_cpu": ms,
        "view_decode_cpu": ms,
        "view_bytes": f"bytes, {unit}",
        "memory": f"KiB, {unit}",
    }
    samples = [Sample(size=size.servers, values=_measure_cell(size)) for size in CELLS]
    return [*build_slopes("cell", units, samples), *_measure_messages()]


def _measure_cell(size: Size) -> dict[str, float]:
    controller = groups.build_state(size)
    inputs = _build_inputs(controller)
    view = View(
        number=1,
        ready=True,
        store_up=True,
        configuration=controller.force.configuration,
        servers=tuple(inputs.summaries.values()),
    )
    packed = msgspec.msgpack.encode(view)
    return {
        "plan_steady_cpu": time_call(_plan_steady, inputs),
        "plan_after_death_cpu": time_call(_plan_after_death, inputs),
        "place_cpu": _time_place(controller),
        "publish_cpu": time_call(publish, controller),
        "choose_read_cpu": time_call(choose_read, controller),
        "choose_claims_cpu": time_call(_choose_claims, controller),
        "view_encode_cpu": time_call(msgspec.msgpack.encode, view),
        "view_decode_cpu": time_call(decode_view, packed),
        "view_bytes": len(packed),
        "memory": measure_memory(groups.build_state, size),
    }


def _build_inputs(controller: Controller) -> PlannerInputs:
    publish(controller)
    view = controller.views.view
    assert view is not None
    ledgers = {name: seen.ledger for name, seen in controller.rows.ledgers.items()}
    return PlannerInputs(
        configuration=controller.force.configuration,
        ledgers=ledgers,
        summaries={one.server: one for one in view.servers},
    )


def _plan_steady(inputs: PlannerInputs) -> None:
    """Plan while nothing is missing."""
    if plan(PlannerState(), inputs, now=0):
        raise AssertionError("something is missing in the steady state")


def _plan_after_death(inputs: PlannerInputs) -> tuple[Action, ...]:
    """Plan as the wait for one server that died is over."""
    name = next(iter(inputs.summaries))
    dead = msgspec.structs.replace(inputs.summaries[name], alive=False)
    summaries = {**inputs.summaries, name: dead}
    state = PlannerState(down_since={name: 0})
    after = msgspec.structs.replace(inputs, summaries=summaries)
    actions = plan(state, after, now=DOWN_AFTER_MS + 1)
    if not any(isinstance(action, Load) for action in actions):
        raise AssertionError("the dead server's models are not planned anew")
    return actions


def _time_place(controller: Controller) -> float:
    """Return the time of a look at placement that finds no news since the last one."""
    work, placing = Ledgers(), Placing()
    loop = asyncio.new_event_loop()

    def look() -> None:
        loop.run_until_complete(place(controller, work, placing))

    look()
    least = time_call(look)
    loop.close()
    return least


def _choose_claims(controller: Controller) -> object:
    return choose_claims(
        instance="instance-0",
        servers=list_servers(controller.force.configuration),
        owners=controller.rows.owners,
        sessions=controller.sessions,
    )


def _measure_messages() -> list[Figure]:
    """Bytes and processor time of one report and of one exchange."""
    units = {
        "reply_bytes": "bytes a changed server",
        "reply_build_cpu": "ms a changed server",
        "reply_take_cpu": "ms a changed server",
    }
    listed = {"usage_bytes": "bytes a caller", "demand_bytes": "bytes an item"}
    request = ExchangeRequest(
        instance="instance-0",
        epoch="0" * 32,
        after=123_456,
        configuration_version=3_700,
    )
    return [
        *build_slopes("exchange", units, [_measure_reply(count) for count in TOLD]),
        *build_slopes("exchange", listed, [_measure_lists(one) for one in LISTED]),
        Figure(
            name="exchange.request_bytes",
            value=len(msgspec.msgpack.encode(request)),
            unit="bytes, without HTTP/2",
        ),
        *_measure_report(),
    ]


def _measure_reply(count: int) -> Sample:
    """Measure a reply that tells of so many changed servers."""
    whole = Size(nodes=1, servers=TOLD[-1], models=3 * TOLD[-1])
    packed = msgspec.msgpack.encode(groups.build_peer_reply(whole, 0, servers=count))
    controller = groups.build_state(Size(nodes=1, servers=count, models=3 * count))
    publish(controller)
    return Sample(
        size=count,
        values={
            "reply_bytes": len(packed),
            "reply_build_cpu": time_call(_answer_peer, controller),
            "reply_take_cpu": time_call(_take_reply, packed),
        },
    )


def _measure_lists(count: int) -> Sample:
    usage = tuple(
        CallerUsage(caller=f"caller-{number:04d}", tokens_per_s=123.456, waiting=2)
        for number in range(count)
    )
    demand = tuple(
        ItemDemand(item=f"model-{number:04d}@2026-01", requests=120, tokens=54_000)
        for number in range(count)
    )
    return Sample(
        size=count,
        values={
            "usage_bytes": len(msgspec.msgpack.encode(usage)),
            "demand_bytes": len(msgspec.msgpack.encode(demand)),
        },
    )


def _measure_report() -> list[Figure]:
    size = Size(nodes=1, servers=1, models=3)
    data = msgspec.json.encode(groups.build_report(size, 0))
    configuration = groups.build_configuration(servers=1, models=3)
    server = list_servers(configuration)[groups.build_server_name(0)]
    ledger = groups.build_ledger(size, 0)
    return [
        Figure(name="report.body_bytes", value=len(data), unit="bytes, 3 items"),
        Figure(
            name="report.reconcile_cpu",
            value=time_call(_reconcile, data, ledger, server),
            unit="ms, decoded and reconciled, nothing changed",
        ),
    ]


def _reconcile(data: bytes, ledger: ServerLedger, server: schema.Server) -> None:
    report = msgspec.json.decode(data, type=Report)
    reconcile(ledger, server=server, report=report)


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
