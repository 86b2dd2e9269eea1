"""Configurations of a grown size in quick succession, and entries with the memory of a machine.

The platform's stand-in kills a process whose memory exceeds ``memoryMb``, as the pages say. Only
anonymous memory is counted, not the pages of programs and libraries.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from stand_ins import HOST, ZONES, Deployment, Entry, Record, read_message, run_case
from stand_ins import service_config

HOST_NAME = "hulo84.example"
PREFIX = "/xapu221/ny95/"
MEMORY_MB = 200
ENTRIES = 3
GROWN_ROUTES = 1_956
STORM_S = 4.0
GAP_S = 0.33
PAUSE_S = 0.5
STORMS = 21
CALM_S = 6.0
CALM_PASSES_WITHOUT_TROUBLE = 3
MEASURE_S = 0.1
RESTART_DELAY_S = 1.0
REQUESTS_PER_S = 8.0
WORK_S = 0.21
CONFIG_APPLY_S = 2.0


def config(version: int, grown_routes: int) -> dict:
    """Return a whole configuration; each version changes the time-out of the first route."""
    route = {"host": HOST_NAME, "prefix": PREFIX, "kind": "non_idempotent", "timeoutS": 1.2}
    route |= {"targetLatencyS": 0.5, "priority": 1, "service": "wuno96b", "maxAttempts": 2}
    route["timeoutS"] = 1.2 + 0.001 * (version % 100)
    routes = {"r-b9wu3fe": route}
    for index in range(grown_routes):
        routes[f"r-{index:07x}"] = {
            "host": f"h{index % 50}.example",
            "prefix": f"/g{index:05x}/",
            "kind": "idempotent",
            "timeoutS": 1,
            "targetLatencyS": 0.4,
            "priority": 2,
            "service": "wuno96b",
            "maxAttempts": 2,
        }
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864}
    limits |= {"headerTimeoutS": 3, "idleTimeoutS": 15}
    services = {"wuno96b": service_config()}
    return {"version": f"r{version}", "routes": routes, "services": services, "limits": limits}


def anonymous_bytes(entry: Entry) -> int:
    assert entry.process is not None
    for row in Path(f"/proc/{entry.process.pid}/status").read_text().splitlines():
        if row.startswith("RssAnon:"):
            return int(row.split()[1]) * 1024
    return 0


class Client:
    """Sends requests to one entry, each on a new connection, and counts those that are cut."""

    def __init__(self, entry: Entry, record: Record, index: int) -> None:
        self.entry = entry
        self.statuses: dict[str, int] = {}
        self.cut: list[tuple[float, str]] = []
        self._record = record
        self._index = index
        self._count = 0

    async def run(self, until: asyncio.Event) -> None:
        tasks: set[asyncio.Task] = set()
        while not until.is_set():
            task = asyncio.create_task(self._send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1.0 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def _send(self) -> None:
        self._count += 1
        attempt_id = f"{self._index:02x}{self._count:014x}"
        head = [
            f"POST {PREFIX}2f HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"X-Kingcupusher-Attempt-Id: {attempt_id}",
            "X-Kingcupusher-Request-Deadline: 2500",
            "Content-Length: 4",
        ]
        try:
            reader, writer = await asyncio.open_connection(HOST, self.entry.port)
        except OSError:
            self._note(attempt_id, "refused connection")
            return
        try:
            writer.write(("\r\n".join(head) + "\r\n\r\nbody").encode())
            answer = await asyncio.wait_for(read_message(reader, is_response=True), 4.0)
            self._note(attempt_id, str(answer.status))
        except TimeoutError:
            self._note(attempt_id, "no answer")
        except (OSError, asyncio.IncompleteReadError):
            self._note(attempt_id, "connection ended without an answer")
            self.cut.append((time.monotonic(), attempt_id))
        finally:
            writer.close()

    def _note(self, attempt_id: str, end: str) -> None:
        self.statuses[end] = self.statuses.get(end, 0) + 1
        self._record.add(f"client of {self.entry.name}: {attempt_id} {end}")


async def watch_memory(
    entries: list[Entry], record: Record, peaks: dict[str, int], killed: dict[str, float]
) -> None:
    """Kill a process that exceeds the memory of its machine and restart it, as the platform does."""
    while True:
        for entry in entries:
            if not entry.is_running:
                if time.monotonic() >= killed.get(entry.name, 0.0) + RESTART_DELAY_S:
                    entry.start()
                    record.say(f"the platform starts {entry.name} again")
                continue
            used = anonymous_bytes(entry)
            peaks[entry.name] = max(used, peaks.get(entry.name, 0))
            if used > MEMORY_MB * 1_000_000:
                assert entry.process is not None
                entry.process.kill()
                killed[entry.name] = time.monotonic()
                record.say(f"{entry.name} holds {used / 1e6:.0f} MB: the platform kills it")
        await asyncio.sleep(MEASURE_S)


async def play(deployment: Deployment, record: Record, *, has_trouble: bool) -> bool:
    servers = [
        {"name": f"i-{i:08x}", "service": "wuno96b", "zone": ZONES[i % 3], "work_s": WORK_S}
        for i in range(9)
    ]
    first = config(7, GROWN_ROUTES)
    await deployment.start(
        routes=first["routes"],
        services=first["services"],
        servers=servers,
        entry_count=ENTRIES,
        memory_mb=MEMORY_MB,
    )
    await asyncio.sleep(8.0)
    entries = deployment.entries
    peaks: dict[str, int] = {}
    killed: dict[str, float] = {}
    record.say(f"memory before: {[round(anonymous_bytes(e) / 1e6) for e in entries]} MB")
    watcher = asyncio.create_task(watch_memory(entries, record, peaks, killed))
    is_over = asyncio.Event()
    clients = [Client(entry, record, index) for index, entry in enumerate(entries)]
    sending = [asyncio.create_task(client.run(is_over)) for client in clients]
    await asyncio.sleep(CALM_S)
    before = sum(len(client.cut) for client in clients)
    record.say(f"requests cut in {CALM_S:.0f} s without a change: {before}")
    version = 8
    published_s = started_s = time.monotonic()
    for storm in range(STORMS):
        if not has_trouble:
            break
        end_s = time.monotonic() + STORM_S
        while time.monotonic() < end_s:
            deployment.store.put("op/config", config(version, GROWN_ROUTES))
            published_s = time.monotonic()
            record.add(f"the operator's r{version} is acknowledged")
            version += 1
            await asyncio.sleep(GAP_S)
        record.add(f"storm {storm + 1} is over")
        if len(killed) == len(entries):
            break
        await asyncio.sleep(PAUSE_S)
    if not has_trouble:
        await asyncio.sleep(CALM_S * CALM_PASSES_WITHOUT_TROUBLE)
    await asyncio.sleep(2.0 * RESTART_DELAY_S)
    is_over.set()
    await asyncio.gather(*sending)
    watcher.cancel()
    record.say(f"configurations published: {version - 8}, each with {GROWN_ROUTES + 1} routes")
    record.say(f"peak memory: {({name: round(used / 1e6) for name, used in peaks.items()})} MB")
    times = {name: round(at_s - started_s) for name, at_s in killed.items()}
    record.say(f"killed for their memory, seconds after the first change: {times}")
    ran = {attempt_id for server in deployment.servers for _, attempt_id in server.ran}
    cut = [row for client in clients for row in client.cut if row[1] in ran]
    for client in clients:
        record.say(f"requests to {client.entry.name}: {client.statuses}")
    within = [row for row in cut if has_trouble and row[0] <= published_s + CONFIG_APPLY_S + 1.0]
    record.say(f"passed on to a server and cut beside a configuration: {len(within)} of {len(cut)}")
    return bool(within)


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
