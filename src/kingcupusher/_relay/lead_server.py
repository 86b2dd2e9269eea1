"""Lead side of the lead link: handles the calls of the entries that are linked to this one."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

import curio
from msgspec import Struct

from kingcupusher._peers.connection import Connection
from kingcupusher._peers.errors import LinkClosedError
from kingcupusher._relay.messages import LeadCall, LeadMessage, LeadPing, LeadReply, decode, encode

MAX_SILENCE_S = 2.5
"""Linked entries send a ping every second; one that is silent for longer is cut off or frozen."""
SEND_TIMEOUT_S = 1.0

LeadHandler = Callable[[str, Struct], LeadMessage | None]
"""Gets the name of the calling entry and its message; returns the reply, if it has one."""


class LeadServer:
    """Passes the calls of linked entries to the handlers of their message types."""

    __slots__ = ("_handlers", "_links")

    def __init__(self) -> None:
        self._handlers: dict[type[Struct], LeadHandler] = {LeadPing: _reply_to_ping}
        self._links: Counter[str] = Counter()

    @property
    def linked_entries(self) -> frozenset[str]:
        """Names of the entries that are linked to this one now."""
        return frozenset(self._links)

    def register(self, kind: type[Struct], handler: LeadHandler) -> None:
        """Let ``handler`` answer messages of the type ``kind``."""
        self._handlers[kind] = handler

    def link(self, entry: str) -> None:
        """Count a link of ``entry``."""
        self._links[entry] += 1

    def unlink(self, entry: str) -> None:
        """Remove a link of ``entry`` from the count."""
        self._links[entry] -= 1
        if not self._links[entry]:
            del self._links[entry]

    def handle(self, entry: str, message: Struct) -> LeadMessage | None:
        """Return the reply to ``message``, None if it has none or its type is unknown here."""
        handler = self._handlers.get(type(message))
        return None if handler is None else handler(entry, message)

    async def serve(
        self, connection: Connection, entry: str, *, received: Sequence[bytes] = ()
    ) -> None:
        """Answer the calls on one link until it ends or is silent for too long.

        ``received`` are the calls that arrived together with the hello.
        """
        self.link(entry)
        try:
            while True:
                for data in received:
                    await self._answer(connection, entry, decode(data))
                async with curio.timeout_after(MAX_SILENCE_S):
                    received = await connection.receive()
        except LinkClosedError:
            return
        finally:
            self.unlink(entry)

    async def _answer(self, connection: Connection, entry: str, call: Struct) -> None:
        if not isinstance(call, LeadCall):
            return
        reply = self.handle(entry, call.message)
        if call.call_id and reply is not None:
            async with curio.timeout_after(SEND_TIMEOUT_S):
                await connection.send(encode(LeadReply(call.call_id, reply)))


def _reply_to_ping(entry: str, message: Struct) -> LeadMessage:  # noqa: ARG001
    return LeadPing()
