"""Routing: which server gets a request, which entry a caller is told."""
