"""Names of headers and calls on the wire."""

ATTEMPT_ID = "X-Arbutuspulley-Attempt-Id"
"""Id of one attempt of a client; servers echo it."""

DEADLINE = "X-Arbutuspulley-Deadline-Ms"
"""How many milliseconds the sender will still wait."""

EXPECT_INSTANCE = "X-Arbutuspulley-Expect-Instance"
"""Incarnation that a request is meant for; another one answers 421."""

NOT_EXECUTED = "X-Arbutuspulley-Not-Executed"
"""Present if the server proves that it did not run the request."""

SEAL = "X-Arbutuspulley-Server-Seal"
"""Signature of the server that made the answer."""

MODEL = "X-Arbutuspulley-Model"
"""``MODEL`` or ``MODEL/ADAPTER``."""

TOKEN_USAGE = "X-Arbutuspulley-Token-Usage"
"""``PROMPT,OUTPUT``: tokens in the prompt, most tokens generated."""

LENGTH_HINT = "X-Arbutuspulley-Length-Hint"
"""How many output tokens the client expects; often far off."""

REQUEST_PRIORITY = "X-Arbutuspulley-Request-Priority"
"""Rank at a server, 0 to 9; 0 is served first, 5 if absent."""

LAST_EVENT_ID = "Last-Event-Id"
"""Id of the last event of a stream that reached the client."""

RETRY_AFTER = "Retry-After"
"""Seconds, with fractions, after which a refused client may come back."""

KEY = "X-Arbutuspulley-Key"
"""A client's key. It is never passed on."""

TEAM = "X-Arbutuspulley-Tenant"
"""Name of the team that the client's key belongs to, for servers."""

RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        KEY,
        TEAM,
        EXPECT_INSTANCE,
        NOT_EXECUTED,
        SEAL,
        REQUEST_PRIORITY,
        "X-Arbutuspulley-Expect-Version",
        "X-Arbutuspulley-Instance-Id",
        "X-Arbutuspulley-Weight-Versions",
        "X-Arbutuspulley-Hold",
        "X-Arbutuspulley-Pin-Ms",
        "X-Arbutuspulley-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
"""Headers that only the system may set; a client's are dropped."""

SERVER_LIMIT = "Server-Limit"
"""Requests a second that a server takes from all instances together, as long as its
answers name it."""

CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Headers that concern one connection, or that each hop computes anew."""

REPORT_PATH = "/report"
ORDER_PATH = "/order"
RESOLVE_PATH = "/resolve"
STORE_TRANSACT_PATH = "/rows-tx"
STORE_READ_PATH = "/rows-get"
STORE_FEED_PATH = "/rows-feed"

OPERATOR_TABLE = "op"
"""Table that the operator writes."""

CONFIGURATION_KEY = "config"
"""Row of the operator's table with the newest configuration."""

SERVERS_TABLE = "servers"
"""Table in which servers register, one row each, under their incarnation."""
