"""Application of deltas to configurations.

Only objects on the path to a changed value are rebuilt; all others are shared with the
old configuration. To rebuild a configuration of maximum size in full takes a quarter of
a second, for which each change would block the event loop of every process.
"""

import functools
import typing
from collections.abc import Iterable
from typing import Any

import msgspec

from arbutuspulley.configuration.canonical import normalize, normalize_fields
from arbutuspulley.configuration.difference import Delta, Edit, Path
from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.data import Value
from arbutuspulley.results import Code, ConfigurationError


class _PendingEdit(Value, frozen=True):
    """An edit and the remaining part of its path."""

    path: Path
    edit: Edit


def apply_delta(old: Configuration, delta: Delta) -> Configuration:
    """Apply a delta to a configuration.

    :raises ConfigurationError: if an edit cannot be applied to ``old`` or the result is
        invalid; the delta then belongs to another configuration.
    """
    pending = [_PendingEdit(path=edit.path, edit=edit) for edit in delta.edits]
    try:
        result: Configuration = _rebuild(old, Configuration, pending)
    except (KeyError, msgspec.ValidationError) as error:
        raise ConfigurationError(
            code=Code.BAD_SCHEMA, detail=f"the delta cannot be applied: {error}"
        ) from error
    return result


def _rebuild(value: Any, kind: Any, pending: list[_PendingEdit]) -> Any:
    """Return a value with edits applied; unchanged nested values are shared."""
    for item in pending:
        if not item.path:
            return normalize(msgspec.convert(item.edit.value, kind))
    if isinstance(value, msgspec.Struct):
        return _rebuild_struct(value, pending)
    if isinstance(value, dict):
        return _rebuild_mapping(value, kind, pending)
    raise KeyError(pending[0].path[0])


def _rebuild_struct(
    value: msgspec.Struct, pending: list[_PendingEdit]
) -> msgspec.Struct:
    kinds = _get_field_types(type(value))
    changed = {}
    for name, nested in _group_by_name(pending).items():
        kind = kinds[name]
        changed[name] = _rebuild(getattr(value, name), kind, nested)
    return normalize_fields(msgspec.structs.replace(value, **changed))


def _rebuild_mapping(
    value: dict[str, Any], kind: Any, pending: list[_PendingEdit]
) -> dict[str, Any]:
    name_kind, part_kind = typing.get_args(kind)
    result = dict(value)
    for name, nested in _group_by_name(pending).items():
        if any(item.edit.removed and not item.path for item in nested):
            del result[name]
            continue
        msgspec.convert(name, name_kind)
        replaces_value = any(not item.path for item in nested)
        previous = None if replaces_value else result[name]
        result[name] = _rebuild(previous, part_kind, nested)
    return result


def _group_by_name(pending: Iterable[_PendingEdit]) -> dict[str, list[_PendingEdit]]:
    grouped: dict[str, list[_PendingEdit]] = {}
    for item in pending:
        name, *rest = item.path
        nested = _PendingEdit(path=tuple(rest), edit=item.edit)
        grouped.setdefault(name, []).append(nested)
    return grouped


@functools.cache
def _get_field_types(kind: type[msgspec.Struct]) -> dict[str, Any]:
    return {field.name: field.type for field in msgspec.structs.fields(kind)}
