"""Parties of a simulation: processes that are killed, frozen and woken."""

import contextvars
from collections.abc import Callable
from typing import Any

_PARTY: contextvars.ContextVar["Party"] = contextvars.ContextVar("party")

Deferred = tuple[Callable[..., object], tuple[Any, ...], contextvars.Context]


class Party:
    """One simulated process. Its callbacks run in a context that names it.

    :ivar is_dead: whether it was killed; nothing of it runs any more.
    :ivar is_frozen: whether it is suspended; what is due waits until it is woken.
    :ivar clock_offset_s: how far its clocks are ahead of the simulation's, in s.
    :ivar deferred: callbacks that were due while it was frozen, in order.
    :ivar signal_handlers: functions to call for signals, by signal number.
    """

    __slots__ = (
        "clock_offset_s",
        "deferred",
        "is_dead",
        "is_frozen",
        "name",
        "signal_handlers",
    )

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.is_dead = False
        self.is_frozen = False
        self.clock_offset_s = 0.0
        self.deferred: list[Deferred] = []
        self.signal_handlers: dict[int, Callable[[], object]] = {}

    def build_context(self) -> contextvars.Context:
        """Return a context in which callbacks belong to this party."""
        context = contextvars.copy_context()
        context.run(_PARTY.set, self)
        return context


def get_party(context: contextvars.Context | None = None) -> Party | None:
    """Return the party that a context, or the current one, belongs to."""
    if context is None:
        return _PARTY.get(None)
    return context.get(_PARTY)
