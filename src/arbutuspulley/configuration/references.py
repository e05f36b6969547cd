"""Checks across configuration files: unresolved references and duplicates."""

from collections.abc import Iterable, Iterator, Sequence

from arbutuspulley.configuration.schema import Base, Overlay
from arbutuspulley.data import Value
from arbutuspulley.results import Code, ConfigurationError, SettingError
from arbutuspulley.settings import split_address


class OverlaySource(Value, frozen=True):
    """An overlay and the name of its file."""

    file: str
    overlay: Overlay


class _Location(Value, frozen=True):
    """The location of a value: a file and the path of a key."""

    file: str
    key: str

    def build_error(self, detail: str) -> ConfigurationError:
        return ConfigurationError(
            code=Code.BAD_REFERENCE, detail=detail, file=self.file, key=self.key
        )


def find_reference_errors(
    base: Base, base_file: str, sources: Sequence[OverlaySource]
) -> Iterator[ConfigurationError]:
    """Yield all invalid references and all duplicates in a set of files."""
    yield from _check_base(base, base_file)
    for source in sources:
        yield from _check_overlay(base, source)
    yield from _check_duplicates(sources)


def _check_base(base: Base, file: str) -> Iterator[ConfigurationError]:
    for name, adapter in base.adapters.items():
        location = _Location(file=file, key=f"$.adapters.{name}")
        if name in base.models:
            yield location.build_error(
                "a model has the same name; names of models and adapters must be unique"
            )
        if adapter.model not in base.models:
            yield location.build_error(f"there is no model {adapter.model!r}")
    callable_names = base.models.keys() | base.adapters.keys()
    for name, caller in base.callers.items():
        location = _Location(file=file, key=f"$.callers.{name}.models")
        for model in caller.models:
            if model not in callable_names:
                yield location.build_error(f"there is no model or adapter {model!r}")
    yield from _find_duplicates(
        (
            (
                caller.key_sha256,
                _Location(file=file, key=f"$.callers.{name}.key_sha256"),
            )
            for name, caller in base.callers.items()
        ),
        what="the same key",
        is_secret=True,
    )


def _check_overlay(base: Base, source: OverlaySource) -> Iterator[ConfigurationError]:
    overlay = source.overlay
    for name in overlay.models.keys() - base.models.keys():
        location = _Location(file=source.file, key=f"$.models.{name}")
        yield location.build_error("the base file has no such model")
    for name in overlay.callers.keys() - base.callers.keys():
        location = _Location(file=source.file, key=f"$.callers.{name}")
        yield location.build_error("the base file has no such caller")
    for name, service in overlay.services.items():
        location = _Location(file=source.file, key=f"$.services.{name}")
        if not service.addresses:
            yield location.build_error("a service needs at least one address")
        for method in service.repeatable_methods:
            if not method.isupper():
                yield location.build_error(
                    f"{method!r} is not an upper-case HTTP method"
                )
    for address, location in (
        *_list_server_addresses(source),
        *_list_service_addresses(source),
    ):
        yield from _check_address(address, location)


def _check_address(address: str, location: _Location) -> Iterator[ConfigurationError]:
    try:
        split_address(address)
    except SettingError as error:
        yield location.build_error(error.detail)


def _check_duplicates(sources: Sequence[OverlaySource]) -> Iterator[ConfigurationError]:
    """Check for values that must be unique across all sites.

    A server listed under two names would have two memory ledgers, and each would treat
    as free the memory that the other one assigns.
    """
    yield from _find_duplicates(
        (
            (source.overlay.site, _Location(file=source.file, key="$.site"))
            for source in sources
        ),
        what="the same site",
    )
    yield from _find_duplicates(
        (
            (name, _Location(file=source.file, key=f"$.servers.{name}"))
            for source in sources
            for name in source.overlay.servers
        ),
        what="the same server name",
    )
    engines = [pair for source in sources for pair in _list_server_addresses(source)]
    yield from _find_duplicates(engines, what="the same address")
    engine_addresses = {address for address, _ in engines}
    for source in sources:
        for address, location in _list_service_addresses(source):
            if address in engine_addresses:
                yield location.build_error(
                    f"{address} is also the address of a model engine"
                )


def _list_server_addresses(source: OverlaySource) -> list[tuple[str, _Location]]:
    return [
        (server.address, _Location(file=source.file, key=f"$.servers.{name}.address"))
        for name, server in source.overlay.servers.items()
    ]


def _list_service_addresses(source: OverlaySource) -> list[tuple[str, _Location]]:
    return [
        (address, _Location(file=source.file, key=f"$.services.{name}.addresses"))
        for name, service in source.overlay.services.items()
        for address in service.addresses
    ]


def _find_duplicates(
    entries: Iterable[tuple[str, _Location]], *, what: str, is_secret: bool = False
) -> Iterator[ConfigurationError]:
    first: dict[str, _Location] = {}
    for value, location in entries:
        known = first.setdefault(value, location)
        if known is not location:
            shown = "" if is_secret else f" ({value})"
            yield location.build_error(
                f"{what}{shown} is already used at {known.file}: {known.key}"
            )
