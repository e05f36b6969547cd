"""Names of servers' starts.

A server may start again under the id that it had, and then knows nothing of before.
What is believed of a server belongs to one start of it, so starts are told apart by
the id and the time of the start together. Inside the system that is one name, the
incarnation; on the wire a server goes by its id.
"""

_SEPARATOR = "@"


def build_incarnation(server_id: str, started_ms: int) -> str:
    """Name a start of a server; no two starts have the same name.

    :param started_ms: when it started, in Unix ms; 0 if it does not say.
    """
    if not started_ms and _SEPARATOR not in server_id:
        return server_id
    return f"{server_id}{_SEPARATOR}{started_ms}"


def get_server_id(incarnation: str) -> str:
    """Return the id under which a server goes on the wire."""
    server_id, separator, _born = incarnation.rpartition(_SEPARATOR)
    return server_id if separator else incarnation
