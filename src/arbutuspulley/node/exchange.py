"""Handling of one request: wait for a server, send, relay the answer, retry."""

import asyncio
import functools
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery.part_records import is_established
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.access import Access
from arbutuspulley.node.acquisition import Acquisition, NoServerError, RetryError
from arbutuspulley.node.answer_writer import HeldResponse
from arbutuspulley.node.hedges import Hedge, Hedges, OvertakenError, SecondAttempt
from arbutuspulley.node.limits import LimitGuard
from arbutuspulley.node.link import Link
from arbutuspulley.node.poison import KnownCrashes, PoisonGuard
from arbutuspulley.node.progress import (
    ANSWER_MARGIN_MS,
    MAX_REFUSALS,
    MAX_UNREACHABLE,
    AnswerAbortedError,
    Progress,
    RequestFailedError,
    build_failure,
    build_timeout,
    check_promise,
)
from arbutuspulley.node.quota_charging import QuotaCharger
from arbutuspulley.node.retries import PendingRetry, Retries
from arbutuspulley.node.server_notices import get_exclusion, read_answer
from arbutuspulley.node.server_paths import SILENCE_MS, ServerPaths
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.stopping import RETRY_MS, may_send
from arbutuspulley.node.stream_relay import StreamRelay
from arbutuspulley.node.stream_store import store_stream
from arbutuspulley.node.stream_versions import (
    get_stream_key,
    record_first_event,
    resume_stream,
)
from arbutuspulley.platform.connections import FOREIGN_ANSWER
from arbutuspulley.platform.held_bytes import AnswerAbandonedError, BrokenError
from arbutuspulley.platform.memory_bound import AnswerKind, HeldAnswer
from arbutuspulley.platform.requests import (
    build_headers,
    is_answer_to,
    is_event_stream,
    is_misdirected,
    is_not_run,
    is_promise,
    is_server_error,
    is_success,
    select_answer_headers,
)
from arbutuspulley.platform.transport import (
    NotSentError,
    count_calls_before,
    read_framing,
    read_held_body,
    read_named_attempt,
)
from arbutuspulley.ports.answers import ENDS_OF_LIVE_SERVERS, AnswerEnd, Framing
from arbutuspulley.ports.fleet import (
    AttemptOutcome,
    InboundRequest,
    RetryPolicy,
    Route,
    ServerEntry,
)
from arbutuspulley.routing.local_choice import (
    adjust_concurrency_limit,
    record_done,
    record_refused,
    record_sent,
    record_unreachable,
)
from arbutuspulley.routing.route_table import choose_service

LATE_PRIORITY = 8
"""Priority at the server of a request past its latency target: the lowest of all."""


class Exchange:
    """Handles one request.

    :param access: admission by the caller's key.
    :param charger: charges the request to its team's quota.
    :param hedges: budgets of second attempts.
    :param limits: rate limits of the servers, updated from their answers.
    :param retries: retry budgets of the services.
    :param paths: sends the request to servers.
    :param client: the caller's HTTP request.
    """

    __slots__ = (
        "_access",
        "_acquisition",
        "_client",
        "_hedge",
        "_hedges",
        "_limits",
        "_link",
        "_paths",
        "_poison",
        "_request",
        "_retries",
        "_retry",
        "_state",
        "_stream",
        "_timeout",
        "progress",
        "route",
    )

    def __init__(
        self,
        *,
        state: NodeState,
        link: Link,
        poison: PoisonGuard,
        access: Access,
        charger: QuotaCharger,
        hedges: Hedges,
        limits: LimitGuard,
        retries: Retries,
        paths: ServerPaths,
        route: Route,
        request: InboundRequest,
        client: web.BaseRequest,
        started_at: int,
    ) -> None:
        self._state = state
        self._client = client
        self._hedges = hedges
        self._limits = limits
        self._link = link
        self._poison = poison
        self._access = access
        self.route = route
        self._request = request
        self._retries = retries
        self._paths = paths
        self._retry = PendingRetry(retries=retries)
        self._timeout: asyncio.Timeout | None = None
        remaining_ms = route.timeout_ms
        if request.wait_ms is not None:
            remaining_ms = min(remaining_ms, request.wait_ms)
        self.progress = Progress(
            started_at=started_at,
            ends_at=started_at + remaining_ms - ANSWER_MARGIN_MS,
        )
        self._stream = StreamRelay(
            client=client,
            attempt_id=request.attempt_id,
            retry_policy=route.retry_policy,
            progress=self.progress,
            held=state.held_bytes,
            on_events=self._record_events,
        )
        self._acquisition = Acquisition(
            state=state,
            link=link,
            access=access,
            charger=charger,
            limits=limits,
            route=route,
            request=request,
            progress=self.progress,
            remaining_ms=remaining_ms - ANSWER_MARGIN_MS,
        )
        self._hedge = Hedge(
            hedges=hedges,
            state=state,
            acquisition=self._acquisition,
            limits=limits,
            paths=paths,
            poison=poison,
            retries=retries,
            route=route,
            request=request,
            progress=self.progress,
            build_headers=self._build_headers,
        )

    async def run(self) -> web.StreamResponse:
        """Return the answer to the caller.

        :raises RequestFailedError: if the request failed without an answer.
        :raises AnswerAbortedError: if the answer has begun and can't be completed.
        """
        refused = self._find_crash_refusal() or self._find_stop_refusal()
        if refused is not None:
            raise refused
        progress = self.progress
        progress.service = choose_service(self.route, rng=self._state.rng)
        resume_stream(self._state, self._request, self.route, progress)
        now = self._state.clock.now()
        self._retries.record_request(progress.service)
        self._hedges.record_request(progress.service)
        try:
            self._acquisition.charge_plain()
            async with asyncio.timeout(
                (progress.ends_at - now) / SECOND_MS
            ) as self._timeout:
                while True:
                    try:
                        return await self._attempt()
                    except RetryError:
                        continue
        except TimeoutError:
            self.record_interruption(AnswerEnd.TIMEOUT)
            raise build_timeout(
                self.progress, has_begun=self._stream.has_begun
            ) from None
        except RequestFailedError as error:
            raise check_promise(
                self.progress, error, has_begun=self._stream.has_begun
            ) from None
        finally:
            self._timeout = None
            self._hedge.close()
            self._acquisition.refund()
            self._limits.record_end(self._request.attempt_id, AttemptOutcome.UNUSED)
            self._retry.refund()

    def end_for_exit(self) -> None:
        """Let the time of the request be up, as the process exits."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def record_interruption(self, end: AnswerEnd) -> None:
        """Record why the last server's answer was not awaited to its end."""
        progress = self.progress
        if progress.may_have_run and progress.answer_end is None:
            progress.answer_end = end
            self._count_answer()

    def _count_answer(self) -> None:
        progress = self.progress
        self._state.metrics.answers.labels(
            progress.framing or "", progress.answer_end or ""
        ).inc()

    async def _attempt(self) -> web.StreamResponse:
        second = self._hedge.take()
        if second is not None:
            return await self._send(second.entry, second)
        try:
            entry = await self._acquisition.get_server()
        except NoServerError as error:
            raise self._build_failure(
                error.reason,
                retry_after_ms=error.retry_after_ms,
                may_retry=error.may_retry,
            ) from None
        await self._check_crashes(entry)
        return await self._send(entry)

    async def _check_crashes(self, entry: ServerEntry) -> None:
        """Check again that the request may be sent to its server.

        Servers may have crashed under copies of it while it waited.
        """
        may_send = False
        try:
            await self._poison.delay_trial(self._request)
            refused = self._find_crash_refusal() or self._find_stop_refusal()
            if refused is not None:
                raise refused
            may_send = True
        finally:
            if not may_send:
                self._acquisition.report_end(entry.incarnation, AttemptOutcome.UNUSED)

    def _find_crash_refusal(self) -> Exception | None:
        """Return the error of a request that servers crashed under, if it is one."""
        refusal = self._poison.get_refusal(self._request)
        if refusal is None:
            return None
        return self._build_failure(
            refusal.reason, retry_after_ms=refusal.retry_after_ms
        )

    def _find_stop_refusal(self) -> Exception | None:
        """Return the error of a request that can't be answered before the exit."""
        ends_at = self.progress.ends_at
        if may_send(self._state, self.route, ends_at=ends_at):
            return None
        self._state.metrics.stop_refusals.inc()
        return self._build_failure("this instance is stopping", retry_after_ms=RETRY_MS)

    async def _send(
        self, entry: ServerEntry, second: SecondAttempt | None = None
    ) -> web.StreamResponse:
        """Send the request to a server and return its answer to the caller.

        :param second: the second attempt at the server, which was sent already.
        """
        state, progress = self._state, self.progress
        progress.server = entry.incarnation
        progress.server_version = entry.software_version
        now = state.clock.now() if second is None else second.sent_at
        stats = state.server_stats
        team = self._acquisition.get_team_name()
        progress.sent_at = now
        progress.events = 0
        progress.begun_at = None
        progress.is_established = False
        progress.framing = progress.answer_end = None
        progress.helper = ""
        progress.is_second = second is not None
        if second is None:
            record_sent(stats, entry, team=team)
            # Counted before the first byte may be sent: the time may run out, or the
            # caller may disconnect, before anything is received.
            progress.may_have_run += 1
            self._paths.record_begun(entry)
            if state.limits.get(entry.incarnation) is not None:
                state.metrics.limited_attempts.inc()
            if get_exclusion(state, entry.incarnation):
                state.metrics.excluded_attempts.inc()
            known_crashes = self._poison.begin_attempt(self._request)
            state.answer_times.record_sent(self.route.name, self, now=now)
        else:
            known_crashes = second.known_crashes
        outcome = AttemptOutcome.FAILED
        took_ms: int | None = None
        try:
            if second is None:
                response = await self._hedge.send_first(
                    functools.partial(self._send_request, entry), known_crashes
                )
            else:
                response = await self._hedge.receive(second)
                progress.helper = second.helper
            progress.framing = read_framing(response)
            try:
                answer = await self._handle_answer(entry, response)
                progress.answer_end = AnswerEnd.COMPLETE
                outcome = AttemptOutcome.DONE
                if not is_server_error(response.status):
                    self._poison.clear(self._request)
                if is_success(response.status):
                    self._poison.clear_parts(self._request)
                took_ms = state.clock.now() - now
                return answer
            except _NotRunError:
                outcome = AttemptOutcome.NOT_RUN
                progress.may_have_run -= 1
                raise self._handle_refusal(entry, response) from None
            finally:
                if outcome is not AttemptOutcome.DONE:
                    response.close()
        except NotSentError:
            outcome = AttemptOutcome.UNUSED
            if second is not None:
                self._retry.take_over(second.retry)
            if self._paths.blames_server(entry):
                outcome = AttemptOutcome.UNREACHED
                state.server_starts.record_down(entry.incarnation)
            progress.may_have_run -= 1
            record_unreachable(stats, entry, now=state.clock.now())
            raise self._handle_unreachable(entry) from None
        except BrokenError as error:
            progress.answer_end = error.end
            if error.end is AnswerEnd.RESET:
                self._paths.check(entry.address)
            if not self._paths.blames_server(entry):
                outcome = AttemptOutcome.LEFT
            if error.end not in ENDS_OF_LIVE_SERVERS:
                self._poison.record_crash(
                    self._request,
                    incarnation=entry.incarnation,
                    known=known_crashes,
                    heard_at=progress.last_event_at if progress.events else now,
                    begun_at=progress.begun_at,
                )
            raise self._handle_broken(entry, str(error)) from None
        except AnswerAbandonedError as error:
            progress.answer_end = AnswerEnd.CLOSED_LOCALLY
            outcome = AttemptOutcome.LEFT
            raise self._build_failure(str(error), may_retry=False) from None
        except OvertakenError:
            outcome = AttemptOutcome.LEFT
            progress.answer_end = AnswerEnd.CLOSED_LOCALLY
            raise
        except asyncio.CancelledError:
            # The caller disconnected or the time is up; neither is the server's fault.
            outcome = AttemptOutcome.LEFT
            self._record_silence(entry, known_crashes)
            raise
        finally:
            self._paths.record_ended(entry)
            state.answer_times.record_ended(self.route.name, self, took_ms=took_ms)
            self._poison.end_attempt(self._request)
            record_done(
                stats,
                entry,
                took_ms=took_ms,
                failed=outcome is AttemptOutcome.FAILED,
                team=team,
            )
            if took_ms is not None and not self.route.is_stream:
                adjust_concurrency_limit(
                    stats,
                    entry,
                    latency_target_ms=self.route.latency_target_ms,
                    now=state.clock.now(),
                )
            state.metrics.attempts.labels(outcome.value).inc()
            if progress.answer_end is not None:
                self._count_answer()
            self._acquisition.report_end(
                entry.incarnation, outcome, is_second=second is not None
            )
            self._limits.record_end(self._request.attempt_id, outcome)

    def _record_silence(self, entry: ServerEntry, known: KnownCrashes) -> None:
        """Find out about a server that was silent since the request was sent."""
        sent_at = self.progress.sent_at
        is_heard = self._state.server_starts.was_heard(entry.incarnation, since=sent_at)
        if is_heard or self._state.clock.now() - sent_at < SILENCE_MS:
            return
        self._poison.record_silence(
            self._request, incarnation=entry.incarnation, known=known, sent_at=sent_at
        )
        self._paths.check(entry.address)

    async def _send_request(self, entry: ServerEntry) -> aiohttp.ClientResponse:
        """Send the request and settle the charge of a retry.

        If no connection could be opened, the next attempt needs no other charge.
        """
        is_sent = True
        try:
            response = await self._paths.send(
                self._request,
                entry,
                build_headers=functools.partial(self._build_headers, entry),
                on_helper=self._record_helper,
            )
            self._record_heard(entry)
            return response
        except NotSentError:
            is_sent = False
            raise
        finally:
            if is_sent:
                self._retry.settle()

    def _record_helper(self, link: str) -> None:
        self.progress.helper = link

    def _record_heard(self, entry: ServerEntry) -> None:
        if not self.progress.helper:
            self._paths.record_heard(entry)

    def _build_headers(self, entry: ServerEntry) -> list[tuple[str, str]]:
        priority: int | None = None
        if self._request.need is not None:
            is_late = self.progress.is_late
            priority = LATE_PRIORITY if is_late else min(7, self._acquisition.priority)
        return build_headers(
            self._request,
            remaining_ms=max(1, self.progress.ends_at - self._state.clock.now()),
            incarnation=entry.incarnation,
            priority=priority,
            last_event_id=self.progress.last_event_id,
            team=self._acquisition.get_team_name(),
        )

    async def _handle_answer(
        self, entry: ServerEntry, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        sent_at = self.progress.sent_at
        read_answer(self._state, entry.incarnation, response.status, response.headers)
        if is_not_run(response.status, response.headers):
            if not is_misdirected(response.status):
                self._limits.update_from_answer(
                    entry, response.headers, sent_at=sent_at
                )
            raise _NotRunError
        if not is_answer_to(self._request, response.headers):
            raise BrokenError(FOREIGN_ANSWER, end=AnswerEnd.INVALID)
        self._limits.update_from_answer(entry, response.headers, sent_at=sent_at)
        self._poison.record_answer(entry.incarnation, sent_at=sent_at)
        if self._is_streamed(response):
            first = self._hedge.take_first_part(response)
            return await self._stream.relay(response, first=first)
        return await self._relay_body(response)

    def _is_streamed(self, response: aiohttp.ClientResponse) -> bool:
        if not self.route.is_stream or response.status >= 300:
            return False
        if self.progress.framing is Framing.NONE:
            return False
        return is_event_stream(response.headers)

    async def _relay_body(self, response: aiohttp.ClientResponse) -> web.StreamResponse:
        held = self._state.held_bytes
        reading = HeldAnswer(
            attempt_id=self._request.attempt_id,
            get_kind=lambda: _get_body_kind(self.route, reading),
            content=response.content,
            transport=None if self._client is None else self._client.transport,
        )
        body = await read_held_body(response, reading, held=held)
        try:
            answer = self._build_answer(response, body, reading)
        except BaseException:
            held.remove(reading)
            raise
        if not isinstance(answer, HeldResponse):
            held.remove(reading)
        return answer

    def _build_answer(
        self, response: aiohttp.ClientResponse, body: bytes, reading: HeldAnswer
    ) -> web.StreamResponse:
        # After a server error the request counts as run, so it is retried only if it
        # may run twice: another server may not have that error.
        if is_server_error(response.status) and self._may_retry():
            self.progress.avoid.add(self.progress.server)
            self._log_failure(
                f"server error {response.status}",
                repeat=self.route.retry_policy.value,
            )
            raise RetryError
        if self._stream.has_begun:
            raise AnswerAbortedError("the stream could not go on")
        if is_promise(response.status):
            self._log_failure("refused without a proof", status=response.status)
            raise RequestFailedError(status=502, reason="the server may have run it")
        options: dict[str, Any] = {
            "status": response.status,
            "reason": response.reason,
            "headers": select_answer_headers(
                response.headers.items(),
                has_body=self.progress.framing is not Framing.NONE,
            ),
            "body": body,
        }
        held = self._state.held_bytes
        self._record_first_part()
        return HeldResponse(
            on_write=lambda: held.record_unsent(reading),
            on_end=lambda: held.remove(reading),
            **options,
        )

    def _record_events(self, events: int) -> None:
        """Count events of a stream and measure the time since the previous ones."""
        progress = self.progress
        now = self._state.clock.now()
        if progress.first_ms is None:
            self._record_first_part()
        else:
            gap_ms = now - progress.last_event_at
            progress.longest_gap_ms = max(progress.longest_gap_ms, gap_ms)
        if not progress.events:
            progress.begun_at = now
            started = record_first_event(
                self._state,
                self._request,
                self.route,
                progress,
                took_ms=now - progress.sent_at,
            )
            if progress.is_second:
                run = self._acquisition.get_key(is_second=True)
                started = msgspec.structs.replace(started, run=run)
            self._link.send(started)
            if not self._link.records_streams:
                store_stream(self._state, get_stream_key(started))
        progress.events = events
        progress.last_event_at = now
        self._acquit_parts(now)
        self._state.server_starts.record_answer(
            progress.server, sent_at=progress.sent_at
        )
        entry = self._state.by_incarnation.get(progress.server)
        if entry is not None:
            self._record_heard(entry)

    def _acquit_parts(self, now: int) -> None:
        progress = self.progress
        if progress.is_established:
            return
        if is_established(progress.begun_at, now=now):
            progress.is_established = True
            self._poison.clear_parts(self._request)

    def _record_first_part(self) -> None:
        progress = self.progress
        progress.first_ms = self._state.clock.now() - progress.started_at
        self._state.metrics.first_part.observe(progress.first_ms / SECOND_MS)

    def _handle_refusal(
        self, entry: ServerEntry, response: aiohttp.ClientResponse
    ) -> Exception:
        progress = self.progress
        progress.refused += 1
        self._log_failure(
            "refused as not run",
            tries=progress.refused,
            status=response.status,
            named=read_named_attempt(response),
            calls_before=count_calls_before(response),
        )
        if self._request.need is None:
            progress.avoid.add(entry.incarnation)
            record_refused(self._state.server_stats, entry, now=self._state.clock.now())
        if self._hedge.is_in_flight:
            return RetryError()
        if progress.refused <= MAX_REFUSALS and self._retry.try_charge(
            self.progress.service
        ):
            return RetryError()
        return self._build_failure(
            "servers refused", retry_after_ms=self._acquisition.get_retry_after()
        )

    def _handle_unreachable(self, entry: ServerEntry) -> Exception:
        progress = self.progress
        progress.unreached += 1
        progress.avoid.add(entry.incarnation)
        self._log_failure("out of reach", tries=progress.unreached)
        if progress.unreached <= MAX_UNREACHABLE or self._hedge.is_in_flight:
            return RetryError()
        return self._build_failure("servers out of reach")

    def _handle_broken(self, entry: ServerEntry, detail: str) -> Exception:
        progress = self.progress
        progress.avoid.add(entry.incarnation)
        self._log_failure(detail, repeat=self.route.retry_policy.value)
        if self._may_retry():
            progress.resumes += self._stream.has_begun
            return RetryError()
        if self._stream.has_begun:
            return AnswerAbortedError(detail)
        return RequestFailedError(status=502, reason="the server broke off")

    def _log_failure(self, why: str, **fields: Any) -> None:
        log_event(
            Event.ATTEMPT_FAILED,
            id=self._request.attempt_id,
            server=self.progress.server,
            why=why,
            **fields,
        )

    def _may_retry(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.route.retry_policy is RetryPolicy.ONCE:
            return False
        if self._hedge.is_in_flight:
            return True
        if self._stream.has_begun and not self._stream.can_resume:
            return False
        return self._is_within_retry_limits()

    def _is_within_retry_limits(self) -> bool:
        if self.progress.may_have_run >= self.route.max_attempts:
            return False
        if self._poison.get_refusal(self._request) is not None:
            return False
        return self._retry.try_charge(self.progress.service)

    def _build_failure(
        self,
        reason: str,
        *,
        retry_after_ms: int | None = None,
        may_retry: bool = True,
    ) -> Exception:
        """Build the error of a request that is not retried any more."""
        return build_failure(
            self.progress,
            reason,
            has_begun=self._stream.has_begun,
            retry_after_ms=retry_after_ms,
            may_retry=may_retry,
        )


def _get_body_kind(route: Route, answer: HeldAnswer) -> AnswerKind:
    if route.retry_policy is not RetryPolicy.ONCE:
        return AnswerKind.REPEATABLE
    return AnswerKind.COMPLETE if answer.is_received else AnswerKind.ONCE


class _NotRunError(Exception):
    """The server confirmed that it did not run the request."""
