"""Admission: fair shares, waiting and refusal of requests."""
