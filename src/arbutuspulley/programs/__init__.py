"""Entry points of the programs: command lines, process start-up and wiring."""
