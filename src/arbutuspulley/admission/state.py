"""What one entry knows about waiting and running requests."""

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

    :param server: the server that it counts at; until ``queue.assign`` the one that
        had room for it.
    """

    ticket: Ticket
    server: str
    admitted_at: int


class AdmissionState(State):
    """State of the aggregate; see :mod:`.queue` for what changes it.

    :param own: address of this entry.
    :param routing: what the entry's choices remember of servers; only read here.
    :param holders: servers that may take an item, by item; see :func:`list_holders`.
    :param limits: what this entry may use of each server.
    :param loads: what it uses of each server.
    :param standings: how callers stand to their shares.
    :param waiting: by request id, in order of arrival.
    :param running: by request id.
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
    """Return how a caller stands to its share."""
    return state.usage_classes.get(caller, UsageClass.ORDINARY)


def list_holders(state: AdmissionState, item: str, *, now: int) -> tuple[str, ...]:
    """Return the servers that a request for an item may go to now.

    Suspects and leaving servers are left out, unless all are.
    """
    names = state.holders.get(item, ())
    usable = tuple(name for name in names if is_usable(state.routing, name, now=now))
    return usable or names


def add_load(
    state: AdmissionState, server: str, *, requests: int, tokens: int, now: int
) -> None:
    """Account for requests that begin (positive) or end (negative) at a server."""
    load = state.loads.setdefault(server, ServerLoad())
    add_change(load, requests=requests, tokens=tokens, now=now)
