"""The operators' page: one HTML file with all it needs, made for a phone."""

import base64
import hashlib
import re
from importlib import resources

from arbutuspulley.data import Value

_FILE = "console.html"
_INLINE = re.compile(rb"<(script|style)>(.*?)</\1>", re.DOTALL)


class Page(Value, frozen=True):
    """The page as it is answered."""

    body: bytes
    headers: dict[str, str]


def load_page() -> Page:
    """Read the page and build the policy that lets only its own script run.

    Names and notes of proposals are text that others wrote. Should one of them ever
    end up as markup, the browser runs none of it: a script runs only if its hash is
    the one of this page's script.
    """
    body = resources.files(__package__).joinpath(_FILE).read_bytes()
    hashes = {
        kind.decode(): _hash_source(source) for kind, source in _INLINE.findall(body)
    }
    policy = (
        "default-src 'none'; connect-src 'self'; base-uri 'none'; "
        "form-action 'none'; frame-ancestors 'none'; "
        f"script-src {hashes['script']}; style-src {hashes['style']}"
    )
    headers = {
        "Content-Security-Policy": policy,
        "Referrer-Policy": "no-referrer",
        "Cache-Control": "no-cache",
    }
    return Page(body=body, headers=headers)


def _hash_source(source: bytes) -> str:
    digest = base64.b64encode(hashlib.sha256(source).digest()).decode()
    return f"'sha256-{digest}'"
