"""Names on the wire: headers, paths, tables and keys."""

ATTEMPT_ID = "X-Arbutuspulley-Attempt-Id"
"""Id of one attempt of a client; servers return it in their answer."""

DEADLINE = "X-Arbutuspulley-Deadline-Ms"
"""Remaining time that the sender waits, in ms."""

EXPECT_INSTANCE = "X-Arbutuspulley-Expect-Instance"
"""Id of the server that a request is meant for; another one answers 421."""

NOT_EXECUTED = "X-Arbutuspulley-Not-Executed"
"""Present if the server proves that it did not run the request."""

SEAL = "X-Arbutuspulley-Server-Seal"
"""Signature of the server that made the answer."""

MODEL = "X-Arbutuspulley-Model"
"""``MODEL`` or ``MODEL/ADAPTER``."""

TOKEN_USAGE = "X-Arbutuspulley-Token-Usage"
"""``PROMPT,OUTPUT``: tokens in the prompt, maximum tokens generated."""

PROMPT_PREFIX = "X-Arbutuspulley-Prompt-Prefix"
"""Parts of the prompt in order, as ``ID:TOKENS,ID:TOKENS``; ids are hexadecimal. The
last part belongs to the request or its session alone, the others may be shared."""

LENGTH_HINT = "X-Arbutuspulley-Length-Hint"
"""Output tokens that the client expects; often inaccurate."""

REQUEST_PRIORITY = "X-Arbutuspulley-Request-Priority"
"""Rank at a server, 0 to 9; 0 is served first, 5 if absent."""

WEIGHT_VERSIONS = "X-Arbutuspulley-Weight-Versions"
"""Version of the weights by which a server answers. An event of a stream from which on
it is another one begins with a line of this name, in lowercase."""

LAST_EVENT_ID = "Last-Event-Id"
"""Id of the last event of a stream that reached the client."""

RESUMES = "Resumes"
"""Id of the attempt that brought the first event of a stream that a client resumes."""

RETRY_AFTER = "Retry-After"
"""Seconds, with fractions, after which a refused client may retry. In a server's 503 it
is how long the server wants no requests from the instance that it answers."""

KEY = "X-Arbutuspulley-Key"
"""A client's API key. It is never forwarded."""

TEAM = "X-Arbutuspulley-Tenant"
"""Name of the team that the client's key belongs to; sent to servers."""

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
        WEIGHT_VERSIONS,
        "X-Arbutuspulley-Hold",
        "X-Arbutuspulley-Pin-Ms",
        "X-Arbutuspulley-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
"""Headers that only the system may set; those of clients are dropped."""

SERVER_LIMIT = "Server-Limit"
"""Rate limit of a server over all instances, in requests per second. It applies as
long as the server's answers have this header."""

SERVER_BRITTLE = "Server-Brittle"
"""Refusals per second for want of room beyond which a server falls over. It applies as
long as the server's answers have this header."""

SERVER_LEAVING = "Server-Leaving"
"""``1`` in all answers of a server that is draining."""

STORE_ERA = "Store-Era"
"""Number that the store sends in all its answers. It rises by one each time the store
has come back from an older copy of its data."""

RELAY_TO = "Arbutus-Relay-To"
"""Incarnation of the server to which an instance asks another one to send a request."""

RELAY_OUTCOME = "Arbutus-Relay-Outcome"
"""What became of such a request; present in all answers to it."""

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
        RELAY_TO.lower(),
        RELAY_OUTCOME.lower(),
    )
)
"""Hop-by-hop headers, and headers that each hop computes itself."""

REPORT_PATH = "/report"
ORDER_PATH = "/order"
KEPT_PARTS_PATH = "/kv-list"
RESOLVE_PATH = "/resolve"
STORE_TRANSACT_PATH = "/rows-tx"
STORE_READ_PATH = "/rows-get"
STORE_FEED_PATH = "/rows-feed"

OPERATOR_TABLE = "op"
"""Table that the operator writes."""

CONFIGURATION_KEY = "config"
"""Key of the operator's row with the newest configuration."""

SERVERS_TABLE = "servers"
"""Table in which servers register, one row each, under their id."""
