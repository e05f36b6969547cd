"""Demo on the users' platform: two nodes and stand-ins; the coordinator is killed."""

import asyncio
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import aiohttp

from scripts.platform_testbed import FULL_STREAM, Fleet, send_request

ROUNDS = 10
"""Rounds of requests; each has four models, two adapters and two bookings."""

MODELS = ("m0", "m1", "m2", "m3", "m0/a1", "m0/a2")


async def play(folder: Path) -> str:
    """Send requests to both nodes, kill the coordinator half way, and summarise."""
    fleet = Fleet(folder)
    await fleet.open()
    try:
        for name in ("n1", "n2"):
            await fleet.start_node(name)
        for name in ("n1", "n2"):
            await fleet.wait_ready(name)
        await fleet.wait_coordinator()
        return await _ask_rounds(fleet)
    finally:
        await fleet.close()


async def _ask_rounds(fleet: Fleet) -> str:
    tally: Counter[str] = Counter()
    live = ["n1", "n2"]
    async with aiohttp.ClientSession() as session:
        for number in range(ROUNDS):
            if number == ROUNDS // 2:
                killed = fleet.find_coordinator()
                fleet.nodes[killed].send_signal(signal.SIGKILL)
                live.remove(killed)
                print(f"demo: killed {killed}, the coordinator", flush=True)
            front = fleet.addresses[live[number % len(live)]]["Frontend"]
            tally.update(await _ask_round(session, front, number))
    doubled = sum(
        count > 1 for server in fleet.servers for count in server.runs.values()
    )
    over = sum(server.overcommitted for server in fleet.servers)
    return (
        f"demo on the platform: {sum(tally.values())} asked, {tally['whole']} whole, "
        f"{tally['refused']} refused as not run, {tally['other']} other, "
        f"{doubled} doubled, {over} overcommitted"
    )


async def _ask_round(
    session: aiohttp.ClientSession, front: str, number: int
) -> list[str]:
    streams = [
        send_request(
            session, front, "/chat/x", attempt=f"s{number}-{model}", model=model
        )
        for model in MODELS
    ]
    bookings = [
        send_request(
            session, front, "/book/x", attempt=f"b{number}-{one}", body=b"night"
        )
        for one in range(2)
    ]
    answers = await asyncio.gather(*streams, *bookings)
    return [_judge(status, body) for status, body, _headers in answers]


def _judge(status: int, body: bytes) -> str:
    if status == 200 and body in (FULL_STREAM, b"done:night"):
        return "whole"
    return "refused" if status == 503 else "other"


def main() -> int:
    """Run the demo; return 1 if a response is neither complete nor a refusal."""
    with tempfile.TemporaryDirectory() as folder:
        said = asyncio.run(play(Path(folder)))
    print(said, flush=True)
    return 0 if " 0 other, 0 doubled, 0 overcommitted" in said else 1


if __name__ == "__main__":
    sys.exit(main())
