"""Ranks the entries that a caller should use for a model.

Weighted rendezvous hashing assigns a few entries to each model. So an entry sees most
requests of its models (its own counts are then accurate, and it needs summaries of few
servers), and a change of the set of entries moves only the models of the entries that
changed. No coordination or storage is needed: every entry computes the same ranking.
"""

import math
from collections.abc import Sequence

import xxhash

from arbutuspulley.rpc.messages import EntryAddress, ServerSummary

MAX_ADDRESSES = 3
"""Largest number of addresses in an answer."""

MIN_ENTRIES_PER_MODEL = 2
"""Least number of entries that share the callers of one model."""

STREAMS_PER_ENTRY = 100
"""Requests in flight of one model that one entry should handle."""

LOAD_STEPS = 4
"""Steps to which a load is rounded down; small changes must not move callers."""

MIN_WEIGHT = 0.1
"""Weight of an entry at or above its load limit."""


def choose_entry_count(
    *, servers: Sequence[ServerSummary], item: str, entries: int
) -> int:
    """Return how many entries should share the callers of a model.

    :param item: key of the model's item.
    :param entries: number of available entries.
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
    """Return the entries that a caller should use, best first.

    Draining entries are excluded. If all are draining, the result is the answering
    entry alone, or empty if that is not among them.

    :param answering_address: address of the entry that answers the caller; the result
        has at least one other entry if there is one.
    :param spread_key: distributes callers over the entries that share a model; the same
        key gives the same order. For example the caller's name and address.
    :param entry_count: number of entries that share the model's callers.
    :param max_addresses: largest number of addresses in the result; one more if that
        is needed for another entry than the answering one.
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
    """Truncate the list, but keep another entry and another data centre in it."""
    selected = ordered[:max_addresses]
    # The answering entry or a whole data centre may fail while the caller uses the
    # answer; so it has an address outside of either, if there is one.
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
    """Return the entry's rendezvous rank for a key; the lowest rank comes first."""
    digest = xxhash.xxh64_intdigest(f"{key}|{entry.address}".encode())
    uniform = (digest + 1) / (2**64 + 1)
    return -math.log(uniform) / weight
