"""Stand-ins for the platform and backend servers, for demos and tests."""
