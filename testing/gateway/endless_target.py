"""Target that sends bytes without end until its caller closes the connection."""

from __future__ import annotations

import itertools
import socket

import curio

from kingcupusher._core.address import Address
from testing.gateway.targets import HEALTH_PATH

PIECE_BYTES = 65_536
PIECE_INTERVAL_S = 0.001
SEND_BUFFER_BYTES = 65_536
"""Small, so that the bytes that were sent are about those that the entry read."""
FILLING = b"a" * PIECE_BYTES
OK_LINE = b"HTTP/1.1 200 OK\r\n"
SIGNED = OK_LINE + b"x-signed: t0\r\n"
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


class EndlessTarget:
    """Responds to load probes properly, or also without end, and to requests without end."""

    def __init__(self, kind, *, probes_too=False):
        self.target_id = "t0"
        self.sent_bytes = 0
        self.request_count = 0
        self.open_count = 0
        self._kind = kind
        self._probes_too = probes_too
        self._sock = curio.tcp_server_socket("127.0.0.1", 0)
        self._sock._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.address = Address("127.0.0.1", self._sock.getsockname()[1])
        self._task = None

    async def start(self):
        """Accept connections."""
        self._task = await curio.spawn(
            curio.network.run_server, self._sock, self._on_client, daemon=True
        )

    async def stop(self):
        """Stop accepting."""
        await self._task.cancel()

    async def _on_client(self, sock, _address):
        self.open_count += 1
        try:
            while data := await sock.recv(PIECE_BYTES):
                is_probe = data.startswith(b"GET " + HEALTH_PATH)
                if is_probe and not self._probes_too:
                    await sock.sendall(PROBE_RESPONSE)
                else:
                    self.request_count += not is_probe
                    await self._send_without_end(sock)
        except OSError:
            return
        finally:
            self.open_count -= 1

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
