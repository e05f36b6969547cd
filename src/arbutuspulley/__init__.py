"""Serves many language models and their adapters on fewer accelerators."""

from arbutuspulley.clock import Clock
from arbutuspulley.configuration.schema import Base, Configuration, Overlay
from arbutuspulley.results import (
    ArbutusError,
    Code,
    ConfigurationError,
    PlatformUnavailableError,
    RequestError,
    RunState,
    SettingError,
)

__all__ = [
    "ArbutusError",
    "Base",
    "Clock",
    "Code",
    "Configuration",
    "ConfigurationError",
    "Overlay",
    "PlatformUnavailableError",
    "RequestError",
    "RunState",
    "SettingError",
]
