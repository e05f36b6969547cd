"""The programs: shells around the decisions, one module for each."""
