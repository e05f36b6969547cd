"""Placement plans: which loads, in which order, and how memory is freed."""

import pytest
from msgspec.structs import replace

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.configuration.schema import (
    Adapter,
    Configuration,
    Model,
    Policy,
    Server,
    Site,
)
from arbutuspulley.placement.actions import Blocked, Load, Unload
from arbutuspulley.placement.ledger import (
    add_load_intent,
    add_unload_intent,
    measure_occupied_mib,
    reconcile,
)
from arbutuspulley.placement.planner import (
    DOWN_AFTER_MS,
    RETIRE_AFTER_MS,
    PlannerInputs,
    PlannerState,
    plan,
)
from arbutuspulley.placement.records import LedgerEntryState, ServerLedger
from arbutuspulley.ports.engines import ItemState, Report, ReportedItem
from arbutuspulley.rpc.messages import ServerSummary

STEP_MS = 2_000
ENGINE_MS = 2 * STEP_MS
MAX_STEPS = 400


def build_site(sizes, servers, *, adapters=(), copies=1, version="1"):
    """Build a site: model sizes by name, server memory by name, (adapter, model)."""
    models = {
        name: Model(version=version, size_mib=size, copies=copies)
        for name, size in sizes.items()
    }
    return Site(
        models=models,
        adapters={
            name: Adapter(model=model, version="1", size_mib=5)
            for name, model in adapters
        },
        servers={
            name: Server(address="127.0.0.1:1", memory_mib=memory)
            for name, memory in servers.items()
        },
    )


def build(sizes, servers, *, moves_weight=0.0, number=1, **rest):
    """Build a configuration of one site, or of two if ``servers`` is a pair."""
    groups = servers if isinstance(servers, tuple) else (servers,)
    sites = {
        f"site-{number}": build_site(sizes, group, **rest)
        for number, group in enumerate(groups)
    }
    policy = Policy(moves_weight=moves_weight)
    return Configuration(version=number, policy=policy, sites=sites)


class Fleet:
    """Ledgers updated by carrying out plans, one load at a time.

    :param min_copies: the fewest ready copies of a name at any step.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self.state = PlannerState()
        self.engine_ms = ENGINE_MS
        self.now = 0
        self.ledgers = {}
        self.down = set()
        self.leaving = set()
        self.demand = {}
        self.done = []
        self.due = {}
        self.min_copies = {}

    def plan(self):
        summaries = {}
        for site_name, site in self.configuration.sites.items():
            for name in site.servers:
                fresh = ServerLedger(server=name, boot_id="boot-1")
                self.ledgers.setdefault(name, fresh)
                summaries[name] = ServerSummary(
                    server=name,
                    site=site_name,
                    address="127.0.0.1:1",
                    alive=name not in self.down,
                    leaving=name in self.leaving,
                )
        inputs = PlannerInputs(
            configuration=self.configuration,
            ledgers=self.ledgers,
            summaries=summaries,
            demand=self.demand,
        )
        return plan(self.state, inputs, now=self.now)

    def run(self, steps=MAX_STEPS):
        """Carry out plans until they have no more actions; return the actions done."""
        start = len(self.done)
        waited = 0
        for _ in range(steps):
            if self.step():
                waited = 0
            waited += STEP_MS
            if waited > RETIRE_AFTER_MS + DOWN_AFTER_MS + self.engine_ms:
                return self.done[start:]
        raise AssertionError(f"still at work: {self.done[-6:]}")

    def step(self):
        actions = self.plan()
        loads = [action for action in actions if isinstance(action, Load)]
        unloads = [action for action in actions if isinstance(action, Unload)]
        for action in unloads + loads[:1]:
            self.carry_out(action)
        self.now += STEP_MS
        for name in self.ledgers:
            self.settle(name)
        return unloads + loads

    def carry_out(self, action):
        name = action.server
        if isinstance(action, Load):
            (server,) = [
                site.servers[name]
                for site in self.configuration.sites.values()
                if name in site.servers
            ]
            known = add_load_intent(self.ledgers[name], server=server, item=action.item)
            assert measure_occupied_mib(known) <= server.memory_mib
            self.due[name, action.item.key] = self.now + self.engine_ms
        else:
            known = add_unload_intent(self.ledgers[name], item=action.item)
            self.due[name, action.item] = self.now + self.engine_ms
        self.ledgers[name] = known
        self.done.append(action)
        counts = self.count_names()
        for name, count in counts.items():
            self.min_copies[name] = min(count, self.min_copies.get(name, count))
        if isinstance(action, Unload):
            name = action.item.partition("@")[0]
            last = name in self.list_names() and counts[name] == 0
            assert not last, f"the last copy of {name} was unloaded"

    def count_names(self):
        counts = dict.fromkeys(self.list_names(), 0)
        for key, count in self.count_copies().items():
            name = key.partition("@")[0]
            counts[name] = counts.get(name, 0) + count
        return counts

    def settle(self, name):
        """Apply a report of the server with the orders that it has completed by now."""
        known = self.ledgers[name]
        items = tuple(
            ReportedItem(item=entry.item, state=state, memory_mib=entry.memory_mib)
            for entry in known.entries
            if (state := self.get_state(name, entry)) is not None
        )
        report = Report(
            server=name, boot_id=known.boot_id, sequence=known.sequence + 1, items=items
        )
        server = Server(address="127.0.0.1:1", memory_mib=1)
        self.ledgers[name] = reconcile(known, server=server, report=report).ledger

    def get_state(self, name, entry):
        done = self.now >= self.due.get((name, entry.item), 0)
        if entry.state is LedgerEntryState.UNLOADING:
            return None if done else ItemState.UNLOADING
        return ItemState.LOADED if done else ItemState.LOADING

    def list_names(self):
        sites = self.configuration.sites.values()
        return {name for site in sites for name in (*site.models, *site.adapters)}

    def list_ready(self):
        """Return the servers on which each item is ready."""
        ready = {}
        for name, known in self.ledgers.items():
            for entry in known.entries:
                usable = name not in self.down and name not in self.leaving
                if usable and entry.state is LedgerEntryState.LOADED:
                    ready.setdefault(entry.item, []).append(name)
        return ready

    def count_copies(self):
        return {key: len(names) for key, names in self.list_ready().items()}


def show(actions):
    return [
        f"{type(action).__name__.lower()} "
        f"{action.item.key if isinstance(action, Load) else action.item}"
        for action in actions
    ]


LESTARI = {f"m{number}": 34 + 3 * number for number in range(13)}
LESTARI_ADAPTERS = [(f"x{number}", f"m{number % 13}") for number in range(56)]
KURZEME = {f"m{number}": 16 + number * 18 // 25 for number in range(26)}
KURZEME_ADAPTERS = [(f"x{number}", f"m{number % 26}") for number in range(96)]


@pytest.mark.parametrize(
    ("sizes", "adapters", "servers", "copies"),
    [
        ({"a": 40, "b": 40, "c": 30}, [], {"s0": 80, "s1": 40}, 1),
        ({"a": 40, "b": 30}, [("x", "a"), ("y", "a")], {"s0": 80, "s1": 85}, 2),
        (
            {"a": 30, "b": 20, "c": 20, "d": 20},
            [("x", "a"), ("y", "a")],
            {"s0": 50, "s1": 20, "s2": 20, "s3": 20},
            1,
        ),
        (LESTARI, LESTARI_ADAPTERS, {f"s{n}": 240 for n in range(5)}, 1),
        (KURZEME, KURZEME_ADAPTERS, {f"s{n}": 320 for n in range(5)}, 1),
        (KURZEME, KURZEME_ADAPTERS, {f"s{n}": 260 for n in range(9)}, 2),
    ],
    ids=["tight", "adapters", "beside", "lestari", "kurzeme", "kurzeme-two-copies"],
)
def test_every_configured_copy_is_loaded_once(sizes, adapters, servers, copies):
    fleet = Fleet(build(sizes, servers, adapters=adapters, copies=copies))
    done = fleet.run()
    wanted = {f"{name}@1": copies for name in (*sizes, *dict(adapters))}
    assert fleet.count_copies() == wanted
    assert len(done) == sum(wanted.values())


def test_plan_is_the_same_on_each_instance():
    configuration = build(LESTARI, {f"s{n}": 240 for n in range(5)})
    fleets = [Fleet(configuration), Fleet(configuration)]
    fleets[1].ledgers = {
        name: ServerLedger(server=name, boot_id="boot-1")
        for name in ("s4", "s2", "s0", "s1", "s3")
    }
    plans = [fleet.plan() for fleet in fleets]
    assert plans[0] == plans[1]
    fleets[1].demand = {"m1@1": 300.0}
    asked = fleets[1].plan()
    assert asked != plans[0] and set(asked) == set(plans[0])


def test_copies_go_to_different_sites():
    servers = ({"s0": 100, "s1": 100}, {"t0": 100, "t1": 100})
    fleet = Fleet(build({"a": 20, "b": 20, "c": 20}, servers, copies=2))
    fleet.run()
    for names in fleet.list_ready().values():
        assert {name[0] for name in names} == {"s", "t"}


def test_lost_models_are_loaded_before_second_copies():
    """A server dies that had the only copy of one model and one of two of another.

    Callers of the first model are refused until it is loaded again; the second model
    still has a ready copy. The weight store allows one load per second.
    """
    servers = {"s0": 60, "s1": 60, "s2": 60}
    site = build_site({"lone": 30, "pair": 10}, servers)
    pair = replace(site.models["pair"], copies=2)
    site = replace(site, models={**site.models, "pair": pair})
    fleet = Fleet(Configuration(version=1, sites={"site": site}))
    fleet.run()
    (home,) = fleet.list_ready()["lone@1"]
    if home not in fleet.list_ready()["pair@1"]:
        other = fleet.list_ready()["pair@1"][0]
        fleet.ledgers[home], fleet.ledgers[other] = (
            replace(
                fleet.ledgers[home],
                entries=fleet.ledgers[home].entries + fleet.ledgers[other].entries,
            ),
            replace(fleet.ledgers[other], entries=()),
        )
    fleet.down.add(home)
    assert show(fleet.plan()) == []
    fleet.now += DOWN_AFTER_MS
    assert show(fleet.plan()) == ["load lone@1", "load pair@1"]


@pytest.mark.parametrize(
    ("demand", "expected"),
    [
        ({}, "cba"),
        ({"a@1": 100.0}, "acb"),
        ({"a@1": 100.0, "c@1": 61.0}, "cab"),
        ({"a@1": 101.0, "b@1": 61.0}, "bac"),
        ({"x@1": 900.0, "b@1": 100.0}, "abc"),
    ],
    ids=["smallest", "most-asked", "by-size", "about-as-much", "by-its-adapter"],
)
def test_loads_of_a_priority_are_ordered_by_demand_per_size(demand, expected):
    sizes = {"a": 30, "b": 20, "c": 15}
    fleet = Fleet(build(sizes, {"s0": 200}, adapters=[("x", "a")]))
    fleet.demand = demand
    assert show(fleet.plan()) == [f"load {name}@1" for name in expected]


@pytest.mark.parametrize("fault", ["down", "leaving"])
def test_copies_of_a_lost_server_are_loaded_elsewhere(fault):
    servers = {f"s{n}": 340 for n in range(5)}
    fleet = Fleet(build(LESTARI, servers, adapters=LESTARI_ADAPTERS))
    fleet.run()
    getattr(fleet, fault).add("s2")
    fleet.run()
    wanted = {f"{name}@1" for name in (*LESTARI, *dict(LESTARI_ADAPTERS))}
    assert fleet.list_ready().keys() == wanted


def test_adapters_get_another_copy_of_a_model_that_lacks_memory_for_them():
    """A server leaves, and the only other one has memory for a model but not for all
    of its adapters. The model is loaded first; when the server is back, the remaining
    adapters need another copy of the model there.
    """
    adapters = [("x", "a"), ("y", "a")]
    fleet = Fleet(build({"a": 50}, {"s0": 55, "s1": 100}, adapters=adapters))
    fleet.leaving.add("s1")
    assert show(fleet.run()) == ["load a@1", "load x@1"]
    fleet.leaving.clear()
    assert show(fleet.run()) == ["load a@1", "load y@1"]


@pytest.mark.parametrize(
    ("servers", "copies", "adapters"),
    [
        ({"s0": 100}, 1, []),
        ({"s0": 80, "s1": 50}, 2, []),
        ({"s0": 50, "s1": 80}, 2, []),
        ({"s0": 100, "s1": 100}, 1, [("x", "a")]),
        ({"s0": 90, "s1": 90}, 2, [("x", "a"), ("y", "a")]),
        ({"s0": 100, "s1": 60, "s2": 60}, 2, [("x", "a")]),
        ({"s0": 60, "s1": 60, "s2": 60, "s3": 60}, 2, [("x", "a")]),
    ],
    ids=["beside", "in-turn", "in-turn-2", "other-server", "swap", "three", "four"],
)
def test_new_version_is_ready_before_the_old_one_is_unloaded(servers, copies, adapters):
    fleet = Fleet(build({"a": 40}, servers, copies=copies, adapters=adapters))
    fleet.run()
    fleet.min_copies.clear()
    fleet.engine_ms = 2 * RETIRE_AFTER_MS
    fleet.configuration = build(
        {"a": 40}, servers, copies=copies, adapters=adapters, version="2", number=2
    )
    done = fleet.run()
    names = {f"{name}@1": copies for name, _ in adapters}
    assert fleet.count_copies() == {"a@2": copies, **names}
    assert len(done) == 2 * copies * (1 + len(adapters))
    assert fleet.min_copies["a"] == copies
    if len(servers) == 2 * copies:
        assert set(fleet.min_copies.values()) == {copies}


def test_items_no_longer_configured_are_unloaded_after_a_delay():
    servers = {"s0": 100}
    fleet = Fleet(build({"a": 40, "b": 40}, servers, adapters=[("x", "b")]))
    fleet.run()
    fleet.configuration = build({"a": 40}, servers)
    assert fleet.plan() == ()
    fleet.now += RETIRE_AFTER_MS
    assert show(fleet.plan()) == ["unload x@1"]
    assert show(fleet.run()) == ["unload x@1", "unload b@1"]


def load_items(fleet, keys_by_server):
    """Load items on given servers, as previous plans may have done."""
    configuration = fleet.configuration
    for name, keys in keys_by_server.items():
        fleet.ledgers[name] = ServerLedger(server=name, boot_id="boot-1")
        for key in keys:
            model = configuration.sites["site-0"].models[key[0]]
            item = Load(server=name, item=_build_item(key, model))
            fleet.carry_out(item)
        fleet.now += ENGINE_MS
        fleet.settle(name)
    fleet.done.clear()


def _build_item(key, model):
    return Item(name=key[0], key=key, memory_mib=model.size_mib, copies=model.copies)


@pytest.mark.parametrize(
    ("sizes", "servers", "keys_by_server", "expected"),
    [
        (
            {"a": 30, "b": 30, "c": 60},
            {"s0": 60, "s1": 60},
            {"s0": ["a@1"], "s1": ["b@1"]},
            ["load a@1", "unload a@1", "load c@1"],
        ),
        (
            {"a": 20, "b": 20, "c": 20, "d": 60},
            {"s0": 60, "s1": 60},
            {"s0": ["a@1", "b@1"], "s1": ["c@1"]},
            ["load c@1", "unload c@1", "load d@1"],
        ),
        (
            {"a": 30, "b": 50},
            {"s0": 60, "s1": 60},
            {"s0": ["a@1"], "s1": ["a@1"]},
            ["unload a@1", "load b@1"],
        ),
        (
            {"a": 30, "b": 30, "c": 30},
            {"s0": 60, "s1": 60},
            {"s0": ["a@1", "b@1"], "s1": ["a@1", "b@1"]},
            ["unload a@1", "load c@1"],
        ),
    ],
    ids=["relocate", "cheapest", "surplus", "no-more-than-needed"],
)
def test_memory_is_freed_for_a_model_that_fits_on_no_server(
    sizes, servers, keys_by_server, expected
):
    """Enough memory is free in total, but not on any single server.

    Callers of the last model would be refused for ever, although the configuration was
    accepted. Another model is first loaded on a second server; only when that copy is
    ready, the copy that occupies the needed memory is unloaded.
    """
    fleet = Fleet(build(sizes, servers))
    load_items(fleet, keys_by_server)
    done = show(fleet.run())
    assert done == expected
    assert fleet.count_copies().keys() == {f"{name}@1" for name in sizes}


def test_memory_being_freed_is_reserved_for_a_lost_model():
    """A large model is not loaded, and freeing memory for it takes a relocation.

    Second copies of a small model would use the memory in the meantime, and callers of
    the large model would be refused permanently.
    """
    sizes = {"a": 30, "b": 30, "c": 60, "d": 25}
    fleet = Fleet(build(sizes, {"s0": 60, "s1": 60, "s2": 40}))
    load_items(fleet, {"s0": ["a@1"], "s1": ["b@1"], "s2": ["d@1"]})
    site = fleet.configuration.sites["site-0"]
    models = {**site.models, "d": replace(site.models["d"], copies=2)}
    fleet.configuration = replace(
        fleet.configuration, sites={"site-0": replace(site, models=models)}
    )
    fleet.run()
    assert fleet.count_copies() == {f"{name}@1": 1 for name in sizes}


def test_blocked_model_is_reported_with_sizes():
    fleet = Fleet(build({"a": 50, "b": 50}, {"s0": 60}))
    fleet.run()
    (blocked,) = fleet.plan()
    assert isinstance(blocked, Blocked)
    assert "needs 50 MiB; the most room is 10 MiB on s0" in blocked.detail


HOT = 27.0 * 16


@pytest.mark.parametrize(
    ("moves_weight", "demand", "seconds", "expected"),
    [
        (0.0, 0.5 * HOT, 600, []),
        (0.0, 1.5 * HOT, 2, []),
        (0.0, 1.5 * HOT, 20, ["load a@1"]),
        (1.0, 1.5 * HOT, 20, []),
        (1.0, 1.5 * HOT, 100, ["load a@1"]),
        (0.0, 0.95 * HOT, 600, ["load a@1"]),
        (1.0, 0.95 * HOT, 600, []),
    ],
)
def test_demand_adds_copies_if_the_move_is_worthwhile(
    moves_weight, demand, seconds, expected
):
    servers = {"s0": 100, "s1": 100, "s2": 100}
    fleet = Fleet(build({"a": 40, "b": 40}, servers, moves_weight=moves_weight))
    fleet.run()
    fleet.demand = {"a@1": demand}
    start = len(fleet.done)
    for _ in range(seconds * 1_000 // STEP_MS):
        fleet.step()
    assert show(fleet.done[start:]) == expected


def test_copy_goes_to_another_server_if_the_idlest_is_full():
    """The least loaded server has no free memory, and nothing on it can be unloaded.

    Callers of a model in high demand would get late answers for hours although another
    server has free memory and little load.
    """
    servers = {"s0": 40, "s1": 60, "s2": 100}
    fleet = Fleet(build({"a": 40, "c": 60, "d": 20}, servers))
    load_items(fleet, {"s0": ["a@1"], "s1": ["c@1"], "s2": ["d@1"]})
    fleet.demand = {"a@1": 1.5 * HOT, "d@1": 0.3 * HOT}
    fleet.run()
    assert fleet.list_ready()["a@1"] == ["s0", "s2"]


def test_alternating_demand_causes_no_moves_after_the_first_copies():
    """Two models alternately have ten times their usual demand, for minutes each.

    Moving copies each time would load and unload without end, and each load may stall
    the requests on its server. An extra copy stays until its memory is needed.
    """
    servers = {"s0": 100, "s1": 100, "s2": 100}
    fleet = Fleet(build({"a": 40, "b": 40}, servers))
    fleet.run()
    moved = []
    for turn in range(20):
        fleet.demand = {"ab"[turn % 2] + "@1": 1.5 * HOT}
        moved.append(len(fleet.run()))
    assert sum(moved[:2]) <= 4 and sum(moved[2:]) == 0


@pytest.mark.parametrize(
    ("demand", "expected"),
    [
        ({"b@1": 1.8 * HOT}, ["unload a@1", "load b@1"]),
        ({"b@1": 1.8 * HOT, "a@1": 1.5 * HOT}, []),
        ({"b@1": 1.8 * HOT, "a@1": 0.9 * HOT}, []),
        ({"b@1": 0.95 * HOT}, []),
    ],
)
def test_extra_copy_is_unloaded_for_a_more_valuable_one(demand, expected):
    fleet = Fleet(build({"a": 40, "b": 20}, {"s0": 50, "s1": 60}))
    load_items(fleet, {"s0": ["a@1"], "s1": ["b@1", "a@1"]})
    fleet.demand = demand
    assert show(fleet.run()) == expected
