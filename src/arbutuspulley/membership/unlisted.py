"""Eviction of state about servers that are not registered any more."""

from collections.abc import Container
from typing import TypeVar

MAX_UNLISTED = 50
"""Largest number of servers without an entry whose state is kept: an entry may lapse
while its server is alive, and be written again."""

T = TypeVar("T")


def evict_unlisted(by_incarnation: dict[str, T], listed: Container[str]) -> None:
    """Evict the oldest items of servers that are not listed.

    :param by_incarnation: items by incarnation, oldest first.
    :param listed: incarnations of listed servers, whose items are kept.
    """
    unlisted = [name for name in by_incarnation if name not in listed]
    for name in unlisted[:-MAX_UNLISTED]:
        del by_incarnation[name]
