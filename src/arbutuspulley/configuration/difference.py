"""Differences between two configurations: for people to read, and to store.

People see :class:`Difference`, with keys hidden and equal differences at several
sites folded into one. What is stored and sent is a :class:`Delta`, which turns the
old configuration into exactly the new one.
"""

import enum
import hashlib
from collections.abc import Iterator
from typing import Any

import msgspec

from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import Message, Value
from arbutuspulley.results import Code, ConfigurationError

HIDDEN = "(hidden)"
"""Shown in place of a key's hash."""

SHOWN_CHARACTERS = 400
"""Longest value that a difference shows; the rest is cut off."""

_HIDDEN_FIELDS = frozenset({"key_sha256"})
_VERSION_PATH = ("version",)
_SITES = "sites"

Path = tuple[str, ...]
"""Names from the top of a configuration down to one value."""


class Edit(Message, frozen=True):
    """One step of a delta: set or remove the value at a path."""

    path: Path
    value: Any = None
    removed: bool = False


class Delta(Message, frozen=True):
    """All steps from one configuration to another, version number included."""

    edits: tuple[Edit, ...] = ()


class DifferenceKind(enum.StrEnum):
    """What happened to a value."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(Message, frozen=True):
    """One difference, for a person.

    :param path: dotted path, below the site if it lies in one.
    :param before: the old value as text, empty if there was none.
    :param after: the new value as text, empty if there is none.
    :param sites: the sites where it holds; empty if it belongs to no site.
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


class _Step(Value, frozen=True):
    kind: DifferenceKind
    path: Path
    before: Any = None
    after: Any = None


def compute_digest(configuration: Configuration) -> str:
    """Return the hex SHA-256 of a configuration, version number included.

    It is the same whatever the order in which names were written.
    """
    encoded = msgspec.json.encode(configuration, order="sorted")
    return hashlib.sha256(encoded).hexdigest()


def build_delta(old: Configuration, new: Configuration) -> Delta:
    """Return the steps that turn ``old`` into ``new``."""
    steps = _walk(msgspec.to_builtins(old), msgspec.to_builtins(new), ())
    return Delta(edits=tuple(_build_edit(step) for step in steps))


def apply_delta(old: Configuration, delta: Delta) -> Configuration:
    """Apply the steps of a delta.

    :raises ConfigurationError: if a step does not fit ``old`` or the result is no
        valid configuration; that is, the delta belongs to another one.
    """
    content = msgspec.to_builtins(old)
    try:
        for edit in delta.edits:
            _apply_edit(content, edit)
        return msgspec.convert(content, Configuration)
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        raise ConfigurationError(
            code=Code.BAD_SCHEMA, detail=f"the delta does not fit: {error}"
        ) from error


def compare(old: Configuration, new: Configuration) -> tuple[Difference, ...]:
    """Return what differs, for a person; version numbers are left out."""
    folded: dict[tuple[DifferenceKind, str, str, str], list[str]] = {}
    for step in _walk(_spell_out(old), _spell_out(new), ()):
        if step.path == _VERSION_PATH:
            continue
        site, path = _split_site(step.path)
        key = (step.kind, ".".join(path), *_show_values(step))
        folded.setdefault(key, []).extend([site] if site else [])
    return tuple(
        Difference(kind=kind, path=path, before=before, after=after, sites=tuple(sites))
        for (kind, path, before, after), sites in folded.items()
    )


def has_same_content(old: Configuration, new: Configuration) -> bool:
    """Return whether two configurations differ in nothing but their version."""
    return msgspec.structs.replace(old, version=new.version) == new


def _walk(old: dict[str, Any], new: dict[str, Any], path: Path) -> Iterator[_Step]:
    for name in sorted(old.keys() | new.keys()):
        below = (*path, name)
        if name not in old:
            yield _Step(kind=DifferenceKind.ADDED, path=below, after=new[name])
        elif name not in new:
            yield _Step(kind=DifferenceKind.REMOVED, path=below, before=old[name])
        elif isinstance(old[name], dict) and isinstance(new[name], dict):
            yield from _walk(old[name], new[name], below)
        elif old[name] != new[name]:
            yield _Step(
                kind=DifferenceKind.CHANGED,
                path=below,
                before=old[name],
                after=new[name],
            )


def _build_edit(step: _Step) -> Edit:
    if step.kind is DifferenceKind.REMOVED:
        return Edit(path=step.path, removed=True)
    return Edit(path=step.path, value=step.after)


def _apply_edit(content: dict[str, Any], edit: Edit) -> None:
    *parents, name = edit.path
    for parent in parents:
        content = content[parent]
    if edit.removed:
        del content[name]
    else:
        content[name] = edit.value


def _spell_out(value: Any) -> Any:
    """Return builtins with every default written out, for people to compare."""
    if isinstance(value, msgspec.Struct):
        names = value.__struct_fields__
        return {name: _spell_out(getattr(value, name)) for name in names}
    if isinstance(value, dict):
        return {name: _spell_out(below) for name, below in value.items()}
    return value


def _split_site(path: Path) -> tuple[str, Path]:
    if path[0] != _SITES:
        return "", path
    if len(path) == 2:
        return "", path
    return path[1], path[2:]


def _show_values(step: _Step) -> tuple[str, str]:
    if step.path[-1] in _HIDDEN_FIELDS:
        return HIDDEN, f"{HIDDEN}, another one"
    added = step.kind is DifferenceKind.ADDED
    removed = step.kind is DifferenceKind.REMOVED
    before = "" if added else _show(step.before)
    after = "" if removed else _show(step.after)
    return before, after


def _show(value: Any) -> str:
    text = msgspec.json.encode(_hide(value)).decode()
    if len(text) <= SHOWN_CHARACTERS:
        return text
    return f"{text[:SHOWN_CHARACTERS]}... ({len(text)} characters)"


def _hide(value: Any) -> Any:
    if not isinstance(value, dict):
        return value
    return {
        name: HIDDEN if name in _HIDDEN_FIELDS else _hide(below)
        for name, below in value.items()
    }
