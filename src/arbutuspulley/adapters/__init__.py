"""Adapters: thin clients that fill in the ports over HTTP."""
