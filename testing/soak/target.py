"""Target as a process: reports its load, executes requests and logs each execution to a file."""

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
QUEUE_LENGTH = 6
SERVICE_TIME_S = 0.02
REQUEST_ID = b"x-kingcupusher-attempt-id"
EXPECTED_TARGET = b"x-kingcupusher-expected-instance"
TARGET_ID = b"x-kingcupusher-instance-id"
SIGNATURE = b"x-kingcupusher-server-signature"
NOT_EXECUTED = b"x-kingcupusher-not-executed"
STATUS_BY_FAULT = {"fail": 500, "fail_503": 503, "fail_429": 429, "fail_408": 408}
"""Status of a response to a request that was executed."""
SERVER_LOAD = b"x-kingcupusher-server-load"


def digest(*parts: bytes) -> bytes:
    """Return a digest by which callers and targets identify a request or response."""
    return hashlib.blake2b(b"\0".join(parts), digest_size=16).hexdigest().encode()


def expected_response_body(request_id: bytes, body: bytes) -> bytes:
    """Return the body of the valid response to a request."""
    return digest(b"answer", request_id, body) * 40


class ResponseAbortedError(OSError):
    """Closes the connection instead of sending the response."""


class Target:
    """One target; a request to ``/fault`` injects a fault into its responses."""

    def __init__(self, target_id: str, log_path: str) -> None:
        self.target_id = target_id.encode()
        self.running = 0
        self.fault = ""
        self.fault_until_ms = 0.0
        self._log = os.open(log_path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self._slots = curio.Semaphore(SLOTS)

    async def handle(self, request: Request) -> Response:
        """Respond to a load probe, a fault injection or a request."""
        url = urlsplit(request.path)
        if url.path == "/fault":
            query = dict(parse_qsl(url.query))
            self.fault, self.fault_until_ms = query["kind"], now_ms() + float(query["for_ms"])
            return Response(200, [], b"")
        running = min(self.running, SLOTS)
        load = b"%d,%d,%d,100" % (running, self.running - running, SLOTS)
        target_headers = [(TARGET_ID, self.target_id), (SERVER_LOAD, load)]
        if url.path == "/health":
            return Response(200, target_headers, b"")
        headers = dict(request.headers)
        if headers.get(EXPECTED_TARGET, self.target_id) != self.target_id:
            return Response(421, target_headers, b"")
        fault = self.fault if now_ms() < self.fault_until_ms else ""
        if fault == "shed" or self.running >= SLOTS + QUEUE_LENGTH:
            return Response(503, [*target_headers, (NOT_EXECUTED, b"1")], b"")
        return await self._execute(request, headers, target_headers, fault)

    async def _execute(
        self,
        request: Request,
        headers: dict[bytes, bytes],
        target_headers: list[tuple[bytes, bytes]],
        fault: str,
    ) -> Response:
        request_id = headers.get(REQUEST_ID, b"none")
        self.running += 1
        try:
            async with self._slots:
                checksum = digest(request.method.encode(), request.path.encode(), request.body)
                line = b"%.1f %s %s\n" % (now_ms(), request_id, checksum)
                os.write(self._log, line)
                await curio.sleep(SERVICE_TIME_S)
        finally:
            self.running -= 1
        if fault == "mute":
            await curio.sleep(3_600)
        if fault == "cut":
            raise ResponseAbortedError("response aborted by a fault")
        status = STATUS_BY_FAULT.get(fault, 200)
        signed_headers = [*target_headers, (REQUEST_ID, request_id), (SIGNATURE, self.target_id)]
        return Response(status, signed_headers, expected_response_body(request_id, request.body))


if __name__ == "__main__":
    curio.run(serve, Address.parse(sys.argv[1]), Target(sys.argv[2], sys.argv[3]).handle)
