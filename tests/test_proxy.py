"""Faults of the fault-injecting proxy."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from tests.proxy import Direction, FaultProxy

BOUND_S = 5


class Echo:
    """Sends received data back and records it."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.seen = b""
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                end, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(end,), daemon=True).start()

    def _answer(self, end: socket.socket) -> None:
        try:
            while data := end.recv(1024):
                self.seen += data
                end.sendall(data)
        except OSError:
            pass
        end.close()

    def wait_for(self, data: bytes) -> bool:
        end = time.monotonic() + BOUND_S
        while time.monotonic() < end:
            if self.seen == data:
                return True
            time.sleep(0.005)
        return False


@pytest.fixture
def echo() -> Iterator[Echo]:
    made = Echo()
    yield made
    made.close()


@pytest.fixture
def proxy(echo: Echo) -> Iterator[FaultProxy]:
    with FaultProxy(target=echo.address) as made:
        yield made


@pytest.fixture
def connect(proxy: FaultProxy) -> Iterator[Callable[[], socket.socket]]:
    with contextlib.ExitStack() as ends:
        yield lambda: ends.enter_context(open_end(proxy))


def open_end(proxy: FaultProxy) -> socket.socket:
    return socket.create_connection(("127.0.0.1", proxy.port), timeout=BOUND_S)


def ask(end: socket.socket, data: bytes = b"a") -> bytes:
    end.sendall(data)
    return end.recv(1024)


def is_silent(end: socket.socket) -> bool:
    end.settimeout(0.1)
    try:
        end.recv(1024)
    except TimeoutError:
        return True
    finally:
        end.settimeout(BOUND_S)
    return False


def test_data_and_end_of_stream_are_forwarded(connect):
    end = connect()
    assert ask(end, b"hello") == b"hello"
    end.shutdown(socket.SHUT_WR)
    assert end.recv(1024) == b""


def test_cut_resets_and_refuses_connections_until_healed(proxy, connect):
    end = connect()
    ask(end)
    proxy.cut()
    with pytest.raises(ConnectionResetError):
        end.recv(1024)
    with pytest.raises(ConnectionRefusedError):
        connect()
    proxy.heal()
    assert ask(connect()) == b"a"


@pytest.mark.parametrize(
    ("direction", "seen"), [(Direction.TO_TARGET, b"a"), (Direction.TO_CLIENT, b"ab")]
)
def test_drop_discards_data_of_one_direction_only(
    echo, proxy, connect, direction, seen
):
    end = connect()
    ask(end)
    proxy.drop(direction)
    end.sendall(b"b")
    assert is_silent(end)
    assert echo.seen == seen
    proxy.heal()
    assert ask(end, b"c") == b"c"


def test_a_reply_is_lost_after_the_target_received_the_request(echo, proxy, connect):
    end = connect()
    ask(end)
    proxy.lose_replies()
    with pytest.raises(ConnectionResetError):
        ask(end, b"b")
    assert echo.wait_for(b"ab")
    assert proxy.replies_lost == 1
    assert ask(connect()) == b"a"


def test_data_sent_while_frozen_arrives_after_healing(echo, proxy, connect):
    end = connect()
    ask(end)
    proxy.freeze()
    end.sendall(b"b")
    new = connect()
    new.sendall(b"c")
    assert is_silent(end)
    assert echo.seen == b"a"
    proxy.heal()
    assert (end.recv(1024), new.recv(1024)) == (b"b", b"c")


def test_delay_applies_to_each_direction(proxy, connect):
    end = connect()
    proxy.delay(50)
    begun = time.monotonic()
    assert ask(end) == b"a"
    assert time.monotonic() - begun >= 0.1


def test_an_unreachable_target_resets_the_connection():
    with (
        FaultProxy(target="127.0.0.1:1") as proxy,
        pytest.raises(ConnectionResetError),
        open_end(proxy) as end,
    ):
        end.recv(1024)
