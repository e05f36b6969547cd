"""The target's sums for one node, worked out from measured slopes.

Counts are those of the letter's target; docs/CAPACITY.md explains each line.
"""

from collections.abc import Iterable, Mapping

from arbutuspulley.data import Value
from scripts.slope_figures import Figure
from scripts.slope_fit import Term, sum_terms

NODES = 360
CELL_NODES = 40
CELL_SERVERS = 580
SITES = 9
MODELS = 1_400
REQUESTS_PER_S = 3_800
TOKENS_PER_S = 1_600_000
CHANGES_PER_S = 3_700 / 86_400

ENTRIES = 3
"""Entry processes of a node."""

PEERS = CELL_NODES - 1
OWNED = CELL_SERVERS / CELL_NODES
REPORTS_PER_S = 2 * OWNED
PUBLISHED_PER_S = 5
PLANS_PER_S = 0.5

MEASURED = (
    "entry.chunk_cpu",
    "cell.plan_steady_cpu",
    "controller.report_cpu",
    "platform.reads",
    "fleet.change_cpu",
)
"""One figure of each part that the sums need."""


class Sum(Value, frozen=True):
    """What something comes to in a second, against its budget.

    :param budget: ``None`` if there is none.
    """

    name: str
    terms: tuple[Term, ...]
    budget: float | None = None


def build_sums(figures: Iterable[Figure]) -> tuple[Sum, ...]:
    """Return the sums; empty if not all parts were measured."""
    known = {figure.name: figure for figure in figures}
    if any(name not in known for name in MEASURED):
        return ()
    return (
        Sum(name="entry, ms", terms=_list_entry(known)),
        Sum(name="controller, ms", terms=_list_controller(known), budget=10),
        Sum(name="controller, bytes", terms=_list_bytes(known), budget=4_000),
        Sum(name="table, reads", terms=_list_all(known, "reads"), budget=2_000),
        Sum(name="table, renewals", terms=_list_all(known, "writes"), budget=500),
    )


def show_sums(sums: Iterable[Sum]) -> str:
    """Return all sums as a table."""
    lines = [f"{'a second at the target':40}{'slope':>12}{'count':>12}{'result':>12}"]
    for one in sums:
        for term in one.terms:
            result = sum_terms([term])
            lines.append(
                f"  {term.name:38}{term.slope:>12.4g}{term.count:>12.4g}{result:>12.4g}"
            )
        budget = "" if one.budget is None else f"  budget {one.budget:g}"
        lines.append(f"{one.name:64}{sum_terms(one.terms):>12.4g}{budget}")
    return "\n".join(lines)


def _extend(figure: Figure, size: float) -> float:
    """Return what the line of a figure gives at a size."""
    return (figure.base or 0.0) + figure.value * size


def _list_entry(known: Mapping[str, Figure]) -> tuple[Term, ...]:
    view = _extend(known["cell.view_decode_cpu"], CELL_SERVERS)
    chunk, request = known["entry.chunk_cpu"], known["entry.request_cpu"]
    idle = known["entry.idle_cpu"]
    return (
        Term(name="token chunks", slope=chunk.value, count=TOKENS_PER_S / NODES),
        Term(name="requests", slope=request.value, count=REQUESTS_PER_S / NODES),
        Term(name="idle loops", slope=idle.value, count=ENTRIES),
        Term(name="views", slope=view, count=PUBLISHED_PER_S * ENTRIES),
    )


def _list_controller(known: Mapping[str, Figure]) -> tuple[Term, ...]:
    def extend(name: str) -> float:
        return _extend(known[f"cell.{name}_cpu"], CELL_SERVERS)

    peer, report = known["controller.peer_cpu"], known["controller.report_cpu"]
    change = _extend(known["fleet.change_cpu"], SITES * MODELS)
    sent = PUBLISHED_PER_S * ENTRIES
    return (
        Term(name="loops, with no peer", slope=peer.base or 0.0, count=1),
        Term(name="load reports", slope=report.value, count=REPORTS_PER_S),
        Term(name="exchanges", slope=peer.value, count=PEERS),
        Term(name="plans", slope=extend("plan_steady"), count=PLANS_PER_S),
        Term(name="looks at placement", slope=extend("place"), count=PUBLISHED_PER_S),
        Term(name="publishing", slope=extend("publish"), count=PUBLISHED_PER_S),
        Term(name="choosing what to read", slope=extend("choose_read"), count=2),
        Term(name="choosing what to claim", slope=extend("choose_claims"), count=1),
        Term(name="views", slope=extend("view_encode"), count=sent),
        Term(name="configuration changes", slope=change, count=CHANGES_PER_S),
    )


def _list_bytes(known: Mapping[str, Figure]) -> tuple[Term, ...]:
    platform = _extend(known["controller.platform_wire"], CELL_NODES)
    report, reply = known["controller.report_bytes"], known["controller.peer_reply"]
    request, server = known["exchange.request_bytes"], known["exchange.reply_bytes"]
    both_ways = 2 * PEERS
    return (
        Term(name="platform", slope=platform, count=1),
        Term(name="load reports", slope=report.value, count=REPORTS_PER_S),
        Term(name="replies, idle", slope=reply.value, count=both_ways),
        Term(name="requests", slope=request.value, count=both_ways),
        Term(name="changed servers", slope=server.value, count=OWNED * both_ways),
    )


def _list_all(known: Mapping[str, Figure], name: str) -> tuple[Term, ...]:
    slope = known[f"platform.{name}"].value
    return (Term(name="instances", slope=slope, count=NODES),)
