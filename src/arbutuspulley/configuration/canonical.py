"""One encoding for equal configurations, so that equal ones have one digest.

Encoding leaves out a field that *is* its default, and msgspec decides that by
identity: a target written out in a file with the very numbers of the default would be
encoded, and left out if the file does not mention it. Two processes would hold equal
configurations with different digests. So defaults are put in place of equal values
where values come in; decoding and sharing of parts keep them.
"""

import functools
from typing import Any, TypeVar

import msgspec

_Kind = TypeVar("_Kind", bound=msgspec.Struct)


def normalize(value: Any) -> Any:
    """Return an equal value in which defaults are in place, down to the lowest part."""
    if isinstance(value, dict):
        return {name: normalize(nested) for name, nested in value.items()}
    if not isinstance(value, msgspec.Struct):
        return value
    names = value.__struct_fields__
    parts = {name: normalize(getattr(value, name)) for name in names}
    return normalize_fields(msgspec.structs.replace(value, **parts))


def normalize_fields(value: _Kind) -> _Kind:
    """Return an equal struct in which fields that equal their default are it."""
    replaced = {
        name: default
        for name, default in _list_defaults(type(value))
        if getattr(value, name) == default and getattr(value, name) is not default
    }
    return msgspec.structs.replace(value, **replaced) if replaced else value


@functools.cache
def _list_defaults(kind: type[msgspec.Struct]) -> tuple[tuple[str, Any], ...]:
    """Return name and default of the fields that have one.

    An empty mapping needs no replacing: it is left out whichever it is.
    """
    return tuple(
        (field.name, field.default)
        for field in msgspec.structs.fields(kind)
        if field.default is not msgspec.NODEFAULT
    )
