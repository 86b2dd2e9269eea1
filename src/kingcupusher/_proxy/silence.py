"""Detection of targets that do not begin to respond."""

from __future__ import annotations

import curio

from kingcupusher._core import now_ms
from kingcupusher._http.client_connection import ClientConnection

SWEEP_S = 0.1


class SilenceWatch:
    """Aborts connections on which no response began by a deadline.

    One sweep serves all requests, so that the deadline of an attempt costs no timer.
    """

    __slots__ = ("_deadlines_ms",)

    def __init__(self) -> None:
        self._deadlines_ms: dict[ClientConnection, float] = {}

    def watch(self, connection: ClientConnection, *, deadline_ms: float) -> None:
        """Abort ``connection`` after ``deadline_ms`` unless it is forgotten before."""
        self._deadlines_ms[connection] = deadline_ms

    def forget(self, connection: ClientConnection) -> bool:
        """Stop watching; return False if the connection was aborted."""
        return self._deadlines_ms.pop(connection, None) is not None

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await curio.sleep(SWEEP_S)
            self.sweep(now_ms=now_ms())

    def sweep(self, *, now_ms: float) -> None:
        """Abort the connections whose deadline has passed."""
        expired = [c for c, deadline_ms in self._deadlines_ms.items() if deadline_ms <= now_ms]
        for connection in expired:
            del self._deadlines_ms[connection]
            connection.abort()
