"""Plans placement and starts the steps on the servers that this instance owns."""

import asyncio
import logging
import uuid
from collections.abc import Coroutine, Iterable, Mapping, Sequence
from typing import Any

import msgspec

from arbutuspulley.controller import orders
from arbutuspulley.controller.demand import list_demand, sum_demand
from arbutuspulley.controller.exchange import is_unreachable
from arbutuspulley.controller.ledgers import WorkingLedgers
from arbutuspulley.controller.platform_calls import transact
from arbutuspulley.controller.sessions import get_owned, may_order
from arbutuspulley.controller.state import Controller
from arbutuspulley.data import State
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.observation import is_expired
from arbutuspulley.placement.actions import Action, Blocked, Load, Unload
from arbutuspulley.placement.planner import PlannerInputs, PlannerState, plan
from arbutuspulley.placement.records import ServerLedger
from arbutuspulley.placement.slots import can_release, choose_slot
from arbutuspulley.placement.transactions import build_slot_release
from arbutuspulley.rpc.messages import ServerSummary

BLOCKED_LOG_DELAY_MS = 5_000
"""How long an item's placement must be blocked before that is logged."""

REPLAN_INTERVAL_MS = 2_000
"""Time between plans while nothing changes except demand and time."""

MINUTE_S = 60
"""Seconds in a minute."""


class PlanningState(State):
    """State kept between planning cycles.

    :param blocked_since: when each blocked item was first found to be blocked, in ms.
    :param logged: blocked items that have been logged.
    :param tasks: steps in progress.
    :param actions: the last plan.
    :param based_on: versions of the inputs of the last plan.
    :param planned_at: when the last plan was made, in ms.
    """

    planner: PlannerState = msgspec.field(default_factory=PlannerState)
    blocked_since: dict[str, int] = {}
    logged: set[str] = set()
    tasks: set[asyncio.Task[bool]] = set()
    actions: tuple[Action, ...] = ()
    based_on: tuple[object, ...] = ()
    planned_at: int = 0


async def run_planning_cycle(
    controller: Controller, working: WorkingLedgers, planning_state: PlanningState
) -> None:
    """Plan if the inputs have changed, and start the steps on own servers.

    Only an instance that owns servers plans. One that has just lost its lease does
    not, as it could execute no step.
    """
    if controller.stopping or not get_owned(controller):
        return
    summaries = _list_summaries(controller)
    await _release_slots(controller, working, summaries)
    now = controller.clock.now()
    inputs = PlannerInputs(
        configuration=controller.activation.configuration,
        ledgers=_list_ledgers(controller),
        summaries=summaries,
        demand=_sum_token_rates(controller, now=now),
    )
    _plan(controller, planning_state, inputs, now=now)
    _start_unloads(
        controller, working, planning_state, planning_state.actions, summaries
    )
    loads = [action for action in planning_state.actions if isinstance(action, Load)]
    _start_loads(controller, working, planning_state, loads, inputs)


def has_loads(controller: Controller, planning_state: PlanningState) -> bool:
    """Return whether the plan has loads that this instance must execute.

    Other instances' rows then show when the weight store has a free load slot, so
    the rows are read more often.
    """
    return any(
        isinstance(action, Load) and may_order(controller, action.server)
        for action in planning_state.actions
    )


def _plan(
    controller: Controller,
    planning_state: PlanningState,
    inputs: PlannerInputs,
    *,
    now: int,
) -> None:
    based_on = (
        inputs.configuration.version,
        controller.rows.placement_changes,
        _list_usable(inputs.summaries),
    )
    if (
        based_on == planning_state.based_on
        and now - planning_state.planned_at < REPLAN_INTERVAL_MS
    ):
        return
    planning_state.based_on, planning_state.planned_at = based_on, now
    planning_state.actions = plan(planning_state.planner, inputs, now=now)
    blocked = {
        action.item: action.detail
        for action in planning_state.actions
        if isinstance(action, Blocked)
    }
    _log_blocked(planning_state, blocked, now=now)


def _list_summaries(controller: Controller) -> dict[str, ServerSummary]:
    """Return a summary of each configured server.

    A server without a summary yet counts as not alive, rather than as missing: a
    controller that has just started would otherwise load elsewhere the items that
    the server already has.
    """
    view = controller.views.view
    known = {summary.server: summary for summary in view.servers} if view else {}
    for site_name, site in controller.activation.configuration.sites.items():
        for name, server in site.servers.items():
            if name not in known:
                known[name] = ServerSummary(
                    server=name, site=site_name, address=server.address, alive=False
                )
    return known


def _list_usable(summaries: Mapping[str, ServerSummary]) -> frozenset[str]:
    return frozenset(
        name
        for name, summary in summaries.items()
        if summary.alive and not summary.leaving
    )


def _start_unloads(
    controller: Controller,
    working: WorkingLedgers,
    planning_state: PlanningState,
    actions: Iterable[Action],
    summaries: Mapping[str, ServerSummary],
) -> None:
    usable = _list_usable(summaries)
    for action in actions:
        if isinstance(action, Unload) and may_order(controller, action.server):
            step = orders.unload(controller, working, action, usable=usable)
            _start_step(planning_state, step)


def _start_loads(
    controller: Controller,
    working: WorkingLedgers,
    planning_state: PlanningState,
    loads: Sequence[Load],
    inputs: PlannerInputs,
) -> None:
    """Start the loads on own servers that get a load slot.

    The slots of one plan are all chosen from the same rows, so no two of its loads get
    the same free slot.
    """
    sessions = {
        row.record.session
        for row in controller.sessions.rows.values()
        if row.record is not None
        and not is_expired(controller.sessions, row.record.session)
    }
    alive = {name for name, summary in inputs.summaries.items() if summary.alive}
    for rank, action in enumerate(loads):
        if action.server in working.busy or not may_order(controller, action.server):
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
            _start_step(planning_state, orders.load(controller, working, action, slot))


async def _release_slots(
    controller: Controller,
    working: WorkingLedgers,
    summaries: Mapping[str, ServerSummary],
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
            store=controller.activation.configuration.weight_store,
            sent_at=working.sent_at.get(
                (record.server, record.number), slot.changed_at
            ),
            now=controller.clock.now(),
        ):
            continue
        transaction = build_slot_release(
            token=uuid.uuid4().hex, group=controller.settings.group, slot=slot
        )
        await transact(controller, transaction)
        working.sent_at.pop((record.server, record.number), None)


def _list_ledgers(controller: Controller) -> dict[str, ServerLedger]:
    return {name: stored.ledger for name, stored in controller.rows.ledgers.items()}


def _sum_token_rates(controller: Controller, *, now: int) -> dict[str, float]:
    """Return the tokens a second requested of each item over all instances."""
    parts = [list_demand(controller.demand, now=now)]
    parts += [
        peer.demand
        for peer in controller.peers.values()
        if not is_unreachable(peer, now=now)
    ]
    return {
        item: demand.tokens / MINUTE_S for item, demand in sum_demand(parts).items()
    }


def _log_blocked(
    planning_state: PlanningState, blocked: dict[str, str], *, now: int
) -> None:
    """Log each item that stays blocked, once; at a start all are blocked briefly."""
    planning_state.logged &= blocked.keys()
    planning_state.blocked_since = {
        item: planning_state.blocked_since.get(item, now) for item in blocked
    }
    for item, detail in blocked.items():
        blocked_for_ms = now - planning_state.blocked_since[item]
        if blocked_for_ms < BLOCKED_LOG_DELAY_MS or item in planning_state.logged:
            continue
        planning_state.logged.add(item)
        log_event(
            Event.PLACEMENT_BLOCKED, level=logging.WARNING, item=item, detail=detail
        )


def _start_step(planning_state: PlanningState, step: Coroutine[Any, Any, bool]) -> None:
    task = asyncio.ensure_future(step)
    planning_state.tasks.add(task)
    task.add_done_callback(planning_state.tasks.discard)
