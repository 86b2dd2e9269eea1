"""Client of the VM list."""

from __future__ import annotations

from logbook import Logger
from msgspec import Struct

from kingcupusher._core.address import Address, AddressError
from kingcupusher._platform.calls import Caller
from kingcupusher._platform.key_value import CALL_TIMEOUT_MS
from kingcupusher._platform.records import VmRecord, VmState

LOG = Logger("platform")


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
        """Return the live and leaving VMs; the list lags.

        A VM with an unusable address is left out, so that it does not hide the others.
        """
        records = map(_record, await self._caller.read("/v1/vms", list[_Vm]))
        return [record for record in records if record]


def _record(vm: _Vm) -> VmRecord | None:
    try:
        address = Address.parse(vm.address)
    except AddressError as error:
        LOG.warning(f"VM {vm.vm_id} is left out of the VM list: {error}")
        return None
    return VmRecord(vm.vm_id, vm.zone, vm.service, address, vm.state)
