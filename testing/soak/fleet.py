"""The processes of one soak run: a store, entries and targets, with a link before each."""

from __future__ import annotations

import json
import os
import signal
import sys
from base64 import b64encode
from pathlib import Path

import curio

from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._http.simple_client import fetch
from standins.processes import ManagedProcess, ProcessGroup
from testing.soak.callers import HOST, PREFIXES
from testing.soak.link import Link

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b")
CALL_MS = 5_000.0
SETTINGS = """\
nodeName = "{name}"
zone = "{zone}"
ipAddress = "{host}"
internalPortRange = [{metrics}, {metrics}]
seedNodes = {seeds}
contractParams = ["retryBudgetSlack=50", "coldStartOvershoot=1.5", "probesPerS=600"]

[listenAddresses]
frontend = "{callers}"
readiness = "{readiness}"
controlPlane = "{relay}"

[platform]
address = "{store}"
"""


class Part:
    """An entry or target: its process, and the link that can be cut.

    The link leads to the target, or from the entry to the store.
    """

    def __init__(self, name: str, zone: str, link: Link) -> None:
        self.name = name
        self.zone = zone
        self.link = link
        self.process: ManagedProcess | None = None
        self.may_end = False
        self.restarts = 0


class Fleet:
    """Starts the processes and writes what operators and targets would write to the store."""

    def __init__(self, group: ProcessGroup, *, entries: int, targets: int) -> None:
        self._group = group
        self._store_address = group.addresses.allocate()
        self._version = 0
        self.store_process: ManagedProcess | None = None
        self.run_log = group.directory / "runs.log"
        self.targets = [self._target(i) for i in range(targets)]
        self.callers: dict[str, Address] = {}
        self.entries = self._entries(entries)
        self.zones_out: set[str] = set()
        self.disturbed: set[str] = set()

    def _target(self, index: int) -> Part:
        link = Link(self._group.addresses.allocate(), self._group.addresses.allocate())
        return Part(f"t{index}", ZONES[index % 2], link)

    def _entries(self, count: int) -> list[Part]:
        take = self._group.addresses.allocate
        relays = [take() for _ in range(count)]
        entries = []
        for index in range(count):
            name, link = f"e{index}", Link(take(), self._store_address)
            self.callers[name] = take()
            text = SETTINGS.format(
                name=name,
                zone=ZONES[index % 2],
                host="127.0.0.1",
                metrics=take().port,
                seeds=json.dumps([str(address) for address in relays]),
                callers=self.callers[name],
                readiness=take(),
                relay=relays[index],
                store=link.address,
            )
            self._settings_path(name).write_text(text, encoding="utf-8")
            entries.append(Part(name, ZONES[index % 2], link))
        return entries

    def _settings_path(self, name: str) -> Path:
        return self._group.directory / f"{name}.toml"

    async def start(self) -> None:
        """Start everything; return when all entries accept callers."""
        address = str(self._store_address)
        self.store_process = self._group.start_module("store", "testing.soak.store", address)
        self.store_process.wait_until_listening(self._store_address)
        for part in [*self.targets, *self.entries]:
            await curio.spawn(part.link.run, daemon=True)
        for target in self.targets:
            await self.start_target(target)
        await self.publish_routes()
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            assert entry.process is not None
            entry.process.wait_until_listening(self.callers[entry.name])

    def start_entry(self, entry: Part) -> None:
        """Start an entry's process, again if it had ended."""
        path = self._settings_path(entry.name)
        environment = os.environ | {"KINGCUPUSHER_SETTINGS": str(path)}
        command = [sys.executable, str(ROOT / "platform" / "run_entry.py")]
        entry.may_end = False
        entry.process = self._group.start_command(entry.name, command, environment=environment)

    async def start_target(self, target: Part) -> None:
        """Start a target's process under a new identity and register it."""
        target.restarts += 1
        identity = f"{target.name}r{target.restarts}"
        arguments = [str(target.link.upstream), identity, str(self.run_log)]
        target.process = self._group.start_module(target.name, "testing.soak.target", *arguments)
        target.process.wait_until_listening(target.link.upstream)
        await self.register(target, state="ready")

    async def register(self, target: Part, *, state: str) -> None:
        """Write what a target says of itself; earlier identities are removed."""
        key = f"servers/{target.name}r{target.restarts}"
        info = {"service": "soak", "version": "v1", "zone": target.zone, "slots": 3}
        status = {"state": state, "sequence": 1, "coldLeftS": 0}
        value = {"address": str(target.link.address), "info": info, "status": status}
        old = [f"servers/{target.name}r{i}" for i in range(1, target.restarts)]
        await self.change(puts={key: value}, remove=old)

    async def publish_routes(self) -> None:
        """Write the next version of the routes."""
        self._version += 3
        timeout_s = 2.0 + 0.1 * (self._version % 5)
        routes = {
            f"r-{kind}": {
                "host": HOST,
                "prefix": PREFIXES[kind],
                "kind": "idempotent" if kind else "non_idempotent",
                "timeoutS": timeout_s,
                "targetLatencyS": 0.3,
                "service": "soak",
                "maxAttempts": 2,
            }
            for kind in (True, False)
        }
        service = {"healthPath": "/health", "maxConnections": 200, "coldPerS": 5.0}
        content = {"version": f"r{self._version}", "routes": routes, "services": {"soak": service}}
        await self.change(puts={"op/config": content})

    async def change(self, *, puts: dict[str, object] | None = None, **order: object) -> None:
        """Write items to the store, remove keys, or order a fault of it."""
        encoded = {k: b64encode(json.dumps(v).encode()).decode() for k, v in (puts or {}).items()}
        body = json.dumps({"puts": encoded, **order}).encode()
        await fetch(self._store_address, "POST", "/test", deadline_ms=now_ms() + CALL_MS, body=body)

    def signal(self, part: Part, number: signal.Signals) -> None:
        """Send a signal to the process of an entry or target."""
        assert part.process is not None
        if number is not signal.SIGHUP:
            self.disturbed.add(part.name)
        part.may_end = part.may_end or number in (signal.SIGKILL, signal.SIGTERM)
        part.process.send_signal(number)
