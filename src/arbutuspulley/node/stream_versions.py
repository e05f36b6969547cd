"""Keeps the streams of callers at the software version that began them."""

from collections.abc import Iterable

from arbutuspulley.delivery.begun_streams import (
    BegunStream,
    build_stream_key,
    compute_retention_ms,
)
from arbutuspulley.node.messages import ResponseStarted, StreamCopies
from arbutuspulley.node.progress import Progress, RequestFailedError
from arbutuspulley.node.state import NodeState
from arbutuspulley.ports.fleet import (
    InboundRequest,
    RetryPolicy,
    Route,
    ServerEntry,
    SoftwareVersion,
)
from arbutuspulley.results import Code

UNKNOWN_REASON = (
    f"{Code.STREAM_VERSION_UNKNOWN.value} the software version that began the stream"
    " is not known"
)

GONE_REASON = (
    f"{Code.STREAM_VERSION_GONE.value} no server of the software version that began"
    " the stream is left"
)

UNREAD_REASON = (
    f"{Code.STREAM_VERSION_UNREAD.value} the software version that began the stream"
    " is not known until the store can be read"
)

UNREAD_RETRY_MS = 1_000
"""When a caller should come back whose stream's version can't be read, in ms."""

MAX_STREAMS_IN_HELLO = 20_000
"""Maximum number of streams that a new coordinator is told of, about 0.2 MB."""

UNNAMED_STREAM = 0
"""Key of a stream whose caller does not name the attempt that began it."""


def resume_stream(
    state: NodeState, request: InboundRequest, route: Route, progress: Progress
) -> None:
    """Find the version at which a request that resumes a stream has to go on.

    :raises RequestFailedError: if the route has no share at the service that began it.
    """
    if route.is_stream:
        progress.resumed_stream = get_resumed_stream(request)
    if progress.resumed_stream is None:
        return
    now = state.clock.now()
    begun = state.begun_streams.find(progress.resumed_stream, now=now)
    if begun is None:
        progress.is_version_unknown = state.software_versions.is_mixed(
            progress.service, now=now
        )
        return
    if begun.service not in {share.service for share in route.shares}:
        raise RequestFailedError(status=503, reason=GONE_REASON)
    progress.service = begun.service
    set_version(progress, begun.version, source="memory")


def get_resumed_stream(request: InboundRequest) -> int | None:
    """Return the key of the stream that a request resumes; ``None``: it begins one."""
    if request.resumed_attempt:
        return build_stream_key(request.resumed_attempt)
    return UNNAMED_STREAM if request.resumes else None


def set_version(progress: Progress, version: SoftwareVersion, *, source: str) -> None:
    """Let a request go on only at servers of a version.

    :param source: how the version is known.
    """
    progress.version = version
    progress.version_source = source
    progress.is_version_unknown = False


def is_allowed(progress: Progress, entry: ServerEntry) -> bool:
    """Return whether a request may go on at a server."""
    if progress.is_version_unknown:
        return False
    return progress.version in (None, entry.software_version)


def get_doubt_end(state: NodeState, route: Route, entry: ServerEntry) -> int:
    """Return until when a stream may not begin or go on at a server, in ms.

    The server may have started again with another software version, and its entry may
    not tell so yet. That matters to streams that may be resumed, at services of which
    several versions may have streams.

    :return: 0 if the start that its entry names is certain.
    """
    if route.retry_policy is not RetryPolicy.RESUME:
        return 0
    end = state.server_starts.get_doubt_end(entry.incarnation)
    if not end:
        return 0
    is_mixed = state.software_versions.is_mixed(entry.service, now=state.clock.now())
    return end if is_mixed else 0


def is_version_gone(state: NodeState, progress: Progress) -> bool:
    """Return whether no server is left at which a request may go on.

    Until any server has been listed, their rows have not been read yet.
    """
    if progress.version is None or not state.software_versions.has_listed:
        return False
    return not any(
        entry.software_version == progress.version and not entry.is_leaving
        for entry in state.by_service.get(progress.service, ())
    )


def record_first_event(
    state: NodeState,
    request: InboundRequest,
    route: Route,
    progress: Progress,
    *,
    took_ms: int,
) -> ResponseStarted:
    """Remember the stream of a request whose server has sent its first event.

    :param took_ms: time since the request was sent to the server.
    :return: the message that reports it to the coordinator.
    """
    now = state.clock.now()
    if progress.version is None:
        set_version(progress, progress.server_version, source="first event")
    assert progress.version is not None
    wait_ms = route.timeout_ms if request.wait_ms is None else request.wait_ms
    retention_ms = compute_retention_ms(progress.started_at + wait_ms - now)
    stream = progress.resumed_stream or build_stream_key(request.attempt_id)
    state.begun_streams.add(
        stream,
        BegunStream(
            service=progress.service,
            version=progress.version,
            expires_at=now + retention_ms,
        ),
        now=now,
    )
    return ResponseStarted(
        key=request.attempt_id,
        incarnation=progress.server,
        took_ms=took_ms,
        service=progress.service,
        version=progress.version.name,
        retention_ms=retention_ms,
        stream=progress.resumed_stream or 0,
    )


def get_stream_key(message: ResponseStarted) -> int:
    """Return the key of the stream of an answer that has started."""
    return message.stream or build_stream_key(message.key)


def add_copies(state: NodeState, copies: Iterable[StreamCopies]) -> None:
    """Remember streams that another instance has told of."""
    now = state.clock.now()
    for group in copies:
        version = SoftwareVersion(name=group.version)
        for key, retention_ms in group.streams:
            stream = BegunStream(
                service=group.service, version=version, expires_at=now + retention_ms
            )
            state.begun_streams.add(key, stream, now=now)


def build_copies(
    streams: dict[int, BegunStream], *, now: int
) -> tuple[StreamCopies, ...]:
    """Build messages that tell another instance of streams, one for each version."""
    groups: dict[tuple[str, SoftwareVersion], list[tuple[int, int]]] = {}
    for key, stream in streams.items():
        group = groups.setdefault((stream.service, stream.version), [])
        group.append((key, stream.expires_at - now))
    return tuple(
        StreamCopies(service=service, version=version.name, streams=tuple(group))
        for (service, version), group in groups.items()
    )


def list_copies(state: NodeState) -> tuple[StreamCopies, ...]:
    """Return what this instance knows, for a new coordinator."""
    now = state.clock.now()
    newest = state.begun_streams.list_newest(MAX_STREAMS_IN_HELLO, now=now)
    return build_copies(newest, now=now)
