"""Finds out where a stream began from the prompts that model servers keep.

A server keeps the parts of the prompts that it has read until others displace them. The
last part belongs to the request or its session alone, so the servers that keep it tell
the software version at which the request ran, although neither a process nor the store
has a record of the stream.

A coordinator that knows no stream as it takes over asks all servers of services whose
streams need records, before new prompts displace those of the streams that broke off.
An instance asks for a single stream that the coordinator does not know.

The evidence is false if a session's other requests, or a second attempt that brought no
event, ran at another version, and the servers that began the stream are gone or have
displaced the part since. Nothing bounds this but how few streams have no record.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Mapping

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.delivery.prompt_index import PromptIndex
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.server_notices import read_answer
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.engines import fetch_kept_parts
from arbutuspulley.ports.fleet import InboundRequest, ServerEntry, SoftwareVersion

MAX_AGE_MS = 1_000
"""Time for which a server's answer is used for further requests, in ms: after a power
failure many streams are resumed at once."""

MAX_CALLS = 50
"""Maximum number of servers that an instance asks at the same time."""

READ_TIMEOUT_MS = 5_000
READ_POLL_MS = 50
"""How long a new coordinator waits until it has read the servers and their versions, in
ms, and the interval at which it looks."""

FetchParts = Callable[[ServerEntry], Awaitable[frozenset[str] | None]]
"""Asks a server which parts of prompts it keeps; ``None``: it did not answer."""


class KeptPrompts:
    """What model servers have answered lately.

    :param fetch: asks a server.
    """

    __slots__ = ("_asked", "_fetch", "_state", "_turns")

    def __init__(self, *, state: NodeState, fetch: FetchParts) -> None:
        self._asked: dict[str, asyncio.Future[frozenset[str] | None]] = {}
        self._fetch = fetch
        self._state = state
        self._turns = asyncio.Semaphore(MAX_CALLS)

    async def find_version(
        self, service: str, request: InboundRequest
    ) -> SoftwareVersion | None:
        """Return the version at which a request ran before.

        :return: ``None`` if its servers don't tell, or those of several versions do.
        """
        if request.need is None or not request.own_part:
            return None
        model = request.need.model
        entries = [
            entry
            for entry in self._state.by_service.get(service, ())
            if any(loaded.model == model for loaded in entry.loaded_models)
        ]
        asked = [entry for entry in entries if not is_resting(self._state, entry)]
        answers = await asyncio.gather(*(self._ask(entry) for entry in asked))
        by_incarnation = {
            entry.incarnation: answer
            for entry, answer in zip(asked, answers, strict=True)
        }
        return select_version(entries, by_incarnation, part=request.own_part)

    async def _ask(self, entry: ServerEntry) -> frozenset[str] | None:
        asked = self._asked.get(entry.incarnation)
        if asked is None:
            asked = asyncio.ensure_future(self._fetch_in_turn(entry))
            self._asked[entry.incarnation] = asked
            asked.add_done_callback(lambda _asked: self._expire(entry.incarnation))
        return await asyncio.shield(asked)

    async def _fetch_in_turn(self, entry: ServerEntry) -> frozenset[str] | None:
        async with self._turns:
            return await self._fetch(entry)

    def _expire(self, incarnation: str) -> None:
        """Forget an answer that has just arrived once it is too old."""
        asyncio.get_running_loop().call_later(
            MAX_AGE_MS / SECOND_MS, self._asked.pop, incarnation
        )


class PromptCollector:
    """Asks servers as this instance becomes the coordinator.

    :param fetch: asks a server.
    """

    __slots__ = ("_coordinating", "_fetch", "_state")

    def __init__(self, *, state: NodeState, fetch: FetchParts) -> None:
        self._coordinating = asyncio.Event()
        self._fetch = fetch
        self._state = state
        state.on_coordinating.append(self._start)

    def _start(self) -> None:
        if not len(self._state.begun_streams):
            self._coordinating.set()

    async def run(self) -> None:
        """Ask servers each time that it is needed; never returns."""
        while True:
            await self._coordinating.wait()
            self._coordinating.clear()
            if await self._wait_until_read():
                await self._collect()

    async def _wait_until_read(self) -> bool:
        """Wait until the servers and their versions have been read.

        After the store has come back from an older copy servers write their rows again.
        """
        clock = self._state.clock
        until = clock.now() + READ_TIMEOUT_MS
        while not self._is_read(now=clock.now()):
            if clock.now() >= until:
                return False
            await asyncio.sleep(READ_POLL_MS / SECOND_MS)
        return True

    def _is_read(self, *, now: int) -> bool:
        versions = self._state.software_versions
        return versions.has_listed and not any(
            versions.is_settling(service, now=now) for service in self._state.by_service
        )

    async def _collect(self) -> None:
        """Ask all servers; nothing is concluded before all have answered."""
        state, now = self._state, self._state.clock.now()
        index = PromptIndex()
        index.restart(now=now)
        entries = [
            entry
            for service in state.software_versions.list_recorded(now=now)
            for entry in state.by_service.get(service, ())
            if entry.loaded_models
        ]
        calls = asyncio.Semaphore(MAX_CALLS)

        async def ask(entry: ServerEntry) -> None:
            async with calls:
                skipped = index.is_full or is_resting(state, entry)
                parts = None if skipped else await self._fetch(entry)
                index.add(entry.service, entry.software_version, parts)

        await asyncio.gather(*(ask(entry) for entry in entries))
        state.prompt_index = index
        log_event(Event.KEPT_PROMPTS_READ, servers=len(entries))


def is_resting(state: NodeState, entry: ServerEntry) -> bool:
    """Return whether a server wants no calls for a time."""
    return state.cooldowns.get_end(entry.incarnation) > state.clock.now()


def select_version(
    entries: list[ServerEntry],
    answers: Mapping[str, frozenset[str] | None],
    *,
    part: str,
) -> SoftwareVersion | None:
    """Return the version whose servers alone keep a part of prompts.

    A server that did not answer, or was not asked, may keep it, too.

    :param entries: servers that have the model.
    :param answers: ids of the parts that each server keeps, by incarnation; ``None``:
        it did not answer. Servers that were not asked are left out.
    """
    keeping, silent = set(), set()
    for entry in entries:
        kept = answers.get(entry.incarnation)
        if kept is None:
            silent.add(entry.software_version)
        elif part in kept:
            keeping.add(entry.software_version)
    return next(iter(keeping)) if len(keeping) == 1 and silent <= keeping else None


def build_fetch(state: NodeState) -> FetchParts:
    """Build the call that asks a server over the network."""

    async def fetch(entry: ServerEntry) -> frozenset[str] | None:
        return await fetch_kept_parts(
            state.session,
            address=entry.address,
            incarnation=entry.incarnation,
            read_answer=functools.partial(read_answer, state, entry.incarnation),
        )

    return fetch
