"""Finds out where a stream began from the prompts that model servers keep.

A server keeps the parts of the prompts that it has read until others displace them. The
last part belongs to the request or its session alone, so the servers that keep it tell
the software version at which the request ran, although neither a process nor the store
has a record of the stream.

The evidence is false if a session's other requests, or a second attempt that brought no
event, ran at another version, and the servers that began the stream are gone or have
displaced the part since. Nothing bounds this but how few streams have no record.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Mapping

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.node.server_notices import read_answer
from arbutuspulley.node.state import NodeState
from arbutuspulley.platform.engines import fetch_kept_parts
from arbutuspulley.ports.fleet import InboundRequest, ServerEntry, SoftwareVersion

MAX_AGE_MS = 1_000
"""Time for which a server's answer is used for further requests, in ms: after a power
failure many streams are resumed at once."""

MAX_CALLS = 100
"""Maximum number of servers that an instance asks at the same time, so that it opens
few connections in a large fleet. The number was not measured."""

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
        asked = [entry for entry in entries if self._may_ask(entry)]
        answers = await asyncio.gather(*(self._ask(entry) for entry in asked))
        by_incarnation = {
            entry.incarnation: answer
            for entry, answer in zip(asked, answers, strict=True)
        }
        return select_version(entries, by_incarnation, part=request.own_part)

    def _may_ask(self, entry: ServerEntry) -> bool:
        """Return whether a server accepts calls of this instance."""
        if entry.is_leaving:
            return False
        cooldown_end = self._state.cooldowns.get_end(entry.incarnation)
        return cooldown_end <= self._state.clock.now()

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


def ask_servers(state: NodeState) -> None:
    """Let this process ask servers where streams began that nobody knows."""

    async def fetch(entry: ServerEntry) -> frozenset[str] | None:
        return await fetch_kept_parts(
            state.session,
            address=entry.address,
            incarnation=entry.incarnation,
            read_answer=functools.partial(read_answer, state, entry.incarnation),
        )

    state.find_kept_version = KeptPrompts(state=state, fetch=fetch).find_version
