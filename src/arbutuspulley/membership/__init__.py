"""Membership: leases of sessions and of the coordinator, and ownership of servers."""
