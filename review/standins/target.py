"""Stand-in for a sound server, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from hashlib import blake2b

from standins.http1 import BrokenMessageError, Message, encode, read_message

ID = "x-kingcupusher-attempt-id"
DEADLINE = "x-kingcupusher-request-deadline"
EXPECTED = "x-kingcupusher-expected-instance"
SIGNATURE = "X-Kingcupusher-Server-Signature"
NOT_EXECUTED = "X-Kingcupusher-Not-Executed"
QUEUE_LENGTH = 6
IDLE_S = 10.0


class Target:
    """Runs ``slots`` requests at a time, each for ``work_s``, and queues a few more.

    ``runs`` lists for each request that it began: id, start, end and how it ended.
    """

    def __init__(
        self,
        target_id: str,
        *,
        service: str,
        zone: str,
        work_s: Callable[[Message], float],
        body: Callable[[Message], bytes] = lambda request: b"ok\n",
        slots: int = 3,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.runs: list[dict] = []
        self.arrivals: list[dict] = []
        self._work_s = work_s
        self._body = body
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self.port = 0
        self.born_ms = int(time.time() * 1000.0)

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**20, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def registration(self, state: str = "ready") -> dict:
        """Return the entry of this server in the store."""
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}
        status = {"state": state, "sequence": 1, "coldLeftS": 0}
        return {
            "address": f"127.0.0.1:{self.port}",
            "info": info,
            "status": status,
            "born": self.born_ms,
        }

    def _headers(self) -> dict[str, str]:
        load = f"{self._running},{self._waiting},{self.slots},100"
        return {"X-Kingcupusher-Server-Load": load, "Keep-Alive": f"timeout={IDLE_S:.0f}"}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    request = await read_message(reader)
                if request is None:
                    return
                data = await self._handle(request, reader)
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, BrokenMessageError, TimeoutError):
            return
        finally:
            writer.close()

    async def _handle(self, request: Message, reader: asyncio.StreamReader) -> bytes | None:
        headers = self._headers()
        if request.target == "/health":
            headers["X-Kingcupusher-Instance-Id"] = self.target_id
            return encode("HTTP/1.1 200 OK", headers, b"")
        headers["X-Kingcupusher-Attempt-Id"] = request.headers.get(ID, "")
        if request.headers.get(EXPECTED, self.target_id) != self.target_id:
            headers["X-Kingcupusher-Instance-Id"] = self.target_id
            return encode("HTTP/1.1 421 Misdirected Request", headers, b"")
        self.arrivals.append({"id": request.headers.get(ID, ""), "at": time.monotonic()})
        if self._waiting >= QUEUE_LENGTH:
            headers[NOT_EXECUTED] = "1"
            return encode("HTTP/1.1 503 Service Unavailable", headers, b"")
        return await self._queue_and_run(request, reader, headers)

    async def _queue_and_run(
        self, request: Message, reader: asyncio.StreamReader, headers: dict[str, str]
    ) -> bytes | None:
        deadline = time.monotonic() + int(request.headers.get(DEADLINE, "60000")) / 1000.0
        closed = asyncio.ensure_future(_wait_for_close(reader))
        work = asyncio.ensure_future(self._run(request, deadline))
        try:
            await asyncio.wait({closed, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return None
            status, body = work.result()
        finally:
            closed.cancel()
            work.cancel()
        if status == 503:
            headers[NOT_EXECUTED] = "1"
        else:
            headers[SIGNATURE] = signature(self.target_id, request.headers.get(ID, ""), body)
        headers |= self._headers()
        return encode(f"HTTP/1.1 {status} X", headers, body)

    async def _run(self, request: Message, deadline: float) -> tuple[int, bytes]:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if time.monotonic() >= deadline:
                return 503, b""
            return await self._execute(request, deadline)
        finally:
            self._free.release()

    async def _execute(self, request: Message, deadline: float) -> tuple[int, bytes]:
        start = time.monotonic()
        run = {"id": request.headers.get(ID, ""), "server": self.target_id, "start": start}
        run |= {"end": None, "how": "running", "request": request.start}
        self.runs.append(run)
        self._running += 1
        try:
            work_s = self._work_s(request)
            await asyncio.sleep(min(work_s, max(0.0, deadline - start)))
            run["how"] = "done" if start + work_s <= deadline else "deadline"
            if run["how"] == "deadline":
                return 504, b"deadline\n"
            return 200, self._body(request)
        except asyncio.CancelledError:
            run["how"] = "cut"
            raise
        finally:
            run["end"] = time.monotonic()
            self._running -= 1


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    """Return when the caller has closed the connection; it sends nothing before the response."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


def signature(target_id: str, request_id: str, body: bytes) -> str:
    """Return the signature of a response, from which clients see whose and what it is."""
    digest = blake2b(f"{target_id} {request_id} ".encode() + body, digest_size=8).hexdigest()
    return f"{target_id}.{len(body)}.{digest}"
