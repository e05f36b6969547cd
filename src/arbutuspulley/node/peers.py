"""The instances that are linked to the coordinator, and what it tells all of them."""

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
"""Instances that are told what the coordinator has learnt, the best placed: one of them
comes next. All of it, to all, would grow with the models times the instances."""

MOST_TOLD_BEHIND = 10
"""Most instances that a line on who is behind names; it also counts them."""

WHOLE_AGAIN_MS = 1_000
"""Least time between two whole lists of instances to one that says it has none, in ms:
it says so in each beat until the list has come."""


class Peers:
    """All linked instances, by name.

    :param receive_local: takes what is sent to the coordinator's own instance.
    """

    __slots__ = (
        "_by_name",
        "_receive_local",
        "_relay",
        "_rosters",
        "_state",
        "_takers",
        "_told",
        "most_heard",
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
        self._told: tuple[NodeInfo, ...] = ()
        self._takers = 0
        self.most_heard = 0

    def begin(self) -> None:
        """Begin with no instance but the own one; all links end."""
        for peer in self._by_name.values():
            peer.end()
        self._by_name.clear()
        self._rosters.clear()
        self._told = ()
        self._state.metrics.instances_behind.set(0)
        self.most_heard = self._state.instances

    def get(self, name: str) -> Peer | None:
        """Return an instance, or ``None`` if it is not linked."""
        return self._by_name.get(name)

    def add(self, hello: Hello) -> Peer:
        """Add an instance that has linked up, and tell it what it misses."""
        info = hello.info
        peer = self._by_name[info.name] = Peer(
            # Whether it takes callers, its beats say.
            info=msgspec.structs.replace(info, is_ready=False),
            heard_at=self._state.clock.now(),
            configuration=hello.configuration,
            build_configuration=(
                self._state.versions.build_delta
                if hello.reads_updates
                else self._relay.build_full_configuration
            ),
        )
        peer.tell_configuration(self._state.configuration_version)
        news = self._relay.build_catch_up(hello)
        if news is not None:
            peer.send(news)
        log_event(Event.PEER_UP, instance=info.name)
        return peer

    def drop(self, peer: Peer) -> bool:
        """Forget an instance whose link ended; ``False`` if it has linked up anew."""
        if self._by_name.get(peer.info.name) is not peer:
            return False
        del self._by_name[peer.info.name]
        log_event(Event.PEER_DOWN, instance=peer.info.name)
        return True

    def handle_heartbeat(self, origin: str, beat: Heartbeat) -> bool:
        """Take in what an instance says of itself.

        :return: whether it has just lost the store.
        """
        peer = self._by_name.get(origin)
        if peer is None:
            self.tell_roster()
            return False
        has_lost_store = peer.follows_store and not beat.follows_store
        peer.misses_store = beat.misses_store
        peer.follows_store = beat.follows_store
        peer.configuration = beat.configuration
        peer.told = max(peer.told, beat.configuration)
        peer.beat = beat.number
        self._take_word(peer, beat)
        if peer.info.is_ready != beat.is_ready:
            peer.info = msgspec.structs.replace(peer.info, is_ready=beat.is_ready)
            self.tell_roster()
        now = self._state.clock.now()
        if not beat.roster and now - peer.roster_at >= WHOLE_AGAIN_MS:
            peer.roster_at = now
            peer.send(build_full_roster(self._get_roster(peer.info.site)))
        return has_lost_store

    def _take_word(self, peer: Peer, beat: Heartbeat) -> None:
        """Take in what a beat says of how new the configuration in force is."""
        state = self._state
        peer.beats.record(beat.number, at=state.clock.now())
        sent_at = peer.digests.find_time(beat.vouches)
        if sent_at is not None and beat.configuration <= state.configuration_version:
            state.freshness.confirm(sent_at, source="follower")

    def is_store_followed(self) -> bool:
        """Tell whether any of those that follow the store hears all changes."""
        followers = self._relay.followers
        return is_following_store(self._state) or any(
            one.follows_store for one in self.list_heard() if one.info.name in followers
        )

    def list_heard(self) -> list[Peer]:
        """Return the instances that were heard lately."""
        now = self._state.clock.now()
        return [
            peer
            for peer in self._by_name.values()
            if now - peer.heard_at < COORDINATOR_TIMEOUT_MS
        ]

    def list_linked(self) -> list[NodeInfo]:
        """Return what the linked instances say of themselves; first the own one."""
        return [self._state.build_info(), *(one.info for one in self.list_heard())]

    def list_misses(self) -> list[bool]:
        """Return of all that know it whether they miss the store; first the own."""
        heard = [peer.misses_store for peer in self.list_heard()]
        return [True, *(misses for misses in heard if misses is not None)]

    def find_best(self) -> float:
        """Return the largest capacity of the instances that take callers."""
        return max(
            (one.info.capacity for one in self.list_heard() if one.info.is_ready),
            default=0.0,
        )

    def send(self, name: str, message: ToNode) -> None:
        """Send to one instance; nothing if it is not linked."""
        if name == self._state.settings.name:
            self._receive_local([message])
        elif name in self._by_name:
            self._by_name[name].send(message)

    def send_all(self, message: ToNode) -> None:
        """Send to all instances, the own one included."""
        self._receive_local([message])
        self.send_others(message)

    def send_others(self, message: ToNode) -> None:
        """Send to all instances but the own one."""
        for peer in self._by_name.values():
            peer.send(message)

    def send_successors(self, learnt: CoordinatorEstimates) -> None:
        """Send what was learnt to those that will claim the lease first."""
        ready = [one for one in self._by_name.values() if one.info.is_ready]
        ready.sort(key=lambda one: (-one.info.capacity, one.info.name))
        for peer in ready[:SUCCESSOR_COUNT]:
            peer.send(learnt)

    def tell_news(self, news: StoreUpdate) -> None:
        """Relay what the store has told, as far as it can't wait."""
        if news.configuration:
            self.tell_configuration()
        selected = self._relay.select(news)
        if selected is not None:
            self.send_others(selected)

    def tell_configuration(self) -> None:
        """Send all instances the configuration in force, unless they have it."""
        for peer in self._by_name.values():
            peer.tell_configuration(self._state.configuration_version)

    def send_status(self, *, is_holder: bool) -> int:
        """Send the digest, and before it what was held back.

        The list of instances is to be told before.

        :return: how many instances are heard, the own one included.
        """
        heard = self.list_heard()
        count = 1 + len(heard)
        self.most_heard = max(self.most_heard, count)
        self._relay.choose_followers(one.info for one in heard if not one.misses_store)
        news = self._relay.flush(self._state.clock.now())
        if news is not None:
            self.send_others(news)
        digest = CoordinatorStatus(
            is_holder=is_holder,
            instances=count,
            takers=self._takers,
            followers=self._relay.followers,
            is_store_followed=self.is_store_followed(),
            store_version=self._relay.store_version,
            configuration=self._state.configuration_version,
        )
        self._receive_local([digest])
        for peer in self._by_name.values():
            self._send_digest_to(peer, digest)
        return count

    def _send_digest_to(self, peer: Peer, digest: CoordinatorStatus) -> None:
        state = self._state
        peer.digest += 1
        peer.digests.record(peer.digest, at=state.clock.now())
        own = msgspec.structs.replace(
            digest,
            beat=peer.beat,
            number=peer.digest,
            fresh_beat=peer.beats.find_number(state.freshness.confirmed_at),
        )
        peer.send(own)

    def tell_behind(self) -> None:
        """Log which instances have an older configuration in force, if any."""
        behind = self.list_behind()
        self._state.metrics.instances_behind.set(len(behind))
        if behind:
            log_event(
                Event.CONFIGURATION_BEHIND,
                version=self._state.configuration_version,
                count=len(behind),
                instances=behind[:MOST_TOLD_BEHIND],
            )

    def list_behind(self) -> list[str]:
        """Return the instances that have an older configuration in force.

        Those that have none are not ready, and have not said yet or never do.
        """
        version = self._state.configuration_version
        return [
            one.info.name
            for one in self.list_heard()
            if 0 < one.configuration < version
        ]

    def tell_roster(self) -> None:
        """Tell what has changed in the list of instances, if anything has."""
        infos = tuple(self.list_linked())
        if infos == self._told:
            return
        self._told = infos
        self._takers = count_advertised(infos)
        self._get_roster(self._state.settings.site)
        for site in {info.site for info in infos} | set(self._rosters):
            change = update_roster(
                self._get_roster(site), select_view(infos, site=site)
            )
            if change is not None:
                self._send_change(site, change)

    def _send_change(self, site: str, change: RosterChange) -> None:
        if site == self._state.settings.site:
            self._receive_local([build_full_roster(self._get_roster(site))])
        for peer in self._by_name.values():
            # An instance that has no list yet asks for the whole in its first beat.
            if peer.info.site == site and peer.roster_at >= 0:
                peer.send(change)

    def _get_roster(self, site: str) -> RosterState:
        roster = self._rosters.get(site)
        if roster is None:
            roster = self._rosters[site] = RosterState(site=site, version=1)
        return roster
