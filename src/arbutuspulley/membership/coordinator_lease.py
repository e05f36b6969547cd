"""Who coordinates: one lease in the platform's store, counted on the store's clock.

The holder writes until when its lease runs, on the store's steady clock as it
last saw it. It stops giving orders a margin earlier; others may take the lease
once the store's clock has passed that time. Both sides read the same clock, so
none depends on the others' clocks, and a holder that was suspended finds its lease
lapsed as soon as it looks, since its own clock counts the time of a suspension.

Giving orders and granting servers to requests are told apart. Grants need no lease:
two coordinators that grant for a moment only misjudge the load. So another instance
may take over once half a lease has passed without a renewal, and grants at once; it
gives orders only after the whole lease of the one before has passed.
"""

import msgspec

from arbutuspulley.data import Message, State, Value

RENEW_INTERVAL_MS = 900
"""Time between renewals, in ms: three fit into a lease of 3 s."""

EXPIRY_MARGIN_MS = 400
"""How much earlier than written a holder stops giving orders, in ms: an order takes a
few ms, and its clock differs from the store's by an answer's delay at most."""


UNANSWERED_ORDER_WAIT_MS = 1_000
"""How long after a release its successor gives no orders, in ms, if an order of the one
before was not answered: its bytes may still be on their way through a full link."""

UNLIMITED_MS = 1 << 40
"""Longer than anything, in ms."""


class LeaseRow(Message, frozen=True):
    """The lease as stored.

    :param holder: name of the instance.
    :param link: where the other instances reach it.
    :param boot: names the holder's process.
    :param fence: fencing token; each new holder's is one higher.
    :param expires_ms: when it ends, on the store's clock, like the other times.
    :param renewed_ms: when it was taken or last renewed.
    :param orders_from_ms: before this its holder gives no orders, since the holder
        before may still do so.
    :param loads_ms: when the loads from the weight store that may still count against
        its rate were ordered, by service; those of holders before, too.
    """

    holder: str
    link: str
    boot: str
    fence: int
    expires_ms: float
    renewed_ms: float = 0
    orders_from_ms: float = 0
    loads_ms: dict[str, list[float]] = {}


class InheritedLoads(Value, frozen=True):
    """What a new holder knows of loads that were ordered before, on its own clock.

    :param loads: when those that the row tells of were ordered, in ms, by service.
    :param unknown_until: until when more may have been ordered, in ms; ``None``: none.
    """

    loads: dict[str, list[int]]
    unknown_until: int | None


class CoordinatorLeaseState(State):
    """What one process knows of the lease.

    :param offset_ms: the store's clock less the own one, at least: the largest seen,
        which was taken from the answer that came back fastest.
    :param version: version of the row as last read; 0 if absent.
    :param row: the row as last read.
    :param held_until: until when the own lease runs, on the own clock; 0: not held.
    :param orders_allowed_from: until then the own lease allows no orders, on the own clock.
    :param fence: the own fencing token.
    """

    name: str
    link: str
    boot: str
    lease_ms: int
    offset_ms: float | None = None
    version: int = 0
    row: LeaseRow | None = None
    held_until: float = 0
    orders_allowed_from: float = 0
    fence: int = 0
    renewed_at: int = 0


def update_store_clock(
    state: CoordinatorLeaseState, store_ms: float, *, now: int
) -> None:
    """Take in the store's clock from an answer that has just come."""
    offset = store_ms - now
    if state.offset_ms is None or offset > state.offset_ms:
        state.offset_ms = offset


def update_row(
    state: CoordinatorLeaseState, value: bytes | None, *, version: int
) -> None:
    """Take in the row as read."""
    state.version = version
    try:
        state.row = msgspec.json.decode(value, type=LeaseRow) if value else None
    except msgspec.MsgspecError:
        # Someone else's bytes: as good as no holder, and the version still guards.
        state.row = None


def is_holder(state: CoordinatorLeaseState, *, now: int) -> bool:
    """Tell whether the lease certainly still runs."""
    return now < state.held_until - EXPIRY_MARGIN_MS


def may_order(state: CoordinatorLeaseState, *, now: int) -> bool:
    """Tell whether orders may be given; ask right before each order."""
    return is_holder(state, now=now) and now >= state.orders_allowed_from


def may_order_during_outage(
    state: CoordinatorLeaseState, *, store_unavailable: list[bool], known_instances: int
) -> bool:
    """Tell whether a holder whose lease has lapsed may still give orders.

    It may while the store is away for everybody: nobody can take the lease then, and
    models that are lost would stay missing for as long. That the store is away is
    taken from most instances, each of which says so; where only this one is turned
    away, the others answer otherwise and take over. Should one that is cut off from
    all of them reach the store, servers that check fences refuse the older holder.

    :param store_unavailable: for each instance that is heard of, whether it misses the
        store, this one included.
    :param known_instances: instances that were known before.
    """
    if state.fence == 0 or not is_own_row(state):
        return False
    return (
        all(store_unavailable)
        and len(store_unavailable) >= 2
        and 2 * len(store_unavailable) > known_instances
    )


def get_order_window_ms(state: CoordinatorLeaseState, *, now: int) -> int:
    """Return for how much longer orders may be sent, in ms; 0: not at all.

    A server that does not check fences takes any order that reaches it. What is still
    being sent as this time ends has to be dropped.
    """
    if not may_order(state, now=now):
        return 0
    return int(state.held_until - EXPIRY_MARGIN_MS - now)


def get_claim_wait_ms(state: CoordinatorLeaseState, *, now: int) -> int | None:
    """Return how long until the lease may be taken, in ms; 0: now.

    :return: ``None`` if the store's clock was never seen.
    """
    if state.offset_ms is None:
        return None
    row = state.row
    if row is None or row.holder == state.name:
        return 0
    return max(0, int(_get_free_from(state, row) - (now + state.offset_ms)))


def get_free_ms(state: CoordinatorLeaseState, *, now: int) -> int:
    """Return for how long the lease has been free, in ms.

    One that nobody has held yet, or that this instance held, has always been.
    """
    row = state.row
    if row is None or row.holder == state.name or state.offset_ms is None:
        return UNLIMITED_MS
    return max(0, int(now + state.offset_ms - _get_free_from(state, row)))


def _get_free_from(state: CoordinatorLeaseState, row: LeaseRow) -> float:
    """Return when a lease may be taken, on the store's clock."""
    if not row.holder:
        return row.expires_ms
    return min(row.expires_ms, row.renewed_ms + state.lease_ms // 2)


def build_claim(
    state: CoordinatorLeaseState, *, now: int, loads: dict[str, list[int]] | None = None
) -> LeaseRow:
    """Build the row that takes or renews the lease.

    :param loads: when loads were ordered, on the own clock; ``None``: as in the row.
    """
    row = state.row
    store_now = now + (state.offset_ms or 0.0)
    fence = row.fence if row else 0
    orders_allowed_from = row.orders_from_ms if row else 0.0
    if not is_holder(state, now=now):
        fence += 1
    if row is not None and row.holder != state.name:
        orders_allowed_from = max(orders_allowed_from, row.expires_ms)
    return LeaseRow(
        holder=state.name,
        link=state.link,
        boot=state.boot,
        fence=fence,
        expires_ms=store_now + state.lease_ms,
        renewed_ms=store_now,
        orders_from_ms=orders_allowed_from,
        loads_ms=_build_loads(state, loads),
    )


def _build_loads(
    state: CoordinatorLeaseState, loads: dict[str, list[int]] | None
) -> dict[str, list[float]]:
    if loads is None:
        return state.row.loads_ms if state.row else {}
    offset = state.offset_ms or 0.0
    return {service: [at + offset for at in times] for service, times in loads.items()}


def get_inherited_loads(state: CoordinatorLeaseState) -> InheritedLoads:
    """Return what the row as last read tells of loads; ask before the claim.

    The row is written at each renewal, so loads that were ordered since are unknown,
    until the latest moment at which its holder may have given orders.
    """
    row = state.row
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
    """Tell whether the row as last read is this process's; ask before a release.

    After a cut the row may be another holder's by now. Released all the same, that
    holder's lease ended unnoticed and its fencing token was given out again.
    """
    return state.row is not None and state.row.boot == state.boot


def build_release(
    state: CoordinatorLeaseState,
    *,
    now: int,
    loads: dict[str, list[int]] | None = None,
    has_unanswered_order: bool = False,
) -> LeaseRow:
    """Build the row that gives the lease back; the fence stays.

    :param loads: as for :func:`build_claim`.
    :param has_unanswered_order: whether an order was sent that was not answered. A
        server that does not check fences takes it whenever it comes, also after the
        successor's.
    """
    row = state.row
    released_ms = now + (state.offset_ms or 0.0)
    orders_allowed_from = row.orders_from_ms if row else 0.0
    if has_unanswered_order:
        orders_allowed_from = max(
            orders_allowed_from, released_ms + UNANSWERED_ORDER_WAIT_MS
        )
    return LeaseRow(
        holder="",
        link="",
        boot="",
        fence=state.fence,
        expires_ms=released_ms,
        orders_from_ms=orders_allowed_from,
        loads_ms=_build_loads(state, loads),
    )


def confirm_claim(
    state: CoordinatorLeaseState,
    claim: LeaseRow,
    *,
    version: int,
    sent_at: int,
    store_ms: float,
) -> None:
    """A claim was written.

    The claim's times were worked out from ``offset_ms``, which is too small by as long
    as the fastest answer so far took to come back and be read. Counted from it, the own
    lease would seem to run on by that time after the store's clock has passed its end.
    On a busy instance that has just started, that can be a second and more: its
    successor gives orders, and so does it. So the end is counted from the latest that
    the store's clock can be ahead: it wrote ``store_ms`` after the claim was sent.

    :param sent_at: when the claim was sent, in ms.
    :param store_ms: the store's clock as it wrote the claim.
    """
    state.row = claim
    state.version = version
    state.fence = claim.fence
    state.held_until = claim.expires_ms - (store_ms - sent_at)
    state.orders_allowed_from = claim.orders_from_ms - (state.offset_ms or 0.0)
    state.renewed_at = sent_at


def mark_lost(state: CoordinatorLeaseState) -> None:
    """The lease is not, or no longer, held."""
    state.held_until = 0
