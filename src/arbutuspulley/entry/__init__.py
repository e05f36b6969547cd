"""The shell of an entry: callers' HTTP, the view of its controller, relaying."""
