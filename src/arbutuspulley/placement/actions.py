"""What a plan consists of."""

from arbutuspulley.configuration.lookup import Item
from arbutuspulley.data import Value


class Load(Value, frozen=True):
    """Load an item into a server's memory.

    :param item: what to load, as :func:`.ledger.add_load_intent` takes it.
    """

    server: str
    item: Item


class Unload(Value, frozen=True):
    """Unload an item from a server.

    :param item: its key.
    :param min_copies: copies that must answer elsewhere, as
        :func:`.transactions.build_unload_intent` takes it.
    :param successor: the item that replaces it and must answer; empty if none.
    """

    server: str
    item: str
    min_copies: int = 1
    successor: str = ""


class Blocked(Value, frozen=True):
    """An item that has nowhere to go.

    :param item: its key.
    :param detail: the sum that does not fit.
    """

    item: str
    detail: str


Action = Load | Unload | Blocked
"""One step of a plan. The loads of a plan are ranked by their sequence."""
