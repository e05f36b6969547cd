"""Node process of an instance: entry for callers, directory and elected coordinator."""
