"""Delivery: the life cycle of a request, from admission to its complete answer."""
