"""Backend servers that fall over if they have to refuse too many requests.

A brittle server states in its answers how many requests a second it may refuse for want
of room. So it is sent no more requests at a time than it has room for, counted over all
instances: the coordinator keeps one account for each such server, of which instances
ask for a place before they send a request that it has not granted. An instance without
a coordinator uses its share of the server's slots.
"""

import math
import random
from collections.abc import Container, Mapping

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.membership.limit_shares import get_instance_share
from arbutuspulley.membership.unlisted import evict_unlisted

RECHECK_MS = 20
"""Time after which an instance asks again for a place at a full server, in ms."""

SETTLE_MS = 250
"""Time for which no places are given after the coordinator has changed or was lost, in
ms: requests that were admitted before are still in flight. Most take a fifth of
that."""

MAX_HELD_MS = 15_000
"""Time after which a place counts as free, in ms, if its end was never reported."""

GROWTH_INTERVAL_MS = 500
"""Time without a refusal after which a server is trusted with one more request."""

FRACTIONAL_USE = 0.25
"""Part of a share of less than one place that is used: instances use theirs at random,
and must hardly ever use more than all places together."""

MIN_LOCAL_INTERVAL_MS = 100
"""Least interval between two attempts to use a share of less than one place, in ms."""


class Place(State):
    """Permission to have a request in flight at a server.

    :param origin: instance that sends the request.
    :param free_at: when the place counts as free at the latest, in ms.
    """

    origin: str
    free_at: int


class BrittleServer(State):
    """Account of a brittle server.

    :param refusals_per_s: number of requests that it may refuse in a second.
    :param slots: requests that it processes at a time.
    :param room: requests that may be in flight there, learnt from its refusals.
    :param open_at: no place is given before this time, in ms.
    :param grown_at: when the room was last changed, in ms.
    :param places: places that were given, by attempt id.
    """

    refusals_per_s: float
    slots: int
    room: int
    open_at: int = 0
    grown_at: int = 0
    places: dict[str, Place] = msgspec.field(default_factory=dict)


class BrittleLedger:
    """The coordinator's accounts, by server."""

    __slots__ = ("_servers", "_share")

    def __init__(self) -> None:
        self._servers: dict[str, BrittleServer] = {}
        self._share = 1.0

    def reset(
        self, known: Mapping[str, float], slots: Mapping[str, int], *, now: int
    ) -> None:
        """Begin new accounts.

        :param known: refusals a second, by server, that this instance knows.
        :param slots: slots of the listed servers.
        """
        self._servers.clear()
        self._share = 1.0
        for incarnation, refusals_per_s in known.items():
            self.set_brittle(
                incarnation, refusals_per_s, slots=slots.get(incarnation, 1), now=now
            )
            self._servers[incarnation].open_at = now + SETTLE_MS

    def set_brittle(
        self, incarnation: str, refusals_per_s: float | None, *, slots: int, now: int
    ) -> bool:
        """Set whether a server is brittle.

        :param refusals_per_s: ``None``: it is not.
        :return: whether that has changed.
        """
        server = self._servers.get(incarnation)
        if refusals_per_s is None:
            return self._servers.pop(incarnation, None) is not None
        if server is None:
            self._servers[incarnation] = BrittleServer(
                refusals_per_s=refusals_per_s,
                slots=slots,
                room=slots,
                grown_at=now,
            )
            return True
        has_changed = server.refusals_per_s != refusals_per_s
        server.refusals_per_s = refusals_per_s
        return has_changed

    def set_share(self, share: float) -> None:
        """Set the share of each server's room that is given here; the rest belongs to
        instances that are not linked."""
        self._share = share

    def request_place(
        self, incarnation: str, key: str, *, origin: str, now: int
    ) -> int:
        """Ask for a place at a server.

        :param key: attempt id of the request.
        :param origin: instance that sends it.
        :return: 0 if it was given, or if none is needed; otherwise the ms until the
            next attempt may succeed.
        """
        server = self._servers.get(incarnation)
        if server is None:
            return 0
        if now < server.open_at:
            return server.open_at - now
        if now - server.grown_at >= GROWTH_INTERVAL_MS and server.room < server.slots:
            server.room += 1
            server.grown_at = now
        _free_old_places(server, now=now)
        if len(server.places) >= max(1, int(server.room * self._share)):
            return RECHECK_MS
        server.places[key] = Place(origin=origin, free_at=now + MAX_HELD_MS)
        return 0

    def free_place(
        self, incarnation: str, key: str, *, was_refused: bool, now: int
    ) -> None:
        """Free a place.

        :param was_refused: whether the server refused the request. It is then full
            with what is in flight, and a pause keeps it from refusing too many.
        """
        server = self._servers.get(incarnation)
        if server is None:
            return
        server.places.pop(key, None)
        if not was_refused:
            return
        server.room = max(1, min(server.room - 1, len(server.places)))
        server.grown_at = now
        pause_ms = math.ceil(SECOND_MS / max(1.0, server.refusals_per_s))
        server.open_at = max(server.open_at, now + pause_ms)

    def release_instance(self, origin: str, *, now: int) -> None:
        """Free the places of an instance whose link is lost, a little later.

        Its requests may still be in flight.
        """
        for server in self._servers.values():
            for place in server.places.values():
                if place.origin == origin:
                    place.free_at = min(place.free_at, now + SETTLE_MS)

    def list_brittle(self) -> dict[str, float]:
        """Return the refusals a second that brittle servers state, by server."""
        return {name: one.refusals_per_s for name, one in self._servers.items()}

    def evict_unlisted(self, incarnations: Container[str]) -> None:
        """Evict the oldest accounts of servers that are not listed."""
        evict_unlisted(self._servers, incarnations)


def get_local_wait(
    *,
    in_flight: int,
    slots: int,
    share_divisor: float,
    duration_ms: float,
    rng: random.Random,
) -> int:
    """Return when an instance without a coordinator may send a request, in ms from now.

    A share of less than one place is used at times, as often as it is large.

    :param in_flight: its requests in flight at the server.
    :param duration_ms: mean duration of a request there.
    :return: 0: now.
    """
    share = get_instance_share(slots, share_divisor=share_divisor)
    if in_flight < int(share):
        return 0
    if share < 1 and not in_flight and rng.random() < FRACTIONAL_USE * share:
        return 0
    return int(max(MIN_LOCAL_INTERVAL_MS, duration_ms))


def _free_old_places(server: BrittleServer, *, now: int) -> None:
    for key in [key for key, place in server.places.items() if now >= place.free_at]:
        del server.places[key]
