"""Reads accepted configuration changes from the store and activates them."""

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
from arbutuspulley.controller.platform_calls import call_platform
from arbutuspulley.controller.state import Controller
from arbutuspulley.data import State
from arbutuspulley.events import Event, log_event
from arbutuspulley.results import ConfigurationError


class ChangeCursor(State):
    """Position in the store's configuration changes after which the next read starts.

    :param is_initialised: whether the newest configuration has been read once.
    """

    is_initialised: bool = False
    revision: int = 0
    table_id: str = ""


async def follow_configuration(controller: Controller, cursor: ChangeCursor) -> None:
    """Read and activate the changes accepted since the last call.

    :raises PlatformUnavailableError: if the platform did not answer.
    """
    try:
        if not cursor.is_initialised:
            await _load_snapshot(controller, cursor)
        await _read_changes(controller, cursor)
    except (ConfigurationError, msgspec.MsgspecError) as error:
        log_event(Event.CONFIGURATION_REFUSED, level=logging.ERROR, detail=str(error))


def log_activation(controller: Controller, result: ActivationResult) -> None:
    """Log which versions were activated, ignored or refused."""
    for version in result.applied:
        log_event(Event.CONFIGURATION_IN_FORCE, version=version)
    if result.applied:
        version = controller.activation.configuration.version
        controller.metrics.configuration_version.set(version)
    if result.ignored:
        log_event(
            Event.OLDER_CONFIGURATION_IGNORED,
            level=logging.WARNING,
            versions=result.ignored,
        )
    if result.diverged:
        log_event(
            Event.CONFIGURATION_REFUSED,
            level=logging.ERROR,
            detail="the store holds different content for the active version",
        )


async def _load_snapshot(controller: Controller, cursor: ChangeCursor) -> None:
    snapshot = await call_platform(
        controller, lambda: store.load_snapshot(controller.platform)
    )
    _activate(controller, snapshot.configuration)
    cursor.is_initialised = True
    cursor.revision, cursor.table_id = snapshot.revision, snapshot.table_id


async def _read_changes(controller: Controller, cursor: ChangeCursor) -> None:
    more = True
    while more:
        page = await _read_page(controller, cursor)
        cursor.revision, cursor.table_id = page.revision, page.table_id
        if page.restored is not None:
            _activate(controller, page.restored)
        await _apply_changes(controller, page.changes)
        more = page.more


async def _read_page(controller: Controller, cursor: ChangeCursor) -> ChangePage:
    revision, table_id = cursor.revision, cursor.table_id
    platform = controller.platform
    return await call_platform(
        controller, lambda: store.read_changes(platform, revision, table_id=table_id)
    )


async def _apply_changes(controller: Controller, changes: tuple[Change, ...]) -> None:
    result = apply_changes(controller.activation, changes)
    log_activation(controller, result)
    if result.missing is None:
        return
    digest = result.missing.digest
    configuration = await call_platform(
        controller, lambda: store.load_result(controller.platform, digest)
    )
    _activate(controller, configuration)


def _activate(controller: Controller, configuration: Configuration) -> None:
    if configuration.version > 0:
        log_activation(
            controller, activate_if_newer(controller.activation, configuration)
        )
