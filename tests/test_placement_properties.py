"""Random interleavings of orders, reports, changes of owner and restarts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.configuration.schema import Server
from arbutuspulley.data import State
from arbutuspulley.placement import ledger, transactions
from arbutuspulley.placement.records import (
    CopiesRecord,
    LedgerEntryState,
    ServerLedger,
    build_copies_key,
    build_ledger_key,
    decode,
    find_entry,
)
from arbutuspulley.placement.transactions import CopiesRow, LedgerRow, SlotRow
from arbutuspulley.ports.engines import (
    ItemState,
    Order,
    OrderKind,
    OrderOutcome,
    Report,
    ReportedItem,
)
from arbutuspulley.ports.platform import Precondition, Transaction, Write
from arbutuspulley.results import ArbutusError

CAPACITY_MIB = 100
EXAMPLES = 300
SIZES = {"a@1": 60, "b@1": 60}
ITEMS = {
    key: Item(name=key[0], key=key, memory_mib=size) for key, size in SIZES.items()
}
ALL = slice(None)
ARRIVING = (slice(0), slice(1), slice(-1, None), ALL)
FATES = ("taken", "taken", "lost", "refused")
AGES = (0, 0, 0, 1)


class Engine(State):
    """A backend server that carries out all orders, or those that pass its checks."""

    name: str
    checks: bool
    boot: int = 1
    sequence: int = 0
    fence: int = 0
    last_order: int = 0
    items: dict[str, ItemState] = {}

    def would_accept(self, order: Order) -> bool:
        if order.boot_id != f"{self.name}-{self.boot}":
            return False
        newer = order.fence >= self.fence and order.number > self.last_order
        return newer or not self.checks

    def apply_order(self, order: Order, *, refuse: bool) -> OrderOutcome | None:
        if order.boot_id != f"{self.name}-{self.boot}":
            return None
        if not self.would_accept(order):
            return OrderOutcome.STALE
        self.fence = max(self.fence, order.fence) if self.checks else 0
        self.last_order = max(self.last_order, order.number)
        if refuse:
            return OrderOutcome.REFUSED
        if order.kind is OrderKind.LOAD:
            self.items.setdefault(order.item, ItemState.LOADING)
        elif order.item in self.items:
            self.items[order.item] = ItemState.UNLOADING
        return OrderOutcome.ACCEPTED

    def work(self, *, fail: bool = False) -> None:
        for item, state in list(self.items.items()):
            if state is ItemState.LOADING and not fail:
                self.items[item] = ItemState.LOADED
            elif state is not ItemState.LOADED:
                del self.items[item]

    def restart(self) -> None:
        self.boot += 1
        self.sequence = self.fence = self.last_order = 0
        self.items = {}

    def report(self) -> Report:
        self.sequence += 1
        return Report(
            server=self.name,
            boot_id=f"{self.name}-{self.boot}",
            sequence=self.sequence,
            fence=self.fence,
            last_order=self.last_order,
            items=tuple(
                ReportedItem(item=key, state=state, memory_mib=SIZES[key])
                for key, state in self.items.items()
            ),
        )


class Owner(State):
    """An owner of one server; a replaced owner continues with its outdated state."""

    server: str
    owner: Precondition
    ledger: ServerLedger
    revision: int
    inbox: list[Report] = []
    copies: dict[str, CopiesRow] = {}


class Fleet:
    """Servers, their successive owners, and the table that the owners share."""

    def __init__(self, *, checks, names):
        self.names = names
        self.restarts = len(names) == 1
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.revision = 0
        self.engines = {name: Engine(name=name, checks=checks) for name in self.names}
        self.owners: dict[str, list[Owner]] = {name: [] for name in self.names}
        self.orders: list[tuple[Owner, Order]] = []
        for index in range(len(self.names)):
            self.claim(index)
            self.settle(index)

    def read(self, key, kind, default):
        value, revision = self.rows.get(key, (b"", 0))
        return (decode(value, kind) if value else default), revision

    def transact(self, transaction: Transaction) -> bool:
        for known in transaction.preconditions:
            if self.rows.get(known.key, (b"", 0))[1] != known.revision:
                return False
        self.revision += 1
        for write in transaction.writes:
            self.rows[write.key] = (write.value, self.revision)
        return True

    def commit(self, owner: Owner, current: ServerLedger, build, **extra) -> bool:
        row = LedgerRow(ledger=current, revision=owner.revision, owner=owner.owner)
        transaction = build(token="t", group="g", row=row, **extra)
        if self.transact(transaction):
            owner.ledger, owner.revision = current, self.revision
            return True
        owner.ledger, owner.revision = self.read_ledger(owner.server)
        owner.inbox.clear()
        self.read_all_copies(owner)
        return False

    def read_ledger(self, server):
        return self.read(
            build_ledger_key("g", server), ServerLedger, ServerLedger(server=server)
        )

    def read_copies(self, item):
        default = CopiesRecord(item=item)
        record, revision = self.read(build_copies_key("g", item), CopiesRecord, default)
        return CopiesRow(record=record, revision=revision)

    def name(self, server: int) -> str:
        return self.names[server % len(self.names)]

    def find_owner(self, server: int, age: int = 0) -> Owner:
        owners = self.owners[self.name(server)]
        return owners[max(-1 - age, -len(owners))]

    def read_all_copies(self, owner: Owner) -> None:
        owner.copies = {item: self.read_copies(item) for item in SIZES}

    def claim(self, server):
        server = self.name(server)
        key = f"g/owner/{server}"
        write = Write(key=key, value=b"")
        self.transact(Transaction(token="t", preconditions=(), writes=(write,)))
        fence = self.revision
        known, revision = self.read_ledger(server)
        owner = Owner(
            server=server,
            owner=Precondition(key=key, revision=fence),
            ledger=known,
            revision=revision,
        )
        taken = ledger.take_over(known, fence=fence)
        assert self.commit(owner, taken, transactions.build_confirmation)
        self.owners[server].append(owner)
        self.read_all_copies(owner)

    def load_or_unload(self, server, age, item):
        """Load an item, or unload it if the owner's ledger says that it is loaded."""
        owner = self.find_owner(server, age)
        entry = find_entry(owner.ledger, item)
        loaded = entry is not None and entry.state is LedgerEntryState.LOADED
        try:
            current = self.unload(owner, item) if loaded else self.load(owner, item)
        except ArbutusError:
            return
        if current is not None:
            order = ledger.build_order(current, find_entry(current, item))
            self.orders.append((owner, order))

    def load(self, owner, item):
        current = ledger.add_load_intent(
            owner.ledger, server=self.describe(owner.server), item=ITEMS[item]
        )
        slot = SlotRow(number=0, revision=self.rows.get("g/load-slot/0", (b"", 0))[1])
        build = transactions.build_load_intent
        done = self.commit(owner, current, build, slot=slot, holder=slot.record)
        return current if done else None

    def unload(self, owner, item):
        current = ledger.add_unload_intent(owner.ledger, item=item)
        done = self.commit(
            owner,
            current,
            transactions.build_unload_intent,
            copies=owner.copies[item],
            usable=self.names,
            min_copies=len(self.names) - 1,
        )
        return current if done else None

    def deliver(self, order, fate, reply):
        if not self.orders:
            return
        owner, sent = self.orders.pop(order % len(self.orders))
        before = self.list_loaded(sent.item)
        outcome = None
        if fate != "lost":
            outcome = self.engines[owner.server].apply_order(
                sent, refuse=fate == "refused"
            )
        if before and not self.restarts:
            assert self.list_loaded(sent.item), "the last copy was unloaded"
        if reply and outcome is OrderOutcome.ACCEPTED:
            owner.ledger = ledger.record_accepted(owner.ledger, sent)
        elif reply and outcome is OrderOutcome.REFUSED:
            owner.ledger = ledger.record_refused(owner.ledger, sent)

    def work(self, server, fail):
        self.engines[self.name(server)].work(fail=fail)

    def restart(self, server):
        if not self.restarts:
            return
        self.engines[self.name(server)].restart()

    def request_report(self, server, age):
        owner = self.find_owner(server, age)
        owner.inbox.append(self.engines[owner.server].report())

    def apply_report(self, server, age, index):
        """Apply any received report of the same boot as the first one."""
        owner = self.find_owner(server, age)
        turn = [
            known for known in owner.inbox if known.boot_id == owner.inbox[0].boot_id
        ]
        if turn:
            taken = turn[index % len(turn)]
            owner.inbox.remove(taken)
            self.reconcile(owner, taken)

    def reconcile(self, owner, taken):
        outcome = ledger.reconcile(
            owner.ledger, server=self.describe(owner.server), report=taken
        )
        if not outcome.changed:
            owner.ledger = outcome.ledger
            return
        self.read_all_copies(owner)
        copies = list(owner.copies.values())
        build = transactions.build_confirmation
        if self.commit(owner, outcome.ledger, build, copies=copies):
            self.orders += [(owner, order) for order in outcome.resend]

    def settle(self, server, arriving=ALL):
        """Advance by several reports, in which some of the owner's orders arrive."""
        owner = self.find_owner(server)
        engine = self.engines[owner.server]
        engine.sequence += ledger.RESEND_AFTER_REPORTS
        own = [known for known in self.orders if known[0] is owner]
        for known in own[arriving]:
            self.deliver(self.orders.index(known), "taken", False)
        engine.work()
        report = engine.report()
        owner.inbox = [old for old in owner.inbox if old.boot_id == report.boot_id]
        self.reconcile(owner, report)
        self.read_all_copies(owner)

    def describe(self, server) -> Server:
        return Server(
            address="127.0.0.1:1",
            memory_mib=CAPACITY_MIB,
            checks_orders=self.engines[server].checks,
        )

    def list_loaded(self, item):
        return [
            name
            for name in self.names
            if self.engines[name].items.get(item) is ItemState.LOADED
        ]

    def check_memory(self):
        for name, engine in self.engines.items():
            on_the_way = {
                order.item
                for owner, order in self.orders
                if owner.server == name
                and order.kind is OrderKind.LOAD
                and engine.would_accept(order)
            }
            possible = sum(SIZES[item] for item in on_the_way | engine.items.keys())
            assert possible <= CAPACITY_MIB, f"{name} may come to hold {possible}"
            if self.read_ledger(name)[0].boot_id == f"{name}-{engine.boot}":
                counted = ledger.measure_occupied_mib(self.read_ledger(name)[0])
                assert counted >= possible

    def end_faults(self):
        """Check that every ledger agrees with its server once no more faults occur."""
        for index, name in enumerate(self.names):
            self.claim(index)
            for _ in range(4):
                self.settle(index)
            self.check_agreement(self.engines[name], self.read_ledger(name)[0])

    def check_agreement(self, engine, known):
        states = {entry.item: entry.state for entry in known.entries}
        loaded = {key for key in states if states[key] is LedgerEntryState.LOADED}
        assert loaded == engine.items.keys()
        others = set(states.values()) - {LedgerEntryState.LOADED}
        assert others <= (set() if engine.checks else {LedgerEntryState.ABSENT})


KINDS = {
    "operate": lambda fleet, a, b, c: fleet.load_or_unload(
        a, AGES[b], sorted(SIZES)[c % 2]
    ),
    "deliver": lambda fleet, a, b, c: fleet.deliver(a, FATES[b], c % 2 == 0),
    "work": lambda fleet, a, b, c: fleet.work(a, b == 0),
    "ask": lambda fleet, a, b, c: fleet.request_report(a, AGES[b]),
    "take": lambda fleet, a, b, c: fleet.apply_report(a, AGES[b], c),
    "settle": lambda fleet, a, b, c: fleet.settle(a, ARRIVING[b]),
    "claim": lambda fleet, a, b, c: fleet.claim(a),
    "restart": lambda fleet, a, b, c: fleet.restart(a),
}
OFTEN = ("operate", "operate", "operate", "deliver", "settle", "settle")
PICK = st.integers(min_value=0, max_value=3)
STEPS = st.lists(
    st.tuples(st.sampled_from([*KINDS, *OFTEN]), PICK, PICK, PICK),
    min_size=20,
    max_size=50,
)


@pytest.mark.parametrize("names", [("s0",), ("s0", "s1")], ids=["one", "two"])
@pytest.mark.parametrize("checks", [True, False], ids=["checking", "unchecking"])
def test_memory_is_never_overcommitted_under_interleaving(checks, names):
    """Orders are sent twice or arrive late, and owners are paused and replaced.

    If memory is freed, or a copy is relied on, before an order is proven to have ended,
    a server runs out of memory or a model becomes unavailable long after the cause.
    """

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True, database=None)
    @given(steps=STEPS)
    def run(steps):
        fleet = Fleet(checks=checks, names=names)
        for kind, *choices in steps:
            KINDS[kind](fleet, *choices)
            fleet.check_memory()
        fleet.end_faults()

    run()
