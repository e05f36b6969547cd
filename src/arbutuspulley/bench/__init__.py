"""Compares policies under load, with real processes on the loopback interface."""
