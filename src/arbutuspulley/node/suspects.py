"""What instances that link up tell each other of requests at crashes of servers."""

from collections.abc import Callable

from arbutuspulley.node.messages import SuspicionUpdate, ToNode
from arbutuspulley.node.state import NodeState

MAX_SUSPECTS_IN_UPDATE = 100
"""Maximum number of suspects that an instance is told of as it links up, about 20
KB."""


def build_suspects(state: NodeState) -> SuspicionUpdate:
    """Return what this instance knows, for one that has just linked up."""
    now = state.clock.now()
    records = state.crash_records
    suspicions = records.list_worst(MAX_SUSPECTS_IN_UPDATE)
    return SuspicionUpdate(
        suspicions=tuple(suspicions),
        ages_ms=tuple(
            records.get_age_ms(one.fingerprint, now=now) for one in suspicions
        ),
    )


def relay_suspects(
    state: NodeState, update: SuspicionUpdate, *, send: Callable[[ToNode], None]
) -> None:
    """Record what an instance that links up knows, and relay what is new.

    :param send: sends to all other instances.
    """
    changed = state.crash_records.merge(
        update.suspicions, ages_ms=update.ages_ms, now=state.clock.now()
    )
    if changed:
        send(SuspicionUpdate(suspicions=changed))
