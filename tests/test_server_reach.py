"""What an instance concludes from its own connections to servers."""

from arbutuspulley.membership.server_reach import (
    DOWN_MS,
    ServerReach,
    is_cut_off,
    is_down,
    is_reachable,
    is_suspect,
    record_connected,
    record_down,
    record_failed,
    record_heard,
    update_servers,
)

ADDRESSES = [f"s{number}:1" for number in range(6)]


def build_reach(*failed, heard_at=0, known=ADDRESSES):
    reach = ServerReach(heard_at=heard_at)
    update_servers(reach, known)
    for address in failed:
        record_failed(reach, address, now=10)
    return reach


def test_one_failed_connection_is_blamed_on_the_server():
    reach = build_reach("s0:1")
    assert not is_suspect(reach)
    assert is_reachable(reach, "s0:1")


def test_two_failed_connections_and_silence_are_blamed_on_the_own_network():
    reach = build_reach("s0:1", "s1:1")
    assert is_cut_off(reach)
    assert not any(is_reachable(reach, address) for address in ADDRESSES)


def test_servers_that_still_answer_are_reachable():
    """Guards against a detour to all servers because two of them have crashed."""
    reach = build_reach("s0:1", "s1:1")
    record_heard(reach, "s5:1", now=11)
    assert not is_cut_off(reach)
    assert is_reachable(reach, "s5:1")
    assert not is_reachable(reach, "s0:1")


def test_open_connections_do_not_hide_that_new_ones_fail():
    """Guards against an instance that is named to callers although only its old
    connections work."""
    reach = build_reach("s0:1", "s1:1", "s2:1")
    record_heard(reach, "s0:1", now=11)
    assert is_cut_off(reach)
    assert not is_reachable(reach, "s0:1")


def test_an_answer_clears_a_single_failure():
    reach = build_reach("s0:1")
    record_heard(reach, "s0:1", now=11)
    record_failed(reach, "s1:1", now=12)
    assert not is_suspect(reach)


def test_a_new_connection_ends_the_suspicion():
    reach = build_reach("s0:1", "s1:1")
    record_connected(reach, "s0:1", now=20)
    assert not is_suspect(reach)


def test_servers_that_others_do_not_reach_either_are_down():
    """Guards against an instance that takes crashed servers for a fault of its own."""
    reach = build_reach("s0:1", "s1:1")
    record_down(reach, "s0:1", now=20)
    record_down(reach, "s1:1", now=20)
    assert not is_suspect(reach)
    assert is_down(reach, "s0:1", now=19 + DOWN_MS)
    assert not is_down(reach, "s0:1", now=20 + DOWN_MS)


def test_servers_that_are_gone_are_forgotten():
    reach = build_reach("s0:1", "s1:1")
    record_down(reach, "s2:1", now=20)
    update_servers(reach, ["s1:1", "s2:1", "s3:1"])
    assert not is_suspect(reach)
    update_servers(reach, ["s1:1", "s3:1"])
    assert not is_down(reach, "s2:1", now=21)


def test_the_only_server_is_enough():
    assert is_cut_off(build_reach("s0:1", known=["s0:1"]))


def test_before_any_server_is_known_one_failure_is_not_enough():
    assert not is_suspect(build_reach("s0:1", known=[]))
