"""A whole deployment on loopback: platform stand-in, targets and entries as processes."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import curio
from msgspec import Struct

from kingcupusher._admin import StatusReport
from kingcupusher._core.address import Address
from standins.entry_admin import EntryAdmin
from standins.platform.client import PlatformControl
from standins.platform.vms import Vm
from standins.processes import READY_TIMEOUT_S, ManagedProcess, ProcessError, ProcessGroup
from standins.target.client import TargetControl
from standins.target.control import Status

POLL_S = 0.1
# VMs of entries are listed under this name, which is no service.
ENTRY_SERVICE = "kingcupusher"


class Program(Struct, frozen=True):
    """Command that starts kingcupusher, and its environment if not the one of this process."""

    command: tuple[str, ...]
    environment: dict[str, str] | None = None


MODULE_PROGRAM = Program((sys.executable, "-m", "kingcupusher"))


class PlatformNode(Struct, frozen=True):
    """The platform stand-in with its two ports."""

    process: ManagedProcess
    address: Address
    control: PlatformControl


class TargetNode(Struct, frozen=True):
    """One target as the VM list shows it, with its control port."""

    process: ManagedProcess
    vm: Vm
    address: Address
    control: TargetControl


class EntryNode(Struct, frozen=True):
    """One entry with its three ports."""

    process: ManagedProcess
    vm_id: str
    zone: str
    caller_address: Address
    peer_address: Address
    admin: EntryAdmin


class Cluster:
    """Starts the processes of a deployment in a process group and finds them again by role."""

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
        return PlatformNode(process, address, PlatformControl(control))

    def start_targets(self, service: str, count: int, *options: str) -> None:
        """Start targets of one service, spread over the zones, without waiting for them."""
        for index in range(count):
            zone = self.zones[index % len(self.zones)]
            self.targets.append(self._start_target(f"{service}-{index}", zone, service, options))

    def _start_target(
        self, vm_id: str, zone: str, service: str, options: tuple[str, ...]
    ) -> TargetNode:
        address = self.group.addresses.allocate()
        control = self.group.addresses.allocate()
        where = ("--address", str(address), "--control", str(control))
        process = self.group.start_module(vm_id, "standins.target", *where, *options)
        vm = Vm(vm_id, zone, service, str(address))
        return TargetNode(process, vm, address, TargetControl(control))

    def start_entries(self, count: int, *options: str) -> None:
        """Start entries, spread over the zones, without waiting for them."""
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
        return EntryNode(process, vm_id, zone, caller, peer, EntryAdmin(admin))

    def _start_program(self, name: str, *arguments: str) -> ManagedProcess:
        command = [*self.program.command, *arguments]
        return self.group.start_command(name, command, environment=self.program.environment)

    def wait_for_targets(self) -> None:
        """Wait until every target serves its control port."""
        for target in self.targets:
            target.process.wait_until_listening(target.control.address)

    def wait_for_entries(self) -> None:
        """Wait until every entry reports itself ready."""
        for entry in self.entries:
            entry.process.wait_until_listening(entry.admin.address, timeout_s=self.timeout_s)
        self.wait_until("all entries are ready", self._entries_ready, timeout_s=self.timeout_s)

    def _entries_ready(self) -> bool:
        return all(curio.run(entry.admin.is_ready) for entry in self.entries)

    def wait_until(
        self, what: str, condition: Callable[[], bool], *, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until ``condition`` holds; raise :class:`ProcessError` if it does not in time."""
        give_up_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > give_up_s:
                raise ProcessError(f"not within {timeout_s:g} s: {what}")
            time.sleep(POLL_S)

    def publish_vms(self) -> None:
        """Put all targets and entries on the VM list."""
        vms = [target.vm for target in self.targets]
        vms += [Vm(e.vm_id, e.zone, ENTRY_SERVICE, str(e.caller_address)) for e in self.entries]
        curio.run(self.platform.control.set_vms, vms)

    def run_command(self, *arguments: str) -> str:
        """Run a ``kingcupusher`` command against the platform and return its output."""
        platform = ("--platform", str(self.platform.address))
        process = self._start_program("command", *arguments, *platform)
        status = process.wait(timeout_s=self.timeout_s)
        if status:
            text = " ".join(arguments)
            raise ProcessError(f"kingcupusher {text} ended with {status}: {process.error_output()}")
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
        """Return the state of each entry."""
        return [curio.run(entry.admin.status) for entry in self.entries]

    def are_open_at_all_entries(self, targets: Sequence[TargetNode]) -> bool:
        """Return whether every entry sees all of ``targets`` as open."""
        names = {target.vm.vm_id for target in targets}
        return all(names <= _open_targets(status) for status in self.entry_statuses())

    def target_statuses(self, targets: Sequence[TargetNode]) -> list[Status]:
        """Return the status of each target, in order."""
        found: list[Status] = curio.run(_statuses, [target.control for target in targets])
        return found


def _open_targets(status: StatusReport) -> set[str]:
    return {target.target_id for target in status.targets if target.state == "open"}


async def _statuses(controls: list[TargetControl]) -> list[Status]:
    return [await control.status() for control in controls]
