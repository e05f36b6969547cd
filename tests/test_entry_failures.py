"""What an entry promises while engines, services, the store and callers fail."""

import json
import threading

import pytest
import urllib3
from msgspec.structs import replace

from arbutuspulley.entry.draining import drain
from arbutuspulley.results import Code
from arbutuspulley.standins.service import build_service
from tests.backends import read_counters, set_faults, wait_until
from tests.entries import UNREPEATABLE, build_chat, run_entries

BOOKING = "/services/booking/bookings"
SENT = {name.replace("-", "_"): value for name, value in UNREPEATABLE.items()}


def show(answer):
    """Return status, code and run state of an answer."""
    headers = answer.headers
    code = Code(int(headers["X-Arbutus-Code"])).name
    return answer.status, code, headers["X-Arbutus-Run-State"]


def count_runs(bench):
    """Return how often any prompt was begun, over all engines."""
    alive = [one for one in bench.engines.values() if is_alive(one)]
    counters = [read_counters(one.address) for one in alive]
    return sum(sum(one["begun_by_prompt"].values()) for one in counters)


def is_alive(engine):
    process = getattr(engine, "process", None)
    return process is None or process.poll() is None


@pytest.mark.parametrize("stream", [False, True])
def test_an_unrepeatable_request_runs_once(stream):
    """A volunteer sends a confirmation again because no answer seemed to come.

    Through the same entry or another one, the guest must get one confirmation, and
    the volunteer the answer of the first run.
    """
    with run_entries(engines=("e1", "e2"), entries=2) as bench:
        first, second = bench.entries
        body = build_chat(stream=stream)
        answers = [entry.ask(body, **SENT) for entry in (first, first, second)]
        assert [answer.status for answer in answers] == [200] * 3
        assert len({answer.data for answer in answers}) == 1
        assert count_runs(bench) == 1
        other = second.ask(build_chat("other", stream=stream), **SENT)
        assert show(other) == (422, "KEY_REUSED", "not_run")
        assert second.ask(body, key="key-of-hosts", **SENT).status == 200
        assert count_runs(bench) == 2


@pytest.mark.parametrize(
    ("faults", "first", "again", "runs"),
    [
        (
            {"break_streams": 1},
            (409, "OUTCOME_UNKNOWN", "unknown"),
            (409, "OUTCOME_UNKNOWN", "unknown"),
            1,
        ),
        (
            {"break_requests": 1},
            (409, "OUTCOME_UNKNOWN", "unknown"),
            (409, "OUTCOME_UNKNOWN", "unknown"),
            1,
        ),
        (
            {"refuse_requests": 1},
            (503, "RETRIES_EXHAUSTED", "not_run"),
            (200, "OK", "run"),
            1,
        ),
    ],
)
def test_a_confirmation_whose_engine_fails_is_never_sent_twice(
    faults, first, again, runs
):
    """The engine breaks off after the confirmation went out, or refuses it.

    In the first case it may have run: it is not sent to another engine, now or when
    the caller comes back through another entry. In the second it certainly did not,
    and the key is given back.
    """
    with run_entries(engines=("e1",), entries=2) as bench:
        set_faults(bench.engines["e1"].address, **faults)
        answer = bench.entries[0].ask(build_chat(), **SENT)
        assert show(answer) == first
        assert ("Retry-After" in answer.headers) == (first[2] == "not_run")
        wait_until(lambda: bench.controller.settled)
        assert show(bench.entries[1].ask(build_chat(), **SENT)) == again
        assert count_runs(bench) == runs


def test_without_the_store_nothing_unrepeatable_is_run():
    """The store is down; then the controller; then a reply to a claim is lost.

    Without a claim a booking could run at two entries. It is refused at once, as not
    run, and all other requests are served on.
    """
    with run_entries() as bench:
        entry, controller = bench.entries[0], bench.controller
        for name, owner in (("down", controller.fake), ("down", controller)):
            setattr(owner, name, True)
            answer = entry.ask(build_chat(), **SENT)
            assert show(answer) == (503, "STORE_UNAVAILABLE", "not_run")
            assert answer.headers["Retry-After"] == "2"
            assert entry.ask(build_chat()).status == 200
            setattr(owner, name, False)
        wait_until(lambda: controller.settled == ["not_run"])
        controller.lost_replies = 1
        assert entry.ask(build_chat(), **SENT).status == 200
        assert count_runs(bench) == 3


def test_an_open_claim_is_in_progress_only_while_its_entry_lives():
    """A caller asks again while its booking still runs, and after its entry died.

    First it must wait; then nobody can tell how the booking ended, and asking for
    ever would be in vain.
    """
    with run_entries(entries=2, token_ms=20) as bench:
        first, second = bench.entries
        slow = build_chat(tokens=100)
        asking = threading.Thread(target=lambda: first.ask(slow, **SENT))
        asking.start()
        wait_until(lambda: first.call(lambda state: state.ongoing))
        answer = second.ask(slow, **SENT)
        assert show(answer) == (409, "IN_PROGRESS", "unknown")
        assert answer.headers["Retry-After"] == "1"
        bench.push_view(entries=())
        assert show(second.ask(slow, **SENT)) == (409, "OUTCOME_UNKNOWN", "unknown")
        asking.join()
        bench.push_view()
        assert show(second.ask(slow, **SENT)) == (200, "OK", "run")


def test_the_answer_goes_out_although_it_cannot_be_stored():
    """The store fails between the run of a booking and the record of its answer."""
    with run_entries(token_ms=5) as bench:
        entry, controller = bench.entries[0], bench.controller
        answers = []
        asking = threading.Thread(
            target=lambda: answers.append(entry.ask(build_chat(tokens=50), **SENT))
        )
        asking.start()
        wait_until(lambda: entry.call(lambda state: state.ongoing))
        controller.down = True
        asking.join()
        assert answers[0].status == 200
        controller.down = False
        wait_until(lambda: controller.settled == ["answered"])
        assert entry.ask(build_chat(tokens=50), **SENT).data == answers[0].data


@pytest.mark.parametrize(
    ("headers", "stream", "finished"),
    [({}, False, 0), ({}, True, 0), (SENT, False, 1), (SENT, True, 1)],
)
def test_a_caller_that_leaves(headers, stream, finished):
    """A guest's phone drops out of the network in the middle of an answer.

    Nobody reads it any more, so the engine is freed. A confirmation is run to its
    end: the guest comes back with the same key and finds it.
    """
    with run_entries(token_ms=10) as bench:
        entry, engine = bench.entries[0], bench.engines["e1"]
        body = build_chat(tokens=100, stream=stream)
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        pool = urllib3.HTTPConnectionPool(*entry.address.split(":"))
        connection = pool._new_conn()
        connection.request(
            "POST",
            "/v1/chat/completions",
            body=json.dumps(body),
            headers={"Authorization": "Bearer key-of-desk", **sent},
        )
        wait_until(lambda: read_counters(engine.address)["tokens"] > 3)
        connection.close()
        wait_until(lambda: entry.call(lambda state: state.in_flight == 0))
        wait_until(lambda: entry.call(lambda state: not state.ongoing))
        assert entry.call(lambda state: not state.admission.running)
        (runs,) = read_counters(engine.address)["runs"].values()
        assert runs["finished"] == finished
        if finished:
            assert entry.ask(body, **headers).status == 200
            assert count_runs(bench) == 1


@pytest.mark.parametrize(
    ("method", "headers", "fault", "shown", "runs"),
    [
        ("GET", {}, "cut_after_run", (200, "OK", "run"), 2),
        ("POST", {}, "cut_after_run", (409, "OUTCOME_UNKNOWN", "unknown"), 1),
        ("POST", {}, "cut_before_run", (409, "OUTCOME_UNKNOWN", "unknown"), 0),
        ("POST", {}, "refuse", (201, "OK", "run"), 1),
        ("GET", SENT, "cut_after_run", (409, "OUTCOME_UNKNOWN", "unknown"), 1),
        ("POST", SENT, "refuse", (201, "OK", "run"), 1),
        ("POST", SENT, "fail", (500, "OK", "run"), 1),
    ],
)
def test_a_plain_service_that_fails(method, headers, fault, shown, runs):
    """A booking service cuts the connection after it has booked.

    Only a method that the operators call repeatable is sent to the next address; a
    booking is not, or two families would come. What the service refused is.
    """
    services = [build_service(name=name) for name in ("b1", "b2")]
    for service in services:
        service.start()
    addresses = [service.address for service in services]
    with run_entries(services=addresses) as bench:
        entry = bench.entries[0]
        set_faults(addresses[0], **{fault: 1})
        entry.call(lambda state: state.failed_addresses.update({addresses[1]: 1 << 60}))
        answer = entry.ask(b"{}", BOOKING, method, **headers)
        assert show(answer) == shown
        if headers:
            assert show(entry.ask(b"{}", BOOKING, method, **headers)) == shown
        assert sum(read_counters(one)["runs"] for one in addresses) == runs
    for service in services:
        service.stop()


def test_a_poison_request_costs_two_servers():
    """A request kills each server that runs it, and its caller sends it five times.

    It goes through three entries at once after each answer; the others are told of
    the first death before its answer goes out, and of no other. Two servers are lost;
    a bystander that ran on the first one gets its whole answer.
    """
    with run_entries(engines=(), entries=3) as bench:
        first = bench.entries[0]
        for number in range(4):
            bench.add_engine_process(f"e{number}", marker="poison")
        bench.push_view()
        bench.push_view(first, servers=bench.list_servers("e0"))

        def tell_first_death():
            told = [
                replace(one, deaths=tuple(d for d in one.deaths if d.startswith("e0")))
                for one in bench.controller.list_suspicions()
            ]
            bench.push_view(suspicions=tuple(told))

        bench.controller.after_death_report = tell_first_death
        endings = []
        bystander = threading.Thread(
            target=lambda: endings.append(first.ask(build_chat("bystander", tokens=60)))
        )
        bystander.start()
        wait_until(lambda: read_counters(bench.engines["e0"].address)["tokens"])
        answers = [
            bench.entries[number % 3].ask(build_chat("a poison request"))
            for number in range(5)
        ]
        bystander.join()
        assert sum(map(is_alive, bench.engines.values())) == 2
        assert endings[0].status == 200
        assert show(answers[0]) == (503, "QUARANTINED", "unknown")
        assert {show(one) for one in answers[1:]} == {(503, "QUARANTINED", "not_run")}
        assert int(answers[-1].headers["Retry-After"]) >= 5


def test_a_known_suspect_is_not_run_while_the_store_is_down():
    """A death is recorded, then the store fails, and the caller sends again.

    No trial can be written down, so other entries could try the request as well.
    """
    with run_entries(engines=("e1",)) as bench:
        entry, fake = bench.entries[0], bench.controller.fake
        bench.add_engine_process("e0", marker="poison")
        bench.push_view(servers=bench.list_servers("e0"))
        assert entry.ask(build_chat("a poison request")).status == 503
        bench.push_view()
        fake.down = True
        answer = entry.ask(build_chat("a poison request"))
        assert show(answer) == (503, "STORE_UNAVAILABLE", "not_run")
        assert count_runs(bench) == 0


@pytest.mark.parametrize("failing", ["controller", "store"])
def test_a_suspect_is_not_retried_unless_its_death_is_recorded(failing):
    """A server dies while the store, or the controller, is out.

    The death reaches no other instance, so a retry could cost each of them a server.
    The request ends at once with when to come back, and runs once that is over.
    """
    with run_entries(engines=("e1",)) as bench:
        entry, controller = bench.entries[0], bench.controller
        bench.add_engine_process("e0", marker="poison")
        bench.push_view(servers=bench.list_servers("e0"))
        owner = controller if failing == "controller" else controller.fake
        owner.down = True
        body = build_chat("a poison request")
        assert show(entry.ask(body)) == (503, "STORE_UNAVAILABLE", "unknown")
        bench.push_view()
        answer = entry.ask(body)
        assert show(answer) == (503, "STORE_UNAVAILABLE", "not_run")
        assert "Retry-After" in answer.headers
        assert entry.ask(build_chat("another")).status == 200
        owner.down = False
        assert show(entry.ask(body)) == (200, "OK", "run")
        wait_until(lambda: all(one.clear for one in controller.list_suspicions()))


def test_a_full_entry_refuses_at_once():
    """Each call keeps a worker thread; when all are taken nobody would be answered."""
    with run_entries(token_ms=20) as bench:
        entry = bench.add_entry(most_in_flight=1)
        bench.push_view()
        asking = threading.Thread(target=lambda: entry.ask(build_chat(tokens=100)))
        asking.start()
        wait_until(lambda: entry.call(lambda state: state.ongoing))
        answer = entry.ask(build_chat())
        assert show(answer) == (503, "OVERLOADED", "not_run")
        assert answer.headers["Retry-After"] == "1"
        assert entry.ask(b"", "/healthz", "GET").status == 200
        asking.join()


def test_two_entries_stop_gracefully_at_once():
    """Both entries of a pair are replaced while answers run.

    Each leaves the address answers, serves on for as long as callers may keep them,
    then refuses what is new as not run, and cuts off no answer.
    """
    with run_entries(entries=3, token_ms=20) as bench:
        stopping, staying = bench.entries[:2], bench.entries[2]
        endings = []

        def ask(entry):
            endings.append(entry.ask(build_chat(tokens=150, stream=True)).data)

        asking = [threading.Thread(target=ask, args=(entry,)) for entry in stopping]
        for thread in asking:
            thread.start()
        for entry in stopping:
            wait_until(lambda one=entry: one.call(lambda state: state.ongoing))
        drained = [one.runtime.loop.submit(drain(one.runtime)) for one in stopping]
        for entry in stopping:
            wait_until(lambda one=entry: one.call(lambda state: state.draining))
        bench.push_view()
        told = staying.ask(b"", "/v1/addresses?model=m", "GET").json()
        own = staying.runtime.settings.address
        assert (told["addresses"], told["lifetime_s"]) == ([own], 1)
        served = stopping[0].ask(build_chat())
        assert (served.status, served.headers["Connection"]) == (200, "close")
        wait_until(lambda: stopping[0].call(lambda state: state.refusing))
        refused = stopping[0].ask(build_chat())
        assert show(refused) == (503, "DRAINING", "not_run")
        assert json.loads(refused.data)["error"]["addresses"] == [own]
        for future, entry in zip(drained, stopping, strict=True):
            future.result(30)
            assert entry.call(lambda state: state.in_flight) == 0
        for thread in asking:
            thread.join()
        assert [data.endswith(b"data: [DONE]\n\n") for data in endings] == [True] * 2
