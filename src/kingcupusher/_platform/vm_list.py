"""Client of the VM list."""

from __future__ import annotations

from logbook import Logger
from msgspec import Struct

from kingcupusher._core.address import Address, AddressError
from kingcupusher._platform.calls import JsonClient
from kingcupusher._platform.key_value import CALL_TIMEOUT_MS
from kingcupusher._platform.records import VmRecord, VmState

log = Logger("platform")


class _Vm(Struct, frozen=True):
    vm_id: str
    zone: str
    service: str
    address: str
    state: VmState


class VmListClient:
    """Reads the VM list from one address."""

    __slots__ = ("_client",)

    def __init__(self, address: Address, *, timeout_ms: float = CALL_TIMEOUT_MS) -> None:
        self._client = JsonClient(address, timeout_ms)

    async def read(self) -> list[VmRecord]:
        """Return the live and leaving VMs; the list may be out of date.

        A VM with an invalid address is skipped, so that the others can still be used.
        """
        records = map(_to_record, await self._client.read("/v1/vms", list[_Vm]))
        return [record for record in records if record]


def _to_record(vm: _Vm) -> VmRecord | None:
    try:
        address = Address.parse(vm.address)
    except AddressError as error:
        log.warning(f"VM {vm.vm_id} in the VM list skipped: {error}")
        return None
    return VmRecord(vm.vm_id, vm.zone, vm.service, address, vm.state)
