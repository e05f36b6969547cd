"""Validation of settings before a process starts.

A setting is a command-line flag and an environment variable: ``--listen`` of
``arbutus-entry`` is also ``ARBUTUS_ENTRY_LISTEN``. cyclopts parses them; the checks
here validate the parsed values and report all invalid settings together.
"""

import ipaddress
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import NoReturn

from arbutuspulley.results import SettingError

SETTINGS_EXIT_STATUS = 2
"""Exit status of a process with invalid settings."""


class SettingsError(ExceptionGroup[SettingError]):
    """All invalid settings of one process."""

    def show(self) -> str:
        """Return a readable message with one line per invalid setting."""
        lines = [f"{self.message}:"]
        for error in self.exceptions:
            shown = error.show() if isinstance(error, SettingError) else str(error)
            lines.append(f"  {shown}")
        return "\n".join(lines)


Check = Callable[[], None]
"""Raises :class:`SettingError` if a setting is invalid."""


def check_all(checks: Iterable[Check]) -> None:
    """Run all checks and report all failures together.

    :raises SettingsError: if any check failed.
    """
    errors: list[SettingError] = []
    for check in checks:
        try:
            check()
        except SettingError as error:
            errors.append(error)
    if errors:
        raise SettingsError("settings refused", errors)


def check_address(setting: str, value: str) -> Check:
    """Return a check that a value is ``host:port`` with an IP address as host."""

    def check() -> None:
        split_address(value, setting=setting)

    return check


def check_addresses(setting: str, values: Iterable[str]) -> list[Check]:
    """Return a check for each address."""
    return [check_address(setting, value) for value in values]


def check_range(setting: str, value: float, *, least: float, most: float) -> Check:
    """Return a check that a number is between two bounds, both included."""

    def check() -> None:
        if not least <= value <= most:
            raise SettingError(
                setting=setting, detail=f"{value} is not between {least} and {most}"
            )

    return check


def check_choice(setting: str, value: str, *, choices: Sequence[str]) -> Check:
    """Return a check that a value is one of the given choices."""

    def check() -> None:
        if value not in choices:
            raise SettingError(
                setting=setting, detail=f"{value!r} is not one of {', '.join(choices)}"
            )

    return check


def check_present(setting: str, value: str) -> Check:
    """Return a check that a value is not empty; errors never include the value."""

    def check() -> None:
        if not value:
            raise SettingError(setting=setting, detail="must be set")

    return check


def split_address(address: str, *, setting: str = "address") -> tuple[str, int]:
    """Split ``host:port``.

    :raises SettingError: if the host is not an IP address or the port is invalid.
    """
    host, separator, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise SettingError(
            setting=setting, detail=f"{address!r} is not an IP address and a port"
        ) from None
    if not separator or not port.isdigit() or not 0 < int(port) < 65_536:
        raise SettingError(setting=setting, detail=f"{address!r} has no valid port")
    return host.strip("[]"), int(port)


def exit_with_errors(error: SettingsError) -> NoReturn:
    """Print all invalid settings to standard error and exit."""
    print(error.show(), file=sys.stderr)
    raise SystemExit(SETTINGS_EXIT_STATUS)
