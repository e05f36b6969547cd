"""State of the admission queue of one entry."""

import msgspec

from arbutuspulley.admission.drain_rate import DrainState
from arbutuspulley.admission.shares import SharesState
from arbutuspulley.admission.slot_limits import SlotLimit
from arbutuspulley.admission.tickets import Ticket
from arbutuspulley.admission.usage_class import UsageClass
from arbutuspulley.data import State
from arbutuspulley.routing.choice import RoutingState, is_usable
from arbutuspulley.routing.load import ServerLoad, add_change


class RunningRequest(State):
    """An admitted request.

    :param server: server whose load includes it; before ``queue.assign`` this is the
        server that had a free slot for it.
    :param admitted_at: time of admission, in ms.
    """

    ticket: Ticket
    server: str
    admitted_at: int


class AdmissionState(State):
    """Admission state of one entry; only :mod:`.queue` changes it.

    :param own: address of this entry.
    :param routing: routing state of this entry; only read here.
    :param holders: servers that have an item loaded, by item; see
        :func:`list_holders`.
    :param limits: slots of each server that this entry may use.
    :param loads: load of this entry on each server.
    :param usage_classes: usage classes of the callers.
    :param waiting: waiting requests by id, in order of arrival.
    :param running: admitted requests by id.
    :param accounts: the callers' shares.
    :param drain: measured request durations.
    """

    own: str = ""
    routing: RoutingState = msgspec.field(default_factory=RoutingState)
    holders: dict[str, tuple[str, ...]] = {}
    limits: dict[str, SlotLimit] = {}
    loads: dict[str, ServerLoad] = {}
    usage_classes: dict[str, UsageClass] = {}
    waiting: dict[str, Ticket] = {}
    running: dict[str, RunningRequest] = {}
    accounts: SharesState = msgspec.field(default_factory=SharesState)
    drain: DrainState = msgspec.field(default_factory=DrainState)


def get_usage_class(state: AdmissionState, caller: str) -> UsageClass:
    """Return the usage class of a caller."""
    return state.usage_classes.get(caller, UsageClass.ORDINARY)


def list_holders(state: AdmissionState, item: str, *, now: int) -> tuple[str, ...]:
    """Return the servers that a request for an item may go to now.

    Servers in backoff and leaving servers are excluded, unless there are no others.
    """
    names = state.holders.get(item, ())
    usable = tuple(name for name in names if is_usable(state.routing, name, now=now))
    return usable or names


def add_load(
    state: AdmissionState, server: str, *, requests: int, tokens: int, now: int
) -> None:
    """Add requests that begin (positive) or end (negative) to the load on a server."""
    load = state.loads.setdefault(server, ServerLoad())
    add_change(load, requests=requests, tokens=tokens, now=now)
