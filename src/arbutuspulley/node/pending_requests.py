"""Requests to the coordinator that wait for an answer."""

import asyncio
from collections.abc import Callable

from arbutuspulley.node.messages import Granted, Refused


class LinkLostError(Exception):
    """No coordinator answers."""


class RefusedError(Exception):
    """The coordinator refused a request; it has not run."""

    def __init__(self, refused: Refused) -> None:
        super().__init__("refused")
        self.retry_after_ms = refused.retry_after_ms
        self.is_over_quota = refused.is_over_quota
        self.reason = refused.reason


class PendingRequests:
    """Pending requests to the coordinator, by attempt id."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: dict[str, asyncio.Future[Granted]] = {}

    def __bool__(self) -> bool:
        return bool(self._waiting)

    async def send_and_wait(self, key: str, send: Callable[[], None]) -> Granted:
        """Send a request and wait for its answer.

        :param key: attempt id.
        :param send: sends the request.
        :raises LinkLostError: if the link is lost before the answer arrives.
        :raises RefusedError: if the coordinator refuses.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiting[key] = future
        send()
        try:
            return await future
        finally:
            self._waiting.pop(key, None)

    def resolve(self, answer: Granted | Refused) -> bool:
        """Pass an answer to the request that waits for it.

        :return: whether a request waits for it.
        """
        future = self._waiting.get(answer.key)
        if future is None or future.done():
            return False
        if isinstance(answer, Granted):
            future.set_result(answer)
        else:
            future.set_exception(RefusedError(answer))
        return True

    def fail_all(self) -> None:
        """Fail all pending requests with :class:`LinkLostError`."""
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(LinkLostError("link lost"))

    def refuse_all(self) -> None:
        """Refuse all pending requests; another instance may serve them at once."""
        for key, future in self._waiting.items():
            if not future.done():
                refused = Refused(key=key, retry_after_ms=1)
                future.set_exception(RefusedError(refused))
