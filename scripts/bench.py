"""Compares policies under load, with real processes and stand-ins on loopback.

The last line of output is JSON; a report page and a plot are written too. The
assumptions are in :mod:`arbutuspulley.bench.workloads`, the figures are explained in
:mod:`arbutuspulley.bench.report`.
"""

import re
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import cyclopts
import msgspec

from arbutuspulley.bench import figures as measures
from arbutuspulley.bench import policies, workloads
from arbutuspulley.bench.figures import Run, divide, measure_attainment, summarise
from arbutuspulley.bench.load import offer_load
from arbutuspulley.bench.report import Figures, write_report
from arbutuspulley.bench.workloads import Workload
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration import schema
from arbutuspulley.data import State
from scripts import fleet
from scripts.fleet import Fleet, InstancePlan, Plan, ServerPlan
from scripts.launcher import WaitError, fetch, open_launcher, wait_until

SYSTEM = "arbutuspulley"
BASELINE = "round-robin"
POLICIES = (SYSTEM, BASELINE)
PARTS = ("load", "flood", "failing")
FAILING = "engine-9"
"""Engine that answers every request with an error; it is a tenth of all engines."""

LOAD_TIMEOUT_S = 60.0
SETTLE_S = 1.5
"""Pause between two runs in s, longer than the maximum age of a report."""

_SITES = ("hall-a", "hall-b", "hall-c")
_ATTEMPTS = re.compile(
    r"^arbutus_entry_attempts_total\{.*\} ([0-9.e+]+)$", re.MULTILINE
)

app = cyclopts.App(name="bench", help="Compare policies under load.")


class Bench(State):
    """State of a bench.

    :param chosen: policies to compare.
    :param parts: parts to run.
    :param seconds: duration of the arrivals in each run, in s.
    :param overcommitted: loads that exceeded an engine's memory.
    """

    system: Fleet
    workload: Workload
    chosen: tuple[str, ...]
    parts: tuple[str, ...]
    seed: int
    seconds: int
    runs: dict[str, Run] = {}
    overcommitted: int = 0


@app.default
def run(
    *,
    policy: tuple[str, ...] = POLICIES,
    part: tuple[str, ...] = PARTS,
    seed: int = 1,
    seconds: int = 13,
    report: Path = Path("bench-report"),
) -> None:
    """Run the bench.

    :param policy: policies to compare, by name.
    :param part: parts to run: ``load`` (0.9, 1 and 2 times the capacity), ``flood``
        (a caller with low load, alone and next to a caller that floods), ``failing``
        (a tenth of the engines fails).
    :param seed: seed of arrivals, lengths and popularity.
    :param seconds: duration of the arrivals in each run; the first 4 s are warm-up.
    :param report: directory for the report page and its plot.
    """
    known = {*POLICIES, *PARTS}
    if not {*policy, *part} <= known or seconds <= measures.WARM_UP_MS // SECOND_MS:
        print("bench: wrong policy, part or seconds")
        sys.exit(2)
    runs: dict[str, Run] = {}
    overcommitted = 0
    for workload, perform, parts in (
        (workloads.build_lestari(), _run_lestari, PARTS[:1]),
        (workloads.build_kurzeme(), _run_kurzeme, PARTS[1:]),
    ):
        if not set(part) & set(parts):
            continue
        directory = Path(tempfile.mkdtemp(prefix="arbutus-bench-"))
        try:
            with open_launcher(directory) as launcher:
                system = fleet.build_fleet(_build_plan(workload), launcher)
                _start(system, directory)
                bench = Bench(
                    system=system,
                    workload=workload,
                    chosen=policy,
                    parts=part,
                    seed=seed,
                    seconds=seconds,
                )
                perform(bench)
                _read_counters(bench)
        except WaitError as error:
            print(f"bench: failed: {error}")
            sys.exit(1)
        runs |= bench.runs
        overcommitted += bench.overcommitted
    figures = _compute_figures(runs, seed, overcommitted)
    report.mkdir(parents=True, exist_ok=True)
    page = write_report(report, list(runs.values()), figures)
    print(f"bench: {page}")
    print(msgspec.json.encode(figures).decode())


def _run_lestari(bench: Bench) -> None:
    capacity = workloads.compute_capacity()
    for load in (0.9, 1.0, 2.0):
        rate = load * capacity / len(bench.workload.callers)
        rates = dict.fromkeys(bench.workload.callers, rate)
        for policy in bench.chosen:
            _run(bench, f"lestari {load}", policy, rates)


def _run_kurzeme(bench: Bench) -> None:
    capacity = workloads.compute_capacity()
    quiet, flooding = bench.workload.callers
    if SYSTEM in bench.chosen and "flood" in bench.parts:
        _run(bench, "quiet alone", SYSTEM, {quiet: 0.25 * capacity})
        rates = {quiet: 0.25 * capacity, flooding: 5 * capacity}
        _run(bench, "quiet beside a flood", SYSTEM, rates)
    if "failing" not in bench.parts:
        return
    rates = dict.fromkeys(bench.workload.callers, 0.3 * capacity)
    address = bench.system.addresses[FAILING]
    fetch("POST", address, "/control", body=b'{"fail_requests": 1000000000}')
    for policy in bench.chosen:
        _run(bench, "a tenth failing", policy, rates)
    fetch("POST", address, "/control", body=b'{"fail_requests": 0}')


def _run(bench: Bench, name: str, policy: str, rates: dict[str, float]) -> None:
    full = f"{name}, {policy}, seed {bench.seed}"
    arrivals = workloads.build_arrivals(
        bench.workload,
        rates=rates,
        duration_ms=bench.seconds * SECOND_MS,
        seed=bench.seed,
    )
    counts = policies.Counts()
    before = _count_attempts(bench.system)
    if policy == SYSTEM:
        names = fleet.list_all_entries(bench.system)
        entries = [bench.system.addresses[name] for name in names]
        attempt = policies.build_entry_policy(entries, run=full, seed=bench.seed)
    else:
        engines = [bench.system.addresses[one.name] for one in _list_servers()]
        attempt = policies.build_round_robin(engines, run=full, counts=counts)
    asked = offer_load(arrivals, attempt)
    time.sleep(SETTLE_S)
    attempts = counts.engine_attempts or _count_attempts(bench.system) - before
    result = Run(
        name=name, policy=policy, requests=tuple(asked), engine_attempts=attempts
    )
    bench.runs[f"{name}/{policy}"] = result
    summary = msgspec.json.encode(summarise(result)).decode()
    codes = Counter(try_.code for one in asked for try_ in one.attempts if try_.code)
    print(f"bench: {summary} {dict(codes)}", flush=True)


def _compute_figures(runs: dict[str, Run], seed: int, overcommitted: int) -> Figures:
    def attain(name: str, policy: str = SYSTEM) -> float | None:
        result = runs.get(f"{name}/{policy}")
        return measure_attainment(result) if result else None

    def grow(policy: str, *, from_first: bool) -> float | None:
        met = [
            measures.count_goodput(result, from_first=from_first)
            for load in ("1.0", "2.0")
            if (result := runs.get(f"lestari {load}/{policy}"))
        ]
        return divide(met[1], met[0]) if len(met) == 2 else None

    def share(*, from_first: bool) -> float | None:
        quiet = workloads.build_kurzeme().callers[0]
        parts = [
            measure_attainment(result, caller=quiet, from_first=from_first)
            for name in ("quiet beside a flood", "quiet alone")
            if (result := runs.get(f"{name}/{SYSTEM}"))
        ]
        return divide(*parts) if len(parts) == 2 else None

    def amplify(policy: str) -> float | None:
        result = runs.get(f"a tenth failing/{policy}")
        return summarise(result).amplification if result else None

    own_runs = [
        summarise(result) for result in runs.values() if result.policy == SYSTEM
    ]
    own, plain = attain("lestari 0.9"), attain("lestari 0.9", BASELINE)
    return Figures(
        seed=seed,
        attainment=round(own, 3) if own is not None else None,
        attainment_baseline=round(plain, 3) if plain is not None else None,
        attainment_vs_baseline=divide(own, plain) if own and plain else None,
        goodput_2x_over_1x=grow(SYSTEM, from_first=False),
        goodput_2x_over_1x_first=grow(SYSTEM, from_first=True),
        goodput_2x_over_1x_baseline=grow(BASELINE, from_first=False),
        quiet_caller_share=share(from_first=False),
        quiet_caller_share_first=share(from_first=True),
        retry_amplification=amplify(SYSTEM),
        retry_amplification_baseline=amplify(BASELINE),
        lost=sum(one.lost for one in own_runs),
        doubled=sum(one.doubled for one in own_runs),
        overcommitted=overcommitted,
    )


def _list_servers() -> tuple[ServerPlan, ...]:
    flags = (
        *("--token-ms", str(workloads.TOKEN_MS)),
        *("--first-token-ms", str(workloads.FIRST_TOKEN_MS)),
        *("--max-batch", str(2 * workloads.SLOTS)),
        *("--max-waiting", str(4 * workloads.SLOTS)),
    )
    return tuple(
        ServerPlan(
            name=f"engine-{number}",
            site=_SITES[number % len(_SITES)],
            memory_mib=workloads.ENGINE_MEMORY_MIB,
            checks_orders=number % 2 == 0,
            slots=workloads.SLOTS,
            flags=flags,
        )
        for number in range(workloads.ENGINES)
    )


def _build_plan(workload: Workload) -> Plan:
    return Plan(
        instances=tuple(InstancePlan(name=f"{site}-1", site=site) for site in _SITES),
        servers=_list_servers(),
        services=(),
        models={
            model.name: schema.Model(
                version="1", size_mib=model.size_mib, copies=model.copies
            )
            for model in workload.models
        },
        adapters={
            model.adapter: schema.Adapter(
                model=model.name, version="1", size_mib=model.size_mib // 20
            )
            for model in workload.models
            if model.adapter
        },
        callers=workload.callers,
        weight_store=schema.WeightStore(loads_per_minute=6_000, loads_at_once=8),
        policy=schema.Policy(address_lifetime_s=10),
        report_ms=500,
        exchange_ms=1_000,
    )


def _start(system: Fleet, directory: Path) -> None:
    fleet.start_standins(system)
    control = {"loads_per_minute": 6_000, "loads_at_once": 8, "load_ms_per_gib": 2}
    body = msgspec.json.encode(control)
    fetch("POST", system.addresses["platform"], "/control", body=body)
    fleet.start_programs(system)
    controllers = [f"controller-{one.name}" for one in system.plan.instances]
    system.launcher.wait_ready(*controllers, "console")
    files = [str(path) for path in fleet.write_files(system, directory)]
    shown = fleet.run_cli(system, "propose", *files, "--json")
    proposal = msgspec.json.decode(shown.stdout)["proposal"]
    base = str(proposal.get("base_version", 0))
    fleet.run_cli(system, "approve", proposal["proposal"], "--base", base)
    system.launcher.wait_ready(*fleet.list_all_entries(system))
    wanted = sum(model.copies for model in system.plan.models.values())
    models = {f"{name}@1" for name in system.plan.models}
    adapters = {f"{name}@1" for name in system.plan.adapters}
    wait_until(
        lambda: _is_loaded(system, models, adapters, wanted),
        what="all copies to be loaded",
        timeout_s=LOAD_TIMEOUT_S,
    )
    time.sleep(SETTLE_S)


def _is_loaded(
    system: Fleet, models: set[str], adapters: set[str], wanted: int
) -> bool:
    loaded: Counter[str] = Counter()
    for server in system.plan.servers:
        reply = fetch("GET", system.addresses[server.name], "/report")
        if reply is None or reply.status != 200:
            return False
        items = msgspec.json.decode(reply.data)["items"]
        loaded.update(one["item"] for one in items if one["state"] == "loaded")
    copies = sum(loaded[item] for item in models)
    return copies >= wanted and all(loaded[item] for item in adapters)


def _count_attempts(system: Fleet) -> int:
    """Return the number of attempts that all entries have sent to engines so far."""
    total = 0.0
    for name in fleet.list_all_entries(system):
        reply = fetch("GET", system.addresses[name], "/metrics")
        if reply is not None:
            total += sum(map(float, _ATTEMPTS.findall(reply.data.decode())))
    return round(total)


def _read_counters(bench: Bench) -> None:
    """Sum up the loads that exceeded an engine's memory, as counted by stand-ins."""
    for server in bench.system.plan.servers:
        reply = fetch("GET", bench.system.addresses[server.name], "/control/counters")
        if reply is None:
            raise WaitError(f"{server.name}: counters not available")
        counters = msgspec.json.decode(reply.data)
        bench.overcommitted += counters["overcommitted"]


if __name__ == "__main__":
    app()
