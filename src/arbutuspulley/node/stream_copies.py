"""What the coordinator knows of begun streams, and the copies that it hands out."""

import asyncio

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery.begun_streams import BegunStream, compute_retention_ms
from arbutuspulley.node.messages import (
    GrantRequest,
    RefusalReason,
    Refused,
    ResponseStarted,
    StreamCopies,
)
from arbutuspulley.node.peers import Peers
from arbutuspulley.node.server_view import MAX_CHECKED_AGE_MS
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.stream_store import store_stream
from arbutuspulley.node.stream_versions import (
    UNNAMED_STREAM,
    UNREAD_RETRY_MS,
    add_copies,
    build_copies,
    get_stream_key,
)
from arbutuspulley.ports.fleet import SoftwareVersion

COPIES = 5
"""Number of instances that are told of a stream in addition to the coordinator and to
the instance that began it: of any two thirds that are lost at once, one of these
remains with a probability of 7 in 8."""

COPY_INTERVAL_MS = 50
"""Minimum interval between two messages with copies, in ms: what has not been sent is
lost with the coordinator."""

SETTLING_MS = 2_000
"""Time after which a new coordinator knows what the other instances know, in ms: they
look up the lease twice a second and then open a link."""

SETTLING_RETRY_MS = 100
"""Time after which an instance asks a new coordinator again, in ms."""

MAX_DELAY_MS = 2_000
"""Time for which it is remembered when a request arrived first, in ms: the call that
confirms the view is answered or times out before."""

VIEW_RETRY_MS = 50
"""Time after which an instance asks again while the coordinator confirms its view of
the servers, in ms."""


class StreamVersionLookup:
    """The versions at which streams have to go on, as the coordinator knows them.

    Copies of what it hears go to some other instances, so that its successor learns
    from them what neither it nor the instance that began a stream can tell any more.
    """

    __slots__ = (
        "_active_since",
        "_delayed",
        "_peers",
        "_pending",
        "_sent_at",
        "_state",
        "_timer",
    )

    def __init__(self, *, state: NodeState, peers: Peers) -> None:
        self._active_since = 0
        # When each request arrived first that has to come back until the view of the
        # servers is confirmed, by key.
        self._delayed: dict[str, int] = {}
        self._peers = peers
        self._pending: dict[int, BegunStream] = {}
        self._sent_at = 0
        self._state = state
        self._timer: asyncio.TimerHandle | None = None

    def reset(self) -> None:
        """Start over; called when this instance becomes the coordinator."""
        self._active_since = self._state.clock.now()
        self._delayed.clear()
        self._pending.clear()

    def record_started(self, message: ResponseStarted) -> None:
        """Remember the stream of an answer that has started."""
        if not message.retention_ms:
            return
        now = self._state.clock.now()
        key = get_stream_key(message)
        stream = BegunStream(
            service=message.service,
            version=SoftwareVersion(name=message.version),
            expires_at=now + message.retention_ms,
        )
        streams = self._state.begun_streams
        streams.add(key, stream, now=now)
        self._pending[key] = streams.find(key, now=now) or stream
        store_stream(self._state, key)
        if self._timer is None:
            delay_ms = max(0, self._sent_at + COPY_INTERVAL_MS - now)
            self._timer = asyncio.get_running_loop().call_later(
                delay_ms / SECOND_MS, self._send_copies
            )

    def record_copies(self, copies: tuple[StreamCopies, ...]) -> None:
        """Remember the streams that an instance knows."""
        add_copies(self._state, copies)
        for key in (key for group in copies for key, _retention_ms in group.streams):
            store_stream(self._state, key)

    def _send_copies(self) -> None:
        self._timer = None
        self._sent_at = self._state.clock.now()
        messages = build_copies(self._pending, now=self._sent_at)
        self._pending.clear()
        linked = self._peers.list_reachable()
        for peer in self._state.rng.sample(linked, min(COPIES, len(linked))):
            for message in messages:
                peer.send(message)

    def find_version(
        self, origin: str, request: GrantRequest
    ) -> SoftwareVersion | Refused | None:
        """Return the version that a request's server must have; ``None``: any.

        Where no other version is in service, requests for one need no queue and no
        copies of their own.

        :param origin: the instance that asks. If it does not know the version, it is
            told before it gets a server.
        :return: a refusal if the request resumes a stream whose version is not known.
        """
        now = self._state.clock.now()
        resumes = request.version is not None or request.resumed_stream is not None
        if resumes and not self._state.software_versions.has_listed:
            return self._refuse_unread(request)
        if request.version is not None:
            version = SoftwareVersion(name=request.version)
            if not self._may_serve(request, request.service, version):
                return self._refuse_outdated(request)
            return self._drop_if_only(request.service, version, now=now)
        if request.resumed_stream is None:
            return None
        begun = self._state.begun_streams.find(request.resumed_stream, now=now)
        if begun is not None:
            if not self._may_serve(request, begun.service, begun.version):
                return self._refuse_outdated(request)
            return self._apply_version(origin, request, begun, now=now)
        if not self._is_view_current(request):
            return self._refuse_outdated(request)
        versions = self._state.software_versions
        if not versions.is_mixed(request.service, now=now):
            return None
        is_settling = not versions.awaits_history and versions.is_settling(
            request.service, now=now
        )
        if is_settling or now - self._active_since < SETTLING_MS:
            return self._refuse(request, retry_after_ms=SETTLING_RETRY_MS)
        kept = self._state.prompt_index.find(request.service, request.prompt, now=now)
        if kept is not None and request.resumed_stream != UNNAMED_STREAM:
            begun = BegunStream(
                service=request.service,
                version=kept,
                expires_at=now + compute_retention_ms(request.left_ms),
            )
            self._state.begun_streams.add(request.resumed_stream, begun, now=now)
            store_stream(self._state, request.resumed_stream)
            return self._apply_version(origin, request, begun, now=now)
        if self._state.stream_journal.awaits_records or self._peers.has_lost_all:
            return self._refuse_unread(request)
        return self._refuse(request, retry_after_ms=0)

    def _is_view_current(self, request: GrantRequest) -> bool:
        """Return whether a server or version that is not known here does not exist."""
        now = self._state.clock.now()
        return self._state.server_view.is_current(
            MAX_CHECKED_AGE_MS, since=self._delayed.get(request.key, now)
        )

    def _may_serve(
        self, request: GrantRequest, service: str, version: SoftwareVersion
    ) -> bool:
        """Return whether a version has a server, or certainly has none any more."""
        has_server = any(
            entry.software_version == version
            for entry in self._state.by_service.get(service, ())
        )
        return has_server or self._is_view_current(request)

    def _refuse_outdated(self, request: GrantRequest) -> Refused:
        """Refuse a request until the view of the servers is confirmed."""
        view = self._state.server_view
        if view.has_failed:
            return self._refuse_unread(request)
        view.start_check()
        now = self._state.clock.now()
        self._delayed = {
            key: since
            for key, since in self._delayed.items()
            if now - since < MAX_DELAY_MS
        }
        self._delayed.setdefault(request.key, now)
        return self._refuse(request, retry_after_ms=VIEW_RETRY_MS)

    def _apply_version(
        self, origin: str, request: GrantRequest, begun: BegunStream, *, now: int
    ) -> SoftwareVersion | Refused | None:
        """Tell an instance of a stream, and return the version that it has to have."""
        for message in build_copies({request.resumed_stream or 0: begun}, now=now):
            self._peers.send(origin, message)
        if begun.service == request.service:
            return self._drop_if_only(request.service, begun.version, now=now)
        # The instance chose another service of the route and has to choose again.
        return self._refuse(request, retry_after_ms=1)

    def _drop_if_only(
        self, service: str, version: SoftwareVersion, *, now: int
    ) -> SoftwareVersion | None:
        versions = self._state.software_versions
        if versions.is_settling(service, now=now):
            return version
        return None if versions.list_known(service, now=now) == {version} else version

    def _refuse_unread(self, request: GrantRequest) -> Refused:
        return Refused(
            key=request.key,
            retry_after_ms=UNREAD_RETRY_MS,
            reason=RefusalReason.VERSION_UNREAD,
        )

    def _refuse(self, request: GrantRequest, *, retry_after_ms: int) -> Refused:
        return Refused(
            key=request.key,
            retry_after_ms=retry_after_ms,
            reason=RefusalReason.VERSION_UNKNOWN,
        )
