"""Membership: session leases and ownership of servers."""
