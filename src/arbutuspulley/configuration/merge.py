"""Merging of a base file and site overlays into one configuration."""

from collections.abc import Callable, Iterator, Sequence
from functools import partial
from typing import TypeVar

import msgspec

from arbutuspulley.configuration.canonical import normalize
from arbutuspulley.configuration.files import (
    FilesError,
    SourceFile,
    parse_document,
    raise_errors,
)
from arbutuspulley.configuration.references import OverlaySource, find_reference_errors
from arbutuspulley.configuration.schema import (
    Base,
    Caller,
    CallerOverlay,
    Configuration,
    Model,
    ModelOverlay,
    Overlay,
    Site,
)
from arbutuspulley.data import Value
from arbutuspulley.results import Code, ConfigurationError

_Document = TypeVar("_Document", Base, Overlay)

MAX_OVERLAYS = 64
"""Maximum number of overlays in one set of files."""


class FileSet(Value, frozen=True):
    """The base file and the overlays of one proposal."""

    base: SourceFile
    overlays: tuple[SourceFile, ...]


def parse_base(text: str, *, file: str) -> Base:
    """Parse a base file.

    :param file: name of the file, for error messages.
    :raises FilesError: with all problems of the file.
    """
    return parse_document(SourceFile(name=file, text=text), Base)


def parse_overlay(text: str, *, file: str) -> Overlay:
    """Parse the overlay of a site.

    :param file: name of the file, for error messages.
    :raises FilesError: with all problems of the file.
    """
    return parse_document(SourceFile(name=file, text=text), Overlay)


def merge_files(files: FileSet, *, version: int) -> Configuration:
    """Parse and merge a set of files.

    :param version: version number of the result.
    :raises FilesError: with all problems of all files; references between files are
        checked only if every file can be parsed.
    """
    errors = list(_count_overlays(files))
    base = _collect(partial(parse_base, files.base.text, file=files.base.name), errors)
    overlays = [
        _collect(partial(parse_overlay, file.text, file=file.name), errors)
        for file in files.overlays
    ]
    raise_errors(errors)
    return merge(
        base or Base(),
        [overlay for overlay in overlays if overlay is not None],
        version=version,
        base_file=files.base.name,
        overlay_files=[file.name for file in files.overlays],
    )


def merge(
    base: Base,
    overlays: Sequence[Overlay],
    *,
    version: int,
    base_file: str = "base",
    overlay_files: Sequence[str] = (),
) -> Configuration:
    """Apply each overlay to the base.

    :param version: version number of the result.
    :param base_file: name of the base file, for error messages.
    :param overlay_files: names of the overlay files, in the order of ``overlays``.
    :raises FilesError: with all unresolved references and all duplicate names,
        addresses and keys.
    """
    names = overlay_files or [f"overlay of {overlay.site}" for overlay in overlays]
    sources = [
        OverlaySource(file=name, overlay=overlay)
        for name, overlay in zip(names, overlays, strict=True)
    ]
    raise_errors(list(find_reference_errors(base, base_file, sources)))
    merged = Configuration(
        version=version,
        weight_store=base.weight_store,
        policy=base.policy,
        sites={overlay.site: _merge_site(base, overlay) for overlay in overlays},
    )
    result: Configuration = normalize(merged)
    return result


def _collect(
    parse: Callable[[], _Document], errors: list[ConfigurationError]
) -> _Document | None:
    """Return the parsed document, or add its problems to ``errors``."""
    try:
        return parse()
    except FilesError as refused:
        errors.extend(refused.list_errors())
        return None


def _count_overlays(files: FileSet) -> Iterator[ConfigurationError]:
    count = len(files.overlays)
    if not 0 < count <= MAX_OVERLAYS:
        yield ConfigurationError(
            code=Code.BAD_REFERENCE,
            detail=f"{count} overlays given, from 1 to {MAX_OVERLAYS} are allowed",
        )


def _merge_site(base: Base, overlay: Overlay) -> Site:
    return Site(
        models={
            name: _merge_model(model, overlay.models.get(name))
            for name, model in base.models.items()
        },
        adapters=base.adapters,
        callers={
            name: _merge_caller(caller, overlay.callers.get(name))
            for name, caller in base.callers.items()
        },
        servers=overlay.servers,
        services=overlay.services,
    )


def _merge_model(model: Model, changes: ModelOverlay | None) -> Model:
    if changes is None:
        return model
    return msgspec.structs.replace(
        model,
        copies=model.copies if changes.copies is None else changes.copies,
        target=model.target if changes.target is None else changes.target,
    )


def _merge_caller(caller: Caller, changes: CallerOverlay | None) -> Caller:
    if changes is None:
        return caller
    return msgspec.structs.replace(
        caller,
        weight=caller.weight if changes.weight is None else changes.weight,
        live=caller.live if changes.live is None else changes.live,
    )
