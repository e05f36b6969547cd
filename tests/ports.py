"""Free loopback ports for tests."""

import socket


def find_free_address() -> str:
    """Return ``127.0.0.1:port`` with a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
