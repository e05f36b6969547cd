"""Routes of the operators' API: its operations by method and path."""

from collections.abc import Mapping

from arbutuspulley.configuration import store
from arbutuspulley.programs import console_api as api
from arbutuspulley.programs.console_http import (
    Call,
    Metrics,
    Route,
    WebRoot,
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


def build_web_root(context: api.ApiContext, operators: Mapping[str, str]) -> WebRoot:
    """Build the root object of the console's HTTP application.

    :param operators: hex SHA-256 of each operator's key, by name.
    """
    return WebRoot(
        routes=build_routes(context),
        operators=operators,
        page=load_page(),
        metrics=Metrics(),
        find_unready=lambda: _find_unready(context),
    )


def build_routes(context: api.ApiContext) -> tuple[Route, ...]:
    """Return the routes of the API."""

    def propose(call: Call) -> api.ProposalView:
        request = decode_body(call.body, ProposeRequest)
        return api.propose(context, call.operator, request)

    def approve(call: Call) -> api.ApprovalView:
        request = decode_body(call.body, ApproveRequest)
        return api.approve(context, call.operator, call.names[0], request)

    def roll_forward(call: Call) -> api.ProposalView:
        request = decode_body(call.body, RollForwardRequest)
        return api.roll_forward(context, call.operator, request)

    def show_version(call: Call) -> api.VersionView:
        return api.show_version(context, decode_number("version", call.names[0]))

    def show_merged(call: Call) -> api.MergedView:
        text = call.query.get("version")
        version = None if text is None else decode_number("version", text)
        proposal = call.query.get("proposal")
        return api.show_merged(context, version=version, proposal=proposal)

    handlers = {
        ("POST", "proposals"): propose,
        ("GET", "proposals"): lambda _call: api.list_proposals(context),
        ("GET", "proposals/*"): lambda call: api.show_proposal(context, call.names[0]),
        ("POST", "proposals/*/approve"): approve,
        ("POST", "proposals/*/withdraw"): lambda call: api.withdraw(
            context, call.names[0]
        ),
        ("POST", "roll-forward"): roll_forward,
        ("GET", "versions"): lambda _call: api.list_versions(context),
        ("GET", "versions/*"): show_version,
        ("GET", "merged"): show_merged,
        ("GET", "status"): lambda _call: api.show_status(context),
    }
    return tuple(
        Route(method=method, path=tuple(path.split("/")), name=path, handle=handle)
        for (method, path), handle in handlers.items()
    )


def _find_unready(context: api.ApiContext) -> tuple[str, ...]:
    """Return the reasons why no change can be approved now, one line each."""
    reasons = []
    try:
        store.read_head_version(context.platform)
    except PlatformUnavailableError as error:
        reasons.append(error.show())
    try:
        context.fetch_status(api.ABOVE_ALL_VERSIONS)
    except PeerUnavailableError as error:
        reasons.append(error.show())
    return tuple(reasons)
