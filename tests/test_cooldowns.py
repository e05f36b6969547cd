"""Times for which servers want no requests from an instance."""

from arbutuspulley.admission.cooldowns import Cooldowns
from arbutuspulley.membership.unlisted import MAX_UNLISTED


def test_a_cooldown_is_only_extended():
    """Guards against a shorter time, stated by an older answer, that ends a cooldown
    early."""
    cooldowns = Cooldowns()
    assert cooldowns.extend("s0", 3_000)
    assert not cooldowns.extend("s0", 2_000)
    assert not cooldowns.extend("s0", 3_000)
    assert cooldowns.get_end("s0") == 3_000
    assert cooldowns.extend("s0", 4_000)
    assert cooldowns.get_end("s1") == 0


def test_only_active_cooldowns_are_listed():
    cooldowns = Cooldowns()
    cooldowns.extend("s0", 1_000)
    cooldowns.extend("s1", 2_000)
    assert cooldowns.list_active(now=1_000) == {"s1": 1_000}
    cooldowns.evict({"s0", "s1"}, now=1_000)
    assert cooldowns.get_end("s0") == 0
    assert cooldowns.get_end("s1") == 2_000


def test_a_cooldown_survives_the_lapse_of_its_server_entry():
    """Guards against requests to a shedding server once its entry is written again."""
    cooldowns = Cooldowns()
    cooldowns.extend("s0", 2_000)
    cooldowns.evict({}, now=1_000)
    assert cooldowns.get_end("s0") == 2_000


def test_the_oldest_cooldowns_of_unlisted_servers_are_evicted():
    cooldowns = Cooldowns()
    for number in range(MAX_UNLISTED + 2):
        cooldowns.extend(f"s{number}", 2_000)
    cooldowns.evict({"s1"}, now=0)
    assert cooldowns.get_end("s0") == 0
    assert cooldowns.get_end("s1") == 2_000
    assert len(cooldowns.list_active(now=0)) == MAX_UNLISTED + 1
