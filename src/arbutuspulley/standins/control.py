"""Helpers that set and consume the faults of a stand-in (``POST /control``)."""

from arbutuspulley.data import Document, State


def apply_set_fields(control: Document, target: State) -> None:
    """Copy the fields that are set in a control document to the target.

    :param control: document in which fields that the caller left out are ``None``;
        these keep their value in the target.
    """
    for name in target.__struct_fields__:
        value = getattr(control, name, None)
        if value is not None:
            setattr(target, name, value)


def consume_fault(faults: State, name: str) -> bool:
    """Return whether a counted fault applies now, and decrement its counter."""
    remaining = getattr(faults, name)
    if remaining == 0:
        return False
    setattr(faults, name, remaining - 1)
    return True
