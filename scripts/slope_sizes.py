"""Slopes of configurations, rows and views at sizes that cannot be started here."""

import zlib

import msgspec

from arbutuspulley.configuration import schema
from arbutuspulley.configuration.changes import Change
from arbutuspulley.configuration.difference import build_delta, compute_digest
from arbutuspulley.configuration.force import ForceState, apply_changes, offer
from arbutuspulley.entry.index import build_index
from arbutuspulley.rpc.messages import View
from scripts import slope_groups as groups
from scripts.slope_calls import (
    CALLS,
    Sample,
    build_slopes,
    measure_memory,
    time_call,
    time_once,
)
from scripts.slope_figures import Figure
from scripts.slope_groups import Size

MODELS = (100, 400, 1_400)
SERVERS = (100, 1_000, 5_200)
SITES = 9
COPIES = 3
"""Items that each server holds."""


def measure_sizes() -> list[Figure]:
    """Call the product's functions at three sizes each."""
    return [*_measure_models(), *_measure_fleet(), *_measure_servers()]


def _measure_models() -> list[Figure]:
    """What a model more in the configuration of one site costs."""
    units = {
        "snapshot_bytes": "bytes a model and site",
        "snapshot_packed_bytes": "bytes a model and site, compressed",
        "memory": "KiB a model and site",
        "change_cpu": "ms a change, a model and site",
        "index_cpu": "ms a change at an entry, a model",
    }
    samples = []
    for count in MODELS:
        configuration = groups.build_configuration(servers=10, models=count, callers=10)
        values = _measure_configuration(configuration)
        values["index_cpu"] = time_call(_build_index, configuration)
        samples.append(Sample(size=count, values=values))
    return build_slopes("configuration", units, samples)


def _measure_fleet() -> list[Figure]:
    """The configuration of 9 sites that all have all models, servers in proportion."""
    unit = "a model and site; 9 sites, 0.41 servers each"
    units = {
        "snapshot_bytes": f"bytes, {unit}",
        "snapshot_packed_bytes": f"bytes compressed, {unit}",
        "memory": f"KiB, {unit}",
        "change_cpu": f"ms a change, {unit}",
    }
    samples = []
    for count in MODELS:
        servers = SERVERS[-1] * count // MODELS[-1]
        configuration = groups.build_configuration(
            servers=servers, models=count, sites=SITES
        )
        values = _measure_configuration(configuration)
        samples.append(Sample(size=SITES * count, values=values))
    return build_slopes("fleet", units, samples)


def _measure_configuration(configuration: schema.Configuration) -> dict[str, float]:
    data = msgspec.json.encode(configuration, order="sorted")
    return {
        "snapshot_bytes": len(data),
        "snapshot_packed_bytes": len(zlib.compress(data)),
        "memory": measure_memory(_decode_configuration, data),
        "change_cpu": _time_change(configuration),
    }


def _measure_servers() -> list[Figure]:
    """What a server more costs in rows, configuration and View."""
    copies = f"a server with {COPIES} copies"
    units = {
        "rows_bytes": f"bytes, {copies}",
        "rows_memory": f"KiB, {copies}",
        "rows_cpu": f"ms at the first read, {copies}",
        "configuration_memory": "KiB a server",
        "view_bytes": f"bytes, {copies}",
        "view_memory": f"KiB, {copies}",
        "view_encode_cpu": f"ms, {copies}",
        "view_decode_cpu": f"ms, {copies}",
    }
    samples = []
    for count in SERVERS:
        size = Size(nodes=40, servers=count, models=COPIES * count)
        samples.append(Sample(size=count, values=_measure_group(size)))
    return build_slopes("server", units, samples)


def _measure_group(size: Size) -> dict[str, float]:
    rows = groups.build_rows(size)
    configuration = groups.build_configuration(
        servers=size.servers, models=10, callers=10
    )
    view = View(
        number=1,
        ready=True,
        store_up=True,
        configuration=schema.EMPTY,
        servers=tuple(groups.build_summary(size, one) for one in range(size.servers)),
    )
    packed = msgspec.msgpack.encode(view)
    data = msgspec.json.encode(configuration)
    return {
        "rows_bytes": sum(len(row.key) + len(row.value) for row in rows),
        "rows_memory": measure_memory(groups.build_rows_state, rows),
        "rows_cpu": time_call(groups.build_rows_state, rows),
        "configuration_memory": measure_memory(_decode_configuration, data),
        "view_bytes": len(packed),
        "view_memory": measure_memory(decode_view, packed),
        "view_encode_cpu": time_call(msgspec.msgpack.encode, view),
        "view_decode_cpu": time_call(decode_view, packed),
    }


def decode_view(packed: bytes) -> View:
    """Return a view as an entry decodes it."""
    return msgspec.msgpack.decode(packed, type=View)


def _build_change(configuration: schema.Configuration) -> Change:
    """Return a change of one model, as an operator's approval leaves it."""
    name = next(iter(configuration.sites[groups.SITE].models))
    sites = {}
    for key, site in configuration.sites.items():
        model = msgspec.structs.replace(site.models[name], version="next")
        models = {**site.models, name: model}
        sites[key] = msgspec.structs.replace(site, models=models)
    result = msgspec.structs.replace(configuration, version=2, sites=sites)
    return Change(
        version=2,
        base_version=1,
        proposal="0" * 16,
        approver="ayu",
        digest=compute_digest(result),
        delta=build_delta(configuration, result),
    )


def _time_change(configuration: schema.Configuration) -> float:
    """Return the time to bring an accepted change of one model into force."""
    change = _build_change(configuration)
    times: list[float] = []
    for _ in range(CALLS):
        state = ForceState()
        offer(state, configuration)
        times.append(time_once(apply_changes, state, (change,)))
        if state.configuration.version != change.version:
            raise AssertionError("the change did not come into force")
    return min(times)


def _build_index(configuration: schema.Configuration) -> object:
    return build_index(configuration, site=groups.SITE)


def _decode_configuration(data: bytes) -> schema.Configuration:
    return msgspec.json.decode(data, type=schema.Configuration)
