"""Faults, limits and counters of the platform stand-in."""

from typing import Annotated

import msgspec

from arbutuspulley.data import Document, Message, State
from arbutuspulley.ports.platform import InstanceListing
from arbutuspulley.standins.platform_state import (
    InstancesState,
    TableState,
    WeightsState,
    restore,
    set_instances,
)

NonNegative = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(ge=1)]


class Control(Document, frozen=True):
    """Body of ``POST /control``; fields that are left out keep their value.

    :param outage: answer all paths except ``/control`` with 503.
    :param slow_ms: delay of each reply, after the call has taken effect.
    :param lose_replies: number of the next transactions and object writes that take
        effect, but whose connections are closed without a reply.
    :param restore_revision: restore the table to this revision, once.
    :param instances: the instance list; readers see it after the lag.
    :param instance_lag_ms: lag of the instance list.
    :param loads_per_minute: rate limit of the weight store.
    :param loads_at_once: number of concurrent loads that the weight store serves at
        full speed.
    :param load_ms_per_gib: duration of a load at full speed, in ms per GiB.
    """

    outage: bool | None = None
    slow_ms: NonNegative | None = None
    lose_replies: NonNegative | None = None
    restore_revision: NonNegative | None = None
    instances: tuple[InstanceListing, ...] | None = None
    instance_lag_ms: NonNegative | None = None
    loads_per_minute: Positive | None = None
    loads_at_once: Positive | None = None
    load_ms_per_gib: NonNegative | None = None


class Counters(Message, frozen=True, omit_defaults=False):
    """Counters since the start of the stand-in (``GET /control/counters``).

    :param reads: reads of rows, scans, objects and instance lists.
    :param writes: transactions and object writes that took effect.
    :param conflicts: transactions rejected by a precondition.
    :param replies_lost: writes that took effect without a reply.
    :param refused: calls answered with 503.
    :param bytes_in: bytes of request bodies.
    :param bytes_out: bytes of reply bodies.
    :param loads: loads admitted by the weight store.
    :param loads_refused: loads answered with 429.
    :param loads_peak: maximum number of concurrent loads.
    :param revision: current revision of the table.
    :param table_id: current id of the table's history.
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    replies_lost: int = 0
    refused: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    loads: int = 0
    loads_refused: int = 0
    loads_peak: int = 0
    revision: int = 0
    table_id: str = ""


class Faults(State):
    """The faults that are currently set; see :class:`Control`."""

    outage: bool = False
    slow_ms: int = 0
    lose_replies: int = 0


class PlatformState(State):
    """The full state of the stand-in.

    :param counts: counters by their field name in :class:`Counters`.
    """

    table: TableState
    objects: dict[str, bytes] = msgspec.field(default_factory=dict)
    instances: InstancesState = msgspec.field(default_factory=InstancesState)
    weights: WeightsState = msgspec.field(default_factory=WeightsState)
    faults: Faults = msgspec.field(default_factory=Faults)
    counts: dict[str, int] = msgspec.field(default_factory=dict)


def apply_control(state: PlatformState, control: Control, *, now: int) -> None:
    """Set faults, limits and the instance list, and restore the table if asked to.

    :raises RestoreError: if the revision can't be restored; nothing is changed.
    """
    if control.restore_revision is not None:
        restore(state.table, control.restore_revision)
    _apply_set_fields(control, state.faults)
    _apply_set_fields(control, state.weights)
    if control.instance_lag_ms is not None:
        state.instances.lag_ms = control.instance_lag_ms
    if control.instances is not None:
        set_instances(state.instances, control.instances, now=now)


def increment(state: PlatformState, name: str, amount: int = 1) -> None:
    """Increment a counter."""
    state.counts[name] = state.counts.get(name, 0) + amount


def consume_reply_loss(state: PlatformState) -> bool:
    """Return whether the reply to a write is to be lost, and count the loss."""
    if state.faults.lose_replies == 0:
        return False
    state.faults.lose_replies -= 1
    increment(state, "replies_lost")
    return True


def _apply_set_fields(control: Control, target: State) -> None:
    for name in target.__struct_fields__:
        value = getattr(control, name, None)
        if value is not None:
            setattr(target, name, value)
