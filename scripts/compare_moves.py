"""Compares policies for adding copies while demand shifts tenfold within an hour.

A small seeded simulation without processes: servers, models whose demand rises and
falls tenfold within an hour, each with its own phase, copies that share a model's
demand evenly, and plans that are carried out within the slots of the weight store.
Tokens requested from a server beyond its capacity within the latency target count as
late. The policies are compared in the same run:

* ``static``: the configured copies only;
* ``on every miss``: adds at once a copy of the most requested model of the most
  overloaded server, in place of the surplus copy with the lowest demand;
* ``planner``: :mod:`arbutuspulley.placement.moves` with several weights on moves.
"""

import math
import random
import statistics
from collections.abc import Callable

import msgspec

from arbutuspulley.configuration.lookup import list_servers
from arbutuspulley.configuration.schema import (
    Configuration,
    Model,
    Policy,
    Server,
    Site,
    WeightStore,
)
from arbutuspulley.data import State, Value
from arbutuspulley.placement import moves
from arbutuspulley.placement.actions import Action, Load, Unload
from arbutuspulley.placement.layout import (
    Layout,
    build_layout,
    is_present,
    measure_free_mib,
)
from arbutuspulley.placement.ledger import (
    DoesNotFitError,
    OutdatedPlanError,
    add_load_intent,
    add_unload_intent,
    reconcile,
)
from arbutuspulley.placement.planner import PlannerInputs, PlannerState, plan
from arbutuspulley.placement.records import LedgerEntryState, ServerLedger
from arbutuspulley.ports.engines import ItemState, Report, ReportedItem
from arbutuspulley.rpc.messages import ServerSummary

SEEDS = range(5)
STEP_S = 5
HOURS = 3
LOAD_S = 30
DEMAND_RANGE = 10.0
DEMAND_SHIFT_S = 3600


class Pool(Value, frozen=True):
    """Sizes of one user's pool, in units that the users have to confirm.

    :param smallest: minimum size of a model.
    :param largest: maximum size of a model.
    :param load: mean demand divided by the capacity of all servers within the target.
    """

    name: str
    servers: int
    memory: int
    models: int
    smallest: int
    largest: int
    store: WeightStore
    load: float


POOLS = (
    Pool(
        name="lestari",
        servers=5,
        memory=240,
        models=13,
        smallest=34,
        largest=72,
        store=WeightStore(loads_per_minute=60, loads_at_once=2),
        load=0.5,
    ),
    Pool(
        name="kurzeme",
        servers=9,
        memory=110,
        models=26,
        smallest=16,
        largest=34,
        store=WeightStore(loads_per_minute=120, loads_at_once=3),
        load=0.5,
    ),
)
"""Pools with memory for about 1.5 times the configured copies."""

FULL_POOLS = tuple(
    msgspec.structs.replace(
        pool, name=f"{pool.name}, nearly full", memory=pool.memory * 3 // 4
    )
    for pool in POOLS
)


class Run(State):
    """State of a simulated pool.

    :param due: time at which a load or unload ends in s, by server and item.
    :param moved: number of loads and unloads.
    :param late: tokens requested beyond the servers' capacity.
    :param asked: requested tokens.
    """

    configuration: Configuration
    ledgers: dict[str, ServerLedger]
    summaries: dict[str, ServerSummary]
    due: dict[tuple[str, str], int]
    demand: dict[str, float]
    now_s: int = 0
    moved: int = 0
    late: float = 0.0
    asked: float = 0.0


Decide = Callable[[Run], tuple[Action, ...]]
"""Returns the actions to carry out now."""


def build_run(pool: Pool, moves_weight: float, rng: random.Random) -> Run:
    """Build an empty pool with random model sizes."""
    models = {
        f"m{number}": Model(
            version="1", size_mib=rng.randint(pool.smallest, pool.largest)
        )
        for number in range(pool.models)
    }
    servers = {
        f"s{number}": Server(address="127.0.0.1:1", memory_mib=pool.memory)
        for number in range(pool.servers)
    }
    configuration = Configuration(
        version=1,
        weight_store=pool.store,
        policy=Policy(moves_weight=moves_weight),
        sites={"site": Site(models=models, servers=servers)},
    )
    return Run(
        configuration=configuration,
        ledgers={name: ServerLedger(server=name, boot_id="boot-1") for name in servers},
        summaries={
            name: ServerSummary(server=name, site="site", address="127.0.0.1:1")
            for name in servers
        },
        due={},
        demand={},
    )


def build_demand(pool: Pool, rng: random.Random) -> Callable[[int], dict[str, float]]:
    """Return demand over time: each model's varies tenfold, with its own phase."""
    phases = [rng.uniform(0, 2 * math.pi) for _ in range(pool.models)]
    weights = [rng.lognormvariate(0, 0.7) for _ in range(pool.models)]
    capacity = pool.servers * 16 * moves.SLOT_TOKENS_PER_S

    def get_demand(now_s: int) -> dict[str, float]:
        angle = math.pi * now_s / DEMAND_SHIFT_S
        shares = [
            weight * DEMAND_RANGE ** (0.5 * math.sin(angle + phase))
            for weight, phase in zip(weights, phases, strict=True)
        ]
        scale = pool.load * capacity / sum(shares)
        return {f"m{n}@1": share * scale for n, share in enumerate(shares)}

    return get_demand


def build_planner(*, with_moves: bool) -> Decide:
    """Return the planner; without moves it only loads the configured copies."""
    state = PlannerState()

    def decide(run: Run) -> tuple[Action, ...]:
        inputs = PlannerInputs(
            configuration=run.configuration,
            ledgers=run.ledgers,
            summaries=run.summaries,
            demand=run.demand if with_moves else {},
        )
        return plan(state, inputs, now=run.now_s * 1000)

    return decide


def build_on_miss() -> Decide:
    """Return the baseline that adds a copy whenever a server is overloaded."""
    fill = build_planner(with_moves=False)

    def decide(run: Run) -> tuple[Action, ...]:
        actions = fill(run)
        return actions or _move_on_miss(run)

    return decide


def _move_on_miss(run: Run) -> tuple[Action, ...]:
    layout = _read_layout(run)
    loads = moves.measure_loads(layout, run.demand)
    late = [
        name
        for name, place in layout.servers.items()
        if loads[name] > moves.measure_token_capacity(place)
    ]
    if not late:
        return ()
    worst = max(late, key=lambda name: loads[name])
    entries = layout.servers[worst].entries
    hottest = max(
        entries,
        key=lambda key: run.demand.get(key, 0.0) / max(1, len(layout.holding[key])),
    )
    item = layout.items[hottest]
    for name in sorted(loads, key=lambda name: loads[name]):
        place = layout.servers[name]
        if is_present(place, hottest):
            continue
        if measure_free_mib(layout, place) >= item.memory_mib:
            return (Load(server=name, item=item),)
        spare = [
            key
            for key, entry in place.entries.items()
            if entry.state is LedgerEntryState.LOADED and len(layout.ready[key]) > 1
        ]
        if spare:
            coldest = min(spare, key=lambda key: run.demand.get(key, 0.0))
            return (Unload(server=name, item=coldest),)
    return ()


def _read_layout(run: Run) -> Layout:
    return build_layout(
        configuration=run.configuration, ledgers=run.ledgers, usable=run.summaries
    )


def step(run: Run, decide: Decide, *, counted: bool) -> None:
    """Carry out the decided actions and advance the time by a step."""
    free = run.configuration.weight_store.loads_at_once - sum(
        entry.state is LedgerEntryState.LOADING
        for ledger in run.ledgers.values()
        for entry in ledger.entries
    )
    for action in decide(run):
        if isinstance(action, Load) and free > 0:
            free -= _apply_action(run, action, counted=counted)
        elif isinstance(action, Unload):
            _apply_action(run, action, counted=counted)
    run.now_s += STEP_S
    for name in run.ledgers:
        _apply_report(run, name)
    if counted:
        _count_late(run)


def _apply_action(run: Run, action: Load | Unload, *, counted: bool) -> bool:
    known = run.ledgers[action.server]
    try:
        if isinstance(action, Load):
            server = list_servers(run.configuration)[action.server]
            key = action.item.key
            known = add_load_intent(known, server=server, item=action.item)
        else:
            key = action.item
            known = add_unload_intent(known, item=key)
    except (DoesNotFitError, OutdatedPlanError):
        return False
    run.ledgers[action.server] = known
    run.due[action.server, key] = run.now_s + LOAD_S
    run.moved += counted
    return True


def _apply_report(run: Run, name: str) -> None:
    known = run.ledgers[name]
    items: list[ReportedItem] = []
    for entry in known.entries:
        done = run.now_s >= run.due.get((name, entry.item), 0)
        if done and entry.state is LedgerEntryState.UNLOADING:
            continue
        state = ItemState.LOADED if done else ItemState(entry.state.value)
        items.append(
            ReportedItem(item=entry.item, state=state, memory_mib=entry.memory_mib)
        )
    report = Report(
        server=name,
        boot_id=known.boot_id,
        sequence=known.sequence + 1,
        items=tuple(items),
    )
    server = list_servers(run.configuration)[name]
    run.ledgers[name] = reconcile(known, server=server, report=report).ledger


def _count_late(run: Run) -> None:
    layout = _read_layout(run)
    loads = dict.fromkeys(layout.servers, 0.0)
    for key, names in layout.ready.items():
        for name in names:
            loads[name] += run.demand.get(key, 0.0) / len(names)
    for name, place in layout.servers.items():
        run.late += max(0.0, loads[name] - moves.measure_token_capacity(place))
    run.asked += sum(run.demand.values())


def simulate(pool: Pool, seed: int, decide: Decide, moves_weight: float) -> Run:
    """Load all models of a pool, then simulate shifting demand for some hours."""
    rng = random.Random(seed)
    run = build_run(pool, moves_weight, rng)
    get_demand = build_demand(pool, rng)
    for _ in range(20 * pool.models * LOAD_S // STEP_S // pool.store.loads_at_once):
        step(run, decide, counted=False)
        if all(_read_layout(run).ready.values()):
            break
    start = run.now_s
    while run.now_s < start + HOURS * DEMAND_SHIFT_S:
        run.demand = get_demand(run.now_s - start)
        step(run, decide, counted=True)
    return run


POLICIES: dict[str, tuple[Callable[[], Decide], float]] = {
    "static": (lambda: build_planner(with_moves=False), 0.5),
    "on every miss": (build_on_miss, 0.5),
    "planner, weight 0": (lambda: build_planner(with_moves=True), 0.0),
    "planner, weight 0.5": (lambda: build_planner(with_moves=True), 0.5),
    "planner, weight 1": (lambda: build_planner(with_moves=True), 1.0),
}


def main() -> None:
    """Print a table for each pool."""
    print(f"{HOURS} h, {len(SEEDS)} seeds: mean (least-most)")
    for pool in POOLS + FULL_POOLS:
        print(f"\n{pool.name}\n{'policy':22} {'late, %':>22} {'moves':>18}")
        for name, (build, weight) in POLICIES.items():
            runs = [simulate(pool, seed, build(), weight) for seed in SEEDS]
            late = [100 * run.late / run.asked for run in runs]
            moved = [float(run.moved) for run in runs]
            print(
                f"{name:22} {_format_range(late, 2):>22} {_format_range(moved, 0):>18}"
            )


def _format_range(values: list[float], digits: int) -> str:
    mean, least, most = statistics.fmean(values), min(values), max(values)
    return f"{mean:.{digits}f} ({least:.{digits}f}-{most:.{digits}f})"


if __name__ == "__main__":
    main()
