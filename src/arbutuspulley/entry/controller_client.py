"""The entry's calls to the controller of its instance."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import cast

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.rpc import channel
from arbutuspulley.rpc.messages import (
    ClaimReply,
    ClaimRequest,
    ClearanceReport,
    DeathReport,
    EntryReport,
    SettleRequest,
    SuspicionsReply,
    View,
    WatchRequest,
)

CLAIM_TIMEOUT_MS = 5 * SECOND_MS
"""Longest wait for a claim, a settlement or a trial; the controller's own tries at
the table fit into it."""

REPORT_TIMEOUT_MS = 2 * SECOND_MS
"""Longest wait for the reply to a report."""


class ControllerClient(Value, frozen=True):
    """Verbs towards the controller; awaited on the loop.

    Each raises :class:`~arbutuspulley.rpc.channel.PeerUnavailableError`.
    """

    watch: Callable[[WatchRequest], AsyncIterator[View]]
    report: Callable[[EntryReport], Awaitable[object]]
    claim: Callable[[ClaimRequest], Awaitable[ClaimReply]]
    settle: Callable[[SettleRequest], Awaitable[object]]
    report_death: Callable[[DeathReport], Awaitable[SuspicionsReply]]
    clear_suspicion: Callable[[ClearanceReport], Awaitable[object]]


def connect_controller(client: channel.Client) -> ControllerClient:
    """Return the verbs over a connection."""

    async def claim(request: ClaimRequest) -> ClaimReply:
        reply = await client.call(channel.CLAIM, request, timeout_ms=CLAIM_TIMEOUT_MS)
        return cast(ClaimReply, reply)

    async def report_death(report: DeathReport) -> SuspicionsReply:
        reply = await client.call(
            channel.REPORT_DEATH, report, timeout_ms=CLAIM_TIMEOUT_MS
        )
        return cast(SuspicionsReply, reply)

    return ControllerClient(
        watch=lambda request: cast(
            AsyncIterator[View], client.stream(channel.WATCH, request)
        ),
        report=lambda report: client.call(
            channel.REPORT, report, timeout_ms=REPORT_TIMEOUT_MS
        ),
        claim=claim,
        settle=lambda request: client.call(
            channel.SETTLE, request, timeout_ms=CLAIM_TIMEOUT_MS
        ),
        report_death=report_death,
        clear_suspicion=lambda report: client.call(
            channel.CLEAR_SUSPICION, report, timeout_ms=CLAIM_TIMEOUT_MS
        ),
    )
