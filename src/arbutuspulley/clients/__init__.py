"""Clients' connections: how many there may be, how long, and what they may hold."""
