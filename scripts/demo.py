"""``make demo``: a complete system of real processes, with a drain and a kill.

The last line of output is a summary and the exit status is 0, or the failure is
printed and the exit status is 1.
"""

import json
import shutil
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

from arbutuspulley.configuration import schema
from scripts import demo_load, fleet
from scripts.client import Ending
from scripts.demo_load import RunCounts, Tally
from scripts.fleet import Fleet, InstancePlan, Plan, ServerPlan
from scripts.launcher import Launcher, WaitError, fetch, open_launcher, wait_until

REQUESTS = 200

DRAIN_AT = 60
"""Number of the request at which an entry is stopped with SIGTERM."""

KILL_AT = 110
"""Number of the request at which an engine is killed with SIGKILL."""

DRAINED_ENTRY = "entry-semarang-b-1"
KILLED_ENGINE = "engine-2"
LOAD_TIMEOUT_S = 30.0

PLAN = Plan(
    instances=(
        InstancePlan(name="semarang-a-1", site="semarang-a"),
        InstancePlan(name="semarang-b-1", site="semarang-b"),
    ),
    servers=(
        ServerPlan(name="engine-1", site="semarang-a", checks_orders=True),
        ServerPlan(name="engine-2", site="semarang-b", checks_orders=False),
    ),
    models={
        "assistant": schema.Model(version="1", size_mib=14_000, kv_floor_mib=1_000),
        "listings": schema.Model(version="3", size_mib=9_000, kv_floor_mib=1_000),
    },
    adapters={
        "assistant-jawa": schema.Adapter(model="assistant", version="2", size_mib=200),
        "listings-family": schema.Adapter(model="listings", version="1", size_mib=100),
    },
)


class DemoError(Exception):
    """A step of the demo failed; the message names the step."""


def main() -> int:
    """Run the demo and return its exit status."""
    began_at = time.monotonic()
    directory = Path(tempfile.mkdtemp(prefix="arbutus-demo-"))
    try:
        with open_launcher(directory) as launcher:
            tally = _run(launcher, directory)
    except (DemoError, WaitError) as error:
        print(f"demo: failed: {error} (logs: {directory})")
        return 1
    print(f"demo: took {time.monotonic() - began_at:.0f} s")
    for fault in tally.faults:
        print(f"demo: {fault} (logs: {directory})")
    print(_summarise(tally))
    if sum(tally.endings.values()) != REQUESTS or tally.faults:
        return 1
    shutil.rmtree(directory)
    return 0


def _run(launcher: Launcher, directory: Path) -> Tally:
    system = fleet.build_fleet(PLAN, launcher)
    _print_progress("starting stand-ins, controllers, entries and the console")
    fleet.start_standins(system)
    fleet.start_programs(system)
    controllers = [f"controller-{one.name}" for one in PLAN.instances]
    launcher.wait_ready(*controllers, "console")
    _approve(system, directory)
    launcher.wait_ready(*fleet.list_all_entries(system))
    items = _list_items()
    wait_until(
        lambda: _list_loaded(system) >= {f"{n}@{v}" for n, v in items.items()},
        what="all models and adapters to be loaded",
        timeout_s=LOAD_TIMEOUT_S,
    )
    _print_progress(f"sending {REQUESTS} requests through both entries")
    requests = demo_load.build_requests(items, count=REQUESTS, key="key-of-desk")
    seeds = tuple(system.addresses[name] for name in fleet.list_all_entries(system))
    with ThreadPoolExecutor() as pool:
        steps: list[Future[None]] = []

        def interfere(number: int) -> None:
            step = {DRAIN_AT: _drain, KILL_AT: _kill}.get(number)
            if step is not None:
                steps.append(pool.submit(step, system))

        outcomes = demo_load.send_all(requests, seeds, on_start=interfere)
        for step in steps:
            step.result()
    tally = demo_load.judge(requests, outcomes, _read_counts(system), items)
    _check_entries(tally, seeds)
    _stop(launcher)
    return tally


def _approve(system: Fleet, directory: Path) -> None:
    _print_progress("proposing and approving the configuration")
    files = [str(path) for path in fleet.write_files(system, directory)]
    proposal = json.loads(_run_cli(system, "propose", *files, "--json"))["proposal"]
    base = str(proposal.get("base_version", 0))
    print(_run_cli(system, "approve", proposal["proposal"], "--base", base), end="")
    wait_until(
        lambda: not json.loads(_run_cli(system, "status", "--json")).get("waiting_for"),
        what="the configuration to be in force everywhere",
    )
    print(_run_cli(system, "status"), end="")


def _run_cli(system: Fleet, *arguments: str) -> str:
    ended = fleet.run_cli(system, *arguments)
    if ended.returncode:
        raise DemoError(f"arbutus {arguments[0]}: {ended.stdout}{ended.stderr}")
    return ended.stdout


def _list_items() -> dict[str, str]:
    models = {name: model.version for name, model in PLAN.models.items()}
    adapters = {name: adapter.version for name, adapter in PLAN.adapters.items()}
    return {**models, **adapters}


def _list_loaded(system: Fleet) -> set[str]:
    loaded: set[str] = set()
    for server in PLAN.servers:
        reply = fetch("GET", system.addresses[server.name], "/report")
        if reply is None or reply.status != 200:
            continue
        items = json.loads(reply.data)["items"]
        loaded |= {item["item"] for item in items if item["state"] == "loaded"}
    return loaded


def _drain(system: Fleet) -> None:
    _print_progress(f"draining {DRAINED_ENTRY}")
    status = system.launcher.stop(DRAINED_ENTRY)[DRAINED_ENTRY]
    _print_progress(f"{DRAINED_ENTRY} has ended with exit status {status}")
    if status:
        raise DemoError(f"{DRAINED_ENTRY} ended with {status}")


def _kill(system: Fleet) -> None:
    _print_progress(f"killing {KILLED_ENGINE}")
    system.launcher.kill(KILLED_ENGINE)


def _read_counts(system: Fleet) -> RunCounts:
    names = [server.name for server in PLAN.servers]
    logs = [system.launcher.read_log(name) for name in names]
    bookings = _read_counters(system, "booking")["by_key"]
    return RunCounts(
        prompts=demo_load.count_admissions(logs), bookings=Counter(bookings)
    )


def _read_counters(system: Fleet, name: str) -> dict[str, dict[str, int]]:
    reply = fetch("GET", system.addresses[name], "/control/counters")
    if reply is None or reply.status != 200:
        raise DemoError(f"{name}: counters not available")
    return dict(json.loads(reply.data))


def _check_entries(tally: Tally, seeds: tuple[str, ...]) -> None:
    unused = [seed for seed in seeds if not tally.entries[seed]]
    if unused:
        raise DemoError(f"no request went through {', '.join(unused)}")


def _stop(launcher: Launcher) -> None:
    _print_progress("stopping everything")
    statuses = launcher.stop_all()
    wrong = [f"{name} {status}" for name, status in statuses.items() if status]
    if wrong:
        raise DemoError(f"exit statuses: {', '.join(wrong)}")


def _summarise(tally: Tally) -> str:
    ended = tally.endings
    return (
        f"demo: {sum(ended.values())} asked, {ended[Ending.WHOLE]} whole, "
        f"{ended[Ending.REFUSED]} refused as not run, {ended[Ending.UNKNOWN]} unknown, "
        f"{tally.lost} lost, {tally.doubled} doubled"
    )


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
