"""Plans placement and carries out the steps on the servers owned here."""

import asyncio
import logging
import uuid
from collections.abc import Coroutine, Iterable, Mapping, Sequence
from typing import Any

import msgspec

from arbutuspulley.controller import orders
from arbutuspulley.controller.asking import transact
from arbutuspulley.controller.demand import list_demand, sum_demand
from arbutuspulley.controller.exchange import is_silent
from arbutuspulley.controller.ledgers import Ledgers
from arbutuspulley.controller.publishing import list_summaries
from arbutuspulley.controller.sessions import get_owned, may_order
from arbutuspulley.controller.state import Controller
from arbutuspulley.data import State
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.observation import is_over
from arbutuspulley.placement.actions import Action, Blocked, Load, Unload
from arbutuspulley.placement.planner import PlannerInputs, PlannerState, plan
from arbutuspulley.placement.records import ServerLedger
from arbutuspulley.placement.slots import can_release, choose_slot
from arbutuspulley.placement.transactions import build_slot_release
from arbutuspulley.rpc.messages import ServerSummary

BLOCKED_MS = 5_000
"""How long an item must have nowhere to go before that is told."""

MINUTE_S = 60
"""Seconds in a minute."""


class Placing(State):
    """What is remembered between plans.

    :param blocked_since: when an item was first seen to have nowhere to go.
    :param told: blocked items that were logged.
    :param tasks: steps under way.
    """

    planner: PlannerState = msgspec.field(default_factory=PlannerState)
    blocked_since: dict[str, int] = {}
    told: set[str] = set()
    tasks: set[asyncio.Task[bool]] = set()


async def place(controller: Controller, work: Ledgers, placing: Placing) -> None:
    """Plan once and begin the steps that fall to this instance.

    Only an instance that owns servers plans; one that has just lost its lease does
    not, for it could carry out nothing.
    """
    if controller.stopping or not get_owned(controller):
        return
    summaries = list_summaries(controller)
    await _release_slots(controller, work, summaries)
    now = controller.clock.now()
    inputs = PlannerInputs(
        configuration=controller.force.configuration,
        ledgers=_list_ledgers(controller),
        summaries=summaries,
        demand=_measure_demand(controller, now=now),
    )
    actions = plan(placing.planner, inputs, now=now)
    blocked = {one.item: one.detail for one in actions if isinstance(one, Blocked)}
    _log_blocked(placing, blocked, now=now)
    _begin_unloads(controller, work, placing, actions, summaries)
    loads = [action for action in actions if isinstance(action, Load)]
    _begin_loads(controller, work, placing, loads, inputs)


def _begin_unloads(
    controller: Controller,
    work: Ledgers,
    placing: Placing,
    actions: Iterable[Action],
    summaries: Mapping[str, ServerSummary],
) -> None:
    answering = frozenset(
        name for name, one in summaries.items() if one.alive and not one.leaving
    )
    for action in actions:
        if isinstance(action, Unload) and may_order(controller, action.server):
            step = orders.unload(controller, work, action, answering=answering)
            _begin(placing, step)


def _begin_loads(
    controller: Controller,
    work: Ledgers,
    placing: Placing,
    loads: Sequence[Load],
    inputs: PlannerInputs,
) -> None:
    """Begin the loads of own servers that it is the turn of.

    Slots are chosen for all of them from the same rows, so no two loads of one plan
    get the same free slot.
    """
    sessions = {
        row.record.session
        for row in controller.sessions.rows.values()
        if row.record is not None
        and not is_over(controller.sessions, row.record.session)
    }
    alive = {name for name, summary in inputs.summaries.items() if summary.alive}
    for rank, action in enumerate(loads):
        if action.server in work.busy or not may_order(controller, action.server):
            continue
        slot = choose_slot(
            controller.rows.slots,
            rank=rank,
            store=inputs.configuration.weight_store,
            instance=controller.settings.instance,
            sessions=sessions,
            ledgers=inputs.ledgers,
            alive=alive,
            now=controller.clock.now(),
        )
        if slot is not None:
            _begin(placing, orders.load(controller, work, action, slot))


async def _release_slots(
    controller: Controller, work: Ledgers, summaries: Mapping[str, ServerSummary]
) -> None:
    for slot in list(controller.rows.slots.values()):
        record = slot.record
        if not record.session or record.session != controller.lease.session:
            continue
        summary = summaries.get(record.server)
        if not can_release(
            record,
            ledger=_list_ledgers(controller).get(record.server),
            alive=summary is not None and summary.alive,
            store=controller.force.configuration.weight_store,
            sent_at=work.sent_at.get((record.server, record.number), slot.changed_at),
            now=controller.clock.now(),
        ):
            continue
        transaction = build_slot_release(
            token=uuid.uuid4().hex, group=controller.settings.group, slot=slot
        )
        await transact(controller, transaction)
        work.sent_at.pop((record.server, record.number), None)


def _list_ledgers(controller: Controller) -> dict[str, ServerLedger]:
    return {name: seen.ledger for name, seen in controller.rows.ledgers.items()}


def _measure_demand(controller: Controller, *, now: int) -> dict[str, float]:
    """Return the tokens a second that callers ask of each item everywhere."""
    parts = [list_demand(controller.demand, now=now)]
    parts += [
        peer.demand
        for peer in controller.peers.values()
        if not is_silent(peer, now=now)
    ]
    return {
        item: demand.tokens / MINUTE_S for item, demand in sum_demand(parts).items()
    }


def _log_blocked(placing: Placing, blocked: dict[str, str], *, now: int) -> None:
    """Tell once of each item that stays blocked; at a start, all are for a moment."""
    placing.told &= blocked.keys()
    placing.blocked_since = {
        item: placing.blocked_since.get(item, now) for item in blocked
    }
    for item, detail in blocked.items():
        lasts_ms = now - placing.blocked_since[item]
        if lasts_ms < BLOCKED_MS or item in placing.told:
            continue
        placing.told.add(item)
        log_event(
            Event.PLACEMENT_BLOCKED, level=logging.WARNING, item=item, detail=detail
        )


def _begin(placing: Placing, step: Coroutine[Any, Any, bool]) -> None:
    task = asyncio.ensure_future(step)
    placing.tasks.add(task)
    task.add_done_callback(placing.tasks.discard)
