"""Process with targets that respond to load probes properly and to requests without end."""

from __future__ import annotations

import socket
import sys
from contextlib import suppress

import curio

from kingcupusher._core.address import Address

PIECE_BYTES = 65_536
SEND_BUFFER_BYTES = 65_536
SLOW_INTERVAL_S = 0.1
SLOW_BYTES_PER_S = 400_000
REQUEST_ID = b"x-kingcupusher-attempt-id: "
HEALTH_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nx-kingcupusher-instance-id: %s\r\n"
    b"x-kingcupusher-server-load: 0,0,50,100\r\ncontent-length: 0\r\n\r\n"
)
SIGNED_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-kingcupusher-attempt-id: %s\r\nx-kingcupusher-server-signature: s\r\n"
)
FILLING = b"a" * PIECE_BYTES
TINY_CHUNKS = b"1\r\na\r\n" * (PIECE_BYTES // 6)
LARGE_CHUNK = b"%x\r\n%s\r\n" % (PIECE_BYTES, FILLING)
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
FIELDS = b"x-more: 1\r\n" * (PIECE_BYTES // 11)
LENGTH = b"content-length: %d\r\n\r\n"
WHOLE_BODY_BYTES = 6_000_000

PARTS = {
    "a status line": (b"", FILLING),
    "a header field": (SIGNED_HEAD + b"x-long: ", FILLING),
    "header fields": (SIGNED_HEAD, FIELDS),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_048),
    "a body until the end": (SIGNED_HEAD + b"\r\n", FILLING),
    "a body of a huge length": (SIGNED_HEAD + LENGTH % 10**12, FILLING),
    "large chunks": (SIGNED_HEAD + CHUNKED, LARGE_CHUNK),
    "tiny chunks": (SIGNED_HEAD + CHUNKED, TINY_CHUNKS),
    "a chunk extension": (SIGNED_HEAD + CHUNKED + b"1;x=", FILLING),
    "trailer fields": (SIGNED_HEAD + CHUNKED + b"0\r\n", FIELDS),
    "bytes after a response": (SIGNED_HEAD + LENGTH % 2 + b"ok", FILLING),
}
"""What is sent once and what is repeated, by the part of the response that does not end."""
EVERY_PART = "every part in turn"
WHOLE = "whole bodies of 6 MB"
PROBES_TOO = " to load probes, too,"
PART_NAMES = sorted(PARTS)


class EndlessTarget:
    """Sends its responses fast or slowly, until the caller closes the connection."""

    def __init__(self, target_id: bytes, part: str, *, is_slow: bool) -> None:
        self._target_id = target_id
        self._part = part.removesuffix(PROBES_TOO)
        self._is_sound_to_probes = part == self._part
        self._is_slow = is_slow
        self._count = 0

    async def serve(self, sock: curio.io.Socket, _address: object) -> None:
        """Respond to the requests of one connection."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(OSError):
            while data := await sock.recv(PIECE_BYTES):
                if self._is_sound_to_probes and data.startswith(b"GET /health"):
                    await sock.sendall(HEALTH_RESPONSE % self._target_id)
                else:
                    request_id = data.partition(REQUEST_ID)[2].partition(b"\r\n")[0]
                    await self._respond(sock, request_id)

    async def _respond(self, sock: curio.io.Socket, request_id: bytes) -> None:
        if self._part == WHOLE:
            head = SIGNED_HEAD % request_id + LENGTH % WHOLE_BODY_BYTES
            await sock.sendall(head + bytes(WHOLE_BODY_BYTES))
            return
        self._count += 1
        every = self._part == EVERY_PART
        part = PART_NAMES[self._count % len(PART_NAMES)] if every else self._part
        beginning, piece = PARTS[part]
        await sock.sendall(beginning.replace(b"%s", request_id))
        while True:
            if self._is_slow:
                await self._send_slowly(sock, piece)
            else:
                await sock.sendall(piece)

    async def _send_slowly(self, sock: curio.io.Socket, piece: bytes) -> None:
        step = int(SLOW_BYTES_PER_S * SLOW_INTERVAL_S)
        for start in range(0, len(piece), step):
            await sock.sendall(piece[start : start + step])
            await curio.sleep(SLOW_INTERVAL_S)


async def _main(part: str, speed: str, addresses: list[str]) -> None:
    async with curio.TaskGroup() as group:
        for number, text in enumerate(addresses):
            address = Address.parse(text)
            target = EndlessTarget(b"endless%d" % number, part, is_slow=speed == "slow")
            await group.spawn(
                curio.tcp_server(
                    address.host, address.port, target.serve, backlog=512, reuse_address=True
                )
            )


if __name__ == "__main__":
    curio.run(_main, sys.argv[1], sys.argv[2], sys.argv[3:])
