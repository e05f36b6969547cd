"""The controller of one instance: its loops, its handlers and what they share."""
