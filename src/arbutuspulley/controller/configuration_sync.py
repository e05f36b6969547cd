"""Brings accepted configuration changes into force."""

import logging

import msgspec

from arbutuspulley.configuration import store
from arbutuspulley.configuration.activation import (
    ActivationResult,
    activate_if_newer,
    apply_changes,
)
from arbutuspulley.configuration.changes import Change
from arbutuspulley.configuration.schema import Configuration
from arbutuspulley.configuration.store import ChangePage
from arbutuspulley.controller.platform_calls import ask
from arbutuspulley.controller.state import Controller
from arbutuspulley.data import State
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import ConfigurationError


class Following(State):
    """Where reading of changes goes on.

    :param started: whether the newest configuration was read once.
    """

    started: bool = False
    revision: int = 0
    table_id: str = ""


async def follow_configuration(controller: Controller, following: Following) -> None:
    """Read accepted changes since the last round and bring them into force.

    :raises PlatformUnavailableError: if the platform did not answer.
    """
    try:
        if not following.started:
            await _start(controller, following)
        await _read_on(controller, following)
    except (ConfigurationError, msgspec.MsgspecError) as error:
        log_event(Event.CONFIGURATION_REFUSED, level=logging.ERROR, detail=str(error))


def log_progress(controller: Controller, progress: ActivationResult) -> None:
    """Tell what a step brought into force and what it did not."""
    for version in progress.applied:
        log_event(Event.CONFIGURATION_IN_FORCE, version=version)
    if progress.applied:
        version = controller.activation.configuration.version
        controller.metrics.configuration_version.set(version)
    if progress.ignored:
        log_event(
            Event.OLDER_CONFIGURATION_IGNORED,
            level=logging.WARNING,
            versions=progress.ignored,
        )
    if progress.diverged:
        log_event(
            Event.CONFIGURATION_REFUSED,
            level=logging.ERROR,
            detail="the store holds another content under the version in force",
        )


async def _start(controller: Controller, following: Following) -> None:
    start = await ask(controller, lambda: store.load_snapshot(controller.platform))
    _offer(controller, start.configuration)
    following.started = True
    following.revision, following.table_id = start.revision, start.table_id


async def _read_on(controller: Controller, following: Following) -> None:
    more = True
    while more:
        page = await _read_page(controller, following)
        following.revision, following.table_id = page.revision, page.table_id
        if page.restored is not None:
            _offer(controller, page.restored)
        await _apply(controller, page.changes)
        more = page.more


async def _read_page(controller: Controller, following: Following) -> ChangePage:
    revision, table_id = following.revision, following.table_id
    platform = controller.platform
    return await ask(
        controller, lambda: store.read_changes(platform, revision, table_id=table_id)
    )


async def _apply(controller: Controller, changes: tuple[Change, ...]) -> None:
    progress = apply_changes(controller.activation, changes)
    log_progress(controller, progress)
    if progress.missing is None:
        return
    digest = progress.missing.digest
    configuration = await ask(
        controller, lambda: store.load_result(controller.platform, digest)
    )
    _offer(controller, configuration)


def _offer(controller: Controller, configuration: Configuration) -> None:
    if configuration.version > 0:
        log_progress(
            controller, activate_if_newer(controller.activation, configuration)
        )
