"""What the real-process measurements share: a small stack and its configuration."""

import json
from pathlib import Path

import msgspec

from arbutuspulley.configuration import schema
from scripts import fleet
from scripts.fleet import Fleet
from scripts.launcher import Launcher, WaitError, fetch, wait_until

MODELS = {
    "assistant": schema.Model(version="1", size_mib=14_000, kv_floor_mib=1_000),
    "listings": schema.Model(version="3", size_mib=9_000, kv_floor_mib=1_000),
}


def approve(system: Fleet, directory: Path, **changes: object) -> None:
    """Propose and approve the plan's configuration and wait until it is in force."""
    files = [str(path) for path in fleet.write_files(system, directory, **changes)]
    proposal = json.loads(_run_cli(system, "propose", *files, "--json"))["proposal"]
    base = str(proposal.get("base_version", 0))
    _run_cli(system, "approve", proposal["proposal"], "--base", base)
    wait_until(
        lambda: not json.loads(_run_cli(system, "status", "--json")).get("waiting_for"),
        what="the configuration to be in force everywhere",
    )


def wait_loaded(system: Fleet, *, copies: int) -> None:
    """Wait until the servers together report this many loaded items."""
    wait_until(
        lambda: _count_loaded(system) >= copies,
        what=f"{copies} items to be loaded",
        timeout_s=30.0,
    )


def find_pid(launcher: Launcher, name: str) -> int:
    """Return the process id of a process that runs."""
    popen = launcher.processes[name].popen
    assert popen is not None
    return popen.pid


def read_platform(system: Fleet) -> dict[str, int]:
    """Return the platform stand-in's counters."""
    reply = fetch("GET", system.addresses["platform"], "/control/counters")
    if reply is None or reply.status != 200:
        raise WaitError("the platform does not tell its counters")
    counters = msgspec.json.decode(reply.data)
    return {name: value for name, value in counters.items() if isinstance(value, int)}


def _count_loaded(system: Fleet) -> int:
    count = 0
    for server in system.plan.servers:
        reply = fetch("GET", system.addresses[server.name], "/report")
        if reply is not None and reply.status == 200:
            items = json.loads(reply.data)["items"]
            count += sum(item["state"] == "loaded" for item in items)
    return count


def _run_cli(system: Fleet, *arguments: str) -> str:
    ended = fleet.run_cli(system, *arguments)
    if ended.returncode:
        raise WaitError(f"arbutus {arguments[0]}: {ended.stdout}{ended.stderr}")
    return ended.stdout
