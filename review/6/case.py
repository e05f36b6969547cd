"""A holder that was cut off from the store gives orders again after its successor."""

import asyncio
import itertools
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet2
from fleet2 import CONTACT_S, TROUBLE, build_answer, build_request, now, run_case

LEASE_S = 3.0
"""``LeaseMs`` of the sheets."""

CUT_S = 3.2
"""How long the holder is cut off from the store."""

THAW_S = 0.3
"""``ThawMs``: orders that arrive so soon after a link has healed don't count."""

MODELS = ("m0", "m1")
ADAPTERS = 60
SERVERS = ("e1", "e2", "e3", "e4")

REQUEST_S = 0.15
"""Interval of requests. Each asks for another adapter, which has to be loaded."""

CONFIGURATION = {
    **fleet2.CONFIGURATION,
    "Routes": [fleet2.build_route("/chat/", "llm", "streaming", TimeoutMs=4_000)],
    "Services": [
        {
            "Name": "llm",
            "MaxConnections": 300,
            "Engine": {
                "Slots": 48,
                "KvCapacity": 155_228,
                "WeightsMb": 83_000,
                "AdapterSlots": 8,
                "LoadsPerS": 2.1,
                "Models": [
                    {
                        "Name": name,
                        "WeightsMb": 34_300,
                        "LoadS": 1.2,
                        "Adapters": ADAPTERS,
                        "AdapterMb": 40,
                    }
                    for name in MODELS
                ],
            },
        }
    ],
}


class Engine(fleet2.Server):
    """A model server that doesn't check fences. It holds all models from its start."""

    def __init__(self, fleet, name):
        super().__init__(fleet, name, "llm", is_streaming=True)
        self.events, self.pause_s = 3, 0.02
        self.adapters = {model: {} for model in MODELS}
        self.sequence = 0

    def list_models(self):
        """Return what it holds."""
        return [
            {"Name": model, "Version": 1, "Adapters": list(adapters)}
            for model, adapters in self.adapters.items()
        ]

    async def answer(self, writer, first, headers, body):
        """Answer a report, an order or a request."""
        target = first.split(" ")[1]
        expected = headers.get("x-arbutuspulley-expect-instance")
        if expected in (None, self.name) and target == "/report":
            report = {
                "Stage": "both",
                "Models": self.list_models(),
                "Busy": False,
                "Sequence": self.sequence,
                "Queued": 0,
                "Active": 0,
                "KvUsed": 0,
                "KvTotal": 155_228,
                "Handles": 0,
                "born": self.born,
            }
            writer.write(build_answer(200, json.dumps(report).encode()))
            return
        if expected in (None, self.name) and target == "/order":
            order = json.loads(body)
            status = self._apply(order)
            self.fleet.note("order", server=self.name, status=status, **order)
            writer.write(build_answer(status))
            return
        model, _, adapter = headers.get("x-arbutuspulley-model", "").partition("/")
        if adapter not in self.adapters.get(model, {}) and model:
            attempt = (fleet2.ATTEMPT_ID, headers[fleet2.ATTEMPT_ID.lower()])
            writer.write(build_answer(421, b"", [attempt]))
            return
        await super().answer(writer, first, headers, body)

    def _apply(self, order):
        if order.get("Expected", self.sequence) != self.sequence:
            return 409
        held = self.adapters.get(order["Model"], {})
        adapter = order.get("Adapter", "")
        if not adapter or (order["Operation"] == "load") == (adapter in held):
            return 200
        if order["Operation"] == "unload":
            del held[adapter]
        else:
            count = sum(map(len, self.adapters.values()))
            if count >= 8:
                raise RuntimeError("more adapters were ordered than a server holds")
            held[adapter] = None
        self.sequence += 1
        return 202


class StorePath:
    """A proxy on a node's way to the store, which cuts it for a while.

    While it is cut, connections are reset.
    """

    def __init__(self, store):
        self.store, self.address = store, ""
        self.is_cut = False
        self.listening = None
        self.writers = set()

    async def open(self):
        """Listen on a free port."""
        self.listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.listening.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def cut(self):
        """Reset all connections, and new ones until the cut ends."""
        self.is_cut = True
        for writer in list(self.writers):
            fleet2.reset(writer)

    def heal(self):
        """End the cut."""
        self.is_cut = False

    def close(self):
        """Close all connections."""
        self.listening.close()
        self.cut()

    async def _serve(self, reader, writer):
        if self.is_cut:
            fleet2.reset(writer)
            return
        host, _, port = self.store.address.partition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self.writers |= {writer, far_writer}
        await asyncio.gather(
            self._pass(reader, far_writer), self._pass(far_reader, writer)
        )
        self.writers -= {writer, far_writer}

    async def _pass(self, reader, writer):
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def send(fleet, number):
    """Ask one node for a stream of one adapter after the other."""
    model = MODELS[number % len(MODELS)]
    adapter = f"a{1 + number // len(MODELS) % ADAPTERS}"
    node = fleet.clients_nodes[number % len(fleet.clients_nodes)]
    headers = [
        ("Connection", "close"),
        ("X-Arbutuspulley-Model", f"{model}/{adapter}"),
        ("X-Arbutuspulley-Token-Usage", "60,9"),
        ("X-Arbutuspulley-Prompt-Prefix", f"{number + 4096:x}:60"),
    ]
    name = f"c{number}"
    fleet.note("sent", id=name, node=node, model=f"{model}/{adapter}")
    request = build_request(f"/chat/{number}", name, deadline_ms=4_000, headers=headers)
    host, _, port = fleet.get_front(node).partition(":")
    status = 0
    try:
        async with asyncio.timeout(4):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request)
                status = int((await reader.readline()).split()[1])
                await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError):
        pass
    fleet.note("answered", id=name, status=status)


async def keep_sending(fleet):
    """Send requests until cancelled."""
    for number in itertools.count():
        fleet.spawn(send(fleet, number))
        await asyncio.sleep(REQUEST_S)


def find_turns(orders):
    """Return orders of a holder, another and the first again within LEASE_S."""
    turns = []
    for index, (at, server, holder) in enumerate(orders):
        earlier = [
            one for one in orders[:index] if one[1] == server and one[0] > at - LEASE_S
        ]
        for before, between in itertools.combinations(earlier, 2):
            if before[2] == holder != between[2]:
                turns.append((before, between, (at, server, holder)))
                break
    return turns


async def play(fleet):
    """Play the case."""
    fleet2.CONFIGURATION.update(CONFIGURATION)
    await fleet.open()
    for name in SERVERS:
        engine = fleet.servers[name] = Engine(fleet, name)
        await engine.open()
        engine.write_entry()
        engine.beating = fleet.spawn(engine.beat())
    paths = {}
    for name in ("n1", "n2"):
        paths[name] = StorePath(fleet.store)
        await paths[name].open()
        fleet.closing.append(paths[name])
        fleet.change_settings(
            name, store=paths[name].address, bounds={"RequireFencing": False}
        )
    await fleet.start("n1", "n2")
    fleet.clients_nodes = ["n1", "n2"]
    await asyncio.sleep(CONTACT_S + 1)
    sending = fleet.spawn(keep_sending(fleet))
    await asyncio.sleep(0.8)
    first = fleet.list("order")[-1][1]["Holder"]
    second = "n2" if first == "n1" else "n1"
    if TROUBLE:
        fleet.note("cut from the store", node=first)
        paths[first].cut()
        began = now()

        async def heal():
            await asyncio.sleep(CUT_S)
            paths[first].heal()
            fleet.note("cut ended", node=first)

        fleet.spawn(heal())
        while fleet.list("order")[-1][1]["Holder"] != second:
            if now() > began + 15:
                raise RuntimeError("the other node has given no order")
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(0.2, began + CUT_S + 0.3 - now()))
    fleet.note("SIGTERM", node=second)
    fleet.clients_nodes = [first]
    fleet.nodes[second].send_signal(signal.SIGTERM)
    await asyncio.sleep(3)
    sending.cancel()
    await asyncio.sleep(1)
    orders = [
        (round(at, 3), one["server"], one["Holder"], one["FencingToken"])
        for at, one in fleet.list("order")
    ]
    healed = [(at, one["node"]) for at, one in fleet.list("cut ended")]
    counted = [
        one[:3]
        for one in orders
        if not any(node == one[2] and at <= one[0] < at + THAW_S for at, node in healed)
    ]
    turns = find_turns(counted)
    served = [one["status"] for _, one in fleet.list("answered")]
    holders = [
        f"{len(list(group))} orders of {holder}"
        for holder, group in itertools.groupby(one[2] for one in orders)
    ]
    return bool(turns), [
        f"in order: {', '.join(holders)}",
        f"{len(turns)} orders of a holder within LeaseMs of an earlier one of its own,"
        " with another's between them, at one server",
        *(f"for example: {turn}" for turn in turns[:1]),
        f"{served.count(200)} of {len(served)} requests were served",
    ]


run_case(play, FOLDER)
