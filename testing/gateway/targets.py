"""Fake targets on loopback ports, each with a named behaviour."""

from __future__ import annotations

from functools import partialmethod

import curio
import h11

from testing.gateway.loopback_target import LoopbackTarget

HEALTH_PATH = b"/health"
HEALTHY = "healthy"


def _response(status, headers, body):
    lines = [f"HTTP/1.1 {status} X".encode(), *(f"{k}: {v}".encode() for k, v in headers)]
    lines.append(f"content-length: {len(body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class FakeTarget(LoopbackTarget):
    """Responds to load probes, and to requests according to its behaviour."""

    def __init__(self, target_id, behaviour, *, load="0,0,100,0"):
        super().__init__(target_id)
        self.behaviour = behaviour
        self.load = load
        self.executed = []
        self.received = []
        self.disconnect_count = 0
        self.probe_count = 0
        self._delayed_response = b""
        self._refused = ""
        self.cut_bytes = 0
        self.work_s = 0.0
        self.announced = []
        """Headers added to responses to requests."""
        self.announced_in_probes = []

    async def _on_client(self, sock):
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
                if not await self._respond(sock, head, body):
                    return
                rest = connection.trailing_data[0]
                connection = h11.Connection(h11.SERVER)
                if rest:
                    connection.receive_data(rest)
            else:
                return

    async def _respond(self, sock, head, body):
        if head.target == HEALTH_PATH:
            self.probe_count += 1
            status = 503 if self.behaviour == "unhealthy" else 200
            headers = [("x-load", self.load), ("x-target", self.target_id)]
            headers += self.announced_in_probes
            await sock.sendall(_response(status, headers, b""))
            return True
        request_id = dict(head.headers).get(b"x-id", b"").decode()
        self.received.append(request_id)
        return await getattr(self, f"_be_{self.behaviour}")(sock, request_id, body)

    def _signed_response(self, request_id, body, status=200):
        headers = [("x-id", request_id), ("x-signed", self.target_id), *self.announced]
        return _response(status, headers, b"answer to " + request_id.encode() + body)

    async def _be_healthy(self, sock, request_id, body):
        self.executed.append(request_id)
        await sock.sendall(self._signed_response(request_id, body))
        return True

    _be_unhealthy = _be_healthy

    async def _be_slow(self, sock, request_id, body):
        self.executed.append(request_id)
        await curio.sleep(0.3)
        await sock.sendall(self._signed_response(request_id, body))
        return True

    async def _be_working(self, sock, request_id, body):
        self.executed.append(request_id)
        await curio.sleep(self.work_s)
        await sock.sendall(self._signed_response(request_id, body))
        return True

    async def _be_unresponsive(self, sock, request_id, body):
        self.executed.append(request_id)
        if not await sock.recv(1):
            self.disconnect_count += 1
        return False

    async def _be_truncating(self, sock, request_id, body):
        self.executed.append(request_id)
        await sock.sendall(self._signed_response(request_id, body)[:-3])
        return False

    async def _be_malformed(self, sock, request_id, body):
        self.executed.append(request_id)
        await sock.sendall(b"\x00\x01 not a response\r\n\r\n")
        return False

    async def _fail(self, sock, request_id, body, *, status):
        self.executed.append(request_id)
        await sock.sendall(self._signed_response(request_id, body, status=status))
        return True

    _be_failing = partialmethod(_fail, status=500)
    _be_failing_with_408 = partialmethod(_fail, status=408)
    _be_failing_with_429 = partialmethod(_fail, status=429)
    _be_failing_with_503 = partialmethod(_fail, status=503)

    async def _be_unsigned(self, sock, request_id, body):
        self.executed.append(request_id)
        await sock.sendall(_response(200, [("x-id", request_id)], b"not the target's own"))
        return True

    async def _be_refusing(self, sock, request_id, body):
        await sock.sendall(self._refusal([("x-id", request_id)]))
        return True

    def _refusal(self, headers):
        return _response(503, [*headers, ("x-not-run", "1"), *self.announced], b"")

    async def _be_refusing_without_id(self, sock, request_id, body):
        await sock.sendall(self._refusal([]))
        return True

    async def _be_refusing_twice(self, sock, request_id, body):
        """Refuse the first request; send that refusal again before the response to the next."""
        return await self._refuse_first(sock, request_id, body, [("x-id", self._refused)])

    async def _be_refusing_twice_without_id(self, sock, request_id, body):
        """Refuse the first request; send a refusal without identifier before the next response."""
        return await self._refuse_first(sock, request_id, body, [])

    async def _refuse_first(self, sock, request_id, body, repeated_headers):
        if not self._refused:
            self._refused = request_id
            await sock.sendall(self._refusal([("x-id", request_id)]))
            return True
        self.executed.append(request_id)
        await sock.sendall(
            self._refusal(repeated_headers) + self._signed_response(request_id, body)
        )
        return True

    async def _be_cut_in_head(self, sock, request_id, body):
        """Close after the first ``cut_bytes`` bytes of the head of a complete response."""
        self.executed.append(request_id)
        await sock.sendall(self._signed_response(request_id, body)[: self.cut_bytes])
        return False

    @property
    def head_bytes(self):
        """Length of the response head for the request ``r1``."""
        head, _, _ = self._signed_response("r1", b"").partition(b"\r\n\r\n")
        return len(head) + 4

    async def _be_duplicating(self, sock, request_id, body):
        """Respond twice; the duplicate arrives just before the response to the next request."""
        self.executed.append(request_id)
        late, self._delayed_response = self._delayed_response, self._signed_response(
            request_id, body
        )
        await sock.sendall(late + self._signed_response(request_id, body))
        return True
