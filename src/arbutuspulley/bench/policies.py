"""The policies that are compared, by name.

``arbutuspulley``: callers ask an entry which address to use and go there.

``round-robin``: the plain baseline. Callers know all engines and which copies are
loaded, take them in turn and try three more at once when one fails or refuses. It
has one hop less than the system, and no admission.
"""

import itertools
import random
import threading
from collections.abc import Callable, Mapping, Sequence

import msgspec
import urllib3

from arbutuspulley.adapters.engines import connect_engines
from arbutuspulley.bench.client import (
    VERSION,
    CallerAttempt,
    SendAttempt,
    ask_engine,
    ask_entry,
    read_clock,
)
from arbutuspulley.bench.workloads import Arrival
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.configuration.lookup import build_item_key
from arbutuspulley.data import Message, State

IMMEDIATE_RETRIES = 3
"""Tries that the baseline makes at once after the first."""

DEVICES = 4
"""Devices that callers use; each keeps its own address answers."""

PAUSE_MS = SECOND_MS
"""When a caller that was told no time comes back."""


class Counts(State):
    """What a policy's callers did, besides the tries themselves.

    :param engine_attempts: attempts at engines that the caller made itself.
    """

    engine_attempts: int = 0


class _Addresses(Message, frozen=True):
    addresses: tuple[str, ...] = ()
    lifetime_s: float = 0.0


class _Kept(State):
    addresses: list[str]
    until: float


def build_entry_policy(entries: Sequence[str], *, run: str, seed: int) -> SendAttempt:
    """Return how callers ask through entries.

    :param entries: addresses that every caller was given once.
    """
    pool = urllib3.PoolManager(timeout=2.0, retries=False, maxsize=32)
    kept: dict[tuple[int, str], _Kept] = {}
    chance = random.Random(seed)
    lock = threading.Lock()

    def find(arrival: Arrival) -> _Kept:
        place = (arrival.number % DEVICES, arrival.model)
        with lock:
            known = kept.get(place)
            shuffled = chance.sample(list(entries), len(entries))
        if known and known.addresses and read_clock() < known.until:
            return known
        found = _fetch_addresses(pool, shuffled, arrival.model)
        with lock:
            kept[place] = found
        return found

    def attempt(arrival: Arrival, _tried: int) -> CallerAttempt:
        known = find(arrival)
        address = known.addresses[0]
        one = ask_entry(address, arrival, run=run)
        if one.refused and one.retry_after_ms is None:
            known.addresses = [*known.addresses[1:], address]
            one.retry_after_ms = 0
        return one

    return attempt


def build_round_robin(
    addresses: Sequence[str], *, run: str, counts: Counts
) -> SendAttempt:
    """Return how callers ask engines in turn.

    :param addresses: all engines'.
    """
    engines = connect_engines(connections=64)
    holders: dict[str, list[str]] = {}
    for address in addresses:
        for item in engines.report(address).items:
            holders.setdefault(item.item, []).append(address)
    turns: Mapping[str, Callable[[], str]] = {
        item: _take_turns(known) for item, known in holders.items()
    }

    def attempt(arrival: Arrival, tried: int) -> CallerAttempt:
        item = build_item_key(name=arrival.model, version=VERSION)
        began_at = read_clock()
        for number in range(1 + IMMEDIATE_RETRIES):
            counts.engine_attempts += 1
            name = tried * (1 + IMMEDIATE_RETRIES) + number
            one = ask_engine(engines, turns[item](), arrival, run=run, attempt=name)
            one.began_at = began_at
            if one.whole:
                break
        one.retry_after_ms = None if one.whole else PAUSE_MS
        return one

    return attempt


def _take_turns(addresses: Sequence[str]) -> Callable[[], str]:
    turns = itertools.cycle(addresses)
    lock = threading.Lock()

    def take() -> str:
        with lock:
            return next(turns)

    return take


def _fetch_addresses(
    pool: urllib3.PoolManager, entries: Sequence[str], model: str
) -> _Kept:
    for entry in entries:
        url = f"http://{entry}/v1/addresses?model={model}"
        try:
            reply = pool.request("GET", url)
            told = msgspec.json.decode(reply.data, type=_Addresses)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            continue
        if reply.status == 200 and told.addresses:
            until = read_clock() + told.lifetime_s * SECOND_MS
            return _Kept(addresses=list(told.addresses), until=until)
    return _Kept(addresses=list(entries), until=0.0)
