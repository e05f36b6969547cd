"""The entries of this instance, known by their reports and view streams."""

from arbutuspulley.data import State
from arbutuspulley.rpc.messages import EntryAddress, EntryReport

ENTRY_TIMEOUT_MS = 3_000
"""Time without a report after which callers are no longer given an entry's address."""


class EntryState(State):
    """An entry of this instance.

    :param last_seen_at: when it last reported or opened a view stream, in ms.
    :param watches: number of open view streams to it.
    """

    entry: EntryAddress
    last_seen_at: int
    watches: int = 0
    report: EntryReport | None = None


def begin_watch(
    entries: dict[str, EntryState], entry: EntryAddress, *, now: int
) -> None:
    """Record that an entry opened a view stream."""
    state = _mark_seen(entries, entry, now=now)
    state.watches += 1


def end_watch(entries: dict[str, EntryState], entry: EntryAddress) -> None:
    """Record that a view stream to an entry ended; remove the entry after its last.

    The stream of a killed entry breaks at once, long before its reports time out;
    callers must not be sent there meanwhile. The stream of an earlier process at the
    same address says nothing about a restarted entry, so its end is ignored.
    """
    state = entries.get(entry.address)
    if state is None or state.entry.boot_id != entry.boot_id:
        return
    state.watches -= 1
    if state.watches <= 0:
        del entries[entry.address]


def apply_report(
    entries: dict[str, EntryState], report: EntryReport, *, now: int
) -> None:
    """Store an entry's newest report."""
    state = _mark_seen(entries, report.entry, now=now)
    state.report = report


def evict_timed_out(entries: dict[str, EntryState], *, now: int) -> None:
    """Remove entries that have not reported for :data:`ENTRY_TIMEOUT_MS`.

    A frozen entry keeps its connection open, so only the missing reports reveal it.
    """
    for address, state in list(entries.items()):
        if now - state.last_seen_at > ENTRY_TIMEOUT_MS:
            del entries[address]


def _mark_seen(
    entries: dict[str, EntryState], entry: EntryAddress, *, now: int
) -> EntryState:
    state = entries.get(entry.address)
    if state is None or state.entry.boot_id != entry.boot_id:
        state = EntryState(entry=entry, last_seen_at=now)
        entries[entry.address] = state
    state.entry = entry
    state.last_seen_at = now
    return state
