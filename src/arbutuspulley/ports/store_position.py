"""A position in the history of the platform's store."""

from arbutuspulley.data import Value


class StorePosition(Value, frozen=True, order=True):
    """A position in the history of the store.

    Positions are ordered by era, then by version. A version alone can't be compared: a
    store that comes back from an older copy gives out versions again.

    :param era: rises by one each time the store comes back from a copy; 0: unknown.
    :param version: version of a transaction in that era; 0: before the first.
    """

    era: int = 0
    version: int = 0


NO_POSITION = StorePosition()
"""Before all positions."""
