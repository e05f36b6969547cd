"""The entries of this instance, as they report and watch."""

from arbutuspulley.data import State
from arbutuspulley.rpc.messages import EntryAddress, EntryReport

ENTRY_TIMEOUT_MS = 3_000
"""Time without a sign of life after which an entry is no longer told to callers."""


class EntryState(State):
    """An entry of this instance.

    :param heard_at: when it last reported or began to watch.
    :param watches: open streams of views to it.
    """

    entry: EntryAddress
    last_seen_at: int
    watches: int = 0
    report: EntryReport | None = None


def begin_watch(
    entries: dict[str, EntryState], entry: EntryAddress, *, now: int
) -> None:
    """Take in that an entry opened a stream of views."""
    state = _mark_seen(entries, entry, now=now)
    state.watches += 1


def end_watch(entries: dict[str, EntryState], entry: EntryAddress) -> None:
    """Take in that a stream of views to an entry ended.

    The stream of an entry that was killed breaks at once, long before its reports
    are missed; callers must not be sent there meanwhile. If the entry was restarted
    at the same address, the end of its earlier stream says nothing of it.
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
    """Take in an entry's report."""
    state = _mark_seen(entries, report.entry, now=now)
    state.report = report


def evict_silent(entries: dict[str, EntryState], *, now: int) -> None:
    """Drop entries that have not reported for :data:`ENTRY_TIMEOUT_MS`.

    A frozen entry keeps its connection open, so only its silence shows.
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
