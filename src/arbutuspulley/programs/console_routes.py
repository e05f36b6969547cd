"""The operations of the operators' API by method and path."""

from collections.abc import Mapping

from arbutuspulley.configuration import store
from arbutuspulley.programs import console_api as api
from arbutuspulley.programs.console_http import (
    Call,
    Metrics,
    Route,
    Site,
    decode_body,
    decode_number,
)
from arbutuspulley.programs.console_messages import (
    ApproveRequest,
    ProposeRequest,
    RollForwardRequest,
)
from arbutuspulley.programs.console_page import load_page
from arbutuspulley.results import PlatformUnavailableError
from arbutuspulley.rpc.channel import PeerUnavailableError


def build_site(backend: api.Backend, operators: Mapping[str, str]) -> Site:
    """Return all that a console answers.

    :param operators: hex SHA-256 of each operator's key, by name.
    """
    return Site(
        routes=build_routes(backend),
        operators=operators,
        page=load_page(),
        metrics=Metrics(),
        find_unready=lambda: _find_unready(backend),
    )


def build_routes(backend: api.Backend) -> tuple[Route, ...]:
    """Return the operations of the API."""

    def propose(call: Call) -> api.ProposalView:
        request = decode_body(call.body, ProposeRequest)
        return api.propose(backend, call.operator, request)

    def approve(call: Call) -> api.ApprovalView:
        request = decode_body(call.body, ApproveRequest)
        return api.approve(backend, call.operator, call.names[0], request)

    def roll_forward(call: Call) -> api.ProposalView:
        request = decode_body(call.body, RollForwardRequest)
        return api.roll_forward(backend, call.operator, request)

    def show_version(call: Call) -> api.VersionView:
        return api.show_version(backend, decode_number("version", call.names[0]))

    def show_merged(call: Call) -> api.MergedView:
        text = call.query.get("version")
        version = None if text is None else decode_number("version", text)
        proposal = call.query.get("proposal")
        return api.show_merged(backend, version=version, proposal=proposal)

    handlers = {
        ("POST", "proposals"): propose,
        ("GET", "proposals"): lambda _call: api.list_proposals(backend),
        ("GET", "proposals/*"): lambda call: api.show_proposal(backend, call.names[0]),
        ("POST", "proposals/*/approve"): approve,
        ("POST", "proposals/*/withdraw"): lambda call: api.withdraw(
            backend, call.names[0]
        ),
        ("POST", "roll-forward"): roll_forward,
        ("GET", "versions"): lambda _call: api.list_versions(backend),
        ("GET", "versions/*"): show_version,
        ("GET", "merged"): show_merged,
        ("GET", "status"): lambda _call: api.show_status(backend),
    }
    return tuple(
        Route(method=method, path=tuple(path.split("/")), name=path, handle=handle)
        for (method, path), handle in handlers.items()
    )


def _find_unready(backend: api.Backend) -> tuple[str, ...]:
    """Return why nothing can be approved now, one line each."""
    reasons = []
    try:
        store.read_head_version(backend.platform)
    except PlatformUnavailableError as error:
        reasons.append(error.show())
    try:
        backend.fetch_status(api.NO_CONFIGURATION)
    except PeerUnavailableError as error:
        reasons.append(error.show())
    return tuple(reasons)
