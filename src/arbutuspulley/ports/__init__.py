"""Ports: interfaces and types for the platform and for backend servers."""
