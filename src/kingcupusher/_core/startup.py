"""What lets a process take callers soon after it starts."""

from __future__ import annotations

import gc
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager

from kingcupusher._core.address import Address


@contextmanager
def startup_imports() -> Iterator[None]:
    """Prepare the process for loading its modules, and undo what only loading needs.

    Garbage collection pauses, since it finds nothing to free in new modules. A reload that is
    asked for meanwhile is ignored instead of ending the process; settings that are read inside are
    read after that.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


def listen(address: Address, *, backlog: int) -> socket.socket:
    """Open a non-blocking listening socket; errors of the operating system pass through.

    The system keeps up to ``backlog`` connections until the process accepts them, so a socket
    that is opened before the rest of a process is loaded refuses no caller meanwhile.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock
