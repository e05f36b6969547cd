"""How ``POST /control`` of a stand-in changes its faults."""

from arbutuspulley.data import Document, State


def apply_set_fields(control: Document, target: State) -> None:
    """Set the fields of the target that the control names; leave the others.

    :param control: a document whose fields are ``None`` if they were left out.
    """
    for name in target.__struct_fields__:
        value = getattr(control, name, None)
        if value is not None:
            setattr(target, name, value)


def consume_fault(faults: State, name: str) -> bool:
    """Tell whether a counted fault applies now, and count it down."""
    left = getattr(faults, name)
    if left == 0:
        return False
    setattr(faults, name, left - 1)
    return True
