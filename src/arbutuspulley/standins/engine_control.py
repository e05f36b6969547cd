"""Faults, limits and counters of the engine stand-in."""

from typing import Annotated

import msgspec

from arbutuspulley.data import Document, Message, State
from arbutuspulley.standins.engine_memory import OnOvercommit, SeenOrder

NonNegative = Annotated[int, msgspec.Meta(ge=0)]
Factor = Annotated[float, msgspec.Meta(gt=0)]


class Control(Document, frozen=True):
    """What ``POST /control`` may set; what is left out stays as it is.

    Faults with a number apply to so many next orders or requests.

    :param drop_orders: lose orders before they are applied.
    :param lose_order_replies: apply orders and close their connections unanswered.
    :param hold_orders: answer nothing and keep the orders until they are released.
    :param release_orders: apply the orders that are held, in the order of arrival.
    :param delay_orders: answer nothing and apply the orders late.
    :param delay_orders_ms: how late.
    :param refuse_requests: refuse requests before admission.
    :param fail_requests: answer requests with 500 and nothing about admission.
    :param break_requests: admit requests and close their connections unanswered.
    :param break_streams: break streams off.
    :param break_after_tokens: after how many tokens.
    :param skip_end_markers: end streams in order, but without the end marker.
    :param stray_chunks: mix a late chunk of an old attempt and a doubled chunk into
        streams.
    :param slow_factor: how many times slower the engine is.
    :param crash_marker: a request with this word in its prompt ends the engine.
    :param leaving: whether the engine says that it is leaving, and refuses requests.
    :param freeze_reports: whether reports stay as they are.
    :param on_overcommit: what a load that exceeds the memory does.
    """

    drop_orders: NonNegative | None = None
    lose_order_replies: NonNegative | None = None
    hold_orders: NonNegative | None = None
    release_orders: bool = False
    delay_orders: NonNegative | None = None
    delay_orders_ms: NonNegative | None = None
    refuse_requests: NonNegative | None = None
    fail_requests: NonNegative | None = None
    break_requests: NonNegative | None = None
    break_streams: NonNegative | None = None
    break_after_tokens: NonNegative | None = None
    skip_end_markers: NonNegative | None = None
    stray_chunks: NonNegative | None = None
    slow_factor: Factor | None = None
    crash_marker: str | None = None
    leaving: bool | None = None
    freeze_reports: bool | None = None
    on_overcommit: OnOvercommit | None = None


class Faults(State):
    """The faults that are set now; see :class:`Control`."""

    drop_orders: int = 0
    lose_order_replies: int = 0
    hold_orders: int = 0
    delay_orders: int = 0
    delay_orders_ms: int = 1_000
    refuse_requests: int = 0
    fail_requests: int = 0
    break_requests: int = 0
    break_streams: int = 0
    break_after_tokens: int = 1
    skip_end_markers: int = 0
    stray_chunks: int = 0
    crash_marker: str = ""
    leaving: bool = False
    freeze_reports: bool = False


class RunCount(Message, frozen=True, omit_defaults=False):
    """What became of one request at this engine, over all its attempts.

    :param admitted: attempts that were admitted.
    :param begun: times it was run from its first token.
    :param resumed: times it was run from a later token.
    :param finished: times it was run to its last token.
    :param withdrawn: attempts that were cancelled or lost their connection.
    """

    admitted: int = 0
    begun: int = 0
    resumed: int = 0
    finished: int = 0
    withdrawn: int = 0


class Counters(Message, frozen=True, omit_defaults=False):
    """What ``GET /control/counters`` returns.

    :param worst_memory_mib: most memory that was ever occupied at once.
    :param overcommitted: load orders that would have exceeded the memory.
    :param loads: loads begun; with ``unloads`` the moves of this engine.
    :param refused: requests refused before admission.
    :param runs: by request id.
    :param begun_by_prompt: times a prompt was run from its first token, by digest.
    :param orders: those applied or refused, the oldest first.
    """

    server: str
    boot_id: str
    memory_total_mib: int
    memory_used_mib: int
    worst_memory_mib: int
    overcommitted: int
    loads: int
    unloads: int
    tokens: int
    refused: int
    runs: dict[str, RunCount]
    begun_by_prompt: dict[str, int]
    orders: tuple[SeenOrder, ...]
