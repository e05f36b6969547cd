"""A simulation of instances that share a service's retry budget, without a network.

Callers send requests to instances, which send them again while they fail. The plan of a
seed moves callers, starts instances again, adds and removes them, cuts them off, and
changes the demand and the settings.
"""

import heapq
import itertools
import math
import random

from arbutuspulley.admission.service_retry_budget import (
    build_budget,
    record_request,
    settle,
    try_charge,
)
from arbutuspulley.membership.limit_shares import SettledShare, get_instance_share
from tests.retry_rule import find_excess

WINDOW_MS = 10_000

STATUS_MS = 250
"""Interval of the coordinator's status, in ms."""

CONTACT_MS = 3_000
"""Longest time for which a cut holds retries back, in ms."""

MAX_ATTEMPTS = 3

EXTRA, EXTRA_PER_INSTANCE = 40, 2
"""Retries that are allowed in addition to the ratio."""

ARRIVAL_MS = (1, 30)
"""Range of the time until a retry arrives, in ms."""

FAILURE_MS = (2, 300)
"""Range of the time until an attempt fails, in ms."""


class Instance:
    """One process of an instance.

    :param cut_until: end of the cut between this instance and all others, in ms.
    """

    def __init__(self, *, name, now, ratio, extra, rng):
        self.name = name
        self.is_alive = True
        self.cut_until = 0
        self._extra = extra
        self._share = SettledShare()
        self._budget = build_budget(
            ratio=ratio, window_ms=WINDOW_MS, phase=rng.random()
        )

    def learn_fleet(self, *, instances, now):
        """Apply a status of the coordinator."""
        share = get_instance_share(1.0, share_divisor=instances)
        self._share.update(share, window_ms=WINDOW_MS, now=now)

    def reload(self, *, ratio, extra):
        """Apply settings that were read again."""
        self._budget.ratio, self._extra = ratio, extra

    def record_request(self, *, now):
        record_request(self._budget, now=now)

    def try_charge(self, *, now):
        """Return the charge of a retry; ``None`` if the request may not be retried."""
        share = self._share.get(window_ms=WINDOW_MS, now=now)
        return try_charge(self._budget, extra_limit=self._extra * share, now=now)

    def settle(self, charge, *, now):
        """Record that a retry has arrived."""
        settle(self._budget, charge, now=now)


class Plan:
    """What may happen, each at random times.

    :param rates: range of the requests/s of the callers, for each instance.
    :param failing: shares of the attempts that fail; each holds for some seconds.
    :param moves: whether callers move between instances.
    :param restarts: mean interval between restarts, in ms; ``None``: no restarts.
    :param resizes: whether instances are added and removed.
    :param cuts: whether instances are cut off from servers and the coordinator.
    :param reloads: whether settings are read again, with other values.
    """

    def __init__(
        self,
        *,
        instances,
        rates=(8.0, 8.0),
        failing=(1.0,),
        moves=False,
        restarts=None,
        resizes=False,
        cuts=False,
        reloads=False,
        ratio=0.2,
        for_ms=45_000,
    ):
        self.instances = instances
        self.rates = rates
        self.failing = failing
        self.moves = moves
        self.restarts = restarts
        self.resizes = resizes
        self.cuts = cuts
        self.reloads = reloads
        self.ratio = ratio
        self.extra = EXTRA + EXTRA_PER_INSTANCE * instances
        self.for_ms = for_ms


class Fleet:
    """One run of the simulation."""

    def __init__(self, plan, *, seed):
        self._plan = plan
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._names = itertools.count()
        self._ratio, self._extra = plan.ratio, plan.extra
        self._failing = plan.failing[0]
        self._rate = plan.rates[0] * plan.instances
        self._ask_at = 0.0
        self._coordinator_back_at = 0
        self.instances = [self._start(now=0) for _ in range(plan.instances)]
        self._shares = self._spread()
        self.requests = []
        self.retries = []
        self.denied = 0

    def run(self):
        """Play the plan and return the window with the largest excess."""
        plan = self._plan
        self._at(0, self._send_status)
        # Failures begin once the instances have run for more than a window.
        self._at(0, self._ask)
        self._failing = 0.0
        self._at(1.5 * WINDOW_MS + self._rng.uniform(0, 3_000), self._change_failing)
        self._at(2_000, self._change_rate)
        if plan.moves:
            self._at(1_000, self._move)
        if plan.restarts:
            self._at(1.5 * WINDOW_MS, self._restart)
        if plan.resizes:
            self._at(1.5 * WINDOW_MS, self._resize)
        if plan.cuts:
            self._at(1.5 * WINDOW_MS, self._cut)
        if plan.reloads:
            self._at(1.5 * WINDOW_MS, self._reload)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            if now > plan.for_ms:
                break
            act(int(now))
        return find_excess(
            self.requests,
            sorted(self.retries),
            ratio=self._ratio,
            extra=self._extra,
            window=WINDOW_MS,
        )

    def _at(self, at, act):
        heapq.heappush(self._events, (at, next(self._order), act))

    def _start(self, *, now, name=None):
        return Instance(
            name=next(self._names) if name is None else name,
            now=now,
            ratio=self._ratio,
            extra=self._extra,
            rng=self._rng,
        )

    def _spread(self, chosen=None):
        """Return cumulative shares of the callers, almost all at the chosen ones."""
        chosen = set(range(len(self.instances)) if chosen is None else chosen)
        return list(
            itertools.accumulate(
                1.0 if number in chosen else 0.001
                for number in range(len(self.instances))
            )
        )

    # Load

    def _ask(self, now):
        (instance,) = self._rng.choices(self.instances, cum_weights=self._shares)
        self.requests.append(now)
        if instance.is_alive:
            instance.record_request(now=now)
            self._attempt(instance, 1, now)
        self._ask_at += self._rng.expovariate(self._rate / 1_000)
        self._at(self._ask_at, self._ask)

    def _attempt(self, instance, number, now):
        if self._rng.random() >= self._failing or number >= MAX_ATTEMPTS:
            return

        def fail(now):
            if not instance.is_alive:
                return
            charge = instance.try_charge(now=now)
            if charge is None:
                self.denied += 1
                return
            arrives_at = now + self._rng.uniform(*ARRIVAL_MS)
            arrives_at = max(arrives_at, instance.cut_until)

            def arrive(now):
                self.retries.append(now)
                instance.settle(charge, now=now)
                self._attempt(instance, number + 1, now)

            self._at(arrives_at, arrive)

        self._at(now + self._rng.uniform(*FAILURE_MS), fail)

    # Faults

    def _send_status(self, now):
        if now >= self._coordinator_back_at:
            linked = [
                one for one in self.instances if one.is_alive and one.cut_until <= now
            ]
            for one in linked:
                one.learn_fleet(instances=len(linked), now=now)
        self._at(now + STATUS_MS, self._send_status)

    def _change_failing(self, now):
        self._failing = self._rng.choice(self._plan.failing)
        self._at(now + self._rng.uniform(1_000, 12_000), self._change_failing)

    def _change_rate(self, now):
        self._rate = self._rng.uniform(*self._plan.rates) * self._plan.instances
        self._at(now + self._rng.uniform(2_000, 10_000), self._change_rate)

    def _move(self, now):
        chosen = self._rng.sample(
            range(len(self.instances)), self._rng.randint(1, len(self.instances))
        )
        self._shares = self._spread(chosen)
        self._at(now + self._rng.uniform(500, 8_000), self._move)

    def _restart(self, now):
        share = self._rng.choice((0.2, 0.5, 1.0))
        for number in range(len(self.instances)):
            if self._rng.random() < share:
                self._kill(number, now)
        if self._rng.random() < 0.3:
            self._coordinator_back_at = now + self._rng.uniform(500, 4_000)
        self._at(now + self._rng.uniform(0.5, 1.5) * self._plan.restarts, self._restart)

    def _kill(self, number, now):
        killed = self.instances[number]
        killed.is_alive = False

        def start(now):
            # It may have been removed from the fleet meanwhile.
            if number < len(self.instances) and self.instances[number] is killed:
                self.instances[number] = self._start(now=now, name=killed.name)

        self._at(now + self._rng.uniform(200, 1_500), start)

    def _resize(self, now):
        target = max(2, math.ceil(self._plan.instances * self._rng.uniform(0.4, 2.0)))
        while len(self.instances) > target:
            self.instances.pop().is_alive = False
        while len(self.instances) < target:
            self.instances.append(self._start(now=now))
        self._shares = self._spread()
        self._at(now + self._rng.uniform(2_000, 15_000), self._resize)

    def _cut(self, now):
        share = self._rng.choice((0.2, 0.5))
        until = now + self._rng.uniform(500, CONTACT_MS)
        for one in self.instances:
            if self._rng.random() < share:
                one.cut_until = until
        self._at(until + self._rng.uniform(1_000, 6_000), self._cut)

    def _reload(self, now):
        for one in self.instances:
            one.reload(ratio=self._ratio, extra=self._extra)
        self._at(now + self._rng.uniform(1_000, 5_000), self._reload)
