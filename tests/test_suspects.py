"""Suspects and trials: a poison request costs at most two servers."""

import itertools
import random

import msgspec
import pytest

from arbutuspulley.delivery import suspects, trials
from arbutuspulley.delivery.suspects import Judgement
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError
from arbutuspulley.rpc.messages import ClearanceReport, DeathReport, Suspicion
from tests.fakes import FakePlatform

BOOT = "b1"


@pytest.fixture
def fake():
    return FakePlatform()


def record_death(fake, server, *fingerprints):
    report = DeathReport(server=server, boot_id=BOOT, fingerprints=fingerprints)
    return trials.record_deaths(fake.platform.table, report)


def request_trial(fake, server, fingerprint, trial, boot=BOOT, expired=""):
    report = DeathReport(
        server=server,
        boot_id=boot,
        fingerprints=(fingerprint,),
        trial_id=trial,
        expired_trial_id=expired,
    )
    return trials.record_deaths(fake.platform.table, report)


def clear_suspicion(fake, fingerprint, server="", trial="", ran=True):
    report = ClearanceReport(
        fingerprint=fingerprint, server=server, boot_id=BOOT, trial_id=trial, ran=ran
    )
    return trials.record_clearance(fake.platform.table, report)


def judge(fake, fingerprint):
    page = trials.read_suspicions(fake.platform.table, after=0)
    known = {item.fingerprint: item for item in page.suspicions}
    return suspects.judge(known.get(fingerprint))


@pytest.mark.parametrize(
    ("deaths", "cleared", "judgement"),
    [
        ((), (), Judgement.CLEAR),
        (("s1/b1",), (), Judgement.SUSPECT),
        (("s1/b1", "s1/b1#t"), (), Judgement.SUSPECT),
        (("s1/b1", "s2/b1#t"), (), Judgement.ON_TRIAL),
        (("s1/b1", "s2/b1"), (), Judgement.QUARANTINED),
        (("s1/b1", "s1/b2"), (), Judgement.QUARANTINED),
        (("s1/b1", "s2/b1"), ("s1/b1", "s2/b1"), Judgement.CLEAR),
        (("s1/b1", "s2/b1"), ("s1/b1",), Judgement.SUSPECT),
    ],
)
def test_judgement_counts_deaths_that_are_not_cleared(deaths, cleared, judgement):
    known = Suspicion(fingerprint="f", deaths=deaths, cleared=cleared)
    assert suspects.judge(known) is judgement


def test_suspicions_merge_in_any_order():
    """A clearance and an older record of the death arrive in either order.

    If the latest record won, the older one would make the cleared request a suspect
    again.
    """
    death = suspects.add_death(None, "f", "s1/b1")
    suspicions = [
        death,
        suspects.clear_deaths(death, death.deaths),
        suspects.add_death(None, "f", "s2/b1"),
    ]
    merged = set()
    for order in itertools.permutations(suspicions):
        state = suspects.SuspectState()
        suspects.merge(state, order, now=0)
        merged.add(state.suspicions["f"])
    assert len(merged) == 1
    assert suspects.judge(merged.pop()) is Judgement.SUSPECT


def test_unchanged_suspicion_expires():
    state = suspects.SuspectState()
    suspects.record_death(state, fingerprint="f", server="s1", boot_id=BOOT, now=0)
    suspects.merge(state, tuple(state.suspicions.values()), now=5_000)
    assert suspects.evict_expired(state, now=suspects.SUSPICION_MS - 1) == ()
    suspects.record_death(state, fingerprint="f", server="s2", boot_id=BOOT, now=1)
    assert suspects.evict_expired(state, now=suspects.QUARANTINE_MS) == ()
    assert (
        suspects.get_time_to_expiry_ms(state, "f", now=0) == suspects.QUARANTINE_MS + 1
    )
    assert suspects.evict_expired(state, now=suspects.QUARANTINE_MS + 1) == ("f",)
    assert (state.suspicions, state.changed_at) == ({}, {})


def test_harmless_requests_beside_a_poison_request_are_cleared(fake):
    """Four requests run on a server when one of them kills it.

    Which request was the cause is unknown. Each gets a trial as the only suspect on a
    server; three complete, and the fourth kills a second server and is quarantined.
    """
    record_death(fake, "s1", "a", "b", "c", "poison")
    for fingerprint in ("a", "b", "c"):
        assert request_trial(fake, "s2", fingerprint, f"t-{fingerprint}").granted
        clear_suspicion(fake, fingerprint, "s2", f"t-{fingerprint}")
    assert request_trial(fake, "s2", "poison", "t-p").granted
    record_death(fake, "s2", "poison")
    judgements = [judge(fake, item) for item in ("a", "b", "c", "poison")]
    assert judgements == [Judgement.CLEAR] * 3 + [Judgement.QUARANTINED]
    assert not request_trial(fake, "s3", "poison", "t-again").granted


def test_two_suspects_never_share_a_server(fake):
    """Two suspects of the same death have a trial on one server, and it dies.

    Both would have two deaths, and the harmless request would be quarantined as well.
    A trial reserves its server until it ends or the server has another boot.
    """
    record_death(fake, "s1", "a", "poison")
    assert request_trial(fake, "s2", "a", "t1").granted
    refused = request_trial(fake, "s2", "poison", "t2")
    assert (refused.granted, refused.recorded, refused.holder) == (False, True, "t1")
    assert request_trial(fake, "s2", "poison", "t2", expired="t1").granted
    clear_suspicion(fake, "poison", "s2", "t1")
    assert not request_trial(fake, "s2", "a", "t3").granted
    assert request_trial(fake, "s2", "c", "t4", boot="b2").granted


def test_a_suspect_is_tried_on_one_server_at_a_time(fake):
    """The caller retries a poison request through two other entries at once.

    If each entry knew of one death and ran a trial on a different server, both servers
    would die, three in total. The death of a trial is therefore recorded before it
    runs.
    """
    record_death(fake, "s1", "poison")
    assert request_trial(fake, "s2", "poison", "t1").granted
    assert request_trial(fake, "s2", "poison", "t1").granted
    for server, trial in (("s3", "t2"), ("s2", "t3")):
        refused = request_trial(fake, server, "poison", trial)
        assert refused.recorded and not refused.granted
        assert suspects.judge(refused.suspicions[0]) is Judgement.ON_TRIAL
    clear_suspicion(fake, "poison", "s2", "t1", ran=False)
    assert judge(fake, "poison") is Judgement.SUSPECT
    assert request_trial(fake, "s3", "poison", "t2").granted


def test_a_race_for_the_first_trial_has_one_winner(fake):
    record_death(fake, "s1", "poison")
    granted = []
    fake.before_transact = lambda: granted.append(
        request_trial(fake, "s3", "poison", "t2").granted
    )
    granted.append(request_trial(fake, "s2", "poison", "t1").granted)
    assert granted == [True, False]


@pytest.mark.parametrize("trial", ["", "t1"])
def test_no_retry_is_granted_if_recording_fails(fake, trial):
    """The store is down when a server dies, so other instances don't know of the death.

    Retries could then cost one server per instance, so none is allowed.
    """
    fake.down = True
    reply = (
        request_trial(fake, "s1", "f", trial)
        if trial
        else record_death(fake, "s1", "f")
    )
    assert (reply.recorded, reply.granted) == (False, False)
    assert [item.deaths for item in reply.suspicions] == ([] if trial else [("s1/b1",)])
    with pytest.raises(PlatformUnavailableError):
        clear_suspicion(fake, "f")


def test_a_lost_reply_is_retried(fake):
    fake.lost_replies = 1
    assert record_death(fake, "s1", "f").recorded
    fake.lost_replies = 1
    assert request_trial(fake, "s2", "f", "t1").granted
    fake.lost_replies, fake.down_after_lost_reply = 1, True
    with pytest.raises(OutcomeUnknownError):
        clear_suspicion(fake, "f", "s2", "t1")
    fake.down = False
    clear_suspicion(fake, "f", "s2", "t1")
    assert judge(fake, "f") is Judgement.CLEAR


def test_changes_are_read_incrementally_and_rows_deleted(fake):
    table = fake.platform.table
    record_death(fake, "s1", "f")
    page = trials.read_suspicions(table, after=0)
    stale = msgspec.structs.replace(page.suspicions[0], cleared=("s1/b1",))
    trials.delete_suspicion(table, "f", seen=stale)
    assert judge(fake, "f") is Judgement.SUSPECT
    trials.delete_suspicion(table, "f", seen=page.suspicions[0])
    later = trials.read_suspicions(table, after=page.revision)
    assert (later.suspicions, later.deleted) == ((), ("f",))


@pytest.mark.parametrize("seed", range(20))
def test_random_trials_cost_two_servers_and_quarantine_no_harmless_request(fake, seed):
    """Poison and harmless requests lose their server together, then retry at random.

    However the trials overlap, a poison request kills at most two servers, and a
    request that completes is never quarantined.
    """
    rng = random.Random(seed)
    requests = ["a", "b", "c", "poison"]
    running = {}
    killed = {"s0"}
    record_death(fake, "s0", *requests)
    for step in range(200):
        server = f"s{rng.randrange(1, 5)}"
        fingerprint = rng.choice(requests)
        if fingerprint in running and rng.random() < 0.5:
            server, trial = running.pop(fingerprint)
            if fingerprint == "poison":
                killed.add(server)
                record_death(fake, server, fingerprint)
            else:
                clear_suspicion(fake, fingerprint, server, trial)
        elif judge(fake, fingerprint) is Judgement.SUSPECT and server not in killed:
            trial = f"t{step}"
            if request_trial(fake, server, fingerprint, trial).granted:
                assert server not in {held for held, _ in running.values()}
                running[fingerprint] = (server, trial)
    assert len(killed) == 2
    judgements = {judge(fake, item) for item in ("a", "b", "c") if item not in running}
    assert judgements <= {Judgement.CLEAR}
    assert judge(fake, "poison") is Judgement.QUARANTINED
