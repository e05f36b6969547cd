"""Applies messages of instances to the coordinator's pools."""

from collections.abc import Iterable

from arbutuspulley.events import Event, log_event
from arbutuspulley.node.messages import (
    AttemptEnded,
    CancelRequest,
    GrantRequest,
    Hello,
    NodeInfo,
    RefusalReason,
    Refused,
    ResponseStarted,
    ServerCooldown,
)
from arbutuspulley.pool.contact import (
    apply_reaching,
    get_withheld_until,
    record_heard,
    record_unreachable,
)
from arbutuspulley.pool.grants import Refusal
from arbutuspulley.pool.returns import ReturnState, find_return
from arbutuspulley.pool.runs import (
    record_first_event,
    record_not_run,
    record_run_end,
)
from arbutuspulley.pool.start_order import refund_grant
from arbutuspulley.pool.state import PoolState, Run, WaitingRequest
from arbutuspulley.ports.fleet import AttemptOutcome, SoftwareVersion

LATE_RATIO = 0.75
"""Share of the latency target after which a waiting request counts as late: the rest is
needed for the prefill of its prompt."""

GIVE_UP_RATIO = 0.85
"""Share of the time that a caller waits after which its request is given up."""


def build_waiting_request(
    origin: str,
    request: GrantRequest,
    *,
    version: SoftwareVersion | None = None,
    returns: ReturnState | None = None,
    now: int,
) -> WaitingRequest:
    """Build the entry of a request that waits for a server.

    :param origin: name of the instance that asks.
    :param version: software version that the server must have; ``None``: any.
    :param returns: refused requests, of which this may be one; ``None``: they are not
        recorded.
    """
    returned = None
    if returns is not None and request.fingerprint and not request.is_repeat:
        returned = find_return(returns, request.fingerprint, now=now)
    return WaitingRequest(
        key=request.key,
        origin=origin,
        need=request.need,
        zone=request.zone,
        priority=request.priority,
        arrived_at=now,
        late_at=now + int(request.aim_ms * LATE_RATIO),
        give_up_at=now + int(request.left_ms * GIVE_UP_RATIO),
        avoid=request.avoid,
        is_repeat=request.is_repeat,
        gap_target_ms=request.pause_ms,
        version=version,
        fingerprint=request.fingerprint,
        ends_at=now + request.ends_in_ms if request.ends_in_ms else 0,
        returned=returned,
        team=request.team,
    )


def build_refusal(refusal: Refusal) -> Refused:
    """Build the message that tells an instance of a refusal."""
    return Refused(
        key=refusal.key,
        retry_after_ms=refusal.retry_after_ms,
        reason=RefusalReason.VERSION_GONE if refusal.is_version_gone else "",
    )


def add_running_requests(
    pools: dict[str, PoolState], origin: str, hello: Hello, *, now: int
) -> None:
    """Add requests that an instance runs and this coordinator has not granted.

    The message does not contain when the first part of each answer arrived; prefill of
    these requests counts as complete.
    """
    for run in hello.running:
        started_at = now - run.ran_ms
        for pool in pools.values():
            server = pool.servers.get(run.incarnation)
            if server is not None:
                server.runs[run.key] = Run(
                    origin=origin,
                    need=run.need,
                    granted_at=started_at,
                    gap_target_ms=run.pause_ms,
                    first_at=started_at,
                    prefill_before_ms=server.stream_gaps.prefill_ms,
                )


def apply_progress(
    pools: dict[str, PoolState],
    message: ResponseStarted | AttemptEnded,
    *,
    origin: str,
    now: int,
) -> None:
    """Record that a run has sent the first part of its answer, or has ended.

    :param origin: the instance that sent the message.
    """
    for pool in pools.values():
        if message.incarnation not in pool.servers:
            continue
        key, incarnation = message.key, message.incarnation
        run = pool.servers[incarnation].runs.get(key)
        if run is not None and _has_not_run(message):
            refund_grant(pool, run, now=now)
        if _has_answered(message):
            record_heard(pool, incarnation, origin=origin, now=now)
        if isinstance(message, ResponseStarted):
            record_first_event(pool, key, incarnation, took_ms=message.took_ms, now=now)
        elif message.how is AttemptOutcome.NOT_RUN:
            record_not_run(pool, key, incarnation, now=now)
        elif message.how is AttemptOutcome.UNREACHED:
            record_unreachable(pool, key, incarnation, origin=origin, now=now)
            server = pool.servers[incarnation]
            log_event(
                Event.SERVER_UNREACHABLE,
                id=key,
                server=incarnation,
                by=origin,
                is_down=server.backoff_until > now,
                withheld_ms=get_withheld_until(server, origin) - now,
            )
        else:
            record_run_end(
                pool,
                key,
                incarnation,
                how=message.how,
                now=now,
                events=message.events,
            )


def apply_reaching_instances(
    pools: dict[str, PoolState], linked: Iterable[NodeInfo], *, now: int
) -> None:
    """Apply which of the linked instances reach servers."""
    reaching = frozenset(info.name for info in linked if info.reaches_servers)
    for pool in pools.values():
        apply_reaching(pool, reaching, now=now)


def _has_answered(message: ResponseStarted | AttemptEnded) -> bool:
    if isinstance(message, ResponseStarted):
        return True
    return message.how in (AttemptOutcome.DONE, AttemptOutcome.NOT_RUN)


def _has_not_run(message: ResponseStarted | AttemptEnded) -> bool:
    return isinstance(message, AttemptEnded) and message.how in (
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.UNREACHED,
        AttemptOutcome.UNUSED,
    )


def record_cooldowns(
    pools: dict[str, PoolState],
    origin: str,
    cooldowns: Iterable[ServerCooldown],
    *,
    now: int,
    is_own: bool,
) -> None:
    """Record that servers want no requests from an instance for a while.

    :param origin: the instance.
    :param is_own: whether it is the coordinator's, which then sends no orders either.
    """
    for cooldown in cooldowns:
        until = now + cooldown.remaining_ms
        for pool in pools.values():
            server = pool.servers.get(cooldown.incarnation)
            if server is None:
                continue
            server.cooldowns[origin] = max(until, server.cooldowns.get(origin, 0))
            if is_own:
                server.next_order_at = max(server.next_order_at, until)


def cancel_request(pools: dict[str, PoolState], message: CancelRequest) -> None:
    """Remove a request whose caller has disconnected."""
    pool = pools.get(message.service)
    if pool is None:
        return
    pool.waiting.pop(message.key, None)
    for server in pool.servers.values():
        server.runs.pop(message.key, None)


def remove_instance(pools: dict[str, PoolState], origin: str) -> None:
    """Remove what is known of an instance whose link is lost, and its requests."""
    for pool in pools.values():
        for key in [
            key for key, request in pool.waiting.items() if request.origin == origin
        ]:
            del pool.waiting[key]
        for server in pool.servers.values():
            for key in [
                key for key, run in server.runs.items() if run.origin == origin
            ]:
                del server.runs[key]
            server.unreachable_from.pop(origin, None)
