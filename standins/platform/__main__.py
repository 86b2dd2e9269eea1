"""Runs the platform stand-in: ``python -m standins.platform --port N --control-port M``."""

from __future__ import annotations

from typing import Annotated

import curio
import typer

from kingcupusher._core.address import Address
from kingcupusher._http.simple_server import serve
from standins.platform.control import control_handler
from standins.platform.service import key_value_handler
from standins.platform.state import Platform

LEASE_CHECK_S = 0.02


async def run(address: Address, control_address: Address, *, vm_list_lag_ms: float) -> None:
    """Serve both ports until cancelled."""
    platform = Platform(vm_list_lag_ms=vm_list_lag_ms)
    async with curio.TaskGroup(wait=any) as tasks:
        await tasks.spawn(serve, address, key_value_handler(platform))
        await tasks.spawn(serve, control_address, control_handler(platform))
        await tasks.spawn(_expire_leases, platform)


async def _expire_leases(platform: Platform) -> None:
    while True:
        await curio.sleep(LEASE_CHECK_S)
        await platform.expire_leases()


def main(
    port: Annotated[int, typer.Option(help="Port of the key-value service and the VM list.")],
    control_port: Annotated[int, typer.Option(help="Port of the control interface.")],
    host: Annotated[str, typer.Option(help="IP address of both ports.")] = "127.0.0.1",
    vm_list_lag_ms: Annotated[float, typer.Option(help="Delay of VM list changes.")] = 0.0,
) -> None:
    """Run a stand-in for the platform."""
    addresses = Address(host, port), Address(host, control_port)
    try:
        curio.run(lambda: run(*addresses, vm_list_lag_ms=vm_list_lag_ms))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    typer.run(main)
