"""The store cuts the watches that wait, and a server leaves whose entry is removed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from stand_ins import HOST, ZONES, CannotRunError, Deployment, Entry, Record, read_message
from stand_ins import run_case, service_config

HOST_NAME = "hulo84.example"
PREFIX = "/xapu221/ny95/"
ENTRIES = 3
SERVERS = 6
WORK_S = 0.21
REQUESTS_PER_S = 8.0
DRAIN_S = 2.0
SERVES_ON_S = DRAIN_S + 0.4
PAUSE_S = 4.0
ROUNDS = 4
CUT_BEFORE_S = 0.25


async def send(entry: Entry, attempt_id: str, record: Record) -> None:
    head = [
        f"POST {PREFIX}2f HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Kingcupusher-Attempt-Id: {attempt_id}",
        "X-Kingcupusher-Request-Deadline: 2500",
        "Content-Length: 4",
    ]
    try:
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        try:
            writer.write(("\r\n".join(head) + "\r\n\r\nbody").encode())
            answer = await asyncio.wait_for(read_message(reader, is_response=True), 4.0)
            record.add(f"client of {entry.name}: {attempt_id} answered {answer.status}")
        finally:
            writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        record.add(f"client of {entry.name}: {attempt_id} {type(error).__name__}")


async def keep_sending(entries: list[Entry], record: Record, until: asyncio.Event) -> None:
    tasks: set[asyncio.Task] = set()
    count = 0
    while not until.is_set():
        for index, entry in enumerate(entries):
            count += 1
            task = asyncio.create_task(send(entry, f"{index:02x}{count:014x}", record))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


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
    )
    await asyncio.sleep(10.0)
    store = deployment.store
    if not any(call == "GET /api/kv-watch" for call in store.calls):
        raise CannotRunError("no entry watches the store")
    is_over = asyncio.Event()
    sending = asyncio.create_task(keep_sending(deployment.entries, record, is_over))
    await asyncio.sleep(2.0)
    late: list[str] = []
    for index in range(ROUNDS):
        server = deployment.servers[index]
        if has_trouble:
            count = store.cut_watches()
            record.say(f"the store cuts {count} watches that wait")
        await asyncio.sleep(CUT_BEFORE_S)
        server.leave_without_report()
        acknowledged_s = time.monotonic()
        record.say(f"the entry of {server.name} is removed; it serves on for {SERVES_ON_S} s")
        await asyncio.sleep(SERVES_ON_S)
        cut = await server.exit()
        record.say(f"{server.name} exits, which cuts {cut} runs")
        await asyncio.sleep(PAUSE_S)
        after = [(at_s - acknowledged_s, i) for at_s, i in server.arrived if at_s > acknowledged_s]
        beyond = [f"{i} after {age_s:.2f} s" for age_s, i in after if age_s > DRAIN_S]
        record.say(
            f"requests that reached {server.name} after the removal: {len(after)}, the last after "
            f"{max((age_s for age_s, _ in after), default=0.0):.2f} s; later than drainS: {beyond}"
        )
        late += beyond
    is_over.set()
    await sending
    record.say(f"requests later than drainS: {len(late)}")
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
