"""Targets on loopback ports that behave in one named way each."""

from __future__ import annotations

import curio
import h11

from kingcupusher._core.address import Address

HEALTH_PATH = b"/health"
ALIVE = "well"


def _response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X".encode(), *(f"{k}: {v}".encode() for k, v in headers)]
    lines.append(f"content-length: {len(body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class FakeTarget:
    """Answers questions about its load, and requests as its behaviour says."""

    def __init__(self, target_id, behaviour, *, load="0,0,100,0"):
        self.target_id = target_id
        self.behaviour = behaviour
        self.load = load
        self.ran = []
        self.arrived = []
        self.cancelled = 0
        self.asked = 0
        self.most_connections = 0
        self._open_connections = 0
        self._sock = curio.tcp_server_socket("127.0.0.1", 0)
        self.address = Address("127.0.0.1", self._sock.getsockname()[1])
        self._task = None
        self._late = b""

    async def start(self):
        """Accept connections."""
        self._task = await curio.spawn(
            curio.network.run_server, self._sock, self._on_client, daemon=True
        )

    async def stop(self):
        """Stop accepting."""
        await self._task.cancel()

    async def _on_client(self, sock, _address):
        self._open_connections += 1
        self.most_connections = max(self.most_connections, self._open_connections)
        try:
            await self._serve(sock)
        finally:
            self._open_connections -= 1

    async def _serve(self, sock):
        connection = h11.Connection(h11.SERVER)
        body = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await sock.recv(65_536))
            elif isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if not await self._answer(sock, head, body):
                    return
                rest = connection.trailing_data[0]
                connection = h11.Connection(h11.SERVER)
                if rest:
                    connection.receive_data(rest)
            else:
                return

    async def _answer(self, sock, head, body):
        if head.target == HEALTH_PATH:
            self.asked += 1
            status = 503 if self.behaviour == "ill" else 200
            headers = [("x-load", self.load), ("x-target", self.target_id)]
            await sock.sendall(_response(status, headers, b""))
            return True
        request_id = dict(head.headers).get(b"x-id", b"").decode()
        self.arrived.append(request_id)
        return await getattr(self, f"_be_{self.behaviour}")(sock, request_id, body)

    def _whole(self, request_id, body, status=200):
        headers = [("x-id", request_id), ("x-signed", self.target_id)]
        return _response(status, headers, b"answer to " + request_id.encode() + body)

    async def _be_well(self, sock, request_id, body):
        self.ran.append(request_id)
        await sock.sendall(self._whole(request_id, body))
        return True

    _be_ill = _be_well

    async def _be_slow(self, sock, request_id, body):
        self.ran.append(request_id)
        await curio.sleep(0.3)
        await sock.sendall(self._whole(request_id, body))
        return True

    async def _be_silent(self, sock, request_id, body):
        self.ran.append(request_id)
        if not await sock.recv(1):
            self.cancelled += 1
        return False

    async def _be_cutting(self, sock, request_id, body):
        self.ran.append(request_id)
        await sock.sendall(self._whole(request_id, body)[:-3])
        return False

    async def _be_garbling(self, sock, request_id, body):
        self.ran.append(request_id)
        await sock.sendall(b"\x00\x01 not a response\r\n\r\n")
        return False

    async def _be_failing(self, sock, request_id, body):
        self.ran.append(request_id)
        await sock.sendall(self._whole(request_id, body, status=500))
        return True

    async def _be_unsigned(self, sock, request_id, body):
        self.ran.append(request_id)
        await sock.sendall(_response(200, [("x-id", request_id)], b"not the target's own"))
        return True

    async def _be_refusing(self, sock, request_id, body):
        await sock.sendall(_response(503, [("x-not-run", "1")], b""))
        return True

    async def _be_doubling(self, sock, request_id, body):
        """Answer twice; the second answer arrives before the one to the next request."""
        self.ran.append(request_id)
        late, self._late = self._late, self._whole(request_id, body)
        await sock.sendall(late + self._whole(request_id, body))
        return True
