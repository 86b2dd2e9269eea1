"""The processes of a soak run: a store, entries and targets, with a faulty link to each."""

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
from testing.soak.callers import HOST, PATH_PREFIXES
from testing.soak.faulty_link import FaultyLink

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b")
CALL_TIMEOUT_MS = 5_000.0
SETTINGS_TEMPLATE = """\
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


class Node:
    """An entry or target: its process and its faulty link.

    The link leads to the target, or from the entry to the store. A fault sets ``exit_expected``
    while it ends and restarts the process.
    """

    def __init__(self, name: str, zone: str, link: FaultyLink) -> None:
        self.name = name
        self.zone = zone
        self.link = link
        self.process: ManagedProcess | None = None
        self.exit_expected = False
        self.start_count = 0


class Fleet:
    """Starts the processes and writes to the store on behalf of operators and targets."""

    def __init__(self, group: ProcessGroup, *, entries: int, targets: int) -> None:
        self._group = group
        self._store_address = group.addresses.allocate()
        self._version = 0
        self.store_process: ManagedProcess | None = None
        self.execution_log = group.directory / "runs.log"
        self.targets = [self._create_target(i) for i in range(targets)]
        self.frontends: dict[str, Address] = {}
        self.entries = self._create_entries(entries)
        self.zones_out: set[str] = set()
        self.disturbed: set[str] = set()

    def _create_target(self, index: int) -> Node:
        link = FaultyLink(self._group.addresses.allocate(), self._group.addresses.allocate())
        return Node(f"t{index}", ZONES[index % 2], link)

    def _create_entries(self, count: int) -> list[Node]:
        take = self._group.addresses.allocate
        relays = [take() for _ in range(count)]
        entries = []
        for index in range(count):
            name, link = f"e{index}", FaultyLink(take(), self._store_address)
            self.frontends[name] = take()
            text = SETTINGS_TEMPLATE.format(
                name=name,
                zone=ZONES[index % 2],
                host="127.0.0.1",
                metrics=take().port,
                seeds=json.dumps([str(address) for address in relays]),
                callers=self.frontends[name],
                readiness=take(),
                relay=relays[index],
                store=link.address,
            )
            self._settings_path(name).write_text(text, encoding="utf-8")
            entries.append(Node(name, ZONES[index % 2], link))
        return entries

    def _settings_path(self, name: str) -> Path:
        return self._group.directory / f"{name}.toml"

    async def start(self) -> None:
        """Start all processes; return when every entry accepts connections of callers."""
        address = str(self._store_address)
        self.store_process = self._group.start_module("store", "testing.soak.store", address)
        self.store_process.wait_until_listening(self._store_address)
        for node in [*self.targets, *self.entries]:
            await curio.spawn(node.link.run, daemon=True)
        for target in self.targets:
            await self.start_target(target)
        await self.publish_routes()
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            assert entry.process is not None
            entry.process.wait_until_listening(self.frontends[entry.name])

    def start_entry(self, entry: Node) -> None:
        """Start or restart the process of an entry."""
        path = self._settings_path(entry.name)
        environment = os.environ | {"KINGCUPUSHER_SETTINGS": str(path)}
        command = [sys.executable, str(ROOT / "platform" / "run_entry.py")]
        entry.exit_expected = False
        entry.process = self._group.start_command(entry.name, command, environment=environment)

    async def start_target(self, target: Node) -> None:
        """Start or restart the process of a target and register it under a new target id."""
        target.start_count += 1
        target_id = f"{target.name}r{target.start_count}"
        arguments = [str(target.link.upstream), target_id, str(self.execution_log)]
        target.process = self._group.start_module(target.name, "testing.soak.target", *arguments)
        target.process.wait_until_listening(target.link.upstream)
        await self.register_target(target, state="ready")

    async def register_target(self, target: Node, *, state: str) -> None:
        """Write the registration of a target and remove those of its earlier processes."""
        key = f"servers/{target.name}r{target.start_count}"
        info = {"service": "soak", "version": "v1", "zone": target.zone, "slots": 3}
        status = {"state": state, "sequence": 1, "coldLeftS": 0}
        value = {"address": str(target.link.address), "info": info, "status": status}
        old_keys = [f"servers/{target.name}r{i}" for i in range(1, target.start_count)]
        await self.call_store(puts={key: value}, remove=old_keys)

    async def publish_routes(self, *, added: int = 0) -> None:
        """Write the next version of the routes, with ``added`` routes that nobody uses."""
        self._version += 3
        timeout_s = 2.0 + 0.1 * (self._version % 5)
        routes = {
            f"r-{is_idempotent}": {
                "host": HOST,
                "prefix": PATH_PREFIXES[is_idempotent],
                "kind": "idempotent" if is_idempotent else "non_idempotent",
                "timeoutS": timeout_s,
                "targetLatencyS": 0.3,
                "service": "soak",
                "maxAttempts": 2,
            }
            for is_idempotent in (True, False)
        }
        unused = routes["r-True"] | {"host": "unused.example"}
        for index in range(added):
            routes[f"r-{index}"] = unused | {"prefix": f"/{index}/"}
        service = {"healthPath": "/health", "maxConnections": 200, "coldPerS": 5.0}
        content = {"version": f"r{self._version}", "routes": routes, "services": {"soak": service}}
        await self.call_store(puts={"op/config": content})

    async def call_store(self, *, puts: dict[str, object] | None = None, **fields: object) -> None:
        """Write items to the store, remove keys, or inject a fault into it."""
        encoded = {k: b64encode(json.dumps(v).encode()).decode() for k, v in (puts or {}).items()}
        body = json.dumps({"puts": encoded, **fields}).encode()
        await fetch(
            self._store_address, "POST", "/test", deadline_ms=now_ms() + CALL_TIMEOUT_MS, body=body
        )

    def signal(self, node: Node, signal_number: signal.Signals) -> None:
        """Send a signal to a process; any but SIGHUP marks the node as disturbed."""
        assert node.process is not None
        if signal_number is not signal.SIGHUP:
            self.disturbed.add(node.name)
        node.exit_expected = node.exit_expected or signal_number in (signal.SIGKILL, signal.SIGTERM)
        node.process.send_signal(signal_number)
