"""One entry with lowered limits beside a crowd of callers; its peak memory and descriptors."""

from __future__ import annotations

import json
import os
import sys
from base64 import b64encode
from contextlib import suppress
from pathlib import Path

import curio

from kingcupusher._core import now_ms
from kingcupusher._http.simple_client import fetch
from standins.processes import ProcessGroup
from testing.caller_memory.crowd import IDLE, TINY_CHUNK, Crowd
from testing.entry_memory.load import ROOT, SETTINGS
from testing.entry_memory.memory import peak_resident_bytes, resident_bytes

HOST = "h.example"
MEMORY_MB = 100
DESCRIPTORS = 1_000
MAX_BODY_BYTES = 2_000_000
"""The most that the target stand-in takes."""
BYTES_PER_MB = 1_000_000
MEMORY_BYTES = MEMORY_MB * BYTES_PER_MB
UPLOAD_COUNT = 2 * MEMORY_BYTES // MAX_BODY_BYTES
"""Their bodies would take twice the memory of the entry."""
IDLE_COUNT = DESCRIPTORS
"""With the other descriptors of the process, they would exceed its limit."""
TINY_CHUNKED_BYTES = MAX_BODY_BYTES // 10
SEND_TIMEOUT_S = 8.0
HOLD_S = 3.0
"""The kernel takes whole bodies at once; the entry reads them in this time."""
CALL_TIMEOUT_S = 60.0
ROUTE_TIMEOUT_S = 30.0
SAMPLE_INTERVAL_S = 0.02
SETTLE_S = 7.0
"""An entry takes itself for the only one, with the whole of all limits, after 5 s."""
LOCAL_COLUMN, QUEUES_COLUMN = 1, 4
NO_STATUS = 0


class EntryWithCrowd:
    """Starts a store, a target and one entry; measures the entry beside a crowd of callers."""

    def __init__(self, group: ProcessGroup) -> None:
        self._group = group
        take = group.addresses.allocate
        self._store, self._callers, self._target, metrics = take(), take(), take(), take()
        text = SETTINGS.format(
            callers=self._callers,
            readiness=take(),
            relay=take(),
            metrics=metrics.port,
            memory_mb=MEMORY_MB,
            store=self._store,
        )
        self._settings = group.directory / "e0.toml"
        self._settings.write_text(
            text.replace("fileDescriptors = 4100", f"fileDescriptors = {DESCRIPTORS}"),
            encoding="utf-8",
        )
        self._entry = None
        self.peak_bytes = 0
        self.peak_descriptors = 0

    @property
    def is_running(self) -> bool:
        """Whether the entry has not ended."""
        return self._entry.is_running()

    def output(self) -> str:
        """Return the last lines of the entry's log and its errors."""
        return self._entry.output()[-2_000:] + self._entry.error_output()

    async def start(self) -> None:
        """Start the processes; return when the entry knows the routes and its own share."""
        store = self._group.start_module("store", "testing.soak.store", str(self._store))
        log = str(self._group.directory / "runs.log")
        target = self._group.start_module(
            "target", "testing.soak.target", str(self._target), "t0", log
        )
        store.wait_until_listening(self._store)
        target.wait_until_listening(self._target)
        await self._publish()
        environment = os.environ | {"KINGCUPUSHER_SETTINGS": str(self._settings)}
        command = [sys.executable, str(ROOT / "platform" / "run_entry.py")]
        self._entry = self._group.start_command("e0", command, environment=environment)
        self._entry.wait_until_listening(self._callers)
        await curio.sleep(SETTLE_S)

    async def _publish(self) -> None:
        route = {"host": HOST, "prefix": "/sound/", "kind": "idempotent", "service": "sound"}
        route |= {"timeoutS": ROUTE_TIMEOUT_S, "targetLatencyS": 1.0, "maxAttempts": 2}
        config = {
            "version": "r1",
            "routes": {"sound": route},
            "services": {"sound": {"healthPath": "/health", "maxConnections": 400}},
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": MAX_BODY_BYTES,
                "headerTimeoutS": 30,
                "idleTimeoutS": 120,
            },
        }
        info = {"service": "sound", "version": "v1", "zone": "zone-a", "slots": 3}
        status = {"state": "ready", "sequence": 1, "coldLeftS": 0}
        registration = {"address": str(self._target), "info": info, "status": status}
        puts = {"op/config": config, "servers/t0": registration}
        encoded = {k: b64encode(json.dumps(v).encode()).decode() for k, v in puts.items()}
        body = json.dumps({"puts": encoded}).encode()
        await fetch(self._store, "POST", "/test", deadline_ms=now_ms() + 5_000.0, body=body)

    async def call_beside_crowd(self, kind: str) -> int:
        """Return the status of an ordinary request while the crowd holds what it got."""
        sampler = await curio.spawn(self._sample, daemon=True)
        count = IDLE_COUNT if kind == IDLE else UPLOAD_COUNT
        crowd = Crowd(self._callers, kind, count=count, limit_bytes=MAX_BODY_BYTES, host=HOST)
        await crowd.start()
        await crowd.wait_until_sent(timeout_s=SEND_TIMEOUT_S)
        await curio.sleep(HOLD_S)
        try:
            return await self.call([b"ordinary"])
        finally:
            await sampler.cancel()
            self._measure()
            await crowd.stop()

    async def call(self, pieces, *, framing: str = "") -> int:
        """Return the status of one request, after coming back as told by refusals.

        It is 0 if the connection ended without a response, or no response came in time.
        """
        framing = framing or f"content-length: {sum(map(len, pieces))}\r\n"
        head = f"POST /sound/x HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n{framing}"
        head += "x-kingcupusher-attempt-id: ordinary\r\n\r\n"
        with suppress(OSError, curio.TaskTimeout):
            async with curio.timeout_after(CALL_TIMEOUT_S):
                while True:
                    response = await self._exchange([head.encode(), *pieces])
                    if not response:
                        return NO_STATUS
                    status, pause_s = _status_and_pause(response)
                    if pause_s is None:
                        return status
                    await curio.sleep(pause_s)
        return NO_STATUS

    async def call_with_tiny_chunks(self) -> int:
        """Return the status of one request whose body comes in chunks of one byte."""
        pieces = [TINY_CHUNK * TINY_CHUNKED_BYTES, b"0\r\n\r\n"]
        return await self.call(pieces, framing="transfer-encoding: chunked\r\n")

    async def _exchange(self, pieces) -> bytes:
        received = b""
        sock = await curio.open_connection(self._callers.host, self._callers.port)
        async with sock:
            for piece in pieces:
                await sock.sendall(piece)
            while data := await sock.recv(65_536):
                received += data
        return received

    async def _sample(self) -> None:
        while self.is_running:
            self._measure()
            await curio.sleep(SAMPLE_INTERVAL_S)

    def _measure(self) -> None:
        if not self.is_running:
            return
        pid = self._entry.pid
        used_bytes = resident_bytes(pid) + _unread_bytes(self._callers.port)
        self.peak_bytes = max(self.peak_bytes, used_bytes, peak_resident_bytes(pid))
        descriptors = len(list(Path(f"/proc/{pid}/fd").iterdir()))
        self.peak_descriptors = max(self.peak_descriptors, descriptors)


def _status_and_pause(response: bytes) -> tuple[int, float | None]:
    """Return the status, and the pause that a refusal asks for."""
    status_line, *fields = response.partition(b"\r\n\r\n")[0].split(b"\r\n")
    status = int(status_line.split()[1])
    for field in fields:
        name, _, value = field.partition(b":")
        if status in (429, 503) and name.lower() == b"retry-after":
            return status, float(value)
    return status, None


def _unread_bytes(port: int) -> int:
    """Return what the connections to the local ``port`` have received and not read."""
    total = 0
    for row in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        columns = row.split()
        if int(columns[LOCAL_COLUMN].split(":")[1], 16) == port:
            total += int(columns[QUEUES_COLUMN].split(":")[1], 16)
    return total
