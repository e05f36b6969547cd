"""Reloading of changed settings while the process runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import msgspec

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.events import Event, log_event
from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.fleet import NodeSettings
from arbutuspulley.results import SettingError
from arbutuspulley.settings import SettingsError

POLL_INTERVAL_MS = 2_000
"""Poll interval of the file's modification time, in ms; the file may change without a
signal."""

FIXED_SETTINGS = frozenset(
    ("name", "site", "region", "frontend", "ready", "directory", "link", "store")
)
"""Settings that can't change while the process runs: its names and addresses."""


class Reloader:
    """Reloads the settings file on request, or when it has changed.

    :param read: reads and validates the file.
    """

    __slots__ = ("_loaded_mtime_ns", "_path", "_read", "_state")

    def __init__(
        self, *, state: NodeState, path: Path, read: Callable[[Path], NodeSettings]
    ) -> None:
        self._state = state
        self._path = path
        self._read = read
        self._loaded_mtime_ns = self._get_mtime_ns()

    async def watch(self) -> None:
        """Reload the file whenever it changes; never returns."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_MS / SECOND_MS)
            if self._get_mtime_ns() != self._loaded_mtime_ns:
                self.reload()

    def reload(self) -> None:
        """Apply changed settings except fixed ones; an invalid file changes nothing."""
        self._loaded_mtime_ns = self._get_mtime_ns()
        try:
            read = self._read(self._path)
        except (SettingsError, SettingError) as error:
            log_event(Event.SETTINGS_REFUSED, detail=error.show())
            return
        current = self._state.settings
        changed = [
            name
            for name in NodeSettings.__struct_fields__
            if getattr(read, name) != getattr(current, name)
        ]
        kept = {name: getattr(current, name) for name in FIXED_SETTINGS}
        self._state.settings = msgspec.structs.replace(read, **kept)
        log_event(
            Event.SETTINGS_RELOADED,
            changed=[name for name in changed if name not in FIXED_SETTINGS],
            ignored=[name for name in changed if name in FIXED_SETTINGS],
        )

    def _get_mtime_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0
