"""A model of instances, servers and callers in virtual time, without a network.

The instances' crash records and guards are the real ones. Links, servers, callers and
troubles are modelled: messages take time, are lost without a coordinator, and wait for
an instance that is frozen. Everything is drawn from one seed.
"""

import heapq
import itertools
import random

import msgspec

from arbutuspulley.clock import Clock
from arbutuspulley.delivery.crash_records import CrashRecords
from arbutuspulley.delivery.part_records import PartRecords
from arbutuspulley.membership.server_starts import LAPSE_HEARTBEATS, ServerStarts
from arbutuspulley.node.crash_store import (
    LONE_INTERVAL_MS,
    WRITE_INTERVAL_MS,
    CrashJournal,
)
from arbutuspulley.node.messages import SuspicionUpdate
from arbutuspulley.node.metrics import NodeMetrics
from arbutuspulley.node.poison import TRIAL_SPREAD_MS, PoisonGuard
from arbutuspulley.node.suspects import build_suspects
from arbutuspulley.platform.requests import decode_request
from tests.node_states import build_state

CONTACT_MS = 3_000
"""Time after the third crash, or after a trouble of an instance, from which on retries
count, in ms."""

COUNTED_CRASHES, COUNTED_CRASHES_OF_PART = 3, 5
"""The number of that crash, of a request and of a part of prompts."""

FIRST_PART = "a0"
"""Part that the prompts of all requests begin with."""

ELECT_AGAIN_MS = 100
"""Time after which an election is repeated if all instances are frozen, in ms."""

DOWN_MS = (200, 3_500)
"""Shortest and longest time from a crash to the next start of a server, in ms."""

HEARTBEAT_MS = 1_200
"""Interval at which servers write their entries, in ms. The first entry of a start is
written up to that late."""

MESSAGE_MS = (1, 6)
"""Shortest and longest time that a message takes on one link, in ms."""

STORE_MS = (2, 30)
"""Shortest and longest time of a call to the store, in ms."""

RUN_MS = {True: (5, 400), False: (20, 1_500)}
"""How long requests run, in ms: those that crash their server, and harmless ones."""

PLAY_MS = 150_000
QUIET_MS = 128_000
"""Duration of a play, and of its end without troubles, in ms."""

HARMLESS_EVERY_MS = 120
"""Interval at which each harmless request is repeated, in ms."""

MAX_ATTEMPTS = 2
"""Number of servers to which a caller's request is sent."""

METRICS = NodeMetrics()
SETTINGS = build_state().settings


class ModelInstance:
    """An instance: its guard, its link, and what it can reach."""

    def __init__(self, model, name):
        self.model = model
        self.name = name
        self.clock = Clock(read=lambda: model.now)
        self.metrics = METRICS
        self.settings = msgspec.structs.replace(SETTINGS, name=name)
        self.frozen_until = 0
        self.cut_until = 0
        self.troubled_until = 0
        self.start()

    @property
    def is_coordinator(self):
        return self.model.coordinator is self

    def start(self):
        """Start as a process that knows nothing."""
        self.boot = object()
        self.crash_records = CrashRecords()
        self.part_records = PartRecords(requests=self.crash_records)
        self.server_starts = ServerStarts(
            clock=self.clock,
            get_heartbeat_ms=lambda: HEARTBEAT_MS,
            get_view_at=lambda: self.model.now,
        )
        self.server_starts.set_listed({one.listed for one in self.model.servers})
        self.guard = PoisonGuard(state=self, link=self)
        self.is_linked = False
        self.journal = CrashJournal(
            clock=self.clock,
            requests=self.crash_records,
            parts=self.part_records.records,
            on_change=self.schedule_write,
        )
        self.is_writing = False
        self.model.after(self.model.draw((50, 800)), self.link_up)
        self.call_store(self.read_rows)

    def call_store(self, call, *args, delay_ms=0):
        """Call the store, unless it is away; the call is lost with this process."""
        if not self.model.has_store:
            return
        boot = self.boot

        def arrive():
            if self.boot is not boot:
                return
            if self.frozen_until > self.model.now:
                self.model.after(self.frozen_until - self.model.now, arrive)
                return
            call(*args)

        delay_ms += self.model.store_rng.uniform(*STORE_MS)
        self.model.after(delay_ms, arrive)

    def read_rows(self):
        update = self.journal.adopt(self.model.rows, store_now=self.model.now)
        self.guard.merge_update(update)

    def read_again(self):
        self.journal.awaits_rows = True
        self.schedule_write()

    def schedule_write(self):
        if self.is_writing:
            return
        self.is_writing = True
        delay_ms = WRITE_INTERVAL_MS if self.is_coordinator else LONE_INTERVAL_MS
        self.call_store(self.write, delay_ms=delay_ms)

    def write(self):
        self.is_writing = False
        if not self.is_coordinator and self.model.coordinator is not None:
            self.journal.leave_to_coordinator(heard_at=self.model.now)
            return
        if self.journal.awaits_rows or not self.is_coordinator:
            self.read_rows()
        batch = self.journal.take_batch(store_now=self.model.now)
        if batch is None:
            return
        self.model.rows |= batch.put
        for key in batch.remove:
            self.model.rows.pop(key, None)
        self.journal.confirm(batch)
        self.schedule_write()

    def link_up(self):
        """Exchange what is known with the coordinator, once there is one."""
        coordinator = self.model.coordinator
        if coordinator is None or coordinator is self:
            return
        self.is_linked = True
        self.model.deliver(coordinator, build_suspects(self), relays=True)
        self.model.deliver(self, build_suspects(coordinator))

    def send(self, message):
        """Send to the coordinator, which relays to all."""
        coordinator = self.model.coordinator
        if coordinator is None or not (self.is_linked or coordinator is self):
            return
        self.model.deliver(coordinator, message, relays=True)

    def receive(self, message, *, relays):
        self.guard.merge_update(message)
        if relays and self.model.coordinator is self:
            for other in self.model.instances:
                if other is not self and other.is_linked:
                    self.model.deliver(other, message)


class ModelServer:
    """A server, which runs requests and crashes."""

    def __init__(self, number):
        self.number = number
        self.starts = 0
        self.is_up = True
        self.runs = {}
        # The start that its entry names.
        self.listed = self.incarnation

    @property
    def incarnation(self):
        return f"s{self.number}.{self.starts}"


class Attempt:
    """One run of a request at a server."""

    def __init__(self, *, instance, request, server, known, sent_at, left):
        self.instance = instance
        self.boot = instance.boot
        self.request = request
        self.server = server
        self.incarnation = server.listed
        self.known = known
        self.sent_at = sent_at
        self.left = left


class CrashModel:
    """One play of a plan of troubles.

    :param poisons: number of requests that crash servers, sent again and again.
    :param bad_parts: number of parts of prompts that do, in requests never alike.
    :param copies: number of instances through which they come at once.
    :param tries_others: whether instances that can't connect to a server try others.
    :param has_store: whether the store serves; else it is away all the time.
    :param are_entries_late: whether servers write their entries up to a heartbeat after
        a start, rather than at once.
    """

    def __init__(
        self,
        *,
        seed,
        instances=6,
        servers=3,
        poisons=1,
        bad_parts=0,
        copies=1,
        tries_others=False,
        has_store=True,
        are_entries_late=False,
        every_ms,
    ):
        self.has_store = has_store
        self.are_entries_late = are_entries_late
        self.rows = {}
        self.store_rng = random.Random(seed)
        self.entry_rng = random.Random(seed)
        self.rng = random.Random(seed)
        self.now = 0
        self._events = []
        self._numbers = itertools.count()
        self.coordinator = None
        self.instances = []
        self.servers = [ModelServer(number) for number in range(servers)]
        for number in range(instances):
            self.instances.append(ModelInstance(self, f"n{number}"))
        self.copies = copies
        self.tries_others = tries_others
        self.every_ms = every_ms
        self.poisons = [b"poison%d" % number for number in range(poisons)]
        self.bad_parts = [f"bad{number}" for number in range(bad_parts)]
        self.crashes = {cause: [] for cause in (*self.poisons, *self.bad_parts)}
        self.retries = {cause: [] for cause in self.crashes}
        self.answers = []
        self.elect()

    def draw(self, bounds):
        return self.rng.uniform(*bounds)

    def after(self, delay_ms, call, *args):
        entry = (self.now + delay_ms, next(self._numbers), call, args)
        heapq.heappush(self._events, entry)

    def run(self):
        """Play to the end."""
        for body in self.poisons:
            self.after(self.draw((500, 1_500)), self.repeat, body, self.every_ms)
        for part in self.bad_parts:
            self.after(self.draw((500, 1_500)), self.repeat_part, part, self.every_ms)
        for number in range(3):
            body = b"harmless%d" % number
            self.after(self.draw((0, 300)), self.repeat, body, HARMLESS_EVERY_MS)
        while self._events and self.now < PLAY_MS:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def elect(self):
        """Make another instance the coordinator; all others link up to it."""
        now = self.now
        able = [one for one in self.instances if one.frozen_until <= now]
        others = [one for one in able if one is not self.coordinator]
        if not others:
            self.after(ELECT_AGAIN_MS, self.elect)
            return
        self.coordinator = self.rng.choice(others)
        self.coordinator.read_again()
        for one in self.instances:
            one.is_linked = False
            self.after(self.draw((20, 500)), one.link_up)

    def lose_coordinator(self):
        """Let no instance coordinate for a while."""
        self.coordinator = None
        for one in self.instances:
            one.is_linked = False
        self.after(self.draw((300, 2_000)), self.elect)

    def deliver(self, instance, message, *, relays=False):
        boot = instance.boot

        def arrive():
            if instance.boot is not boot:
                return
            if instance.frozen_until > self.now:
                self.after(instance.frozen_until - self.now, arrive)
                return
            instance.receive(message, relays=relays)

        assert isinstance(message, SuspicionUpdate)
        self.after(self.draw(MESSAGE_MS), arrive)

    def repeat(self, body, every_ms):
        """Send a request again and again, some copies at once."""
        copies = self.copies if body in self.crashes else 1
        for instance in self.rng.sample(self.instances, copies):
            self.ask(instance, build_request(body), MAX_ATTEMPTS)
        self.after(
            self.draw((0.5 * every_ms, 1.5 * every_ms)), self.repeat, body, every_ms
        )

    def repeat_part(self, part, every_ms):
        """Send requests with a part that crashes servers; no two are alike."""
        for instance in self.rng.sample(self.instances, self.copies):
            body = b"%s %d" % (part.encode(), next(self._numbers))
            beside = f"b{self.rng.randrange(3)}"
            request = build_request(body, parts=(FIRST_PART, part, beside))
            self.ask(instance, request, MAX_ATTEMPTS)
        self.after(
            self.draw((0.5 * every_ms, 1.5 * every_ms)),
            self.repeat_part,
            part,
            every_ms,
        )

    def find_cause(self, request):
        """Return what of a request crashes servers; ``None``: nothing."""
        causes = (request.body, *request.shared_parts)
        return next((cause for cause in causes if cause in self.crashes), None)

    def ask(self, instance, request, left):
        if instance.frozen_until > self.now:
            self.after(
                instance.frozen_until - self.now, self.ask, instance, request, left
            )
            return
        if instance.guard.get_refusal(request) is not None:
            self.record_answer(instance, request, "refused")
            return
        delay_ms = 0.0
        if instance.guard.needs_trial(request):
            delay_ms = self.rng.random() * TRIAL_SPREAD_MS
        self.after(delay_ms, self.send, instance, instance.boot, request, left)

    def send(self, instance, boot, request, left):
        if instance.boot is not boot:
            return
        if instance.guard.get_refusal(request) is not None:
            self.record_answer(instance, request, "refused")
            return
        server = self.choose_server()
        if not (server.is_up and server.listed) or not self.can_send():
            self.record_answer(instance, request, "out of reach")
            return
        known = instance.guard.begin_attempt(request)
        attempt = Attempt(
            instance=instance,
            request=request,
            server=server,
            known=known,
            sent_at=self.now,
            left=left - 1,
        )
        cause = self.find_cause(request)
        is_poison = cause is not None
        if is_poison:
            self.record_retry(instance, cause)
        server.runs[attempt] = server.incarnation
        run_ms = self.draw(RUN_MS[is_poison])
        self.after(run_ms, self.crash if is_poison else self.finish, attempt)

    def choose_server(self):
        up = [one for one in self.servers if one.is_up and one.listed]
        return self.rng.choice(up if self.tries_others and up else self.servers)

    def can_send(self):
        """Return whether an instance is left that reaches the servers."""
        return any(one.cut_until <= self.now for one in self.instances)

    def record_retry(self, instance, cause):
        crashes = self.crashes[cause]
        counted = (
            COUNTED_CRASHES_OF_PART if cause in self.bad_parts else COUNTED_CRASHES
        )
        if len(crashes) < counted:
            return
        is_late = self.now > sorted(crashes)[counted - 1] + CONTACT_MS
        if is_late and self.now > instance.troubled_until + CONTACT_MS:
            self.retries[cause].append(self.now)

    def crash(self, attempt):
        if attempt.server.runs.get(attempt) != attempt.server.incarnation:
            return
        self.crashes[self.find_cause(attempt.request)].append(self.now)
        self.crash_server(attempt.server)

    def crash_server(self, server):
        if not server.is_up:
            return
        server.is_up = False
        if server.listed == server.incarnation:
            left = self.entry_rng.uniform(LAPSE_HEARTBEATS - 1, LAPSE_HEARTBEATS)
            self.after(left * HEARTBEAT_MS, self.lapse, server, server.listed)
        runs, server.runs = list(server.runs), {}
        for attempt in runs:
            self.after(self.draw(MESSAGE_MS), self.break_off, attempt)
        self.after(self.draw(DOWN_MS), self.start_server, server)

    def start_server(self, server):
        server.starts += 1
        server.is_up = True
        self.after(
            self.entry_rng.uniform(0, HEARTBEAT_MS) if self.are_entries_late else 0.0,
            self.write_entry,
            server,
            server.incarnation,
        )

    def write_entry(self, server, incarnation):
        if not server.is_up or server.incarnation != incarnation:
            return
        self.list_start(server, incarnation)

    def lapse(self, server, listed):
        if server.listed == listed:
            self.list_start(server, "")

    def list_start(self, server, incarnation):
        server.listed = incarnation
        listed = {one.listed for one in self.servers}
        for instance in self.instances:
            instance.server_starts.set_listed(listed)

    def finish(self, attempt):
        if attempt.server.runs.pop(attempt, None) is None:
            return
        self.after(self.draw(MESSAGE_MS), self.complete, attempt)

    def complete(self, attempt):
        instance, request = attempt.instance, attempt.request
        if instance.boot is not attempt.boot:
            return
        instance.guard.record_answer(attempt.incarnation, sent_at=attempt.sent_at)
        instance.guard.clear(request)
        instance.guard.clear_parts(request)
        instance.guard.end_attempt(request)
        self.record_answer(instance, request, "served")

    def break_off(self, attempt):
        instance = attempt.instance
        if instance.boot is not attempt.boot:
            return
        if instance.frozen_until > self.now:
            self.after(instance.frozen_until - self.now, self.break_off, attempt)
            return
        instance.guard.record_crash(
            attempt.request, incarnation=attempt.incarnation, known=attempt.known
        )
        instance.guard.end_attempt(attempt.request)
        if attempt.left:
            self.ask(instance, attempt.request, attempt.left)
        else:
            self.record_answer(instance, attempt.request, "broken off")

    def record_answer(self, instance, request, how):
        self.answers.append((self.now, instance.name, request.body, how))

    def kill(self, instance):
        """Kill an instance; it starts again."""
        for server in self.servers:
            for attempt in [one for one in server.runs if one.instance is instance]:
                if self.find_cause(attempt.request) is None:
                    del server.runs[attempt]
        if self.coordinator is instance:
            self.lose_coordinator()
        self.trouble(instance, 0)
        instance.start()

    def kill_all(self):
        """Kill all instances at the same moment; they start again."""
        for instance in self.instances:
            self.kill(instance)

    def freeze(self, instance):
        duration_ms = self.draw((300, 4_000))
        instance.frozen_until = self.now + duration_ms
        self.trouble(instance, duration_ms)
        if self.coordinator is instance and duration_ms > 1_000:
            self.lose_coordinator()

    def cut(self, instance):
        """Cut an instance off from all servers; its connections are reset or hang."""
        duration_ms = self.draw((500, 5_000))
        instance.cut_until = self.now + duration_ms
        delay_ms = self.rng.choice((1, 2_500))
        for server in self.servers:
            for attempt in [one for one in server.runs if one.instance is instance]:
                if self.find_cause(attempt.request) is None:
                    del server.runs[attempt]
                    self.after(delay_ms, self.break_off, attempt)

    def lose_power(self):
        """Crash most servers at once."""
        for server in self.servers:
            if self.rng.random() < 0.8:
                self.crash_server(server)

    def trouble(self, instance, duration_ms):
        instance.troubled_until = self.now + duration_ms


def build_request(body, *, parts=(FIRST_PART, "b0")):
    prompt = ",".join(f"{part}:1" for part in (*parts, "0"))
    headers = [("Host", "x"), ("X-Arbutuspulley-Prompt-Prefix", prompt)]
    request = decode_request(method="POST", path="/x", headers=headers)
    request.body = body
    return request


def strike(model, kind):
    """Let a kind of trouble strike now."""
    some = model.rng.sample(model.instances, model.rng.randint(1, 3))
    if kind == "power":
        model.lose_power()
    elif kind == "coordinator":
        model.lose_coordinator()
    else:
        for instance in some:
            getattr(model, kind)(instance)


KINDS = ("kill", "freeze", "cut", "power", "coordinator")
"""Kinds of trouble."""


def play(*, seed, kinds, has_store=False, **options):
    """Play a model in which troubles strike some times each, until its quiet end."""
    model = CrashModel(seed=seed, has_store=has_store, **options)
    for kind in kinds:
        for _ in range(model.rng.randint(1, 4)):
            at = model.draw((0, PLAY_MS - QUIET_MS - 5_000))
            model.after(at, strike, model, kind)
    model.run()
    return model
