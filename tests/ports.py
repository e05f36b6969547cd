"""Free loopback ports for tests."""

from scripts.launcher import find_free_addresses


def find_free_address() -> str:
    """Return ``127.0.0.1:port`` with a currently free port; it is not reserved."""
    return find_free_addresses(1)[0]
