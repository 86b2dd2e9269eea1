"""Kept connections with pipelined idempotent requests, while the entry gets SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from random import Random

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import BROKEN, HELD, Fleet, Record, limits_config, run_case, service_config
from standins.delay import DelayProxy
from standins.http1 import BrokenMessageError, encode, read_message
from standins.target import Target

CLIENT_DELAY_S = 0.008
"""One way between the clients and the entry, as for the Lagos clients."""
CONNECTIONS = 10
WORK_S = (0.087, 0.093)
"""Work of a request: 90 ms, give or take 3 ms."""
PIPELINE_AFTER_S = (0.103, 0.115)
"""A client whose request is unanswered for this long sends its next one behind it."""
CALM_S = 4.0
"""More than stableWindowS."""
SEEN_S = 2.0
ROUNDS = 4


class Connection:
    """One kept connection of a client; ``sent`` and ``answered`` hold times by request id."""

    def __init__(self, name: str, port: int, rng: Random, record: Record) -> None:
        self._name = name
        self._port = port
        self._rng = rng
        self._record = record
        self.sent: dict[str, float] = {}
        self.answered: dict[str, float] = {}
        self.ended: float | None = None

    async def run(self, until: float) -> None:
        """Send requests until the connection ends or ``until`` has passed."""
        await asyncio.sleep(self._rng.uniform(0.0, 0.4))
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        try:
            while time.monotonic() < until:
                if not await self._exchange(reader, writer):
                    return
                await asyncio.sleep(self._rng.uniform(0.05, 0.25))
        except (OSError, BrokenMessageError):
            return
        finally:
            self.ended = time.monotonic()
            writer.close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request, and another one if it is late; return whether to go on."""
        first = self._send(writer)
        answer = asyncio.create_task(read_message(reader))
        await asyncio.wait({answer}, timeout=self._rng.uniform(*PIPELINE_AFTER_S))
        second = None if answer.done() else self._send(writer)
        is_open = self._on_answer(first, await answer)
        if second is not None:
            # Behind an answer that closes the connection this reads only the end.
            is_open = self._on_answer(second, await read_message(reader)) and is_open
        return is_open

    def _send(self, writer: asyncio.StreamWriter) -> str:
        request_id = f"{self._name}-{len(self.sent)}"
        headers = {"Host": "lots.example", "X-Kingcupusher-Attempt-Id": request_id}
        headers["X-Kingcupusher-Request-Deadline"] = "2000"
        writer.write(encode(f"GET /lots/{request_id} HTTP/1.1", headers))
        self.sent[request_id] = time.monotonic()
        self._record.line(f"{request_id} sent")
        return request_id

    def _on_answer(self, request_id: str, answer: object) -> bool:
        if answer is None:
            return False
        closes = answer.headers.get("connection", "") == "close"
        has_id = answer.headers.get("x-kingcupusher-attempt-id", request_id) == request_id
        if not has_id:
            self._record.line(f"{request_id} got a foreign answer")
        self.answered[request_id] = time.monotonic()
        closing = ", Connection: close" if closes else ""
        self._record.line(f"{request_id} answered {answer.status}{closing}")
        return not closes


async def play(record: Record, has_trouble: bool) -> int:
    rng = Random(29)
    fleet = Fleet(entries=1, record=record)
    try:
        targets = [
            Target(
                f"i-{number}",
                service="catalogue",
                zone=("caerdydd", "abertawe")[number % 2],
                work_s=lambda request: rng.uniform(*WORK_S),
            )
            for number in range(24)
        ]
        route = {"host": "lots.example", "prefix": "/lots/", "kind": "idempotent", "timeoutS": 1}
        route |= {"targetLatencyS": 0.25, "priority": 2, "service": "catalogue", "maxAttempts": 2}
        config = {"version": "r7", "routes": {"lots": route}, "limits": limits_config()}
        config["services"] = {"catalogue": service_config()}
        await fleet.start(targets, config)
        lost = 0
        for number in range(ROUNDS):
            lost += await play_round(record, has_trouble, fleet, rng, f"r{number}")
        record.line(f"{lost} requests were passed on to a server and lost")
        return BROKEN if lost else HELD
    finally:
        fleet.end()


async def play_round(
    record: Record, has_trouble: bool, fleet: Fleet, rng: Random, name: str
) -> int:
    """Let the clients send, stop the entry and start it again; return the lost requests."""
    entry = fleet.entries[0]
    proxy = DelayProxy(entry.frontend, delay_s=CLIENT_DELAY_S)
    await proxy.start()
    until = time.monotonic() + CALM_S + SEEN_S
    connections = [
        Connection(f"{name}c{number}", proxy.port, rng, record) for number in range(CONNECTIONS)
    ]
    clients = [asyncio.create_task(connection.run(until)) for connection in connections]
    await asyncio.sleep(CALM_S)
    signalled = time.monotonic()
    if has_trouble:
        entry.send(signal.SIGTERM)
        record.line("SIGTERM to the entry")
    await asyncio.wait(clients, timeout=SEEN_S + 3.0)
    if has_trouble:
        while entry.process.poll() is None:
            await asyncio.sleep(0.1)
        entry.start()
        await entry.wait_until_ready()
        record.line("the entry is back")
    return judge(record, connections, fleet, signalled)


def judge(record: Record, connections: list[Connection], fleet: Fleet, signalled: float) -> int:
    """Count requests that a server got and whose connection ended without an answer."""
    runs = {run["id"]: run for run in fleet.runs()}
    lost = 0
    for connection in connections:
        for request_id, sent in connection.sent.items():
            if request_id in connection.answered or connection.ended is None:
                continue
            run = runs.get(request_id)
            passed = "was not passed on" if run is None else f"ran on {run['server']}"
            record.line(f"{request_id} sent", sent)
            record.line(
                f"{request_id}: its connection ended without an answer; it {passed}"
                + ("" if run is None else f", {run['how']}, {sent - signalled:+.3f} s to SIGTERM"),
                connection.ended,
            )
            lost += run is not None
    answered = sum(len(connection.answered) for connection in connections)
    record.line(f"{answered} requests answered, {lost} passed on and lost")
    return lost


if __name__ == "__main__":
    run_case(FOLDER, play)
