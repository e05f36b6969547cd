"""One instance's part of what all instances share."""

MIN_INSTANCES = 6
"""A bound is split by this many instances at least: an instance that has heard of fewer
has probably not heard of all."""


def get_instance_share(limit: float, *, instances: float) -> float:
    """Return the part of a bound that one instance may use without asking others.

    :param instances: that share it, as far as is known.
    """
    return limit / max(MIN_INSTANCES, instances)
