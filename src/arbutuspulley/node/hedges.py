"""Second attempts of requests whose first attempt is silent.

The first attempt runs in the request's own task, and a second one in a task beside it.
A second attempt that answers first interrupts the first one, whose accounting ends like
that of any attempt; then the request takes the second one over and goes on with it. The
accounting of a second attempt is done here until the request has taken it over.

When a second attempt begins is decided in :mod:`arbutuspulley.delivery.hedging`, and
how many may begin in :mod:`arbutuspulley.admission.hedge_budget`.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable

import aiohttp

from arbutuspulley.admission import hedge_budget
from arbutuspulley.admission.hedge_budget import HedgeBudget, build_hedge_budget
from arbutuspulley.admission.service_retry_budget import RetryCharge
from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import State
from arbutuspulley.delivery.hedging import (
    MAX_LOAD,
    FirstByteTimes,
    Situation,
    Withheld,
    find_reason,
    get_hedge_delay,
    may_hedge,
    record_first_byte,
)
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.limit_shares import get_instance_share
from arbutuspulley.membership.server_reach import is_down, is_reachable, is_suspect
from arbutuspulley.node.acquisition import Acquisition, RetryError
from arbutuspulley.node.limits import LimitGuard
from arbutuspulley.node.poison import KnownCrashes, PoisonGuard
from arbutuspulley.node.progress import Progress
from arbutuspulley.node.retries import PendingRetry, Retries
from arbutuspulley.node.server_notices import read_answer
from arbutuspulley.node.server_paths import ServerPaths
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.requests import (
    is_answer_to,
    is_event_stream,
    is_misdirected,
    is_not_run,
    is_server_error,
)
from arbutuspulley.platform.transport import (
    BrokenError,
    NotSentError,
    read_framing,
    read_part,
)
from arbutuspulley.ports.answers import ENDS_OF_LIVE_SERVERS, AnswerEnd, Framing
from arbutuspulley.ports.fleet import (
    AttemptOutcome,
    InboundRequest,
    Route,
    ServerEntry,
)
from arbutuspulley.routing.local_choice import (
    get_stats,
    record_done,
    record_overtaken,
    record_refused,
    record_sent,
    record_unreachable,
)

Response = aiohttp.ClientResponse


class OvertakenError(RetryError):
    """The second attempt has begun to answer before the first one."""


class SecondAttempt(State, eq=False):
    """A second attempt that has begun.

    :param known_crashes: crashes that were known as it was sent.
    :param charge: its charge to the budget of second attempts, until it is settled.
    :param retry: its charge to the retry budget.
    :param helper: link address of the instance that sends it for this one; empty: none.
    """

    entry: ServerEntry
    sent_at: int
    known_crashes: KnownCrashes
    charge: RetryCharge | None
    retry: PendingRetry
    helper: str = ""
    task: asyncio.Task[Response] | None = None


class Hedges:
    """Budgets of second attempts by service, and times to first byte by route."""

    __slots__ = ("_budgets", "_state", "_times")

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._budgets: dict[str, HedgeBudget] = {}
        self._times: dict[str, FirstByteTimes] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether second attempts may begin at all."""
        return self._state.settings.hedge_ratio > 0

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        if self.is_enabled:
            budget = self.get_budget(service)
            hedge_budget.record_request(budget, now=self._state.clock.now())

    def record_first_byte(self, route: str, took_ms: int) -> None:
        """Record how long the first attempt of a request was silent."""
        times = self._times.setdefault(route, FirstByteTimes())
        record_first_byte(times, took_ms, now=self._state.clock.now())

    def get_delay(self, route: str) -> int | None:
        """Return after which silence a second attempt begins, in ms."""
        times = self._times.get(route)
        if times is None:
            return None
        return get_hedge_delay(times, now=self._state.clock.now())

    def get_budget(self, service: str) -> HedgeBudget:
        """Return a service's budget, by the current settings."""
        state = self._state
        settings = state.settings
        hedges = self._budgets.get(service)
        if hedges is None:
            hedges = self._budgets[service] = build_hedge_budget(
                ratio=settings.hedge_ratio,
                window_ms=settings.retry_window_ms,
                phase=state.rng.random(),
            )
        hedges.budget.ratio = settings.hedge_ratio
        hedges.budget.window_ms = settings.retry_window_ms
        return hedges


class Hedge:
    """The second attempt of one request, if it has one.

    :param hedges: budgets and times of this instance.
    :param build_headers: returns the headers of the request to a server.
    """

    __slots__ = (
        "_acquisition",
        "_asking",
        "_build_headers",
        "_first_at",
        "_first_parts",
        "_has_started",
        "_hedges",
        "_is_considered",
        "_limits",
        "_paths",
        "_poison",
        "_progress",
        "_request",
        "_retries",
        "_route",
        "_scope",
        "_second",
        "_state",
    )

    def __init__(
        self,
        *,
        hedges: Hedges,
        state: NodeState,
        acquisition: Acquisition,
        limits: LimitGuard,
        paths: ServerPaths,
        poison: PoisonGuard,
        retries: Retries,
        route: Route,
        request: InboundRequest,
        progress: Progress,
        build_headers: Callable[[ServerEntry], list[tuple[str, str]]],
    ) -> None:
        self._hedges = hedges
        self._state = state
        self._acquisition = acquisition
        self._limits = limits
        self._paths = paths
        self._poison = poison
        self._retries = retries
        self._route = route
        self._request = request
        self._progress = progress
        self._build_headers = build_headers
        self._has_started = False
        self._is_considered = False
        self._first_at = 0
        # What has been read of streams that nobody has taken over.
        self._first_parts: dict[Response, bytes] = {}
        self._asking: asyncio.Task[ServerEntry | None] | None = None
        # The first attempt while it is silent and a second one may interrupt it.
        self._scope: asyncio.Timeout | None = None
        self._second: SecondAttempt | None = None

    @property
    def is_in_flight(self) -> bool:
        """Whether a second attempt goes on that the request can take over."""
        return self._second is not None

    async def send_first(
        self, send: Callable[[], Awaitable[Response]], known: KnownCrashes
    ) -> Response:
        """Send the first attempt, and a second one beside it if it stays silent.

        :param send: sends the first attempt and returns its answer.
        :param known: crashes that were known before.
        :return: the first attempt's answer. Unless it is a usable one, a second attempt
            goes on.
        :raises OvertakenError: if the second attempt has begun a usable answer.
        """
        if not self._hedges.is_enabled:
            return await send()
        self._first_at = self._state.clock.now()
        delay_ms = self._get_delay()
        if delay_ms is None:
            response = await self._receive_first(send)
        else:
            response = await self._send_watched(send, known, delay_ms)
        self._record_first_byte("lost" if self._has_started else "none")
        if self._second is not None and _is_usable(self._request, response):
            self._close(is_judged=True)
        return response

    def take(self) -> SecondAttempt | None:
        """Return the second attempt, which the request takes over; ``None``: none."""
        second, self._second = self._second, None
        return second

    async def receive(self, second: SecondAttempt) -> Response:
        """Return the answer of a second attempt that was taken over.

        If nothing was sent, its charge to the retry budget is left to the request.

        :raises NotSentError: if nothing was sent to its server.
        :raises BrokenError: if its server may have run it and did not answer.
        """
        if second.task is None:
            raise RuntimeError("the second attempt was not sent")
        has_won = has_run = False
        is_sent = True
        try:
            response = await second.task
            has_run = not is_not_run(response.status, response.headers)
            has_won = _is_usable(self._request, response)
            return response
        except NotSentError:
            is_sent = False
            raise
        except BaseException:
            has_run = True
            if second.task.done():
                # The request may have been cancelled just as the answer arrived.
                self._close_answer(second.task)
            raise
        finally:
            if is_sent:
                second.retry.settle()
            self._settle(second, has_run=has_run)
            self._record_result(second, has_won=has_won)

    def close(self) -> None:
        """End the second attempt, if one goes on; its connection is closed."""
        self._close(is_judged=False)
        for response in list(self._first_parts):
            self.take_first_part(response)

    def _close(self, *, is_judged: bool) -> None:
        """End the second attempt.

        :param is_judged: whether it has lost against the first one, rather than that
            the caller left or the time is up.
        """
        second = self.take()
        if second is None or second.task is None:
            return
        if not second.task.cancel():
            self._close_answer(second.task)
        self._end_lost(second, AttemptOutcome.LEFT, is_judged=is_judged)

    def _close_answer(self, task: asyncio.Task[Response]) -> None:
        if not task.cancelled() and task.exception() is None:
            self.take_first_part(task.result())
            task.result().close()

    async def _send_watched(
        self,
        send: Callable[[], Awaitable[Response]],
        known: KnownCrashes,
        delay_ms: int,
    ) -> Response:
        loop = asyncio.get_running_loop()
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scope = scope
                timer = loop.call_later(delay_ms / SECOND_MS, self._begin, known)
                try:
                    return await self._receive_first(send)
                finally:
                    timer.cancel()
                    self._scope = None
                    if self._asking is not None:
                        self._asking.cancel()
        except TimeoutError:
            if not scope.expired():
                raise
            self._record_overtaken()
            raise OvertakenError from None

    async def _receive_first(self, send: Callable[[], Awaitable[Response]]) -> Response:
        response = await send()
        await self._read_first_part(response, self._progress.server)
        return response

    def _record_overtaken(self) -> None:
        """Record that the first attempt was silent until the second one answered."""
        self._record_first_byte("won")
        entry = self._state.by_incarnation.get(self._progress.server)
        if entry is not None:
            record_overtaken(
                self._state.server_stats,
                entry,
                silent_ms=self._state.clock.now() - self._first_at,
            )

    def _get_delay(self) -> int | None:
        """Return after which silence a second attempt begins; ``None``: none may."""
        if self._is_considered or self._progress.first_ms is not None:
            return None
        if not may_hedge(self._route):
            return None
        acquisition = self._acquisition
        if acquisition.needs_coordinator and not acquisition.can_ask_second:
            return None
        return self._hedges.get_delay(self._route.name)

    def _begin(self, known: KnownCrashes) -> None:
        """Begin a second attempt, as the first one has been silent for long enough."""
        if self._scope is None:
            return
        self._is_considered = True
        needs_grant = self._acquisition.needs_coordinator
        entry: ServerEntry | None = None
        if not needs_grant:
            entry = self._acquisition.choose_second(self._is_eligible)
        has_server = needs_grant or entry is not None
        why = find_reason(self._describe(known, has_server=has_server))
        if why is not None:
            self._withhold(why)
            return
        budget = self._hedges.get_budget(self._progress.service)
        charge = hedge_budget.try_charge(budget, now=self._state.clock.now())
        if charge is None:
            self._withhold(Withheld.BUDGET)
            return
        retry = PendingRetry(retries=self._retries)
        if not retry.try_charge(self._progress.service):
            hedge_budget.refund(budget, charge)
            self._withhold(Withheld.RETRY_BUDGET)
            return
        if entry is not None:
            self._start(entry, charge, retry)
            return
        loop = asyncio.get_running_loop()
        self._asking = loop.create_task(self._acquisition.request_second())
        self._asking.add_done_callback(
            functools.partial(self._handle_grant, charge, retry)
        )

    def _handle_grant(
        self,
        charge: RetryCharge,
        retry: PendingRetry,
        task: asyncio.Task[ServerEntry | None],
    ) -> None:
        """Begin the second attempt at a granted server, if it is still wanted."""
        self._asking = None
        entry = None if task.cancelled() else task.result()
        # A server may have crashed under a copy of it meanwhile.
        is_wanted = self._scope is not None and not self._poison.is_suspect(
            self._request
        )
        if entry is not None and is_wanted and self._can_reach(entry):
            self._start(entry, charge, retry)
            return
        if entry is not None:
            outcome = AttemptOutcome.UNUSED
            self._acquisition.report_end(entry.incarnation, outcome, is_second=True)
        retry.refund()
        budget = self._hedges.get_budget(self._progress.service)
        hedge_budget.refund(budget, charge)
        if is_wanted:
            self._withhold(Withheld.NO_SERVER)

    def _describe(self, known: KnownCrashes, *, has_server: bool) -> Situation:
        state, progress, route = self._state, self._progress, self._route
        now = state.clock.now()
        budget = self._hedges.get_budget(progress.service)
        return Situation(
            has_crashed_servers=bool(known.request or any(known.parts))
            or self._poison.is_suspect(self._request),
            attempts=progress.may_have_run,
            max_attempts=route.max_attempts,
            left_ms=progress.ends_at - now,
            latency_target_ms=route.latency_target_ms,
            is_cut_off=is_suspect(state.server_reach),
            is_losing=hedge_budget.is_losing(budget, now=now),
            is_full=self._is_full(now),
            has_server=has_server,
        )

    def _is_full(self, now: int) -> bool:
        """Return whether a plain service is nearly full, as this instance sees it.

        That is so if one of its servers has refused a request as full, or if this
        instance uses most of its share of their slots.
        """
        if self._acquisition.needs_coordinator:
            return False
        state = self._state
        entries = state.by_service.get(self._progress.service, ())
        stats = [get_stats(state.server_stats, entry) for entry in entries]
        if any(one.refusals and one.backoff_until > now for one in stats):
            return True
        slots = sum(entry.slots for entry in entries if not entry.is_leaving)
        share = get_instance_share(slots, share_divisor=state.share_divisor)
        return sum(one.in_flight for one in stats) > max(1.0, MAX_LOAD * share)

    def _is_eligible(self, entry: ServerEntry) -> bool:
        """Return whether a second attempt may begin at a server, if it is allowed to.

        Its slots are compared with this instance's own requests, and with its share of
        them: those of other instances are not known here.
        """
        state, incarnation = self._state, entry.incarnation
        if incarnation == self._progress.server:
            return False
        if state.limits.get(incarnation) is not None:
            return False
        if state.brittle.get(incarnation) is not None:
            return False
        if not self._can_reach(entry):
            return False
        stats = get_stats(state.server_stats, entry)
        if stats.backoff_until > state.clock.now():
            return False
        slots = get_instance_share(entry.slots, share_divisor=state.share_divisor)
        return stats.in_flight < max(1.0, slots)

    def _can_reach(self, entry: ServerEntry) -> bool:
        """Return whether this instance connects to a server itself."""
        reach, address = self._state.server_reach, entry.address
        if address in reach.unreachable_since:
            return False
        now = self._state.clock.now()
        return is_reachable(reach, address) and not is_down(reach, address, now=now)

    def _start(
        self, entry: ServerEntry, charge: RetryCharge, retry: PendingRetry
    ) -> None:
        state = self._state
        second = SecondAttempt(
            entry=entry,
            sent_at=state.clock.now(),
            known_crashes=self._poison.begin_attempt(self._request),
            charge=charge,
            retry=retry,
        )
        team = self._acquisition.get_team_name()
        record_sent(state.server_stats, entry, team=team)
        self._progress.may_have_run += 1
        self._paths.record_begun(entry)
        second.task = asyncio.get_running_loop().create_task(self._send(second))
        second.task.add_done_callback(functools.partial(self._handle_done, second))
        self._second = second
        self._has_started = True
        self._count("begun")
        log_event(
            Event.SECOND_ATTEMPT_BEGUN,
            id=self._request.attempt_id,
            server=entry.incarnation,
            first_server=self._progress.server,
            silent_ms=second.sent_at - self._first_at,
        )

    async def _send(self, second: SecondAttempt) -> Response:
        def record_helper(link: str) -> None:
            second.helper = link

        response = await self._paths.send(
            self._request,
            second.entry,
            build_headers=functools.partial(self._build_headers, second.entry),
            on_helper=record_helper,
        )
        if not second.helper:
            self._paths.record_heard(second.entry)
        await self._read_first_part(response, second.entry.incarnation)
        return response

    async def _read_first_part(self, response: Response, incarnation: str) -> None:
        """Wait for the first part of a stream.

        A server may send the headers of a stream as soon as it has the request, long
        before its first event, so they don't show that its answer has begun. What they
        state about the server counts at once, also if the attempt loses.
        """
        if not self._route.is_stream or not _is_usable(self._request, response):
            return
        is_event_answer = response.status < 300 and is_event_stream(response.headers)
        if not is_event_answer or read_framing(response) is Framing.NONE:
            return
        status, headers = response.status, response.headers
        read_answer(self._state, incarnation, status, headers)
        try:
            part = self._first_parts[response] = await read_part(response)
            self._state.held_bytes.change(before=0, now=len(part))
        except BaseException:
            self.take_first_part(response)
            response.close()
            raise

    def take_first_part(self, response: Response) -> bytes:
        """Return what has been read of a stream, which its reader takes over."""
        part = self._first_parts.pop(response, b"")
        self._state.held_bytes.change(before=len(part), now=0)
        return part

    def _handle_done(self, second: SecondAttempt, task: asyncio.Task[Response]) -> None:
        """Handle the end of a second attempt's silence."""
        if second is not self._second:
            # It was taken over, or is not needed any more. An answer may have arrived
            # as the attempt was ended.
            return
        if task.cancelled():
            # The process ends.
            self.close()
            return
        error = task.exception()
        if error is None and _is_usable(self._request, task.result()):
            # If the first attempt has failed meanwhile, the request takes it over.
            if self._scope is not None:
                self._scope.reschedule(asyncio.get_running_loop().time())
            return
        self.take()
        if isinstance(error, NotSentError):
            self._handle_not_sent(second)
        elif isinstance(error, BrokenError):
            self._handle_broken(second, error)
        elif error is not None:
            self._end_lost(second, AttemptOutcome.FAILED)
            raise error
        else:
            self._handle_refusal(second, task.result())

    def _handle_not_sent(self, second: SecondAttempt) -> None:
        state, entry = self._state, second.entry
        is_blamed = self._paths.blames_server(entry)
        outcome = AttemptOutcome.UNREACHED if is_blamed else AttemptOutcome.UNUSED
        if is_blamed:
            state.server_starts.record_down(entry.incarnation)
        record_unreachable(state.server_stats, entry, now=state.clock.now())
        self._progress.may_have_run -= 1
        second.retry.refund()
        self._log_failure(second, "out of reach")
        self._end_lost(second, outcome, has_run=False)

    def _handle_broken(self, second: SecondAttempt, error: BrokenError) -> None:
        entry = second.entry
        if error.end is AnswerEnd.RESET:
            self._paths.check(entry.address)
        is_blamed = self._paths.blames_server(entry)
        if error.end not in ENDS_OF_LIVE_SERVERS:
            self._poison.record_crash(
                self._request,
                incarnation=entry.incarnation,
                known=second.known_crashes,
                heard_at=second.sent_at,
            )
        self._log_failure(second, str(error))
        self._state.metrics.answers.labels("", error.end).inc()
        self._end_lost(
            second, AttemptOutcome.FAILED if is_blamed else AttemptOutcome.LEFT
        )

    def _handle_refusal(self, second: SecondAttempt, response: Response) -> None:
        """Handle an answer that is worth less than waiting for the first attempt's."""
        state, entry = self._state, second.entry
        status, headers = response.status, response.headers
        read_answer(state, entry.incarnation, status, headers)
        has_run = not is_not_run(status, headers)
        if not is_misdirected(status):
            self._limits.update_from_answer(entry, headers, sent_at=second.sent_at)
        if has_run:
            self._log_failure(second, f"server error {status}")
            outcome = AttemptOutcome.FAILED
        else:
            self._progress.may_have_run -= 1
            record_refused(state.server_stats, entry, now=state.clock.now())
            self._log_failure(second, "refused as not run")
            outcome = AttemptOutcome.NOT_RUN
        response.close()
        self._end_lost(second, outcome, has_run=has_run)

    def _end_lost(
        self,
        second: SecondAttempt,
        outcome: AttemptOutcome,
        *,
        has_run: bool = True,
        is_judged: bool = True,
    ) -> None:
        """End the accounting of a second attempt that is not taken over.

        :param has_run: whether its server may have run it.
        :param is_judged: whether it counts among the outcomes of second attempts.
        """
        self._paths.record_ended(second.entry)
        self._poison.end_attempt(self._request)
        record_done(
            self._state.server_stats,
            second.entry,
            took_ms=None,
            failed=outcome is AttemptOutcome.FAILED,
            team=self._acquisition.get_team_name(),
        )
        self._state.metrics.attempts.labels(outcome.value).inc()
        self._acquisition.report_end(second.entry.incarnation, outcome, is_second=True)
        second.retry.settle()
        self._settle(second, has_run=has_run)
        self._record_result(second, has_won=False, is_judged=is_judged)

    def _settle(self, second: SecondAttempt, *, has_run: bool) -> None:
        """Settle its charge to the budget of second attempts, or return it.

        That to the retry budget is returned only where nothing was sent: it limits what
        arrives at servers, which includes what they refuse.
        """
        charge, second.charge = second.charge, None
        if charge is None:
            return
        budget = self._hedges.get_budget(self._progress.service)
        if has_run:
            hedge_budget.settle(budget, charge, now=self._state.clock.now())
        else:
            hedge_budget.refund(budget, charge)

    def _record_result(
        self, second: SecondAttempt, *, has_won: bool, is_judged: bool = True
    ) -> None:
        now = self._state.clock.now()
        if is_judged:
            budget = self._hedges.get_budget(self._progress.service)
            hedge_budget.record_outcome(budget, has_won=has_won, now=now)
        self._count("won" if has_won else "lost")
        log_event(
            Event.SECOND_ATTEMPT_WON if has_won else Event.SECOND_ATTEMPT_LOST,
            id=self._request.attempt_id,
            server=second.entry.incarnation,
            took_ms=now - second.sent_at,
        )

    def _withhold(self, why: Withheld) -> None:
        self._count("withheld", why.value)
        log_event(
            Event.SECOND_ATTEMPT_WITHHELD,
            id=self._request.attempt_id,
            first_server=self._progress.server,
            why=why.value,
        )

    def _count(self, how: str, why: str = "") -> None:
        metrics = self._state.metrics
        metrics.second_attempts.labels(self._progress.service, how, why).inc()

    def _record_first_byte(self, second: str) -> None:
        took_ms = self._state.clock.now() - self._first_at
        self._hedges.record_first_byte(self._route.name, took_ms)
        self._state.metrics.first_byte.labels(second).observe(took_ms / SECOND_MS)

    def _log_failure(self, second: SecondAttempt, why: str) -> None:
        self._progress.avoid.add(second.entry.incarnation)
        log_event(
            Event.ATTEMPT_FAILED,
            id=self._request.attempt_id,
            server=second.entry.incarnation,
            why=why,
            is_second=True,
        )


def _is_usable(request: InboundRequest, response: Response) -> bool:
    """Return whether an answer is worth ending the other attempt for."""
    if is_not_run(response.status, response.headers):
        return False
    if is_server_error(response.status):
        return False
    return is_answer_to(request, response.headers)
