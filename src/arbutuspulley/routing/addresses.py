"""Which entries a caller is told to use for a model, and in which order.

Weighted rendezvous hashing gives each model a few entries of its own. So an entry
sees most requests of its models (its counts are then good, and it needs summaries
of few servers), and a change of the set of entries moves only the models of the
entries that changed. Nothing is agreed or stored: every entry computes the same.
"""

import math
from collections.abc import Sequence

import xxhash

from arbutuspulley.rpc.messages import EntryAddress, ServerSummary

MAX_ADDRESSES = 3
"""Addresses in an answer, if there are as many."""

MIN_ENTRIES_PER_MODEL = 2
"""Fewest entries that share the callers of one model."""

STREAMS_PER_ENTRY = 100
"""Requests in flight of one model that one entry should carry."""

LOAD_STEPS = 4
"""Steps in which an entry's load counts; small changes must not move callers."""

MIN_WEIGHT = 0.1
"""Weight of an entry at or above its limit."""


def choose_entry_count(
    *, servers: Sequence[ServerSummary], item: str, entries: int
) -> int:
    """Return how many entries should share the callers of a model.

    :param item: key of the model's item.
    :param entries: entries that could take them.
    """
    in_flight = sum(
        summary.running + summary.waiting
        for summary in servers
        if item in summary.items
    )
    wanted = math.ceil(in_flight / STREAMS_PER_ENTRY)
    return max(1, min(entries, max(MIN_ENTRIES_PER_MODEL, wanted)))


def rank_entries(
    entries: Sequence[EntryAddress],
    *,
    model: str,
    answering_address: str = "",
    spread_key: str = "",
    entry_count: int = MIN_ENTRIES_PER_MODEL,
    max_addresses: int = MAX_ADDRESSES,
) -> tuple[EntryAddress, ...]:
    """Return the entries to tell a caller, best first.

    Draining entries are left out. If all are draining, the answer is the asked
    one alone, or empty if that is not among them.

    :param asked: address of the entry that answers; it is never the only one told
        if there is another.
    :param spread: spreads callers over the entries that share a model: the same
        value gives the same order, for example the caller's name and address.
    :param width: how many entries share the model's callers.
    :param count: most addresses to tell.
    """
    usable = [entry for entry in entries if not entry.draining]
    if not usable:
        return tuple(entry for entry in entries if entry.address == answering_address)[
            :1
        ]
    ranked = sorted(usable, key=lambda entry: _rank(entry, model, weight=1.0))
    shared = ranked[:entry_count]
    shared.sort(
        key=lambda entry: _rank(entry, f"{model}/{spread_key}", _compute_weight(entry))
    )
    ordered = shared + ranked[entry_count:]
    return tuple(
        _truncate(
            ordered, answering_address=answering_address, max_addresses=max_addresses
        )
    )


def _truncate(
    ordered: list[EntryAddress], *, answering_address: str, max_addresses: int
) -> list[EntryAddress]:
    """Cut the list to length, keeping another entry and another site in it."""
    selected = ordered[:max_addresses]
    # The asked entry or a whole data centre may fail while the caller keeps the
    # answer; one address that fails with neither is always told, if there is one.
    if len(selected) == max_addresses > 1 and all(
        entry.site == selected[0].site for entry in selected
    ):
        elsewhere = [entry for entry in ordered if entry.site != selected[0].site]
        selected[-1:] = elsewhere[:1] or selected[-1:]
    if all(entry.address == answering_address for entry in selected):
        selected += [entry for entry in ordered if entry.address != answering_address][
            :1
        ]
    return selected


def _compute_weight(entry: EntryAddress) -> float:
    step = math.floor(min(max(entry.load, 0.0), 1.0) * LOAD_STEPS) / LOAD_STEPS
    return max(MIN_WEIGHT, 1.0 - step)


def _rank(entry: EntryAddress, key: str, weight: float) -> float:
    """Return the entry's rendezvous rank for a key; the smallest comes first."""
    digest = xxhash.xxh64_intdigest(f"{key}|{entry.address}".encode())
    uniform = (digest + 1) / (2**64 + 1)
    return -math.log(uniform) / weight
