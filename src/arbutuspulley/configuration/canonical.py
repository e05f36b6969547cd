"""Canonical form of configurations: equal ones have one encoding and one digest.

msgspec omits a field from the encoding if its value *is* the default, compared by
identity. A target that a file spells out with the default's numbers would be encoded,
but omitted if the file does not mention it, so that two processes would hold equal
configurations with different digests. Values that equal the default are therefore
replaced by the default object on input; decoding and structural sharing preserve it.
"""

import functools
from typing import Any, TypeVar

import msgspec

_Kind = TypeVar("_Kind", bound=msgspec.Struct)


def normalize(value: Any) -> Any:
    """Return an equal value with defaults substituted for equal values, recursively."""
    if isinstance(value, dict):
        return {name: normalize(nested) for name, nested in value.items()}
    if not isinstance(value, msgspec.Struct):
        return value
    names = value.__struct_fields__
    parts = {name: normalize(getattr(value, name)) for name in names}
    return normalize_fields(msgspec.structs.replace(value, **parts))


def normalize_fields(value: _Kind) -> _Kind:
    """Return an equal struct with the default object in fields that equal it."""
    replaced = {
        name: default
        for name, default in _list_defaults(type(value))
        if getattr(value, name) == default and getattr(value, name) is not default
    }
    return msgspec.structs.replace(value, **replaced) if replaced else value


@functools.cache
def _list_defaults(kind: type[msgspec.Struct]) -> tuple[tuple[str, Any], ...]:
    """Return name and default value of each field that has a default.

    Fields with a default factory are not listed: msgspec omits an empty mapping from
    the encoding whichever object it is.
    """
    return tuple(
        (field.name, field.default)
        for field in msgspec.structs.fields(kind)
        if field.default is not msgspec.NODEFAULT
    )
