"""Requests that take longer than the idle time-out which the operator has just set."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import BROKEN, HELD, Fleet, Record, limits_config, run_case, service_config
from standins.http1 import BrokenMessageError, Message, encode, read_message
from standins.target import Target

SHORT_IDLE_S = 2.0
TIMEOUT_S = 2.5
LONG_WORK_S = 2.2
"""Work of a long export or posting: within the route's time-out and the client's deadline."""
SHORT_WORK_S = 0.2
CLIENTS = 6
ROUNDS = 3
APPLIED_S = 6.0
"""More than configApplyS + stableWindowS after the acknowledgement."""
ALLOWED_LOSSES = 3


def work_s(request: Message) -> float:
    return LONG_WORK_S if "/long/" in request.target else SHORT_WORK_S


def config(version: str, idle_s: float) -> dict:
    """Return a configuration; versions differ in their idle time-out only."""
    common = {"timeoutS": TIMEOUT_S, "targetLatencyS": 1.0, "maxAttempts": 2}
    routes = {
        "exports": common
        | {"host": "ledger.example", "prefix": "/exports/", "kind": "idempotent"}
        | {"service": "audit-export", "priority": 2},
        "postings": common
        | {"host": "ledger.example", "prefix": "/postings/", "kind": "non_idempotent"}
        | {"service": "posting-api", "priority": 1},
    }
    services = {"audit-export": service_config(), "posting-api": service_config()}
    limits = limits_config(idleTimeoutS=idle_s)
    return {"version": version, "routes": routes, "services": services, "limits": limits}


class Client:
    """Sends a short request and then long ones on one connection, like a sound client."""

    def __init__(self, name: str, port: int, record: Record) -> None:
        self._name = name
        self._port = port
        self._record = record
        self.sent: dict[str, float] = {}
        self.unanswered: list[str] = []

    async def run(self) -> None:
        for number in range(ROUNDS):
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            try:
                method, prefix = [("GET", "exports"), ("POST", "postings")][number % 2]
                for length in ("short", "long"):
                    request_id = f"{self._name}-{number}-{length}"
                    path = f"/{prefix}/{length}/{request_id}"
                    if not await self._exchange(reader, writer, request_id, method, path):
                        break
                    await asyncio.sleep(0.1)
            finally:
                writer.close()

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        method: str,
        path: str,
    ) -> bool:
        headers = {"Host": "ledger.example", "X-Kingcupusher-Attempt-Id": request_id}
        headers["X-Kingcupusher-Request-Deadline"] = "5000"
        body = b"transfer of 3 shares\n" if method == "POST" else None
        self.sent[request_id] = time.monotonic()
        self._record.line(f"{request_id}: {method} {path} sent")
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        try:
            async with asyncio.timeout(5.0):
                answer = await read_message(reader)
        except (OSError, BrokenMessageError):
            answer = None
        except TimeoutError:
            self._record.line(f"{request_id}: no answer until the client's deadline")
            return False
        after_s = time.monotonic() - self.sent[request_id]
        if answer is None:
            self.unanswered.append(request_id)
            self._record.line(f"{request_id}: connection closed, no answer, after {after_s:.3f} s")
            return False
        self._record.line(f"{request_id}: answered {answer.status} after {after_s:.3f} s")
        return True


async def play(record: Record, has_trouble: bool) -> int:
    fleet = Fleet(entries=1, record=record)
    try:
        services = ["audit-export"] * 3 + ["posting-api"] * 3
        targets = [
            Target(f"i-{n}", service=service, zone=("caerdydd", "abertawe")[n % 2], work_s=work_s)
            for n, service in enumerate(services)
        ]
        await fleet.start(targets, config("r7", 15))
        await asyncio.sleep(APPLIED_S)
        if has_trouble:
            await fleet.store.put("op/config", config("r9", SHORT_IDLE_S))
            record.line(f"configuration r9 acknowledged: idleTimeoutS = {SHORT_IDLE_S:g}")
        await asyncio.sleep(APPLIED_S)
        port = fleet.entries[0].frontend
        clients = [Client(f"c{number}", port, record) for number in range(CLIENTS)]
        await asyncio.gather(*(client.run() for client in clients))
        await asyncio.sleep(1.0)
        return judge(record, clients, fleet)
    finally:
        fleet.end()


def judge(record: Record, clients: list[Client], fleet: Fleet) -> int:
    """Count requests that a server got and whose connection the entry closed unanswered."""
    runs = {run["id"]: run for run in fleet.runs()}
    lost = 0
    for client in clients:
        for request_id in client.unanswered:
            run = runs.get(request_id)
            if run is None:
                continue
            lost += 1
            ran_s = run["end"] - run["start"]
            record.line(
                f"{request_id}: ran on {run['server']} for {ran_s:.3f} s, then {run['how']}"
            )
    sent = sum(len(client.sent) for client in clients)
    record.line(f"{sent} requests sent, {lost} passed on and then closed without an answer")
    return BROKEN if lost > ALLOWED_LOSSES else HELD


if __name__ == "__main__":
    run_case(FOLDER, play)
