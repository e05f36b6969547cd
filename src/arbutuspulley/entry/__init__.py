"""The entry process: serves callers over HTTP and forwards requests to servers."""
