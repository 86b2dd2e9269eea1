"""The tasks that drive the membership of an entry with timer ticks and peer messages."""

from __future__ import annotations

import curio

from kingcupusher._config import decode_document, encode_document
from kingcupusher._config.errors import ConfigError
from kingcupusher._core import now_ms
from kingcupusher._entry.active_config import ActiveConfig
from kingcupusher._entry.tasks import run_until_first_ends
from kingcupusher._membership import EntryId, Membership
from kingcupusher._peers import (
    ConfigReply,
    ConfigRequest,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerTransport,
)

# Bounds the delay of a notice, which must reach all entries within 1 s.
TICK_INTERVAL_S = 0.05


class MembershipDriver:
    """Passes peer events and timer ticks to a membership and sends its outgoing messages."""

    def __init__(
        self, membership: Membership, transport: PeerTransport, config: ActiveConfig
    ) -> None:
        self.membership = membership
        self.transport = transport
        self._config = config

    async def run(self) -> None:
        """Run until cancelled."""
        await run_until_first_ends(self.transport.run, self._receive, self._tick)

    async def flush(self) -> None:
        """Send the outgoing messages of the membership."""
        for outgoing in self.membership.take_outgoing():
            if outgoing.seat is None:
                await self.transport.broadcast(outgoing.message)
            else:
                await self.transport.send(outgoing.seat, outgoing.message)

    async def _tick(self) -> None:
        while True:
            self.membership.tick(now_ms=now_ms())
            await self.flush()
            await curio.sleep(TICK_INTERVAL_S)

    async def _receive(self) -> None:
        while True:
            event = await self.transport.inbound.get()
            if isinstance(event, PeerMessage):
                await self._on_message(event)
            elif isinstance(event, PeerConnected):
                identity = EntryId(event.peer.seat, event.peer.boot_id)
                self.membership.on_peer_connected(identity, now_ms=now_ms())
            elif isinstance(event, PeerDisconnected):
                identity = EntryId(event.peer.seat, event.peer.boot_id)
                self.membership.on_peer_disconnected(identity)
            await self.flush()

    async def _on_message(self, event: PeerMessage) -> None:
        message = event.message
        if isinstance(message, ConfigRequest):
            await self._send_config(event.peer.seat, message.version)
        elif isinstance(message, ConfigReply):
            self._apply_config(message)
        else:
            identity = EntryId(event.peer.seat, event.peer.boot_id)
            self.membership.on_message(identity, message, now_ms=now_ms())

    async def _send_config(self, seat: int, version: int) -> None:
        document = self._config.document
        if document.version >= version:
            reply = ConfigReply(document.version, encode_document(document))
            await self.transport.send(seat, reply)

    def _apply_config(self, reply: ConfigReply) -> None:
        try:
            document = decode_document(reply.document)
        except ConfigError:
            return
        self._config.activate_if_newer(document)
