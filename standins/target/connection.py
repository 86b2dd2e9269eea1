"""Server side of one HTTP connection of a target."""

from __future__ import annotations

import socket
import struct
from typing import Any

import curio
import h11

from kingcupusher._core import now_ms
from standins import content, timers
from standins.target.endpoints import handle_request
from standins.target.execution import ConnectCost, FellOverError, Request, Response, occupy_slot
from standins.target.simulated_server import SimulatedServer

RECEIVE_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BOTH_DONE = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}


class TargetConnection:
    """Serves one connection; reading runs concurrently, so that a close cancels the request."""

    __slots__ = ("_connect_cost", "_data_received", "_http", "_number", "_server", "_sock", "task")

    def __init__(self, sock: curio.io.Socket, server: SimulatedServer, *, number: int) -> None:
        self._sock = sock
        self._server = server
        self._number = number
        self._connect_cost = ConnectCost(server.settings.connect_cost_ms)
        self._http = h11.Connection(h11.SERVER)
        self._data_received = curio.Event()
        self.task: Any = None

    async def run(self) -> None:
        """Serve until either side closes the connection."""
        worker = await curio.spawn(self._serve_requests)
        try:
            await self._receive_data()
        except OSError:
            pass
        finally:
            await worker.cancel()
            await self._sock.close()
        if self._connect_cost.pending_ms:
            await occupy_slot(self._server, self._connect_cost, work_ms=0.0)

    def reset(self) -> None:
        """Send RST instead of FIN at the next close."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def _receive_data(self) -> None:
        while data := await self._sock.recv(RECEIVE_BYTES):
            self._http.receive_data(data)
            await self._data_received.set()

    async def _serve_requests(self) -> None:
        try:
            while await self._exchange():
                self._http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        except FellOverError:
            self.reset()
        await self._shut_down()

    async def _shut_down(self) -> None:
        # Ends _receive_data, after which run closes the socket.
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def _exchange(self) -> bool:
        request = await self._receive_request()
        if request is None:
            return False
        await self._wait_if_silent()
        response = await handle_request(self._server, request)
        await self._wait_if_silent()
        if self._take_truncation():
            await self._send_truncated(request, response)
            return False
        await self._send_response(request, response)
        return self._http.states == BOTH_DONE

    async def _wait_if_silent(self) -> None:
        if self._server.faults.silent or self._number < self._server.first_responsive_connection:
            await timers.sleep_forever()

    def _take_truncation(self) -> bool:
        faults = self._server.faults
        if not faults.truncations_left:
            return False
        faults.truncations_left -= 1
        return True

    async def _receive_request(self) -> Request | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._data_received.clear()
                await self._data_received.wait()
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _to_request(head, bytes(body), self._connect_cost)
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _encode(self, request: Request, response: Response) -> tuple[bytes, bytes]:
        head = self._http.send(
            h11.Response(status_code=response.status, headers=self._headers(request, response))
        )
        body = b""
        if request.method != "HEAD":
            body = self._http.send(h11.Data(data=response.body)) or b""
        body += self._http.send(h11.EndOfMessage()) or b""
        return head or b"", body

    def _headers(self, request: Request, response: Response) -> list[tuple[bytes, bytes]]:
        load = response.load or self._server.load_report()
        headers = [
            (b"content-length", str(len(response.body)).encode()),
            (b"x-target-load", load.encode()),
            (content.TARGET_ID_HEADER, str(self._server.settings.address).encode()),
        ]
        if request.request_id:
            headers.append((content.REQUEST_ID_HEADER, request.request_id))
        if response.outcome:
            headers.append((b"x-outcome", response.outcome))
        if response.digest:
            headers.append((content.BODY_DIGEST_HEADER, response.digest))
        return headers

    async def _send_response(self, request: Request, response: Response) -> None:
        head, body = self._encode(request, response)
        await self._sock.sendall(head + body)

    async def _send_truncated(self, request: Request, response: Response) -> None:
        head, body = self._encode(request, response)
        await self._sock.sendall(head + body[: len(body) // 2])


def _to_request(head: h11.Request, body: bytes, connect_cost: ConnectCost) -> Request:
    return Request(
        head.method.decode("ascii"),
        head.target.decode("ascii"),
        dict(head.headers),
        body,
        now_ms(),
        connect_cost,
    )
