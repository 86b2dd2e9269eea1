"""Callers that send bodies that do not end, bodies over the limit, or nothing."""

from __future__ import annotations

from contextlib import suppress

import curio

PIECE_BYTES = 65_536
PIECE_PAUSE_S = 0.01
OVERSIZE_FACTOR = 4
TINY_CHUNK = b"1\r\na\r\n"
FILLING = b"a" * PIECE_BYTES
LARGE_CHUNK = b"%x\r\n%s\r\n" % (PIECE_BYTES, FILLING)
TINY_CHUNKS = TINY_CHUNK * (PIECE_BYTES // len(TINY_CHUNK))
TINY_CHUNKS_BODY_BYTES = PIECE_BYTES // len(TINY_CHUNK)
LENGTH = "content-length: %d\r\n"
CHUNKED = "transfer-encoding: chunked\r\n"


class Upload:
    """How one caller sends its body: its framing header and the pieces, with pauses between."""

    def __init__(self, framing: str, piece: bytes, count: int, *, pause_s: float = 0.0) -> None:
        self.framing = framing
        self.piece = piece
        self.count = count
        self.pause_s = pause_s


def _uploads(limit_bytes: int) -> dict[str, Upload]:
    whole = limit_bytes // PIECE_BYTES
    oversize = OVERSIZE_FACTOR * limit_bytes
    return {
        "whole bodies that stop short": Upload(LENGTH % limit_bytes, FILLING * whole, 1),
        "bodies in pieces that stop short": Upload(
            LENGTH % limit_bytes, FILLING, whole, pause_s=PIECE_PAUSE_S
        ),
        "large chunks that stop short": Upload(CHUNKED, LARGE_CHUNK, whole),
        "one-byte chunks that stop short": Upload(
            CHUNKED, TINY_CHUNKS, limit_bytes // TINY_CHUNKS_BODY_BYTES
        ),
        "announced bodies over the limit": Upload(
            LENGTH % oversize, FILLING, oversize // PIECE_BYTES
        ),
        "chunked bodies over the limit": Upload(CHUNKED, LARGE_CHUNK, oversize // PIECE_BYTES),
    }


MIXTURE = "all of these in turn"
IDLE = "nothing"


class Crowd:
    """Callers that connect at once, send as much as the entry takes, and stay connected."""

    def __init__(self, address, kind: str, *, count: int, limit_bytes: int, host: str) -> None:
        self._address = address
        self._kind = kind
        self._count = count
        self._host = host
        uploads = _uploads(limit_bytes)
        self._uploads = list(uploads.values()) if kind == MIXTURE else [uploads.get(kind)]
        self._tasks: list[curio.Task] = []
        self._sent_count = 0
        self._all_sent = curio.Event()

    async def start(self) -> None:
        """Begin to connect and to send."""
        for number in range(self._count):
            upload = self._uploads[number % len(self._uploads)]
            self._tasks.append(await curio.spawn(self._hold, number, upload, daemon=True))

    async def wait_until_sent(self, *, timeout_s: float) -> None:
        """Wait until no caller sends any more; callers that still send go on."""
        await curio.ignore_after(timeout_s, self._all_sent.wait)

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            await task.cancel()

    async def _hold(self, number: int, upload: Upload | None) -> None:
        try:
            sock = await curio.open_connection(self._address.host, self._address.port)
        except OSError:
            await self._mark_sent()
            return
        async with sock:
            with suppress(OSError):
                if upload is not None:
                    await self._send(sock, number, upload)
            await self._mark_sent()
            # The connection stays open, whatever the entry sent or did.
            await curio.sleep(3_600)

    async def _send(self, sock, number: int, upload: Upload) -> None:
        head = f"POST /sound/crowd{number} HTTP/1.1\r\nhost: {self._host}\r\n{upload.framing}"
        await sock.sendall(f"{head}x-kingcupusher-attempt-id: c{number}\r\n\r\n".encode())
        for _ in range(upload.count):
            await sock.sendall(upload.piece)
            await curio.sleep(upload.pause_s)

    async def _mark_sent(self) -> None:
        self._sent_count += 1
        if self._sent_count == self._count:
            await self._all_sent.set()
