"""Charging of team quotas, with and without a coordinator."""

import msgspec
import pytest

from arbutuspulley.clock import Clock
from arbutuspulley.node.link import Link
from arbutuspulley.node.messages import (
    CoordinatorStatus,
    GrantRequest,
    QuotaExceeded,
    QuotaUsage,
)
from arbutuspulley.node.progress import RequestFailedError
from arbutuspulley.node.quota_charging import QuotaCharger
from arbutuspulley.node.quotas import Quotas, get_local_share
from arbutuspulley.platform.requests import decode_request
from arbutuspulley.ports.fleet import FleetConfiguration, ModelNeed, Team
from tests.node_states import build_info, build_state

TEAM = Team(name="t", keys=("k",), rate_per_s=1_000, burst=1_000, counts_tokens=True)
FREE = Team(name="free", keys=("f",))
NEED = ModelNeed(model="m", adapter="", prompt_tokens=1, output_tokens=1)


class Instance:
    """An instance with its link and its quota charger; it may be the coordinator."""

    def __init__(self, *, is_coordinator=False, **settings):
        self.now = [100_000]
        self.state = build_state(
            clock=Clock(read=lambda: self.now[0]),
            **{"quota_window_ms": 8_000, **settings},
        )
        self.state.configuration = FleetConfiguration(
            version=1, routes=(), services={}, teams=(TEAM, FREE)
        )
        self.link = Link(state=self.state)
        self.sent = []
        if is_coordinator:
            self.link.deliver_local = self.sent.extend
        self.charger = QuotaCharger(state=self.state, link=self.link)

    def charge(self, cost):
        return self.charger.charge(TEAM, cost, attempt_id="a")


def test_plain_requests_are_reported_and_refunded_to_the_coordinator_once():
    instance = Instance(is_coordinator=True)
    quota_charge = instance.charge(200)
    instance.charger.refund(quota_charge)
    assert instance.sent == [
        QuotaUsage(team="t", cost=200),
        QuotaUsage(team="t", cost=-200),
    ]


def test_usage_is_sent_with_the_next_frame():
    instance = Instance()
    instance.link.receive([CoordinatorStatus(is_holder=True)])
    instance.charge(200)
    instance.charge(300)
    assert instance.link._pop_usage() == [QuotaUsage(team="t", cost=500)]
    assert instance.link._pop_usage() == []


def test_a_team_over_its_quota_is_refused_until_the_quota_is_refilled():
    instance = Instance(is_coordinator=True)
    instance.link.receive([QuotaExceeded(team="t", wait_ms=700)])
    with pytest.raises(RequestFailedError) as raised:
        instance.charge(200)
    error = raised.value
    assert (error.status, error.retry_after_ms) == (429, 700)
    instance.now[0] += 700
    instance.charge(200)
    assert instance.sent == [QuotaUsage(team="t", cost=200)]


def test_without_a_coordinator_an_instance_charges_its_own_share():
    instance = Instance()
    instance.state.instances = 1
    assert instance.charge(500).is_local
    with pytest.raises(RequestFailedError) as raised:
        instance.charge(500)
    assert raised.value.status == 429
    instance.now[0] += raised.value.retry_after_ms
    instance.charge(500)


def test_an_instance_that_knows_no_coordinator_yet_charges_nothing():
    """Guards against instances that all start at once and each use a whole quota."""
    instance = Instance()
    with pytest.raises(RequestFailedError) as raised:
        instance.charge(1)
    assert raised.value.status == 503
    assert raised.value.retry_after_ms


def test_a_refund_after_the_link_was_closed_is_lost():
    instance = Instance(is_coordinator=True)
    quota_charge = instance.charge(200)
    instance.link.close()
    instance.charger.refund(quota_charge)
    assert instance.sent == [QuotaUsage(team="t", cost=200)]


@pytest.mark.parametrize(("team", "cost"), [(None, 0), (FREE, 0), (TEAM, 150)])
def test_only_teams_with_a_quota_are_charged(team, cost):
    headers = [("X-Arbutuspulley-Token-Usage", "100,50")]
    request = decode_request(method="POST", path="/", headers=headers)
    assert Instance().charger.get_cost(team, request) == cost


def build_quotas(instance, *, linked=1):
    instance.state.instances = linked
    quotas = Quotas(state=instance.state)
    quotas.reset()
    quotas.apply_configuration()
    return quotas


def charge_grant_request(quotas, cost, *, now, key="a"):
    return quotas.charge(
        GrantRequest(
            key=key,
            service="s",
            need=NEED,
            zone="z",
            priority=1,
            aim_ms=1,
            left_ms=1,
            team="t",
            cost=cost,
        ),
        now=now,
    )


def test_the_coordinator_charges_grant_requests_and_usage_to_one_quota():
    instance = Instance()
    quotas = build_quotas(instance)
    now = instance.now[0]
    assert charge_grant_request(quotas, 1, now=now).retry_after_ms == 2
    assert charge_grant_request(quotas, 1_000, now=now + 5_000) is None
    refused = charge_grant_request(quotas, 400, now=now + 5_000)
    assert refused.is_over_quota
    assert refused.retry_after_ms == 401
    exceeded = quotas.charge_usage(QuotaUsage(team="t", cost=600), now=now + 5_100)
    assert exceeded == QuotaExceeded(team="t", wait_ms=501)
    assert quotas.charge_usage(QuotaUsage(team="t", cost=-600), now=now + 5_100) is None


def test_a_free_request_is_not_charged():
    quotas = build_quotas(Instance())
    assert all(charge_grant_request(quotas, 0, now=1) is None for _ in range(9))


def test_the_share_of_a_disconnected_instance_stays_reserved():
    """A third of the instances are disconnected and keep serving by themselves."""
    instance = Instance()
    infos = [build_info(name) for name in ("a", "b", "c")]
    quotas = build_quotas(instance, linked=3)
    quotas.update_linked(infos)
    assert quotas._ledger.refill_fraction == 1
    quotas.mark_lost(infos[2])
    quotas.update_linked(infos[:2])
    assert quotas._ledger.refill_fraction == pytest.approx(2 / 3)
    quotas.mark_linked("c")
    quotas.update_linked(infos)
    assert quotas._ledger.refill_fraction == 1


def test_the_share_of_an_unreachable_instance_stays_reserved():
    """Guards against a coordinator that is partitioned without notice and uses full
    quotas in addition to its successor: links are closed seconds later, or never."""
    quotas = build_quotas(Instance())
    infos = [build_info(name) for name in ("a", "b", "c", "d")]
    quotas.update_linked(infos)
    quotas.update_linked(infos[:1])
    assert quotas._ledger.refill_fraction == 0.25
    quotas.update_linked(infos)
    assert quotas._ledger.refill_fraction == 1


def test_a_coordinator_that_lost_most_instances_uses_only_its_own_share():
    """Guards against quotas that a partitioned coordinator accumulates and uses once
    the partition has healed."""
    instance = Instance(revocation_ms=5_000)
    quotas = build_quotas(instance)
    infos = [build_info(name) for name in ("a", "b", "c", "d")]
    quotas.update_linked(infos)
    for _ in range(3):
        quotas.update_linked(infos[:1])
        assert quotas._ledger.refill_fraction == 0.25
        instance.now[0] += 2_500


def test_no_share_stays_reserved_for_stopped_or_long_lost_instances():
    instance = Instance()
    infos = [build_info("a"), build_info("b", is_ready=False), build_info("c")]
    quotas = build_quotas(instance)
    quotas.mark_lost(infos[1])
    quotas.update_linked(infos[:1])
    assert quotas._ledger.refill_fraction == 1
    quotas.mark_lost(infos[2])
    quotas.update_linked(infos[:1])
    assert quotas._ledger.refill_fraction == 0.5
    instance.now[0] += 20_000
    quotas.update_linked(infos[:1])
    assert quotas._ledger.refill_fraction == 1


def test_a_new_coordinator_reserves_shares_of_instances_not_yet_connected():
    instance = Instance()
    infos = [build_info(name) for name in ("a", "b", "c", "d")]
    quotas = build_quotas(instance, linked=4)
    quotas.update_linked(infos[:1])
    assert quotas._ledger.refill_fraction == 0.25
    instance.now[0] += 2_000
    quotas.update_linked(infos[:1])
    assert quotas._ledger.refill_fraction == 1


def test_a_replaced_coordinator_and_its_successor_stay_within_a_quota():
    """Guards against a team that uses its burst at two coordinators: one has lost the
    store and its lease, but still charges for the instances that have lost it, too;
    the other one was elected by all the rest, and its bucket has filled up since."""
    revocation_ms, window_ms, surge_at = 5_000, 8_000, 2_500
    team = msgspec.structs.replace(TEAM, burst=4_000)
    settings = {
        "revocation_ms": revocation_ms,
        "quota_overage": 0.1,
        "quota_extra": 100,
    }
    infos = [build_info(f"i{number}") for number in range(60)]
    kept, gone = infos[:21], infos[21:]
    old, new = Instance(**settings), Instance(**settings)
    for instance in (old, new):
        instance.state.configuration = msgspec.structs.replace(
            instance.state.configuration, teams=(team,)
        )
    replaced = build_quotas(old, linked=60)
    replaced.update_linked(infos)
    old.now[0] += 20_000
    new.now[0] = old.now[0]
    successor = build_quotas(new, linked=60)
    usage = []
    for elapsed_ms in range(0, surge_at + window_ms, 10):
        if elapsed_ms % 250 == 0:
            replaced.update_linked(kept, is_holder=False)
            successor.update_linked(gone)
        now = old.now[0]
        # Instances that can't confirm keys any more serve nobody.
        for quotas in (
            (replaced, successor) if elapsed_ms < revocation_ms else (successor,)
        ):
            while elapsed_ms >= surge_at and not charge_grant_request(
                quotas, 50, now=now
            ):
                usage.append(50)
        old.now[0] += 10
        new.now[0] += 10
    allowed = team.rate_per_s * window_ms / 1_000 + team.burst
    assert sum(usage) <= allowed * 1.1 + 100


def test_a_new_coordinator_reserves_shares_while_keys_may_be_confirmed_elsewhere():
    """Guards against full quotas beside those that instances use which follow a
    coordinator without the store."""
    instance = Instance(revocation_ms=5_000)
    infos = [build_info(name) for name in ("a", "b", "c", "d")]
    quotas = build_quotas(instance, linked=4)
    shares = []
    for elapsed_ms in (2_000, 2_990, 10):
        instance.now[0] += elapsed_ms
        quotas.update_linked(infos[:3])
        shares.append(quotas._ledger.refill_fraction)
    assert shares == [0.75, 0.75, 1]


def test_a_coordinator_without_the_store_grants_the_burst_while_none_has_left():
    """Guards against refusals below the quota while the store is unavailable to all:
    no other coordinator can be elected then."""
    instance = Instance(revocation_ms=5_000)
    quotas = build_quotas(instance)
    infos = [build_info(name) for name in ("a", "b", "c")]
    instance.now[0] += 5_000
    quotas.update_linked(infos, is_holder=False)
    now = instance.now[0]
    assert charge_grant_request(quotas, 1_000, now=now) is None


def test_instances_with_more_capacity_have_larger_shares():
    strong = [build_info(f"s{n}", capacity=4.0) for n in range(2)]
    small = [build_info(f"w{n}", capacity=0.5) for n in range(10)]
    infos = [*strong, *small]
    assert get_local_share(strong[0], among=infos) == pytest.approx(0.425)
    assert sum(get_local_share(one, among=infos) for one in infos) == pytest.approx(1)


def test_the_share_of_a_disconnected_instance_decays_on_both_sides():
    """After that time the instance can't confirm keys, and its callers use other
    instances."""
    instance = Instance(revocation_ms=5_000)
    quotas = build_quotas(instance)
    infos = [build_info("a"), build_info("b")]
    quotas.mark_lost(infos[1])
    shares = []
    for _ in range(3):
        quotas.update_linked(infos[:1])
        shares.append(quotas._ledger.refill_fraction)
        instance.now[0] += 2_500
    assert shares == [0.5, 0.75, 1]
    for cost in (5_000, 1):
        with pytest.raises(RequestFailedError):
            instance.charge(cost)


def test_messages_of_older_versions_are_decoded_without_the_new_fields():
    old_request = GrantRequest(
        key="a", service="s", need=NEED, zone="z", priority=1, aim_ms=1, left_ms=1
    )
    body = msgspec.msgpack.encode(old_request)
    assert msgspec.msgpack.decode(body, type=GrantRequest).cost == 0
