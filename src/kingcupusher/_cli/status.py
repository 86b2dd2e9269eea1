"""The command ``status``."""

from __future__ import annotations

from typing import Annotated

import curio
import msgspec
import typer
from msgspec import Struct

from kingcupusher._admin import StatusReport
from kingcupusher._cli.options import JsonOption, OptionalPlatformOption, parse_address
from kingcupusher._cli.platform_calls import run_platform_call
from kingcupusher._cli.results import print_json
from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._entry.members import MEMBER_PREFIX, decode_members
from kingcupusher._http.errors import HttpError
from kingcupusher._http.simple_client import fetch
from kingcupusher._platform import KeyValueClient

STATUS_TIMEOUT_MS = 1_000.0

EntryOption = Annotated[
    list[Address] | None,
    typer.Option(
        "--entry",
        metavar="IP:PORT",
        parser=parse_address,
        help="Administration address of an entry to query, instead of all registered ones.",
    ),
]


class EntryStatus(Struct, frozen=True, kw_only=True):
    """Status of one entry; if it sent none, ``report`` is None and ``error`` is the reason."""

    address: str
    report: StatusReport | None = None
    error: str = ""


def status(
    platform: OptionalPlatformOption = None, entry: EntryOption = None, as_json: JsonOption = False
) -> None:
    """Show each entry: configuration version and age, zones out, and targets by state.

    With --entry the platform is not contacted, so the command works while it is down.

    Example: kingcupusher status --platform 10.0.0.5:2379
    """
    if entry:
        rows = curio.run(_read_entries, entry)
    elif platform:
        rows = run_platform_call(_read_registered, platform, platform=platform)
    else:
        raise typer.BadParameter("give --platform, or --entry for each entry to query")
    if as_json:
        print_json(rows)
        return
    for row in rows:
        typer.echo(_format_entry(row))


async def _read_registered(platform: Address) -> list[EntryStatus]:
    members = decode_members(await KeyValueClient(platform).list(MEMBER_PREFIX))
    addresses = [Address.parse(members[seat].admin_address) for seat in sorted(members)]
    return await _read_entries(addresses)


async def _read_entries(addresses: list[Address]) -> list[EntryStatus]:
    return [await _read_entry(address) for address in addresses]


async def _read_entry(address: Address) -> EntryStatus:
    deadline_ms = now_ms() + STATUS_TIMEOUT_MS
    try:
        response = await fetch(address, "GET", "/status", deadline_ms=deadline_ms)
        report = msgspec.json.decode(response.body, type=StatusReport)
    except (HttpError, msgspec.MsgspecError) as error:
        return EntryStatus(address=str(address), error=str(error))
    return EntryStatus(address=str(address), report=report)


def _format_entry(row: EntryStatus) -> str:
    report = row.report
    if report is None:
        return f"{row.address}: no status: {row.error}"
    readiness = "draining" if report.draining else "ready" if report.ready else "not ready"
    states: dict[str, int] = {}
    for target in report.targets:
        states[target.state] = states.get(target.state, 0) + 1
    counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    zones = ", ".join(report.zones_out) or "none"
    age_s = report.config_age_ms / 1000.0
    return (
        f"{report.vm_id} ({row.address}): {readiness}; version {report.config_version} for "
        f"{age_s:.0f} s; zones out: {zones}; targets: {counts or 'none'}"
    )
