"""One connection of a target: reads requests, writes responses, notices a close."""

from __future__ import annotations

import socket
import struct
from typing import Any

import curio
import h11

from kingcupusher._core import now_ms
from standins import content, timers
from standins.target.endpoints import answer
from standins.target.machine import Machine
from standins.target.work import Call, FellOverError, Reply, SetupCost, occupy

RECEIVE_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BOTH_DONE = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}


class TargetConnection:
    """Serves one connection; its reader runs beside its worker so that a close cancels work."""

    __slots__ = ("_data", "_http", "_machine", "_number", "_setup", "_sock", "task")

    def __init__(self, sock: curio.io.Socket, machine: Machine, *, number: int) -> None:
        self._sock = sock
        self._machine = machine
        self._number = number
        self._setup = SetupCost(machine.settings.connect_cost_ms)
        self._http = h11.Connection(h11.SERVER)
        self._data = curio.Event()
        self.task: Any = None

    async def run(self) -> None:
        """Serve until either side closes."""
        worker = await curio.spawn(self._work)
        try:
            await self._read()
        except OSError:
            pass
        finally:
            await worker.cancel()
            await self._sock.close()
        if self._setup.due_ms:
            await occupy(self._machine, self._setup, work_ms=0.0)

    def reset(self) -> None:
        """Make the coming close reset the connection."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    async def _read(self) -> None:
        while data := await self._sock.recv(RECEIVE_BYTES):
            self._http.receive_data(data)
            await self._data.set()

    async def _work(self) -> None:
        try:
            while await self._exchange():
                self._http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        except FellOverError:
            self.reset()
        await self._shut_down()

    async def _shut_down(self) -> None:
        # Ends the reader, which closes the socket.
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def _exchange(self) -> bool:
        call = await self._receive()
        if call is None:
            return False
        await self._wait_if_silent()
        reply = await answer(self._machine, call)
        await self._wait_if_silent()
        if self._take_death():
            await self._send_half(call, reply)
            return False
        await self._send(call, reply)
        return self._http.states == BOTH_DONE

    async def _wait_if_silent(self) -> None:
        if self._machine.faults.silent or self._number < self._machine.silence_before:
            await timers.sleep_forever()

    def _take_death(self) -> bool:
        faults = self._machine.faults
        if not faults.deaths_left:
            return False
        faults.deaths_left -= 1
        return True

    async def _receive(self) -> Call | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._data.clear()
                await self._data.wait()
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _call(head, bytes(body), self._setup)
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _encode(self, call: Call, reply: Reply) -> tuple[bytes, bytes]:
        head = self._http.send(
            h11.Response(status_code=reply.status, headers=self._headers(call, reply))
        )
        body = b""
        if call.method != "HEAD":
            body = self._http.send(h11.Data(data=reply.body)) or b""
        body += self._http.send(h11.EndOfMessage()) or b""
        return head or b"", body

    def _headers(self, call: Call, reply: Reply) -> list[tuple[bytes, bytes]]:
        load = reply.load or self._machine.load_report()
        headers = [
            (b"content-length", str(len(reply.body)).encode()),
            (b"x-target-load", load.encode()),
            (content.TARGET_ID, str(self._machine.settings.address).encode()),
        ]
        if call.request_id:
            headers.append((content.REQUEST_ID, call.request_id))
        if reply.outcome:
            headers.append((b"x-outcome", reply.outcome))
        if reply.digest:
            headers.append((content.BODY_DIGEST, reply.digest))
        return headers

    async def _send(self, call: Call, reply: Reply) -> None:
        head, body = self._encode(call, reply)
        await self._sock.sendall(head + body)

    async def _send_half(self, call: Call, reply: Reply) -> None:
        head, body = self._encode(call, reply)
        await self._sock.sendall(head + body[: len(body) // 2])


def _call(head: h11.Request, body: bytes, setup: SetupCost) -> Call:
    return Call(
        head.method.decode("ascii"),
        head.target.decode("ascii"),
        dict(head.headers),
        body,
        now_ms(),
        setup,
    )
