"""One WebSocket connection: the Sans-I/O protocol of ``websockets`` over a curio socket."""

from __future__ import annotations

import socket
from dataclasses import dataclass

import curio
from msgspec import Struct
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake, InvalidState
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import Protocol, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from kingcupusher._core.address import Address
from kingcupusher._http.tcp import connect
from kingcupusher._peers.errors import HandshakeError, LinkClosedError

# A configuration document of 1 MB, the largest value of the key-value service, must fit.
MAX_MESSAGE_BYTES = 1_500_000
RECEIVE_BYTES = 65_536
PATH = "/peer"
SEAT_HEADER = "X-Seat"
BOOT_HEADER = "X-Boot-Id"


class PeerIdentity(Struct, frozen=True):
    """Process at the other end of a link."""

    seat: int
    boot_id: int


@dataclass(slots=True)
class ByteCounters:
    """Bytes that crossed the sockets of the inner protocol."""

    sent_bytes: int = 0
    received_bytes: int = 0


class Connection:
    """Sends and receives binary messages; owned by one link task."""

    __slots__ = ("_counters", "_protocol", "_sock", "_pending", "peer")

    def __init__(
        self,
        sock: curio.io.Socket,
        protocol: Protocol,
        *,
        peer: PeerIdentity,
        counters: ByteCounters,
    ) -> None:
        self._sock = sock
        self._protocol = protocol
        self._counters = counters
        self._pending: list[bytes] = []
        self.peer = peer

    async def send(self, data: bytes) -> None:
        """Send one message; raise :class:`LinkClosedError` if the link is closed."""
        try:
            self._protocol.send_binary(data)
        except InvalidState as error:
            raise LinkClosedError(f"link to seat {self.peer.seat} is closed") from error
        await _flush(self._sock, self._protocol, self._counters)

    async def receive(self) -> list[bytes]:
        """Return the messages that the next bytes complete, possibly none.

        Raises :class:`LinkClosedError` at the end of the stream or on a protocol error.
        """
        await _feed(self._sock, self._protocol, self._counters)
        messages = [self._content(e) for e in self._protocol.events_received()]
        await _flush(self._sock, self._protocol, self._counters)
        if self._protocol.state is not State.OPEN:
            raise LinkClosedError(f"link to seat {self.peer.seat} was closed by the peer")
        return [message for message in messages if message is not None]

    async def close(self) -> None:
        """Close the socket without waiting for the closing handshake."""
        await self._sock.close()

    def _content(self, event: Request | Response | Frame) -> bytes | None:
        if not isinstance(event, Frame):
            return None
        if event.opcode is Opcode.BINARY and event.fin:
            return bytes(event.data)
        if event.opcode in (Opcode.BINARY, Opcode.CONT):
            return self._join(event)
        return None

    def _join(self, event: Frame) -> bytes | None:
        self._pending.append(bytes(event.data))
        if not event.fin:
            return None
        whole = b"".join(self._pending)
        self._pending.clear()
        return whole


async def dial(
    address: Address, *, own: PeerIdentity, seat: int, counters: ByteCounters
) -> Connection:
    """Open a link to ``seat`` at ``address``; the caller bounds the time."""
    sock = await connect(address)
    try:
        return await _handshake_as_client(sock, address, own, seat, counters)
    except BaseException:
        await sock.close()
        raise


async def accept(sock: curio.io.Socket, *, own: PeerIdentity, counters: ByteCounters) -> Connection:
    """Answer the opening handshake on an accepted socket; the caller bounds the time."""
    protocol = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    event = await _first_event(sock, protocol, counters)
    if not isinstance(event, Request):
        raise HandshakeError("a peer closed the link during the opening handshake")
    response = protocol.accept(event)
    if event.path != PATH:
        response = protocol.reject(404, f"use {PATH}\n")
    response.headers.update(_identity_headers(own))
    protocol.send_response(response)
    await _flush(sock, protocol, counters)
    if protocol.state is not State.OPEN:
        raise HandshakeError(f"refused a link: {protocol.handshake_exc or event.path}")
    _use_nodelay(sock)
    return Connection(sock, protocol, peer=_identity(event), counters=counters)


async def _handshake_as_client(
    sock: curio.io.Socket,
    address: Address,
    own: PeerIdentity,
    seat: int,
    counters: ByteCounters,
) -> Connection:
    _use_nodelay(sock)
    protocol = ClientProtocol(parse_uri(f"ws://{address}{PATH}"), max_size=MAX_MESSAGE_BYTES)
    request = protocol.connect()
    request.headers.update(_identity_headers(own))
    protocol.send_request(request)
    await _flush(sock, protocol, counters)
    event = await _first_event(sock, protocol, counters)
    if protocol.state is not State.OPEN or not isinstance(event, Response):
        raise HandshakeError(f"{address} refused the link: {protocol.handshake_exc}")
    peer = _identity(event)
    if peer.seat != seat:
        raise HandshakeError(f"{address} has seat {peer.seat}, expected {seat}")
    return Connection(sock, protocol, peer=peer, counters=counters)


async def _first_event(
    sock: curio.io.Socket, protocol: Protocol, counters: ByteCounters
) -> Request | Response | Frame:
    while True:
        try:
            await _feed(sock, protocol, counters)
        except LinkClosedError as error:
            raise HandshakeError(f"opening handshake failed: {error}") from error
        events = protocol.events_received()
        if events:
            return events[0]
        if protocol.handshake_exc is not None:
            raise HandshakeError(f"opening handshake failed: {protocol.handshake_exc}")


async def _feed(sock: curio.io.Socket, protocol: Protocol, counters: ByteCounters) -> None:
    try:
        data = await sock.recv(RECEIVE_BYTES)
    except OSError as error:
        raise LinkClosedError(f"receiving failed: {error}") from error
    if not data:
        protocol.receive_eof()
        raise LinkClosedError("the peer closed the connection")
    counters.received_bytes += len(data)
    protocol.receive_data(data)


async def _flush(sock: curio.io.Socket, protocol: Protocol, counters: ByteCounters) -> None:
    data = b"".join(protocol.data_to_send())
    if not data:
        return
    try:
        await sock.sendall(data)
    except OSError as error:
        raise LinkClosedError(f"sending failed: {error}") from error
    counters.sent_bytes += len(data)


def _identity_headers(own: PeerIdentity) -> dict[str, str]:
    return {SEAT_HEADER: str(own.seat), BOOT_HEADER: str(own.boot_id)}


def _identity(event: Request | Response) -> PeerIdentity:
    try:
        return PeerIdentity(int(event.headers[SEAT_HEADER]), int(event.headers[BOOT_HEADER]))
    except (KeyError, ValueError, InvalidHandshake) as error:
        raise HandshakeError(
            f"a peer sent no usable {SEAT_HEADER} and {BOOT_HEADER}: {error}"
        ) from error


def _use_nodelay(sock: curio.io.Socket) -> None:
    # A notice must not wait for the acknowledgement of an earlier heartbeat.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
