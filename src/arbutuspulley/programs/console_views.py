"""Builds the operators' views of the fleet from a controller's status, without I/O."""

from collections.abc import Iterator

import msgspec
import yaml

from arbutuspulley.configuration.difference import HIDDEN
from arbutuspulley.configuration.schema import EMPTY, Configuration
from arbutuspulley.programs.console_messages import StatusView
from arbutuspulley.results import Code, ConfigurationError
from arbutuspulley.rpc.messages import FleetStatus, InstanceStatus


def choose_active_configuration(
    status: FleetStatus, *, stored_version: int
) -> Configuration:
    """Return the active configuration if it is newer than the store's.

    After the store has been restored to an older state, the instances have versions
    that are missing in the store. A change has to be based on the instances' version
    then; otherwise its number would be below the active one.

    :param status: status from the console's controller.
    :param stored_version: newest version in the store.
    :return: the empty configuration if the store has the newest version.
    :raises ConfigurationError: if a newer version is active on an instance but its
        content has not reached this controller yet.
    """
    known = status.configuration or EMPTY
    newest = max([status.accepted_version, *_list_versions(status)])
    if newest <= max(stored_version, known.version):
        return known
    raise ConfigurationError(
        code=Code.NOT_READY,
        detail=(
            f"version {newest} is in force at {_find_holder(status, newest)}, the "
            f"store holds {stored_version} and this instance {known.version}; "
            "try again in a few seconds"
        ),
    )


def build_status_view(
    status: FleetStatus | None, *, stored_version: int | None
) -> StatusView:
    """Return the active versions of the fleet.

    :param status: status from the console's controller; ``None`` if unavailable.
    :param stored_version: newest version in the store; ``None`` if unavailable.
    """
    fleet = status or FleetStatus(accepted_version=0)
    active_version = max(_list_versions(fleet), default=0)
    accepted = max(stored_version or 0, fleet.accepted_version, active_version)
    active_on = [
        instance.instance
        for instance in fleet.instances
        if is_active(instance, accepted)
    ]
    waiting = [
        instance.instance
        for instance in fleet.instances
        if instance.instance not in active_on
    ]
    alarms = _list_alarms(status, stored_version=stored_version, accepted=accepted)
    return StatusView(
        summary=_summarise(accepted, active_on, waiting),
        accepted_version=accepted,
        stored_version=stored_version,
        instances=fleet.instances,
        in_force_on=tuple(active_on),
        waiting_for=tuple(waiting),
        alarms=tuple(alarms),
    )


def is_active(instance: InstanceStatus, version: int) -> bool:
    """Return whether an instance and all its entries have at least a version."""
    if not instance.reachable:
        return False
    versions = (instance.configuration_version, *instance.entry_versions.values())
    return min(versions) >= version


def write_merged(configuration: Configuration) -> str:
    """Return a configuration as YAML, with the hashes of callers' keys redacted."""
    content = msgspec.to_builtins(configuration)
    for site in content.get("sites", {}).values():
        for caller in site.get("callers", {}).values():
            caller["key_sha256"] = HIDDEN
    return yaml.dump(content, Dumper=_PlainDumper, sort_keys=False)


class _PlainDumper(yaml.SafeDumper):
    """Writes equal sections of several sites in full instead of as YAML aliases."""

    def ignore_aliases(self, data: object) -> bool:
        """Return true for all data, so that no alias is written."""
        return True


def _list_versions(status: FleetStatus) -> list[int]:
    return [
        version
        for instance in status.instances
        for version in (
            instance.configuration_version,
            *instance.entry_versions.values(),
        )
    ]


def _find_holder(status: FleetStatus, version: int) -> str:
    for instance in status.instances:
        if version in (
            instance.configuration_version,
            *instance.entry_versions.values(),
        ):
            return instance.instance
    return "an instance"


def _summarise(accepted: int, active_on: list[str], waiting: list[str]) -> str:
    if accepted == 0:
        return "nothing accepted yet"
    total = len(active_on) + len(waiting)
    if total == 0:
        return f"accepted {accepted}: no instance known"
    summary = f"accepted {accepted}: in force on {len(active_on)} of {total}"
    return f"{summary}, waiting for {', '.join(waiting)}" if waiting else summary


def _list_alarms(
    status: FleetStatus | None, *, stored_version: int | None, accepted: int
) -> Iterator[str]:
    if status is None:
        yield "the controller of this instance does not answer: nothing can be approved"
    if stored_version is None:
        yield "the store does not answer: nothing can be approved, serving goes on"
    elif stored_version < accepted:
        yield (
            f"the store holds version {stored_version}, older than {accepted} in "
            f"force: it was restored. Roll forward version {accepted} and approve it"
        )
    for instance in status.instances if status else ():
        if not instance.reachable:
            yield f"{instance.instance} does not answer"
