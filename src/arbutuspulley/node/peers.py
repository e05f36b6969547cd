"""The instances that are linked to the coordinator, and messages to all of them."""

from collections.abc import Callable

import msgspec

from arbutuspulley.events import Event, log_event
from arbutuspulley.node.advertisement import count_advertised
from arbutuspulley.node.link import COORDINATOR_TIMEOUT_MS
from arbutuspulley.node.messages import (
    CoordinatorEstimates,
    CoordinatorStatus,
    Heartbeat,
    Hello,
    NodeInfo,
    RosterChange,
    StoreUpdate,
    ToNode,
)
from arbutuspulley.node.peer import Peer
from arbutuspulley.node.relay import Relay
from arbutuspulley.node.roster import (
    RosterState,
    build_full_roster,
    select_view,
    update_roster,
)
from arbutuspulley.node.state import NodeState
from arbutuspulley.node.store_watch import is_following_store

SUCCESSOR_COUNT = 4
"""Number of instances with the most capacity that are sent the coordinator's estimates:
one of them becomes the next coordinator. Sent to all, the traffic would grow with the
number of models times the number of instances."""

MAX_LOGGED_OUTDATED = 10
"""Maximum number of outdated instances that a log line names; it also has their
count."""

FULL_ROSTER_INTERVAL_MS = 1_000
"""Minimum interval between two full rosters to an instance that reports none, in ms: it
does so in each heartbeat until the roster has arrived."""


class Peers:
    """All linked instances, by name.

    :param receive_local: receives the messages to the coordinator's own instance.
    """

    __slots__ = (
        "_advertised",
        "_by_name",
        "_published",
        "_receive_local",
        "_relay",
        "_rosters",
        "_state",
        "max_reachable",
    )

    def __init__(
        self,
        *,
        state: NodeState,
        relay: Relay,
        receive_local: Callable[[list[ToNode]], None],
    ) -> None:
        self._state = state
        self._relay = relay
        self._receive_local = receive_local
        self._by_name: dict[str, Peer] = {}
        self._rosters: dict[str, RosterState] = {}
        self._published: tuple[NodeInfo, ...] = ()
        self._advertised = 0
        self.max_reachable = 0

    def reset(self) -> None:
        """Close all links and remove all instances."""
        for peer in self._by_name.values():
            peer.close()
        self._by_name.clear()
        self._rosters.clear()
        self._published = ()
        self._state.metrics.instances_behind.set(0)
        self.max_reachable = self._state.instances

    def get(self, name: str) -> Peer | None:
        """Return an instance, or ``None`` if it is not linked."""
        return self._by_name.get(name)

    def add(self, hello: Hello) -> Peer:
        """Add an instance that has linked up, and send it the data that it lacks."""
        info = hello.info
        peer = self._by_name[info.name] = Peer(
            # Its heartbeats report whether it is ready.
            info=msgspec.structs.replace(info, is_ready=False),
            last_message_at=self._state.clock.now(),
            configuration=hello.configuration,
            build_configuration=(
                self._state.versions.build_delta
                if hello.reads_updates
                else self._relay.build_full_configuration
            ),
        )
        peer.send_configuration(self._state.configuration_version)
        peer.send_rows(self._relay.list_missing_rows(hello), self._relay.build_rows)
        log_event(Event.PEER_UP, instance=info.name)
        return peer

    def remove(self, peer: Peer) -> bool:
        """Remove an instance whose link ended; ``False`` if it has reconnected."""
        if self._by_name.get(peer.info.name) is not peer:
            return False
        del self._by_name[peer.info.name]
        log_event(Event.PEER_DOWN, instance=peer.info.name)
        return True

    def handle_heartbeat(self, origin: str, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat of an instance.

        :return: whether it has just lost the store.
        """
        peer = self._by_name.get(origin)
        if peer is None:
            self.publish_roster()
            return False
        has_lost_store = peer.follows_store and not heartbeat.follows_store
        peer.misses_store = heartbeat.misses_store
        peer.follows_store = heartbeat.follows_store
        peer.configuration = heartbeat.configuration
        peer.sent_version = max(peer.sent_version, heartbeat.configuration)
        peer.last_heartbeat = heartbeat.number
        self._confirm_freshness(peer, heartbeat)
        info = msgspec.structs.replace(
            peer.info,
            is_ready=heartbeat.is_ready,
            reaches_servers=heartbeat.reaches_servers,
        )
        if peer.info != info:
            peer.info = info
            self.publish_roster()
        now = self._state.clock.now()
        if (
            not heartbeat.roster
            and now - peer.roster_sent_at >= FULL_ROSTER_INTERVAL_MS
        ):
            peer.roster_sent_at = now
            peer.send(build_full_roster(self._get_roster(peer.info.site)))
        return has_lost_store

    def _confirm_freshness(self, peer: Peer, heartbeat: Heartbeat) -> None:
        """Record a heartbeat's confirmation of the active configuration, if any."""
        state = self._state
        peer.heartbeats.record(heartbeat.number, at=state.clock.now())
        sent_at = peer.statuses.find_time(heartbeat.vouches)
        if (
            sent_at is not None
            and heartbeat.configuration <= state.configuration_version
        ):
            state.freshness.confirm(sent_at, source="follower")

    def is_store_followed(self) -> bool:
        """Tell whether coordinator or followers get all changes from the store."""
        followers = self._relay.followers
        return is_following_store(self._state) or any(
            peer.follows_store
            for peer in self.list_reachable()
            if peer.info.name in followers
        )

    def list_reachable(self) -> list[Peer]:
        """Return the instances that have sent a message recently."""
        now = self._state.clock.now()
        return [
            peer
            for peer in self._by_name.values()
            if now - peer.last_message_at < COORDINATOR_TIMEOUT_MS
        ]

    @property
    def has_lost_all(self) -> bool:
        """Whether no other instance is reachable, although some were."""
        return self.max_reachable > 1 and not self.list_reachable()

    def list_linked(self) -> list[NodeInfo]:
        """Return descriptions of the linked instances, this one first."""
        return [
            self._state.build_info(),
            *(peer.info for peer in self.list_reachable()),
        ]

    def list_store_failures(self) -> list[bool]:
        """Return for each instance that knows whether it misses the store.

        This instance, which misses it, comes first.
        """
        reachable = [peer.misses_store for peer in self.list_reachable()]
        return [True, *(misses for misses in reachable if misses is not None)]

    def find_largest_capacity(self) -> float:
        """Return the largest capacity of the other ready instances."""
        return max((info.capacity for info in self.list_ready()), default=0.0)

    def list_ready(self) -> list[NodeInfo]:
        """Return descriptions of the other linked instances that serve callers."""
        return [peer.info for peer in self.list_reachable() if peer.info.is_ready]

    def send(self, name: str, message: ToNode) -> None:
        """Send to one instance; nothing if it is not linked."""
        if name == self._state.settings.name:
            self._receive_local([message])
        elif name in self._by_name:
            self._by_name[name].send(message)

    def send_all(self, message: ToNode) -> None:
        """Send to all instances, including this one."""
        self._receive_local([message])
        self.send_others(message)

    def send_others(self, message: ToNode) -> None:
        """Send to all instances except this one."""
        for peer in self._by_name.values():
            peer.send(message)

    def send_estimates(self, estimates: CoordinatorEstimates) -> None:
        """Send estimates to the instances that will claim the lease first."""
        ready = [peer for peer in self._by_name.values() if peer.info.is_ready]
        ready.sort(key=lambda peer: (-peer.info.capacity, peer.info.name))
        for peer in ready[:SUCCESSOR_COUNT]:
            peer.send(estimates)

    def relay_update(self, update: StoreUpdate) -> None:
        """Relay the urgent part of a store update."""
        if update.configuration:
            self.send_configuration()
        selected = self._relay.select_urgent(update)
        if selected is not None:
            self.send_others(selected)

    def send_configuration(self) -> None:
        """Send all instances the active configuration, unless they have it."""
        for peer in self._by_name.values():
            peer.send_configuration(self._state.configuration_version)

    def send_status(self, *, is_holder: bool) -> int:
        """Send the status, and before it a batch of deferred rows if one is due.

        The roster is to be published first.

        :return: number of reachable instances, including this one.
        """
        reachable = self.list_reachable()
        count = 1 + len(reachable)
        self.max_reachable = max(self.max_reachable, count)
        self._relay.choose_followers(
            peer.info for peer in reachable if not peer.misses_store
        )
        update = self._relay.flush(self._state.clock.now())
        if update is not None:
            self.send_others(update)
        position = self._relay.store_position
        status = CoordinatorStatus(
            is_holder=is_holder,
            instances=count,
            takers=self._advertised,
            followers=self._relay.followers,
            is_store_followed=self.is_store_followed(),
            store_version=position.version,
            store_era=position.era,
            configuration=self._state.configuration_version,
            grants_second=True,
            records_streams=True,
        )
        self._receive_local([status])
        for peer in self._by_name.values():
            self._send_status_to(peer, status)
        return count

    def _send_status_to(self, peer: Peer, status: CoordinatorStatus) -> None:
        state = self._state
        peer.last_status += 1
        peer.statuses.record(peer.last_status, at=state.clock.now())
        own = msgspec.structs.replace(
            status,
            beat=peer.last_heartbeat,
            number=peer.last_status,
            fresh_beat=peer.heartbeats.find_number(state.freshness.confirmed_at),
            view_beat=peer.heartbeats.find_number(state.server_view.confirmed_at),
        )
        peer.send(own)

    def report_outdated(self) -> None:
        """Log which instances have an older active configuration, if any."""
        outdated = self.list_outdated()
        self._state.metrics.instances_behind.set(len(outdated))
        if outdated:
            log_event(
                Event.CONFIGURATION_BEHIND,
                version=self._state.configuration_version,
                count=len(outdated),
                instances=outdated[:MAX_LOGGED_OUTDATED],
            )

    def list_outdated(self) -> list[str]:
        """Return the instances that have an older active configuration.

        Instances without a configuration are not ready, and are not listed: they have
        not reported a version yet, or never do.
        """
        version = self._state.configuration_version
        return [
            peer.info.name
            for peer in self.list_reachable()
            if 0 < peer.configuration < version
        ]

    def publish_roster(self) -> None:
        """Send the changes of the roster, if there are any."""
        infos = tuple(self.list_linked())
        if infos == self._published:
            return
        self._published = infos
        self._advertised = count_advertised(infos)
        self._get_roster(self._state.settings.site)
        for site in {info.site for info in infos} | set(self._rosters):
            change = update_roster(
                self._get_roster(site), select_view(infos, site=site)
            )
            if change is not None:
                self._send_roster_change(site, change)

    def _send_roster_change(self, site: str, change: RosterChange) -> None:
        if site == self._state.settings.site:
            self._receive_local([build_full_roster(self._get_roster(site))])
        for peer in self._by_name.values():
            # An instance without a roster asks for the full one in its first heartbeat.
            if peer.info.site == site and peer.roster_sent_at >= 0:
                peer.send(change)

    def _get_roster(self, site: str) -> RosterState:
        roster = self._rosters.get(site)
        if roster is None:
            roster = self._rosters[site] = RosterState(site=site, version=1)
        return roster
