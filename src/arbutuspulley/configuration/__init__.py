"""Configuration: files, merging, changes, and activation of accepted versions."""
