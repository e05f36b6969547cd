"""Configuration: files, merging, changes, and the version in force."""
