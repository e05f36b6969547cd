"""A small system on loopback: its processes, addresses and configuration.

Used by the demo and by the integration tests. Addresses are chosen before any process
starts, so that a test can put a proxy between two processes.
"""

import os
import subprocess
import sys
from pathlib import Path

import msgspec
import yaml

from arbutuspulley.configuration import schema
from arbutuspulley.configuration.lookup import hash_key
from arbutuspulley.data import State, Value
from scripts.launcher import Launcher, find_free_addresses

PEER_KEY = "peer-key"
OPERATORS = {"ayu": "key-of-ayu", "janis": "key-of-janis"}
"""Operators and their keys, for trials on loopback only."""

CLI_TIMEOUT_S = 60.0


class InstancePlan(Value, frozen=True):
    """An instance: a controller and one or more entries."""

    name: str
    site: str
    entries: int = 1


class ServerPlan(Value, frozen=True):
    """A stand-in for a model engine.

    :param flags: additional flags of ``arbutus-standin-engine``.
    """

    name: str
    site: str
    memory_mib: int = 60_000
    checks_orders: bool = True
    slots: int = 16
    flags: tuple[str, ...] = ()


class Plan(Value, frozen=True):
    """Plan of a system to start.

    :param services: names of plain services, which every site can reach.
    :param callers: names of callers; each one's key is ``key-of-<name>``.
    """

    instances: tuple[InstancePlan, ...]
    servers: tuple[ServerPlan, ...]
    services: tuple[str, ...] = ("booking",)
    models: dict[str, schema.Model] = {}
    adapters: dict[str, schema.Adapter] = {}
    callers: tuple[str, ...] = ("desk", "hosts")
    weight_store: schema.WeightStore = schema.WeightStore(loads_per_minute=1_200)
    policy: schema.Policy = schema.Policy(address_lifetime_s=2)
    lease_ms: int = 4_000
    renew_ms: int = 1_000
    report_ms: int = 200
    exchange_ms: int = 300


class Fleet(State):
    """A system that is starting or running.

    :param addresses: addresses by process name; an entry's name is
        ``entry-<instance>``, with a number from the second entry on.
    :param routes: address at which the first process of the key reaches the second
        one, instead of the second one's own address.
    """

    plan: Plan
    launcher: Launcher
    addresses: dict[str, str]
    routes: dict[tuple[str, str], str] = {}


def build_fleet(plan: Plan, launcher: Launcher) -> Fleet:
    """Choose addresses for all processes of a plan."""
    names = ["platform", "console"]
    for instance in plan.instances:
        names += [f"controller-{instance.name}", f"health-{instance.name}"]
        names += list_entry_names(instance)
    names += [server.name for server in plan.servers]
    names += plan.services
    addresses = dict(zip(names, find_free_addresses(len(names)), strict=True))
    return Fleet(plan=plan, launcher=launcher, addresses=addresses)


def list_entry_names(instance: InstancePlan) -> list[str]:
    """Return the names of an instance's entries."""
    numbers = range(2, instance.entries + 1)
    first = f"entry-{instance.name}"
    return [first, *(f"{first}-{number}" for number in numbers)]


def list_all_entries(fleet: Fleet) -> list[str]:
    """Return the names of all entries."""
    return [name for one in fleet.plan.instances for name in list_entry_names(one)]


def start_standins(fleet: Fleet) -> None:
    """Start the stand-ins of platform, engines and services; wait until ready."""
    start = fleet.launcher.start
    start(
        "platform",
        "arbutuspulley.standins.platform",
        *("--listen", fleet.addresses["platform"]),
        address=fleet.addresses["platform"],
    )
    fleet.launcher.wait_ready("platform")
    for server in fleet.plan.servers:
        _start_engine(fleet, server)
    for service in fleet.plan.services:
        start(
            service,
            "arbutuspulley.standins.service",
            *("--name", service, "--listen", fleet.addresses[service]),
            address=fleet.addresses[service],
        )
    names = [server.name for server in fleet.plan.servers]
    fleet.launcher.wait_ready(*names, *fleet.plan.services)


def start_programs(fleet: Fleet) -> None:
    """Start controllers, entries and the console, without waiting for them."""
    for instance in fleet.plan.instances:
        start_controller(fleet, instance)
    for instance in fleet.plan.instances:
        for name in list_entry_names(instance):
            start_entry(fleet, instance, name)
    _start_console(fleet)


def start_controller(fleet: Fleet, instance: InstancePlan) -> None:
    """Start an instance's controller."""
    name = f"controller-{instance.name}"
    health = fleet.addresses[f"health-{instance.name}"]
    others = (one for one in fleet.plan.instances if one.name != instance.name)
    peers = [find_route(fleet, name, f"controller-{one.name}") for one in others]
    plan = fleet.plan
    fleet.launcher.start(
        name,
        "arbutuspulley.programs.controller",
        *("--instance", instance.name),
        *("--site", instance.site),
        *("--listen", fleet.addresses[name]),
        *("--http", health),
        *("--platform", find_route(fleet, name, "platform")),
        *(("--peers", ",".join(peers)) if peers else ()),
        *("--peer-key", PEER_KEY),
        *("--lease-ms", str(plan.lease_ms)),
        *("--renew-ms", str(plan.renew_ms)),
        *("--report-ms", str(plan.report_ms)),
        *("--exchange-ms", str(plan.exchange_ms)),
        address=health,
        ready_url="/healthz",
    )


def start_entry(fleet: Fleet, instance: InstancePlan, name: str) -> None:
    """Start an entry."""
    fleet.launcher.start(
        name,
        "arbutuspulley.programs.entry",
        *("--instance", instance.name),
        *("--site", instance.site),
        *("--listen", fleet.addresses[name]),
        *("--controller", find_route(fleet, name, f"controller-{instance.name}")),
        *("--peer-key", PEER_KEY),
        address=fleet.addresses[name],
        ready_url="/readyz",
    )


def find_route(fleet: Fleet, source: str, target: str) -> str:
    """Return the address at which one process reaches another."""
    return fleet.routes.get((source, target), fleet.addresses[target])


def write_files(fleet: Fleet, directory: Path, **changes: object) -> list[Path]:
    """Write base file and overlays of the plan.

    :param changes: fields of the base file to override.
    :return: the base file, then one overlay for each site.
    """
    plan = fleet.plan
    base = schema.Base(
        models=plan.models,
        adapters=plan.adapters,
        callers={
            name: schema.Caller(key_sha256=hash_key(f"key-of-{name}"))
            for name in plan.callers
        },
        weight_store=plan.weight_store,
        policy=plan.policy,
    )
    base = msgspec.structs.replace(base, **changes)
    sites = sorted({instance.site for instance in plan.instances})
    files = [_write_yaml(directory / "base.yaml", base)]
    for site in sites:
        overlay = _build_overlay(fleet, site)
        files.append(_write_yaml(directory / f"{site}.yaml", overlay))
    return files


def run_cli(
    fleet: Fleet, *arguments: str, operator: str = "ayu"
) -> subprocess.CompletedProcess[str]:
    """Run the operators' command line against the console."""
    console = find_route(fleet, "cli", "console")
    return subprocess.run(
        [sys.executable, "-m", "arbutuspulley.programs.cli", *arguments],
        env={
            **os.environ,
            "ARBUTUS_CONSOLE": f"http://{console}",
            "ARBUTUS_KEY": OPERATORS[operator],
        },
        capture_output=True,
        text=True,
        timeout=CLI_TIMEOUT_S,
    )


def _start_engine(fleet: Fleet, server: ServerPlan) -> None:
    fleet.launcher.start(
        server.name,
        "arbutuspulley.standins.engine",
        *("--name", server.name),
        *("--listen", fleet.addresses[server.name]),
        *("--memory-mib", str(server.memory_mib)),
        *("--platform", find_route(fleet, server.name, "platform")),
        *(("--checks-orders",) if server.checks_orders else ()),
        *server.flags,
        address=fleet.addresses[server.name],
    )


def _start_console(fleet: Fleet) -> None:
    instance = fleet.plan.instances[0]
    operators = [f"{name}={hash_key(key)}" for name, key in OPERATORS.items()]
    fleet.launcher.start(
        "console",
        "arbutuspulley.programs.console",
        *("--instance", instance.name),
        *("--listen", fleet.addresses["console"]),
        *("--controller", fleet.addresses[f"controller-{instance.name}"]),
        *("--platform", find_route(fleet, "console", "platform")),
        *("--peer-key", PEER_KEY),
        *("--operators", ",".join(operators)),
        address=fleet.addresses["console"],
        ready_url="/healthz",
    )


def _build_overlay(fleet: Fleet, site: str) -> schema.Overlay:
    servers = {
        server.name: schema.Server(
            address=fleet.addresses[server.name],
            memory_mib=server.memory_mib,
            checks_orders=server.checks_orders,
            slots=server.slots,
        )
        for server in fleet.plan.servers
        if server.site == site
    }
    services = {
        name: schema.Service(addresses=(fleet.addresses[name],))
        for name in fleet.plan.services
    }
    return schema.Overlay(site=site, servers=servers, services=services)


def _write_yaml(path: Path, document: msgspec.Struct) -> Path:
    path.write_text(yaml.safe_dump(msgspec.to_builtins(document), sort_keys=False))
    return path
