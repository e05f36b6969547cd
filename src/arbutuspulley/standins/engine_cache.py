"""Prompt prefix cache of the engine stand-in, and the events that it publishes.

Prompts are cached in blocks of words. A cached block is used only if all blocks before
it are cached too. As with real engines, events are published with a delay and some
are lost.
"""

import random
from collections.abc import Sequence

import msgspec
import xxhash

from arbutuspulley.data import State, Value
from arbutuspulley.ports.engines import CacheEvent

BLOCK_WORDS = 16
"""Block size in words; a block is the unit of caching."""

DEFAULT_BLOCKS = 512
"""Default capacity of the cache, in blocks."""

MAX_KEPT_EVENTS = 1_024
"""Maximum number of events kept; a slow reader sees a gap for older ones."""

EVENT_LAG_MS = 250
"""Delay after which an event is published."""

EVENT_LOSS_RATE = 0.02
"""Fraction of events that are never published."""


class _PendingEvent(Value, frozen=True):
    """An event and the time from which it can be read."""

    visible_at: int
    event: CacheEvent


class CacheState(State):
    """The cached blocks and the kept events.

    :param limit: capacity in blocks.
    :param blocks: item by prefix hash, in LRU order (least recently used first).
    :param sequence: sequence number of the last event, including lost events.
    """

    limit: int = DEFAULT_BLOCKS
    blocks: dict[str, str] = msgspec.field(default_factory=dict)
    events: list[_PendingEvent] = msgspec.field(default_factory=list)
    sequence: int = 0


def hash_prefixes(item: str, words: Sequence[str]) -> tuple[str, ...]:
    """Return the hash of each prefix of a prompt that ends at a block boundary."""
    hashes = []
    digest = xxhash.xxh3_64(item.encode())
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        digest.update("\n".join(words[start : start + BLOCK_WORDS]).encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)


def cache_prompt(
    cache: CacheState,
    *,
    item: str,
    words: Sequence[str],
    now: int,
    rng: random.Random,
) -> int:
    """Look up the prefix of a prompt, then cache all blocks of the prompt.

    Evicts the least recently used blocks above the capacity.

    :return: number of words of the prompt that were cached already.
    """
    hashes = hash_prefixes(item, words)
    known = _count_cached(cache, hashes)
    for prefix in hashes:
        was_there = cache.blocks.pop(prefix, None) is not None
        cache.blocks[prefix] = item
        if not was_there:
            _publish(cache, item, prefix, stored=True, now=now, rng=rng)
    while len(cache.blocks) > cache.limit:
        _evict(cache, next(iter(cache.blocks)), now, rng)
    return known * BLOCK_WORDS


def evict_item(cache: CacheState, item: str, *, now: int, rng: random.Random) -> None:
    """Evict all blocks of an item that was unloaded."""
    for prefix in [prefix for prefix, owner in cache.blocks.items() if owner == item]:
        _evict(cache, prefix, now, rng)


def read_events(cache: CacheState, *, after: int, now: int) -> tuple[CacheEvent, ...]:
    """Return the published events with a sequence number above ``after``."""
    return tuple(
        pending.event
        for pending in cache.events
        if pending.event.sequence > after and pending.visible_at <= now
    )


def _count_cached(cache: CacheState, hashes: Sequence[str]) -> int:
    known = 0
    for prefix in hashes:
        if prefix not in cache.blocks:
            break
        known += 1
    return known


def _evict(cache: CacheState, prefix: str, now: int, rng: random.Random) -> None:
    item = cache.blocks.pop(prefix)
    _publish(cache, item, prefix, stored=False, now=now, rng=rng)


def _publish(
    cache: CacheState,
    item: str,
    prefix: str,
    *,
    stored: bool,
    now: int,
    rng: random.Random,
) -> None:
    cache.sequence += 1
    if rng.random() < EVENT_LOSS_RATE:
        return
    event = CacheEvent(sequence=cache.sequence, item=item, prefix=prefix, stored=stored)
    cache.events.append(_PendingEvent(visible_at=now + EVENT_LAG_MS, event=event))
    del cache.events[:-MAX_KEPT_EVENTS]
