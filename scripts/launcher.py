"""Starts and stops processes on loopback addresses, for demos and tests.

A development tool, not part of the product, whose processes start no other processes.
Each process logs to its own file; all are stopped with SIGTERM and, after a timeout,
killed individually by process id.
"""

import functools
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import urllib3

from arbutuspulley.data import State

START_TIMEOUT_S = 30.0
"""Timeout for a process to become ready, in s."""

STOP_TIMEOUT_S = 30.0
"""Timeout for a process to exit after SIGTERM, in s."""

POLL_S = 0.05
"""Interval of checking a condition while waiting for it, in s."""

_HOST = "127.0.0.1"
_LISTENING_PORTS = range(12_000, 32_000)
_CALL_TIMEOUT = urllib3.Timeout(connect=1.0, read=5.0)
_POOL = urllib3.PoolManager(timeout=_CALL_TIMEOUT, retries=False, maxsize=32)
_Result = TypeVar("_Result")


class WaitError(Exception):
    """A condition was not met before the timeout."""


class Process(State):
    """A started process.

    :param ready_url: path that returns 200 when the process is ready; empty if the
        process counts as ready when its port is listening.
    """

    name: str
    module: str
    arguments: tuple[str, ...]
    address: str
    log: Path
    ready_url: str = ""
    popen: subprocess.Popen[bytes] | None = None


class Launcher:
    """Starts processes and keeps track of them.

    :param directory: directory for the log files.
    """

    __slots__ = ("directory", "processes")

    def __init__(self, *, directory: Path) -> None:
        self.directory = directory
        self.processes: dict[str, Process] = {}

    def start(
        self,
        name: str,
        module: str,
        *arguments: str,
        address: str,
        ready_url: str = "",
    ) -> None:
        """Start a module of the project as a process, without waiting until ready."""
        process = Process(
            name=name,
            module=module,
            arguments=arguments,
            address=address,
            ready_url=ready_url,
            log=self.directory / f"{name}.log",
        )
        self.processes[name] = process
        _spawn(process)

    def restart(self, name: str) -> None:
        """Start a process that has exited again, with the same arguments."""
        _spawn(self.processes[name])

    def wait_ready(self, *names: str) -> None:
        """Wait until processes are ready.

        :raises WaitError: if a process exits or is not ready in time.
        """
        for name in names:
            process = self.processes[name]
            wait_until(
                functools.partial(_is_ready, process),
                what=f"{name} to be ready (log: {process.log})",
                timeout_s=START_TIMEOUT_S,
            )

    def is_running(self, name: str) -> bool:
        """Return whether a process has not exited."""
        popen = self.processes[name].popen
        return popen is not None and popen.poll() is None

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        popen = self.processes[name].popen
        if popen is not None and popen.poll() is None:
            popen.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        self.send(name, signal.SIGKILL)
        self.wait_ended(name)

    def wait_ended(self, name: str, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a process has exited and return its exit status.

        :raises WaitError: if it is still running after ``timeout_s``.
        """
        popen = self.processes[name].popen
        if popen is None:
            return 0
        try:
            return popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise WaitError(f"{name} still runs after {timeout_s} s") from None

    def stop(self, *names: str) -> dict[str, int]:
        """Stop processes gracefully and concurrently; return their exit statuses.

        A process that does not exit in time is killed; its status is then negative.
        """
        for name in names:
            self.send(name, signal.SIGCONT)
            self.send(name, signal.SIGTERM)
        return {name: self._end(name) for name in names}

    def stop_all(self) -> dict[str, int]:
        """Stop all processes in reverse order of start, grouped by module.

        :return: exit statuses of the processes that were still running.
        """
        running = [name for name in reversed(self.processes) if self.is_running(name)]
        statuses: dict[str, int] = {}
        for _, group in itertools.groupby(running, key=self._get_module):
            statuses.update(self.stop(*group))
        return statuses

    def _get_module(self, name: str) -> str:
        return self.processes[name].module

    def read_log(self, name: str) -> str:
        """Return the log of a process so far."""
        return self.processes[name].log.read_text(errors="replace")

    def _end(self, name: str) -> int:
        try:
            return self.wait_ended(name)
        except WaitError:
            self.kill(name)
            return -signal.SIGKILL


@contextmanager
def open_launcher(directory: Path) -> Iterator[Launcher]:
    """Yield a launcher and stop all of its processes at the end."""
    launcher = Launcher(directory=directory)
    try:
        yield launcher
    finally:
        launcher.stop_all()


def find_free_addresses(count: int) -> list[str]:
    """Return free loopback addresses.

    All ports are bound at the same time while they are searched, so that they differ.
    They are below the machine's range of ephemeral ports: otherwise an outgoing
    connection could take a port between this search and the start of its process, which
    would then fail with "address already in use".
    """
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            port = random.choice(_LISTENING_PORTS)
            one = socket.socket()
            sockets.append(one)
            try:
                one.bind((_HOST, port))
            except OSError:
                sockets.pop().close()
        return [f"{_HOST}:{one.getsockname()[1]}" for one in sockets]
    finally:
        for one in sockets:
            one.close()


def wait_until(
    condition: Callable[[], _Result], *, what: str, timeout_s: float = 20.0
) -> _Result:
    """Wait until a condition is true and return its value.

    :param what: description of the condition, for the error.
    :raises WaitError: if the condition is still false after ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise WaitError(f"waited {timeout_s} s for {what}")
        time.sleep(POLL_S)


def fetch(
    method: str, address: str, path: str, **options: object
) -> urllib3.BaseHTTPResponse | None:
    """Make an HTTP request; return the response, or ``None`` if there is none."""
    try:
        return _POOL.request(method, f"http://{address}{path}", **options)  # type: ignore[arg-type]
    except urllib3.exceptions.HTTPError:
        return None


def _spawn(process: Process) -> None:
    run = f"from {process.module} import main; main()"
    command = [sys.executable, "-c", run, *process.arguments]
    with process.log.open("ab") as log:
        process.popen = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=_build_environment(),
        )


def _build_environment() -> dict[str, str]:
    """Return the environment without variables that are settings of a process."""
    kept = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("ARBUTUS_")
    }
    return {**kept, "PYTHONUNBUFFERED": "1"}


def _is_ready(process: Process) -> bool:
    assert process.popen is not None
    if process.popen.poll() is not None:
        tail = process.log.read_text(errors="replace")[-2_000:]
        raise WaitError(
            f"{process.name} ended with {process.popen.returncode}:\n{tail}"
        )
    if not process.ready_url:
        return _is_listening(process.address)
    reply = fetch("GET", process.address, process.ready_url)
    return reply is not None and reply.status == 200


def _is_listening(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1.0).close()
    except OSError:
        return False
    return True
