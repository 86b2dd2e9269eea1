"""Posts that a failing server runs and answers with a 503 of its own."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from stand_ins import HOST, ZONES, Deployment, Entry, Message, Record, Server, encode_message
from stand_ins import read_message, run_case, service_config

HOST_NAME = "hulo84.example"
PREFIX = "/xapu221/ny95/"
ENTRIES = 3
SERVERS = 7
GREY_SHARE = 0.45
GREY_S = 6.5
PAUSE_S = 4.0
PHASES = 3
WORK_S = 0.21
REQUESTS_PER_S = 6.0
RETRIES = 1
PROMISES = (408, 421, 429, 503)
SEED = 39


class GreyServer(Server):
    """A server that, while it is grey, fails a share of the requests that it has run."""

    def __init__(self, *args: object, **fields: object) -> None:
        super().__init__(*args, **fields)
        self.is_grey = False
        self._rng = random.Random(SEED)

    async def _respond(self, request: Message, reader: asyncio.StreamReader) -> bytes:
        answer = await super()._respond(request, reader)
        has_run = answer.startswith(b"HTTP/1.1 200") and request.start.startswith("POST")
        if not (self.is_grey and has_run and self._rng.random() < GREY_SHARE):
            return answer
        attempt_id = request.headers["x-kingcupusher-attempt-id"]
        self._record.add(f"server {self.name} has run {attempt_id} and answers 503")
        headers = {"X-Kingcupusher-Attempt-Id": attempt_id}
        headers["X-Kingcupusher-Server-Signature"] = f"sig.{self.name}.{attempt_id}"
        return encode_message("HTTP/1.1 503 Service Unavailable", headers, b"database is away\n")


class Client:
    """Posts shares, and posts again after an answer that promises that the post has not run."""

    def __init__(self, entries: list[Entry], record: Record) -> None:
        self.attempts: dict[str, list[tuple[str, int | None]]] = {}
        self._entries = entries
        self._record = record

    async def run(self, until: asyncio.Event) -> None:
        tasks: set[asyncio.Task] = set()
        while not until.is_set():
            posting = f"posting-{len(self.attempts):05d}"
            self.attempts[posting] = []
            task = asyncio.create_task(self._post(posting))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1.0 / (REQUESTS_PER_S * ENTRIES))
        await asyncio.gather(*tasks)

    async def _post(self, posting: str) -> None:
        for attempt in range(1 + RETRIES):
            entry = random.choice(self._entries)
            attempt_id = f"{attempt:01x}{posting[-5:]:0>15}"
            status = await self._send(entry, posting, attempt_id)
            self.attempts[posting].append((attempt_id, status))
            self._record.add(f"client: {posting} as {attempt_id} by {entry.name}: {status}")
            if status not in PROMISES:
                return

    async def _send(self, entry: Entry, posting: str, attempt_id: str) -> int | None:
        body = posting.encode()
        head = [
            f"POST {PREFIX}2f HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"X-Kingcupusher-Attempt-Id: {attempt_id}",
            "X-Kingcupusher-Request-Deadline: 2500",
            f"Content-Length: {len(body)}",
        ]
        try:
            reader, writer = await asyncio.open_connection(HOST, entry.port)
            try:
                writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
                answer = await asyncio.wait_for(read_message(reader, is_response=True), 4.0)
                return answer.status
            finally:
                writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return None


async def play(deployment: Deployment, record: Record, *, has_trouble: bool) -> bool:
    route = {"host": HOST_NAME, "prefix": PREFIX, "kind": "non_idempotent", "timeoutS": 1.2}
    route |= {"targetLatencyS": 0.5, "priority": 1, "service": "wuno96b", "maxAttempts": 2}
    servers = [
        {"name": f"i-{i:08x}", "service": "wuno96b", "zone": ZONES[i % 3], "work_s": WORK_S}
        for i in range(SERVERS)
    ]
    await deployment.start(
        routes={"r-b9wu3fe": route},
        services={"wuno96b": service_config()},
        servers=servers,
        entry_count=ENTRIES,
        server_type=GreyServer,
    )
    await asyncio.sleep(8.0)
    is_over = asyncio.Event()
    client = Client(deployment.entries, record)
    sending = asyncio.create_task(client.run(is_over))
    for phase in range(PHASES):
        await asyncio.sleep(PAUSE_S)
        server = deployment.servers[phase]
        server.is_grey = has_trouble
        record.add(f"server {server.name} is grey: {server.is_grey}")
        await asyncio.sleep(GREY_S)
        server.is_grey = False
    is_over.set()
    await sending
    completed = {attempt_id for s in deployment.servers for _, attempt_id in s.completed}
    ran = {attempt_id for s in deployment.servers for _, attempt_id in s.ran}
    statuses: dict[int | None, int] = {}
    for attempts in client.attempts.values():
        for _, status in attempts:
            statuses[status] = statuses.get(status, 0) + 1
    record.say(f"answers by status: {statuses}")
    broken = [
        (attempt_id, status)
        for attempts in client.attempts.values()
        for attempt_id, status in attempts
        if status in PROMISES and attempt_id in ran
    ]
    twice = [
        posting
        for posting, attempts in client.attempts.items()
        if sum(attempt_id in completed for attempt_id, _ in attempts) > 1
    ]
    record.say(f"answered with a promise although they have run: {len(broken)}: {broken[:5]}")
    record.say(f"postings that stand twice after the client's retry: {len(twice)}: {twice[:5]}")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
