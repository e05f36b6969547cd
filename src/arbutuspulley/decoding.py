"""The boundary at which data of other processes and people is decoded.

Whatever the data holds, decoding it either returns a value or raises
:class:`UndecodableError`. Integers that pass fit into 64 bits, so that they can be
encoded again for other instances.
"""

import functools
from collections.abc import Callable
from typing import Annotated, ParamSpec, TypeVar

import msgspec

P = ParamSpec("P")
T = TypeVar("T")

MAX_DETAIL_LENGTH = 200
"""Maximum length of an error's detail, in characters; it may quote the data."""

MAX_TIME_MS = 1 << 53
"""Largest absolute time or duration, in ms, which a float holds exactly; 285,000 years.
"""

MAX_NUMBER = 1e15
"""Largest absolute value of a float: a float holds integers up to there exactly, and
sums and products of some of them are finite."""

Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""An integer of 64 bits."""

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""An integer of 64 bits that is not negative."""

Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A finite number."""

WholeMilliseconds = Annotated[int, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]
"""A time in whole ms."""

Milliseconds = Annotated[float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]
"""A time in ms."""


class UndecodableError(msgspec.ValidationError):
    """Data of another process can't be decoded, or has values out of range."""


def guard_decoding(decode: Callable[P, T]) -> Callable[P, T]:
    """Make a decoding function raise :class:`UndecodableError` for all bad data.

    Data that is nested too deep raises ``RecursionError``, and a number that can't be
    converted ``OverflowError`` or ``ValueError``.
    """

    @functools.wraps(decode)
    def guarded(*args: P.args, **kwargs: P.kwargs) -> T:
        try:
            return decode(*args, **kwargs)
        except UndecodableError:
            raise
        except RecursionError:
            raise UndecodableError("nested too deep") from None
        except (ArithmeticError, ValueError) as error:
            raise UndecodableError(_shorten(str(error))) from error

    return guarded


@guard_decoding
def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON.

    :raises UndecodableError: if it is not a value of this type.
    """
    return msgspec.json.decode(data, type=kind)


@guard_decoding
def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack.

    :raises UndecodableError: if it is not a value of this type.
    """
    return msgspec.msgpack.decode(data, type=kind)


def _shorten(detail: str) -> str:
    if len(detail) <= MAX_DETAIL_LENGTH:
        return detail
    return f"{detail[:MAX_DETAIL_LENGTH]}..."
