"""Model servers of one service: loaded models, running requests, waiting requests.

One coordinator holds this state for each service. All decisions are pure functions of
state and time. Correctness does not depend on them alone: each order is a
compare-and-set at the server, and each request names the incarnation of the server
that may run it.
"""
