"""Delivery: the life of one request, from admission to its whole answer."""
