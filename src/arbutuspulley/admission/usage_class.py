"""Classifies callers by their usage over all instances relative to their fair share.

The queue order is fair at a single entry. That is not enough: a caller that floods all
entries keeps every server full, and a caller that uses little finds no free slot at its
entry until one of the few requests there ends. So pressing callers leave a few slots
of each server free, and yield at all entries while a modest caller waits at any.
"""

import enum
from collections.abc import Mapping

from arbutuspulley.admission.shares import CallerShare, SharesState

PRESSING_MS = 5_000
"""How long a caller may count as pressing after a refusal."""


class UsageClass(enum.Enum):
    """Usage of a caller relative to its share.

    ``PRESSING``: it uses more than its share, and requests of it were recently refused
    or wait at other instances.
    ``MODEST``: it uses less than its share while another caller is pressing.
    ``ORDINARY``: any other caller.
    """

    ORDINARY = enum.auto()
    MODEST = enum.auto()
    PRESSING = enum.auto()


def classify_callers(accounts: SharesState, *, now: int) -> dict[str, UsageClass]:
    """Return the usage class of each known caller.

    The share of a caller is its fraction, by weight, of the current total usage.
    """
    shares = accounts.callers
    mean = _compute_mean_usage(shares)
    pressing = {
        name
        for name, share in shares.items()
        if _compute_usage(share) > mean and _has_unmet_demand(share, now=now)
    }
    usage_classes = dict.fromkeys(shares, UsageClass.ORDINARY)
    if not pressing:
        return usage_classes
    for name, share in shares.items():
        if name in pressing:
            usage_classes[name] = UsageClass.PRESSING
        elif _compute_usage(share) < mean:
            usage_classes[name] = UsageClass.MODEST
    return usage_classes


def has_remote_modest_waiter(
    accounts: SharesState, usage_classes: Mapping[str, UsageClass]
) -> bool:
    """Return whether a modest caller waits at another instance."""
    return any(
        usage_class is UsageClass.MODEST and accounts.callers[name].remote_waiting > 0
        for name, usage_class in usage_classes.items()
    )


def _compute_mean_usage(shares: Mapping[str, CallerShare]) -> float:
    """Return the mean usage per unit of weight, in tokens/s."""
    weight = sum(share.weight for share in shares.values())
    used = sum(
        share.tokens_per_s + share.remote_tokens_per_s for share in shares.values()
    )
    return used / weight if weight else 0.0


def _compute_usage(share: CallerShare) -> float:
    return (share.tokens_per_s + share.remote_tokens_per_s) / share.weight


def _has_unmet_demand(share: CallerShare, *, now: int) -> bool:
    if share.remote_waiting > 0:
        return True
    return share.refused_at is not None and now - share.refused_at < PRESSING_MS
