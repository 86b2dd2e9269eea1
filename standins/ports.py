"""Chooses ports for listeners that start later."""

from __future__ import annotations

import random
import socket
from pathlib import Path

from kingcupusher._core.address import Address

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
DEFAULT_CONNECTION_PORT = 32_768
CONNECTION_PORTS_PATH = Path("/proc/sys/net/ipv4/ip_local_port_range")


def free_address() -> Address:
    """Return a loopback address whose port is free, and is not assigned to connections.

    A port from the range for connections could be taken by one before its listener starts.
    """
    ports = range(FIRST_PORT, first_connection_port())
    while True:
        address = Address(LOOPBACK, random.choice(ports))
        if _is_free(address):
            return address


def first_connection_port() -> int:
    """Return the lowest port that the system assigns to outgoing connections."""
    try:
        return int(CONNECTION_PORTS_PATH.read_text(encoding="ascii").split()[0])
    except OSError:
        return DEFAULT_CONNECTION_PORT


def _is_free(address: Address) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(address)
        except OSError:
            return False
    return True
