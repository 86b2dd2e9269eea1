"""Runs one target: ``python -m standins.target --address IP:PORT --control IP:PORT``."""

from __future__ import annotations

from random import SystemRandom
from typing import Annotated

import typer

from kingcupusher._core.address import Address
from standins import timers
from standins.target.listener import run_target
from standins.target.settings import ColdShape, TargetSettings

MAX_BOOT_ID = 1_000_000_000


def main(
    *,
    address: Annotated[str, typer.Option(help="IP:PORT that serves requests.")],
    control: Annotated[str, typer.Option(help="IP:PORT of the control interface.")],
    slots: Annotated[int, typer.Option(min=1)] = 3,
    queue_length: Annotated[int, typer.Option(min=0)] = 8,
    connections: Annotated[int, typer.Option(min=1)] = 200,
    service_time_ms: Annotated[float, typer.Option(min=0.0)] = 10.0,
    service_time_shape: Annotated[float, typer.Option(min=0.01)] = 4.0,
    connect_cost_ms: Annotated[float, typer.Option(min=0.0)] = 1.0,
    probe_cost_ms: Annotated[float, typer.Option(min=0.0)] = 6.0,
    cold_concurrency: Annotated[int, typer.Option(min=1)] = 1,
    cold_shape: Annotated[ColdShape, typer.Option()] = ColdShape.FLAT,
    warmup_ms: Annotated[float, typer.Option(min=0.0)] = 5_000.0,
    start_warm: Annotated[bool, typer.Option(help="Start warm; later restarts are cold.")] = False,
    restart_ms: Annotated[float, typer.Option(min=0.0, help="Downtime of a restart.")] = 500.0,
    health_lag_ms: Annotated[float, typer.Option(min=0.0)] = 0.0,
    load_lag_ms: Annotated[float, typer.Option(min=0.0)] = 0.0,
    linger_ms: Annotated[float, typer.Option(min=0.0, help="Minimum drain time.")] = 0.0,
    boot_id: Annotated[int, typer.Option(min=0, help="0 selects a random one.")] = 0,
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Serve requests with simulated service times until SIGTERM, then drain."""
    settings = TargetSettings(
        address=Address.parse(address),
        control=Address.parse(control),
        slots=slots,
        queue_length=queue_length,
        connections=connections,
        service_time_ms=service_time_ms,
        service_time_shape=service_time_shape,
        connect_cost_ms=connect_cost_ms,
        probe_cost_ms=probe_cost_ms,
        cold_concurrency=cold_concurrency,
        cold_shape=cold_shape,
        warmup_ms=warmup_ms,
        start_warm=start_warm,
        restart_ms=restart_ms,
        health_lag_ms=health_lag_ms,
        load_lag_ms=load_lag_ms,
        linger_ms=linger_ms,
        boot_id=boot_id or SystemRandom().randrange(1, MAX_BOOT_ID),
        seed=seed,
    )
    timers.run(run_target, settings)


if __name__ == "__main__":
    typer.run(main)
