"""How a caller stands to its share, seen over all instances.

The order of waiting requests is fair at one entry. That is not enough: a caller
that floods all entries keeps every server full, and a modest caller finds no free
slot at the entry that it uses until one of the few requests there ends. So callers
that press beyond their share leave a few slots of each server free, and give way
at all entries while a modest one waits at any.
"""

import enum
from collections.abc import Mapping

from arbutuspulley.admission.shares import CallerShare, SharesState

PRESSING_MS = 5_000
"""How long after a refusal a caller counts as pressing."""


class UsageClass(enum.Enum):
    """How a caller stands to its share.

    ``PRESSING``: it uses more than its share and has lately been refused yet more.
    ``MODEST``: it uses less than its share while another one presses.
    ``ORDINARY``: any other.
    """

    ORDINARY = enum.auto()
    MODEST = enum.auto()
    PRESSING = enum.auto()


def classify_callers(accounts: SharesState, *, now: int) -> dict[str, UsageClass]:
    """Return how each known caller stands.

    A share is a caller's part by weight of what all together use now.
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
    """Return what each unit of weight uses on average."""
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
