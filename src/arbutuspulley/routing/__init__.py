"""Routing: chooses servers for requests and entries for callers."""
