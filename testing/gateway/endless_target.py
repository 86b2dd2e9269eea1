"""Target that sends bytes without end until its caller closes the connection."""

from __future__ import annotations

import itertools
import socket
from contextlib import suppress

import curio

from testing.gateway.loopback_target import LoopbackTarget
from testing.gateway.targets import HEALTH_PATH

PIECE_BYTES = 65_536
PIECE_INTERVAL_S = 0.001
SEND_BUFFER_BYTES = 65_536
"""Small, so that the bytes that were sent are about those that the entry read."""
FILLING = b"a" * PIECE_BYTES
OK_LINE = b"HTTP/1.1 200 OK\r\n"
SIGNED = OK_LINE + b"x-signed: t0\r\nx-id: r0\r\n"
PROBE_RESPONSE = OK_LINE + b"x-load: 0,0,100,0\r\nx-target: t0\r\ncontent-length: 0\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"

BEGINNINGS_AND_PIECES = {
    "bytes without a line end": (b"", FILLING),
    "one header field": (SIGNED + b"x-long: ", FILLING),
    "header fields": (SIGNED, b"x-more: 1\r\n" * 4_096),
    "interim responses": (b"", INTERIM * 2_048),
    "a body until the end of the connection": (SIGNED + b"\r\n", FILLING),
    "a body of a huge length": (SIGNED + b"content-length: 999999999999\r\n\r\n", FILLING),
    "large chunks": (
        SIGNED + b"transfer-encoding: chunked\r\n\r\n",
        b"%x\r\n" % PIECE_BYTES + FILLING + b"\r\n",
    ),
    "tiny chunks": (SIGNED + b"transfer-encoding: chunked\r\n\r\n", b"1\r\na\r\n" * 8_192),
    "a chunk extension": (SIGNED + b"transfer-encoding: chunked\r\n\r\n1;x=", FILLING),
    "trailer fields": (
        SIGNED + b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"x-more: 1\r\n" * 4_096,
    ),
    "bytes after a response": (SIGNED + b"content-length: 2\r\n\r\nok", FILLING),
}


class EndlessTarget(LoopbackTarget):
    """Responds to load probes properly, or also without end, and to requests without end."""

    def __init__(self, kind, *, probes_too=False):
        super().__init__("t0")
        self.sent_bytes = 0
        self.request_count = 0
        self._kind = kind
        self._probes_too = probes_too
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    async def _on_client(self, sock):
        with suppress(OSError):
            while data := await sock.recv(PIECE_BYTES):
                await self._on_request(sock, is_probe=data.startswith(b"GET " + HEALTH_PATH))

    async def _on_request(self, sock, *, is_probe):
        if is_probe and not self._probes_too:
            await sock.sendall(PROBE_RESPONSE)
            return
        self.request_count += not is_probe
        await self._send_without_end(sock)

    async def _send_without_end(self, sock):
        beginning, piece = BEGINNINGS_AND_PIECES[self._kind]
        for data in itertools.chain([beginning], itertools.repeat(piece)):
            rest = memoryview(data)
            while rest:
                count = await sock.send(rest)
                self.sent_bytes += count
                rest = rest[count:]
            # Lets the responses on other connections grow at the same time.
            await curio.sleep(PIECE_INTERVAL_S)
