"""Address of a TCP endpoint."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple

from kingcupusher._core.errors import KingcupusherError

MAX_PORT = 65_535


class AddressError(KingcupusherError):
    """Raised when a string is not an IP address with a port."""


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``IP:PORT`` or ``[IPV6]:PORT``; raise :class:`AddressError` otherwise."""
        host, separator, port = text.rpartition(":")
        try:
            address = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
            number = int(port)
        except ValueError:
            raise AddressError(f"{text!r} is not an address; use IP:PORT") from None
        if not separator or not 0 <= number <= MAX_PORT:
            raise AddressError(f"{text!r} has no port between 0 and {MAX_PORT}; use IP:PORT")
        return cls(str(address), number)
