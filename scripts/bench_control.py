"""Computes the control traffic between instances, by number of instances.

The sizes are those of the product's own encoded messages plus the overhead of a frame
on the wire. No process is started; the processor time for the messages is measured on
simulated days, see docs/CAPACITY.md.
"""

from typing import Annotated

import cyclopts
import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.data import Value
from arbutuspulley.node.link import HEARTBEAT_MS
from arbutuspulley.node.messages import (
    CoordinatorEstimates,
    CoordinatorStatus,
    Heartbeat,
    NodeInfo,
    QuotaUsage,
    RosterChange,
)
from arbutuspulley.node.peers import SUCCESSOR_COUNT
from arbutuspulley.node.relay import DEFERRED_BATCH_BYTES, DEFERRED_INTERVAL_MS
from arbutuspulley.node.roster import (
    RosterState,
    build_full_roster,
    select_view,
    update_roster,
)

FRAME_BYTES = 60
"""Overhead of a frame: its own header, and those of TCP and IP with the ACK."""

SITES = {6: 3, 72: 3, 195: 5, 360: 9}
"""Number of data centres by number of instances."""

SERVERS_PER_INSTANCE = {6: 1.5, 72: 0.8, 195: 0.35, 360: 1.6}
"""Model servers of one coordinator per instance, by number of instances. At 360
instances a coordinator has only the servers of its data centre, 580."""

MODELS_PER_SERVER = 2.5
ROW_BYTES = 560
"""Size of a server's row in the store, with two models and some adapters."""

CHANGES_PER_SERVER_S = 0.2
"""Changes of a server's loaded models per second, under load."""

RESTARTS_PER_DAY = 0.86
"""Restarts of each instance per day: 310 of 360 instances."""

TEAMS_PER_HEARTBEAT = 3
"""Teams with quota usage between two heartbeats, at ten requests per second."""

DAY_S = 86_400

app = cyclopts.App(help="Compute the control traffic between instances.")


class ControlTraffic(Value, frozen=True):
    """Control traffic in bytes per second, and sizes of roster messages in bytes.

    :param down: from the coordinator to one instance, per second.
    :param up: from one instance to the coordinator, per second.
    :param coordinator: sent and received by the coordinator, per second.
    :param full_roster: the full roster, sent once to an instance that connects.
    :param change: a roster change by one instance, for each recipient.
    """

    down: float
    up: float
    coordinator: float
    full_roster: int
    change: int


@app.default
def run(
    *,
    instances: Annotated[
        tuple[int, ...], cyclopts.Parameter(help="Numbers of instances.")
    ] = tuple(SITES),
) -> None:
    """Compute the control traffic and print a line for each number of instances."""
    print("instances  down B/s  up B/s  coordinator kB/s  whole list B  change B")
    for count in instances:
        traffic = sum_control_traffic(count)
        print(
            f"{count:>9}  {traffic.down:>8.0f}  {traffic.up:>6.0f}"
            f"  {traffic.coordinator / 1_000:>16.1f}"
            f"  {traffic.full_roster:>12}  {traffic.change:>8}"
        )


def sum_control_traffic(instances: int) -> ControlTraffic:
    """Compute the control traffic of a fleet.

    :param instances: number of instances, a key of :data:`SITES`.
    """
    sites = SITES[instances]
    linked = instances if instances < 360 else instances // sites
    infos = [_build_info(number, sites) for number in range(linked)]
    roster = RosterState(site="site-0", version=1)
    update_roster(roster, select_view(infos, site="site-0"))
    full_roster = _count_frame_bytes(build_full_roster(roster))
    joined = _build_info(linked * sites, sites)
    change = update_roster(roster, select_view([*infos, joined], site="site-0"))
    changed = _count_frame_bytes(change) if change is not None else 0
    heartbeats_per_s = SECOND_MS / HEARTBEAT_MS
    status = CoordinatorStatus(
        is_holder=True,
        instances=linked,
        takers=linked,
        followers=("edge-site-1-17", "edge-site-2-17"),
        is_store_followed=True,
        store_version=1_000_000,
        configuration=10_000,
        beat=10_000,
        number=10_000,
        fresh_beat=10_000,
    )
    heartbeat = Heartbeat(
        is_ready=True,
        follows_store=True,
        roster=500,
        configuration=10_000,
        number=10_000,
        vouches=10_000,
    )
    quota_usage = TEAMS_PER_HEARTBEAT * len(
        msgspec.msgpack.encode(QuotaUsage(team="team-1000", cost=10_000))
    )
    servers = SERVERS_PER_INSTANCE[instances] * instances
    if instances == 360:
        servers = 580
    changed_servers = min(
        servers, servers * CHANGES_PER_SERVER_S * DEFERRED_INTERVAL_MS / SECOND_MS
    )
    store_update_rate = (
        min(changed_servers * ROW_BYTES, DEFERRED_BATCH_BYTES)
        * SECOND_MS
        / DEFERRED_INTERVAL_MS
    )
    starts = linked * RESTARTS_PER_DAY / DAY_S * 2 * changed
    down = heartbeats_per_s * _count_frame_bytes(status) + store_update_rate + starts
    up = heartbeats_per_s * (_count_frame_bytes(heartbeat) + quota_usage)
    estimates = SUCCESSOR_COUNT * _count_frame_bytes(
        _build_estimates(int(servers * MODELS_PER_SERVER))
    )
    return ControlTraffic(
        down=down,
        up=up,
        coordinator=(linked - 1) * (down + up) + estimates,
        full_roster=full_roster,
        change=changed,
    )


def _count_frame_bytes(
    message: Heartbeat | CoordinatorStatus | CoordinatorEstimates | RosterChange,
) -> int:
    return len(msgspec.msgpack.encode([message])) + FRAME_BYTES


def _build_info(number: int, sites: int) -> NodeInfo:
    site = f"site-{number % sites}"
    return NodeInfo(
        name=f"edge-{site}-{number // sites}",
        site=site,
        region="region",
        frontend=f"10.{number % sites}.0.{number // sites}:8149",
        is_ready=True,
        capacity=0.125,
    )


def _build_estimates(models: int) -> CoordinatorEstimates:
    demand = {f"model{number}": 1_000.5 for number in range(models)}
    return CoordinatorEstimates(
        speeds={"service": {"16100/14": 30.5}}, demand={"service": demand}
    )


if __name__ == "__main__":
    app()
