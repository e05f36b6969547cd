"""Placement: which server holds which item, and the memory ledger."""
