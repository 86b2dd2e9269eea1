"""Pool of connections to one target."""

from __future__ import annotations

from collections import deque

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.client_connection import ClientConnection
from kingcupusher._http.errors import PoolLimitError

# A target may close an idle connection while a request is being written; the longer the
# connection has been idle, the more likely that is.
RECENT_IDLE_MS = 1_000.0
MAX_IDLE_MS = 15_000.0


class ConnectionPool:
    """Open connections to one target, at most ``limit``; the most recently used is reused first."""

    __slots__ = ("_closed", "_idle", "_open_count", "address", "limit", "max_idle_ms")

    def __init__(self, address: Address, *, limit: int, max_idle_ms: float = MAX_IDLE_MS) -> None:
        self.address = address
        self.limit = limit
        self.max_idle_ms = max_idle_ms
        self._idle: deque[ClientConnection] = deque()
        self._open_count = 0
        self._closed = False

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open_count

    @property
    def can_acquire(self) -> bool:
        """Whether a connection can be acquired now."""
        return bool(self._idle) or (self._open_count < self.limit and not self._closed)

    async def acquire(self, *, recent_only: bool, deadline_ms: float) -> ClientConnection:
        """Return a connection for one exchange.

        With ``recent_only``, a connection idle for longer than ``RECENT_IDLE_MS`` is not reused.
        Raises :class:`PoolLimitError` at once if all connections are in use, and
        :class:`ConnectError` if a new one cannot be opened.
        """
        oldest_ms = now_ms() - (RECENT_IDLE_MS if recent_only else self.max_idle_ms)
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since_ms >= oldest_ms and connection.is_idle_and_open():
                return connection
            await self._discard(connection)
        return await self.open_new(deadline_ms=deadline_ms)

    async def acquire_idle(self, *, max_idle_ms: float) -> ClientConnection | None:
        """Return an open connection that was idle for at most ``max_idle_ms``, or None."""
        oldest_ms = now_ms() - max_idle_ms
        while self._idle and self._idle[-1].idle_since_ms >= oldest_ms:
            connection = self._idle.pop()
            if connection.is_idle_and_open():
                return connection
            await self._discard(connection)
        return None

    async def open_new(self, *, deadline_ms: float) -> ClientConnection:
        """Open a new connection; raises the same errors as :meth:`acquire`."""
        if self._closed or self._open_count >= self.limit:
            raise PoolLimitError(f"{self.address} has {self._open_count} open connections")
        return await self._open(deadline_ms)

    async def _open(self, deadline_ms: float) -> ClientConnection:
        self._open_count += 1
        try:
            return await ClientConnection.open(self.address, deadline_ms=deadline_ms)
        except BaseException:
            self._open_count -= 1
            raise

    async def release(self, connection: ClientConnection, *, reusable: bool) -> None:
        """Return a connection; close it unless ``reusable`` and its exchange is complete."""
        if self._closed or not reusable or not connection.is_complete():
            await self._discard(connection)
            return
        connection.start_next_request()
        connection.idle_since_ms = now_ms()
        self._idle.append(connection)

    async def _discard(self, connection: ClientConnection) -> None:
        self._open_count -= 1
        await connection.close()

    async def discard_closed(self) -> bool:
        """Discard idle connections that the target closed; return whether no other one is open.

        A target that restarts closes all its connections; this shows it before a request fails.
        """
        closed = [connection for connection in self._idle if not connection.is_idle_and_open()]
        for connection in closed:
            self._idle.remove(connection)
            await self._discard(connection)
        return bool(closed) and not self._open_count

    async def close_idle(self) -> None:
        """Close the connections that have been idle for longer than ``max_idle_ms``."""
        oldest_ms = now_ms() - self.max_idle_ms
        while self._idle and self._idle[0].idle_since_ms < oldest_ms:
            await self._discard(self._idle.popleft())

    async def close(self) -> None:
        """Close the idle connections now and the others when they are released."""
        self._closed = True
        while self._idle:
            await self._discard(self._idle.pop())
