"""API keys, their revocation and quotas, end to end: real instances, stand-ins."""

import asyncio

import aiohttp
import pytest

from scripts.platform_testbed import (
    FULL_STREAM,
    Fleet,
    build_configuration,
    build_route,
    send_request,
    wait_until,
)

BOUNDS = {
    "ConfigApplyMs": 2_000,
    "RevokeFailClosed": True,
    "RevokeMs": 4_000,
    "QuotaWindowS": 8,
    "QuotaOverage": 0.1,
    "QuotaSlack": 4_000,
}


def build_teams(version, *teams):
    configuration = build_configuration(
        version, routes=(build_route("/open/", "plain", "safe", Public=True),)
    )
    configuration["Tenants"] = list(teams)
    return configuration


def build_team(name, *keys, **quota):
    return {"Name": name, "ApiKeys": list(keys), "Priority": 1, **quota}


def play(folder, scenario, *teams, nodes=("n1",)):
    """Run a scenario on a fleet with the given teams."""

    async def run():
        fleet = Fleet(folder)
        try:
            await fleet.open()
            fleet.store.put("op", "config", build_teams(2, *teams))
            for name in nodes:
                await fleet.start_node(name, **BOUNDS)
            for name in nodes:
                await fleet.wait_ready(name)
            await fleet.wait_coordinator()
            async with aiohttp.ClientSession() as session:
                await scenario(fleet, session)
        finally:
            await fleet.close()

    asyncio.run(run())


def front(fleet, name="n1"):
    return fleet.addresses[name]["Frontend"]


def send(session, address, path, attempt, key="", *, model="", tokens="100,20"):
    """Send a request with a key and a forged team header."""
    headers = {"X-Arbutuspulley-Tenant": "forged"}
    if key:
        headers["X-Arbutuspulley-Key"] = key
    if model:
        headers["X-Arbutuspulley-Model"] = model
        headers["X-Arbutuspulley-Token-Usage"] = tokens
    return send_request(session, address, path, attempt=attempt, **headers)


def find_headers(fleet, attempt):
    """Return the headers with which a request reached a server."""
    (found,) = [one.headers[attempt] for one in fleet.servers if attempt in one.headers]
    return found


@pytest.mark.alone
def test_servers_get_the_team_and_never_the_key(tmp_path):
    async def scenario(fleet, session):
        address = front(fleet)
        assert (await send(session, address, "/book/1", "a1", "k1"))[0] == 200
        status, body, _ = await send(
            session, address, "/chat/1", "a2", "k2", model="m0"
        )
        assert (status, body) == (200, FULL_STREAM)
        assert (await send(session, address, "/open/1", "a3"))[0] == 200
        for attempt, team in (("a1", "one"), ("a2", "two"), ("a3", None)):
            headers = find_headers(fleet, attempt)
            assert headers.get("X-Arbutuspulley-Tenant") == team
            assert "X-Arbutuspulley-Key" not in headers
        for attempt, key in (("a4", "k9"), ("a5", "")):
            assert (await send(session, address, "/book/1", attempt, key))[0] == 401
        assert not any("a4" in one.runs or "a5" in one.runs for one in fleet.servers)
        assert "k9" not in fleet.read_log("n1")

    play(tmp_path, scenario, build_team("one", "k1"), build_team("two", "k2"))


def test_a_revoked_key_stops_working_and_a_new_one_works(tmp_path):
    async def scenario(fleet, session):
        fleet.store.put("op", "config", build_teams(3, build_team("one", "k2")))

        async def is_denied():
            status, _, _ = await send(session, front(fleet, "n2"), "/book/1", "x", "k1")
            return status == 401

        await wait_until(is_denied, "the revocation")
        assert (await send(session, front(fleet, "n2"), "/book/1", "y", "k2"))[0] == 200

    play(tmp_path, scenario, build_team("one", "k1"), nodes=("n1", "n2"))


async def is_served(fleet, session):
    return (await send(session, front(fleet), "/book/1", "a3", "k1"))[0] == 200


def test_no_key_is_accepted_long_after_the_store_became_unavailable(tmp_path):
    """The store is unavailable, and an operator may have revoked a key in the meantime.
    Guards against instances that confirm the configuration to each other although none
    of them reaches the store."""

    async def scenario(fleet, session):
        # A node accepts no key before its coordinator's first status, which comes some
        # ms after the link is up.
        await wait_until(lambda: is_served(fleet, session), "the first status")
        fleet.store.is_down = True
        lost_at = asyncio.get_running_loop().time()
        status, _, _ = await send(session, front(fleet), "/book/1", "a1", "k1")
        assert status == 200

        async def is_refused():
            status, _, headers = await send(
                session, front(fleet), "/book/1", "a2", "k1"
            )
            assert status in (200, 503)
            return status == 503 and "Retry-After" in headers

        await wait_until(is_refused, "the refusal for age")
        assert asyncio.get_running_loop().time() - lost_at < 4.5
        for name in ("n1", "n2"):
            address = front(fleet, name)
            assert (await send(session, address, "/open/1", name))[0] == 200
            assert (await send(session, address, "/book/1", name, "k9"))[0] == 503
        fleet.store.is_down = False
        await wait_until(
            lambda: is_served(fleet, session), "service after the store's return"
        )

    play(tmp_path, scenario, build_team("one", "k1"), nodes=("n1", "n2"))


def test_a_team_over_its_quota_is_refused_and_others_are_served(tmp_path):
    """One team sends many times its usual load, streams and plain requests, through two
    instances."""

    async def scenario(fleet, session):
        async def burst(key, count):
            return await asyncio.gather(
                *(
                    send(
                        session,
                        front(fleet, f"n{1 + n % 2}"),
                        "/chat/1",
                        f"{key}{n}",
                        key,
                        model="m0",
                        tokens="900,100",
                    )
                    for n in range(count)
                )
            )

        # A new coordinator does not know earlier usage; wait until the quota is
        # refilled.
        await asyncio.sleep(1.5)
        hot = await burst("k1", 40)
        assert {status for status, _, _ in hot} == {200, 429}
        served = sum(status == 200 for status, _, _ in hot)
        assert 5 <= served <= 14
        waits = [
            float(headers["Retry-After"]) for status, _, headers in hot if status == 429
        ]
        assert 0 < min(waits) <= max(waits) <= 5.01
        assert {status for status, _, _ in await burst("k2", 8)} == {200}
        ran = {attempt for one in fleet.servers for attempt in one.runs}
        assert sum(attempt.startswith("k1") for attempt in ran) == served

    quota = {"Unit": "tokens", "RatePerS": 5_000, "Burst": 5_000}
    play(
        tmp_path,
        scenario,
        build_team("hot", "k1", **quota),
        build_team("other", "k2"),
        nodes=("n1", "n2"),
    )
