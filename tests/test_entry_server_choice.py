"""Choice of servers for requests and for trials."""

import itertools

import pytest

from arbutuspulley.entry.calls import Call
from arbutuspulley.entry.controller_sync import update_view
from arbutuspulley.entry.dispatch import build_ongoing
from arbutuspulley.entry.index import Identity
from arbutuspulley.entry.server_choice import choose_server, choose_trial_server
from arbutuspulley.routing.choice import begin_attempt, record_failure
from arbutuspulley.rpc.messages import ServerSummary, View
from tests.entries import FakeController, build_chat, build_configuration, build_runtime

NAMES = [f"e{number}" for number in range(6)]
NO_SERVERS = frozenset()


def build_entry(number=1, **changes):
    """Return a runtime whose view has all servers, some with changed fields."""
    servers = []
    for port, name in enumerate(NAMES, start=1):
        fields = {"items": ("m@1",), "slots": 4, **changes.get(name, {})}
        address = f"127.0.0.1:{port}"
        servers.append(ServerSummary(server=name, site="a", address=address, **fields))
    runtime = build_runtime(FakeController().port, number=number)
    view = View(
        number=1,
        ready=True,
        store_up=True,
        configuration=build_configuration(),
        servers=tuple(servers),
    )
    update_view(runtime, view, now=runtime.clock.now())
    return runtime


def build_request(runtime, text="hello"):
    index = runtime.state.index
    call = Call(
        request_id="r",
        index=index,
        identity=Identity(name="desk", caller=index.site.callers["desk"]),
        path="/v1/chat/completions",
        body=str(build_chat(text)).encode(),
        arrived_at=0,
        model="m",
    )
    return build_ongoing(runtime, call)


def find_pair(text="hello"):
    """Return the pair of a request: its first two servers by hash."""
    runtime = build_entry()
    request = build_request(runtime, text)
    first = choose_server(runtime, request, avoid=NO_SERVERS)
    return first, choose_server(runtime, request, avoid=frozenset({first}))


def test_all_entries_send_a_request_to_the_same_two_servers():
    """A caller sends a poison request through three entries at the same time.

    If each entry chose servers at random, all of the chosen servers would crash before
    the first death is known anywhere.
    """
    pair = set(find_pair())
    loads = ({}, {"e0": {"running": 3}}, {"e3": {"running": 9, "waiting": 9}})
    for number, busy in itertools.product(range(1, 8), loads):
        runtime = build_entry(number, **busy)
        request = build_request(runtime)
        assert choose_server(runtime, request, avoid=NO_SERVERS) in pair
        assert (
            choose_trial_server(runtime, request, avoid=NO_SERVERS, busy=NO_SERVERS)
            in pair
        )


def test_different_requests_spread_over_all_servers():
    runtime = build_entry()
    chosen = []
    for number in range(300):
        request = build_request(runtime, str(number))
        chosen.append(choose_server(runtime, request, avoid=NO_SERVERS))
        begin_attempt(runtime.state.routing, chosen[-1], 10, now=0)
    assert min(chosen.count(name) for name in NAMES) >= 45


@pytest.mark.parametrize(
    ("change", "avoided"),
    [({"leaving": True}, False), ({"alive": False}, False), ({}, True)],
)
def test_falls_back_to_the_other_server_of_the_pair_then_to_any(change, avoided):
    first, second = find_pair()
    first_changed = build_entry(**{first: change})
    avoid = frozenset({first}) if avoided else NO_SERVERS
    assert (
        choose_server(first_changed, build_request(first_changed), avoid=avoid)
        == second
    )
    both_changed = build_entry(**{first: change, second: change})
    avoid = frozenset({first, second}) if avoided else NO_SERVERS
    other = choose_server(both_changed, build_request(both_changed), avoid=avoid)
    assert other not in (first, second, None)


def test_avoids_servers_that_failed_recently():
    first, second = find_pair()
    runtime = build_entry()
    for name in (first, second):
        record_failure(runtime.state.routing, name, runtime.clock.now())
    other = choose_server(runtime, build_request(runtime), avoid=NO_SERVERS)
    assert other not in (first, second, None)


def test_a_trial_waits_for_the_other_server_of_its_pair():
    """One server of a suspect's pair died; the other is reserved by another suspect.

    Copies that were sent before the death was known may run there. With a trial on a
    third server, the request could crash three servers.
    """
    first, second = find_pair()
    runtime = build_entry()
    request = build_request(runtime)
    avoid, busy = frozenset({first}), frozenset({second})
    assert choose_trial_server(runtime, request, avoid=avoid, busy=busy) is None
    assert choose_trial_server(runtime, request, avoid=avoid, busy=NO_SERVERS) == second
    dead = build_entry(**{second: {"alive": False}})
    request = build_request(dead)
    other = choose_trial_server(dead, request, avoid=avoid, busy=NO_SERVERS)
    assert other not in (first, second, None)


def test_the_only_server_is_tried_again_if_it_is_alive():
    """The only copy of a model breaks one connection and answers the next one."""
    without_model = {name: {"items": ()} for name in NAMES[1:]}
    runtime = build_entry(**without_model)
    request = build_request(runtime)
    avoid = frozenset({"e0"})
    assert choose_server(runtime, request, avoid=avoid) is None
    request.alive_servers = avoid
    assert choose_server(runtime, request, avoid=avoid) == "e0"
    assert choose_trial_server(runtime, request, avoid=avoid, busy=NO_SERVERS) == "e0"
    assert choose_trial_server(runtime, request, avoid=avoid, busy=avoid) is None
