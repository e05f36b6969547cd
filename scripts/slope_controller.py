"""The controller's slopes with real processes: load reports and lease renewals."""

import time
from pathlib import Path

import msgspec

from scripts import fleet
from scripts.fleet import Fleet, InstancePlan, Plan, ServerPlan
from scripts.launcher import Launcher
from scripts.slope_figures import Figure, build_slope
from scripts.slope_fit import Point
from scripts.slope_process import (
    Relay,
    open_relays,
    read_cpu_ms,
    read_rss_mib,
)
from scripts.slope_stack import MODELS, approve, find_pid, read_platform, wait_loaded

SERVERS = (2, 6, 12)
REPORT_MS = 200
RENEWALS_MS = (100, 300, 1_000)
"""The last one stays for the measurement of reports."""

SPAN_S = 5.0
"""How long each point is measured."""

SETTLE_S = 1.5
"""Wait after a change, so that its own work is not counted."""

_INSTANCE = InstancePlan(name="semarang-a-1", site="semarang-a")
_CONTROLLER = "controller-semarang-a-1"
_MS = 1_000


def measure_controller(launcher: Launcher, directory: Path) -> list[Figure]:
    """Start a stack with one instance and measure its controller."""
    plan = Plan(
        instances=(_INSTANCE,),
        servers=tuple(
            ServerPlan(name=f"engine-{number}", site="semarang-a")
            for number in range(1, SERVERS[-1] + 1)
        ),
        services=(),
        models=MODELS,
        report_ms=REPORT_MS,
        exchange_ms=1_000,
        lease_ms=6_000,
    )
    system = fleet.build_fleet(plan, launcher)
    names = [server.name for server in plan.servers]
    targets = {name: system.addresses[name] for name in ("platform", *names)}
    with open_relays(targets) as relays:
        fleet.start_standins(system)
        system.routes[_CONTROLLER, "platform"] = relays["platform"].address
        for name in names:
            system.addresses[name] = relays[name].address
        fleet.start_programs(system)
        launcher.wait_ready(_CONTROLLER, "console")
        renewals = _measure_renewals(system, launcher, directory, relays["platform"])
        reports = _measure_reports(system, launcher, directory, relays)
        memory = read_rss_mib(find_pid(launcher, _CONTROLLER))
    return [
        *reports,
        *renewals,
        Figure(name="controller.memory_small", value=memory, unit="MiB"),
    ]


def _measure_reports(
    system: Fleet, launcher: Launcher, directory: Path, relays: dict[str, Relay]
) -> list[Figure]:
    every = system.plan
    """Measure with ever more servers; the first ones are configured already."""
    cpu: list[Point] = []
    wire: list[Point] = []
    for count in SERVERS:
        servers = every.servers[:count]
        system.plan = msgspec.structs.replace(every, servers=servers)
        if count != SERVERS[0]:
            approve(system, directory)
        wait_loaded(system, copies=len(every.models))
        time.sleep(SETTLE_S)
        engines = [relays[server.name] for server in servers]
        before = sum(_count_bytes(relay) for relay in engines)
        cpu_s = _measure_cpu(launcher)
        reports = count * _MS / REPORT_MS
        passed = sum(_count_bytes(relay) for relay in engines) - before
        cpu.append(Point(size=reports, value=cpu_s))
        wire.append(Point(size=reports, value=passed / SPAN_S))
    system.plan = every
    return [
        build_slope("controller.report_cpu", "ms a report", cpu),
        build_slope("controller.report_bytes", "bytes a report", wire),
    ]


def _measure_renewals(
    system: Fleet, launcher: Launcher, directory: Path, relay: Relay
) -> list[Figure]:
    every = system.plan
    few = msgspec.structs.replace(every, servers=every.servers[: SERVERS[0]])
    system.plan = few
    approve(system, directory)
    cpu: list[Point] = []
    wire: list[Point] = []
    for renew_ms in RENEWALS_MS:
        launcher.stop(_CONTROLLER)
        system.plan = msgspec.structs.replace(few, renew_ms=renew_ms)
        fleet.start_controller(system, _INSTANCE)
        launcher.wait_ready(_CONTROLLER)
        wait_loaded(system, copies=len(system.plan.models))
        time.sleep(SETTLE_S)
        before, bytes_before = read_platform(system)["writes"], _count_bytes(relay)
        cpu_s = _measure_cpu(launcher)
        writes = (read_platform(system)["writes"] - before) / SPAN_S
        cpu.append(Point(size=writes, value=cpu_s))
        passed = (_count_bytes(relay) - bytes_before) / SPAN_S
        wire.append(Point(size=writes, value=passed))
    system.plan = every
    return [
        build_slope("controller.renewal_cpu", "ms a renewal", cpu),
        build_slope("controller.renewal_bytes", "bytes a renewal", wire),
    ]


def _measure_cpu(launcher: Launcher) -> float:
    """Return the processor time that the controller uses in a second, in ms."""
    pid = find_pid(launcher, _CONTROLLER)
    before = read_cpu_ms(pid)
    time.sleep(SPAN_S)
    return (read_cpu_ms(pid) - before) / SPAN_S


def _count_bytes(relay: Relay) -> int:
    return relay.traffic.sent + relay.traffic.answered
