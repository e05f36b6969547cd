"""The controller of one instance: loops, RPC handlers and the state they share."""
