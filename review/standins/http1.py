"""Minimal HTTP/1.1 messages over asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

MAX_LINE_BYTES = 65_536


class BrokenMessageError(Exception):
    """Raised when a peer closed its connection in the middle of a message."""


@dataclass
class Message:
    """A request or response; header names are in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a length, in chunks, or without a body; None at the end."""
    try:
        line = await reader.readline()
        if not line:
            return None
        message = Message(line.decode("latin-1").rstrip("\r\n"))
        while (line := await reader.readline()) not in (b"\r\n", b"\n"):
            if not line:
                raise BrokenMessageError("the connection ended in a head")
            name, _, value = line.decode("latin-1").partition(":")
            message.headers[name.strip().lower()] = value.strip()
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        elif "content-length" in message.headers:
            message.body = await reader.readexactly(int(message.headers["content-length"]))
        return message
    except asyncio.IncompleteReadError as error:
        raise BrokenMessageError("the connection ended in a body") from error


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return bytes(body)


def encode(start: str, headers: dict[str, str], body: bytes | None = None) -> bytes:
    """Encode a message; ``body`` None means a request without a body."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")
