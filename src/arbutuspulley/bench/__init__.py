"""The bench: compares policies under load, with real processes on loopback."""
