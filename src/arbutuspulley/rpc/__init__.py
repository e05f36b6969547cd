"""Calls between the system's own processes."""
