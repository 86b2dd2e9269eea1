"""Link of an entry to the lead, the reader that decides for the whole fleet.

The lead is the holder of the lowest reader slot that the entry can reach, possibly the entry
itself. Nothing guarantees that all entries agree on it: what the lead decides must be safe with two
leads at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import curio

from kingcupusher._core import KingcupusherError, now_ms
from kingcupusher._discovery import Catalog, ReaderSeen
from kingcupusher._peers.connection import ByteCounters, Connection, PeerIdentity, dial
from kingcupusher._peers.errors import HandshakeError, LinkClosedError, MessageError
from kingcupusher._relay.lead_server import LeadServer
from kingcupusher._relay.messages import (
    LeadCall,
    LeadHello,
    LeadMessage,
    LeadPing,
    LeadReply,
    decode,
    encode,
)

DIAL_TIMEOUT_S = 0.5
PING_INTERVAL_S = 1.0
PING_TIMEOUT_MS = 800.0
SEND_TIMEOUT_S = 0.5
CHECK_INTERVAL_S = 0.1
AVOID_AFTER_LOSS_MS = 7_000.0
"""For this time, a reader whose link was lost is used only if there is no other. It is longer than
the lease of a reader slot, so that entries do not go back to a lead that is gone."""
NO_REPLY = 0


class LeadUnavailableError(KingcupusherError):
    """Raised when the lead is not linked, or does not reply in time."""


class LeadLink:
    """Keeps a link to the lead while ``is_needed()`` is true."""

    __slots__ = (
        "_avoid_until_ms",
        "_catalog",
        "_connection",
        "_entry",
        "_is_needed",
        "_last_call_id",
        "_lost_link_to",
        "_on_event",
        "_replies",
        "_send_lock",
        "_server",
        "counters",
        "lead",
    )

    def __init__(
        self,
        catalog: Catalog,
        server: LeadServer,
        *,
        entry: str,
        is_needed: Callable[[], bool],
        on_event: Callable[..., None],
    ) -> None:
        self._catalog = catalog
        self._server = server
        self._entry = entry
        self._is_needed = is_needed
        self._on_event = on_event
        self._connection: Connection | None = None
        self._send_lock = curio.Lock()
        self._replies: dict[int, curio.Queue] = {}
        self._last_call_id = NO_REPLY
        self._avoid_until_ms: dict[str, float] = {}
        self._lost_link_to: str | None = None
        self.lead: str | None = None
        """Name of the linked lead, None without a link."""
        self.counters = ByteCounters()

    @property
    def is_lead(self) -> bool:
        """Whether this entry is its own lead."""
        return self.lead == self._entry

    async def run(self) -> None:
        """Keep the link until cancelled; dial again after a loss."""
        while True:
            reader = self._select_lead() if self._is_needed() else None
            if reader is None:
                await curio.sleep(CHECK_INTERVAL_S)
            elif reader.entry == self._entry:
                await self._lead_itself()
            else:
                await self._run_link(reader)

    async def ask(self, message: LeadMessage, *, timeout_ms: float) -> LeadMessage:
        """Return the reply of the lead; raise :class:`LeadUnavailableError` without one in time."""
        if self.is_lead:
            reply = self._server.handle(self._entry, message)
            if reply is None:
                raise LeadUnavailableError("this entry has no reply to the call")
            return reply
        self._last_call_id += 1
        call_id = self._last_call_id
        replies = self._replies[call_id] = curio.Queue()
        received: LeadMessage | None = None
        try:
            async with curio.ignore_after(timeout_ms / 1000.0):
                await self._send(LeadCall(call_id, message))
                received = await replies.get()
        finally:
            del self._replies[call_id]
        if received is None:
            raise LeadUnavailableError(f"no reply of {self.lead} within {timeout_ms:.0f} ms")
        return received

    async def tell(self, message: LeadMessage) -> None:
        """Send ``message`` without a reply; raise :class:`LeadUnavailableError` if not linked."""
        if self.is_lead:
            self._server.handle(self._entry, message)
            return
        await self._send(LeadCall(NO_REPLY, message))

    def _select_lead(self) -> ReaderSeen | None:
        current_ms = now_ms()
        readers = sorted(self._catalog.readers.values(), key=lambda reader: reader.slot)
        for reader in readers:
            if self._avoid_until_ms.get(reader.entry, -inf) <= current_ms:
                return reader
        return min(readers, key=lambda reader: self._avoid_until_ms[reader.entry], default=None)

    async def _lead_itself(self) -> None:
        self._set_lead(self._entry)
        self._server.link(self._entry)
        try:
            while self._is_own_turn():
                await curio.sleep(CHECK_INTERVAL_S)
        finally:
            self._server.unlink(self._entry)
            self._set_lead(None)

    async def _run_link(self, reader: ReaderSeen) -> None:
        reason = ""
        try:
            connection = await self._dial(reader)
            try:
                await self._use(connection, reader.entry)
            finally:
                self._connection = None
                self._set_lead(None)
                await connection.close()
        except LinkClosedError as error:
            if self._lost_link_to != reader.entry:
                # A lead closes the link of an entry that was frozen, so it is dialed once more.
                self._lost_link_to = reader.entry
                return
            reason = str(error)
        except (OSError, HandshakeError, MessageError) as error:
            reason = str(error)
        except (curio.TaskTimeout, LeadUnavailableError):
            reason = "timed out"
        if reason:
            self._avoid(reader, reason)
            await curio.sleep(CHECK_INTERVAL_S)

    async def _dial(self, reader: ReaderSeen) -> Connection:
        async with curio.timeout_after(DIAL_TIMEOUT_S):
            own = PeerIdentity(0, 0)
            return await dial(reader.address, own=own, seat=0, counters=self.counters)

    def _avoid(self, reader: ReaderSeen, reason: str) -> None:
        self._avoid_until_ms[reader.entry] = now_ms() + AVOID_AFTER_LOSS_MS
        self._on_event("lead link lost", lead=reader.entry, reason=reason)

    async def _may_stay(self, lead: str) -> bool:
        """Return whether ``lead`` is to be used further.

        A link is given up for a lower reader slot only if that reader can be reached.
        """
        reader = self._select_lead() if self._is_needed() else None
        if reader is None or reader.entry == lead:
            return reader is not None
        if reader.entry == self._entry or lead not in self._reader_names():
            return False
        try:
            connection = await self._dial(reader)
        except (OSError, HandshakeError, curio.TaskTimeout) as error:
            self._avoid(reader, str(error) or "timed out")
            return True
        await connection.close()
        return False

    def _reader_names(self) -> set[str]:
        return {reader.entry for reader in self._catalog.readers.values()}

    async def _use(self, connection: Connection, lead: str) -> None:
        """Send pings until the lead is not needed, is replaced, or does not reply."""
        async with curio.timeout_after(SEND_TIMEOUT_S):
            await connection.send(encode(LeadHello(self._entry)))
        self._connection = connection
        self._set_lead(lead)
        receiver = await curio.spawn(self._receive, connection, daemon=True)
        try:
            ping_ms = now_ms()
            while await self._may_stay(lead):
                if receiver.terminated:
                    raise LinkClosedError(f"the link to {lead} was closed")
                if now_ms() >= ping_ms:
                    await self.ask(LeadPing(), timeout_ms=PING_TIMEOUT_MS)
                    self._lost_link_to = None
                    ping_ms = now_ms() + PING_INTERVAL_S * 1000.0
                await curio.sleep(CHECK_INTERVAL_S)
        finally:
            await receiver.cancel()

    async def _receive(self, connection: Connection) -> None:
        try:
            while True:
                for data in await connection.receive():
                    reply = decode(data)
                    if isinstance(reply, LeadReply) and reply.call_id in self._replies:
                        await self._replies[reply.call_id].put(reply.message)
        except (LinkClosedError, MessageError):
            return

    async def _send(self, call: LeadCall) -> None:
        connection = self._connection
        if connection is None:
            raise LeadUnavailableError("no lead is linked")
        try:
            async with self._send_lock, curio.timeout_after(SEND_TIMEOUT_S):
                await connection.send(encode(call))
        except (LinkClosedError, curio.TaskTimeout) as error:
            raise LeadUnavailableError(f"cannot send to the lead: {error}") from error

    def _is_own_turn(self) -> bool:
        """Return whether a lead is needed and this entry still holds the lowest reader slot."""
        reader = self._select_lead() if self._is_needed() else None
        return reader is not None and reader.entry == self._entry

    def _set_lead(self, lead: str | None) -> None:
        if lead != self.lead:
            self._on_event("lead changed", lead=lead, before=self.lead)
            self.lead = lead
