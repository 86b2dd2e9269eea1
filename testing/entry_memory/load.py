"""One entry under load: callers of a faulty service beside callers of a sound one."""

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
from testing.entry_memory.memory import peak_resident_bytes, resident_bytes, unread_bytes

ROOT = Path(__file__).resolve().parents[2]
HOST = "h.example"
SAMPLE_INTERVAL_S = 0.05
SOUND_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 6
ROUTE_TIMEOUT_S = 3.0
OBJECTIVE_MS = 300.0
SETTLE_S = 2.0
CALLER_START_INTERVAL_S = 0.01
CALLER_PAUSE_S = 2.0
UNREAD_S = 4.0
METRICS_TIMEOUT_MS = 5_000.0
SETTINGS = """\
nodeName = "e0"
zone = "zone-a"
ipAddress = "127.0.0.1"
internalPortRange = [{metrics}, {metrics}]
seedNodes = []
contractParams = ["retryBudgetSlack=50", "coldStartOvershoot=1.5", "probesPerS=60"]

[listenAddresses]
frontend = "{callers}"
readiness = "{readiness}"
controlPlane = "{relay}"

[limits]
memoryMb = {memory_mb}
fileDescriptors = 4100

[platform]
address = "{store}"
"""


class SoundCall:
    """Result of a call of the sound service."""

    __slots__ = ("elapsed_ms", "status")

    def __init__(self, status: int, elapsed_ms: float) -> None:
        self.status = status
        self.elapsed_ms = elapsed_ms


class EntryUnderLoad:
    """Starts a store, targets and one entry; measures the entry while callers send requests."""

    def __init__(self, group: ProcessGroup, *, memory_mb: int, faulty_targets: int) -> None:
        self._group = group
        take = group.addresses.allocate
        self._store, self._callers = take(), take()
        self._faulty = [take() for _ in range(faulty_targets)]
        self._sound = [take() for _ in range(2)]
        self._metrics = take()
        text = SETTINGS.format(
            callers=self._callers,
            readiness=take(),
            relay=take(),
            metrics=self._metrics.port,
            memory_mb=memory_mb,
            store=self._store,
        )
        self._settings = group.directory / "e0.toml"
        self._settings.write_text(text, encoding="utf-8")
        self._entry = None
        self.peak_bytes = 0
        self.metrics = ""
        self.statuses: list[int] = []
        self._are_reading = True
        self.sound_calls: list[SoundCall] = []

    @property
    def is_running(self) -> bool:
        """Whether the entry has not ended."""
        return self._entry.is_running()

    async def start(self, part: str, speed: str) -> None:
        """Start the processes; return when the entry knows the routes and its own share."""
        store = self._group.start_module("store", "testing.soak.store", str(self._store))
        faulty = self._group.start_module(
            "faulty", "testing.entry_memory.endless_target", part, speed, *map(str, self._faulty)
        )
        log = str(self._group.directory / "runs.log")
        sound = [
            self._group.start_module(f"sound{i}", "testing.soak.target", str(address), f"s{i}", log)
            for i, address in enumerate(self._sound)
        ]
        store.wait_until_listening(self._store)
        faulty.wait_until_listening(self._faulty[-1])
        for process, address in zip(sound, self._sound, strict=True):
            process.wait_until_listening(address)
        await self._publish()
        environment = os.environ | {"KINGCUPUSHER_SETTINGS": str(self._settings)}
        command = [sys.executable, str(ROOT / "platform" / "run_entry.py")]
        self._entry = self._group.start_command("e0", command, environment=environment)
        self._entry.wait_until_listening(self._callers)
        # An entry takes itself for the only one, with the whole of all limits, after 5 s.
        await curio.sleep(5.0 + SETTLE_S)

    async def _publish(self) -> None:
        routes = {
            name: {"host": HOST, "prefix": f"/{name}/", "kind": "idempotent", "service": name}
            | {
                "timeoutS": ROUTE_TIMEOUT_S,
                "targetLatencyS": OBJECTIVE_MS / 1_000.0,
                "maxAttempts": 2,
            }
            for name in ("faulty", "sound")
        }
        service = {"healthPath": "/health", "maxConnections": 400, "coldPerS": 5.0}
        services = {"faulty": service, "sound": service}
        puts = {"op/config": {"version": "r1", "routes": routes, "services": services}}
        for number, address in enumerate(self._faulty):
            puts[f"servers/endless{number}"] = _registration(address, "faulty", slots=50)
        for number, address in enumerate(self._sound):
            puts[f"servers/s{number}"] = _registration(address, "sound", slots=3)
        encoded = {k: b64encode(json.dumps(v).encode()).decode() for k, v in puts.items()}
        body = json.dumps({"puts": encoded}).encode()
        await fetch(self._store, "POST", "/test", deadline_ms=now_ms() + 5_000.0, body=body)

    async def run(self, *, callers: int, for_s: float, are_reading: bool = True) -> None:
        """Let ``callers`` call the faulty service at a time, beside calls of the sound one."""
        self._are_reading = are_reading
        until_ms = now_ms() + for_s * 1_000.0
        tasks = [await curio.spawn(self._call_faulty, i, until_ms) for i in range(callers)]
        tasks.append(await curio.spawn(self._call_sound, until_ms))
        sampler = await curio.spawn(self._sample, daemon=True)
        for task in tasks:
            await task.join()
        await sampler.cancel()
        if self.is_running:
            self.peak_bytes = max(self.peak_bytes, peak_resident_bytes(self._entry.pid))
            deadline_ms = now_ms() + METRICS_TIMEOUT_MS
            response = await fetch(self._metrics, "GET", "/metrics", deadline_ms=deadline_ms)
            self.metrics = response.body.decode()

    async def _sample(self) -> None:
        ports = {address.port for address in self._faulty}
        while self.is_running:
            used_bytes = resident_bytes(self._entry.pid) + unread_bytes(ports)
            self.peak_bytes = max(self.peak_bytes, used_bytes)
            await curio.sleep(SAMPLE_INTERVAL_S)

    async def _call(self, path: str, request_id: str, *, is_reading: bool = True) -> int:
        """Return the status of the response, 0 without one."""
        head = f"GET {path} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n"
        head += f"x-kingcupusher-attempt-id: {request_id}\r\n"
        head += "x-kingcupusher-request-deadline: 3000\r\n\r\n"
        received = b""
        with suppress(OSError, curio.TaskTimeout):
            async with curio.timeout_after(CALL_TIMEOUT_S):
                sock = await curio.open_connection(self._callers.host, self._callers.port)
                async with sock:
                    await sock.sendall(head.encode())
                    if not is_reading:
                        await curio.sleep(UNREAD_S)
                    while data := await sock.recv(65_536):
                        received = received[:64] + data[:64]
                    return int(received.split()[1]) if received else 0
        return 0

    async def _call_faulty(self, number: int, until_ms: float) -> None:
        count = 0
        await curio.sleep(number * CALLER_START_INTERVAL_S)
        while now_ms() < until_ms and self.is_running:
            request_id = f"f{number}-{count}"
            status = await self._call(f"/faulty/{number}", request_id, is_reading=self._are_reading)
            self.statuses.append(status)
            count += 1
            await curio.sleep(CALLER_PAUSE_S)

    async def _call_sound(self, until_ms: float) -> None:
        tasks = []
        while now_ms() < until_ms and self.is_running:
            tasks.append(await curio.spawn(self._time_sound_call, len(tasks)))
            await curio.sleep(SOUND_INTERVAL_S)
        for task in tasks:
            await task.join()

    async def _time_sound_call(self, number: int) -> None:
        started_ms = now_ms()
        status = await self._call(f"/sound/{number}", f"s{number}")
        self.sound_calls.append(SoundCall(status, now_ms() - started_ms))

    def entry_output(self) -> str:
        """Return the last lines of the entry's log and its errors."""
        output = ""
        with suppress(OSError):
            output = self._entry.output()[-2_000:] + self._entry.error_output()
        return output

    def sound_latency_ms(self, share: float) -> float:
        """Return the latency within which ``share`` of the calls of the sound service ended."""
        latencies = sorted(call.elapsed_ms for call in self.sound_calls)
        return latencies[min(len(latencies) - 1, int(len(latencies) * share))]


def _registration(address, service: str, *, slots: int) -> dict:
    info = {"service": service, "version": "v1", "zone": "zone-a", "slots": slots}
    status = {"state": "ready", "sequence": 1, "coldLeftS": 0}
    return {"address": str(address), "info": info, "status": status}
