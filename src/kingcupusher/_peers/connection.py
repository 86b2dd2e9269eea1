"""WebSocket connection: the sans-I/O protocol of ``websockets`` over a curio socket."""

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

# Must hold a configuration document of 1 MB, the largest value of the key-value service.
MAX_MESSAGE_BYTES = 1_500_000
MAX_RECEIVE_BYTES = 65_536
PEER_PATH = "/peer"
SEAT_HEADER = "X-Seat"
BOOT_HEADER = "X-Boot-Id"


class PeerIdentity(Struct, frozen=True):
    """Identifies the process at one end of a link."""

    seat: int
    boot_id: int


@dataclass(slots=True)
class ByteCounters:
    """Bytes sent and received on the sockets of peer links."""

    sent_bytes: int = 0
    received_bytes: int = 0


class Connection:
    """Sends and receives binary messages; used by a single link."""

    __slots__ = ("_counters", "_protocol", "_sock", "_fragments", "peer")

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
        self._fragments: list[bytes] = []
        self.peer = peer

    async def send(self, data: bytes) -> None:
        """Send one message; raise :class:`LinkClosedError` if the link is closed."""
        try:
            self._protocol.send_binary(data)
        except InvalidState as error:
            raise LinkClosedError(f"link to seat {self.peer.seat} is closed") from error
        await _send_pending(self._sock, self._protocol, self._counters)

    async def receive(self) -> list[bytes]:
        """Receive data once and return the messages that it completes, possibly none.

        Raises :class:`LinkClosedError` at the end of the stream or on a protocol error.
        """
        await _receive_data(self._sock, self._protocol, self._counters)
        messages = [self._message_of(e) for e in self._protocol.events_received()]
        await _send_pending(self._sock, self._protocol, self._counters)
        if self._protocol.state is not State.OPEN:
            raise LinkClosedError(f"link to seat {self.peer.seat} was closed by the peer")
        return [message for message in messages if message is not None]

    async def close(self) -> None:
        """Close the socket without waiting for the closing handshake."""
        await self._sock.close()

    def _message_of(self, event: Request | Response | Frame) -> bytes | None:
        if not isinstance(event, Frame):
            return None
        if event.opcode is Opcode.BINARY and event.fin:
            return bytes(event.data)
        if event.opcode in (Opcode.BINARY, Opcode.CONT):
            return self._append_fragment(event)
        return None

    def _append_fragment(self, event: Frame) -> bytes | None:
        self._fragments.append(bytes(event.data))
        if not event.fin:
            return None
        message = b"".join(self._fragments)
        self._fragments.clear()
        return message


async def dial(
    address: Address, *, own: PeerIdentity, seat: int, counters: ByteCounters
) -> Connection:
    """Open a link to ``seat`` at ``address``; apply a timeout around the call."""
    sock = await connect(address)
    try:
        return await _handshake_as_client(sock, address, own, seat, counters)
    except BaseException:
        await sock.close()
        raise


async def accept(sock: curio.io.Socket, *, own: PeerIdentity, counters: ByteCounters) -> Connection:
    """Complete the handshake on an accepted socket; apply a timeout around the call."""
    protocol = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    event = await _first_event(sock, protocol, counters)
    if not isinstance(event, Request):
        raise HandshakeError("a peer closed the link during the opening handshake")
    response = protocol.accept(event)
    if event.path != PEER_PATH:
        response = protocol.reject(404, f"use {PEER_PATH}\n")
    response.headers.update(_identity_headers(own))
    protocol.send_response(response)
    await _send_pending(sock, protocol, counters)
    if protocol.state is not State.OPEN:
        raise HandshakeError(f"rejected a link: {protocol.handshake_exc or event.path}")
    _set_nodelay(sock)
    return Connection(sock, protocol, peer=_read_identity(event), counters=counters)


async def _handshake_as_client(
    sock: curio.io.Socket,
    address: Address,
    own: PeerIdentity,
    seat: int,
    counters: ByteCounters,
) -> Connection:
    _set_nodelay(sock)
    protocol = ClientProtocol(parse_uri(f"ws://{address}{PEER_PATH}"), max_size=MAX_MESSAGE_BYTES)
    request = protocol.connect()
    request.headers.update(_identity_headers(own))
    protocol.send_request(request)
    await _send_pending(sock, protocol, counters)
    event = await _first_event(sock, protocol, counters)
    if protocol.state is not State.OPEN or not isinstance(event, Response):
        raise HandshakeError(f"{address} rejected the link: {protocol.handshake_exc}")
    peer = _read_identity(event)
    if peer.seat != seat:
        raise HandshakeError(f"{address} has seat {peer.seat}, expected {seat}")
    return Connection(sock, protocol, peer=peer, counters=counters)


async def _first_event(
    sock: curio.io.Socket, protocol: Protocol, counters: ByteCounters
) -> Request | Response | Frame:
    while True:
        try:
            await _receive_data(sock, protocol, counters)
        except LinkClosedError as error:
            raise HandshakeError(f"opening handshake failed: {error}") from error
        events = protocol.events_received()
        if events:
            return events[0]
        if protocol.handshake_exc is not None:
            raise HandshakeError(f"opening handshake failed: {protocol.handshake_exc}")


async def _receive_data(sock: curio.io.Socket, protocol: Protocol, counters: ByteCounters) -> None:
    try:
        data = await sock.recv(MAX_RECEIVE_BYTES)
    except OSError as error:
        raise LinkClosedError(f"receiving failed: {error}") from error
    if not data:
        protocol.receive_eof()
        raise LinkClosedError("the peer closed the connection")
    counters.received_bytes += len(data)
    protocol.receive_data(data)


async def _send_pending(sock: curio.io.Socket, protocol: Protocol, counters: ByteCounters) -> None:
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


def _read_identity(event: Request | Response) -> PeerIdentity:
    try:
        return PeerIdentity(int(event.headers[SEAT_HEADER]), int(event.headers[BOOT_HEADER]))
    except (KeyError, ValueError, InvalidHandshake) as error:
        raise HandshakeError(
            f"a peer sent no valid {SEAT_HEADER} and {BOOT_HEADER} headers: {error}"
        ) from error


def _set_nodelay(sock: curio.io.Socket) -> None:
    # Without it, Nagle's algorithm delays a notice until the TCP ACK of an earlier heartbeat.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
