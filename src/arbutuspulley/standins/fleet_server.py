"""Minimal stand-in for a backend server of the users' platform.

It serves streams of a model or plain requests. Orders are compare-and-set operations.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from weakref import WeakKeyDictionary

import msgspec
from aiohttp import web

from arbutuspulley.platform import names
from arbutuspulley.standins.scripted_answer import AnswerScript, send_scripted_answer

DOWN_S = 2.0
"""How long a server that fell over resets all connections, in s."""

DEFAULT_VERSION = "v1"
"""Version of a server's software unless a test sets another one."""

SILENCE_POLL_S = 0.01
"""Interval at which a silent server looks whether it may go on, in s."""


class ServerStandin:
    """One incarnation of a server.

    :param models: models that are loaded at the start; empty for a plain service.
    :param memory_mb: memory for models; each model takes 10 MB.
    :param load_s: duration of a load.

    Tests set these attributes to inject faults:

    - ``breaks_after``: number of events after which a stream's connection is reset;
      ``on_break`` is called before the reset.
    - ``sheds``: refuse every request as not run.
    - ``fails``: answer every request with 500, after calling ``on_break``.
    - ``crashes_on``: a request whose body contains these bytes is counted as run, its
      connection is reset after ``crash_delay_s``, and ``on_break`` is called.
    - ``crashing_parts``: likewise for a request with one of these parts in its prompt,
      after the first ``events_before_crash`` events of its answer.
    - ``delay_s``: delay before the answer to a request.
    - ``loses_orders``: reset the connection of an order without applying it.
    - ``loses_order_answers``: apply an order and reset its connection.
    - ``limit_per_s``: rate limit that is announced in answers to requests.
    - ``is_leaving``: announce in all answers that the server is leaving; the row in the
      store stays as it is.
    - ``script``: how to answer a request, byte by byte, or a function that returns that
      for the last event that its caller has; ``on_break`` is called before.
    - ``room``: requests in flight beyond which it refuses further ones as not run.
    - ``refusals_per_s``: announced in all answers; if it refuses more for want of room
      within a second, it falls over: it resets all connections for ``DOWN_S``.
    - ``is_silent``: send nothing until it is cleared; connections stay open.
    - ``rest_s``: time without requests that a refusal asks for, in s.
    - ``version``: version of its software; the events of its streams name it unless it
      is the default.
    - ``pause_s``: time between two events of a stream, in s.
    - ``kept_parts``: parts of prompts that the server keeps; it adds those that it has
      read.
    - ``late_status``: status of a further answer, "not run", about the request before
      on the same connection. It is sent late, where the next answer is expected, and
      bears the id of the request that it is about. ``late_share``: after how many of
      the answers, from 0 to 1.
    - ``sheds_first``: refuse each attempt as not run when it first arrives.
    - ``cut_answers``: scripts of the answers to the next requests, whose heads end
      early, without end.

    Tests read ``falls`` (how often it fell over), ``served`` (number of requests that
    it answered), ``extras`` (number of further answers that it sent), ``runs`` (number
    of runs by attempt id), ``headers`` (request headers by attempt id),
    ``overcommitted`` (loads that exceeded the memory), ``arrivals`` (time of each
    request, in s of the event loop's clock), ``attempts`` (attempt id of each arrival)
    and ``rested`` (attempt id of each request that was refused with a time without
    requests).
    """

    __slots__ = (
        "_due_extras",
        "_rng",
        "address",
        "arrivals",
        "attempts",
        "breaks_after",
        "crash_delay_s",
        "crashes_on",
        "crashing_parts",
        "cut_answers",
        "delay_s",
        "down_until",
        "events_before_crash",
        "extras",
        "fails",
        "falls",
        "fence",
        "headers",
        "in_flight",
        "incarnation",
        "is_busy",
        "is_leaving",
        "is_silent",
        "kept_parts",
        "late_share",
        "late_status",
        "limit_per_s",
        "load_s",
        "loses_order_answers",
        "loses_orders",
        "memory_mb",
        "models",
        "on_break",
        "orders",
        "overcommitted",
        "pause_s",
        "refusals",
        "refusals_per_s",
        "rest_s",
        "rested",
        "room",
        "runs",
        "script",
        "served",
        "service",
        "sheds",
        "sheds_first",
        "version",
    )

    def __init__(
        self,
        *,
        incarnation: str,
        service: str,
        models: tuple[str, ...] = (),
        memory_mb: int = 20,
        load_s: float = 0.1,
    ) -> None:
        self.incarnation = incarnation
        self.service = service
        self.models: dict[str, set[str]] = {name: set() for name in models}
        self.memory_mb = memory_mb
        self.load_s = load_s
        self.address = ""
        self.orders = 0
        self.fence = 0
        self.is_busy = False
        self.overcommitted = 0
        self.runs: Counter[str] = Counter()
        self.headers: dict[str, dict[str, str]] = {}
        self.breaks_after: int | None = None
        self.crashes_on = b""
        self.crashing_parts: frozenset[str] = frozenset()
        self.events_before_crash = 0
        self.crash_delay_s = 0.0
        self.on_break: Callable[[], None] = lambda: None
        self.sheds = False
        self.fails = False
        self.script: AnswerScript | Callable[[int], AnswerScript] | None = None
        self.delay_s = 0.0
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.rest_s: float | None = None
        self.arrivals: list[float] = []
        self.attempts: list[str] = []
        self.rested: set[str] = set()
        self.loses_orders = False
        self.loses_order_answers = False
        self.room: int | None = None
        self.refusals_per_s: float | None = None
        self.is_silent = False
        self.in_flight = 0
        self.refusals: list[float] = []
        self.down_until = 0.0
        self.falls = 0
        self.served = 0
        self.version = DEFAULT_VERSION
        self.pause_s = 0.005
        self.kept_parts: set[str] = set()
        self.late_status: int | None = None
        self.late_share = 1.0
        self.sheds_first = False
        self.cut_answers: Iterator[AnswerScript] | None = None
        self.extras = 0
        self._due_extras: WeakKeyDictionary[asyncio.Transport, str] = (
            WeakKeyDictionary()
        )
        self._rng = random.Random(incarnation)

    def describe(self, *, state: str = "ready") -> dict:
        """Return the server's row in the metadata store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "hall-a",
            "Version": self.version,
            "Slots": 8,
            "State": state,
            "Models": self._list_models(),
            "Sequence": self.orders,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer an inference or service request, a report call or an order."""
        while self.is_silent:
            await asyncio.sleep(SILENCE_POLL_S)
        self._send_extra(request)
        if asyncio.get_running_loop().time() < self.down_until and request.transport:
            request.transport.abort()
            return web.Response()
        expected = request.headers.get(names.EXPECT_INSTANCE)
        if expected not in (None, self.incarnation):
            attempt = request.headers.get(names.ATTEMPT_ID, "")
            return web.Response(status=421, headers={names.ATTEMPT_ID: attempt})
        if request.path == "/report":
            return web.Response(
                body=msgspec.json.encode(self._report()), headers=self._build_notices()
            )
        if request.path == names.KEPT_PARTS_PATH:
            held = [["", part, 100, ""] for part in self.kept_parts]
            return web.Response(body=msgspec.json.encode({"held": held}))
        if request.path == "/order":
            return await self._answer_order(request)
        if self.room is not None and self.in_flight >= self.room:
            return self._refuse_for_room(request)
        self.in_flight += 1
        try:
            return await self._run(request)
        finally:
            self.in_flight -= 1

    def _send_extra(self, request: web.BaseRequest) -> None:
        """Send the further answer that is due, and find out whether one will be."""
        transport = request.transport
        if self.late_status is None or not isinstance(transport, asyncio.Transport):
            return
        attempt = self._due_extras.pop(transport, None)
        if attempt is not None:
            self.extras += 1
            transport.write(build_refusal(self.late_status, attempt))
        if self._rng.random() < self.late_share:
            self._due_extras[transport] = request.headers.get(names.ATTEMPT_ID, "")

    def _refuse_for_room(self, request: web.BaseRequest) -> web.Response:
        """Refuse a request, and fall over if that was one too many."""
        now = asyncio.get_running_loop().time()
        self.refusals = [at for at in self.refusals if now - at < 1.0] + [now]
        if self.refusals_per_s is not None and len(self.refusals) > self.refusals_per_s:
            self.falls += 1
            self.refusals.clear()
            self.down_until = now + DOWN_S
            if request.transport is not None:
                request.transport.abort()
        attempt = request.headers.get(names.ATTEMPT_ID, "")
        headers = {names.NOT_EXECUTED: "1", names.ATTEMPT_ID: attempt}
        return web.Response(status=503, headers=headers | self._build_notices())

    async def _answer_order(self, request: web.BaseRequest) -> web.Response:
        order = msgspec.json.decode(await request.read())
        answer = web.Response() if self.loses_orders else self._apply_order(order)
        is_lost = self.loses_orders or self.loses_order_answers
        if is_lost and request.transport is not None:
            request.transport.abort()
        return answer

    def _report(self) -> dict:
        return {
            "Stage": "both",
            "Models": self._list_models(),
            "Busy": self.is_busy,
            "Sequence": self.orders,
            "Queued": 0,
            "Active": 0,
            "KvUsed": 0,
        }

    def _list_models(self) -> list[dict]:
        return [
            {"Name": name, "Version": 1, "Adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    def _apply_order(self, order: dict) -> web.Response:
        if order["FencingToken"] < self.fence:
            return web.Response(status=412)
        if self.is_busy or order.get("Expected", self.orders) != self.orders:
            return web.Response(status=409)
        self.fence = order["FencingToken"]
        self.orders += 1
        model, adapter = order["Model"], order.get("Adapter", "")
        if order["Operation"] == "unload":
            if adapter:
                self.models[model].discard(adapter)
                return web.Response(status=200)
            self.models.pop(model, None)
        elif adapter:
            self.models[model].add(adapter)
        else:
            if 10 * (len(self.models) + 1) > self.memory_mb:
                self.overcommitted += 1
            self.is_busy = True
            asyncio.get_running_loop().call_later(self.load_s, self._finish_load, model)
        return web.Response(status=202)

    def _finish_load(self, model: str) -> None:
        self.models[model] = set()
        self.is_busy = False

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.content.read()
        attempt = request.headers.get(names.ATTEMPT_ID, "")
        self.arrivals.append(asyncio.get_running_loop().time())
        self.attempts.append(attempt)
        notices = self._build_notices()
        model, _, adapter = request.headers.get(names.MODEL, "").partition("/")
        lacks_adapter = model and adapter not in {"", *self.models.get(model, ())}
        is_shed = self.sheds or (self.sheds_first and self.attempts.count(attempt) == 1)
        if is_shed or (model and model not in self.models) or lacks_adapter:
            headers = {
                names.NOT_EXECUTED: "1",
                names.ATTEMPT_ID: attempt,
                **notices,
            }
            if self.rest_s is not None:
                headers[names.RETRY_AFTER] = str(self.rest_s)
                self.rested.add(attempt)
            return web.Response(status=503, headers=headers)
        self.runs[attempt] += 1
        self.headers[attempt] = dict(request.headers)
        has_crashing_part = self._has_crashing_part(request)
        if has_crashing_part and self.events_before_crash:
            return await self._stream(request, {**notices, **self._sign(attempt)})
        if has_crashing_part or (self.crashes_on and self.crashes_on in body):
            return await self._crash(request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        headers = {**self._sign(attempt), **notices}
        if self.cut_answers is not None:
            await send_scripted_answer(request, next(self.cut_answers), headers)
        if self.script is not None:
            script = self.script
            if not isinstance(script, AnswerScript):
                script = script(_get_last_event(request))
            self.on_break()
            await send_scripted_answer(request, script, headers)
        if self.fails:
            self.on_break()
            return web.Response(status=500, headers=headers)
        self.served += 1
        self.kept_parts |= _list_parts(request)
        if not model:
            return web.Response(body=b"done:" + body, headers=headers)
        return await self._stream(request, headers)

    def _sign(self, attempt: str) -> dict[str, str]:
        return {names.ATTEMPT_ID: attempt, names.SEAL: f"seal.{self.incarnation}"}

    def _has_crashing_part(self, request: web.BaseRequest) -> bool:
        return not self.crashing_parts.isdisjoint(_list_parts(request))

    async def _crash(self, request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(self.crash_delay_s)
        if request.transport is not None:
            request.transport.abort()
        self.on_break()
        return web.Response()

    def _build_notices(self) -> dict[str, str]:
        """Return the headers by which the server states its condition."""
        notices = {}
        if self.limit_per_s is not None:
            notices[names.SERVER_LIMIT] = str(self.limit_per_s)
        if self.is_leaving:
            notices[names.SERVER_LEAVING] = "1"
        if self.refusals_per_s is not None:
            notices[names.SERVER_BRITTLE] = str(self.refusals_per_s)
        return notices

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        answer = web.StreamResponse(headers=headers)
        answer.content_type = "text/event-stream"
        await answer.prepare(request)
        by = "" if self.version == DEFAULT_VERSION else f" by {self.version}"
        first = _get_last_event(request) + 1
        crashes_at = first + self.events_before_crash
        for number in range(first, 7):
            if number == crashes_at and self._has_crashing_part(request):
                await self._crash(request)
                return answer
            if self.breaks_after is not None and number > self.breaks_after:
                self.on_break()
                await answer.write(b"id: torn")
                if request.transport is not None:
                    request.transport.abort()
                return answer
            event = f"id: {number}\ndata: piece {number}{by}\n\n"
            await answer.write(event.encode())
            await asyncio.sleep(self.pause_s)
        await answer.write_eof()
        return answer


def build_refusal(status: int, attempt: str) -> bytes:
    """Build a complete answer that states that an attempt was not run."""
    lines = [f"HTTP/1.1 {status} Refused", f"{names.NOT_EXECUTED}: 1"]
    if attempt:
        lines.append(f"{names.ATTEMPT_ID}: {attempt}")
    return "\r\n".join([*lines, "Content-Length: 0", "", ""]).encode()


def _list_parts(request: web.BaseRequest) -> set[str]:
    """Return the ids of the parts of a request's prompt."""
    prompt = request.headers.get(names.PROMPT_PREFIX, "")
    return {part.partition(":")[0] for part in prompt.split(",") if part}


def _get_last_event(request: web.BaseRequest) -> int:
    return int(request.headers.get(names.LAST_EVENT_ID, "0"))
