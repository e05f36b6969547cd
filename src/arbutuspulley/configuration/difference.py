"""Differences between two configurations, as readable text and as deltas.

:class:`Difference` is for display: API keys are hidden and equal differences of several
sites are merged into one. :class:`Delta` is stored and sent: it turns the old
configuration into exactly the new one; :mod:`.patch` applies it.
"""

import enum
import hashlib
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from arbutuspulley.configuration.schema import Configuration, Site
from arbutuspulley.data import Message, Value

HIDDEN = "(hidden)"
"""Shown instead of the hash of an API key."""

MAX_SHOWN_CHARACTERS = 400
"""Maximum length of a value shown in a difference; longer ones are truncated."""

_HIDDEN_FIELDS = frozenset({"key_sha256"})
_VERSION_PATH = ("version",)
_SITES = "sites"

Path = tuple[str, ...]
"""Names of fields and mapping keys from the root of a configuration to a value."""


class Edit(Message, frozen=True):
    """One edit of a delta: sets or removes the value at a path."""

    path: Path
    value: Any = None
    removed: bool = False


class Delta(Message, frozen=True):
    """All edits from one configuration to another, version number included."""

    edits: tuple[Edit, ...] = ()


class DifferenceKind(enum.StrEnum):
    """How a value differs between two configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(Message, frozen=True):
    """One difference, for display.

    :param path: dotted path; within a site it is relative to the site.
    :param before: the old value as text, empty if there was none.
    :param after: the new value as text, empty if there is none.
    :param sites: the sites that have this difference; empty outside sites.
    """

    kind: DifferenceKind
    path: str
    before: str = ""
    after: str = ""
    sites: tuple[str, ...] = ()

    def show(self) -> str:
        """Return the difference as one line."""
        where = f" (at {', '.join(self.sites)})" if self.sites else ""
        if self.kind is DifferenceKind.ADDED:
            return f"+ {self.path}: {self.after}{where}"
        if self.kind is DifferenceKind.REMOVED:
            return f"- {self.path}: {self.before}{where}"
        return f"~ {self.path}: {self.before} -> {self.after}{where}"


class _ValueChange(Value, frozen=True):
    kind: DifferenceKind
    path: Path
    before: Any = None
    after: Any = None


def compute_digest(configuration: Configuration) -> str:
    """Return the hex SHA-256 of a configuration, version number included.

    The digest does not depend on the order of names. The configuration must come from
    files, from a delta or from its encoding, so that it is in canonical form; see
    :mod:`.canonical`.
    """
    encoded = msgspec.json.encode(configuration, order="sorted")
    return hashlib.sha256(encoded).hexdigest()


def build_delta(old: Configuration, new: Configuration) -> Delta:
    """Return the delta that turns ``old`` into ``new``."""
    return Delta(edits=tuple(_build_edit(change) for change in _walk(old, new, ())))


def compare(old: Configuration, new: Configuration) -> tuple[Difference, ...]:
    """Return the differences for display, without that of the version numbers."""
    return (*_compare_sites(old, new), *_compare_content(old, new))


def has_same_content(old: Configuration, new: Configuration) -> bool:
    """Return whether two configurations differ at most in their version."""
    return msgspec.structs.replace(old, version=new.version) == new


def _compare_sites(old: Configuration, new: Configuration) -> Iterator[Difference]:
    for name in sorted(old.sites.keys() ^ new.sites.keys()):
        path = f"{_SITES}.{name}"
        if name in new.sites:
            shown = _count_parts(new.sites[name])
            yield Difference(kind=DifferenceKind.ADDED, path=path, after=shown)
        else:
            shown = _count_parts(old.sites[name])
            yield Difference(kind=DifferenceKind.REMOVED, path=path, before=shown)


def _count_parts(site: Site) -> str:
    return (
        f"{len(site.models)} models, {len(site.adapters)} adapters, "
        f"{len(site.callers)} callers, {len(site.servers)} servers, "
        f"{len(site.services)} services"
    )


def _compare_content(old: Configuration, new: Configuration) -> tuple[Difference, ...]:
    """Compare value by value; a site missing on one side is compared as empty."""
    merged: dict[tuple[DifferenceKind, str, str, str], list[str]] = {}
    names = old.sites.keys() | new.sites.keys()
    for change in _walk(_fill_sites(old, names), _fill_sites(new, names), ()):
        if change.path == _VERSION_PATH:
            continue
        site, path = _split_site_path(change.path)
        key = (change.kind, ".".join(path), *_show_values(change))
        merged.setdefault(key, []).extend([site] if site else [])
    return tuple(
        Difference(kind=kind, path=path, before=before, after=after, sites=tuple(sites))
        for (kind, path, before, after), sites in merged.items()
    )


def _fill_sites(configuration: Configuration, names: Iterable[str]) -> Configuration:
    sites = {name: configuration.sites.get(name, Site()) for name in names}
    return msgspec.structs.replace(configuration, sites=sites)


def _walk(old: Any, new: Any, path: Path) -> Iterator[_ValueChange]:
    """Yield the innermost values that differ; equal subtrees are not traversed."""
    if old == new:
        return
    old_parts, new_parts = _list_parts(old), _list_parts(new)
    if old_parts is None or new_parts is None:
        yield _ValueChange(
            kind=DifferenceKind.CHANGED, path=path, before=old, after=new
        )
        return
    for name in sorted(old_parts.keys() | new_parts.keys()):
        nested_path = (*path, name)
        if name not in old_parts:
            yield _ValueChange(
                kind=DifferenceKind.ADDED, path=nested_path, after=new_parts[name]
            )
        elif name not in new_parts:
            yield _ValueChange(
                kind=DifferenceKind.REMOVED, path=nested_path, before=old_parts[name]
            )
        else:
            yield from _walk(old_parts[name], new_parts[name], nested_path)


def _list_parts(value: Any) -> dict[str, Any] | None:
    """Return the fields or mapping entries of a value, ``None`` for other types."""
    if isinstance(value, msgspec.Struct):
        return {name: getattr(value, name) for name in value.__struct_fields__}
    return value if isinstance(value, dict) else None


def _build_edit(change: _ValueChange) -> Edit:
    if change.kind is DifferenceKind.REMOVED:
        return Edit(path=change.path, removed=True)
    return Edit(path=change.path, value=msgspec.to_builtins(change.after))


def _expand_and_redact(value: Any) -> Any:
    """Return a value with all defaults included and API keys hidden, for display."""
    parts = _list_parts(value)
    if parts is None:
        return value
    return {
        name: HIDDEN if name in _HIDDEN_FIELDS else _expand_and_redact(nested)
        for name, nested in parts.items()
    }


def _split_site_path(path: Path) -> tuple[str, Path]:
    if path[0] != _SITES:
        return "", path
    return path[1], path[2:]


def _show_values(change: _ValueChange) -> tuple[str, str]:
    if change.path[-1] in _HIDDEN_FIELDS:
        return HIDDEN, f"{HIDDEN}, another one"
    added = change.kind is DifferenceKind.ADDED
    removed = change.kind is DifferenceKind.REMOVED
    before = "" if added else _show(change.before)
    after = "" if removed else _show(change.after)
    return before, after


def _show(value: Any) -> str:
    text = msgspec.json.encode(_expand_and_redact(value)).decode()
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}... ({len(text)} characters)"
