"""The active configuration of a process, whose version never decreases.

Changes are read from the table in order of revision; full configurations come from
peers or the object store. Only a version higher than the active one is activated,
whatever its source.
"""

from collections.abc import Iterable

from arbutuspulley.configuration.changes import Change
from arbutuspulley.configuration.difference import compute_digest
from arbutuspulley.configuration.patch import apply_delta
from arbutuspulley.configuration.schema import EMPTY, Configuration
from arbutuspulley.data import State, Value
from arbutuspulley.results import ConfigurationError

MAX_PENDING_CHANGES = 256
"""Maximum number of accepted changes kept until the ones before them arrive."""


class ActivationState(State):
    """The active configuration and the changes that are still to be applied.

    :param configuration: the active configuration.
    :param digest: digest of the active configuration.
    :param accepted_version: the highest version known to be accepted.
    :param pending: accepted changes that cannot be applied yet, by version.
    """

    configuration: Configuration = EMPTY
    digest: str = ""
    accepted_version: int = 0
    pending: dict[int, Change] = {}


class ActivationResult(Value, frozen=True):
    """The result of applying changes or a full configuration.

    :param applied: versions that were activated, in order.
    :param ignored: versions below the active one; expected after the store was
        restored to an older state (event 506).
    :param diverged: whether the active version has different content in the store;
        the next accepted version resolves this.
    :param missing: the change whose full configuration must be loaded by its digest
        and passed to :func:`activate_if_newer`, because changes before it are missing
        or its own delta cannot be applied.
    """

    applied: tuple[int, ...] = ()
    ignored: tuple[int, ...] = ()
    diverged: bool = False
    missing: Change | None = None


def is_ready(state: ActivationState) -> bool:
    """Return whether any accepted version is active.

    A new instance that can reach neither the store nor a peer must not serve requests:
    its configuration is the empty one, which was never accepted.
    """
    return state.configuration.version > 0


def apply_changes(
    state: ActivationState, changes: Iterable[Change]
) -> ActivationResult:
    """Activate accepted changes in strictly ascending order and without gaps."""
    ignored = []
    diverged = False
    for change in changes:
        state.accepted_version = max(state.accepted_version, change.version)
        if change.version > state.configuration.version:
            state.pending[change.version] = change
        elif change.version < state.configuration.version:
            ignored.append(change.version)
        else:
            diverged = diverged or change.digest != state.digest
    applied = _apply_pending(state)
    _evict_lowest_pending(state)
    return ActivationResult(
        applied=tuple(applied),
        ignored=tuple(ignored),
        diverged=diverged,
        missing=state.pending[max(state.pending)] if state.pending else None,
    )


def activate_if_newer(
    state: ActivationState, configuration: Configuration
) -> ActivationResult:
    """Activate a full configuration of a peer or the object store if it is newer."""
    version = configuration.version
    state.accepted_version = max(state.accepted_version, version)
    if version < state.configuration.version:
        return ActivationResult(ignored=(version,))
    if version == state.configuration.version:
        is_different = configuration != state.configuration
        return ActivationResult(diverged=is_different)
    _activate(state, configuration, compute_digest(configuration))
    applied = [version, *_apply_pending(state)]
    return ActivationResult(
        applied=tuple(applied),
        missing=state.pending[max(state.pending)] if state.pending else None,
    )


def _apply_pending(state: ActivationState) -> list[int]:
    applied: list[int] = []
    while (change := state.pending.get(state.configuration.version + 1)) is not None:
        result = _apply(state.configuration, change)
        if result is None:
            break
        _activate(state, result, change.digest)
        applied.append(change.version)
    return applied


def _apply(configuration: Configuration, change: Change) -> Configuration | None:
    """Return the result of a change, or ``None`` if its delta cannot be applied.

    A delta is valid only for the content that the change was based on. After the store
    was restored, this instance may hold different content under the same version; the
    delta applied to it would give a configuration that nobody approved. The digest
    detects this, and the full configuration is then loaded instead.
    """
    if change.delta is None:
        return None
    try:
        result = apply_delta(configuration, change.delta)
    except ConfigurationError:
        return None
    return result if compute_digest(result) == change.digest else None


def _activate(
    state: ActivationState, configuration: Configuration, digest: str
) -> None:
    state.configuration = configuration
    state.digest = digest
    for version in [known for known in state.pending if known <= configuration.version]:
        del state.pending[version]


def _evict_lowest_pending(state: ActivationState) -> None:
    """Evict the lowest pending changes; loading the highest one skips them."""
    for version in sorted(state.pending)[:-MAX_PENDING_CHANGES]:
        del state.pending[version]
