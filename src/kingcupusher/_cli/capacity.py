"""Capacity of each service before and after a zone is taken out."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from kingcupusher._config import ConfigDocument
from kingcupusher._platform import VmRecord, VmState


class ServiceCapacity(Struct, frozen=True, kw_only=True):
    """Slots of one service before and after a zone is taken out."""

    service: str
    slots_before: int
    slots_after: int

    @property
    def share_percent(self) -> float:
        """Share of the slots that remains, in percent; 0 if there are none."""
        return 100.0 * self.slots_after / self.slots_before if self.slots_before else 0.0

    @property
    def loses_all_targets(self) -> bool:
        """Whether the service has targets now and none after the zone is taken out."""
        return self.slots_before > 0 and self.slots_after == 0


def surviving_capacity(
    document: ConfigDocument, vms: Iterable[VmRecord], zone: str
) -> list[ServiceCapacity]:
    """Return the capacity of each service if ``zone`` is taken out as well."""
    usable = [vm for vm in vms if vm.state is VmState.LIVE and vm.zone not in document.zones_out]
    return [_capacity(document, usable, name, zone) for name in sorted(document.services)]


def _capacity(
    document: ConfigDocument, usable: list[VmRecord], name: str, zone: str
) -> ServiceCapacity:
    slots = document.services[name].target.slots
    zones = [vm.zone for vm in usable if vm.service == name]
    return ServiceCapacity(
        service=name,
        slots_before=slots * len(zones),
        slots_after=slots * sum(other != zone for other in zones),
    )
