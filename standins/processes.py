"""Starts child processes for tests, benchmarks and the demonstration, and terminates them."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import TracebackType

from kingcupusher._core.address import Address
from standins.errors import StandinError
from standins.ports import free_address

POLL_INTERVAL_S = 0.02
EXIT_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 1.0
MAX_ERROR_OUTPUT_CHARS = 2_000
EXIT_STATUS_SIGTERM = 143


class ProcessError(StandinError):
    """Raised when a process does not listen, exits at the wrong time, or exits with an error."""


class AddressPool:
    """Allocates loopback addresses with free ports; never returns the same port twice."""

    __slots__ = ("_used",)

    def __init__(self) -> None:
        self._used: set[int] = set()

    def allocate(self) -> Address:
        """Return an address whose port is free at the moment."""
        while True:
            address = free_address()
            if address.port not in self._used:
                self._used.add(address.port)
                return address


class ManagedProcess:
    """A child process whose standard output and standard error go to files."""

    __slots__ = ("_child", "_output_path", "name")

    def __init__(self, name: str, child: subprocess.Popen[bytes], output: Path) -> None:
        self.name = name
        self._child = child
        self._output_path = output

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    def is_running(self) -> bool:
        """Return whether the process has not exited yet."""
        return self._child.poll() is None

    def output(self) -> str:
        """Return the standard output so far."""
        return self._output_path.read_text(encoding="utf-8", errors="replace")

    def error_output(self) -> str:
        """Return the last 2000 characters of the standard error."""
        path = self._output_path.with_suffix(".err")
        return path.read_text(encoding="utf-8", errors="replace")[-MAX_ERROR_OUTPUT_CHARS:]

    def wait(self, *, timeout_s: float) -> int:
        """Wait for the exit and return its status; raise :class:`ProcessError` on time-out."""
        try:
            return self._child.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            raise ProcessError(f"{self.name} did not exit within {timeout_s:g} s") from None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self.is_running():
            os.kill(self.pid, number)

    def wait_until_listening(self, address: Address, *, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Poll until ``address`` accepts connections; raise :class:`ProcessError` otherwise."""
        deadline_s = time.monotonic() + timeout_s
        while not _accepts_connections(address):
            if not self.is_running():
                raise ProcessError(f"{self.name} exited before it listened: {self.error_output()}")
            if time.monotonic() > deadline_s:
                raise ProcessError(f"{self.name} did not listen on {address} in {timeout_s:g} s")
            time.sleep(POLL_INTERVAL_S)


def _accepts_connections(address: Address) -> bool:
    try:
        with socket.create_connection(address, timeout=CONNECT_TIMEOUT_S):
            return True
    except OSError:
        return False


class ProcessGroup:
    """Context manager that starts processes and terminates all of them on exit."""

    __slots__ = ("_directory", "_previous_handler", "_processes", "addresses")

    def __init__(self) -> None:
        self.addresses = AddressPool()
        self._processes: list[ManagedProcess] = []
        self._directory = tempfile.TemporaryDirectory(prefix="kingcupusher-")

    def __enter__(self) -> ProcessGroup:
        # The default action of SIGTERM would end this process without ending its children.
        self._previous_handler = signal.signal(signal.SIGTERM, _exit_on_signal)
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self.terminate_all()
        self._directory.cleanup()
        signal.signal(signal.SIGTERM, self._previous_handler)

    @property
    def directory(self) -> Path:
        """Temporary directory of this group, removed on exit."""
        return Path(self._directory.name)

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes started so far, including those that have exited."""
        return list(self._processes)

    def start_module(self, name: str, module: str, *arguments: str) -> ManagedProcess:
        """Start ``python -m module`` with the interpreter and environment of this process."""
        return self.start_command(name, [sys.executable, "-m", module, *arguments])

    def start_command(
        self, name: str, command: Sequence[str], *, environment: Mapping[str, str] | None = None
    ) -> ManagedProcess:
        """Start a command; ``environment`` None inherits that of this process."""
        output = self.directory / f"{len(self._processes)}-{name}.out"
        with output.open("wb") as out, output.with_suffix(".err").open("wb") as err:
            child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env=environment,
            )
        process = ManagedProcess(name, child, output)
        self._processes.append(process)
        return process

    def terminate_all(self) -> None:
        """Send SIGTERM to every process, then SIGKILL to those that do not exit within 5 s."""
        for process in self._processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        deadline_s = time.monotonic() + EXIT_TIMEOUT_S
        for process in self._processes:
            _wait_or_kill(process, timeout_s=max(0.0, deadline_s - time.monotonic()))


def _exit_on_signal(_number: int, _frame: object) -> None:
    raise SystemExit(EXIT_STATUS_SIGTERM)


def _wait_or_kill(process: ManagedProcess, *, timeout_s: float) -> None:
    try:
        process.wait(timeout_s=timeout_s)
    except ProcessError:
        process.send_signal(signal.SIGKILL)
        process.wait(timeout_s=EXIT_TIMEOUT_S)
