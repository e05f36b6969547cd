"""What an instance tells of requests that were in flight at crashes of servers."""

from arbutuspulley.node.messages import SuspicionUpdate
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
