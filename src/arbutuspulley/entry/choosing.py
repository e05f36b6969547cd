"""Choice of the server for an attempt, out of the controller's latest view."""

from arbutuspulley.admission import queue
from arbutuspulley.entry.state import Attempt, Ongoing, Runtime
from arbutuspulley.routing import choice
from arbutuspulley.rpc.messages import ServerSummary


def choose_server(
    runtime: Runtime,
    ongoing: Ongoing,
    *,
    avoid: frozenset[str],
    barred: frozenset[str] = frozenset(),
) -> str | None:
    """Return the server for the next attempt, if there is one.

    :param avoid: servers to leave out unless they are alive and the only ones.
    :param barred: servers to leave out in any case.
    """
    state = runtime.state
    twin = _find_twin(runtime, ongoing)
    if twin and twin not in avoid | barred:
        return twin
    full = queue.list_full(state.admission, ongoing.call.request_id)
    # A server that broke off and yet answers may be the only one with the model.
    for left_out in (avoid | full, avoid, avoid - ongoing.alive):
        server = choice.choose_server(
            state.routing,
            servers=state.view.servers if state.view else (),
            item=ongoing.item.key,
            cost=ongoing.cost,
            avoid=left_out | barred,
            now=runtime.clock.now(),
            chance=runtime.chance,
        )
        if server is not None:
            return server
    return None


def _find_twin(runtime: Runtime, ongoing: Ongoing) -> str:
    """Return the server that runs the very same request now, if any.

    A caller that sends a poison request several times at once would otherwise have
    it run on several servers before the first death shows what it is.
    """
    for other in runtime.state.ongoing.values():
        if other.fingerprint != ongoing.fingerprint or other is ongoing:
            continue
        summary = _find_usable(runtime, other.attempt)
        if summary is not None:
            return summary.server
    return ""


def _find_usable(runtime: Runtime, attempt: Attempt | None) -> ServerSummary | None:
    if attempt is None:
        return None
    summary = runtime.state.summaries.get(attempt.server)
    if summary is None or summary.leaving or not summary.alive:
        return None
    return summary
