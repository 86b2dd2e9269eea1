"""Starts the processes of a demonstration, test or measurement, and ends them by their ids."""

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

LOOPBACK = "127.0.0.1"
POLL_S = 0.02
END_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 1.0
LOG_TAIL_BYTES = 2_000
EXIT_TERMINATED = 143


class ProcessError(StandinError):
    """Raised when a process did not become ready or ended early."""


class AddressPool:
    """Hands out loopback addresses with ports that the system chose, each one once."""

    __slots__ = ("_used",)

    def __init__(self) -> None:
        self._used: set[int] = set()

    def allocate(self) -> Address:
        """Return an address on which nothing listens now."""
        while True:
            port = _free_port()
            if port not in self._used:
                self._used.add(port)
                return Address(LOOPBACK, port)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


class ManagedProcess:
    """One child process with its output in a file."""

    __slots__ = ("_child", "_output", "name")

    def __init__(self, name: str, child: subprocess.Popen[bytes], output: Path) -> None:
        self.name = name
        self._child = child
        self._output = output

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._child.poll() is None

    def output(self) -> str:
        """Return what the process wrote to its standard output."""
        return self._output.read_text(encoding="utf-8", errors="replace")

    def error_output(self) -> str:
        """Return the end of what the process wrote to its standard error."""
        path = self._output.with_suffix(".err")
        return path.read_text(encoding="utf-8", errors="replace")[-LOG_TAIL_BYTES:]

    def wait(self, *, timeout_s: float) -> int:
        """Wait for the end and return the exit status."""
        try:
            return self._child.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            raise ProcessError(f"{self.name} did not end within {timeout_s:g} s") from None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.is_running():
            os.kill(self.pid, number)

    def wait_until_listening(self, address: Address, *, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until ``address`` accepts connections."""
        give_up_s = time.monotonic() + timeout_s
        while not _accepts(address):
            if not self.is_running():
                raise ProcessError(f"{self.name} ended before it was ready: {self.error_output()}")
            if time.monotonic() > give_up_s:
                raise ProcessError(f"{self.name} did not listen on {address} in {timeout_s:g} s")
            time.sleep(POLL_S)


def _accepts(address: Address) -> bool:
    try:
        with socket.create_connection(address, timeout=CONNECT_TIMEOUT_S):
            return True
    except OSError:
        return False


class ProcessGroup:
    """Context that starts processes and ends all of them when it is left."""

    __slots__ = ("_directory", "_previous", "_processes", "addresses")

    def __init__(self) -> None:
        self.addresses = AddressPool()
        self._processes: list[ManagedProcess] = []
        self._directory = tempfile.TemporaryDirectory(prefix="kingcupusher-")

    def __enter__(self) -> ProcessGroup:
        # Without a handler SIGTERM would end this process and leave the others running.
        self._previous = signal.signal(signal.SIGTERM, _exit_on_signal)
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self.end_all()
        self._directory.cleanup()
        signal.signal(signal.SIGTERM, self._previous)

    @property
    def directory(self) -> Path:
        """Directory for the files of this group; removed at the end."""
        return Path(self._directory.name)

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes that were started, also those that have ended."""
        return list(self._processes)

    def start_module(self, name: str, module: str, *arguments: str) -> ManagedProcess:
        """Start ``python -m module`` with the interpreter and environment of this process."""
        return self.start_command(name, [sys.executable, "-m", module, *arguments])

    def start_command(
        self, name: str, command: Sequence[str], *, environment: Mapping[str, str] | None = None
    ) -> ManagedProcess:
        """Start a command, with the environment of this process unless another one is given."""
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

    def end_all(self) -> None:
        """Ask every process to end, then kill those that do not."""
        for process in self._processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        give_up_s = time.monotonic() + END_TIMEOUT_S
        for process in self._processes:
            _end(process, timeout_s=max(0.0, give_up_s - time.monotonic()))


def _exit_on_signal(_number: int, _frame: object) -> None:
    raise SystemExit(EXIT_TERMINATED)


def _end(process: ManagedProcess, *, timeout_s: float) -> None:
    try:
        process.wait(timeout_s=timeout_s)
    except ProcessError:
        process.send_signal(signal.SIGKILL)
        process.wait(timeout_s=END_TIMEOUT_S)
