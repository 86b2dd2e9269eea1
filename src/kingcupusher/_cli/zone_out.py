"""The command ``zone out``."""

from __future__ import annotations

from typing import Annotated

import typer
from msgspec import Struct

from kingcupusher._cli.capacity import Capacity, surviving_capacity
from kingcupusher._cli.exits import ExitCode, fail
from kingcupusher._cli.options import JsonOption, PlatformOption, ZoneArgument
from kingcupusher._cli.platform_calls import run_call
from kingcupusher._cli.results import finish
from kingcupusher._config import ConfigDocument, Publisher, PublishResult
from kingcupusher._core.address import Address
from kingcupusher._platform import KeyValueClient, PlatformError, VmListClient, VmRecord

ForceOption = Annotated[
    bool,
    typer.Option("--force", help="Take the zone out even if a service loses its last targets."),
]


class View(Struct, frozen=True):
    """What the command knows before it decides; ``vms`` is None if the VM list is unreadable."""

    document: ConfigDocument
    vms: list[VmRecord] | None


def zone_out(
    zone: ZoneArgument,
    platform: PlatformOption,
    force: ForceOption = False,
    as_json: JsonOption = False,
) -> None:
    """Take a zone out: entries send it no new work within 3 seconds.

    Prints the share of slots that each service keeps. Needs --force if a service would be left
    without targets, if the zone has no VMs, or if the VM list cannot be read.

    Example: kingcupusher zone out lagos-b --platform 10.0.0.5:2379
    """
    view = run_call(_view, platform, platform=platform)
    capacities = surviving_capacity(view.document, view.vms or [], zone)
    for capacity in capacities:
        typer.echo(_line(capacity), err=as_json)
    reasons = _reasons_against(view, zone, capacities)
    for reason in reasons:
        typer.echo(f"warning: {reason}", err=True)
    if reasons and not force:
        fail(
            f"zone {zone} was not taken out: {reasons[0]}",
            fix="check the zone and the service, or repeat the command with --force",
            code=ExitCode.NEEDS_FORCE,
        )
    publisher = Publisher(KeyValueClient(platform))
    finish(run_call(_order_out, publisher, zone, platform=platform), as_json=as_json)


async def _order_out(publisher: Publisher, zone: str) -> PublishResult:
    return await publisher.order_zone(zone, out=True)


async def _view(platform: Address) -> View:
    document = await Publisher(KeyValueClient(platform)).read()
    try:
        return View(document, await VmListClient(platform).read())
    except PlatformError:
        return View(document, None)


def _line(capacity: Capacity) -> str:
    return (
        f"{capacity.service}: {capacity.slots_after} of {capacity.slots_before} slots remain"
        f" ({capacity.share_percent:.0f} %)"
    )


def _reasons_against(view: View, zone: str, capacities: list[Capacity]) -> list[str]:
    if view.vms is None:
        return ["the VM list cannot be read, so the surviving capacity is unknown"]
    zones = sorted({vm.zone for vm in view.vms})
    if zone not in zones:
        return [f"zone {zone!r} has no VMs; zones with VMs are: {', '.join(zones) or 'none'}"]
    lost = [capacity.service for capacity in capacities if capacity.is_lost]
    return [f"service {name} would be left without targets" for name in lost]
