"""The coordinator's shell: carries out what the pools decide.

It takes asks from all instances, grants servers, sends orders while its lease
runs, and tells all instances who takes callers.
"""

import asyncio
import functools
import math
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.coordinator_lease import (
    CoordinatorLeaseState,
    InheritedLoads,
    get_order_window_ms,
    is_holder,
    may_order,
    may_order_during_outage,
)
from arbutuspulley.node.link import HEARTBEAT_MS
from arbutuspulley.node.messages import (
    CancelRequest,
    ConfigurationDelta,
    CoordinatorEstimates,
    Granted,
    GrantRequest,
    Heartbeat,
    Hello,
    NodeInfo,
    PermissionRequest,
    QuotaUsage,
    Refused,
    ServerLimit,
    StoreUpdate,
    SuspicionUpdate,
    ToCoordinator,
    ToNode,
    decode_from_node,
)
from arbutuspulley.node.orders import Orders
from arbutuspulley.node.pacing import Pacer
from arbutuspulley.node.peer import Peer, write_frames
from arbutuspulley.node.peers import Peers
from arbutuspulley.node.pool_log import log_grant, log_pool, log_refusal
from arbutuspulley.node.pool_updates import (
    build_waiting,
    drop_instance,
    take_outcome,
    take_running,
    take_withdrawal,
)
from arbutuspulley.node.quotas import Quotas
from arbutuspulley.node.rates import Rates
from arbutuspulley.node.relay import Relay
from arbutuspulley.node.reports import Reports
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.store_watch import apply_configuration_delta, apply_store_update
from arbutuspulley.platform.engines import ORDER_TIMEOUT_MS
from arbutuspulley.pool.answers import (
    PlannedOrder,
    apply_order_answer,
)
from arbutuspulley.pool.demand import (
    decay_demand,
    estimate_token_cost,
    inherit_demand,
    list_demand,
    record_demand,
)
from arbutuspulley.pool.grants import Grant, Refusal, find_next_wakeup, plan_grants
from arbutuspulley.pool.load_rate import inherit_loads, list_recent_loads
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.state import (
    PoolState,
    inherit_prefill_speeds,
    list_prefill_speeds,
    update_servers,
)
from arbutuspulley.ports.fleet import EngineSpec, OrderAnswer

TELL_EVERY_MS = 1_000
"""Time between log lines on what a pool's models are asked for, in ms."""


class Coordinator:
    """The coordinator's part of a process, idle unless this instance is it.

    :param receive_local: takes what the coordinator sends to its own instance.
    """

    __slots__ = (
        "_grant_pacer",
        "_inherited",
        "_is_kicked",
        "_lease",
        "_order_pacer",
        "_orders",
        "_peers",
        "_pools",
        "_quotas",
        "_rates",
        "_relay",
        "_reports",
        "_state",
        "_tasks",
        "_timer",
        "alone_since",
        "is_active",
    )

    def __init__(
        self,
        *,
        state: NodeState,
        lease: CoordinatorLeaseState,
        receive_local: Callable[[list[ToNode]], None],
    ) -> None:
        self._state = state
        self._lease = lease
        self._pools: dict[str, PoolState] = {}
        self._relay = Relay(state=state)
        self._peers = Peers(state=state, relay=self._relay, receive_local=receive_local)
        self._tasks: set[asyncio.Task[None]] = set()
        self._orders = Orders(state=state, lease=lease)
        self._timer: asyncio.TimerHandle | None = None
        self._is_kicked = False
        self._grant_pacer = Pacer()
        self._order_pacer = Pacer()
        self._quotas = Quotas(state=state)
        self._rates = Rates(state=state)
        self._reports = Reports(state=state, note_taken=self.kick)
        self._inherited = InheritedLoads(loads={}, unknown_until=None)
        self.is_active = False
        self.alone_since: int | None = None
        state.on_change.append(self.take_change)
        state.on_store_update.append(self._relay_news)
        state.on_store_lost.append(self._tell_lost)

    def list_loads(self) -> dict[str, list[int]] | None:
        """Return when loads were ordered, by service; ``None`` if not coordinating."""
        if not self.is_active:
            return None
        now = self._state.clock.now()
        return {
            pool.service: list_recent_loads(pool, now=now)
            for pool in self._pools.values()
        }

    def begin(self, inherited: InheritedLoads) -> None:
        """Become the coordinator.

        :param inherited: what is known of loads that others ordered.
        """
        self.is_active = True
        self.alone_since = None
        self._state.coordinates = True
        self._relay.begin()
        self._peers.begin()
        self._quotas.reset()
        self._rates.reset()
        self._pools.clear()
        self._inherited = inherited
        self.take_change()
        self._state.metrics.coordinates.set(1)
        self._spawn(self._work())

    def end(self) -> None:
        """Stop being the coordinator; all instances lose their links."""
        self.is_active = False
        self._state.coordinates = False
        self._state.metrics.coordinates.set(0)
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        self._orders.drop()
        self._peers.begin()
        self._pools.clear()

    def find_best(self) -> float:
        """Return the largest capacity of the other instances that take callers."""
        return self._peers.find_best()

    async def finish_orders(self) -> bool:
        """Await the orders that are being sent, before the lease is given back.

        :return: whether all were answered.
        """
        return await self._orders.finish()

    def take_change(self) -> None:
        """Bring the pools up to date with configuration and entries."""
        configuration = self._state.configuration
        if not self.is_active or configuration is None:
            return
        self._quotas.apply_configuration()
        for name, service in configuration.services.items():
            if service.engine is None:
                continue
            pool = self._pools.get(name)
            if pool is None:
                pool = self._pools[name] = self._build_pool(name, service.engine)
            pool.spec = service.engine
            update_servers(pool, self._state.by_service.get(name, []))
        self._rates.apply(self._pools.values())
        self.kick()

    def _build_pool(self, service: str, spec: EngineSpec) -> PoolState:
        """Build a pool that begins with what is known from holders before."""
        pool = PoolState(service=service, spec=spec)
        inherited, learnt = self._inherited, self._state.estimates
        inherit_loads(
            pool,
            inherited.loads.get(service, []),
            unknown_until=inherited.unknown_until,
        )
        inherit_prefill_speeds(pool, learnt.speeds.get(service, {}))
        now = self._state.clock.now()
        inherit_demand(pool, learnt.demand.get(service, {}), now=now)
        return pool

    def take(self, origin: str, messages: list[ToCoordinator]) -> None:
        """Take messages of an instance."""
        now = self._state.clock.now()
        for message in messages:
            self._handle_message(origin, message, now=now)
        # What was spent changes no decision on who goes to which server.
        if any(not isinstance(message, QuotaUsage) for message in messages):
            self.kick()

    async def serve_link(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one instance's link until it ends."""
        socket = web.WebSocketResponse(compress=False, max_msg_size=1 << 20)
        await socket.prepare(request)
        if not self.is_active:
            await socket.close()
            return socket
        peer: Peer | None = None
        writer: asyncio.Task[None] | None = None
        try:
            async for message in socket:
                if message.type is not aiohttp.WSMsgType.BINARY or not self.is_active:
                    break
                messages = decode_from_node(message.data)
                if peer is None:
                    peer = self._add_peer(messages)
                    if peer is None:
                        break
                    writer = asyncio.create_task(
                        write_frames(peer, socket, request.transport)
                    )
                peer.heard_at = self._state.clock.now()
                self.take(peer.info.name, messages)
        except msgspec.MsgspecError as error:
            log_event(Event.PEER_DOWN, detail=f"unreadable frame: {error}")
        finally:
            if writer is not None:
                writer.cancel()
            if peer is not None:
                self._drop_peer(peer)
        return socket

    def kick(self) -> None:
        """Decide again soon, once for all that happens meanwhile."""
        if self.is_active and not self._is_kicked:
            self._is_kicked = True
            loop = asyncio.get_running_loop()
            loop.call_later(self._grant_pacer.get_delay(loop.time()), self._decide)

    def _add_peer(self, messages: list[ToCoordinator]) -> Peer | None:
        if not messages or not isinstance(messages[0], Hello):
            return None
        name = messages[0].info.name
        if self._peers.get(name) is not None:
            # It is back before the end of its link was seen here. What ended meanwhile
            # was never told, and would hold its slot for ever.
            drop_instance(self._pools, name)
        self._quotas.mark_linked(name)
        self._take_limits(messages[0].limits, are_first=True)
        peer = self._peers.add(messages[0])
        peer.send(self._rates.list_all())
        return peer

    def _drop_peer(self, peer: Peer) -> None:
        if not self._peers.drop(peer):
            return
        drop_instance(self._pools, peer.info.name)
        self._quotas.mark_lost(peer.info)
        if self.is_active:
            self._peers.tell_roster()
            self.kick()

    def _handle_message(self, origin: str, message: ToCoordinator, *, now: int) -> None:
        if isinstance(message, GrantRequest):
            self._take_ask(origin, message, now=now)
        elif isinstance(message, QuotaUsage):
            overdrawn = self._quotas.charge_usage(message, now=now)
            if overdrawn is not None:
                self._peers.send(origin, overdrawn)
        elif isinstance(message, PermissionRequest):
            self._peers.send(origin, self._rates.answer(message, now=now))
        elif isinstance(message, ServerLimit):
            self._take_limits((message,))
        elif isinstance(message, Heartbeat):
            if self._peers.handle_heartbeat(origin, message):
                self._tell_lost()
        elif isinstance(message, StoreUpdate):
            self._relay_news(apply_store_update(self._state, message, by="follower"))
        elif isinstance(message, ConfigurationDelta):
            if apply_configuration_delta(self._state, message, by="follower"):
                self._peers.tell_configuration()
        elif isinstance(message, Hello):
            take_running(self._pools, origin, message, now=now)
        elif isinstance(message, SuspicionUpdate):
            self._peers.send_all(message)
        elif isinstance(message, CancelRequest):
            take_withdrawal(self._pools, message)
        else:
            take_outcome(self._pools, message, now=now)

    def _take_limits(
        self, limits: tuple[ServerLimit, ...], *, are_first: bool = False
    ) -> None:
        """Take in rate limits that an instance has read.

        :param are_first: whether it tells all that it knows, as it links up.
        """
        take = self._rates.take_first if are_first else self._rates.take
        if take(limits, now=self._state.clock.now()):
            self._rates.apply(self._pools.values())

    def _tell_lost(self) -> None:
        """Tell all at once if nobody follows the store any more."""
        if self.is_active and not self._peers.is_store_followed():
            self._send_digest()

    def _relay_news(self, news: StoreUpdate) -> None:
        if self.is_active and (news.configuration or news.rows):
            self._peers.tell_news(news)

    def _take_ask(self, origin: str, ask: GrantRequest, *, now: int) -> None:
        # Charged before anything else: whoever is refused for another reason gives the
        # cost back.
        over_quota = self._quotas.charge(ask, now=now)
        if over_quota is not None:
            self._peers.send(origin, over_quota)
            return
        pool = self._pools.get(ask.service)
        if pool is None or ask.need.model not in pool.spec.models:
            refused = Refused(key=ask.key, retry_after_ms=SECOND_MS)
            self._peers.send(origin, refused)
            return
        if not ask.is_repeat:
            record_demand(
                pool, ask.need.model, estimate_token_cost(pool, ask.need), now=now
            )
        pool.waiting[ask.key] = build_waiting(origin, ask, now=now)

    def _decide(self) -> None:
        self._is_kicked = False
        if not self.is_active:
            return
        now = self._state.clock.now()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        wakes = [now + HEARTBEAT_MS]
        for pool in self._pools.values():
            for decided in plan_grants(pool, now=now):
                self._send_decision(pool, decided)
            wake = find_next_wakeup(pool, now=now)
            if wake is not None:
                wakes.append(wake)
        self._grant_pacer.note_pass(begun, loop.time())
        order_delay = self._order_pacer.get_delay(loop.time())
        if order_delay:
            wakes.append(now + math.ceil(order_delay * SECOND_MS))
        else:
            self._plan_orders(now)
        if self._timer is not None:
            self._timer.cancel()
        delay = (min(wakes) - now) / SECOND_MS
        self._timer = loop.call_later(delay, self.kick)

    def _plan_orders(self, now: int) -> None:
        if not self._may_order(now):
            return
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for pool in self._pools.values():
            take_answer = functools.partial(self._take_answer, pool)
            for order in plan_orders(pool, now=now):
                self._orders.send(
                    order, get_time=self._get_order_time, take_answer=take_answer
                )
        self._order_pacer.note_pass(begun, loop.time())

    def _may_order(self, now: int) -> bool:
        return may_order(self._lease, now=now) or self._orders_on()

    def _get_order_time(self) -> int:
        """Return for how much longer orders may be sent, in ms."""
        now = self._state.clock.now()
        if self._orders_on():
            return ORDER_TIMEOUT_MS
        return get_order_window_ms(self._lease, now=now)

    def _orders_on(self) -> bool:
        """Tell whether orders go on though the lease could not be renewed."""
        if not self._state.settings.checks_fences or not self._state.store.is_failing:
            return False
        return may_order_during_outage(
            self._lease,
            store_unavailable=self._peers.list_misses(),
            known_instances=self._peers.most_heard,
        )

    def _send_decision(self, pool: PoolState, decided: Grant | Refusal) -> None:
        if isinstance(decided, Grant):
            log_grant(pool, decided)
            message: ToNode = Granted(
                key=decided.key,
                incarnation=decided.incarnation,
                address=decided.address,
                is_late=decided.is_late,
            )
        else:
            log_refusal(pool, decided)
            message = Refused(key=decided.key, retry_after_ms=decided.retry_after_ms)
        self._peers.send(decided.origin, message)

    def _take_answer(
        self, pool: PoolState, planned: PlannedOrder, answer: OrderAnswer
    ) -> None:
        apply_order_answer(pool, planned, answer, now=self._state.clock.now())
        self.kick()

    async def _work(self) -> None:
        """Send digests and ask for reports until this instance stops coordinating."""
        told_at = -TELL_EVERY_MS
        while True:
            self._peers.tell_roster()
            self._update_shares(self._peers.list_linked())
            self._send_digest()
            for report in self._reports.ask(self._pools.values()):
                self._spawn(report)
            now = self._state.clock.now()
            if now - told_at >= TELL_EVERY_MS:
                told_at = now
                self._tell_pools()
                self._tell_learnt()
                self._peers.tell_behind()
            await asyncio.sleep(HEARTBEAT_MS / SECOND_MS)

    def _update_shares(self, linked: list[NodeInfo]) -> None:
        """Work out what may be given out here, and tell of limits that have changed."""
        self._quotas.update_linked(linked)
        self._rates.set_part(self._quotas.find_part(linked, ends_ms=None))
        changes = self._rates.list_changes()
        if changes is not None:
            self._peers.send_all(changes)

    def _tell_pools(self) -> None:
        """Log what each model is asked for and where it is."""
        now = self._state.clock.now()
        for pool in self._pools.values():
            decay_demand(pool, now=now)
            log_pool(pool, may_order=self._may_order(now), now=now)

    def _tell_learnt(self) -> None:
        speeds = {name: list_prefill_speeds(pool) for name, pool in self._pools.items()}
        demand = {name: list_demand(pool) for name, pool in self._pools.items()}
        self._peers.send_successors(CoordinatorEstimates(speeds=speeds, demand=demand))

    def _send_digest(self) -> None:
        now = self._state.clock.now()
        count = self._peers.send_status(
            is_holder=is_holder(self._lease, now=now) or self._orders_on()
        )
        if count > 1:
            self.alone_since = None
        elif self.alone_since is None:
            self.alone_since = now

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.INTERNAL_ERROR, detail=repr(task.exception()))
