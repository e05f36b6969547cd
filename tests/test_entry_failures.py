"""An entry during failures of engines, services, the store and callers."""

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
RUN_ONCE = {name.replace("-", "_"): value for name, value in UNREPEATABLE.items()}


def get_outcome(answer):
    """Return status, code and run state of an answer."""
    headers = answer.headers
    code = Code(int(headers["X-Arbutus-Code"])).name
    return answer.status, code, headers["X-Arbutus-Run-State"]


def count_runs(bench):
    """Return how many runs were begun, over all engines that are alive."""
    alive = [one for one in bench.engines.values() if is_alive(one)]
    counters = [read_counters(one.address) for one in alive]
    return sum(sum(one["begun_by_prompt"].values()) for one in counters)


def is_alive(engine):
    process = getattr(engine, "process", None)
    return process is None or process.poll() is None


@pytest.mark.parametrize("stream", [False, True])
def test_an_unrepeatable_request_runs_once(stream):
    """A volunteer retries a confirmation because no answer seemed to arrive.

    Whether the retry goes through the same entry or another one, the guest must get
    one confirmation, and the volunteer the answer of the first run.
    """
    with run_entries(engines=("e1", "e2"), entries=2) as bench:
        first, second = bench.entries
        body = build_chat(stream=stream)
        answers = [entry.ask(body, **RUN_ONCE) for entry in (first, first, second)]
        assert [answer.status for answer in answers] == [200] * 3
        assert len({answer.data for answer in answers}) == 1
        assert count_runs(bench) == 1
        other = second.ask(build_chat("other", stream=stream), **RUN_ONCE)
        assert get_outcome(other) == (422, "KEY_REUSED", "not_run")
        assert second.ask(body, key="key-of-hosts", **RUN_ONCE).status == 200
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
def test_unrepeatable_request_is_not_retried_after_an_engine_failure(
    faults, first, again, runs
):
    """The engine breaks off after a confirmation was sent to it, or refuses it.

    In the first case the request may have run: it is not sent to another engine, now
    or when the caller retries through another entry. In the second case it certainly
    did not run, and its key can be used again.
    """
    with run_entries(engines=("e1",), entries=2) as bench:
        set_faults(bench.engines["e1"].address, **faults)
        answer = bench.entries[0].ask(build_chat(), **RUN_ONCE)
        assert get_outcome(answer) == first
        assert ("Retry-After" in answer.headers) == (first[2] == "not_run")
        wait_until(lambda: bench.controller.settled)
        assert get_outcome(bench.entries[1].ask(build_chat(), **RUN_ONCE)) == again
        assert count_runs(bench) == runs


def test_unrepeatable_requests_are_refused_while_claims_cannot_be_made():
    """The store is down; then the controller; then a reply to a claim is lost.

    Without a claim, a booking could run through two entries. It is refused immediately
    as not run, and all other requests are still served.
    """
    with run_entries() as bench:
        entry, controller = bench.entries[0], bench.controller
        for name, owner in (("down", controller.fake), ("down", controller)):
            setattr(owner, name, True)
            answer = entry.ask(build_chat(), **RUN_ONCE)
            assert get_outcome(answer) == (503, "STORE_UNAVAILABLE", "not_run")
            assert answer.headers["Retry-After"] == "2"
            assert entry.ask(build_chat()).status == 200
            setattr(owner, name, False)
        wait_until(lambda: controller.settled == ["not_run"])
        controller.lost_replies = 1
        assert entry.ask(build_chat(), **RUN_ONCE).status == 200
        assert count_runs(bench) == 3


def test_an_open_claim_is_in_progress_only_while_its_entry_lives():
    """A caller retries while its booking still runs, and after the entry died.

    First it must wait. Then the outcome of the booking is unknown, and further retries
    would be in vain.
    """
    with run_entries(entries=2, token_ms=20) as bench:
        first, second = bench.entries
        slow = build_chat(tokens=100)
        asking = threading.Thread(target=lambda: first.ask(slow, **RUN_ONCE))
        asking.start()
        wait_until(lambda: first.call(lambda state: state.ongoing))
        answer = second.ask(slow, **RUN_ONCE)
        assert get_outcome(answer) == (409, "IN_PROGRESS", "unknown")
        assert answer.headers["Retry-After"] == "1"
        bench.push_view(entries=())
        assert get_outcome(second.ask(slow, **RUN_ONCE)) == (
            409,
            "OUTCOME_UNKNOWN",
            "unknown",
        )
        asking.join()
        bench.push_view()
        assert get_outcome(second.ask(slow, **RUN_ONCE)) == (200, "OK", "run")


def test_answer_is_returned_although_it_cannot_be_stored():
    """The store fails after a booking ran and before its answer is stored."""
    with run_entries(token_ms=5) as bench:
        entry, controller = bench.entries[0], bench.controller
        answers = []
        asking = threading.Thread(
            target=lambda: answers.append(entry.ask(build_chat(tokens=50), **RUN_ONCE))
        )
        asking.start()
        wait_until(lambda: entry.call(lambda state: state.ongoing))
        controller.down = True
        asking.join()
        assert answers[0].status == 200
        controller.down = False
        wait_until(lambda: controller.settled == ["answered"])
        assert entry.ask(build_chat(tokens=50), **RUN_ONCE).data == answers[0].data


@pytest.mark.parametrize(
    ("headers", "stream", "finished"),
    [({}, False, 0), ({}, True, 0), (RUN_ONCE, False, 1), (RUN_ONCE, True, 1)],
)
def test_requests_whose_caller_disconnects(headers, stream, finished):
    """A guest's phone loses its network connection in the middle of an answer.

    The answer is no longer read, so the engine is freed. A confirmation runs to its
    end, and a retry with the same key gets the stored answer.
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
        ("GET", RUN_ONCE, "cut_after_run", (409, "OUTCOME_UNKNOWN", "unknown"), 1),
        ("POST", RUN_ONCE, "refuse", (201, "OK", "run"), 1),
        ("POST", RUN_ONCE, "fail", (500, "OK", "run"), 1),
    ],
)
def test_retries_of_a_failing_plain_service(method, headers, fault, shown, runs):
    """A booking service closes the connection after it has booked.

    Only calls with a method that the configuration lists as repeatable are sent to the
    next address. A booking is not, or two families would be booked; a call that the
    service refused is.
    """
    services = [build_service(name=name) for name in ("b1", "b2")]
    for service in services:
        service.start()
    addresses = [service.address for service in services]
    with run_entries(services=addresses) as bench:
        entry = bench.entries[0]
        set_faults(addresses[0], **{fault: 1})
        entry.call(
            lambda state: state.address_backoff_until.update({addresses[1]: 1 << 60})
        )
        answer = entry.ask(b"{}", BOOKING, method, **headers)
        assert get_outcome(answer) == shown
        if headers:
            assert get_outcome(entry.ask(b"{}", BOOKING, method, **headers)) == shown
        assert sum(read_counters(one)["runs"] for one in addresses) == runs
    for service in services:
        service.stop()


def test_a_poison_request_kills_two_servers():
    """A request kills each server that runs it, and its caller sends it five times.

    The caller uses three entries in turn, without a pause after an answer. The other
    entries learn of the first death before its answer is sent, and of no other death.
    Two servers die; another request that ran on the first one gets its full answer.
    """
    with run_entries(engines=(), entries=3) as bench:
        first = bench.entries[0]
        for number in range(4):
            bench.add_engine_process(f"e{number}", marker="poison")
        bench.push_view()
        bench.push_view(first, servers=bench.list_servers("e0"))

        def push_first_death():
            first_deaths = [
                replace(one, deaths=tuple(d for d in one.deaths if d.startswith("e0")))
                for one in bench.controller.list_suspicions()
            ]
            bench.push_view(suspicions=tuple(first_deaths))

        bench.controller.after_death_report = push_first_death
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
        assert get_outcome(answers[0]) == (503, "QUARANTINED", "unknown")
        assert {get_outcome(one) for one in answers[1:]} == {
            (503, "QUARANTINED", "not_run")
        }
        assert int(answers[-1].headers["Retry-After"]) >= 5


def test_a_known_suspect_is_not_run_while_the_store_is_down():
    """A death is recorded, then the store fails, and the caller retries.

    No trial can be recorded, so other entries could run the request as well.
    """
    with run_entries(engines=("e1",)) as bench:
        entry, fake = bench.entries[0], bench.controller.fake
        bench.add_engine_process("e0", marker="poison")
        bench.push_view(servers=bench.list_servers("e0"))
        assert entry.ask(build_chat("a poison request")).status == 503
        bench.push_view()
        fake.down = True
        answer = entry.ask(build_chat("a poison request"))
        assert get_outcome(answer) == (503, "STORE_UNAVAILABLE", "not_run")
        assert count_runs(bench) == 0


@pytest.mark.parametrize("failing", ["controller", "store"])
def test_a_suspect_is_not_retried_unless_its_death_is_recorded(failing):
    """A server dies while the store, or the controller, is unavailable.

    No other instance learns of the death, so a retry could kill a server of each of
    them. The request ends immediately with a ``Retry-After``, and runs when the outage
    is over.
    """
    with run_entries(engines=("e1",)) as bench:
        entry, controller = bench.entries[0], bench.controller
        bench.add_engine_process("e0", marker="poison")
        bench.push_view(servers=bench.list_servers("e0"))
        owner = controller if failing == "controller" else controller.fake
        owner.down = True
        body = build_chat("a poison request")
        assert get_outcome(entry.ask(body)) == (503, "STORE_UNAVAILABLE", "unknown")
        bench.push_view()
        answer = entry.ask(body)
        assert get_outcome(answer) == (503, "STORE_UNAVAILABLE", "not_run")
        assert "Retry-After" in answer.headers
        assert entry.ask(build_chat("another")).status == 200
        owner.down = False
        assert get_outcome(entry.ask(body)) == (200, "OK", "run")
        wait_until(lambda: all(one.clear for one in controller.list_suspicions()))


def test_a_full_entry_refuses_at_once():
    """Each call occupies a worker thread; with none free, no caller gets an answer."""
    with run_entries(token_ms=20) as bench:
        entry = bench.add_entry(max_in_flight=1)
        bench.push_view()
        asking = threading.Thread(target=lambda: entry.ask(build_chat(tokens=100)))
        asking.start()
        wait_until(lambda: entry.call(lambda state: state.ongoing))
        answer = entry.ask(build_chat())
        assert get_outcome(answer) == (503, "OVERLOADED", "not_run")
        assert answer.headers["Retry-After"] == "1"
        assert entry.ask(b"", "/healthz", "GET").status == 200
        asking.join()


def test_two_entries_drain_at_the_same_time():
    """Two of three entries are replaced while they stream answers.

    Each is left out of answers to ``/v1/addresses``, keeps serving for as long as
    callers may cache those, then refuses new calls as not run, and interrupts no
    answer.
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
        listed = staying.ask(b"", "/v1/addresses?model=m", "GET").json()
        own = staying.runtime.settings.address
        assert (listed["addresses"], listed["lifetime_s"]) == ([own], 1)
        served = stopping[0].ask(build_chat())
        assert (served.status, served.headers["Connection"]) == (200, "close")
        wait_until(lambda: stopping[0].call(lambda state: state.refusing))
        refused = stopping[0].ask(build_chat())
        assert get_outcome(refused) == (503, "DRAINING", "not_run")
        assert json.loads(refused.data)["error"]["addresses"] == [own]
        for future, entry in zip(drained, stopping, strict=True):
            future.result(30)
            assert entry.call(lambda state: state.in_flight) == 0
        for thread in asking:
            thread.join()
        assert [data.endswith(b"data: [DONE]\n\n") for data in endings] == [True] * 2
