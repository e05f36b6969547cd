"""Client of the platform's metadata store."""

import base64
from collections.abc import Callable, Iterable

import aiohttp
import msgspec
import yarl

from arbutuspulley.clock import Clock
from arbutuspulley.data import State
from arbutuspulley.decoding import UndecodableError
from arbutuspulley.platform import names
from arbutuspulley.platform.era import StoreEra
from arbutuspulley.platform.messages import WireRows, decode_rows
from arbutuspulley.platform.requests import is_valid_status
from arbutuspulley.platform.transport import BrokenError, read_body
from arbutuspulley.ports.store_position import StorePosition
from arbutuspulley.results import OutcomeUnknownError, PlatformUnavailableError

CALL_TIMEOUT_S = 1.2
"""Read timeout of a call to the store, in s. The store answers within some ms, or
within a third of a second when it is slow; an unresponsive store must be detected well
within a lease of 3 s."""

MAX_TRANSFER_S = 10.0
"""Time allowed for a call while its answer is being received, in s: some megabytes take
this long over a slow link. A shorter timeout would restart the transfer from the
beginning."""

FEED_WAIT_MS = 1_170
FEED_TIMEOUT_MARGIN_S = 0.34
"""How long the store may hold a long poll for changes, in ms, and how much later the
poll times out, in s; a slow store answers within a third of a second. A poll that
reached the store while it was unresponsive is never answered, even after the store has
recovered. Until it times out, the instance assumes that it receives all changes, and so
do the instances to which it relays them; they have 2 s to apply a change."""

RESULT_RECENT_MS = 2_600
"""How long the result of a call reflects the store's state, in ms: the time until an
instance whose call was refused has made the next one, backoff included."""

PAGE_ROWS = 500
"""Maximum number of rows in an answer; the store's own limit."""


_REFUSED_STATUSES = frozenset((429, 503))
"""Statuses that prove that the store did nothing."""


class HistoryLostError(PlatformUnavailableError):
    """The store does not have the changes after the requested position.

    It has discarded them, or has come back from a copy since.
    """


class StoredRow(State):
    """A row as stored.

    :param position: transaction that wrote it, in the era in which it was read.
    :param value: ``None`` if the row is absent.
    """

    key: str
    position: StorePosition
    value: bytes | None


class RowsAnswer(State):
    """Rows, the store's newest position and its monotonic clock in ms."""

    rows: list[StoredRow]
    position: StorePosition
    now_ms: float


class WriteAnswer(State):
    """Result of a conditional write.

    :param is_applied: ``False`` if its condition did not hold.
    """

    is_applied: bool
    position: StorePosition
    now_ms: float


class StoreClient:
    """Client of the store. Each call raises
    :class:`~arbutuspulley.results.PlatformUnavailableError` if nothing was done, and a
    write :class:`~arbutuspulley.results.OutcomeUnknownError` if its answer was lost.

    ``is_failing`` is whether the last call that ended got no usable answer, and
    ``is_result_recent`` whether that was recent enough to reflect the store's present
    state. ``era`` is the store's era.

    :param address: ``host:port`` of the store.
    :param count_call: called with the name of each call.
    :param on_era: called with the store's era once it is known and when it changes.
    """

    __slots__ = (
        "_base",
        "_clock",
        "_count_call",
        "_result_at",
        "_session",
        "era",
        "is_failing",
    )

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        address: str,
        clock: Clock | None = None,
        count_call: Callable[[str], None] = lambda _name: None,
        on_era: Callable[[int], None] = lambda _era: None,
    ) -> None:
        self._clock = clock or Clock()
        self._result_at = -RESULT_RECENT_MS
        self._session = session
        self._base = f"http://{address}"
        self._count_call = count_call
        self.era = StoreEra(on_change=on_era)
        self.is_failing = False

    @property
    def is_result_recent(self) -> bool:
        """Whether a call has ended within :data:`RESULT_RECENT_MS`."""
        return self._clock.now() - self._result_at < RESULT_RECENT_MS

    def _record_result(self, *, failed: bool) -> None:
        self.is_failing = failed
        self._result_at = self._clock.now()

    async def read(self, table: str, *, key: str = "") -> RowsAnswer:
        """Read one row, or all rows of a table.

        :param key: empty for the whole table.
        :return: rows, and the position as of the first page: changes made while further
            pages were read are then returned by :meth:`wait_for_changes` after it.
        :raises HistoryLostError: if a new era began while pages were read.
        """
        params = {"Table": table, "part": "", "Limit": str(PAGE_ROWS)}
        if key:
            params.update({"From": key, "To": key + "\x00"})
        rows: list[StoredRow] = []
        position: StorePosition | None = None
        while True:
            answer = await self._get(names.STORE_READ_PATH, params, CALL_TIMEOUT_S)
            position = position or answer.position
            _check_era(answer.position, expected=position.era)
            rows.extend(answer.rows)
            if not answer.has_more or not rows:
                return RowsAnswer(rows=rows, position=position, now_ms=answer.now_ms)
            params["From"] = rows[-1].key + "\x00"

    async def wait_for_changes(
        self, table: str, *, after: StorePosition, wait_ms: int
    ) -> RowsAnswer:
        """Wait for changes of a table's rows.

        :param wait_ms: how long the store may wait for one, in ms.
        :raises HistoryLostError: if the history after ``after`` is gone, or the answer
            is of another era, which may have given out that version again.
        """
        params = {"Table": table, "after": str(after.version), "WaitMs": str(wait_ms)}
        read_timeout_s = wait_ms / 1_000 + FEED_TIMEOUT_MARGIN_S
        answer = await self._get(names.STORE_FEED_PATH, params, read_timeout_s)
        _check_era(answer.position, expected=after.era)
        return RowsAnswer(
            rows=answer.rows, position=answer.position, now_ms=answer.now_ms
        )

    async def write(
        self,
        table: str,
        *,
        expected: dict[str, int],
        put: dict[str, bytes],
        remove: Iterable[str] = (),
    ) -> WriteAnswer:
        """Write rows in one transaction if all expected versions hold.

        :param expected: versions by key; 0: the row must be absent.
        :param put: values by key.
        :param remove: keys of rows to remove.
        """
        body = {
            "Expected": [
                {**_name_row(table, key), "Ver": version}
                for key, version in expected.items()
            ],
            "Put": [
                {**_name_row(table, key), "Value": base64.b64encode(value).decode()}
                for key, value in put.items()
            ],
            "Remove": [_name_row(table, key) for key in remove],
        }
        status, era, answer = await self._call(
            "POST",
            names.STORE_TRANSACT_PATH,
            CALL_TIMEOUT_S,
            data=msgspec.json.encode(body),
            headers={"Content-Type": "application/json"},
        )
        if not is_valid_status(status):
            raise OutcomeUnknownError(detail=f"the store answered with status {status}")
        if status not in (200, 412):
            raise PlatformUnavailableError(
                detail=f"the store answered with status {status}"
            )
        try:
            decoded = self._decode(answer)
        except UndecodableError as error:
            if status == 200:
                raise OutcomeUnknownError(detail=_describe(error)) from error
            raise PlatformUnavailableError(detail=_describe(error)) from error
        return WriteAnswer(
            is_applied=status == 200,
            position=StorePosition(era=era, version=decoded.ver),
            now_ms=decoded.now_ms,
        )

    async def _get(
        self, path: str, params: dict[str, str], read_timeout_s: float
    ) -> "_Page":
        try:
            status, era, body = await self._call(
                "GET", path, read_timeout_s, params=params
            )
        except OutcomeUnknownError as error:
            raise PlatformUnavailableError(detail=error.detail) from error
        if status == 410:
            raise HistoryLostError(
                detail="the store no longer has the requested history"
            )
        if status != 200:
            raise PlatformUnavailableError(
                detail=f"the store answered with status {status}"
            )
        try:
            return _build_page(self._decode(body), era=era)
        except UndecodableError as error:
            raise PlatformUnavailableError(detail=_describe(error)) from error

    def _decode(self, body: bytes) -> WireRows:
        """Decode an answer; one that can't be decoded counts as a failed call.

        :raises UndecodableError: if it can't be decoded.
        """
        try:
            return decode_rows(body)
        except UndecodableError:
            self._record_result(failed=True)
            raise

    async def _call(
        self,
        method: str,
        path: str,
        read_timeout_s: float,
        *,
        params: dict[str, str] | None = None,
        data: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, int, bytes]:
        """Make a call and record its result.

        :param read_timeout_s: longest time without data from the store, in s.
        :return: status, era and body of the answer.
        :raises OutcomeUnknownError: if there is no answer, or one of a later era has
            arrived meanwhile.
        """
        self._count_call(path.strip("/"))
        called_in = self.era.current
        url = yarl.URL(self._base + path)
        timeout = aiohttp.ClientTimeout(
            total=read_timeout_s + MAX_TRANSFER_S,
            sock_connect=CALL_TIMEOUT_S,
            sock_read=read_timeout_s,
        )
        try:
            async with self._session.request(
                method,
                url,
                params=params,
                data=data,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                era = self.era.update(
                    response.headers.get(names.STORE_ERA), called_in=called_in
                )
                body = await read_body(response)
                self._record_result(failed=response.status in _REFUSED_STATUSES)
                if era < self.era.current:
                    raise OutcomeUnknownError(
                        detail=f"{path}: answer of era {era}, now {self.era.current}"
                    )
                return response.status, era, body
        except aiohttp.ClientConnectorError as error:
            self._record_result(failed=True)
            raise PlatformUnavailableError(detail=str(error)) from error
        except (aiohttp.ClientError, BrokenError, TimeoutError) as error:
            self._record_result(failed=True)
            detail = f"{path}: {type(error).__name__}"
            raise OutcomeUnknownError(detail=detail) from error


def _name_row(table: str, key: str) -> dict[str, str]:
    return {"Table": table, "part": "", "Key": key}


def _describe(error: UndecodableError) -> str:
    return f"invalid answer of the store: {error}"


class _Page(State):
    """One page of an answer."""

    rows: list[StoredRow]
    position: StorePosition
    now_ms: float
    has_more: bool


def _build_page(answer: WireRows, *, era: int) -> _Page:
    rows = [
        StoredRow(
            key=row.key,
            position=StorePosition(era=era, version=row.ver),
            value=None if row.removed else row.value,
        )
        for row in answer.rows
    ]
    return _Page(
        rows=rows,
        position=StorePosition(era=era, version=answer.ver),
        now_ms=answer.now_ms,
        has_more=answer.more_pages,
    )


def _check_era(position: StorePosition, *, expected: int) -> None:
    if position.era != expected:
        raise HistoryLostError(
            detail=f"the store is in era {position.era}, not in {expected}"
        )
