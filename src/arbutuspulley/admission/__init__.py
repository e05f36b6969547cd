"""Admission control: fair shares, queueing and refusal of requests."""
