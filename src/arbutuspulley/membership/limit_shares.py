"""Each instance's share of limits that apply to all instances together."""

MIN_INSTANCES = 6
"""Smallest divisor of a shared limit: an instance that knows of fewer instances
probably does not know of all."""


def get_instance_share(limit: float, *, share_divisor: float) -> float:
    """Return the share of a limit that one instance may use without coordination.

    :param share_divisor: number by which the limit is divided, if it is larger than
        :data:`MIN_INSTANCES`.
    """
    return limit / max(MIN_INSTANCES, share_divisor)
