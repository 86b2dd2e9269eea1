"""Time-outs for the first byte of a response."""

from __future__ import annotations

import curio

from kingcupusher._core import now_ms
from kingcupusher._http.client_connection import ClientConnection

CHECK_INTERVAL_S = 0.1


class ResponseTimeouts:
    """Aborts connections on which no response begins before a deadline.

    One periodic task checks all deadlines, so that an attempt needs no timer of its own.
    """

    __slots__ = ("_deadlines_ms",)

    def __init__(self) -> None:
        self._deadlines_ms: dict[ClientConnection, float] = {}

    def start(self, connection: ClientConnection, *, deadline_ms: float) -> None:
        """Abort ``connection`` after ``deadline_ms`` unless :meth:`cancel` is called before."""
        self._deadlines_ms[connection] = deadline_ms

    def cancel(self, connection: ClientConnection) -> bool:
        """Cancel the time-out; return ``False`` if the connection was aborted already."""
        return self._deadlines_ms.pop(connection, None) is not None

    async def run(self) -> None:
        """Abort expired connections periodically until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            self.abort_expired(now_ms=now_ms())

    def abort_expired(self, *, now_ms: float) -> None:
        """Abort the connections whose deadline has passed."""
        expired = [c for c, deadline_ms in self._deadlines_ms.items() if deadline_ms <= now_ms]
        for connection in expired:
            del self._deadlines_ms[connection]
            connection.abort()
