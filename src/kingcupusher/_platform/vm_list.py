"""Client of the VM list."""

from __future__ import annotations

from msgspec import Struct

from kingcupusher._core.address import Address, AddressError
from kingcupusher._platform.calls import Caller
from kingcupusher._platform.errors import PlatformUnavailableError
from kingcupusher._platform.key_value import CALL_TIMEOUT_MS
from kingcupusher._platform.records import VmRecord, VmState


class _Vm(Struct, frozen=True):
    vm_id: str
    zone: str
    service: str
    address: str
    state: VmState


class VmListClient:
    """Reads the VM list at one address."""

    __slots__ = ("_caller",)

    def __init__(self, address: Address, *, timeout_ms: float = CALL_TIMEOUT_MS) -> None:
        self._caller = Caller(address, timeout_ms)

    async def read(self) -> list[VmRecord]:
        """Return the live and leaving VMs; the list lags."""
        return [_record(vm) for vm in await self._caller.read("/v1/vms", list[_Vm])]


def _record(vm: _Vm) -> VmRecord:
    try:
        address = Address.parse(vm.address)
    except AddressError as error:
        raise PlatformUnavailableError(f"VM {vm.vm_id} is listed wrongly: {error}") from error
    return VmRecord(vm.vm_id, vm.zone, vm.service, address, vm.state)
