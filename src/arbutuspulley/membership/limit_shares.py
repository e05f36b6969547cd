"""Each instance's share of limits that apply to all instances together."""

MIN_INSTANCES = 6
"""Smallest divisor of a shared limit: an instance that knows of fewer instances
probably does not know of all."""


def get_instance_share(limit: float, *, instances: float) -> float:
    """Return the share of a limit that one instance may use without coordination.

    :param instances: known number of instances that share the limit.
    """
    return limit / max(MIN_INSTANCES, instances)
