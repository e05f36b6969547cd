"""Startup of every program: validation of its settings and logging setup."""

from collections.abc import Iterable

from arbutuspulley.events import set_up_logging
from arbutuspulley.settings import (
    Check,
    SettingsError,
    check_all,
    check_choice,
    exit_with_errors,
)

LOG_FORMATS = ("json", "text")
"""Values of ``--log-format``."""

LOG_LEVELS = ("debug", "info", "warning", "error")
"""Values of ``--log-level``."""


def set_up_process(checks: Iterable[Check], *, log_format: str, log_level: str) -> None:
    """Validate all settings, those of logging included, and set up logging.

    If any setting is invalid, the process exits with one message that lists all of
    them.

    :param checks: the program's own checks.
    :raises SystemExit: if any setting is invalid.
    """
    log_checks = (
        check_choice("--log-format", log_format, choices=LOG_FORMATS),
        check_choice("--log-level", log_level, choices=LOG_LEVELS),
    )
    try:
        check_all((*checks, *log_checks))
    except SettingsError as error:
        exit_with_errors(error)
    set_up_logging(log_format=log_format, level=log_level)
