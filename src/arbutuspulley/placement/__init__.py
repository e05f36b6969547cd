"""Placement: which server loads which model or adapter, and the memory ledger."""
