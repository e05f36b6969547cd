"""Finds the team that an API key belongs to.

Keys are looked up by a digest with a salt for each process, so the duration of a lookup
does not reveal how much of a guessed key is right.
"""

import hashlib
import os
from collections.abc import Iterable

from arbutuspulley.data import Value
from arbutuspulley.ports.fleet import Team
from arbutuspulley.results import Code, ConfigurationError

DIGEST_BYTES = 16
"""Length of a digest, in bytes: a million keys have no collision."""

REDACTED_DIGITS = 8
"""Hexadecimal digits of a digest in logs: enough to distinguish two keys."""

_SALTED_HASH = hashlib.blake2b(digest_size=DIGEST_BYTES, key=os.urandom(DIGEST_BYTES))


class KeyTable(Value, frozen=True):
    """Index of the API keys of one configuration.

    :param teams: teams by the digests of their keys.
    :param digests: digests of each team's keys, by the tuple of these keys.
    """

    teams: dict[bytes, Team]
    digests: dict[tuple[str, ...], list[bytes]]


def build_key_table(
    teams: Iterable[Team], *, previous: KeyTable | None = None
) -> KeyTable:
    """Index the keys of all teams.

    :param previous: table of the previous configuration, whose digests are reused:
        most teams keep their keys.
    :raises ConfigurationError: if two teams hold the same key.
    """
    previous_digests = previous.digests if previous is not None else {}
    teams_by_digest: dict[bytes, Team] = {}
    digests: dict[tuple[str, ...], list[bytes]] = {}
    for team in teams:
        team_digests = previous_digests.get(team.keys) or [
            _digest(key) for key in team.keys
        ]
        digests[team.keys] = team_digests
        for key, digest in zip(team.keys, team_digests, strict=True):
            holder = teams_by_digest.setdefault(digest, team)
            if holder is not team and holder.name != team.name:
                raise ConfigurationError(
                    code=Code.BAD_TEAM,
                    detail=f"teams {holder.name!r} and {team.name!r} hold the same key"
                    f" {redact_key(key)}",
                )
    return KeyTable(teams=teams_by_digest, digests=digests)


def find_team(table: KeyTable, key: str) -> Team | None:
    """Return the team that holds a key, or ``None`` if none does."""
    return table.teams.get(_digest(key))


def redact_key(key: str) -> str:
    """Return the form of a key that is logged; it is the same in every process."""
    return hashlib.sha256(_encode(key)).hexdigest()[:REDACTED_DIGITS]


def _digest(key: str) -> bytes:
    # Copying the hash object takes half the time of creating one; a configuration
    # has many keys.
    digest = _SALTED_HASH.copy()
    digest.update(_encode(key))
    return digest.digest()


def _encode(key: str) -> bytes:
    return key.encode("utf-8", "surrogateescape")
