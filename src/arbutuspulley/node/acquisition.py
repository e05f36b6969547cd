"""Selection of a server for a request, with or without a coordinator, and charging."""

from collections.abc import Callable

import msgspec

from arbutuspulley.delivery.prompt_index import build_part_key
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.access import Access
from arbutuspulley.node.fingerprints import build_return_fingerprint
from arbutuspulley.node.limits import LimitGuard
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import (
    SECOND_KEY_SUFFIX,
    AttemptEnded,
    Granted,
    GrantRequest,
    RefusalReason,
)
from arbutuspulley.node.pending_requests import LinkLostError, RefusedError
from arbutuspulley.node.progress import (
    MAX_REFUSALS,
    Progress,
    RequestFailedError,
    get_first_part_timeout_ms,
    get_priority,
)
from arbutuspulley.node.quota_charging import QuotaCharge, QuotaCharger
from arbutuspulley.node.server_choice import CoordinatorFoundError, ServerChoice
from arbutuspulley.node.server_notices import get_exclusion
from arbutuspulley.node.server_view import MAX_CHECKED_AGE_MS, MAX_FOLLOWED_AGE_MS
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.store_watch import is_following_store
from arbutuspulley.node.stream_versions import (
    GONE_REASON,
    UNKNOWN_REASON,
    UNREAD_REASON,
    UNREAD_RETRY_MS,
    get_doubt_end,
    is_allowed,
    is_version_gone,
)
from arbutuspulley.node.version_search import VersionSearch
from arbutuspulley.ports.fleet import (
    AttemptOutcome,
    InboundRequest,
    ModelNeed,
    Route,
    ServerEntry,
)


class RetryError(Exception):
    """The request is retried at another server."""


class NoServerError(Exception):
    """No server is available for the request.

    :param retry_after_ms: when the caller should retry, in ms; ``None``: not known.
    :param may_retry: whether the caller may be served if it retries.
    """

    def __init__(
        self,
        reason: str,
        *,
        retry_after_ms: int | None = None,
        may_retry: bool = True,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.may_retry = may_retry


class Acquisition:
    """Gets a server for each attempt of one request.

    :param access: admission by the caller's key.
    :param charger: charges the request to its team's quota, once.
    :param limits: rate limits of the servers.
    :param remaining_ms: time left for the complete answer, in ms.
    """

    __slots__ = (
        "_access",
        "_charged",
        "_charger",
        "_choice",
        "_cost",
        "_first_part_timeout_ms",
        "_link",
        "_progress",
        "_request",
        "_route",
        "_state",
        "_versions",
        "priority",
    )

    def __init__(
        self,
        *,
        state: NodeState,
        link: Link,
        access: Access,
        charger: QuotaCharger,
        limits: LimitGuard,
        route: Route,
        request: InboundRequest,
        progress: Progress,
        remaining_ms: int,
    ) -> None:
        self._state = state
        self._link = link
        self._access = access
        self._charger = charger
        self._route = route
        self._request = request
        self._progress = progress
        self._cost = charger.get_cost(access.team, request)
        self._charged: QuotaCharge | None = None
        self._first_part_timeout_ms = get_first_part_timeout_ms(route, remaining_ms)
        self._versions = VersionSearch(
            state=state,
            route=route,
            request=request,
            progress=progress,
            get_max_view_age=self._get_max_view_age,
        )
        self._choice = ServerChoice(
            state=state,
            link=link,
            limits=limits,
            route=route,
            request=request,
            progress=progress,
            first_part_timeout_ms=self._first_part_timeout_ms,
            team=access.team.name if access.team is not None else "",
        )
        self.priority = get_priority(route, access.team)

    def get_team_name(self) -> str:
        """Return the name of the caller's team; empty: it has none."""
        team = self._access.team
        return team.name if team is not None else ""

    def charge_plain(self) -> None:
        """Charge a request that needs no coordinator.

        :raises RequestFailedError: if the team's quota is used up.
        """
        if not self.needs_coordinator:
            self._charge_once()

    def refund(self) -> None:
        """Refund the charge unless a server may have run the request."""
        if self._charged is not None and not self._progress.may_have_run:
            self._charger.refund(self._charged)
            self._charged = None

    async def get_server(self) -> ServerEntry:
        """Return the server for the next attempt.

        :raises NoServerError: if no server is available.
        :raises RetryError: if the granted server no longer exists, or if a coordinator
            has been found, which must grant a server.
        :raises RequestFailedError: if the team's quota is used up, or the caller's key
            is no longer valid.
        """
        need = self._request.need
        self._versions.update_unknown()
        await self._look_up_version()
        self._check_version()
        if need is not None and self.needs_coordinator:
            entry = await self._wait_for_grant(need)
        else:
            entry = await self._choice.choose_plain()
        if entry is None:
            self._check_version()
            if self._progress.is_version_unknown:
                raise await self._look_up_again()
            raise NoServerError(
                "no server has it", retry_after_ms=self._choice.get_retry_after()
            )
        self._recheck_access(entry)
        return entry

    def choose_second(
        self, is_eligible: Callable[[ServerEntry], bool]
    ) -> ServerEntry | None:
        """Return a plain server for a second attempt; ``None``: there is none now.

        :param is_eligible: whether a second attempt may begin at a server.
        """
        return self._choice.choose(is_plain=True, is_eligible=is_eligible)

    @property
    def can_ask_second(self) -> bool:
        """Whether the coordinator grants or refuses second attempts at once."""
        status = self._link.status
        return self._link.is_up and status is not None and status.grants_second

    async def request_second(self) -> ServerEntry | None:
        """Return a model server for a second attempt; ``None``: there is none now.

        The end of the attempt must be reported, whether it is sent or not.
        """
        need = self._request.need
        if need is None:
            return None
        now = self._state.clock.now()
        asked = msgspec.structs.replace(
            self._build_grant_request(need, now),
            key=self.get_key(is_second=True),
            avoid=(*self._progress.avoid, self._progress.server),
            is_repeat=True,
            cost=0,
            is_second=True,
        )
        try:
            granted = await self._link.request_grant(asked)
        except (LinkLostError, RefusedError):
            return None
        if self._get_exclusion(granted.incarnation):
            outcome = AttemptOutcome.UNUSED
            self.report_end(granted.incarnation, outcome, is_second=True)
            return None
        return self._state.by_incarnation[granted.incarnation]

    def _check_version(self) -> None:
        """Check that a server is left at which the request may go on."""
        if not is_version_gone(self._state, self._progress):
            return
        view = self._state.server_view
        if not view.is_current(MAX_FOLLOWED_AGE_MS, since=self._progress.started_at):
            raise NoServerError(UNREAD_REASON, retry_after_ms=UNREAD_RETRY_MS)
        raise NoServerError(GONE_REASON, may_retry=False)

    def _get_max_view_age(self) -> int | None:
        """Return the maximum age of the view of the servers; see `VersionSearch`."""
        if self.needs_coordinator:
            return None if self._link.can_request else MAX_CHECKED_AGE_MS
        follows = self._link.is_up or is_following_store(self._state)
        return MAX_FOLLOWED_AGE_MS if follows else MAX_CHECKED_AGE_MS

    def get_retry_after(self) -> int | None:
        """Return when a server of the request's service may accept it, in ms from now.

        :return: ``None`` if it is unknown.
        """
        return self._choice.get_retry_after()

    def get_key(self, *, is_second: bool) -> str:
        """Return the key by which the coordinator knows an attempt."""
        suffix = SECOND_KEY_SUFFIX if is_second else ""
        return self._request.attempt_id + suffix

    def report_end(
        self, incarnation: str, outcome: AttemptOutcome, *, is_second: bool = False
    ) -> None:
        """Report the outcome of an attempt to the coordinator.

        :param is_second: whether it began beside one that was silent.
        """
        if self._request.need is None:
            return
        key = self.get_key(is_second=is_second)
        self._link.runs.remove(key)
        self._link.send(
            AttemptEnded(
                key=key,
                incarnation=incarnation,
                how=outcome,
                events=self._progress.events,
            )
        )

    @property
    def needs_coordinator(self) -> bool:
        """Whether servers of the request's service are granted by a coordinator."""
        return self._request.need is not None and self._choice.has_models()

    def _charge_once(self) -> None:
        team = self._access.team
        if team is None or not self._cost or self._charged is not None:
            return
        self._charged = self._charger.charge(
            team, self._cost, attempt_id=self._request.attempt_id
        )

    async def _wait_for_grant(self, need: ModelNeed) -> ServerEntry | None:
        progress = self._progress
        now = self._state.clock.now()
        try:
            granted = await self._request_grant(self._build_grant_request(need, now))
        except LinkLostError:
            return await self._choose_uncoordinated(need)
        except RefusedError as error:
            if error.reason == RefusalReason.VERSION_UNKNOWN:
                if await self._versions.wait_for_coordinator(error.retry_after_ms):
                    raise RetryError from None
                raise NoServerError(UNKNOWN_REASON, may_retry=False) from None
            is_unread = error.reason == RefusalReason.VERSION_UNREAD
            if is_unread and await self._versions.ask_servers():
                raise RetryError from None
            raise self._build_refusal(error) from None
        finally:
            progress.waited_ms += self._state.clock.now() - now
        progress.is_late = granted.is_late
        try:
            self._versions.find()
        except RequestFailedError:
            self.report_end(granted.incarnation, AttemptOutcome.UNUSED)
            raise
        if self._versions.may_lack_versions and self._link.records_streams:
            # The coordinator refuses streams whose version it does not know.
            progress.is_version_unknown = False
        why = self._get_exclusion(granted.incarnation)
        if why:
            raise self._return_grant(granted, why)
        return self._state.by_incarnation[granted.incarnation]

    def _get_exclusion(self, incarnation: str) -> str:
        """Return why the request is not sent to a granted server; empty: it is."""
        why = get_exclusion(self._state, incarnation)
        if why:
            return why
        entry = self._state.by_incarnation[incarnation]
        if not is_allowed(self._progress, entry):
            return "of another software version"
        if get_doubt_end(self._state, self._route, entry):
            return "possibly another start"
        return ""

    def _build_refusal(self, error: RefusedError) -> NoServerError:
        if error.reason == RefusalReason.VERSION_GONE:
            return NoServerError(GONE_REASON, may_retry=False)
        if error.reason == RefusalReason.VERSION_UNREAD:
            return NoServerError(UNREAD_REASON, retry_after_ms=error.retry_after_ms)
        return NoServerError("refused", retry_after_ms=error.retry_after_ms)

    async def _look_up_version(self) -> None:
        """Look for the version of a stream in the store if no coordinator can tell."""
        if not self._progress.is_version_unknown:
            return
        if self._link.can_request and self.needs_coordinator:
            return
        await self._versions.look_up()

    async def _look_up_again(self) -> Exception:
        """Look again for a stream that an instance may have recorded meanwhile.

        :return: the error that ends this attempt or the request.
        """
        await self._look_up_version()
        is_known = not self._progress.is_version_unknown
        if is_known or await self._versions.ask_servers():
            return RetryError()
        if self._progress.is_store_read:
            return NoServerError(UNKNOWN_REASON, may_retry=False)
        return NoServerError(UNREAD_REASON, retry_after_ms=UNREAD_RETRY_MS)

    def _return_grant(self, granted: Granted, why: str) -> Exception:
        """Return a grant of a server that gets no requests from this instance.

        The coordinator granted it before it learnt what this instance knows.

        :return: the error that ends this attempt or the request.
        """
        progress = self._progress
        log_event(
            Event.GRANT_RETURNED,
            id=self._request.attempt_id,
            server=granted.incarnation,
            why=why,
        )
        self.report_end(granted.incarnation, AttemptOutcome.UNUSED)
        if why != "cooldown":
            progress.avoid.add(granted.incarnation)
        progress.refused += 1
        if progress.refused > MAX_REFUSALS:
            return NoServerError(f"granted server is {why}")
        return RetryError()

    def _build_grant_request(self, need: ModelNeed, now: int) -> GrantRequest:
        progress, route = self._progress, self._route
        # After the first event the caller waits for the next one.
        is_begun = progress.first_ms is not None
        since = progress.last_event_at if is_begun else progress.started_at
        target_ms = route.gap_target_ms if is_begun else route.latency_target_ms
        team_name = self.get_team_name()
        shares_contended = self._state.settings.shares_contended
        return GrantRequest(
            key=self._request.attempt_id,
            service=progress.service,
            need=need,
            zone=self._state.settings.site,
            priority=self.priority,
            aim_ms=since + target_ms - now,
            left_ms=min(progress.ends_at, since + self._first_part_timeout_ms) - now,
            avoid=tuple(progress.avoid),
            is_repeat=bool(progress.server),
            pause_ms=route.gap_target_ms,
            team=team_name,
            cost=0 if self._charged is not None else self._cost,
            version=progress.version.name if progress.version else None,
            resumed_stream=progress.resumed_stream,
            prompt=(
                build_part_key(self._request.own_part)
                if progress.is_version_unknown
                else 0
            ),
            fingerprint=(
                build_return_fingerprint(self._request, team=team_name)
                if shares_contended
                else 0
            ),
            ends_in_ms=max(0, progress.ends_at - now) if shares_contended else 0,
        )

    async def _request_grant(self, request: GrantRequest) -> Granted:
        """Request a grant from the coordinator, which charges the request."""
        if request.cost:
            self._charged = QuotaCharge(
                team=request.team, cost=request.cost, is_local=False
            )
        try:
            granted = await self._link.request_grant(request)
        except LinkLostError:
            # Whether the coordinator charged it is unknown; it counts as charged.
            if request.cost:
                self._charged = None
            raise
        except RefusedError as error:
            if not error.is_over_quota:
                raise
            self._charged = None
            raise self._charger.build_refusal(
                request.team, request.key, error.retry_after_ms
            ) from None
        self._charger.record_coordinated()
        return granted

    async def _choose_uncoordinated(self, need: ModelNeed) -> ServerEntry | None:
        """Choose a server without a coordinator."""
        if await self._choice.wait_for_coordinator():
            raise RetryError
        if self._versions.is_view_outdated and not self._progress.is_version_unknown:
            # The link was lost while the coordinator was asked.
            self._versions.update_unknown()
            if self._progress.is_version_unknown:
                raise RetryError
        self._charge_once()
        try:
            return await self._choice.choose_uncoordinated(need)
        except CoordinatorFoundError:
            raise RetryError from None

    def _recheck_access(self, entry: ServerEntry) -> None:
        """Check the key again before the first server runs the request."""
        if self._progress.may_have_run:
            return
        try:
            self._access.check()
        except RequestFailedError:
            self.report_end(entry.incarnation, AttemptOutcome.UNUSED)
            raise
