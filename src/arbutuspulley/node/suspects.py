"""What instances tell each other of requests and parts of prompts at crashes."""

from collections.abc import Callable

import msgspec

from arbutuspulley.node.messages import SuspicionUpdate, ToNode
from arbutuspulley.node.state import NodeState

MAX_SUSPECTS_IN_UPDATE = 100
"""Maximum number of suspect requests that an instance is told of as it links up, about
20 KB; the same for parts of prompts."""


def build_suspects(state: NodeState) -> SuspicionUpdate:
    """Return what this instance knows, for one that has just linked up."""
    now = state.clock.now()
    requests = state.crash_records.list_worst(MAX_SUSPECTS_IN_UPDATE)
    parts = state.part_records.list_worst(MAX_SUSPECTS_IN_UPDATE)
    return SuspicionUpdate(
        suspicions=tuple(requests),
        ages_ms=tuple(
            state.crash_records.get_age_ms(one.fingerprint, now=now) for one in requests
        ),
        parts=tuple(parts),
        part_ages_ms=tuple(
            state.part_records.get_age_ms(one.fingerprint, now=now) for one in parts
        ),
    )


def relay_suspects(
    state: NodeState, update: SuspicionUpdate, *, send: Callable[[ToNode], None]
) -> None:
    """Record what an instance that links up knows, and relay what is new.

    :param send: sends to all other instances.
    """
    now = state.clock.now()
    changed = state.crash_records.merge(
        update.suspicions, ages_ms=update.ages_ms, now=now
    )
    parts = state.part_records.merge(update.parts, ages_ms=update.part_ages_ms, now=now)
    if changed or parts:
        send(SuspicionUpdate(suspicions=changed, parts=parts))


def drop_known_parts(state: NodeState, update: SuspicionUpdate) -> SuspicionUpdate:
    """Return an update without what is known here of parts of prompts.

    Many instances see the same crash under a part, and answers that acquit it.
    """
    parts = state.part_records.select_news(update.parts)
    return msgspec.structs.replace(update, parts=parts)
