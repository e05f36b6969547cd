"""Checks across configuration files: what refers to what, and what is there twice."""

from collections.abc import Iterable, Iterator, Sequence

from arbutuspulley.configuration.schema import Base, Overlay
from arbutuspulley.data import Value
from arbutuspulley.results import Code, ConfigurationError, SettingError
from arbutuspulley.settings import split_address


class OverlaySource(Value, frozen=True):
    """An overlay and the file that it came from."""

    file: str
    overlay: Overlay


class _Place(Value, frozen=True):
    """Where something stands: a file and the path of a key."""

    file: str
    key: str

    def refuse(self, detail: str) -> ConfigurationError:
        return ConfigurationError(
            code=Code.BAD_REFERENCE, detail=detail, file=self.file, key=self.key
        )


def find_reference_errors(
    base: Base, base_file: str, sources: Sequence[OverlaySource]
) -> Iterator[ConfigurationError]:
    """Yield every wrong reference and every double in a set of files."""
    yield from _check_base(base, base_file)
    for source in sources:
        yield from _check_overlay(base, source)
    yield from _check_doubles(sources)


def _check_base(base: Base, file: str) -> Iterator[ConfigurationError]:
    for name, adapter in base.adapters.items():
        place = _Place(file=file, key=f"$.adapters.{name}")
        if name in base.models:
            yield place.refuse("a model has the same name; callers could not tell")
        if adapter.model not in base.models:
            yield place.refuse(f"there is no model {adapter.model!r}")
    callable_names = base.models.keys() | base.adapters.keys()
    for name, caller in base.callers.items():
        place = _Place(file=file, key=f"$.callers.{name}.models")
        for model in caller.models:
            if model not in callable_names:
                yield place.refuse(f"there is no model or adapter {model!r}")
    yield from _find_doubles(
        (
            (caller.key_sha256, _Place(file=file, key=f"$.callers.{name}.key_sha256"))
            for name, caller in base.callers.items()
        ),
        what="the same key",
        is_secret=True,
    )


def _check_overlay(base: Base, source: OverlaySource) -> Iterator[ConfigurationError]:
    overlay = source.overlay
    for name in overlay.models.keys() - base.models.keys():
        place = _Place(file=source.file, key=f"$.models.{name}")
        yield place.refuse("the base file has no such model")
    for name in overlay.callers.keys() - base.callers.keys():
        place = _Place(file=source.file, key=f"$.callers.{name}")
        yield place.refuse("the base file has no such caller")
    for name, service in overlay.services.items():
        place = _Place(file=source.file, key=f"$.services.{name}")
        if not service.addresses:
            yield place.refuse("a service needs at least one address")
        for method in service.repeatable_methods:
            if not method.isupper():
                yield place.refuse(f"{method!r} is no HTTP method in capitals")
    for address, place in (*_list_addresses(source), *_list_services(source)):
        yield from _check_address(address, place)


def _check_address(address: str, place: _Place) -> Iterator[ConfigurationError]:
    try:
        split_address(address)
    except SettingError as error:
        yield place.refuse(error.detail)


def _check_doubles(sources: Sequence[OverlaySource]) -> Iterator[ConfigurationError]:
    """Check what must be there only once across all sites.

    One server under two names would have two memory ledgers, and each would count
    its memory as free while the other fills it.
    """
    yield from _find_doubles(
        (
            (source.overlay.site, _Place(file=source.file, key="$.site"))
            for source in sources
        ),
        what="the same site",
    )
    yield from _find_doubles(
        (
            (name, _Place(file=source.file, key=f"$.servers.{name}"))
            for source in sources
            for name in source.overlay.servers
        ),
        what="the same server name",
    )
    engines = [pair for source in sources for pair in _list_addresses(source)]
    yield from _find_doubles(engines, what="the same address")
    engine_addresses = {address for address, _ in engines}
    for source in sources:
        for address, place in _list_services(source):
            if address in engine_addresses:
                yield place.refuse(f"{address} is also the address of a model engine")


def _list_addresses(source: OverlaySource) -> list[tuple[str, _Place]]:
    return [
        (server.address, _Place(file=source.file, key=f"$.servers.{name}.address"))
        for name, server in source.overlay.servers.items()
    ]


def _list_services(source: OverlaySource) -> list[tuple[str, _Place]]:
    return [
        (address, _Place(file=source.file, key=f"$.services.{name}.addresses"))
        for name, service in source.overlay.services.items()
        for address in service.addresses
    ]


def _find_doubles(
    entries: Iterable[tuple[str, _Place]], *, what: str, is_secret: bool = False
) -> Iterator[ConfigurationError]:
    first: dict[str, _Place] = {}
    for value, place in entries:
        known = first.setdefault(value, place)
        if known is not place:
            shown = "" if is_secret else f" ({value})"
            yield place.refuse(f"{what}{shown} is already at {known.file}: {known.key}")
