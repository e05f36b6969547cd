"""Inputs and decisions of admission."""

from arbutuspulley.data import Value
from arbutuspulley.results import Code


class Ticket(Value, frozen=True):
    """A request for admission.

    :param weight: weight of the caller's share, relative to other callers.
    :param item: key of the requested item.
    :param cost: estimated token cost.
    :param live: whether the request goes before summaries.
    :param arrived_at: time of arrival, in ms.
    :param deadline: latest time of the first token, in ms.
    """

    request_id: str
    caller: str
    item: str
    cost: int
    arrived_at: int
    deadline: int
    weight: int = 1
    live: bool = True


class Admit(Value, frozen=True):
    """The request may be sent to a server now."""

    request_id: str


class Refuse(Value, frozen=True):
    """The request is refused and must be answered at once, as not run.

    :param retry_after_ms: delay after which a retry is likely to succeed.
    """

    request_id: str
    code: Code
    retry_after_ms: int


Effect = Admit | Refuse
"""A decision on one request, which the caller has to carry out."""
