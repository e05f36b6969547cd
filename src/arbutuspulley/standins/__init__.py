"""Stand-ins for the platform and backend servers, used by demos and tests."""
