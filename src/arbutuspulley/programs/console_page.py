"""Loads the operators' page, a self-contained HTML file laid out for phones."""

import base64
import hashlib
import re
from importlib import resources

from arbutuspulley.data import Value

_FILE = "console.html"
_INLINE = re.compile(rb"<(script|style)>(.*?)</\1>", re.DOTALL)


class Page(Value, frozen=True):
    """Body and headers of the page's response."""

    body: bytes
    headers: dict[str, str]


def load_page() -> Page:
    """Read the page and build its Content Security Policy.

    Names and notes of proposals are untrusted text. The policy guards against script
    injection if one of them is ever rendered as markup: the browser runs a script only
    if its hash is that of this page's own script.
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
