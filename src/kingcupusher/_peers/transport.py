"""The links of one entry to its peers."""

from __future__ import annotations

from collections.abc import Mapping

import curio

from kingcupusher._core.address import Address
from kingcupusher._core.connection_server import serve_connections
from kingcupusher._core.startup import listen
from kingcupusher._peers.codec import encode
from kingcupusher._peers.connection import ByteCounters, Connection, PeerIdentity, accept, dial
from kingcupusher._peers.errors import HandshakeError, LinkClosedError
from kingcupusher._peers.events import PeerConnected, PeerDisconnected
from kingcupusher._peers.link import Link
from kingcupusher._peers.messages import Message

HANDSHAKE_TIMEOUT_S = 1.0
# A peer that is reachable again is connected within one heartbeat period.
REDIAL_DELAY_S = 0.3
BACKLOG = 64
MAX_INBOUND_EVENTS = 4_096


class PeerTransport:
    """Maintains one link to each peer; the entry with the lower seat dials.

    ``inbound`` receives :class:`PeerMessage`, :class:`PeerConnected` and
    :class:`PeerDisconnected`.
    """

    def __init__(self, address: Address, *, seat: int, boot_id: int) -> None:
        self.inbound = curio.Queue(maxsize=MAX_INBOUND_EVENTS)
        self.counters = ByteCounters()
        self._own = PeerIdentity(seat, boot_id)
        self._sock = listen(address, backlog=BACKLOG)
        self._links: dict[int, Link] = {}
        self._addresses: dict[int, Address] = {}
        self._dialers: dict[int, curio.Task] = {}

    @property
    def address(self) -> Address:
        """Address that the transport listens on, with the actual port if 0 was given."""
        return Address(*self._sock.getsockname()[:2])

    @property
    def connected_seats(self) -> frozenset[int]:
        """Seats with an open link."""
        return frozenset(self._links)

    async def set_peers(self, addresses: Mapping[int, Address]) -> None:
        """Replace the registered peers; accepted links of removed ones end without heartbeats."""
        wanted = {s: a for s, a in addresses.items() if s > self._own.seat}
        for seat in [s for s in self._dialers if wanted.get(s) != self._addresses.get(s)]:
            await self._dialers.pop(seat).cancel()
        self._addresses = wanted
        for seat in wanted:
            if seat not in self._dialers:
                self._dialers[seat] = await curio.spawn(self._dial_repeatedly, seat, daemon=True)

    async def send(self, seat: int, message: Message) -> bool:
        """Queue a message for ``seat``; return False if there is no usable link to it."""
        return await self._send(seat, encode(message))

    async def broadcast(self, message: Message) -> None:
        """Queue a message for every connected peer."""
        data = encode(message)
        for seat in list(self._links):
            await self._send(seat, data)

    async def run(self) -> None:
        """Accept links until cancelled, then close all links."""
        try:
            await serve_connections(self._sock, self._accept_link)
        finally:
            for dialer in self._dialers.values():
                await dialer.cancel()

    async def _send(self, seat: int, data: bytes) -> bool:
        link = self._links.get(seat)
        return link is not None and await link.send(data)

    async def _accept_link(self, sock: curio.io.Socket) -> None:
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
                connection = await accept(sock, own=self._own, counters=self.counters)
        except (HandshakeError, LinkClosedError, curio.TaskTimeout):
            return
        await self._run_link(connection)

    async def _dial_repeatedly(self, seat: int) -> None:
        while True:
            connection = await self._dial_once(seat)
            if connection is not None:
                await self._run_link(connection)
            await curio.sleep(REDIAL_DELAY_S)

    async def _dial_once(self, seat: int) -> Connection | None:
        address = self._addresses[seat]
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
                return await dial(address, own=self._own, seat=seat, counters=self.counters)
        except (OSError, HandshakeError, LinkClosedError, curio.TaskTimeout):
            return None

    async def _run_link(self, connection: Connection) -> None:
        link = Link(connection, inbound=self.inbound)
        # A newer link replaces an older one: the peer dials again only after it closed the older.
        self._links[link.seat] = link
        await self.inbound.put(PeerConnected(connection.peer))
        reason = "stopped"
        try:
            await link.run()
        except LinkClosedError as error:
            reason = str(error)
        finally:
            is_current = self._links.get(link.seat) is link
            if is_current:
                del self._links[link.seat]
        # The end of a replaced link does not mean that the peer is disconnected.
        if is_current:
            await self.inbound.put(PeerDisconnected(connection.peer, reason))
