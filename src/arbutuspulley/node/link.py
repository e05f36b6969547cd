"""An instance's WebSocket connection to the coordinator."""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.decoding import UndecodableError
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.confirmation import Confirmation
from arbutuspulley.node.frames import decode_from_coordinator, encode_frame
from arbutuspulley.node.heartbeats import HeartbeatTracker
from arbutuspulley.node.messages import (
    AttemptEnded,
    CancelRequest,
    ConfigurationDelta,
    CoordinatorEstimates,
    CoordinatorStatus,
    Granted,
    GrantRequest,
    Heartbeat,
    Hello,
    LeavingNotice,
    PermissionRequest,
    QuotaExceeded,
    QuotaUsage,
    Refused,
    RosterChange,
    RunningRequest,
    ServerLimits,
    StoreUpdate,
    StreamCopies,
    SuspicionUpdate,
    ToCoordinator,
    ToNode,
)
from arbutuspulley.node.pending_requests import (
    LinkLostError,
    PendingRequests,
    RefusedError,
)
from arbutuspulley.node.roster import RosterCopy, apply_change
from arbutuspulley.node.running_requests import RunningRequests
from arbutuspulley.node.server_notices import (
    apply_leaving,
    list_cooldowns,
    list_server_limits,
)
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.store_watch import (
    apply_configuration_delta,
    apply_store_update,
    is_following_store,
)
from arbutuspulley.node.stream_versions import add_copies, list_copies
from arbutuspulley.node.suspects import build_suspects
from arbutuspulley.ports.fleet import AttemptOutcome

LINK_PATH = "/link"
"""Path of the WebSocket at an instance's link address."""

HEARTBEAT_MS = 250
"""Interval of the heartbeats and of the coordinator's status, in ms."""

COORDINATOR_TIMEOUT_MS = 800
"""Timeout of the coordinator, in ms: if it has sent no message for this long, it gets
no more requests. This is three heartbeat intervals, and short against latency targets
of 600 ms and more."""

MAX_RELAY_AGE_MS = 1_000
"""Maximum age of relayed store data, in ms; beyond it an instance calls the store
itself. Heartbeat and status intervals add up to half a second, and with the delay until
the instance calls the store, a change is still active within 2 s."""

RECONNECT_MS = 1_600
"""Time without a message after which a connection is reopened, in ms: an open one may
transmit nothing any more while new ones work."""

PERMISSION_TIMEOUT_S = 0.2
"""Timeout of a :class:`PermissionRequest`, in s. The answer needs no scheduling, and
plain requests have latency targets of about 0.1 to 0.4 s."""

CONNECT_TIMEOUT_S = 0.5
"""Timeout for opening a connection, in s."""


class Link:
    """The link to the coordinator, which may run in this process.

    ``runs`` are this instance's requests in flight. ``deliver_local`` passes messages
    to the coordinator in this process; ``None`` while this instance is not it.
    ``on_suspicions`` is called with suspicions of requests that crash servers,
    ``on_quota_exceeded`` with teams that have used more than their quota,
    ``on_rate_limits`` with servers' rate limits.
    """

    __slots__ = (
        "_address",
        "_confirmation",
        "_coordinator_version",
        "_handlers",
        "_heartbeats",
        "_is_closed",
        "_last_status_at",
        "_opened_at",
        "_outgoing",
        "_pending",
        "_roster",
        "_state",
        "_task",
        "_usage",
        "_wake",
        "deliver_local",
        "on_quota_exceeded",
        "on_rate_limits",
        "on_suspicions",
        "runs",
        "status",
    )

    def __init__(self, *, state: NodeState) -> None:
        self._state = state
        self._address = ""
        self._confirmation = Confirmation(state=state)
        self._handlers = self._build_handlers()
        self._heartbeats = HeartbeatTracker(now=state.clock.now())
        self._last_status_at = -COORDINATOR_TIMEOUT_MS
        self._is_closed = False
        # Version of the coordinator's active configuration; None until its first status
        # on this connection.
        self._coordinator_version: int | None = None
        self._opened_at = 0
        self._outgoing: list[ToCoordinator] = []
        self._pending = PendingRequests()
        self._roster = RosterCopy()
        self._usage: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self.runs = RunningRequests(clock=state.clock)
        self.status: CoordinatorStatus | None = None
        self.on_suspicions: Callable[[SuspicionUpdate], None] = _ignore
        self.on_quota_exceeded: Callable[[QuotaExceeded], None] = _ignore
        self.on_rate_limits: Callable[[ServerLimits], None] = _ignore
        self.deliver_local: Callable[[list[ToCoordinator]], None] | None = None
        state.on_server_notice.append(self.send)
        state.on_store_update.append(self._relay_store_update)
        state.on_store_lost.append(self._report_store_lost)

    @property
    def is_up(self) -> bool:
        """Whether the coordinator is in this process or sent a message recently."""
        if self.deliver_local is not None:
            return True
        return self._state.clock.now() - self._last_status_at < COORDINATOR_TIMEOUT_MS

    @property
    def records_streams(self) -> bool:
        """Whether a coordinator keeps in the store which version began each stream.

        One of an older release does not.
        """
        if self.deliver_local is not None:
            return True
        return self.is_up and self.status is not None and self.status.records_streams

    @property
    def is_store_relayed(self) -> bool:
        """Whether the coordinator relays all changes of the store to this instance."""
        if self.deliver_local is not None or self.status is None or not self.is_up:
            return False
        state = self._state
        return (
            self._confirmation.is_fresh
            and self.status.is_store_followed
            and not self._is_follower
            and self.status.configuration <= state.configuration_version
            and self._heartbeats.get_age(state.clock.now()) < MAX_RELAY_AGE_MS
        )

    @property
    def _is_follower(self) -> bool:
        """Whether this instance follows the store in addition to the coordinator."""
        status = self.status
        return status is not None and self._state.settings.name in status.followers

    @property
    def can_request(self) -> bool:
        """Whether a grant request is answered, if only by a refusal."""
        return self._is_closed or self.is_up

    @property
    def address(self) -> str:
        """Address of the coordinator that the link connects to; empty: none."""
        return self._address

    async def request_grant(self, request: GrantRequest) -> Granted:
        """Ask the coordinator for a server and wait for the grant.

        :raises LinkLostError: if no coordinator answers.
        :raises RefusedError: if the coordinator refuses the request.
        """
        if self._is_closed:
            raise RefusedError(Refused(key=request.key, retry_after_ms=1))
        if not self.is_up:
            raise LinkLostError("no coordinator")
        try:
            granted = await self._pending.send_and_wait(
                request.key, lambda: self.send(request)
            )
        except asyncio.CancelledError:
            self.send(CancelRequest(key=request.key, service=request.service))
            raise
        self.runs.add(
            RunningRequest(
                key=request.key,
                incarnation=granted.incarnation,
                need=request.need,
                pause_ms=0 if granted.is_late else request.pause_ms,
            )
        )
        return granted

    async def request_permission(self, message: PermissionRequest) -> None:
        """Wait for permission to send a request to a server that states a rate limit.

        :raises LinkLostError: if no coordinator answers.
        :raises RefusedError: if it may not be sent now.
        """
        if self._is_closed or not self.is_up:
            raise LinkLostError("no coordinator")
        try:
            async with asyncio.timeout(PERMISSION_TIMEOUT_S):
                await self._pending.send_and_wait(
                    message.key, lambda: self.send(message)
                )
        except TimeoutError:
            raise LinkLostError("permission not answered in time") from None

    def send(self, message: ToCoordinator) -> None:
        """Queue a message for sending; it is lost if there is no coordinator."""
        if self.deliver_local is not None:
            self.deliver_local([message])
            return
        self._outgoing.append(message)
        self._wake.set()

    def report_usage(self, team: str, cost: int) -> None:
        """Report usage of a team's quota with the next frame that is sent."""
        if self._is_closed:
            return
        if self.deliver_local is not None:
            self.deliver_local([QuotaUsage(team=team, cost=cost)])
            return
        self._usage[team] = self._usage.get(team, 0) + cost

    def receive(self, messages: list[ToNode]) -> None:
        """Handle messages from the coordinator."""
        for message in messages:
            self._handlers[type(message)](message)

    def _build_handlers(self) -> dict[type, Callable[[Any], object]]:
        state = self._state
        return {
            Granted: self._resolve_decision,
            Refused: self._resolve_decision,
            CoordinatorStatus: self._apply_status,
            CoordinatorEstimates: lambda it: setattr(state, "estimates", it),
            SuspicionUpdate: lambda it: self.on_suspicions(it),
            QuotaExceeded: lambda it: self.on_quota_exceeded(it),
            ServerLimits: lambda it: self.on_rate_limits(it),
            StreamCopies: lambda it: add_copies(state, (it,)),
            LeavingNotice: functools.partial(_apply_leaving, state),
            RosterChange: self._apply_roster,
            StoreUpdate: lambda it: apply_store_update(state, it, by="coordinator"),
            ConfigurationDelta: lambda it: apply_configuration_delta(
                state, it, by="coordinator"
            ),
        }

    def _resolve_decision(self, decision: Granted | Refused) -> None:
        if not self._pending.resolve(decision) and isinstance(decision, Granted):
            self._return_unused_grant(decision)

    def _apply_roster(self, change: RosterChange) -> None:
        if not apply_change(self._roster, change):
            log_event(Event.ROSTER_LOST, base=change.base, known=self._roster.version)
            return
        self._state.nodes = tuple(self._roster.nodes.values())

    def _report_store_lost(self) -> None:
        """Report at once to the coordinator that the store is unreachable from here."""
        if self.deliver_local is None and self._is_follower:
            self.send(self.build_heartbeat())

    def _relay_store_update(self, update: StoreUpdate) -> None:
        """Relay changes that the store sent to this instance to the coordinator."""
        if self.deliver_local is not None:
            return
        if self._is_follower and update.rows:
            self.send(msgspec.structs.replace(update, configuration=b""))
        self._send_newer_configuration()

    def _send_newer_configuration(self) -> None:
        """Send the configuration to the coordinator if the coordinator's is older.

        The coordinator has just taken over, or is disconnected from the store and has
        not noticed; without this, all other instances would wait for it.
        """
        known, version = self._coordinator_version, self._state.configuration_version
        if self.deliver_local is not None or known is None or known >= version:
            return
        if known:
            self.send(self._state.versions.build_delta(known))
        elif self._is_follower:
            self.send(StoreUpdate(configuration=self._state.configuration_body))
        else:
            return
        self._coordinator_version = version

    def connect_to(self, address: str) -> None:
        """Connect to a coordinator, unless the link is already connected to it."""
        now = self._state.clock.now()
        is_alive = self._task is not None and not self._task.done()
        is_timed_out = now - max(self._last_status_at, self._opened_at) > RECONNECT_MS
        if address == self._address and is_alive and not is_timed_out:
            return
        self.disconnect()
        self._address = address
        self._opened_at = now
        if address:
            self._task = asyncio.create_task(self._run(address))

    def disconnect(self) -> None:
        """Close the link and fail all pending requests."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._address = ""
        self._last_status_at = -COORDINATOR_TIMEOUT_MS
        self.fail_pending()

    def fail_pending(self) -> None:
        """Fail all pending requests and drop unsent messages."""
        self._pending.fail_all()
        self._outgoing.clear()
        self._usage.clear()

    def close(self) -> None:
        """Refuse all pending and all later requests; called when the process ends.

        A request that still waits when the process exits would lose its connection
        without an answer, although it has not run and another instance could serve it.
        """
        self._is_closed = True
        self._pending.refuse_all()

    def check_timeout(self) -> None:
        """Fail pending requests if the coordinator has timed out; call at intervals."""
        if self.deliver_local is None and self._pending and not self.is_up:
            self.fail_pending()

    def _return_unused_grant(self, granted: Granted) -> None:
        # The caller disconnected or timed out while the grant was in transit.
        self.send(
            AttemptEnded(
                key=granted.key,
                incarnation=granted.incarnation,
                how=AttemptOutcome.UNUSED,
            )
        )

    def _apply_status(self, status: CoordinatorStatus) -> None:
        self.status = status
        self._last_status_at = self._state.clock.now()
        self._heartbeats.record_acknowledged(status.beat)
        if (
            self._coordinator_version is None
            or status.configuration > self._coordinator_version
        ):
            self._coordinator_version = status.configuration
        state = self._state
        if self.deliver_local is None:
            self._confirmation.record_status(status, at=self._last_status_at)
            age_ms = self._heartbeats.get_age(self._last_status_at)
            state.metrics.link_age.set(age_ms / SECOND_MS)
        if self._is_follower or not status.is_store_followed:
            state.follow_requested.set()
        else:
            state.follow_requested.clear()
        state.instances = status.instances
        state.advertised = status.takers
        state.nodes_updated_at = self._last_status_at
        state.store_position = max(state.store_position, status.store_position)
        state.notify_coordinator_status()
        self._send_newer_configuration()

    async def _run(self, address: str) -> None:
        """Keep the link open; reconnect if the last connection received a status.

        If only the connections were reset, the coordinator is still active. Looking it
        up in the lease left each instance without one for up to half a second.
        """
        while await self._serve_connection(address):
            continue

    async def _serve_connection(self, address: str) -> bool:
        """Serve one connection to a coordinator until it ends.

        :return: whether a coordinator status arrived on it.
        """
        is_connected = False
        opened_at = self._state.clock.now()
        try:
            timeout = aiohttp.ClientWSTimeout(ws_close=0.1)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                socket = await self._state.session.ws_connect(
                    f"http://{address}{LINK_PATH}", timeout=timeout, compress=0
                )
            is_connected = True
            log_event(Event.COORDINATOR_FOLLOWED, link=address)
            async with socket, asyncio.TaskGroup() as group:
                group.create_task(self._write(socket))
                await self._read(socket)
                raise LinkLostError("closed")
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            detail = type(error).__name__
        except ExceptionGroup as error:
            detail = ",".join(type(inner).__name__ for inner in error.exceptions)
        has_received_status = self._last_status_at >= opened_at
        self._handle_lost(address, detail, is_connected=is_connected)
        return has_received_status

    def _handle_lost(self, address: str, detail: str, *, is_connected: bool) -> None:
        log_event(
            Event.COORDINATOR_UNREACHABLE,
            link=address,
            detail=detail,
            was_up=is_connected,
        )
        self._last_status_at = -COORDINATOR_TIMEOUT_MS
        self.fail_pending()

    async def _read(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        async for message in socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                return
            try:
                self.receive(decode_from_coordinator(message.data))
            except UndecodableError as error:
                log_event(Event.PEER_DOWN, detail=f"unreadable frame: {error}")
                return

    def reset_coordinator_state(self) -> None:
        """Reset the state that is specific to one connection; called when it opens."""
        # Roster versions are specific to a coordinator, heartbeat numbers to a
        # connection.
        self._roster.version = 0
        self._heartbeats = HeartbeatTracker(now=self._state.clock.now())
        self._confirmation = Confirmation(state=self._state)
        self._coordinator_version = None

    async def _write(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        self.reset_coordinator_state()
        first: list[ToCoordinator] = [self.build_hello(), self.build_heartbeat()]
        await socket.send_bytes(encode_frame(first))
        clock = self._state.clock
        heartbeat_at = clock.now() + HEARTBEAT_MS
        while True:
            try:
                async with asyncio.timeout((heartbeat_at - clock.now()) / SECOND_MS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            # Heartbeats are due whether or not other messages are sent: otherwise an
            # instance busy with callers never reports that it misses the store.
            if clock.now() >= heartbeat_at:
                self._outgoing.append(self.build_heartbeat())
                heartbeat_at = clock.now() + HEARTBEAT_MS
            frame, self._outgoing = self._outgoing, []
            if frame:
                frame.extend(self._pop_usage())
                await socket.send_bytes(encode_frame(frame))

    def _pop_usage(self) -> list[QuotaUsage]:
        usage = [QuotaUsage(team=team, cost=cost) for team, cost in self._usage.items()]
        self._usage.clear()
        return usage

    def build_hello(self) -> Hello:
        """Build the first message to a new coordinator."""
        state = self._state
        return Hello(
            info=state.build_info(),
            running=self.runs.list_all(),
            store_version=state.store_position.version,
            store_era=state.store_position.era,
            configuration=state.configuration_version,
            reads_updates=True,
            limits=list_server_limits(state),
            leaving=state.leaving.list_all(),
            cooldowns=list_cooldowns(state),
            streams=list_copies(state),
            suspects=build_suspects(state),
        )

    def build_heartbeat(self) -> Heartbeat:
        """Build the next heartbeat."""
        state = self._state
        now = state.clock.now()
        number = self._heartbeats.record_sent(now)
        self._confirmation.record_heartbeat(number, at=now)
        return Heartbeat(
            is_ready=state.is_ready,
            misses_store=state.store.is_failing
            if state.store.is_result_recent
            else None,
            follows_store=is_following_store(state),
            roster=self._roster.version,
            configuration=state.configuration_version,
            number=number,
            vouches=self._confirmation.confirmed_status,
            reaches_servers=state.reaches_servers,
        )


def _apply_leaving(state: NodeState, notice: LeavingNotice) -> None:
    apply_leaving(state, notice.incarnations, by="coordinator")


def _ignore(_message: object) -> None:
    """Do nothing; default of the callbacks."""
