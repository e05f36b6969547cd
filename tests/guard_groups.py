"""Groups of instances whose guards tell each other of crashes at once."""

from arbutuspulley.clock import Clock
from arbutuspulley.delivery.crash_records import CrashRecords
from arbutuspulley.delivery.part_records import PartRecords
from arbutuspulley.membership.leaving import LeavingServers
from arbutuspulley.membership.server_starts import ENTRY_DELAY_MS, ServerStarts
from arbutuspulley.node.messages import SuspicionUpdate
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.node.poison import PoisonGuard
from tests.node_states import build_state

HEARTBEAT_MS = 1_200


class Instance:
    """An instance that sends to its group's guards unless it is disconnected."""

    def __init__(self, group):
        self.now = 0
        self.clock = Clock(read=lambda: self.now)
        self.metrics = NodeMetrics()
        self.crash_records = CrashRecords()
        self.part_records = PartRecords(requests=self.crash_records)
        self.server_starts = ServerStarts(
            clock=self.clock,
            get_heartbeat_ms=lambda: HEARTBEAT_MS,
            get_view_at=lambda: self.now,
        )
        self.settings = build_state(name=f"n{len(group)}").settings
        self.is_coordinator = False
        self.leaving = LeavingServers()
        self.is_disconnected = False
        self.group = group
        group.append(self)
        self.guard = PoisonGuard(state=self, link=self)

    def send(self, message):
        assert isinstance(message, SuspicionUpdate)
        if self.is_disconnected:
            return
        for other in self.group:
            if not other.is_disconnected:
                other.guard.merge_update(message)


def answer_until_proven(group, instance, server):
    """Let a server answer an instance until its entry must be one of the same start."""
    for one in group:
        one.now += 10
    instance.guard.record_answer(server, sent_at=instance.now - 5)
    for one in group:
        one.now += HEARTBEAT_MS + ENTRY_DELAY_MS
    instance.guard.record_answer(server, sent_at=instance.now - 5)


def build_group(count=2):
    group = []
    return [Instance(group) for _ in range(count)]
