"""Deployment on loopback: the platform stand-in, targets and entries, each as a process."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import curio
from msgspec import Struct

from kingcupusher._admin import StatusReport
from kingcupusher._core.address import Address
from standins.entry_admin import EntryAdminClient
from standins.platform.client import PlatformControlClient
from standins.platform.vms import Vm
from standins.processes import READY_TIMEOUT_S, ManagedProcess, ProcessError, ProcessGroup
from standins.target.client import TargetControlClient
from standins.target.control import Status

POLL_INTERVAL_S = 0.1
# Service name of the VMs of entries in the VM list; no service file has this name.
ENTRY_SERVICE = "kingcupusher"


class Program(Struct, frozen=True):
    """Command that starts kingcupusher; ``environment`` is None to inherit that of this process."""

    command: tuple[str, ...]
    environment: dict[str, str] | None = None


MODULE_PROGRAM = Program((sys.executable, "-m", "kingcupusher"))


class PlatformNode(Struct, frozen=True):
    """The process of the platform stand-in, its address and a client of its control port."""

    process: ManagedProcess
    address: Address
    control: PlatformControlClient


class TargetNode(Struct, frozen=True):
    """The process of a target, its VM list item, address and a client of its control port."""

    process: ManagedProcess
    vm: Vm
    address: Address
    control: TargetControlClient


class EntryNode(Struct, frozen=True):
    """The process of an entry, its addresses and a client of its administration interface."""

    process: ManagedProcess
    vm_id: str
    zone: str
    caller_address: Address
    peer_address: Address
    admin: EntryAdminClient


class Cluster:
    """Starts the processes of a deployment in a process group and keeps them by role."""

    __slots__ = ("entries", "group", "platform", "program", "targets", "timeout_s", "zones")

    def __init__(
        self,
        group: ProcessGroup,
        *,
        zones: Sequence[str],
        program: Program = MODULE_PROGRAM,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        self.timeout_s = timeout_s
        self.group = group
        self.program = program
        self.zones = list(zones)
        self.targets: list[TargetNode] = []
        self.entries: list[EntryNode] = []
        self.platform = self._start_platform()

    def _start_platform(self) -> PlatformNode:
        address = self.group.addresses.allocate()
        control = self.group.addresses.allocate()
        ports = ("--port", str(address.port), "--control-port", str(control.port))
        process = self.group.start_module("platform", "standins.platform", *ports)
        process.wait_until_listening(control, timeout_s=self.timeout_s)
        return PlatformNode(process, address, PlatformControlClient(control))

    def start_targets(self, service: str, count: int, *options: str) -> None:
        """Start targets of one service, round robin over the zones; return without waiting."""
        for index in range(count):
            zone = self.zones[index % len(self.zones)]
            self.targets.append(self._start_target(f"{service}-{index}", zone, service, options))

    def _start_target(
        self, vm_id: str, zone: str, service: str, options: tuple[str, ...]
    ) -> TargetNode:
        address = self.group.addresses.allocate()
        control = self.group.addresses.allocate()
        address_options = ("--address", str(address), "--control", str(control))
        process = self.group.start_module(vm_id, "standins.target", *address_options, *options)
        vm = Vm(vm_id, zone, service, str(address))
        return TargetNode(process, vm, address, TargetControlClient(control))

    def start_entries(self, count: int, *options: str) -> None:
        """Start entries, round robin over the zones; return without waiting."""
        for index in range(count):
            zone = self.zones[index % len(self.zones)]
            self.entries.append(self._start_entry(f"entry-{index}", zone, options))

    def _start_entry(self, vm_id: str, zone: str, options: tuple[str, ...]) -> EntryNode:
        caller, peer, admin = (self.group.addresses.allocate() for _ in range(3))
        flags = {
            "--vm-id": vm_id,
            "--zone": zone,
            "--caller-address": str(caller),
            "--peer-address": str(peer),
            "--admin-address": str(admin),
            "--platform": str(self.platform.address),
        }
        arguments = [part for flag in flags.items() for part in flag]
        process = self._start_program(vm_id, "entry", *arguments, *options)
        return EntryNode(process, vm_id, zone, caller, peer, EntryAdminClient(admin))

    def _start_program(self, name: str, *arguments: str) -> ManagedProcess:
        command = [*self.program.command, *arguments]
        return self.group.start_command(name, command, environment=self.program.environment)

    def wait_for_targets(self) -> None:
        """Wait until the control port of every target accepts connections."""
        for target in self.targets:
            target.process.wait_until_listening(target.control.address)

    def wait_for_entries(self) -> None:
        """Wait until every entry reports that it is ready."""
        for entry in self.entries:
            entry.process.wait_until_listening(entry.admin.address, timeout_s=self.timeout_s)
        self.wait_until("all entries are ready", self._entries_ready, timeout_s=self.timeout_s)

    def _entries_ready(self) -> bool:
        return all(curio.run(entry.admin.is_ready) for entry in self.entries)

    def wait_until(
        self, description: str, condition: Callable[[], bool], *, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Poll until ``condition`` is true; raise :class:`ProcessError` on time-out."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise ProcessError(f"timed out after {timeout_s:g} s: {description}")
            time.sleep(POLL_INTERVAL_S)

    def publish_vms(self) -> None:
        """Replace the VM list by all targets and entries."""
        vms = [target.vm for target in self.targets]
        vms += [Vm(e.vm_id, e.zone, ENTRY_SERVICE, str(e.caller_address)) for e in self.entries]
        curio.run(self.platform.control.set_vms, vms)

    def run_command(self, *arguments: str) -> str:
        """Run a ``kingcupusher`` command and return its output; raise on a non-zero status."""
        platform = ("--platform", str(self.platform.address))
        process = self._start_program("command", *arguments, *platform)
        status = process.wait(timeout_s=self.timeout_s)
        if status:
            text = " ".join(arguments)
            raise ProcessError(
                f"kingcupusher {text} failed with {status}: {process.error_output()}"
            )
        return process.output()

    def publish(self, files: Sequence[Path]) -> None:
        """Publish service files."""
        self.run_command("publish", *map(str, files))

    def targets_of_service(self, service: str) -> list[TargetNode]:
        """Return the targets of a service."""
        return [target for target in self.targets if target.vm.service == service]

    def targets_in_zone(self, zone: str) -> list[TargetNode]:
        """Return the targets in a zone."""
        return [target for target in self.targets if target.vm.zone == zone]

    def entry_statuses(self) -> list[StatusReport]:
        """Return the status report of each entry."""
        return [curio.run(entry.admin.status) for entry in self.entries]

    def are_open_at_all_entries(self, targets: Sequence[TargetNode]) -> bool:
        """Return whether every entry reports all of ``targets`` as open."""
        target_ids = {target.vm.vm_id for target in targets}
        return all(target_ids <= _open_target_ids(status) for status in self.entry_statuses())

    def target_statuses(self, targets: Sequence[TargetNode]) -> list[Status]:
        """Return the status of each target, in order."""
        found: list[Status] = curio.run(_statuses, [target.control for target in targets])
        return found


def _open_target_ids(status: StatusReport) -> set[str]:
    return {target.target_id for target in status.targets if target.state == "open"}


async def _statuses(controls: list[TargetControlClient]) -> list[Status]:
    return [await control.status() for control in controls]
