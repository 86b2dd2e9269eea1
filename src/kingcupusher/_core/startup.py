"""Fast start of a process: imports without garbage collection, and early listening sockets."""

from __future__ import annotations

import gc
import signal
import socket
import sys
from collections.abc import Iterator
from contextlib import contextmanager

from kingcupusher._core.address import Address

UNUSED_MODULES = ("ssl", "_ssl", "_hashlib")
"""Modules that load OpenSSL, which takes more than a megabyte of each process. Entries use no TLS,
and the libraries that import these modules work without them."""


@contextmanager
def startup_imports() -> Iterator[None]:
    """Import modules without garbage collection and OpenSSL; ignore SIGHUP until it has a handler.

    Garbage collection finds nothing to free in new modules. The default action of SIGHUP, which
    requests a reload, would end the process; settings that are read within the context are read
    after the signal is ignored, so that no change of them is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    blocked = [name for name in UNUSED_MODULES if name not in sys.modules]
    sys.modules.update(dict.fromkeys(blocked))  # type: ignore[arg-type]
    try:
        yield
    finally:
        for name in blocked:
            del sys.modules[name]
        gc.freeze()
        gc.enable()


def listen(address: Address, *, backlog: int) -> socket.socket:
    """Open a non-blocking listening socket; errors of the operating system pass through.

    The kernel queues up to ``backlog`` connections until the process accepts them, so a socket
    that is opened before the remaining modules are imported refuses no caller meanwhile.
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
