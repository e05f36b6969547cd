"""Whole instances in one process, in virtual time and without a network.

The instances, their HTTP servers and clients run unchanged on an event loop whose clock
jumps to the next timer. No program of the platform imports this package.
"""

from arbutuspulley.simulation.loop import StalledError, VirtualLoop
from arbutuspulley.simulation.network import Cut, Network
from arbutuspulley.simulation.party import Party, get_party
from arbutuspulley.simulation.sources import simulate_sources

__all__ = [
    "Cut",
    "Network",
    "Party",
    "StalledError",
    "VirtualLoop",
    "get_party",
    "simulate_sources",
]
