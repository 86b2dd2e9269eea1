"""The command ``zone list``."""

from __future__ import annotations

from collections import Counter

import typer
from msgspec import Struct

from kingcupusher._cli.options import JsonOption, PlatformOption
from kingcupusher._cli.platform_calls import run_platform_call
from kingcupusher._cli.results import print_json
from kingcupusher._config import Publisher
from kingcupusher._core.address import Address
from kingcupusher._platform import KeyValueClient, VmListClient, VmRecord, VmState


class ZoneRow(Struct, frozen=True):
    """One zone: whether it is out, and the number of its live VMs."""

    zone: str
    out: bool
    live_vms: int


def zone_list(platform: PlatformOption, as_json: JsonOption = False) -> None:
    """List the zones that have VMs or are out.

    Example: kingcupusher zone list --platform 10.0.0.5:2379
    """
    rows = run_platform_call(_read_rows, platform, platform=platform)
    if as_json:
        print_json(rows)
        return
    for row in rows:
        typer.echo(f"{row.zone}: {'out' if row.out else 'in'}, {row.live_vms} live VMs")


async def _read_rows(platform: Address) -> list[ZoneRow]:
    document = await Publisher(KeyValueClient(platform)).read()
    return _rows(document.zones_out, await VmListClient(platform).read())


def _rows(zones_out: list[str], vms: list[VmRecord]) -> list[ZoneRow]:
    live = Counter(vm.zone for vm in vms if vm.state is VmState.LIVE)
    zones = sorted({*zones_out, *(vm.zone for vm in vms)})
    return [ZoneRow(zone, zone in zones_out, live[zone]) for zone in zones]
