"""Checks that the servers have enough memory for a configuration.

These conditions are checked, with sizes that include the KV cache floor:

* Each model with all its adapters fits on one server, and at least as many such servers
  exist as the model has copies.
* All copies fit together, with each copy of a model and its adapters on a different
  server (tried by first-fit and best-fit, largest first).
* In addition, each model can be updated: one server has free memory for a second
  version with its adapters. If a model has one copy and adapters, this must be a
  server other than the model's own, because an adapter cannot be loaded twice on one
  server.

The loss of a server and several changes at a time are not checked; such changes wait
for each other. The planner follows the packing found here when memory is short, but
later changes and losses may leave copies so that a change is blocked. The change is
then reported as blocked, and the previous version keeps serving. The packing is
heuristic: a configuration that uses nearly all memory may be refused although a packing
exists, but a configuration without a packing is never accepted.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence

from arbutuspulley.configuration.lookup import list_configured_items, list_servers
from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import Value
from arbutuspulley.results import Code, ConfigurationError

MAX_RESERVED_SERVERS_TRIED = 8
"""Servers that are tried in turn as the one with memory reserved for an update."""


class Bundle(Value, frozen=True):
    """A model with its adapters, which are loaded on the same server.

    :param size_mib: memory of the model and its adapters together.
    :param needs_other_server: whether an update needs a server other than the model's
        own.
    """

    key: str
    size_mib: int
    copies: int
    needs_other_server: bool


Packing = dict[str, tuple[str, ...]]
"""Keys of the bundles on each server, by server name."""

_Choose = Callable[[Sequence[str], dict[str, int]], str]


def check_fit(configuration: Configuration) -> None:
    """Check that all models fit on the servers, also while one is updated.

    :raises ConfigurationError: with the required and the available memory.
    """
    bundles = list_bundles(configuration)
    if not bundles:
        return
    memory_mib = {
        name: server.memory_mib for name, server in list_servers(configuration).items()
    }
    _check_each_bundle(bundles, memory_mib)
    _check_total(bundles, memory_mib)
    packings = list(_generate_packings(bundles, memory_mib))
    if not packings:
        raise _build_packing_error(bundles, memory_mib)
    for packing in packings:
        if _find_unupdatable(bundles, packing, memory_mib) is None:
            return
    raise _build_update_error(bundles, packings[0], memory_mib)


def find_target_servers(configuration: Configuration) -> dict[str, frozenset[str]]:
    """Return the servers of each model in a packing that leaves memory for updates.

    :return: server names by model key; empty if no packing was found, in which case
        :func:`check_fit` refuses the configuration.
    """
    bundles = list_bundles(configuration)
    memory_mib = {
        name: server.memory_mib for name, server in list_servers(configuration).items()
    }
    for packing in (
        _generate_packings(bundles, memory_mib) if bundles and memory_mib else ()
    ):
        if _find_unupdatable(bundles, packing, memory_mib) is None:
            return {
                bundle.key: frozenset(
                    name for name, keys in packing.items() if bundle.key in keys
                )
                for bundle in bundles
            }
    return {}


def list_bundles(configuration: Configuration) -> list[Bundle]:
    """Return all models with their adapters, largest first."""
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
            needs_other_server=item.copies == 1 and item.key in adapters,
        )
        for item in items.values()
        if not item.base_key
    ]
    return sorted(bundles, key=lambda bundle: (-bundle.size_mib, bundle.key))


def _check_each_bundle(bundles: Iterable[Bundle], memory_mib: dict[str, int]) -> None:
    for bundle in bundles:
        fitting = sum(size >= bundle.size_mib for size in memory_mib.values())
        if fitting >= bundle.copies:
            continue
        largest = max(memory_mib.values(), default=0)
        raise _build_error(
            f"{bundle.key} with its adapters needs {bundle.size_mib} MiB on each of"
            f" {bundle.copies} servers; {fitting} of {len(memory_mib)} servers are that"
            f" large, the largest has {largest} MiB"
        )


def _check_total(bundles: Iterable[Bundle], memory_mib: dict[str, int]) -> None:
    needed = sum(bundle.size_mib * bundle.copies for bundle in bundles)
    total = sum(memory_mib.values())
    if needed > total:
        raise _build_error(
            f"all copies need {needed} MiB, all {len(memory_mib)} servers have"
            f" {total} MiB: {needed - total} MiB too little"
        )


def _generate_packings(
    bundles: Sequence[Bundle], memory_mib: dict[str, int]
) -> Iterator[Packing]:
    """Yield packings, first those with memory reserved for the largest update."""
    largest = bundles[0].size_mib
    by_memory = sorted(memory_mib, key=lambda name: (-memory_mib[name], name))
    reservations: list[tuple[str, int]] = [
        (name, largest)
        for name in by_memory[:MAX_RESERVED_SERVERS_TRIED]
        if memory_mib[name] >= largest
    ]
    reservations.append((by_memory[0], 0))
    for name, reserved in reservations:
        for choose in (_choose_first, _choose_tightest):
            free_mib = {**memory_mib, name: memory_mib[name] - reserved}
            packing = _pack(bundles, free_mib, choose)
            if packing is not None:
                yield packing


def _pack(
    bundles: Iterable[Bundle], memory_mib: dict[str, int], choose: _Choose
) -> Packing | None:
    free_mib = dict(memory_mib)
    packing: Packing = dict.fromkeys(memory_mib, ())
    for bundle in bundles:
        for _ in range(bundle.copies):
            fitting = [
                name
                for name in free_mib
                if free_mib[name] >= bundle.size_mib and bundle.key not in packing[name]
            ]
            if not fitting:
                return None
            name = choose(fitting, free_mib)
            free_mib[name] -= bundle.size_mib
            packing[name] = (*packing[name], bundle.key)
    return packing


def _choose_first(fitting: Sequence[str], free_mib: dict[str, int]) -> str:
    return fitting[0]


def _choose_tightest(fitting: Sequence[str], free_mib: dict[str, int]) -> str:
    return min(fitting, key=lambda name: (free_mib[name], name))


def _compute_free_memory(
    bundles: Iterable[Bundle], packing: Packing, memory_mib: dict[str, int]
) -> dict[str, int]:
    sizes = {bundle.key: bundle.size_mib for bundle in bundles}
    return {
        name: memory_mib[name] - sum(sizes[key] for key in keys)
        for name, keys in packing.items()
    }


def _get_max_update_space(
    bundle: Bundle, packing: Packing, free_mib: dict[str, int]
) -> int:
    """Return the most free memory of a server that can load the next version."""
    candidates = [
        free
        for name, free in free_mib.items()
        if not (bundle.needs_other_server and bundle.key in packing[name])
    ]
    return max(candidates, default=0)


def _find_unupdatable(
    bundles: Sequence[Bundle], packing: Packing, memory_mib: dict[str, int]
) -> Bundle | None:
    free_mib = _compute_free_memory(bundles, packing, memory_mib)
    for bundle in bundles:
        if _get_max_update_space(bundle, packing, free_mib) < bundle.size_mib:
            return bundle
    return None


def _build_packing_error(
    bundles: Sequence[Bundle], memory_mib: dict[str, int]
) -> ConfigurationError:
    """Build the error for the first bundle that first-fit could not place."""
    placed = 0
    while _pack(bundles[: placed + 1], memory_mib, _choose_first) is not None:
        placed += 1
    packing = _pack(bundles[:placed], memory_mib, _choose_first) or {}
    free_mib = _compute_free_memory(bundles, packing, memory_mib)
    bundle = bundles[placed]
    fitting = sum(free >= bundle.size_mib for free in free_mib.values())
    return _build_error(
        f"{bundle.key} with its adapters needs {bundle.size_mib} MiB on each of"
        f" {bundle.copies} servers; with larger models placed, {fitting}"
        f" {'has' if fitting == 1 else 'have'} that much left: the most on one server"
        f" is {max(free_mib.values(), default=0)} MiB, {sum(free_mib.values())} MiB on"
        " all together"
    )


def _build_update_error(
    bundles: Sequence[Bundle], packing: Packing, memory_mib: dict[str, int]
) -> ConfigurationError:
    bundle = _find_unupdatable(bundles, packing, memory_mib) or bundles[0]
    free_mib = _compute_free_memory(bundles, packing, memory_mib)
    available_mib = _get_max_update_space(bundle, packing, free_mib)
    where = "on another server" if bundle.needs_other_server else "on one server"
    return _build_error(
        f"a change of {bundle.key} needs {bundle.size_mib} MiB {where} in addition to"
        f" all loaded models; the most room left is {available_mib} MiB:"
        f" {bundle.size_mib - available_mib} MiB too little"
    )


def _build_error(detail: str) -> ConfigurationError:
    return ConfigurationError(code=Code.DOES_NOT_FIT, detail=detail, key="$.models")
