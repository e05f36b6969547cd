"""What idle instances cost each other and the platform, at three numbers of them."""

import time
from pathlib import Path

import msgspec

from arbutuspulley.configuration import schema
from arbutuspulley.data import Value
from scripts import fleet
from scripts.fleet import Fleet, InstancePlan, Plan, ServerPlan
from scripts.launcher import Launcher, WaitError, fetch
from scripts.slope_figures import Figure, build_slope
from scripts.slope_fit import Point
from scripts.slope_process import Relay, open_relays, read_cpu_ms, read_rss_mib
from scripts.slope_stack import MODELS, approve, find_pid, read_platform, wait_loaded

INSTANCES = (2, 4, 6)
SPAN_S = 7.0
SETTLE_S = 4.0
"""Wait after instances were started, until they have shared out the servers."""

CHANGES = 3
"""Configuration changes approved one after the other."""

_SITES = ("semarang-a", "semarang-b", "solo-hall")
_FIRST = "controller-instance-1"


class Sample(Value, frozen=True):
    """What everything has used up to a moment.

    :param cpu_ms: of the controllers together.
    :param peer_bytes: peers' replies to the first controller.
    :param view_bytes: between the first entry and its controller.
    """

    at: float
    cpu_ms: float
    entry_cpu_ms: float
    reads: int
    writes: int
    platform_bytes: int
    wire_bytes: int
    peer_bytes: float
    view_bytes: int


def measure_instances(launcher: Launcher, directory: Path) -> list[Figure]:
    """Start two, four and six instances and measure them without any load."""
    plan = Plan(
        instances=tuple(
            InstancePlan(name=f"instance-{number}", site=_SITES[number % 3])
            for number in range(1, INSTANCES[-1] + 1)
        ),
        servers=tuple(
            ServerPlan(name=f"engine-{number}", site=_SITES[number % 3])
            for number in range(1, 3)
        ),
        services=(),
        models=MODELS,
        lease_ms=10_000,
        renew_ms=2_500,
        report_ms=500,
        exchange_ms=1_000,
    )
    system = fleet.build_fleet(plan, launcher)
    targets = {
        "platform": system.addresses["platform"],
        "own": system.addresses[_FIRST],
    }
    with open_relays(targets) as relays:
        fleet.start_standins(system)
        system.routes[_FIRST, "platform"] = relays["platform"].address
        system.routes["entry-instance-1", _FIRST] = relays["own"].address
        return _measure_all(system, launcher, directory, relays)


def _measure_all(
    system: Fleet, launcher: Launcher, directory: Path, relays: dict[str, Relay]
) -> list[Figure]:
    every = system.plan
    idle: dict[int, Sample] = {}
    for count in INSTANCES:
        _start_more(system, launcher, every, count)
        if count == INSTANCES[0]:
            _approve_all_sites(system, directory, every)
        wait_loaded(system, copies=len(every.models))
        launcher.wait_ready(*fleet.list_all_entries(system))
        time.sleep(SETTLE_S)
        idle[count] = _measure_span(system, launcher, relays)
    last = idle[INSTANCES[-1]]
    return [
        *_build_idle(idle),
        *_measure_changes(system, launcher, directory, relays, last),
        Figure(
            name="controller.memory_with_5_peers",
            value=read_rss_mib(find_pid(launcher, _FIRST)),
            unit="MiB",
        ),
        Figure(
            name="console.memory",
            value=read_rss_mib(find_pid(launcher, "console")),
            unit="MiB",
        ),
    ]


def _approve_all_sites(system: Fleet, directory: Path, every: Plan) -> None:
    """Approve what holds for the later instances' sites, too."""
    present = system.plan
    system.plan = every
    approve(system, directory)
    system.plan = present


def _start_more(system: Fleet, launcher: Launcher, every: Plan, count: int) -> None:
    known = len(system.plan.instances) if launcher.processes.get(_FIRST) else 0
    system.plan = msgspec.structs.replace(every, instances=every.instances[:count])
    if not known:
        fleet.start_programs(system)
        launcher.wait_ready("console")
    for instance in every.instances[known:count] if known else ():
        fleet.start_controller(system, instance)
        for name in fleet.list_entry_names(instance):
            fleet.start_entry(system, instance, name)
    names = [f"controller-{one.name}" for one in system.plan.instances]
    launcher.wait_ready(*names)


def _measure_span(
    system: Fleet, launcher: Launcher, relays: dict[str, Relay]
) -> Sample:
    """Return what a second uses."""
    before = _take_sample(system, launcher, relays)
    time.sleep(SPAN_S)
    return _divide(before, _take_sample(system, launcher, relays))


def _divide(before: Sample, after: Sample) -> Sample:
    seconds = after.at - before.at
    names = [name for name in Sample.__struct_fields__ if name != "at"]
    rates = {
        name: (getattr(after, name) - getattr(before, name)) / seconds for name in names
    }
    return Sample(at=seconds, **rates)


def _take_sample(system: Fleet, launcher: Launcher, relays: dict[str, Relay]) -> Sample:
    counters = read_platform(system)
    names = [one.name for one in system.plan.instances]
    return Sample(
        at=time.monotonic(),
        cpu_ms=sum(_read_cpu(launcher, f"controller-{name}") for name in names),
        entry_cpu_ms=_read_cpu(launcher, "entry-instance-1"),
        reads=counters["reads"],
        writes=counters["writes"],
        platform_bytes=counters["bytes_in"] + counters["bytes_out"],
        wire_bytes=_count_bytes(relays["platform"]),
        peer_bytes=_read_exchange_bytes(system),
        view_bytes=_count_bytes(relays["own"]),
    )


def _read_cpu(launcher: Launcher, name: str) -> float:
    return read_cpu_ms(find_pid(launcher, name))


def _build_idle(idle: dict[int, Sample]) -> list[Figure]:
    def build(name: str, unit: str, field: str) -> Figure:
        points = [
            Point(size=count, value=getattr(one, field)) for count, one in idle.items()
        ]
        return build_slope(name, unit, points)

    peers_cpu = [
        Point(size=count - 1, value=one.cpu_ms / count) for count, one in idle.items()
    ]
    replies = [
        Point(size=count - 1, value=one.peer_bytes) for count, one in idle.items()
    ]
    return [
        build("platform.reads", "a second for an instance", "reads"),
        build("platform.writes", "a second for an instance", "writes"),
        build("platform.bytes", "bodies' bytes a second", "platform_bytes"),
        build("controller.platform_wire", "bytes a second, one node", "wire_bytes"),
        build("entry.view_wire", "bytes a second, one entry", "view_bytes"),
        build_slope("controller.peer_cpu", "ms a second for a peer", peers_cpu),
        build_slope(
            "controller.peer_reply", "bytes a second for a peer, replies", replies
        ),
    ]


def _measure_changes(
    system: Fleet,
    launcher: Launcher,
    directory: Path,
    relays: dict[str, Relay],
    idle: Sample,
) -> list[Figure]:
    """Approve changes one after the other; what idling costs is taken off."""
    before = _take_sample(system, launcher, relays)
    took: list[float] = []
    for number in range(1, CHANGES + 1):
        began_at = time.monotonic()
        policy = schema.Policy(address_lifetime_s=2, moves_weight=number / 10)
        approve(system, directory, policy=policy)
        took.append(time.monotonic() - began_at)
    after = _take_sample(system, launcher, relays)
    seconds = after.at - before.at

    def take_off(field: str) -> float:
        passed = getattr(after, field) - getattr(before, field)
        return (passed - getattr(idle, field) * seconds) / CHANGES

    nodes = len(system.plan.instances)
    return [
        Figure(name="change.reads", value=take_off("reads"), unit="a change, 6 nodes"),
        Figure(name="change.writes", value=take_off("writes"), unit="a change"),
        Figure(
            name="change.bytes", value=take_off("platform_bytes"), unit="bytes a change"
        ),
        Figure(
            name="change.peer_bytes",
            value=take_off("peer_bytes"),
            unit="bytes a change, from 5 peers to one node",
        ),
        Figure(
            name="change.controller_cpu",
            value=take_off("cpu_ms") / nodes,
            unit="ms a change and node",
        ),
        Figure(
            name="change.entry_cpu", value=take_off("entry_cpu_ms"), unit="ms a change"
        ),
        Figure(
            name="change.propose_to_in_force",
            value=max(took),
            unit="s, slowest, command line included",
        ),
    ]


def _read_exchange_bytes(system: Fleet) -> float:
    reply = fetch("GET", system.addresses["health-instance-1"], "/metrics")
    if reply is None or reply.status != 200:
        raise WaitError("the controller does not tell its metrics")
    for line in reply.data.decode().splitlines():
        if "exchange_bytes_total" in line and not line.startswith("#"):
            return float(line.split()[-1])
    raise WaitError("the controller does not count the bytes of exchanges")


def _count_bytes(relay: Relay) -> int:
    return relay.traffic.sent + relay.traffic.answered
