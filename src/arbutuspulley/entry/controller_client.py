"""Client for the controller of the entry's instance."""

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
"""Timeout of a claim, a settlement or a trial; it leaves time for the controller's own
retries at the table."""

REPORT_TIMEOUT_MS = 2 * SECOND_MS
"""Timeout of a report."""


class ControllerClient(Value, frozen=True):
    """Calls to the controller; awaited on the event loop.

    Each call raises :class:`~arbutuspulley.rpc.channel.PeerUnavailableError`.
    """

    watch: Callable[[WatchRequest], AsyncIterator[View]]
    report: Callable[[EntryReport], Awaitable[object]]
    claim: Callable[[ClaimRequest], Awaitable[ClaimReply]]
    settle: Callable[[SettleRequest], Awaitable[object]]
    report_death: Callable[[DeathReport], Awaitable[SuspicionsReply]]
    clear_suspicion: Callable[[ClearanceReport], Awaitable[object]]


def connect_controller(client: channel.Client) -> ControllerClient:
    """Return a client that uses a connection."""

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
