"""Options that several commands share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from kingcupusher._core.address import Address, AddressError


def parse_address(text: str) -> Address:
    """Parse an option's value of the form ``IP:PORT``."""
    try:
        return Address.parse(text)
    except AddressError as error:
        raise typer.BadParameter(str(error)) from None


PlatformOption = Annotated[
    Address,
    typer.Option(
        "--platform",
        envvar="KINGCUPUSHER_PLATFORM",
        metavar="IP:PORT",
        parser=parse_address,
        help="Address of the platform's key-value service.",
    ),
]
OptionalPlatformOption = Annotated[
    Address | None,
    typer.Option(
        "--platform",
        envvar="KINGCUPUSHER_PLATFORM",
        metavar="IP:PORT",
        parser=parse_address,
        help="Address of the platform's key-value service.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as one JSON object.")]
FilesArgument = Annotated[
    list[Path], typer.Argument(metavar="FILE...", help="TOML service files, one service each.")
]
ZoneArgument = Annotated[str, typer.Argument(metavar="ZONE", help="Name of the zone.")]
