"""Adapters: thin HTTP clients that implement the ports."""
