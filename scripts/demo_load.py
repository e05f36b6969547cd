"""Load generator of the demo, and checks of the responses.

The counts are those of the clients and of the stand-ins; none is taken from the
system's own metrics or logs.
"""

import json
import threading
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from arbutuspulley.configuration.lookup import build_item_key
from arbutuspulley.data import State, Value
from arbutuspulley.standins import answer
from arbutuspulley.standins.engine_http import ADMISSION_LINE_PREFIX
from scripts.client import AddressBook, ClientRequest, Ending, Outcome, send

WORKERS = 8
"""Number of concurrent callers."""

_KINDS = 10
"""Number of kinds of requests, which are generated in turn."""


class Tally(State):
    """Results of all requests.

    :param endings: number of requests by how they ended.
    :param entries: number of attempts by address of the entry.
    :param lost: requests without an ending, or with an incomplete response.
    :param doubled: duplicate runs and duplicate tokens.
    :param false_refusals: requests refused as not run although they had run.
    :param faults: a line for each of these faults.
    """

    endings: Counter[Ending] = msgspec.field(default_factory=Counter)
    entries: Counter[str] = msgspec.field(default_factory=Counter)
    lost: int = 0
    doubled: int = 0
    false_refusals: int = 0
    faults: list[str] = msgspec.field(default_factory=list)


class RunCounts(Value, frozen=True):
    """Runs counted by the stand-ins.

    :param prompts: number of runs that began at the first token, by digest of the
        prompt.
    :param bookings: number of bookings by idempotency key.
    """

    prompts: Counter[str]
    bookings: Counter[str]


def build_requests(
    items: dict[str, str], *, count: int, key: str
) -> list[ClientRequest]:
    """Build requests of all kinds, in turn.

    :param items: versions of models and adapters by name.
    """
    names = sorted(items)
    return [
        _build_request(number, names[number // _KINDS % len(names)], key)
        for number in range(count)
    ]


def send_all(
    requests: Sequence[ClientRequest],
    seeds: tuple[str, ...],
    *,
    on_start: Callable[[int], None] = lambda _number: None,
) -> list[Outcome]:
    """Send requests from several threads and return the outcomes.

    :param seeds: addresses of entries that the callers are configured with.
    :param on_start: called before each request with the number of requests started.
    """
    waiting = list(enumerate(requests, start=1))[::-1]
    outcomes: list[Outcome] = []
    lock = threading.Lock()

    def work(worker: int) -> None:
        first = worker % len(seeds)
        book = AddressBook(seeds=seeds[first:] + seeds[:first])
        while True:
            with lock:
                if not waiting:
                    return
                number, request = waiting.pop()
                on_start(number)
            outcome = send(book, request)
            with lock:
                outcomes.append(outcome)

    threads = [threading.Thread(target=work, args=(one,)) for one in range(WORKERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def count_admissions(logs: Sequence[str]) -> Counter[str]:
    """Count runs that began at the first token, in the logs of engine stand-ins.

    Logs are used since the counters of a stand-in are lost when it is killed.
    """
    lines = [line.split() for log in logs for line in log.splitlines()]
    return Counter(
        words[1]
        for words in lines
        if len(words) == 3 and words[0] == ADMISSION_LINE_PREFIX and words[2] == "0"
    )


def judge(
    requests: Sequence[ClientRequest],
    outcomes: Sequence[Outcome],
    counts: RunCounts,
    items: dict[str, str],
) -> Tally:
    """Compare requests, outcomes and runs, and tally the faults."""
    tally = Tally()
    by_name = {outcome.request.name: outcome for outcome in outcomes}
    for request in requests:
        outcome = by_name.get(request.name)
        if outcome is None:
            tally.lost += 1
            tally.faults.append(f"{request.name}: no ending")
            continue
        tally.endings[outcome.ending] += 1
        tally.entries.update(outcome.entries)
        _judge_answer(tally, outcome, items)
        _judge_runs(tally, outcome, _count_runs(request, counts))
    return tally


def _judge_answer(tally: Tally, outcome: Outcome, items: dict[str, str]) -> None:
    offsets = [int(event.id.rpartition(":")[2]) for event in outcome.events]
    repeated = len(offsets) - len(set(offsets))
    if repeated:
        tally.doubled += repeated
        tally.faults.append(f"{outcome.request.name}: {repeated} events came twice")
    if outcome.ending is not Ending.WHOLE:
        return
    problem = find_problem(outcome, items)
    if problem:
        tally.lost += 1
        tally.faults.append(f"{outcome.request.name}: {problem}")


def _judge_runs(tally: Tally, outcome: Outcome, runs: int) -> None:
    name = outcome.request.name
    if outcome.request.unrepeatable and runs > 1:
        tally.doubled += runs - 1
        tally.faults.append(f"{name}: unrepeatable, run {runs} times")
    if outcome.ending is Ending.REFUSED and runs:
        tally.false_refusals += 1
        tally.faults.append(f"{name}: refused as not run, run {runs} times")
    if outcome.ending is Ending.WHOLE and outcome.request.unrepeatable and not runs:
        tally.lost += 1
        tally.faults.append(f"{name}: answered, and no stand-in ran it")


def find_problem(outcome: Outcome, items: dict[str, str]) -> str:
    """Describe what is wrong with a complete response; empty if it is correct.

    Engine stand-ins respond with text that is determined by item and prompt, so that a
    missing, duplicate or foreign token is detected.
    """
    request = outcome.request
    if not request.model:
        return _find_service_problem(outcome)
    prompt = answer.read_prompt(path=request.path, body=request.body)
    item = build_item_key(name=request.model, version=items[request.model])
    expected = answer.build_answer(item=item, prompt=prompt)
    if request.streamed:
        parts = [json.loads(event.data)["choices"][0] for event in outcome.events]
    else:
        parts = [json.loads(outcome.body)["choices"][0]]
    text = "".join(_read_text(part) for part in parts)
    return "" if text == expected else f"expected {expected!r}, got {text!r}"


def _find_service_problem(outcome: Outcome) -> str:
    reply = json.loads(outcome.body)
    if outcome.request.unrepeatable:
        return "" if reply["key"] == outcome.request.name else f"foreign reply {reply}"
    expected = outcome.request.path.partition("/services/booking")[2]
    return "" if reply["target"] == expected else f"foreign reply {reply}"


def _read_text(choice: dict[str, dict[str, str] | str]) -> str:
    part = choice.get("delta") or choice.get("message") or choice
    assert isinstance(part, dict)
    return str(part.get("content") or part.get("text") or "")


def _count_runs(request: ClientRequest, counts: RunCounts) -> int:
    if not request.model:
        return counts.bookings[request.name]
    prompt = answer.read_prompt(path=request.path, body=request.body)
    return counts.prompts[prompt.digest]


def _build_request(number: int, model: str, key: str) -> ClientRequest:
    name = f"ask-{number:03d}"
    kind = number % _KINDS
    if kind == 8:
        body = json.dumps({"guest": name}).encode()
        path = "/services/booking/bookings"
        return ClientRequest(
            name=name, path=path, body=body, key=key, unrepeatable=True
        )
    if kind == 9:
        path = f"/services/booking/stays?guest={name}"
        return ClientRequest(name=name, path=path, body=b"", key=key, method="GET")
    return _build_inference(
        name,
        model,
        key,
        chat=kind % 2 == 0,
        streamed=kind in (1, 2, 5, 6),
        unrepeatable=kind in (3, 4, 5, 6),
    )


def _build_inference(
    name: str, model: str, key: str, *, chat: bool, streamed: bool, unrepeatable: bool
) -> ClientRequest:
    prompt = f"Draft a reply to guest {name}."
    asked = {"messages": [{"role": "user", "content": prompt}]}
    body = {
        "model": model,
        "max_tokens": 24,
        "stream": streamed,
        **(asked if chat else {"prompt": prompt}),
    }
    return ClientRequest(
        name=name,
        path="/v1/chat/completions" if chat else "/v1/completions",
        body=json.dumps(body).encode(),
        key=key,
        model=model,
        streamed=streamed,
        unrepeatable=unrepeatable,
    )
