"""Computes the placement plan for all servers of a group, the same on each instance.

Each controller plans for the whole group from the same rows and executes only the
actions for servers that it owns. The configured copies follow from the rows alone; only
timers and the moving average of demand differ between instances. The transactions of
:mod:`.transactions` prevent damage when two owners disagree.
"""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import State, Value
from arbutuspulley.placement.actions import Action, Blocked, Load, Unload
from arbutuspulley.placement.eviction import plan_eviction
from arbutuspulley.placement.fit import find_target_servers
from arbutuspulley.placement.layout import (
    Layout,
    add_planned,
    build_layout,
    copy_layout,
)
from arbutuspulley.placement.missing_copies import (
    MissingCopy,
    PlannedCopy,
    Prefer,
    Priority,
    build_prefer_targets,
    can_change_all,
    find_server,
    list_candidates,
    list_missing,
    place_copies,
    prefer_other_sites,
    sort_planned,
)
from arbutuspulley.placement.moves import MoveState, propose_move, smooth_demand
from arbutuspulley.placement.records import LedgerEntryState, ServerLedger
from arbutuspulley.placement.retirement import list_unneeded
from arbutuspulley.rpc.messages import ServerSummary

__all__ = ["Action", "Blocked", "Load", "PlannerInputs", "PlannerState", "Unload"]

DOWN_AFTER_MS = 5_000
"""Time for which a server must be unreachable before its copies are replaced."""

RETIRE_AFTER_MS = 30_000
"""Time for which a copy stays loaded after it is no longer needed.

Requests admitted under the previous configuration may still need it: the new one is
active on all instances within 18 s, and requests admitted before that have to end.
"""

MAX_LOADS = 16
"""Maximum loads in a plan; the weight store's slots allow far fewer at a time."""

MAX_UNLOADS = 16
"""Maximum unloads in a plan."""


class PlannerState(State):
    """State that an instance keeps between plans.

    :param down_since: time since which a server has been unreachable, by server.
    :param unneeded_since: time since which a copy has not been needed, by item.
    :param target_servers: servers of each model if memory is short, by item.
    :param target_servers_version: configuration version that ``target_servers`` was
        computed from.
    """

    down_since: dict[str, int] = {}
    unneeded_since: dict[str, int] = {}
    target_servers: dict[str, frozenset[str]] = {}
    target_servers_version: int = -1
    demand: MoveState = msgspec.field(default_factory=MoveState)


class PlannerInputs(Value, frozen=True):
    """Inputs of a plan.

    :param summaries: model engines by name, as reported by their owners.
    :param demand: estimated token cost of the requests for an item, per second.
    """

    configuration: Configuration
    ledgers: Mapping[str, ServerLedger]
    summaries: Mapping[str, ServerSummary]
    demand: Mapping[str, float] = {}


def plan(state: PlannerState, inputs: PlannerInputs, *, now: int) -> tuple[Action, ...]:
    """Plan the next actions: unloads, then loads by priority, then blocked items."""
    usable = _list_usable(inputs.summaries)
    layout = build_layout(
        configuration=inputs.configuration,
        ledgers=inputs.ledgers,
        usable=usable,
        recently_down=_list_recently_down(state, inputs.summaries, now=now),
    )
    smooth_demand(state.demand, inputs.demand, now=now)
    unneeded = _list_long_unneeded(state, list_unneeded(layout), now=now)
    loads, others = _plan_missing(state, layout, inputs.configuration)
    swaps = _swap_adapters(layout)
    moves: tuple[Load | Unload, ...] = ()
    if not loads:
        moves = propose_move(
            state.demand,
            layout,
            moves_weight=inputs.configuration.policy.moves_weight,
            now=now,
        )
    loads += [action for action in moves if isinstance(action, Load)]
    unloads = _merge_unloads(unneeded, others, swaps, moves)
    blocked = [action for action in others if isinstance(action, Blocked)]
    return (*unloads[:MAX_UNLOADS], *loads[:MAX_LOADS], *blocked)


def _list_usable(summaries: Mapping[str, ServerSummary]) -> set[str]:
    return {
        name
        for name, summary in summaries.items()
        if summary.alive and not summary.leaving
    }


def _list_recently_down(
    state: PlannerState, summaries: Mapping[str, ServerSummary], *, now: int
) -> list[str]:
    """Return the servers that became unreachable within :data:`DOWN_AFTER_MS`.

    A late report is far more common than a dead server, and replacing the copies would
    take weight store capacity from loads that need it.
    """
    down = {name for name, summary in summaries.items() if not summary.alive}
    for name in list(state.down_since):
        if name not in down:
            del state.down_since[name]
    for name in down:
        state.down_since.setdefault(name, now)
    return sorted(
        name
        for name in down
        if now - state.down_since[name] < DOWN_AFTER_MS and not summaries[name].leaving
    )


def _list_long_unneeded(
    state: PlannerState, unloads: list[Unload], *, now: int
) -> list[Unload]:
    keys = {unload.item for unload in unloads}
    for key in list(state.unneeded_since):
        if key not in keys:
            del state.unneeded_since[key]
    for key in keys:
        state.unneeded_since.setdefault(key, now)
    return [
        unload
        for unload in unloads
        if now - state.unneeded_since[unload.item] >= RETIRE_AFTER_MS
    ]


def _plan_missing(
    state: PlannerState, layout: Layout, configuration: Configuration
) -> tuple[list[Load], list[Action]]:
    """Plan loads of missing copies, and evictions for copies that fit on no server.

    The preferred servers spread copies well, but may leave no server with enough free
    memory for another version of some model. In that case the packing that was found
    when the configuration was accepted is followed.
    """
    missing = list_missing(layout)
    tentative = copy_layout(layout)
    planned, unplaced = place_copies(tentative, missing, prefer_other_sites)
    others: list[Action] = []
    if unplaced or (planned and not can_change_all(tentative)):
        prefer = build_prefer_targets(_get_target_servers(state, configuration))
        planned, others = _plan_with_evictions(layout, missing, prefer)
    ordered = sort_planned(layout, planned, state.demand.smoothed)
    loads = [Load(server=load.server, item=load.missing.item) for load in ordered]
    return loads, others


def _get_target_servers(
    state: PlannerState, configuration: Configuration
) -> Mapping[str, Collection[str]]:
    if state.target_servers_version != configuration.version:
        state.target_servers = find_target_servers(configuration)
        state.target_servers_version = configuration.version
    return state.target_servers


def _plan_with_evictions(
    layout: Layout, missing: Iterable[MissingCopy], prefer: Prefer
) -> tuple[list[PlannedCopy], list[Action]]:
    planned: list[PlannedCopy] = []
    others: list[Action] = []
    for copy in missing:
        placed, unplaced = place_copies(layout, [copy], prefer)
        planned += placed
        if not unplaced:
            continue
        steps = plan_eviction(layout, copy.item)
        if copy.item.base_key and any(isinstance(step, Blocked) for step in steps):
            steps = _place_base(layout, copy, prefer) or steps
        for step in steps:
            if isinstance(step, Load):
                moved = msgspec.structs.replace(copy, item=step.item)
                planned.append(PlannedCopy(missing=moved, server=step.server))
            else:
                others.append(step)
    return planned, others


def _place_base(
    layout: Layout, copy: MissingCopy, prefer: Prefer
) -> tuple[Action, ...] | None:
    """Load another copy of an adapter's model on a server that can hold the adapter.

    :return: ``None`` if no server can; no action if such a copy is being loaded.
    """
    base = layout.items[copy.item.base_key]
    if layout.holding[base.key] - layout.ready[base.key]:
        return ()
    wanted = MissingCopy(item=base, priority=Priority.SHORT, size_mib=copy.size_mib)
    server = find_server(layout, wanted, prefer)
    if server is None:
        return None
    add_planned(layout, server, base)
    return (Load(server=server.name, item=base),)


def _swap_adapters(layout: Layout) -> list[Unload]:
    """Unload adapters that must be loaded again for their model's new version.

    An adapter is unloaded only if no other server has the new version without the
    adapter, and only while another copy of the adapter is reliable.
    """
    unloads: list[Unload] = []
    for key in sorted(layout.items):
        item = layout.items[key]
        lacks_copies = len(layout.holding[key]) < item.copies
        if not item.base_key or not lacks_copies or list_candidates(layout, item):
            continue
        for name in sorted(layout.ready.get(item.base_key, ())):
            entry = layout.servers[name].entries.get(key)
            if entry is None or entry.state is not LedgerEntryState.LOADED:
                continue
            if entry.base != item.base_key and layout.reliable[key] - {name}:
                unloads.append(Unload(server=name, item=key))
                break
    return unloads


def _merge_unloads(*groups: Iterable[Action]) -> list[Unload]:
    """Return the first unload of each copy.

    At most one copy of an item is unloaded at a time, unless no copy is needed: each
    unload is checked to be safe only by itself.
    """
    merged: dict[tuple[str, str], Unload] = {}
    for group in groups:
        for action in group:
            if isinstance(action, Unload):
                server = action.server if action.min_copies == 0 else ""
                merged.setdefault((action.item, server), action)
    return list(merged.values())
