"""Development scripts: launcher, demo and measurements."""
