"""The platform's settings file, decoded into the instance's settings."""

import os
from pathlib import Path

import msgspec
import yaml

from arbutuspulley.clock import SECOND_MS
from arbutuspulley.decoding import Integer, Number, UndecodableError, guard_decoding
from arbutuspulley.ports.fleet import NodeSettings
from arbutuspulley.results import SettingError
from arbutuspulley.settings import Check, check_address, check_all

SETTINGS_VARIABLE = "ARBUTUSPULLEY_BOOT"
"""Environment variable that holds the path of the settings file."""


_CONTENTION_CONTRACT = "pressure"
"""Entry of ``Contracts`` in the settings of deployments whose callers compete for too
little capacity."""


class _Listen(msgspec.Struct, rename="pascal"):
    frontend: str = ""
    ready: str = ""
    control_plane: str = ""
    directory_service: str = ""


class _Bounds(msgspec.Struct, rename="pascal"):
    grace_s: Number = 8
    lease_ms: Integer = 3_000
    require_fencing: bool = False
    retry_budget_ratio: Number = 0.2
    retry_budget_extra: Number = 50
    budget_window_s: Number = 10
    config_apply_ms: Integer = 2_000
    revoke_fail_closed: bool = False
    revoke_ms: Integer = 5_000
    quota_window_s: Number = 10
    quota_overage: Number = 0
    quota_slack: Number = 0
    directory_ttl_s: Number = msgspec.field(name="ttl_max_s", default=5)


class _Limits(msgspec.Struct, rename="pascal"):
    cpu_share: Number = 1
    cores: Number = 1
    link_mbps: Number = 1_000
    memory_mb: Number = 0
    max_fds: Integer = 0


class _Store(msgspec.Struct, rename="pascal"):
    address: str = ""


class _File(msgspec.Struct, rename="pascal"):
    node_name: str = ""
    zone: str = ""
    region: str = ""
    listen: _Listen = msgspec.field(default_factory=_Listen)
    seeds: list[str] = msgspec.field(default_factory=list)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    contracts: list[str] = []
    heartbeat_ms: Integer = 1_200
    platform: _Store = msgspec.field(default_factory=_Store)


def find_settings() -> Path:
    """Return the path of the settings file.

    :raises SettingError: if the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingError(setting=SETTINGS_VARIABLE, detail="must be set")
    return Path(path)


def read_settings(path: Path) -> NodeSettings:
    """Read and check the settings file.

    :raises SettingError: if the file can't be read or decoded.
    :raises SettingsError: if values are invalid; it names each of them.
    """
    try:
        file = _decode(path.read_bytes())
    except (OSError, yaml.YAMLError, UndecodableError) as error:
        raise SettingError(setting=str(path), detail=str(error)) from error
    check_all(_list_checks(file))
    return NodeSettings(
        name=file.node_name,
        site=file.zone,
        region=file.region,
        frontend=file.listen.frontend,
        ready=file.listen.ready,
        directory=file.listen.directory_service,
        link=file.listen.control_plane,
        seeds=tuple(file.seeds),
        store=file.platform.address,
        grace_ms=int(file.bounds.grace_s * SECOND_MS),
        lease_ms=file.bounds.lease_ms,
        checks_fences=file.bounds.require_fencing,
        retry_ratio=file.bounds.retry_budget_ratio,
        retry_extra=file.bounds.retry_budget_extra,
        retry_window_ms=int(file.bounds.budget_window_s * SECOND_MS),
        directory_ttl_s=file.bounds.directory_ttl_s,
        apply_ms=file.bounds.config_apply_ms,
        heartbeat_ms=file.heartbeat_ms,
        revocation_ms=_get_revocation_ms(file.bounds),
        quota_window_ms=int(file.bounds.quota_window_s * SECOND_MS),
        quota_overage=file.bounds.quota_overage,
        quota_extra=file.bounds.quota_slack,
        # The process gets this share of each core and runs on one core at a time.
        cores=file.limits.cpu_share * file.limits.cores,
        link_mbps=file.limits.link_mbps,
        memory_mb=file.limits.memory_mb,
        descriptors=file.limits.max_fds,
        shares_contended=_CONTENTION_CONTRACT in file.contracts,
    )


@guard_decoding
def _decode(body: bytes) -> _File:
    return msgspec.convert(yaml.load(body, Loader=_find_loader()), _File)


def _get_revocation_ms(bounds: _Bounds) -> int | None:
    return bounds.revoke_ms if bounds.revoke_fail_closed else None


def _find_loader() -> type:
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _list_checks(file: _File) -> list[Check]:
    return [
        check_address("Listen.Frontend", file.listen.frontend),
        check_address("Listen.Ready", file.listen.ready),
        check_address("Listen.ControlPlane", file.listen.control_plane),
        check_address("Listen.DirectoryService", file.listen.directory_service),
        check_address("Platform.Address", file.platform.address),
    ]
