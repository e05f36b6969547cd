"""The version that this process has in force, which only ever goes up.

Changes come from the table in order of revision, whole configurations from peers or
from the object store. Whatever the source, only a higher version is taken.
"""

from collections.abc import Iterable

from arbutuspulley.configuration.changes import Change
from arbutuspulley.configuration.difference import compute_digest
from arbutuspulley.configuration.schema import EMPTY, Configuration
from arbutuspulley.configuration.steps import apply_delta
from arbutuspulley.data import State, Value
from arbutuspulley.results import ConfigurationError

MAX_PENDING_CHANGES = 256
"""Changes kept that wait for the ones before them."""


class ActivationState(State):
    """What is in force here.

    :param configuration: the configuration in force.
    :param digest: its digest.
    :param accepted_version: the highest version known to be accepted.
    :param pending: accepted changes that cannot be applied yet, by version.
    """

    configuration: Configuration = EMPTY
    digest: str = ""
    accepted_version: int = 0
    pending: dict[int, Change] = {}


class ActivationResult(Value, frozen=True):
    """What a step brought.

    :param applied: versions that came into force, in order.
    :param ignored: versions below the one in force; expected after a store was
        restored to an older state (event 506).
    :param diverged: whether the store holds another content under the version in
        force here; the next accepted version settles it.
    :param missing: the change whose whole configuration must be loaded by its digest
        and offered, because steps before it are missing or its own do not fit.
    """

    applied: tuple[int, ...] = ()
    ignored: tuple[int, ...] = ()
    diverged: bool = False
    missing: Change | None = None


def is_ready(state: ActivationState) -> bool:
    """Return whether any accepted version is in force.

    A new instance that can reach neither the store nor a peer must not serve: what it
    would serve under, the empty configuration, was never accepted.
    """
    return state.configuration.version > 0


def apply_changes(
    state: ActivationState, changes: Iterable[Change]
) -> ActivationResult:
    """Bring accepted changes into force, strictly upward and without a gap."""
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
    """Take a whole configuration, from a peer or the object store, if it is newer."""
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
    """Return the result of a change, or ``None`` if its steps cannot be used.

    The steps belong to the content that the change was based on. After a store was
    restored, this instance may hold other content under the same version; applied to
    it, they would make a configuration that nobody approved. The digest shows that,
    and the whole configuration is then loaded instead.
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
    """Forget the lowest waiting changes; loading the highest one skips them."""
    for version in sorted(state.pending)[:-MAX_PENDING_CHANGES]:
        del state.pending[version]
