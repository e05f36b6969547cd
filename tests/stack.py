"""A system of real processes on free loopback ports, for integration tests.

Uses the launcher of the demo. Fault-injecting proxies can be put between two processes.
The helpers wait for conditions, never for a fixed time.
"""

import json
from contextlib import ExitStack, contextmanager
from pathlib import Path

from arbutuspulley.configuration import schema
from arbutuspulley.data import State
from arbutuspulley.standins import answer
from scripts import fleet
from scripts.client import AddressBook, ClientRequest, send, send_once
from scripts.demo_load import count_admissions
from scripts.fleet import Fleet, InstancePlan, Plan, ServerPlan
from scripts.launcher import fetch, open_launcher, wait_until
from tests.proxy import FaultProxy

KEY = "key-of-desk"
MODEL = schema.Model(version="1", size_mib=10_000, kv_floor_mib=500)
SITES = ("hall-a", "hall-b", "hall-c")


class Stack(State):
    """A running system.

    :param proxies: proxies by the names of the two processes they connect.
    :param version: version of the configuration accepted last.
    :param item_version: version of all models in that configuration.
    """

    fleet: Fleet
    directory: Path
    proxies: dict[tuple[str, str], FaultProxy]
    version: int = 0
    item_version: str = "1"

    @property
    def launcher(self):
        return self.fleet.launcher

    @property
    def addresses(self):
        return self.fleet.addresses


def build_plan(*, instances=2, engines=2, memory_mib=60_000, **changes):
    """Build a plan with one instance per site; odd-numbered engines check orders."""
    return Plan(
        instances=tuple(
            InstancePlan(name=f"{site}-1", site=site) for site in SITES[:instances]
        ),
        servers=tuple(
            ServerPlan(
                name=f"engine-{number}",
                site=SITES[number % instances],
                memory_mib=memory_mib,
                checks_orders=number % 2 == 1,
            )
            for number in range(1, engines + 1)
        ),
        **{"models": {"tracker": MODEL}, **changes},
    )


@contextmanager
def open_stack(plan, directory, *, proxied=()):
    """Start a system, activate its configuration and wait for all models to load."""
    with ExitStack() as opened:
        launcher = opened.enter_context(open_launcher(directory))
        system = fleet.build_fleet(plan, launcher)
        proxies = {}
        for source, target in proxied:
            proxy = opened.enter_context(FaultProxy(target=system.addresses[target]))
            proxies[source, target] = proxy
            system.routes[source, target] = proxy.address
        stack = Stack(fleet=system, directory=directory, proxies=proxies)
        fleet.start_standins(system)
        fleet.start_programs(system)
        launcher.wait_ready("console", *(f"controller-{n}" for n in list_names(stack)))
        approve(stack, propose(stack))
        launcher.wait_ready(*fleet.list_all_entries(system))
        wait_loaded(stack)
        yield stack


def list_names(stack):
    """Return the names of the instances."""
    return [one.name for one in stack.fleet.plan.instances]


def get_entry(stack, number):
    """Return the address of the first entry of an instance; instances count from 0."""
    return stack.addresses[f"entry-{list_names(stack)[number]}"]


def propose(stack, *, operator="ayu", **changes):
    """Propose the plan's files, with some fields of the base file overridden."""
    files = fleet.write_files(stack.fleet, stack.directory, **changes)
    ended = fleet.run_cli(
        stack.fleet, "propose", *map(str, files), "--json", operator=operator
    )
    assert ended.returncode == 0, ended.stderr
    return json.loads(ended.stdout)["proposal"]


def run_approve(stack, proposal, *, operator="ayu"):
    """Run ``arbutus approve`` and return the completed process."""
    base = str(proposal.get("base_version", 0))
    arguments = ("approve", proposal["proposal"], "--base", base, "--json")
    return fleet.run_cli(stack.fleet, *arguments, operator=operator)


def approve(stack, proposal):
    """Approve a proposal and wait until it is active on all instances and entries."""
    ended = run_approve(stack, proposal)
    assert ended.returncode == 0, ended.stderr
    stack.version = json.loads(ended.stdout)["version"]
    wait_active(stack, stack.version)


def read_status(stack):
    """Return the decoded output of ``arbutus status``."""
    ended = fleet.run_cli(stack.fleet, "status", "--json")
    return json.loads(ended.stdout) if ended.returncode == 0 else {}


def wait_active(stack, version):
    """Wait until a version is active on all instances and entries."""

    def is_active():
        status = read_status(stack)
        instances = status.get("instances", ())
        versions = [one["configuration_version"] for one in instances]
        for one in instances:
            versions += one.get("entry_versions", {}).values()
        return len(instances) == len(list_names(stack)) and set(versions) == {version}

    wait_until(is_active, what=f"version {version} to be in force", timeout_s=30)


def wait_loaded(stack, *, models=()):
    """Wait until every entry serves requests to the models, by default all models."""
    for entry in fleet.list_all_entries(stack.fleet):
        for model in models or stack.fleet.plan.models:
            probe = build_inference("probe", model=model, tokens=1)
            wait_until(
                lambda entry=entry, probe=probe: (
                    send_once(stack.addresses[entry], probe).status == 200
                ),
                what=f"{model} to answer at {entry}",
                timeout_s=40,
            )


def build_inference(
    name, *, model="tracker", tokens=8, streamed=False, unrepeatable=False
):
    """Build an inference request whose prompt contains its name."""
    body = {
        "model": model,
        "prompt": f"Where is runner {name}?",
        "max_tokens": tokens,
        "stream": streamed,
    }
    return ClientRequest(
        name=name,
        path="/v1/completions",
        body=json.dumps(body).encode(),
        key=KEY,
        model=model,
        streamed=streamed,
        unrepeatable=unrepeatable,
        timeout_s=30,
    )


def get_prompt_digest(request):
    """Return the digest under which engine stand-ins count the prompt."""
    return answer.read_prompt(path=request.path, body=request.body).digest


def count_runs(stack, request):
    """Return how often stand-ins began to run a request, killed ones included."""
    if not request.model:
        return read_counters(stack, "booking")["by_key"].get(request.name, 0)
    logs = [stack.launcher.read_log(name) for name in list_engines(stack)]
    return count_admissions(logs)[get_prompt_digest(request)]


def build_booking(name):
    """Build an unrepeatable request to the plain service."""
    body = json.dumps({"guest": name}).encode()
    path = "/services/booking/bookings"
    return ClientRequest(name=name, path=path, body=body, key=KEY, unrepeatable=True)


def send_with_retries(stack, request, *, first=0):
    """Send a request, with retries, as a caller that knows all entries."""
    seeds = [stack.addresses[name] for name in fleet.list_all_entries(stack.fleet)]
    return send(AddressBook(seeds=(*seeds[first:], *seeds[:first])), request)


def control(stack, name, **faults):
    """Set faults of a stand-in."""
    reply = fetch("POST", stack.addresses[name], "/control", json=faults)
    assert reply is not None and reply.status == 200, reply and reply.data


def read_counters(stack, name):
    """Return the counters of a stand-in."""
    return json.loads(fetch("GET", stack.addresses[name], "/control/counters").data)


def read_report(stack, name):
    """Return an engine's report, or ``None`` if it does not respond."""
    reply = fetch("GET", stack.addresses[name], "/report")
    return json.loads(reply.data) if reply is not None else None


def list_engines(stack):
    """Return the names of the engines."""
    return [server.name for server in stack.fleet.plan.servers]


def list_holders(stack, item):
    """Return the names of the engines that have an item loaded."""
    return [
        name
        for name in list_engines(stack)
        for one in (read_report(stack, name) or {}).get("items", ())
        if one["item"] == item and one["state"] == "loaded"
    ]


def find_owner(stack, server):
    """Return the instance that owns a server, as the console shows it."""
    for one in read_status(stack).get("instances", ()):
        if server in one.get("owned", ()):
            return one["instance"]
    return None


def has_logged(stack, instance, event):
    """Return whether an instance's controller has logged an event."""
    log = stack.launcher.read_log(f"controller-{instance}")
    return f" {event.value} {event.name.lower()}" in log


def check_memory(stack, engines=()):
    """Check that the memory of no engine was ever overcommitted."""
    for name in engines or list_engines(stack):
        counters = read_counters(stack, name)
        assert counters["overcommitted"] == 0, name
        assert counters["worst_memory_mib"] <= counters["memory_total_mib"], name
