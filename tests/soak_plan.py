"""The plan of a soak: which faults are injected when.

It depends on the seed alone. Each series of faults is drawn from random numbers of its
own, so that the plans of older seeds stay as they were.
"""

import random

from arbutuspulley.data import Value

CONTACT_S = 4.0
"""A node, or the store, counts as calm if it was not disturbed for this long, in s."""

DRAIN_S = 2.0
"""Time after which a leaving server gets no more requests from calm nodes, in s."""

RECOVERY_S = 8.0
"""Time after the last fault after which everything is served again, in s."""


class Fault(Value, frozen=True):
    """One step of the plan.

    :param at: seconds from the start of the load.
    :param target: number of the node that it concerns, modulo their number.
    :param for_s: duration, in s, where there is one.
    """

    at: float
    kind: str
    target: int
    for_s: float


NODE_FAULTS = (
    "kill",
    "term",
    "freeze",
    "cut",
    "deafen",
    "mute",
    "slow",
    "reset",
    "hup",
)
STORE_FAULTS = ("copy", "copy", "away", "refuse", "lose", "late", "lag", "forget")
CUT_MODES = {
    "servers hang": "hang",
    "servers reset": "reset",
    "servers refuse": "live",
    "coordinator alone": "hang",
}
"""Faults that cut nodes off from all servers, with the mode of the cut."""

REACH_FAULTS = (*CUT_MODES, "silent", "brittle")
"""Faults of a series of their own, so that the plans of older seeds stay as they
were."""

POWER_FAULTS = ("power", "release")
"""Kinds of a series of its own: all nodes are killed at the same moment, and servers of
one software version are replaced by servers of another one."""

ANSWER_FAULTS = ("late answers", "copied refusals", "cut heads")
WRONG_FAULTS = (*ANSWER_FAULTS, "odd row", "version joins")
"""Kinds of a series of its own: servers send answers too many, and end the heads of
answers early; another writer leaves an odd row in the table of servers; servers of a
further software version join while a node is out of touch."""

CROWD_FAULTS = ("bodies", "heads", "idlers", "requests ahead")
"""Kinds of a series of its own: crowds of clients that keep to no limit come to one
node, or to two."""

RELEASE_FRACTION, STORE_FRACTION = 0.7, 0.4
"""Fractions of the power failures beside which a version is released, and beside which
the store is away."""

SERVER_FAULTS = (
    "drain",
    "drain",
    "shed",
    "limit",
    "break",
    "tear",
    "fail",
    "orders",
    "change",
    "storm",
)


def build_plan(seed: int, *, seconds: float) -> list[Fault]:
    """Return the faults of a seed: series that overlap, with calm times between."""
    rng = random.Random(seed)
    plan: list[Fault] = []
    at = 1.0
    while at < seconds - RECOVERY_S:
        for _ in range(rng.randrange(1, 5)):
            kinds = rng.choice((NODE_FAULTS, STORE_FAULTS, SERVER_FAULTS))
            fault = Fault(
                at=at,
                kind=rng.choice(kinds),
                target=rng.randrange(1_000),
                for_s=rng.uniform(0.2, 2.5),
            )
            plan.append(fault)
            at += rng.uniform(0.0, 1.2)
        at += rng.uniform(CONTACT_S, CONTACT_S + 3.0)
        plan.extend(
            Fault(at=at, kind=kind, target=rng.randrange(1_000), for_s=1.0)
            for kind in ("drain", "change")
        )
        at += DRAIN_S + 0.5
    plan.extend(_build_reach_faults(seed, seconds=seconds))
    plan.extend(build_power_faults(seed, seconds=seconds))
    plan.extend(build_wrong_faults(seed, seconds=seconds))
    plan.extend(build_crowd_faults(seed, seconds=seconds))
    plan.sort(key=lambda fault: fault.at)
    return [fault for fault in plan if fault.at < seconds - RECOVERY_S]


def build_crowd_faults(seed: int, *, seconds: float) -> list[Fault]:
    """Return the crowds of a seed, some at two nodes at once."""
    rng = random.Random(f"{seed}-crowds")
    plan: list[Fault] = []
    at = rng.uniform(3.0, 8.0)
    while at < seconds - RECOVERY_S:
        for _ in range(rng.randrange(1, 3)):
            plan.append(
                Fault(
                    at=at,
                    kind=rng.choice(CROWD_FAULTS),
                    target=rng.randrange(1_000),
                    for_s=rng.uniform(1.0, 3.0),
                )
            )
        at += rng.uniform(8.0, 14.0)
    return plan


def _build_reach_faults(seed: int, *, seconds: float) -> list[Fault]:
    rng = random.Random(f"{seed}-reach")
    plan: list[Fault] = []
    at = rng.uniform(2.0, 5.0)
    while at < seconds - RECOVERY_S:
        fault = Fault(
            at=at,
            kind=rng.choice(REACH_FAULTS),
            target=rng.randrange(1_000),
            for_s=rng.uniform(2.0, 5.0),
        )
        plan.append(fault)
        at += fault.for_s + rng.uniform(0.5, 6.0)
    return plan


def build_power_faults(seed: int, *, seconds: float) -> list[Fault]:
    """Return the power failures of a seed, and the faults that overlap with them."""
    rng = random.Random(f"{seed}-power")
    plan: list[Fault] = []
    at = rng.uniform(4.0, 10.0)
    while at < seconds - 2 * RECOVERY_S:
        plan.append(_build_power_failure(rng, at=at))
        if rng.random() < RELEASE_FRACTION:
            beside = Fault(
                at=at + rng.uniform(-4.0, 4.0),
                kind="release",
                target=rng.randrange(1_000),
                for_s=0.0,
            )
            plan.append(beside)
        if rng.random() < STORE_FRACTION:
            beside = Fault(
                at=at + rng.uniform(-1.0, 3.0),
                kind=rng.choice(("copy", "away")),
                target=rng.randrange(1_000),
                for_s=rng.uniform(0.2, 2.5),
            )
            plan.append(beside)
        at += rng.uniform(14.0, 24.0)
    return plan


def build_wrong_faults(seed: int, *, seconds: float) -> list[Fault]:
    """Return the faults of :data:`WRONG_FAULTS` of a seed, all in turn."""
    rng = random.Random(f"{seed}-wrong")
    plan: list[Fault] = []
    kinds: list[str] = []
    at = rng.uniform(1.0, 4.0)
    while at < seconds - RECOVERY_S:
        kinds = kinds or rng.sample(WRONG_FAULTS, len(WRONG_FAULTS))
        fault = Fault(
            at=at,
            kind=kinds.pop(),
            target=rng.randrange(1_000),
            for_s=rng.uniform(2.0, 5.0),
        )
        plan.append(fault)
        at += fault.for_s + rng.uniform(0.5, 3.0)
    return plan


def build_last_failure(seed: int) -> Fault:
    """Return the power failure after all other faults of a seed."""
    return _build_power_failure(random.Random(f"{seed}-last"), at=0.0)


def _build_power_failure(rng: random.Random, *, at: float) -> Fault:
    return Fault(
        at=at,
        kind="power",
        target=rng.randrange(1_000),
        for_s=rng.uniform(0.3, 2.0),
    )
