"""The command ``zone out``."""

from __future__ import annotations

from typing import Annotated

import typer
from msgspec import Struct

from kingcupusher._cli.capacity import Capacity, surviving_capacity
from kingcupusher._cli.exits import ExitCode, fail
from kingcupusher._cli.options import JsonOption, PlatformOption, ZoneArgument
from kingcupusher._cli.platform_calls import run_call
from kingcupusher._cli.results import finish, print_json
from kingcupusher._config import ConfigDocument, Publisher, PublishResult
from kingcupusher._core.address import Address
from kingcupusher._platform import KeyValueClient, PlatformError, VmListClient, VmRecord

ForceOption = Annotated[
    bool,
    typer.Option("--force", help="Take the zone out in spite of the warnings."),
]


class View(Struct, frozen=True):
    """What the command knows before it decides; ``vms`` is None if the VM list is unreadable."""

    document: ConfigDocument
    vms: list[VmRecord] | None


class Forecast(Struct, frozen=True):
    """What taking the zone out would leave; ``zone out --json`` prints it first."""

    zone: str
    capacities: list[Capacity]
    warnings: list[str]


def zone_out(
    zone: ZoneArgument,
    platform: PlatformOption,
    force: ForceOption = False,
    as_json: JsonOption = False,
) -> None:
    """Take a zone out: entries send it no new work within 3 seconds.

    Prints the share of slots that each service keeps. Needs --force if a service would be left
    without targets, if the zone has no VMs, or if the VM list cannot be read. With --json, the
    capacities and the result are two lines.

    Example: kingcupusher zone out lagos-b --platform 10.0.0.5:2379
    """
    forecast = _forecast(run_call(_view, platform, platform=platform), zone)
    _print_forecast(forecast, as_json=as_json)
    if forecast.warnings and not force:
        fail(
            f"zone {zone} was not taken out: {forecast.warnings[0]}",
            fix="check the zone and the service, or repeat the command with --force",
            code=ExitCode.NEEDS_FORCE,
        )
    finish(run_call(_order_out, platform, zone, platform=platform), as_json=as_json)


async def _view(platform: Address) -> View:
    document = await Publisher(KeyValueClient(platform)).read()
    try:
        return View(document, await VmListClient(platform).read())
    except PlatformError:
        return View(document, None)


async def _order_out(platform: Address, zone: str) -> PublishResult:
    return await Publisher(KeyValueClient(platform)).set_zone_state(zone, out=True)


def _forecast(view: View, zone: str) -> Forecast:
    if view.vms is None:
        return Forecast(
            zone, [], ["the VM list cannot be read, so the surviving capacity is unknown"]
        )
    capacities = surviving_capacity(view.document, view.vms, zone)
    return Forecast(zone, capacities, _warnings(view.vms, zone, capacities))


def _warnings(vms: list[VmRecord], zone: str, capacities: list[Capacity]) -> list[str]:
    zones = sorted({vm.zone for vm in vms})
    if zone not in zones:
        return [f"zone {zone!r} has no VMs; zones with VMs are: {', '.join(zones) or 'none'}"]
    lost = [capacity.service for capacity in capacities if capacity.is_lost]
    return [f"service {name} would be left without targets" for name in lost]


def _print_forecast(forecast: Forecast, *, as_json: bool) -> None:
    if as_json:
        print_json(forecast)
    else:
        for capacity in forecast.capacities:
            typer.echo(_line(capacity))
    for warning in forecast.warnings:
        typer.echo(f"warning: {warning}", err=True)


def _line(capacity: Capacity) -> str:
    if not capacity.slots_before:
        return f"{capacity.service}: has no targets now"
    return (
        f"{capacity.service}: {capacity.slots_after} of {capacity.slots_before} slots remain"
        f" ({capacity.share_percent:.0f} %)"
    )
