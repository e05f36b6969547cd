"""The era of the platform's store, as one process knows it.

The store begins a new era each time it comes back from an older copy of its data. It
gives out again the versions that the copy lacks, so that a version identifies a write
only together with its era.
"""

import re
from collections.abc import Callable

from arbutuspulley.events import Event, log_event

UNKNOWN_ERA = 0
"""Era of a store that has stated none."""

_ERA = re.compile(r"\d{1,9}", re.ASCII)


class StoreEra:
    """The latest era that the store has stated in an answer.

    :param on_change: called with the era when it becomes known and when it changes.
    """

    __slots__ = ("_known", "_on_change", "_refused")

    def __init__(self, *, on_change: Callable[[int], None] = lambda _era: None) -> None:
        self._on_change = on_change
        self._known: int | None = None
        self._refused: str | None = None

    @property
    def current(self) -> int:
        """The latest known era; :data:`UNKNOWN_ERA` if none has been stated."""
        return UNKNOWN_ERA if self._known is None else self._known

    def update(self, stated: str | None, *, called_in: int) -> int:
        """Update the era from an answer of the store.

        An answer without a usable era belongs to the era in which the call was made. So
        does one that states an earlier era: the store never returns to one.

        :param stated: value of the answer's header; ``None`` if it has none.
        :param called_in: latest known era when the call was made.
        :return: era of the answer. It is below :attr:`current` if the answer was
            overtaken by one of a later era.
        """
        if stated is None and self._known is None:
            return UNKNOWN_ERA
        era = _parse(stated)
        if era is None or era < called_in:
            self._refuse(stated)
            return called_in
        self._refused = None
        if self._known is None or era > self._known:
            if self._known is not None:
                log_event(Event.STORE_ERA_CHANGED, before=self._known, now=era)
            self._known = era
            self._on_change(era)
        return era

    def _refuse(self, stated: str | None) -> None:
        """Log an era that can't be used, once until a usable one arrives."""
        shown = "(none)" if stated is None else stated[:20]
        if shown != self._refused:
            self._refused = shown
            log_event(Event.STORE_ERA_REFUSED, stated=shown, known=self.current)


def _parse(stated: str | None) -> int | None:
    if stated is None or _ERA.fullmatch(stated) is None:
        return None
    return int(stated)
