"""Answers of the engine stand-in: text derived from the item and the prompt.

The text is deterministic. Every engine that has loaded the same item produces the
same tokens, so another engine can resume an answer at any offset, and the caller can
check that the answer is complete and correct. Events have the format of the usual
chat and completion protocol.
"""

import hashlib

import msgspec
import xxhash

from arbutuspulley.data import Message, Value
from arbutuspulley.results import ArbutusError, Code

CHAT_PATH = "/v1/chat/completions"
"""Path of requests that carry chat messages."""

COMPLETION_PATH = "/v1/completions"
"""Path of requests that carry a plain-text prompt."""

DEFAULT_TOKENS = 16
"""Length of an answer, in tokens, if the request sets no limit."""

MAX_TOKENS = 4_096
"""Maximum length of an answer, in tokens."""

EVENTS_AFTER_TOKENS = 2
"""Number of events after the last token: ``finish_reason`` and the end marker."""

_TOKEN_LETTERS = 6


class Prompt(Value, frozen=True):
    """The parsed body of an inference request.

    :param digest: hash of the prompt text.
    :param words: words of the prompt text; each counts as one prompt token.
    :param tokens: length of the answer, in tokens.
    :param model: model name from the body.
    :param chat: whether the body has chat messages instead of a plain prompt.
    """

    digest: str
    words: tuple[str, ...]
    tokens: int
    model: str
    chat: bool


class BadBodyError(ArbutusError):
    """The body is not a valid chat or completion request."""

    def __init__(self, *, detail: str) -> None:
        super().__init__(code=Code.MALFORMED_BODY, detail=detail)


class _Part(Message, frozen=True):
    text: str = ""


class _ChatMessage(Message, frozen=True):
    role: str
    content: str | tuple[_Part, ...] | None = None


class _Body(Message, frozen=True):
    model: str = ""
    messages: tuple[_ChatMessage, ...] = ()
    prompt: str | tuple[str, ...] = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


def read_prompt(*, path: str, body: bytes) -> Prompt:
    """Parse the body of an inference request.

    :raises BadBodyError: if the body is malformed or has no messages.
    """
    try:
        request = msgspec.json.decode(body, type=_Body)
    except msgspec.DecodeError as error:
        raise BadBodyError(detail=f"malformed body: {error}") from error
    chat = path == CHAT_PATH
    text = _read_messages(request) if chat else _read_plain(request)
    limit = request.max_completion_tokens or request.max_tokens or DEFAULT_TOKENS
    return Prompt(
        digest=hash_prompt(text),
        words=tuple(text.split()),
        tokens=max(1, min(limit, MAX_TOKENS)),
        model=request.model,
        chat=chat,
    )


def hash_prompt(text: str) -> str:
    """Return the digest that identifies a prompt in the counters."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def build_token(*, item: str, digest: str, index: int) -> str:
    """Return the text of the answer's token at an index."""
    seed = f"{item}\n{digest}\n{index}".encode()
    return xxhash.xxh3_64_hexdigest(seed)[:_TOKEN_LETTERS] + " "


def build_answer(*, item: str, prompt: Prompt) -> str:
    """Return the full text of an answer."""
    return "".join(
        build_token(item=item, digest=prompt.digest, index=index)
        for index in range(prompt.tokens)
    )


def build_token_data(
    *, request_id: str, item: str, prompt: Prompt, index: int
) -> bytes:
    """Return the JSON data of the event for one token."""
    text = build_token(item=item, digest=prompt.digest, index=index)
    if not prompt.chat:
        return _build_data(request_id, prompt, {"text": text, "finish_reason": None})
    delta = {"content": text}
    if index == 0:
        delta = {"role": "assistant", **delta}
    return _build_data(request_id, prompt, {"delta": delta, "finish_reason": None})


def build_finish_data(*, request_id: str, prompt: Prompt) -> bytes:
    """Return the JSON data of the event with ``finish_reason`` and token usage."""
    part: dict[str, object] = {"delta": {}} if prompt.chat else {"text": ""}
    usage = {
        "prompt_tokens": len(prompt.words),
        "completion_tokens": prompt.tokens,
        "total_tokens": len(prompt.words) + prompt.tokens,
    }
    return _build_data(
        request_id, prompt, {**part, "finish_reason": "length"}, usage=usage
    )


def _build_data(
    request_id: str, prompt: Prompt, choice: dict[str, object], **more: object
) -> bytes:
    event = {
        "id": request_id,
        "object": "chat.completion.chunk" if prompt.chat else "text_completion",
        "created": 0,
        "model": prompt.model,
        "choices": [{"index": 0, **choice}],
        **more,
    }
    return msgspec.json.encode(event)


def _read_messages(request: _Body) -> str:
    if not request.messages:
        raise BadBodyError(detail="messages are missing")
    return "\n".join(
        f"{message.role}: {_read_content(message)}" for message in request.messages
    )


def _read_content(message: _ChatMessage) -> str:
    if message.content is None or isinstance(message.content, str):
        return message.content or ""
    return "".join(part.text for part in message.content)


def _read_plain(request: _Body) -> str:
    if isinstance(request.prompt, str):
        return request.prompt
    return "\n".join(request.prompt)
