"""The coordinator: carries out the decisions of the pools.

It receives grant requests from all instances, grants servers, sends orders while its
lease is valid, and publishes the roster of instances.
"""

import asyncio
import functools
import math
from collections.abc import Callable, Coroutine
from typing import Any

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.membership.coordinator_lease import (
    CoordinatorLeaseState,
    InheritedLoads,
    get_order_window_ms,
    is_holder,
    is_store_unavailable,
    may_order,
    may_order_during_outage,
)
from arbutuspulley.node.background import run_forever
from arbutuspulley.node.link import HEARTBEAT_MS
from arbutuspulley.node.messages import (
    AttemptEnded,
    CancelRequest,
    ConfigurationDelta,
    CoordinatorEstimates,
    Granted,
    GrantRequest,
    Heartbeat,
    Hello,
    LeavingNotice,
    NodeInfo,
    PermissionRequest,
    QuotaUsage,
    Refused,
    ServerCooldown,
    ServerLimit,
    StoreUpdate,
    SuspicionUpdate,
    ToCoordinator,
    ToNode,
)
from arbutuspulley.node.orders import OrderSender
from arbutuspulley.node.pacing import Pacer
from arbutuspulley.node.peer import Peer
from arbutuspulley.node.peers import Peers
from arbutuspulley.node.pool_log import (
    count_decision,
    count_uneven_servers,
    log_grant,
    log_pool,
    log_refusal,
    log_server_speeds,
    log_shares,
)
from arbutuspulley.node.pool_updates import (
    add_running_requests,
    apply_progress,
    apply_reaching_instances,
    build_refusal,
    build_waiting_request,
    cancel_request,
    record_cooldowns,
    remove_instance,
)
from arbutuspulley.node.quotas import Quotas
from arbutuspulley.node.rates import Rates
from arbutuspulley.node.relay import Relay
from arbutuspulley.node.reports import ReportPoller
from arbutuspulley.node.server_notices import apply_leaving, list_cooldowns
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.store_watch import apply_configuration_delta, apply_store_update
from arbutuspulley.node.stream_copies import StreamVersionLookup
from arbutuspulley.node.suspects import (
    build_suspects,
    drop_known_parts,
    relay_suspects,
)
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
from arbutuspulley.pool.fair_shares import list_weights
from arbutuspulley.pool.grants import (
    Grant,
    Refusal,
    find_next_wakeup,
    grant_at_once,
    plan_grants,
)
from arbutuspulley.pool.load_rate import inherit_loads, list_recent_loads
from arbutuspulley.pool.orders import plan_orders
from arbutuspulley.pool.start_order import evict_unused_shares
from arbutuspulley.pool.state import (
    PoolState,
    inherit_prefill_speeds,
    inherit_server_speeds,
    list_prefill_speeds,
    list_server_speeds,
    update_servers,
)
from arbutuspulley.ports.fleet import EngineSpec, OrderAnswer, SoftwareVersion

LOG_INTERVAL_MS = 1_000
"""Interval between log lines on the demand for a pool's models, in ms."""


class Coordinator:
    """The coordinator's part of a process, inactive unless this instance is elected.

    :param receive_local: receives the coordinator's messages to its own instance.
    """

    __slots__ = (
        "_grant_pacer",
        "_inherited",
        "_is_planning_scheduled",
        "_lease",
        "_order_pacer",
        "_order_sender",
        "_peers",
        "_pools",
        "_quotas",
        "_rates",
        "_relay",
        "_report_poller",
        "_state",
        "_streams",
        "_tasks",
        "_timer",
        "is_active",
        "isolated_since",
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
        self._streams = StreamVersionLookup(state=state, peers=self._peers)
        self._tasks: set[asyncio.Task[None]] = set()
        self._order_sender = OrderSender(state=state, lease=lease)
        self._timer: asyncio.TimerHandle | None = None
        self._is_planning_scheduled = False
        self._grant_pacer = Pacer()
        self._order_pacer = Pacer()
        self._quotas = Quotas(state=state)
        self._rates = Rates(state=state)
        self._report_poller = ReportPoller(
            state=state, on_report=self.schedule_planning
        )
        self._inherited = InheritedLoads(loads={}, unknown_until=None)
        self.is_active = False
        self.isolated_since: int | None = None
        state.server_view.is_store_unavailable = self._is_store_unavailable
        state.on_change.append(self.update_pools)
        state.on_store_update.append(self._relay_update)
        state.on_store_lost.append(self._report_store_loss)

    def list_loads(self) -> dict[str, list[int]] | None:
        """Return when loads were ordered, by service; ``None`` if not coordinating.

        Those of services without a pool yet are the loads of previous coordinators.
        """
        if not self.is_active:
            return None
        now = self._state.clock.now()
        return self._inherited.loads | {
            pool.service: list_recent_loads(pool, now=now)
            for pool in self._pools.values()
        }

    def activate(self, inherited: InheritedLoads) -> None:
        """Become the coordinator.

        :param inherited: loads that previous coordinators ordered, as far as known.
        """
        self.is_active = True
        self.isolated_since = None
        self._state.is_coordinator = True
        self._relay.reset()
        self._peers.reset()
        self._quotas.reset()
        self._rates.reset()
        self._streams.reset()
        for call in self._state.on_coordinating:
            call()
        self._pools.clear()
        self._inherited = inherited
        self.update_pools()
        self._record_cooldowns(self._state.settings.name, list_cooldowns(self._state))
        self._state.metrics.is_coordinator.set(1)
        self._spawn(run_forever(self._run_periodic_tasks))

    def deactivate(self) -> None:
        """Stop being the coordinator, and close the links of all instances."""
        self.is_active = False
        self._state.is_coordinator = False
        self._state.metrics.is_coordinator.set(0)
        count_uneven_servers(self._state.metrics, ())
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        self._order_sender.cancel_all()
        self._peers.reset()
        self._pools.clear()

    def find_largest_capacity(self) -> float:
        """Return the largest capacity of the other ready instances."""
        return self._peers.find_largest_capacity()

    def has_reaching_peer(self) -> bool:
        """Return whether another ready instance reaches servers."""
        return any(info.reaches_servers for info in self._peers.list_ready())

    @property
    def ordered_at(self) -> int | None:
        """When this process gave its last order, in ms; ``None``: it has given none."""
        return self._order_sender.ordered_at

    async def drain_orders(self) -> bool:
        """Wait for the orders that are being sent, before the lease is released.

        :return: whether all were answered.
        """
        return await self._order_sender.drain()

    def update_pools(self) -> None:
        """Update the pools from the configuration and the registered servers."""
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
            pool.shares_contended = self._state.settings.shares_contended
            pool.shares.weights = list_weights(configuration.teams or ())
            pool.learns_server_speeds = self._state.settings.learns_server_speeds
            update_servers(pool, self._state.by_service.get(name, []))
        self._rates.apply(self._pools.values())
        self.schedule_planning()

    def _build_pool(self, service: str, spec: EngineSpec) -> PoolState:
        """Build a pool that starts with the estimates of previous coordinators."""
        pool = PoolState(
            service=service,
            spec=spec,
            learns_server_speeds=self._state.settings.learns_server_speeds,
        )
        inherited, estimates = self._inherited, self._state.estimates
        inherit_loads(
            pool,
            inherited.loads.get(service, []),
            unknown_until=inherited.unknown_until,
        )
        inherit_prefill_speeds(pool, estimates.speeds.get(service, {}))
        inherit_server_speeds(pool, estimates.server_speeds.get(service, {}))
        now = self._state.clock.now()
        inherit_demand(pool, estimates.demand.get(service, {}), now=now)
        return pool

    def handle_messages(self, origin: str, messages: list[ToCoordinator]) -> None:
        """Handle messages of an instance."""
        now = self._state.clock.now()
        for message in messages:
            self._handle_message(origin, message, now=now)
        # Quota usage does not affect which request goes to which server.
        if any(not isinstance(message, QuotaUsage) for message in messages):
            self.schedule_planning()

    def schedule_planning(self) -> None:
        """Schedule one planning cycle soon, for all messages that arrive until then."""
        if self.is_active and not self._is_planning_scheduled:
            self._is_planning_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(
                self._grant_pacer.get_delay(loop.time()), self._run_planning_cycle
            )

    def add_peer(self, messages: list[ToCoordinator]) -> Peer | None:
        """Add the instance whose first messages these are; ``None``: they are not.

        Its link is served by :func:`arbutuspulley.node.link_server.serve_link`.
        """
        if not messages or not isinstance(messages[0], Hello):
            return None
        name = messages[0].info.name
        if self._peers.get(name) is not None:
            # The instance has reconnected before the end of its old link was seen here.
            # Requests that ended meanwhile were never reported, and would hold their
            # slots for ever.
            remove_instance(self._pools, name)
        self._quotas.mark_linked(name)
        self._record_limits(messages[0].limits, is_initial=True)
        self._relay_leaving(messages[0].leaving)
        self._record_cooldowns(name, messages[0].cooldowns)
        self._streams.record_copies(messages[0].streams)
        relay_suspects(self._state, messages[0].suspects, send=self._peers.send_others)
        peer = self._peers.add(messages[0])
        peer.send(self._rates.build_full_limits())
        leaving = self._state.leaving.list_all()
        if leaving:
            peer.send(LeavingNotice(incarnations=leaving))
        peer.send(build_suspects(self._state))
        return peer

    def remove_peer(self, peer: Peer) -> None:
        """Remove an instance whose link has ended."""
        if not self._peers.remove(peer):
            return
        remove_instance(self._pools, peer.info.name)
        self._rates.release_instance(peer.info.name)
        self._quotas.mark_lost(peer.info)
        if self.is_active:
            self._peers.publish_roster()
            self.schedule_planning()

    def _handle_message(self, origin: str, message: ToCoordinator, *, now: int) -> None:
        if isinstance(message, GrantRequest):
            self._handle_grant_request(origin, message, now=now)
        elif isinstance(message, QuotaUsage):
            exceeded = self._quotas.charge_usage(message, now=now)
            if exceeded is not None:
                self._peers.send(origin, exceeded)
        elif isinstance(message, PermissionRequest):
            self._peers.send(origin, self._rates.answer(origin, message, now=now))
        elif isinstance(message, ServerLimit):
            self._record_limits((message,))
        elif isinstance(message, LeavingNotice):
            self._relay_leaving(
                message.incarnations, is_own=origin == self._state.settings.name
            )
        elif isinstance(message, ServerCooldown):
            self._record_cooldowns(origin, (message,))
        elif isinstance(message, Heartbeat):
            if self._peers.handle_heartbeat(origin, message):
                self._report_store_loss()
        elif isinstance(message, StoreUpdate):
            self._relay_update(apply_store_update(self._state, message, by="follower"))
        elif isinstance(message, ConfigurationDelta):
            if apply_configuration_delta(self._state, message, by="follower"):
                self._peers.send_configuration()
        elif isinstance(message, Hello):
            add_running_requests(self._pools, origin, message, now=now)
        elif isinstance(message, SuspicionUpdate):
            self._relay_suspicions(origin, message)
        elif isinstance(message, CancelRequest):
            cancel_request(self._pools, message)
        else:
            if isinstance(message, AttemptEnded):
                self._rates.record_end(message, now=now)
            else:
                self._streams.record_started(message)
            apply_progress(self._pools, message, origin=origin, now=now)

    def _relay_suspicions(self, origin: str, update: SuspicionUpdate) -> None:
        # What this instance has recorded itself is known here, but to no other one.
        if origin != self._state.settings.name:
            update = drop_known_parts(self._state, update)
        if update.suspicions or update.trials or update.parts:
            self._peers.send_all(update)

    def _record_limits(
        self, limits: tuple[ServerLimit, ...], *, is_initial: bool = False
    ) -> None:
        """Record rate limits that an instance has read.

        :param is_initial: whether these are all limits that the instance knows, as sent
            when it links up.
        """
        record = self._rates.record_initial if is_initial else self._rates.record
        if record(limits, now=self._state.clock.now()):
            self._rates.apply(self._pools.values())

    def _relay_leaving(
        self, incarnations: tuple[str, ...], *, is_own: bool = False
    ) -> None:
        """Mark servers as leaving, and relay those that the instances may not know.

        :param is_own: whether the answer was to this instance, which has marked them.
        """
        new = apply_leaving(self._state, incarnations, by="instance")
        if is_own:
            new = incarnations
        if new:
            self._peers.send_others(LeavingNotice(incarnations=new))

    def _record_cooldowns(
        self, origin: str, cooldowns: tuple[ServerCooldown, ...]
    ) -> None:
        record_cooldowns(
            self._pools,
            origin,
            cooldowns,
            now=self._state.clock.now(),
            is_own=origin == self._state.settings.name,
        )

    def _report_store_loss(self) -> None:
        """Send the status at once if no instance follows the store any more."""
        if self.is_active and not self._peers.is_store_followed():
            self._send_status()

    def _relay_update(self, update: StoreUpdate) -> None:
        if self.is_active and (update.configuration or update.rows):
            self._peers.relay_update(update)

    def _handle_grant_request(
        self, origin: str, request: GrantRequest, *, now: int
    ) -> None:
        version = self._streams.find_version(origin, request)
        if isinstance(version, Refused):
            self._peers.send(origin, version)
            return
        if request.is_second:
            self._answer_second(origin, request, version=version, now=now)
            return
        # If the request is refused for another reason from here on, the instance
        # refunds the cost.
        refusal = self._quotas.charge(request, now=now)
        if refusal is not None:
            self._peers.send(origin, refusal)
            return
        pool = self._pools.get(request.service)
        if pool is None or request.need.model not in pool.spec.models:
            refused = Refused(key=request.key, retry_after_ms=SECOND_MS)
            self._peers.send(origin, refused)
            return
        if not request.is_repeat:
            record_demand(
                pool,
                request.need.model,
                estimate_token_cost(pool, request.need),
                now=now,
            )
        pool.waiting[request.key] = build_waiting_request(
            origin,
            request,
            version=version,
            returns=pool.returns if pool.shares_contended else None,
            now=now,
        )

    def _answer_second(
        self,
        origin: str,
        request: GrantRequest,
        *,
        version: SoftwareVersion | None,
        now: int,
    ) -> None:
        """Grant a server for a second attempt at once, or refuse it.

        It is neither charged nor counted as demand, as the first attempt was.
        """
        state, pool = self._state, self._pools.get(request.service)
        limited = state.limits.list_limits() | state.brittle.list_limits()
        waiting = build_waiting_request(origin, request, version=version, now=now)
        waiting.avoid = (*waiting.avoid, *limited)
        grant: Grant | None = None
        if pool is not None and self.is_active:
            grant = grant_at_once(pool, waiting, now=now)
        if pool is None or grant is None:
            self._peers.send(origin, Refused(key=request.key, retry_after_ms=0))
        else:
            self._send_decision(pool, grant)

    def _run_planning_cycle(self) -> None:
        self._is_planning_scheduled = False
        if not self.is_active:
            return
        now = self._state.clock.now()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        wake_times = [now + HEARTBEAT_MS]
        for pool in self._pools.values():
            for decision in plan_grants(pool, now=now):
                self._send_decision(pool, decision)
            wake = find_next_wakeup(pool, now=now)
            if wake is not None:
                wake_times.append(wake)
        self._grant_pacer.record_cycle(started_at, loop.time())
        order_delay = self._order_pacer.get_delay(loop.time())
        if order_delay:
            wake_times.append(now + math.ceil(order_delay * SECOND_MS))
        else:
            self._plan_orders(now)
        if self._timer is not None:
            self._timer.cancel()
        delay = (min(wake_times) - now) / SECOND_MS
        self._timer = loop.call_later(delay, self.schedule_planning)

    def _plan_orders(self, now: int) -> None:
        if not self._may_order(now):
            return
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for pool in self._pools.values():
            on_answer = functools.partial(self._handle_order_answer, pool)
            for order in plan_orders(pool, now=now):
                self._order_sender.send(
                    order,
                    get_remaining_ms=self._get_order_window_ms,
                    on_answer=on_answer,
                )
        self._order_pacer.record_cycle(started_at, loop.time())

    def _may_order(self, now: int) -> bool:
        return may_order(self._lease, now=now) or self._may_order_during_outage()

    def _get_order_window_ms(self) -> int:
        """Return for how much longer orders may be sent, in ms."""
        now = self._state.clock.now()
        if self._may_order_during_outage():
            return ORDER_TIMEOUT_MS
        return get_order_window_ms(self._lease, now=now)

    def _is_store_unavailable(self) -> bool:
        """Return whether no instance reaches the store, so that no server can join."""
        return (
            self.is_active
            and self._state.store.is_failing
            and is_store_unavailable(
                self._peers.list_store_failures(),
                known_instances=self._peers.max_reachable,
            )
        )

    def _may_order_during_outage(self) -> bool:
        """Tell whether orders may be sent although the lease could not be renewed."""
        if not self._state.settings.checks_fences or not self._state.store.is_failing:
            return False
        return may_order_during_outage(
            self._lease,
            store_unavailable=self._peers.list_store_failures(),
            known_instances=self._peers.max_reachable,
        )

    def _send_decision(self, pool: PoolState, decision: Grant | Refusal) -> None:
        if isinstance(decision, Grant):
            log_grant(pool, decision)
            if decision.is_preferred:
                self._state.metrics.preferred_grants.inc()
            if pool.learns_server_speeds:
                self._state.metrics.expected_gaps.inc(decision.gap_risk)
            message: ToNode = Granted(
                key=decision.key,
                incarnation=decision.incarnation,
                address=decision.address,
                is_late=decision.is_late,
            )
        else:
            log_refusal(pool, decision)
            message = build_refusal(decision)
        count_decision(self._state.metrics, decision)
        self._peers.send(decision.origin, message)

    def _handle_order_answer(
        self, pool: PoolState, planned: PlannedOrder, answer: OrderAnswer
    ) -> None:
        apply_order_answer(pool, planned, answer, now=self._state.clock.now())
        self.schedule_planning()

    async def _run_periodic_tasks(self) -> None:
        """Send status messages and poll for reports while this instance coordinates."""
        logged_at = -LOG_INTERVAL_MS
        while True:
            self._peers.publish_roster()
            self._apply_linked(self._peers.list_linked())
            self._send_status()
            for report in self._report_poller.poll(self._pools.values()):
                self._spawn(report)
            now = self._state.clock.now()
            if now - logged_at >= LOG_INTERVAL_MS:
                logged_at = now
                self._log_pools()
                self._send_estimates()
                self._peers.report_outdated()
            await asyncio.sleep(HEARTBEAT_MS / SECOND_MS)

    def _apply_linked(self, linked: list[NodeInfo]) -> None:
        """Update what depends on the linked instances, and send changed limits."""
        apply_reaching_instances(self._pools, linked, now=self._state.clock.now())
        self._quotas.update_linked(linked, is_holder=self._is_sole_coordinator())
        self._rates.set_share(self._quotas.compute_share(linked, decay_ms=None))
        changes = self._rates.pop_changes()
        if changes is not None:
            self._peers.send_all(changes)

    def _log_pools(self) -> None:
        """Log the demand for each model, and where it is loaded."""
        now = self._state.clock.now()
        for pool in self._pools.values():
            decay_demand(pool, now=now)
            log_pool(pool, may_order=self._may_order(now), now=now)
            log_shares(pool, now=now)
            evict_unused_shares(pool, now=now)
            log_server_speeds(pool)
        count_uneven_servers(self._state.metrics, self._pools.values())

    def _send_estimates(self) -> None:
        speeds = {name: list_prefill_speeds(pool) for name, pool in self._pools.items()}
        demand = {name: list_demand(pool) for name, pool in self._pools.items()}
        server_speeds = {
            name: list_server_speeds(pool)
            for name, pool in self._pools.items()
            if pool.learns_server_speeds
        }
        self._peers.send_estimates(
            CoordinatorEstimates(
                speeds=speeds, demand=demand, server_speeds=server_speeds
            )
        )

    def _is_sole_coordinator(self) -> bool:
        """Tell whether no other instance can hold the lease now."""
        now = self._state.clock.now()
        return is_holder(self._lease, now=now) or self._may_order_during_outage()

    def _send_status(self) -> None:
        now = self._state.clock.now()
        if self._is_store_unavailable():
            self._state.server_view.confirm(now)
        count = self._peers.send_status(is_holder=self._is_sole_coordinator())
        if count > 1:
            self.isolated_since = None
        elif self.isolated_since is None:
            self.isolated_since = now

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(Event.INTERNAL_ERROR, detail=repr(task.exception()))
