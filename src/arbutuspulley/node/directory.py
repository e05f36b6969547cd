"""Directory of instances for callers, and the readiness probe."""

import msgspec
from aiohttp import web

from arbutuspulley.node.advertisement import MIN_NEARBY_INSTANCES, select_advertised
from arbutuspulley.node.messages import NodeInfo
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform import names
from arbutuspulley.ports.store_position import NO_POSITION

TTL_S = 1
"""Time to live of an answer, in s. Some callers keep it three times as long: a stopping
instance gets no more callers after 3 s, and then accepts no more streams."""

MAX_ADDRESSES = 64
"""Maximum number of addresses in an answer; callers read no more."""

ROSTER_TIMEOUT_MS = 5_000
"""How long a roster stays valid if no newer one arrives, in ms."""

START_WAIT_MS = 1_500
"""How long after its start an instance is not reported as ready because it has read no
servers or can accept no key yet, in ms. The first confirmation of the configuration
takes up to 1 s; while the store is unavailable neither comes, and what can be served is
served all the same."""


class Directory:
    """Answers directory queries and readiness probes."""

    __slots__ = ("_started_at", "_state")

    def __init__(self, *, state: NodeState) -> None:
        self._started_at = state.clock.now()
        self._state = state

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a directory query with instances' addresses."""
        if request.path != names.RESOLVE_PATH:
            return web.Response(status=404)
        addresses = self.list_addresses(
            site=request.query.get("Zone", ""), region=request.query.get("Region", "")
        )
        if not addresses:
            return web.Response(status=503)
        body = msgspec.json.encode({"Addresses": addresses, "TtlS": self._get_ttl()})
        return web.Response(body=body, content_type="application/json")

    async def handle_ready(self, _request: web.BaseRequest) -> web.StreamResponse:
        """Answer whether this instance serves callers."""
        state = self._state
        is_ready = state.is_ready and not self._is_starting()
        return web.Response(status=200 if is_ready else 503)

    def _is_starting(self) -> bool:
        """Return whether requests are refused that can be served in a moment."""
        state = self._state
        if state.clock.now() - self._started_at >= START_WAIT_MS:
            return False
        has_servers = bool(state.entries) or state.store_position != NO_POSITION
        awaits_confirmation = state.freshness.confirmed_at is None
        return not has_servers or (awaits_confirmation and not state.may_admit)

    def list_addresses(self, *, site: str, region: str) -> list[str]:
        """Return addresses of instances that a caller should use.

        They are in the caller's data centre, else in its region, else anywhere: the
        nearest area that has enough instances.

        :param site: the caller's data centre.
        :param region: the caller's region.
        """
        nodes = self._list_ready()
        for area in (
            [node for node in nodes if node.site == site],
            [node for node in nodes if node.region == region],
        ):
            if len(area) >= MIN_NEARBY_INSTANCES:
                return _list_frontends(select_advertised(area))
        return _list_frontends(nodes)

    def _get_ttl(self) -> float:
        return min(TTL_S, self._state.settings.directory_ttl_s)

    def _list_ready(self) -> list[NodeInfo]:
        state = self._state
        nodes: list[NodeInfo] = []
        if (
            state.clock.now() - state.nodes_updated_at < ROSTER_TIMEOUT_MS
            or not state.may_admit
        ):
            nodes = [
                node
                for node in state.nodes
                if node.is_ready and node.name != state.settings.name
            ]
        # Callers of an instance that reaches no server need another one's help.
        reaching = [node for node in nodes if node.reaches_servers]
        if reaching:
            nodes = reaching
        # An instance that refuses all keys directs callers to the instances that were
        # last on its roster.
        may_serve = state.may_admit and (state.reaches_servers or not reaching)
        if state.is_ready and (may_serve or not nodes):
            nodes.append(state.build_info())
        return nodes


def _list_frontends(nodes: list[NodeInfo]) -> list[str]:
    return [node.frontend for node in nodes[:MAX_ADDRESSES]]
