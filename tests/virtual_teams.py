"""Callers of several teams in virtual time that come back when they are told to."""

import asyncio
import contextlib
import random

import aiohttp
import msgspec

from scripts.platform_testbed import HOST, build_configuration

TEAMS = ("t0", "t1", "t2", "t3")

TEAM_EVERY_S = 0.3
"""Mean time between two callers of a team, in s; all teams use 0.7 of the servers."""

SURGE_RATIO = 6
"""How many times its usual load a team sends in a surge."""

DEADLINE_S = 5.0
"""How long a caller wants an answer, in s."""

MIN_LEFT_S = 0.5
"""Time that is left to a caller that comes back, in s."""

PATH = "/chat/t"


class TeamTry(msgspec.Struct):
    """One try of a team's caller.

    :param name: instance that it was sent to.
    :param is_return: whether its caller was refused before, and came back when told.
    :param status: 0 if no connection was opened, ``None`` if it was broken off.
    :param first_event_s: time until the answer's first event, in s.
    """

    at_s: float
    name: str
    is_return: bool = False
    status: int | None = None
    first_event_s: float | None = None


class TeamCall(msgspec.Struct):
    """One caller of a team, and its tries."""

    attempt: str
    team: str
    tries: list[TeamTry] = msgspec.field(default_factory=list)


def build_team_configuration(version):
    """Build a configuration with all teams, none of which has a quota."""
    configuration = build_configuration(version)
    configuration["Tenants"] = [
        {"Name": team, "ApiKeys": [get_key(team)], "Priority": 1} for team in TEAMS
    ]
    return configuration


def get_key(team):
    """Return the key of a team's callers."""
    return f"key-{team}"


class TeamCallers:
    """Send each team's requests, and those that are refused again when told.

    :param play: gets the calls, and has the plan and the surges.
    :param names: the instances.
    """

    def __init__(self, *, play, session, names):
        self._play = play
        self._session = session
        self._names = names

    async def run(self):
        """Call until the plan ends, and wait for all callers."""
        await asyncio.gather(*(self._run_team(team) for team in TEAMS))

    async def _run_team(self, team):
        """Send a team's usual load and what a surge adds, which is drawn apart.

        The usual load is the same whether there is a surge or not.
        """
        await asyncio.gather(
            self._send_many(team, ratio=1, is_surge=False),
            self._send_many(team, ratio=SURGE_RATIO - 1, is_surge=True),
        )

    async def _send_many(self, team, *, ratio, is_surge):
        rng = random.Random(f"{self._play.plan.seed} {team} {is_surge}")
        fleet, calls = self._play.fleet, []
        number = 0
        while fleet.now_s < self._play.plan.end_s:
            await asyncio.sleep(rng.uniform(0.5, 1.5) * TEAM_EVERY_S / ratio)
            name, attempt = rng.choice(self._names), f"{team}{'s' * is_surge}{number:x}"
            if is_surge and not self._play.is_surging(team):
                continue
            number += 1
            call = TeamCall(attempt=attempt, team=team)
            self._play.calls.append(call)
            calls.append(asyncio.create_task(self._call(call, name)))
        await asyncio.gather(*calls)

    async def _call(self, call, name):
        ends_at_s = self._play.fleet.now_s + DEADLINE_S
        is_return = False
        while (left_s := ends_at_s - self._play.fleet.now_s) > MIN_LEFT_S:
            tried = TeamTry(at_s=self._play.fleet.now_s, name=name, is_return=is_return)
            call.tries.append(tried)
            told_s = None
            with contextlib.suppress(
                TimeoutError, aiohttp.ClientError, ConnectionError
            ):
                async with asyncio.timeout(left_s):
                    told_s = await self._send(call, tried, left_s)
            if told_s is None:
                return
            await asyncio.sleep(told_s)
            is_return = True

    async def _send(self, call, tried, left_s):
        """Send a try, and return when its caller is told to come back, in s."""
        headers = {
            "Host": HOST,
            "X-Arbutuspulley-Key": get_key(call.team),
            "X-Arbutuspulley-Attempt-Id": f"{call.attempt}-{len(call.tries)}",
            "X-Arbutuspulley-Deadline-Ms": str(round(left_s * 1_000)),
            "X-Arbutuspulley-Model": "m0",
            "X-Arbutuspulley-Token-Usage": "100,20",
        }
        url = f"http://{self._play.fleet.addresses[tried.name]['Frontend']}{PATH}"
        body = call.attempt.encode()
        async with self._session.post(url, headers=headers, data=body) as answer:
            if answer.status != 200:
                tried.status = answer.status
                await answer.read()
                told = answer.headers.get("Retry-After")
                return None if told is None else float(told)
            await answer.content.readany()
            tried.first_event_s = self._play.fleet.now_s - tried.at_s
            await answer.read()
            tried.status = 200
        return None
