"""How requests reach servers: by an own connection, or through another instance."""

import asyncio
from collections.abc import Callable

import aiohttp

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.server_reach import (
    is_down,
    is_reachable,
    is_suspect,
    record_connected,
    record_down,
    record_failed,
    record_heard,
    update_servers,
)
from arbutuspulley.node.messages import NodeInfo
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform import names
from arbutuspulley.platform.transport import (
    BrokenError,
    NotSentError,
    discard_idle_connections,
    probe_connection,
    send_request,
)
from arbutuspulley.ports.answers import AnswerEnd
from arbutuspulley.ports.fleet import InboundRequest, ServerEntry
from arbutuspulley.ports.relaying import RelayOutcome

MAX_HELPERS = 2
"""Maximum number of other instances that are asked to send one attempt."""

MIN_CAPACITY = 0.05
"""Least capacity by which a helper is drawn, in cores."""

HELPER_BACKOFF_MS = 1_000
"""Backoff of an instance that could not help, in ms."""

SILENCE_MS = 500
"""Time without a byte from any server, while requests are in flight, after which an
instance probes its connections, in ms. Events of a stream come more often."""

PROBE_TIMEOUT_S = 0.25
"""Timeout of a probe, in s; data centres are 1 ms apart."""

PROBE_INTERVAL_MS = 500
"""Interval of probes while this instance's network is suspected, in ms."""

SILENCE_PROBE_INTERVAL_MS = 1_000
"""Interval of probes while servers are silent but can be connected to, in ms: each
opens a connection that serves no request."""

TICK_MS = 100
"""Interval of the checks whether a probe is due, in ms."""

_NOT_SENT = frozenset(RelayOutcome) - {RelayOutcome.ANSWERED}
"""Outcomes which prove that a request was not sent to its server."""

BuildHeaders = Callable[[], list[tuple[str, str]]]
"""Returns the headers of a request that is sent now."""


class ServerPaths:
    """Sends requests to servers, and finds out which ones this instance can reach.

    :param on_change: called when this instance has lost or regained the servers.
    """

    __slots__ = (
        "_busy_since",
        "_in_flight",
        "_lost_at",
        "_on_change",
        "_probed_at",
        "_probes",
        "_state",
        "_unhelpful_until",
    )

    def __init__(
        self,
        *,
        state: NodeState,
        on_change: Callable[[], None],
    ) -> None:
        self._state = state
        self._on_change = on_change
        # Attempts in flight by server address, on own connections.
        self._in_flight: dict[str, int] = {}
        self._busy_since = 0
        self._lost_at: int | None = None
        self._probed_at = 0
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._unhelpful_until: dict[str, int] = {}
        state.on_change.append(self._update_servers)
        state.on_unanswered.append(self.check)

    async def send(
        self,
        request: InboundRequest,
        entry: ServerEntry,
        *,
        build_headers: BuildHeaders,
        on_helper: Callable[[str], None],
    ) -> aiohttp.ClientResponse:
        """Send a request to a server and return the answer once its headers arrive.

        :param on_helper: called with the link address of an instance that is asked to
            send it.
        :raises NotSentError: if nothing was sent to the server.
        :raises BrokenError: if the server may have run it and did not answer.
        """
        reach = self._state.server_reach
        if is_reachable(reach, entry.address):
            try:
                return await send_request(
                    self._state.session,
                    request,
                    address=entry.address,
                    headers=build_headers(),
                )
            except NotSentError:
                now = self._state.clock.now()
                record_failed(reach, entry.address, now=now)
                self._report_change()
                if not is_suspect(reach) or is_down(reach, entry.address, now=now):
                    raise
        return await self._send_by_others(
            request, entry, build_headers=build_headers, on_helper=on_helper
        )

    def record_begun(self, entry: ServerEntry) -> None:
        """Record that an attempt at a server begins."""
        if not self._in_flight:
            self._busy_since = self._state.clock.now()
        count = self._in_flight.get(entry.address, 0)
        self._in_flight[entry.address] = count + 1

    def record_heard(self, entry: ServerEntry) -> None:
        """Record that bytes of a server have arrived on an own connection."""
        now = self._state.clock.now()
        record_heard(self._state.server_reach, entry.address, now=now)

    def record_ended(self, entry: ServerEntry) -> None:
        """Record that an attempt at a server has ended."""
        count = self._in_flight.pop(entry.address, 0) - 1
        if count > 0:
            self._in_flight[entry.address] = count

    def blames_server(self, entry: ServerEntry) -> bool:
        """Return whether a failed connection is evidence against the server.

        If not, the network of this instance is the likelier cause.
        """
        reach, now = self._state.server_reach, self._state.clock.now()
        return not is_suspect(reach) or is_down(reach, entry.address, now=now)

    async def watch(self) -> None:
        """Probe connections to servers when their state is in doubt."""
        while True:
            await asyncio.sleep(TICK_MS / SECOND_MS)
            now = self._state.clock.now()
            for address in self._list_due_probes(now):
                self._start_probe(address, now=now)
            self._report_change()

    def check(self, address: str) -> None:
        """Check soon whether a server that failed can be connected to."""
        now = self._state.clock.now()
        if now - self._probed_at >= SILENCE_PROBE_INTERVAL_MS:
            self._start_probe(address, now=now)

    def _list_due_probes(self, now: int) -> list[str]:
        reach = self._state.server_reach
        if is_suspect(reach):
            if now - self._probed_at < PROBE_INTERVAL_MS:
                return []
            # The first that failed; a probe that fails puts it last.
            return list(reach.unreachable_since)[:1]
        if not self._in_flight or now - self._probed_at < SILENCE_PROBE_INTERVAL_MS:
            return []
        if now - max(reach.heard_at, self._busy_since) < SILENCE_MS:
            return []
        return list(self._in_flight)[:1]

    def _start_probe(self, address: str, *, now: int) -> None:
        if address in self._probes:
            return
        self._probed_at = now
        task = asyncio.get_running_loop().create_task(self._probe(address))
        self._probes[address] = task
        task.add_done_callback(lambda _task: self._probes.pop(address, None))

    async def _probe(self, address: str) -> None:
        reach = self._state.server_reach
        was_suspect = is_suspect(reach)
        is_open = await probe_connection(address, timeout_s=PROBE_TIMEOUT_S)
        now = self._state.clock.now()
        if is_open:
            record_connected(reach, address, now=now)
            others = list(reach.unreachable_since) if was_suspect else []
        else:
            reach.unreachable_since[address] = reach.unreachable_since.pop(address, now)
            others = [] if was_suspect else self._list_others(address)
            if not was_suspect:
                self._record_down(address)
        self._report_change()
        for other in others:
            self._start_probe(other, now=now)

    def _record_down(self, address: str) -> None:
        for entry in self._state.entries.values():
            if entry.address == address:
                self._state.server_starts.record_down(entry.incarnation)

    def _list_others(self, address: str) -> list[str]:
        """Return servers that show whether only one of them can't be reached."""
        known = {entry.address for entry in self._state.entries.values()}
        others = sorted(known - {address})
        return self._state.rng.sample(others, min(2, len(others)))

    def _update_servers(self) -> None:
        reach = self._state.server_reach
        update_servers(reach, (entry.address for entry in self._state.entries.values()))
        self._report_change()

    def _report_change(self) -> None:
        """Report that this instance has lost or regained the servers."""
        state = self._state
        reach, now = state.server_reach, state.clock.now()
        state.metrics.unreachable_servers.set(len(reach.unreachable_since))
        if state.reaches_servers == (self._lost_at is None):
            return
        if self._lost_at is None:
            self._lost_at = now
            log_event(
                Event.SERVERS_LOST,
                unreachable=len(reach.unreachable_since),
                known=reach.known,
                silent_ms=now - reach.heard_at,
                others=len(self._list_helpers()),
            )
        else:
            log_event(Event.SERVERS_REGAINED, lost_ms=now - self._lost_at)
            self._lost_at = None
            # A server may have closed its end meanwhile.
            for entry in state.entries.values():
                discard_idle_connections(state.session, entry.address)
        self._on_change()

    async def _send_by_others(
        self,
        request: InboundRequest,
        entry: ServerEntry,
        *,
        build_headers: BuildHeaders,
        on_helper: Callable[[str], None],
    ) -> aiohttp.ClientResponse:
        """Let another instance send the request."""
        for helper in self._choose_helpers():
            on_helper(helper.link)
            headers = [*build_headers(), (names.RELAY_TO, entry.incarnation)]
            try:
                response = await send_request(
                    self._state.session, request, address=helper.link, headers=headers
                )
            except NotSentError:
                self._avoid(helper, "no connection")
                continue
            outcome = response.headers.get(names.RELAY_OUTCOME, "")
            if outcome == RelayOutcome.ANSWERED:
                return response
            response.release()
            if outcome == RelayOutcome.UNREACHED:
                now = self._state.clock.now()
                record_down(self._state.server_reach, entry.address, now=now)
                self._report_change()
                raise NotSentError("another instance can't reach it either")
            if outcome not in _NOT_SENT:
                # It has failed, which it may have done after it sent the request.
                self._avoid(helper, outcome or "failed")
                raise BrokenError("the relaying instance failed", end=AnswerEnd.INVALID)
            self._avoid(helper, outcome)
        raise NotSentError("no other instance could send it")

    def _choose_helpers(self) -> list[NodeInfo]:
        """Return instances that may help, those of the own region first.

        They are drawn by capacity over all data centres: where most of one is cut off,
        its last instances could not carry the requests of all others.
        """
        now = self._state.clock.now()
        helpers = [
            helper
            for helper in self._list_helpers()
            if self._unhelpful_until.get(helper.name, 0) <= now
        ]
        own, rng = self._state.settings, self._state.rng
        draws = {
            helper.name: rng.random() ** (1 / max(helper.capacity, MIN_CAPACITY))
            for helper in helpers
        }
        helpers.sort(
            key=lambda helper: (helper.region != own.region, -draws[helper.name])
        )
        return helpers[:MAX_HELPERS]

    def _list_helpers(self) -> list[NodeInfo]:
        own = self._state.settings.name
        return [
            node
            for node in self._state.nodes
            if node.name != own and node.is_ready and node.reaches_servers and node.link
        ]

    def _avoid(self, helper: NodeInfo, why: str) -> None:
        now = self._state.clock.now()
        if why != RelayOutcome.EXCLUDED:
            self._unhelpful_until[helper.name] = now + HELPER_BACKOFF_MS
        log_event(Event.RELAY_REFUSED, helper=helper.name, why=str(why))
