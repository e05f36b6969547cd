"""Ports: what decisions see of the platform and of backend servers."""
