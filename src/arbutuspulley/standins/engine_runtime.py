"""Runtime of the engine stand-in: advances its state and starts loads of weights.

One thread advances the state and passes tokens to the worker threads that stream them.
Another thread asks the weight store for permission to load. All threads share the
state under one lock.
"""

import os
import queue
import threading
from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

import msgspec
from urllib3.exceptions import HTTPError

from arbutuspulley.adapters.http import Target, send_once
from arbutuspulley.adapters.platform_messages import (
    WEIGHTS_PATH,
    LoadReply,
    LoadRequest,
)
from arbutuspulley.clock import SECOND_MS, Clock
from arbutuspulley.standins import engine_batch, engine_memory
from arbutuspulley.standins.engine_batch import Run, Token
from arbutuspulley.standins.engine_memory import HeldItem
from arbutuspulley.standins.engine_state import (
    EngineState,
    Refusal,
    admit,
    advance,
    boot,
    cancel,
)

IDLE_STEP_MS = 20
"""Maximum time between two advances of the state."""

LOAD_POLL_MS = 20
"""Interval at which loads that wait for the weight store are checked."""

LOAD_RETRY_MS = 200
"""Retry interval after the weight store did not answer a load request."""

CRASH_EXIT_STATUS = 70
"""Exit status of an engine that was crashed by a request or an order."""

_Result = TypeVar("_Result")

Tokens = queue.SimpleQueue[Token | None]
"""Tokens of one attempt, in order; ``None`` marks the end of a cancelled attempt."""


class EngineRuntime:
    """The state of an engine with its lock and threads.

    :param state: state of the engine; access it only through :meth:`run_locked`.
    :param platform: ``host:port`` of the weight store; empty to load without one.
    :param load_ms: duration of a load without a weight store.
    :param crash: called when the engine crashes; by default the process exits.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_crash",
        "_load_ms",
        "_state",
        "_stopping",
        "_streams",
        "_threads",
        "_weight_store",
    )

    def __init__(
        self,
        *,
        state: EngineState,
        platform: str = "",
        load_ms: int = 0,
        clock: Clock | None = None,
        crash: Callable[[], None] | None = None,
    ) -> None:
        self._state = state
        self._clock = clock or Clock()
        self._crash = crash or _end_process
        self._load_ms = load_ms
        self._weight_store = Target(address=platform) if platform else None
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self._streams: dict[str, Tokens] = {}
        self._threads = [
            threading.Thread(target=work, daemon=True)
            for work in (self._run_steps, self._run_loads)
        ]
        boot(state, now=self._clock.now())

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and wait for them."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def run_locked(self, work: Callable[[EngineState, int], _Result]) -> _Result:
        """Call a short function with the state and the time in ms, under the lock."""
        with self._changed:
            result = work(self._state, self._clock.now())
            self._changed.notify_all()
            return result

    def submit(self, run: Run) -> Tokens | Refusal:
        """Admit an attempt.

        :return: the queue of its tokens, or the refusal.
        """
        tokens: Tokens = queue.SimpleQueue()

        def work(state: EngineState, _now: int) -> Refusal | None:
            refusal = admit(state, run)
            if refusal is None and run.offset < run.tokens:
                self._streams[run.attempt_id] = tokens
            return refusal

        return self.run_locked(work) or tokens

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt and end its token queue; does nothing if it has ended."""

        def work(state: EngineState, _now: int) -> None:
            cancel(state, attempt_id)
            tokens = self._streams.pop(attempt_id, None)
            if tokens is not None:
                tokens.put(None)

        self.run_locked(work)

    def drain(self, *, timeout_ms: int) -> None:
        """Refuse new requests and wait until the attempts in flight have ended."""

        def work(state: EngineState, _now: int) -> None:
            state.stopping = True

        self.run_locked(work)
        with self._changed:
            self._changed.wait_for(
                lambda: not self._streams, timeout=timeout_ms / SECOND_MS
            )

    def _run_steps(self) -> None:
        while not self._stopping.is_set():
            with self._changed:
                self._step()
                self._changed.wait(self._get_wait_ms() / SECOND_MS)

    def _step(self) -> None:
        for token in advance(self._state, now=self._clock.now()):
            tokens = self._streams[token.attempt_id]
            tokens.put(token)
            if token.last:
                del self._streams[token.attempt_id]
                self._changed.notify_all()
        if self._state.crashed:
            self._stopping.set()
            self._crash()

    def _get_wait_ms(self) -> int:
        due = engine_batch.find_next_due(self._state.batch)
        if due is None:
            return IDLE_STEP_MS
        return max(0, min(IDLE_STEP_MS, due - self._clock.now()))

    def _run_loads(self) -> None:
        next_request_at: dict[int, int] = {}
        while not self._stopping.wait(LOAD_POLL_MS / SECOND_MS):
            waiting = self.run_locked(
                lambda state, _now: engine_memory.list_waiting_loads(state.memory)
            )
            now = self._clock.now()
            for held in waiting:
                if next_request_at.get(held.number, 0) <= now:
                    next_request_at[held.number] = now + self._request_load(held)

    def _request_load(self, held: HeldItem) -> int:
        """Start a load if the weight store admits it.

        :return: delay of the next request in ms; 0 if the load was started.
        """
        reply = LoadReply(duration_ms=self._load_ms)
        if self._weight_store is not None:
            reply = request_load(self._weight_store, held)
        if reply.retry_after_ms:
            return reply.retry_after_ms

        def work(state: EngineState, now: int) -> None:
            engine_memory.begin_load(
                state.memory,
                item=held.item,
                number=held.number,
                now=now,
                duration_ms=reply.duration_ms,
            )

        self.run_locked(work)
        return 0


def request_load(store: Target, held: HeldItem) -> LoadReply:
    """Ask the weight store to admit a load.

    If the store is unavailable or fails, the load counts as not admitted.
    """
    body = msgspec.json.encode(LoadRequest(memory_mib=held.memory_mib))
    try:
        path = f"{WEIGHTS_PATH}/{held.item}"
        response = send_once(store, "POST", path, body=body, headers={})
        received = response.read()
    except HTTPError:
        return LoadReply(retry_after_ms=LOAD_RETRY_MS)
    if response.status not in (HTTPStatus.OK, HTTPStatus.TOO_MANY_REQUESTS):
        return LoadReply(retry_after_ms=LOAD_RETRY_MS)
    return msgspec.json.decode(received, type=LoadReply)


def _end_process() -> None:
    os._exit(CRASH_EXIT_STATUS)
