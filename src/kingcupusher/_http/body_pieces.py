"""Body of a message in pieces of one size."""

from __future__ import annotations

PIECE_BYTES = 65_536


class BodyPieces:
    """Collects a body; all pieces but the last have ``PIECE_BYTES``.

    One array that grows would be moved again and again, and leave holes in the heap that take
    several times the size of the body.
    """

    __slots__ = ("_last", "_pieces", "size_bytes")

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._last = bytearray()
        self.size_bytes = 0

    def __len__(self) -> int:
        return self.size_bytes

    def prefix(self, max_bytes: int) -> bytes:
        """Return the first ``max_bytes``, at most ``PIECE_BYTES``."""
        first = self._pieces[0] if self._pieces else bytes(self._last)
        return first[:max_bytes]

    def append(self, data: bytes) -> None:
        """Add ``data`` at the end of the body."""
        self.size_bytes += len(data)
        self._last += data
        while len(self._last) >= PIECE_BYTES:
            self._pieces.append(bytes(self._last[:PIECE_BYTES]))
            del self._last[:PIECE_BYTES]

    def pieces(self) -> list[bytes]:
        """Return the pieces, none for an empty body."""
        return [*self._pieces, bytes(self._last)] if self._last else self._pieces
