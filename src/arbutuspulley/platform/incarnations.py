"""Incarnations of backend servers.

A server may restart under the same id, with its former state lost. State that the
system keeps about a server is valid for one start only, so a start is identified by
the server's id and its start time. Inside the system both form one name, the
incarnation; on the wire a server is addressed by its id.
"""

_SEPARATOR = "@"


def build_incarnation(server_id: str, started_ms: int) -> str:
    """Return the name of one start of a server; no two starts have the same name.

    :param started_ms: when it started, in Unix ms; 0 if unknown.
    """
    if not started_ms and _SEPARATOR not in server_id:
        return server_id
    return f"{server_id}{_SEPARATOR}{started_ms}"


def get_server_id(incarnation: str) -> str:
    """Return a server's id on the wire."""
    server_id, separator, _started = incarnation.rpartition(_SEPARATOR)
    return server_id if separator else incarnation
