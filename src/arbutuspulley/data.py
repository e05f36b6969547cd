"""Base classes of data types: slotted, typed, keyword-only."""

import msgspec


class Value(msgspec.Struct, kw_only=True, frozen=True):
    """An immutable typed value; equal when all its fields are equal."""


class Message(Value, frozen=True, omit_defaults=True):
    """A value sent between processes; unknown fields are ignored on decode.

    Ignoring them lets a process with an older release decode messages of a newer one
    during a rolling replacement of instances.
    """


class Document(Value, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A value read from a file that a person writes; unknown keys are rejected."""


class State(msgspec.Struct, kw_only=True):
    """Mutable state of one aggregate; only its own functions modify it."""
