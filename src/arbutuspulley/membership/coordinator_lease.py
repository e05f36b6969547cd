"""The coordinator's lease: a row in the platform's store, timed by the store's clock.

The holder writes the expiry time of its lease on the store's monotonic clock, as it
last read it. It stops giving orders a margin earlier; other instances may claim the
lease once the store's clock has passed the expiry time. Both sides use the same clock,
so neither depends on the other's. A holder that was suspended finds its lease expired
at once, since its own clock includes the time of suspension.

Orders and grants (of servers to requests) have different rules. Grants need no lease:
two coordinators that grant at the same time for a moment only misjudge the load. So
another instance may take over, and grant at once, when half a lease has passed without
a renewal; it gives orders only after the previous holder's whole lease has expired.

A holder may not take turns with others either: its orders of a later turn follow those
of an earlier one by a whole lease if another instance has given orders in between. So
the row also keeps until when each of the last holders may have given orders. It is
written with claims, renewals and releases only, so this takes no further calls.

The store may come back from an older copy, which begins a new era. The row is then an
old one, and a holder that it does not name may still have its lease. So the first claim
of an era also writes a row for the era, which every later claim expects. Until then the
lease counts as held by an unknown instance, which renewed it just before the era began;
a delayed write of an earlier era can no longer be carried out afterwards. The fencing
tokens of an era are above those of all earlier ones.
"""

from typing import Annotated

import msgspec

from arbutuspulley.data import Message, State, Value
from arbutuspulley.decoding import Milliseconds, UndecodableError, decode_json

RENEW_INTERVAL_MS = 900
"""Longest interval of renewals, in ms: three fit into a lease of 3 s."""

RENEW_INTERVAL_RATIO = 0.3
"""Longest interval of renewals as a share of the lease's duration. Other instances may
claim a lease that has not been renewed for half of it."""

EXPIRY_MARGIN_MS = 400
"""How long before the written expiry a holder stops giving orders, in ms: an order
takes a few ms, and the holder's estimate of the store's clock is off by the delay of an
answer at most."""


UNANSWERED_ORDER_WAIT_MS = 1_000
"""How long the successor gives no orders after a release, in ms, if an order of the
previous holder is unanswered: it may still be in flight on a congested link."""

FENCES_PER_ERA = 1_000_000
"""Number of fencing tokens of an era: enough for a claim per second in eleven days."""

MAX_FENCE = 1 << 53
"""Largest fencing token, which servers that read JSON numbers as floats hold exactly.
"""

MAX_LEAD_MS = 60_000
"""How far ahead of the store's clock the times of a lease may be, in ms, in addition to
its duration. Leases last some seconds, and a row with later times was written by
another writer: no instance could claim the lease, or give orders, until then."""

UNLIMITED_MS = 1 << 40
"""Stands for an unlimited time, in ms."""

UNKNOWN_HOLDER = ""
"""Stands for all instances among the holders whose turns a row keeps."""


class LeaseRow(Message, frozen=True):
    """The lease as stored.

    :param holder: name of the instance; empty if the lease was released.
    :param link: address at which other instances reach it.
    :param boot: identifies the holder's process.
    :param fence: fencing token; each new holder's is higher.
    :param expires_ms: expiry time, on the store's clock, like the other times.
    :param renewed_ms: when it was claimed or last renewed.
    :param orders_from_ms: time before which the holder gives no orders, since the
        previous holder may still do so.
    :param loads_ms: when loads from the weight store were ordered that may still count
        against its rate limit, by service; includes loads of previous holders.
    :param turns: until when previous holders may have given orders, by their names, as
        far as a lease has not passed since.
    """

    holder: str
    link: str
    boot: str
    fence: Annotated[int, msgspec.Meta(ge=0, le=MAX_FENCE)]
    expires_ms: Milliseconds
    renewed_ms: Milliseconds = 0
    orders_from_ms: Milliseconds = 0
    loads_ms: dict[str, list[Milliseconds]] = {}
    turns: dict[str, Milliseconds] = {}


class InheritedLoads(Value, frozen=True):
    """Loads that previous holders ordered, on the new holder's clock.

    :param loads: order times of the loads in the lease's row, in ms, by service.
    :param unknown_until: time until which the previous holder may have ordered loads
        that are not in the row, in ms; ``None`` if there can't be any.
    """

    loads: dict[str, list[int]]
    unknown_until: int | None


class CoordinatorLeaseState(State):
    """State of the lease as known to one process.

    :param offset_ms: lower bound of the store's clock minus the own clock: the largest
        difference seen, which comes from the answer with the least delay.
    :param version: version of the row as last read; 0 if absent.
    :param row: the row as last read.
    :param era: era of the store; 0: the store has not stated one.
    :param era_seen_at: when this process first heard of the era, on the own clock.
    :param is_first_era: whether this process has heard of no earlier era.
    :param era_row_version: version of the era's own row; 0: the lease has not been
        claimed in this era.
    :param held_until: expiry time of the own lease, on the own clock; 0: not held.
    :param orders_allowed_from: time before which the own lease allows no orders, on
        the own clock.
    :param fence: the own fencing token.
    :param renewed_at: when the last confirmed claim or renewal was sent, on the own
        clock.
    """

    name: str
    link: str
    boot: str
    lease_ms: int
    offset_ms: float | None = None
    version: int = 0
    row: LeaseRow | None = None
    era: int = 0
    era_seen_at: int = 0
    is_first_era: bool = True
    era_row_version: int = 0
    held_until: float = 0
    orders_allowed_from: float = 0
    fence: int = 0
    renewed_at: int = 0


def get_renew_interval_ms(state: CoordinatorLeaseState) -> int:
    """Return how long after a renewal the lease is renewed again, in ms."""
    return min(RENEW_INTERVAL_MS, int(state.lease_ms * RENEW_INTERVAL_RATIO))


def update_store_clock(
    state: CoordinatorLeaseState, store_ms: float, *, now: int
) -> None:
    """Update the clock offset from an answer of the store that was just received."""
    offset = store_ms - now
    if state.offset_ms is None or offset > state.offset_ms:
        state.offset_ms = offset


def update_era(state: CoordinatorLeaseState, era: int, *, now: int) -> bool:
    """Update the era from an answer of the store that was just received.

    The store's clock may have gone back, too, so the clock offset is measured anew. The
    own lease goes on: its expiry is on the own clock.

    :return: whether the era has changed.
    """
    if era == state.era:
        return False
    state.is_first_era = state.era == 0
    state.era = era
    state.era_seen_at = now
    state.era_row_version = 0
    state.offset_ms = None
    return True


def is_copied(state: CoordinatorLeaseState) -> bool:
    """Return whether the row as last read was written in an earlier era."""
    return state.era != 0 and state.era_row_version == 0


def _may_have_unknown_holder(state: CoordinatorLeaseState) -> bool:
    """Return whether another process may have the lease without the row saying so.

    Without a row, in the first era that this process hears of, nobody has claimed the
    lease yet.
    """
    return is_copied(state) and (state.row is not None or not state.is_first_era)


def update_row(
    state: CoordinatorLeaseState,
    value: bytes | None,
    *,
    version: int,
    era_row_version: int = 0,
    store_ms: float | None = None,
) -> bool:
    """Update the state with the row as read.

    A row that another writer has written names no holder; its version still guards a
    claim.

    :param era_row_version: version of the era's own row; 0 if absent.
    :param store_ms: the store's clock when the row was read; ``None``: not known.
    :return: whether the row is one of an instance, or absent.
    """
    state.version = version
    state.era_row_version = era_row_version
    try:
        state.row = decode_json(value, LeaseRow) if value else None
    except UndecodableError:
        state.row = None
        return False
    # The clock may have gone back since a row of an earlier era was written.
    if state.row is None or store_ms is None or is_copied(state):
        return True
    if _get_latest_time(state.row) <= store_ms + state.lease_ms + MAX_LEAD_MS:
        return True
    state.row = _build_free_row(state, state.row, store_ms=store_ms)
    return False


def _get_latest_time(row: LeaseRow) -> float:
    turns = row.turns.values()
    return max(row.expires_ms, row.renewed_ms, row.orders_from_ms, *turns)


def _build_free_row(
    state: CoordinatorLeaseState, row: LeaseRow, *, store_ms: float
) -> LeaseRow:
    """Build a row that may be claimed, with orders once any lease has expired."""
    return LeaseRow(
        holder="",
        link="",
        boot="",
        fence=row.fence,
        expires_ms=0,
        orders_from_ms=store_ms + state.lease_ms,
    )


def is_holder(state: CoordinatorLeaseState, *, now: int) -> bool:
    """Return whether this process certainly still holds the lease."""
    return now < state.held_until - EXPIRY_MARGIN_MS


def may_order(state: CoordinatorLeaseState, *, now: int) -> bool:
    """Return whether orders may be given; call right before each order."""
    return is_holder(state, now=now) and now >= state.orders_allowed_from


def may_order_during_outage(
    state: CoordinatorLeaseState, *, store_unavailable: list[bool], known_instances: int
) -> bool:
    """Return whether a holder whose lease has expired may still give orders.

    It may while the store is unavailable to all instances: no other instance can claim
    the lease then, and lost models would stay missing for the whole outage. If only
    this instance's calls are refused, the others report otherwise and take over. If an
    instance that is disconnected from all of them reaches the store, servers that check
    fences refuse the older holder.

    :param store_unavailable: for each reachable instance, this one included, whether
        the store is unavailable to it.
    :param known_instances: number of instances that were known before.
    """
    if state.fence == 0 or not is_own_row(state):
        return False
    return is_store_unavailable(store_unavailable, known_instances=known_instances)


def is_store_unavailable(
    store_unavailable: list[bool], *, known_instances: int
) -> bool:
    """Return whether the store is unavailable to all instances.

    It counts as that if all reachable instances report it, at least two and more than
    half of the known ones. The parameters are those of :func:`may_order_during_outage`.
    """
    return (
        all(store_unavailable)
        and len(store_unavailable) >= 2
        and 2 * len(store_unavailable) > known_instances
    )


def get_order_window_ms(state: CoordinatorLeaseState, *, now: int) -> int:
    """Return for how much longer orders may be sent, in ms; 0: not at all.

    A server that does not check fences accepts any order that reaches it, so an order
    that is still being sent at the end of this time must be dropped.
    """
    if not may_order(state, now=now):
        return 0
    return int(state.held_until - EXPIRY_MARGIN_MS - now)


def get_claim_wait_ms(state: CoordinatorLeaseState, *, now: int) -> int | None:
    """Return how long until the lease may be claimed, in ms; 0: now.

    :return: ``None`` if the store's clock has never been read.
    """
    if state.offset_ms is None:
        return None
    if _may_claim_at_once(state, now=now):
        return 0
    return max(0, int(_get_free_from(state, now=now) - (now + state.offset_ms)))


def get_free_ms(state: CoordinatorLeaseState, *, now: int) -> int:
    """Return for how long the lease has been free, in ms.

    A lease that no instance has held yet, or that this instance held last, has been
    free for an unlimited time.
    """
    if state.offset_ms is None or _may_claim_at_once(state, now=now):
        return UNLIMITED_MS
    return max(0, int(now + state.offset_ms - _get_free_from(state, now=now)))


def _may_claim_at_once(state: CoordinatorLeaseState, *, now: int) -> bool:
    if state.row is None:
        return True
    if is_copied(state):
        # Another instance may have held the lease since the row was written.
        return is_holder(state, now=now)
    return state.row.holder == state.name


def _get_free_from(state: CoordinatorLeaseState, *, now: int) -> float:
    """Return the time from which a lease may be claimed, on the store's clock."""
    row, half_lease_ms = state.row, state.lease_ms // 2
    free_from = 0.0
    if row is not None:
        free_from = row.expires_ms
        if row.holder:
            free_from = min(free_from, row.renewed_ms + half_lease_ms)
    if not is_copied(state):
        return free_from
    begun = state.era_seen_at + (state.offset_ms or 0.0)
    return max(_check_copied_time(state, free_from, now=now), begun + half_lease_ms)


def _check_copied_time(
    state: CoordinatorLeaseState, copied_ms: float, *, now: int
) -> float:
    """Return a time of a copied row, or 0 if the store's clock has gone back since."""
    latest = now + (state.offset_ms or 0.0) + state.lease_ms
    return copied_ms if copied_ms <= latest else 0.0


def build_claim(
    state: CoordinatorLeaseState, *, now: int, loads: dict[str, list[int]] | None = None
) -> LeaseRow:
    """Build the row that claims or renews the lease.

    :param loads: order times of loads, on the own clock, by service; ``None`` keeps
        those of the row.
    """
    row = state.row
    store_now = now + (state.offset_ms or 0.0)
    fence = row.fence if row else 0
    if is_copied(state) or not is_holder(state, now=now):
        fence = max(fence, state.fence, state.era * FENCES_PER_ERA) + 1
    return LeaseRow(
        holder=state.name,
        link=state.link,
        boot=state.boot,
        fence=fence,
        expires_ms=store_now + state.lease_ms,
        renewed_ms=store_now,
        orders_from_ms=_get_orders_from(state, now=now),
        loads_ms=_build_loads(state, loads),
        turns=_build_turns(state, now=now),
    )


def get_turn_wait_ms(state: CoordinatorLeaseState, *, now: int) -> int:
    """Return how much longer an earlier turn keeps this instance from giving orders.

    :return: the time in ms that another instance would not have to wait.
    """
    store_now = now + (state.offset_ms or 0.0)
    all_expired = _get_all_expired(state, now=now)
    return max(0, int(_get_turn_end(state, now=now) - max(store_now, all_expired)))


def _get_orders_from(state: CoordinatorLeaseState, *, now: int) -> float:
    """Return from when this instance may give orders, on the store's clock."""
    return max(_get_all_expired(state, now=now), _get_turn_end(state, now=now))


def _get_turn_end(state: CoordinatorLeaseState, *, now: int) -> float:
    """Return until when an earlier turn of this instance keeps it from giving orders.

    :return: the time on the store's clock; 0 if it had no turn, or if no other instance
        may have given orders since.
    """
    is_own = state.row is not None and state.row.holder == state.name
    if is_own and not is_copied(state):
        # The turn goes on.
        return 0.0
    turns = _list_turns(state, now=now)
    own = [turns[name] for name in (state.name, UNKNOWN_HOLDER) if name in turns]
    others = [end for name, end in turns.items() if name != state.name]
    if not own or not others or max(others) < max(own):
        return 0.0
    return max(own) + state.lease_ms


def _list_turns(state: CoordinatorLeaseState, *, now: int) -> dict[str, float]:
    """Return until when the holders before this one may have given orders."""
    row = state.row
    if row is None:
        return {}
    turns: dict[str, float] = dict(row.turns)
    if row.holder not in ("", state.name) and row.orders_from_ms < row.expires_ms:
        turns[row.holder] = max(row.expires_ms, turns.get(row.holder, 0.0))
    if is_copied(state):
        turns = {
            name: _check_copied_time(state, end, now=now) for name, end in turns.items()
        }
    store_now = now + (state.offset_ms or 0.0)
    return {
        name: end for name, end in turns.items() if end + state.lease_ms > store_now
    }


def _build_turns(state: CoordinatorLeaseState, *, now: int) -> dict[str, float]:
    """Build the turns of a row that claims or renews the lease."""
    turns = _list_turns(state, now=now)
    if _may_have_unknown_holder(state):
        begun = state.era_seen_at + (state.offset_ms or 0.0)
        turns[UNKNOWN_HOLDER] = begun + state.lease_ms
    return turns


def _get_all_expired(state: CoordinatorLeaseState, *, now: int) -> float:
    """Return when the leases of all previous holders have expired, on the store's
    clock."""
    row = state.row
    orders_from = 0.0
    if row is not None:
        orders_from = row.orders_from_ms
        if row.holder != state.name:
            orders_from = max(orders_from, row.expires_ms)
    if not _may_have_unknown_holder(state):
        return orders_from
    all_expired = state.era_seen_at + (state.offset_ms or 0.0) + state.lease_ms
    return max(all_expired, _check_copied_time(state, orders_from, now=now))


def _build_loads(
    state: CoordinatorLeaseState, loads: dict[str, list[int]] | None
) -> dict[str, list[float]]:
    if loads is None:
        return state.row.loads_ms if state.row else {}
    offset = state.offset_ms or 0.0
    return {service: [at + offset for at in times] for service, times in loads.items()}


def get_inherited_loads(state: CoordinatorLeaseState) -> InheritedLoads:
    """Return the loads of the row as last read; call before the claim.

    The row is written at each renewal, so loads ordered since then are unknown, up to
    the latest time at which the holder may have given orders.
    """
    row = state.row
    if _may_have_unknown_holder(state):
        return InheritedLoads(
            loads={}, unknown_until=state.era_seen_at + state.lease_ms
        )
    if row is None:
        return InheritedLoads(loads={}, unknown_until=None)
    offset = state.offset_ms or 0.0
    loads = {
        service: [int(at - offset) for at in times]
        for service, times in row.loads_ms.items()
    }
    until = int(row.expires_ms - offset) if row.holder else None
    return InheritedLoads(loads=loads, unknown_until=until)


def is_own_row(state: CoordinatorLeaseState) -> bool:
    """Return whether the row as last read is this process's; call before a release.

    After a network partition, the row may belong to another holder. Releasing it ended
    that holder's lease without its knowledge, and its fencing token was issued again.
    """
    return state.row is not None and state.row.boot == state.boot


def build_release(
    state: CoordinatorLeaseState,
    *,
    now: int,
    loads: dict[str, list[int]] | None = None,
    ordered_at: int | None = None,
    has_unanswered_order: bool = False,
) -> LeaseRow:
    """Build the row that releases the lease; it keeps the fencing token.

    :param loads: as for :func:`build_claim`.
    :param ordered_at: when this process gave its last order, on the own clock;
        ``None``: it has given none.
    :param has_unanswered_order: whether an order was sent and not answered. A server
        that does not check fences carries it out whenever it arrives, even after
        orders of the successor.
    """
    row = state.row
    released_ms = now + (state.offset_ms or 0.0)
    orders_allowed_from = row.orders_from_ms if row else 0.0
    if has_unanswered_order:
        orders_allowed_from = max(
            orders_allowed_from, released_ms + UNANSWERED_ORDER_WAIT_MS
        )
    turns = _list_turns(state, now=now)
    if ordered_at is not None:
        ordered_ms = ordered_at + (state.offset_ms or 0.0)
        end = orders_allowed_from if has_unanswered_order else ordered_ms
        turns[state.name] = max(end, turns.get(state.name, 0.0))
    return LeaseRow(
        holder="",
        link="",
        boot="",
        fence=state.fence,
        expires_ms=released_ms,
        orders_from_ms=orders_allowed_from,
        loads_ms=_build_loads(state, loads),
        turns=turns,
    )


def confirm_claim(
    state: CoordinatorLeaseState,
    claim: LeaseRow,
    *,
    version: int,
    sent_at: int,
    store_ms: float,
) -> None:
    """Update the state after a claim or renewal was written.

    The claim's times were computed with ``offset_ms``, which is too small by the delay
    of the fastest answer so far, until it was read. Converted with it, the own lease
    would seem to last longer than on the store's clock by that delay. On a busy
    instance that has just started, this can be more than a second, in which both the
    instance and its successor would give orders. So the expiry is converted with the
    largest possible offset: the store wrote ``store_ms`` after the claim was sent.

    :param sent_at: when the claim was sent, in ms.
    :param store_ms: the store's clock when it wrote the claim.
    """
    state.row = claim
    state.version = version
    if is_copied(state):
        state.era_row_version = version
    state.fence = claim.fence
    state.held_until = claim.expires_ms - (store_ms - sent_at)
    state.orders_allowed_from = claim.orders_from_ms - (state.offset_ms or 0.0)
    state.renewed_at = sent_at


def mark_lost(state: CoordinatorLeaseState) -> None:
    """Update the state when the lease is not, or no longer, held."""
    state.held_until = 0
