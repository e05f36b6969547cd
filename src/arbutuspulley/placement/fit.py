"""Whether the servers can hold everything that a configuration asks for.

What is checked, with sizes that include the KV cache floor:

* each model with all its adapters fits on one server, and there are as many servers
  as it has copies;
* all copies fit together, each copy of a model with its adapters on a server of its
  own (tried by first-fit and by best-fit, largest first);
* beside all that, each model can be changed: one server has room for a second version
  with its adapters. If a model has one copy and adapters, it must be another server
  than its own, because an adapter cannot be loaded twice on one server.

What is not checked: the loss of a server, and several changes at a time; those wait
for each other. The planner follows the packing found here when memory is short, but
later changes and losses may leave copies so that a change is blocked; it is then told
as such, and the former version keeps answering. The packing is heuristic, so a
configuration that uses nearly all memory may be refused although a packing exists; it
is never the other way round.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence

from arbutuspulley.configuration.lookup import list_configured_items, list_servers
from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import Value
from arbutuspulley.results import Code, ConfigurationError

MAX_TRIED_ROOMS = 8
"""Servers that are tried as the one kept free for a change."""


class Bundle(Value, frozen=True):
    """A model with its adapters, which go to the same server.

    :param alone: whether a change needs another server than the model's own.
    """

    key: str
    size_mib: int
    copies: int
    alone: bool


Packing = dict[str, tuple[str, ...]]
"""The bundles on each server."""

_Choose = Callable[[Sequence[str], dict[str, int]], str]


def check_fit(configuration: Configuration) -> None:
    """Refuse a configuration that cannot hold every model at its peak.

    :raises ConfigurationError: with the sum that does not fit.
    """
    bundles = list_bundles(configuration)
    if not bundles:
        return
    rooms = {
        name: server.memory_mib for name, server in list_servers(configuration).items()
    }
    _check_singly(bundles, rooms)
    _check_sum(bundles, rooms)
    packings = list(_pack_variously(bundles, rooms))
    if not packings:
        raise _explain_packing(bundles, rooms)
    for packing in packings:
        if _find_unchangeable(bundles, packing, rooms) is None:
            return
    raise _explain_change(bundles, packings[0], rooms)


def find_homes(configuration: Configuration) -> dict[str, frozenset[str]]:
    """Return where each model is to be, by its key, in a packing that can be changed.

    Empty if none was found; then the configuration is one that would be refused.
    """
    bundles = list_bundles(configuration)
    rooms = {
        name: server.memory_mib for name, server in list_servers(configuration).items()
    }
    for packing in _pack_variously(bundles, rooms) if bundles and rooms else ():
        if _find_unchangeable(bundles, packing, rooms) is None:
            return {
                bundle.key: frozenset(
                    name for name, keys in packing.items() if bundle.key in keys
                )
                for bundle in bundles
            }
    return {}


def list_bundles(configuration: Configuration) -> list[Bundle]:
    """Return all models with their adapters, the largest first."""
    items = list_configured_items(configuration)
    adapters: dict[str, int] = {}
    for item in items.values():
        if item.base_key:
            adapters[item.base_key] = adapters.get(item.base_key, 0) + item.memory_mib
    bundles = [
        Bundle(
            key=item.key,
            size_mib=item.memory_mib + adapters.get(item.key, 0),
            copies=item.copies,
            alone=item.copies == 1 and item.key in adapters,
        )
        for item in items.values()
        if not item.base_key
    ]
    return sorted(bundles, key=lambda bundle: (-bundle.size_mib, bundle.key))


def _check_singly(bundles: Iterable[Bundle], rooms: dict[str, int]) -> None:
    for bundle in bundles:
        fitting = sum(room >= bundle.size_mib for room in rooms.values())
        if fitting >= bundle.copies:
            continue
        largest = max(rooms.values(), default=0)
        raise _refuse(
            f"{bundle.key} with its adapters needs {bundle.size_mib} MiB on each of"
            f" {bundle.copies} servers; {fitting} of {len(rooms)} servers are that"
            f" large, the largest has {largest} MiB"
        )


def _check_sum(bundles: Iterable[Bundle], rooms: dict[str, int]) -> None:
    needed = sum(bundle.size_mib * bundle.copies for bundle in bundles)
    total = sum(rooms.values())
    if needed > total:
        raise _refuse(
            f"all copies need {needed} MiB, all {len(rooms)} servers have {total} MiB:"
            f" {needed - total} MiB too little"
        )


def _pack_variously(
    bundles: Sequence[Bundle], rooms: dict[str, int]
) -> Iterator[Packing]:
    """Yield packings, at first with room for the largest change kept free somewhere."""
    largest = bundles[0].size_mib
    by_room = sorted(rooms, key=lambda name: (-rooms[name], name))
    kept: list[tuple[str, int]] = [
        (name, largest) for name in by_room[:MAX_TRIED_ROOMS] if rooms[name] >= largest
    ]
    kept.append((by_room[0], 0))
    for name, reserved in kept:
        for choose in (_choose_first, _choose_tightest):
            left = {**rooms, name: rooms[name] - reserved}
            packing = _pack(bundles, left, choose)
            if packing is not None:
                yield packing


def _pack(
    bundles: Iterable[Bundle], rooms: dict[str, int], choose: _Choose
) -> Packing | None:
    left = dict(rooms)
    packing: Packing = dict.fromkeys(rooms, ())
    for bundle in bundles:
        for _ in range(bundle.copies):
            fitting = [
                name
                for name in left
                if left[name] >= bundle.size_mib and bundle.key not in packing[name]
            ]
            if not fitting:
                return None
            name = choose(fitting, left)
            left[name] -= bundle.size_mib
            packing[name] = (*packing[name], bundle.key)
    return packing


def _choose_first(fitting: Sequence[str], left: dict[str, int]) -> str:
    return fitting[0]


def _choose_tightest(fitting: Sequence[str], left: dict[str, int]) -> str:
    return min(fitting, key=lambda name: (left[name], name))


def _measure_left(
    bundles: Iterable[Bundle], packing: Packing, rooms: dict[str, int]
) -> dict[str, int]:
    sizes = {bundle.key: bundle.size_mib for bundle in bundles}
    return {
        name: rooms[name] - sum(sizes[key] for key in keys)
        for name, keys in packing.items()
    }


def _measure_change_room(bundle: Bundle, packing: Packing, left: dict[str, int]) -> int:
    """Return the most room on a server that may take the bundle's next version."""
    rooms = [
        room
        for name, room in left.items()
        if not (bundle.alone and bundle.key in packing[name])
    ]
    return max(rooms, default=0)


def _find_unchangeable(
    bundles: Sequence[Bundle], packing: Packing, rooms: dict[str, int]
) -> Bundle | None:
    left = _measure_left(bundles, packing, rooms)
    for bundle in bundles:
        if _measure_change_room(bundle, packing, left) < bundle.size_mib:
            return bundle
    return None


def _explain_packing(
    bundles: Sequence[Bundle], rooms: dict[str, int]
) -> ConfigurationError:
    """Say which bundle found no room, with what first-fit left over."""
    placed = 0
    while _pack(bundles[: placed + 1], rooms, _choose_first) is not None:
        placed += 1
    packing = _pack(bundles[:placed], rooms, _choose_first) or {}
    left = _measure_left(bundles, packing, rooms)
    bundle = bundles[placed]
    fitting = sum(room >= bundle.size_mib for room in left.values())
    return _refuse(
        f"{bundle.key} with its adapters needs {bundle.size_mib} MiB on each of"
        f" {bundle.copies} servers; beside what is larger, {fitting}"
        f" {'has' if fitting == 1 else 'have'} that much left: the most on one server"
        f" is {max(left.values(), default=0)} MiB, {sum(left.values())} MiB on all"
        " together"
    )


def _explain_change(
    bundles: Sequence[Bundle], packing: Packing, rooms: dict[str, int]
) -> ConfigurationError:
    bundle = _find_unchangeable(bundles, packing, rooms) or bundles[0]
    left = _measure_left(bundles, packing, rooms)
    room = _measure_change_room(bundle, packing, left)
    where = "on another server" if bundle.alone else "on one server"
    return _refuse(
        f"a change of {bundle.key} needs {bundle.size_mib} MiB {where} beside all that"
        f" is loaded; the most room left is {room} MiB:"
        f" {bundle.size_mib - room} MiB too little"
    )


def _refuse(detail: str) -> ConfigurationError:
    return ConfigurationError(code=Code.DOES_NOT_FIT, detail=detail, key="$.models")
