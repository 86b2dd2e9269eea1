"""Target as a process: says its load, runs requests and writes each run to a file."""

from __future__ import annotations

import hashlib
import os
import sys
from urllib.parse import parse_qsl, urlsplit

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.simple_client import Response
from kingcupusher._http.simple_server import Request, serve

SLOTS = 3
QUEUE = 6
WORK_S = 0.02
REQUEST_ID = b"x-kingcupusher-attempt-id"
EXPECTED_TARGET = b"x-kingcupusher-expected-instance"
TARGET_ID = b"x-kingcupusher-instance-id"
SIGNATURE = b"x-kingcupusher-server-signature"
NOT_RUN = b"x-kingcupusher-not-executed"
LOAD = b"x-kingcupusher-server-load"


def digest(*parts: bytes) -> bytes:
    """Return a short digest that callers compute as well."""
    return hashlib.blake2b(b"\0".join(parts), digest_size=16).hexdigest().encode()


def body_of(request_id: bytes, body: bytes) -> bytes:
    """Return the response body that belongs to a request."""
    return digest(b"answer", request_id, body) * 40


class CutAnswerError(OSError):
    """Ends the connection in place of an answer."""


class Target:
    """One target; a fault of its answers is ordered by a request to ``/fault``."""

    def __init__(self, target_id: str, log_path: str) -> None:
        self.target_id = target_id.encode()
        self.running = 0
        self.fault = ""
        self.fault_until_ms = 0.0
        self._log = os.open(log_path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self._slots = curio.Semaphore(SLOTS)

    async def handle(self, request: Request) -> Response:
        """Answer a question, an order or a request."""
        url = urlsplit(request.path)
        if url.path == "/fault":
            order = dict(parse_qsl(url.query))
            self.fault, self.fault_until_ms = order["kind"], now_ms() + float(order["for_ms"])
            return Response(200, [], b"")
        running = min(self.running, SLOTS)
        load = b"%d,%d,%d,100" % (running, self.running - running, SLOTS)
        own = [(TARGET_ID, self.target_id), (LOAD, load)]
        if url.path == "/health":
            return Response(200, own, b"")
        headers = dict(request.headers)
        if headers.get(EXPECTED_TARGET, self.target_id) != self.target_id:
            return Response(421, own, b"")
        fault = self.fault if now_ms() < self.fault_until_ms else ""
        if fault == "shed" or self.running >= SLOTS + QUEUE:
            return Response(503, [*own, (NOT_RUN, b"1")], b"")
        return await self._run(request, headers, own, fault)

    async def _run(
        self,
        request: Request,
        headers: dict[bytes, bytes],
        own: list[tuple[bytes, bytes]],
        fault: str,
    ) -> Response:
        request_id = headers.get(REQUEST_ID, b"none")
        self.running += 1
        try:
            async with self._slots:
                what = digest(request.method.encode(), request.path.encode(), request.body)
                line = b"%.1f %s %s\n" % (now_ms(), request_id, what)
                os.write(self._log, line)
                await curio.sleep(WORK_S)
        finally:
            self.running -= 1
        if fault == "mute":
            await curio.sleep(3_600)
        if fault == "cut":
            raise CutAnswerError("the answer is cut")
        status = 500 if fault == "fail" else 200
        signed = [*own, (REQUEST_ID, request_id), (SIGNATURE, self.target_id)]
        return Response(status, signed, body_of(request_id, request.body))


if __name__ == "__main__":
    curio.run(serve, Address.parse(sys.argv[1]), Target(sys.argv[2], sys.argv[3]).handle)
