"""Runs the load tool: ``python -m standins.load --entry IP:PORT --host HOST``; prints JSON."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from kingcupusher._core.address import Address
from standins import timers
from standins.load.plan import PlannedRequest, PlanSettings, make_plan
from standins.load.runner import RequestRecord, Runner, RunSettings
from standins.load.summary import Summary, summarise
from standins.target.activity_log import Execution
from standins.target.client import TargetControlClient


def main(
    *,
    entry: Annotated[list[str], typer.Option(help="IP:PORT of an entry or target; repeatable.")],
    host: Annotated[str, typer.Option(help="Host name of the service.")] = "service.example",
    rate_per_s: Annotated[float, typer.Option(min=0.01)] = 100.0,
    requests: Annotated[int, typer.Option(min=0)] = 1_000,
    seed: Annotated[int, typer.Option()] = 1,
    label: Annotated[str, typer.Option(help="Prefix of all request ids.")] = "",
    service_time_ms: Annotated[float, typer.Option(min=0.0)] = 10.0,
    service_time_shape: Annotated[float, typer.Option(min=0.01)] = 4.0,
    non_idempotent_share: Annotated[float, typer.Option(min=0.0, max=1.0)] = 0.0,
    response_bytes: Annotated[int, typer.Option(min=0)] = 200,
    request_bytes: Annotated[int, typer.Option(min=0)] = 64,
    timeout_ms: Annotated[float, typer.Option(min=1.0)] = 5_000.0,
    target_control: Annotated[
        list[str] | None, typer.Option(help="IP:PORT to read executions from; repeatable.")
    ] = None,
    records: Annotated[Path | None, typer.Option(help="File with a JSON line per request.")] = None,
) -> None:
    """Send requests at their scheduled times and print a summary."""
    plan_settings = PlanSettings(
        seed=seed,
        label=label,
        rate_per_s=rate_per_s,
        requests=requests,
        service_time_ms=service_time_ms,
        service_time_shape=service_time_shape,
        non_idempotent_share=non_idempotent_share,
        response_bytes=response_bytes,
        request_bytes=request_bytes,
    )
    run_settings = RunSettings(
        entries=[Address.parse(text) for text in entry], host=host, timeout_ms=timeout_ms
    )
    controls = [TargetControlClient(Address.parse(text)) for text in target_control or []]
    result, summary = timers.run(_run, make_plan(plan_settings), run_settings, controls)
    if records:
        _write_records(records, result)
    typer.echo(msgspec.json.encode(summary).decode())


async def _run(
    plan: list[PlannedRequest], settings: RunSettings, controls: list[TargetControlClient]
) -> tuple[list[RequestRecord], Summary]:
    records = await Runner(settings).run(plan)
    executions = await _read_executions(controls) if controls else None
    return records, summarise(records, executions)


async def _read_executions(controls: list[TargetControlClient]) -> list[Execution]:
    return [execution for control in controls for execution in await control.executions()]


def _write_records(path: Path, records: list[RequestRecord]) -> None:
    with path.open("wb") as file:
        for record in records:
            file.write(msgspec.json.encode(record) + b"\n")


if __name__ == "__main__":
    typer.run(main)
