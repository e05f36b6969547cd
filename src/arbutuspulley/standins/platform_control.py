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
    """What ``POST /control`` may set; what is left out stays as it is.

    :param outage: answer everything but ``/control`` with 503.
    :param slow_ms: wait before each answer, after the work was done.
    :param lose_replies: let that many next transactions and object writes take
        effect, and close their connections without an answer.
    :param restore_revision: put the table back to this revision, once.
    :param instances: the instance list, seen after the lag.
    :param instance_lag_ms: how far the list lags.
    :param loads_per_minute: the weight store's rate.
    :param loads_at_once: loads that the weight store serves at full speed.
    :param load_ms_per_gib: how long an undisturbed load takes.
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
    """What the stand-in has done since it began (``GET /control/counters``).

    :param reads: rows, scans, objects and lists asked for.
    :param writes: transactions and objects that took effect.
    :param conflicts: transactions refused by a precondition.
    :param replies_lost: effects whose answer was withheld.
    :param refused: calls answered 503.
    :param bytes_in: body bytes taken.
    :param bytes_out: body bytes of answers.
    :param loads: loads admitted by the weight store.
    :param loads_refused: loads answered 429.
    :param loads_peak: most loads served at once.
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
    """The faults that are set now; see :class:`Control`."""

    outage: bool = False
    slow_ms: int = 0
    lose_replies: int = 0


class PlatformState(State):
    """All that the stand-in keeps.

    :param counts: counters by their name in :class:`Counters`.
    """

    table: TableState
    objects: dict[str, bytes] = msgspec.field(default_factory=dict)
    instances: InstancesState = msgspec.field(default_factory=InstancesState)
    weights: WeightsState = msgspec.field(default_factory=WeightsState)
    faults: Faults = msgspec.field(default_factory=Faults)
    counts: dict[str, int] = msgspec.field(default_factory=dict)


def apply_control(state: PlatformState, control: Control, *, now: int) -> None:
    """Set faults and limits.

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
    """Raise a counter."""
    state.counts[name] = state.counts.get(name, 0) + amount


def consume_reply_loss(state: PlatformState) -> bool:
    """Tell whether the answer to an effect is to be withheld, and count it."""
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
