"""The command ``zone out``."""

from __future__ import annotations

from typing import Annotated

import typer
from msgspec import Struct

from kingcupusher._cli.capacity import ServiceCapacity, surviving_capacity
from kingcupusher._cli.exit_codes import ExitCode, fail
from kingcupusher._cli.options import JsonOption, PlatformOption, ZoneArgument
from kingcupusher._cli.platform_calls import run_platform_call
from kingcupusher._cli.results import print_json, report_result
from kingcupusher._config import ConfigDocument, Publisher, PublishResult
from kingcupusher._core.address import Address
from kingcupusher._platform import KeyValueClient, PlatformError, VmListClient, VmRecord

ForceOption = Annotated[
    bool,
    typer.Option("--force", help="Take the zone out in spite of the warnings."),
]


class PlatformSnapshot(Struct, frozen=True):
    """Stored document and VM list; ``vms`` is None if the VM list cannot be read."""

    document: ConfigDocument
    vms: list[VmRecord] | None


class ZoneOutForecast(Struct, frozen=True):
    """Capacity that remains without the zone; the first line of ``zone out --json``."""

    zone: str
    capacities: list[ServiceCapacity]
    warnings: list[str]


def zone_out(
    zone: ZoneArgument,
    platform: PlatformOption,
    force: ForceOption = False,
    as_json: JsonOption = False,
) -> None:
    """Take a zone out: within 3 seconds, entries send it no new requests.

    Prints the share of slots that each service keeps. Needs --force if a service would be left
    without targets, if the zone has no VMs, or if the VM list cannot be read. With --json, the
    capacities and the result are printed as two lines.

    Example: kingcupusher zone out lagos-b --platform 10.0.0.5:2379
    """
    forecast = _forecast(run_platform_call(_read_platform, platform, platform=platform), zone)
    _print_forecast(forecast, as_json=as_json)
    if forecast.warnings and not force:
        fail(
            f"zone {zone} was not taken out: {forecast.warnings[0]}",
            fix="check the zone and the service, or repeat the command with --force",
            code=ExitCode.NEEDS_FORCE,
        )
    report_result(
        run_platform_call(_take_zone_out, platform, zone, platform=platform), as_json=as_json
    )


async def _read_platform(platform: Address) -> PlatformSnapshot:
    document = await Publisher(KeyValueClient(platform)).read()
    try:
        return PlatformSnapshot(document, await VmListClient(platform).read())
    except PlatformError:
        return PlatformSnapshot(document, None)


async def _take_zone_out(platform: Address, zone: str) -> PublishResult:
    return await Publisher(KeyValueClient(platform)).set_zone_state(zone, out=True)


def _forecast(snapshot: PlatformSnapshot, zone: str) -> ZoneOutForecast:
    if snapshot.vms is None:
        return ZoneOutForecast(
            zone, [], ["the VM list cannot be read, so the surviving capacity is unknown"]
        )
    capacities = surviving_capacity(snapshot.document, snapshot.vms, zone)
    return ZoneOutForecast(zone, capacities, _warnings(snapshot.vms, zone, capacities))


def _warnings(vms: list[VmRecord], zone: str, capacities: list[ServiceCapacity]) -> list[str]:
    zones = sorted({vm.zone for vm in vms})
    if zone not in zones:
        return [f"zone {zone!r} has no VMs; zones with VMs are: {', '.join(zones) or 'none'}"]
    losing_services = [capacity.service for capacity in capacities if capacity.loses_all_targets]
    return [f"service {name} would be left without targets" for name in losing_services]


def _print_forecast(forecast: ZoneOutForecast, *, as_json: bool) -> None:
    if as_json:
        print_json(forecast)
    else:
        for capacity in forecast.capacities:
            typer.echo(_format_capacity(capacity))
    for warning in forecast.warnings:
        typer.echo(f"warning: {warning}", err=True)


def _format_capacity(capacity: ServiceCapacity) -> str:
    if not capacity.slots_before:
        return f"{capacity.service}: has no targets now"
    return (
        f"{capacity.service}: {capacity.slots_after} of {capacity.slots_before} slots remain"
        f" ({capacity.share_percent:.0f} %)"
    )
