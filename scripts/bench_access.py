"""Measures the cost of API keys and quotas, per request and per configuration.

By default there are ten thousand keys of a thousand teams, each with a quota. Reported
are the microseconds per request for the lookup of its key and for the quota charge, the
milliseconds to index the keys of a new configuration, in which the keys of one team
differ, and to apply its quotas, and the memory of both tables in MB.
"""

import time
import tracemalloc
from collections.abc import Callable
from typing import Annotated

import cyclopts
import msgspec

from arbutuspulley.admission.freshness import Freshness
from arbutuspulley.admission.keys import build_key_table, find_team
from arbutuspulley.admission.quota import QuotaLedger, QuotaTolerance, build_limits
from arbutuspulley.ports.fleet import Team

TOLERANCE = QuotaTolerance(window_ms=8_000, overage=0.1, extra=11_000)
REQUESTS = 100_000

app = cyclopts.App(help="Measure the cost of API keys and quotas.")


@app.default
def run(
    *,
    teams: Annotated[int, cyclopts.Parameter(help="Number of teams.")] = 1_000,
    keys: Annotated[int, cyclopts.Parameter(help="Keys of each team.")] = 10,
) -> None:
    """Measure the cost of API keys and quotas and print a line for each figure."""
    found = [
        Team(
            name=f"team-{team}",
            keys=tuple(f"key-{team}-{key}-0123456789" for key in range(keys)),
            rate_per_s=10_000,
            burst=10_000,
            counts_tokens=True,
        )
        for team in range(teams)
    ]
    tracemalloc.start()
    table = build_key_table(found)
    ledger = QuotaLedger()
    ledger.set_limits(build_limits(found, TOLERANCE), now=0)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    changed = [*found[1:], msgspec.structs.replace(found[0], keys=("another",))]
    freshness = Freshness()
    freshness.confirm(0, source="store")
    sent = [found[one % teams].keys[one % keys] for one in range(REQUESTS)]

    def check() -> None:
        for key in sent:
            freshness.is_within(4_900, now=1)
            find_team(table, key)

    def charge() -> None:
        for at, key in enumerate(sent):
            ledger.charge(f"team-{len(key) + at % teams}", 1_500, now=at)

    def update() -> None:
        build_key_table(changed, previous=table)
        ledger.set_limits(build_limits(found, TOLERANCE), now=REQUESTS)

    print(f"key       {measure(check) / REQUESTS * 1e6:7.2f} us a request")
    print(f"quota     {measure(charge) / REQUESTS * 1e6:7.2f} us a request")
    print(f"update    {measure(update) * 1e3:7.2f} ms a configuration")
    print(f"memory    {memory_mb:7.2f} MB")


def measure(work: Callable[[], None]) -> float:
    """Return the duration of a call, in s."""
    started_s = time.perf_counter()
    work()
    return time.perf_counter() - started_s


if __name__ == "__main__":
    app()
