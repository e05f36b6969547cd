"""What becomes of a request that one instance sends to a server for another."""

import enum


class RelayOutcome(enum.StrEnum):
    """Outcome of a relayed request.

    ``ANSWERED``: the answer is the server's. All others prove that nothing was sent to
    the server: ``UNREACHED``: no connection to it could be opened. ``CUT_OFF``: the
    same, but the relaying instance doubts its own network. ``EXCLUDED``: the server is
    leaving, or wants no requests from the relaying instance. ``UNKNOWN_SERVER``: the
    relaying instance does not know it. ``BUSY``: the instance relays too much already,
    or is stopping.
    """

    ANSWERED = "answered"
    UNREACHED = "unreached"
    CUT_OFF = "cut_off"
    EXCLUDED = "excluded"
    UNKNOWN_SERVER = "unknown_server"
    BUSY = "busy"
