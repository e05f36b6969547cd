"""What is asked of admission, and what it answers."""

from arbutuspulley.data import Value
from arbutuspulley.results import Code


class Ticket(Value, frozen=True):
    """A request that asks to be admitted.

    :param weight: the caller's part of shared hardware, relative to others.
    :param item: key of the item that must answer.
    :param cost: estimated token cost.
    :param live: whether it goes before summaries.
    :param arrived_at: when it arrived here.
    :param deadline: when its first token is due at the latest.
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
    """The request is given up and must be answered at once, as not run.

    :param retry_after_ms: when coming back will likely help.
    """

    request_id: str
    code: Code
    retry_after_ms: int


Effect = Admit | Refuse
"""What the shell has to do for one request."""
